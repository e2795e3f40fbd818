//! In any order of the planners' and stewards' steps, one domain at most holds
//! a slice.
//!
//! Two planners read, pause and write in any order. The store accepts a write
//! only over the version that was read. Stewards act on outdated plans, and
//! domains are declared lost and return. The oracle is the list of slices that
//! each domain's servers hold.

use goldcrestramp_config::EntityRevision;
use goldcrestramp_ownership::{
    DomainMove, DomainShare, DomainView, PlannerRound, RecordStage,
    ServicePolicy, ServiceRecord, StrandedCause, ViewStage,
};
use goldcrestramp_types::{
    DomainName, FastMap, FastSet, ServiceName, SliceCount, SliceIndex,
    SliceSet,
};
use proptest::prelude::*;

const SLICES: u32 = 8;
const DOMAINS: usize = 3;
const PLANNERS: usize = 2;

/// One step of one participant.
#[derive(Clone, Copy, Debug)]
enum Step {
    /// A planner reads the service's record.
    ReadRecord(usize),
    /// The planner reads the domains' records.
    ReadViews(usize),
    /// The planner decides, with a request to move a slice to a domain, and
    /// writes.
    Write(usize, u32, usize),
    /// A steward reads the service's record.
    Sync(usize),
    /// The steward makes its servers release the slices that leave.
    Release(usize),
    /// The steward grants its servers the slices of its plan.
    Grant(usize),
    /// The steward writes its domain's record.
    Save(usize),
    /// The steward is replaced. The new one reads its domain's record; the
    /// servers keep their slices.
    Replace(usize),
    /// The domain loses its last server, its last server is leaving, or it has
    /// a server again.
    Strand(usize, Option<StrandedCause>),
    /// An operator declares the domain lost. Its servers and VMs have stopped.
    Lose(usize),
    /// An operator revokes the declaration. The servers and VMs restart.
    Return(usize),
}

/// The stage of a planner's round.
#[derive(Clone, Debug, Default)]
enum PlannerStage {
    #[default]
    Idle,
    Read(u64, ServicePolicy, RecordStage),
    Viewed(u64, ServicePolicy, ViewStage),
}

/// A domain with its servers, its steward and its record in the store.
#[derive(Clone, Debug, Default)]
struct DomainModel {
    held: SliceSet,
    released: SliceSet,
    plan: SliceSet,
    leaving: SliceSet,
    stranded: Option<StrandedCause>,
    saved: DomainView,
    lost: bool,
    /// The last ticket that touched the domain.
    ticket: EntityRevision,
}

#[derive(Debug, Default)]
struct Simulation {
    version: u64,
    record: Option<ServiceRecord>,
    domains: [DomainModel; DOMAINS],
    planners: [PlannerStage; PLANNERS],
}

fn name(domain: usize) -> DomainName {
    DomainName::new(["a", "b", "c"][domain]).expect("name is valid")
}

impl Simulation {
    fn policy(&self) -> ServicePolicy {
        let open = (0..DOMAINS).filter(|d| !self.domains[*d].lost);
        let lost = (0..DOMAINS).filter(|d| self.domains[*d].lost);
        let shares =
            open.map(|d| DomainShare { domain: name(d), capacity: 4 });
        ServicePolicy {
            service: ServiceName::new("stock").expect("name is valid"),
            count: SliceCount::new(SLICES).expect("count is a power of two"),
            shares: shares.collect(),
            lost: lost.map(name).collect(),
            stopping: FastSet::default(),
            tickets: (0..DOMAINS)
                .map(|d| (name(d), self.domains[d].ticket))
                .collect(),
        }
    }

    fn views(&self) -> FastMap<DomainName, DomainView> {
        let domains = (0..DOMAINS).zip(&self.domains);
        domains.map(|(d, model)| (name(d), model.saved.clone())).collect()
    }

    fn apply(&mut self, step: Step) {
        match step {
            Step::ReadRecord(planner) => {
                let stage = PlannerRound::start(self.record.clone());
                let policy = self.policy();
                self.planners[planner] =
                    PlannerStage::Read(self.version, policy, stage);
            }
            Step::ReadViews(planner) => self.read_views(planner),
            Step::Write(planner, slice, target) => {
                self.write(planner, slice, target);
            }
            Step::Sync(domain) => self.sync(domain),
            Step::Release(domain) => self.domains[domain].release(),
            Step::Grant(domain) => self.domains[domain].grant(),
            Step::Save(domain) => self.domains[domain].save(),
            Step::Replace(domain) => self.domains[domain].replace(),
            Step::Strand(domain, cause) => {
                self.domains[domain].strand(cause);
            }
            Step::Lose(domain) => {
                let others = self.domains.iter().filter(|d| !d.lost).count();
                if others > 1 && !self.domains[domain].lost {
                    self.domains[domain].stop();
                }
            }
            Step::Return(domain) => {
                let model = &mut self.domains[domain];
                model.ticket.0 += u64::from(model.lost);
                model.lost = false;
            }
        }
    }

    fn read_views(&mut self, planner: usize) {
        let stage = std::mem::take(&mut self.planners[planner]);
        self.planners[planner] = match stage {
            PlannerStage::Read(version, policy, stage) => {
                let stage = stage.viewed(self.views());
                PlannerStage::Viewed(version, policy, stage)
            }
            other => other,
        };
    }

    fn write(&mut self, planner: usize, slice: u32, target: usize) {
        let stage = std::mem::take(&mut self.planners[planner]);
        let PlannerStage::Viewed(version, policy, stage) = stage else {
            self.planners[planner] = stage;
            return;
        };
        let slice = SliceIndex::new(slice).expect("slice is in range");
        let requested = [DomainMove { slice, target: name(target) }];
        let Some(change) = stage.decide(&policy, &requested) else {
            return;
        };
        if version == self.version {
            let before = self.record.as_ref().map_or(0, |r| r.revision);
            assert_eq!(change.revision, before + 1);
            self.version += 1;
            self.record = Some(change);
        }
    }

    fn sync(&mut self, domain: usize) {
        let Some(record) = &self.record else {
            return;
        };
        let model = &mut self.domains[domain];
        let recorded = record.ticket_of(&name(domain));
        if model.lost
            || recorded.is_some_and(|recorded| recorded < model.ticket)
        {
            return;
        }
        model.plan = record.held_by(&name(domain));
        model.leaving = record.leaving(&name(domain));
        model.released.intersect_with(&model.plan);
    }

    /// Checks that no slice is held in two domains and that the record has
    /// all slices.
    fn check(&self) -> Result<(), TestCaseError> {
        let mut seen = SliceSet::new();
        for model in &self.domains {
            prop_assert!(!seen.overlaps(&model.held), "{self:?}");
            seen.union_with(&model.held);
        }
        if let Some(record) = &self.record {
            prop_assert_eq!(record.slices.len(), SLICES as usize);
        }
        Ok(())
    }

    /// Runs all steps until nothing changes. Then all slices are held.
    fn run_until_stable(&mut self) {
        self.domains.iter_mut().for_each(|model| model.strand(None));
        for _ in 0..2 * SLICES {
            self.planners = <[PlannerStage; PLANNERS]>::default();
            self.apply(Step::ReadRecord(0));
            self.apply(Step::ReadViews(0));
            // The request names the domain that already has slice 0, so no
            // move starts.
            let holder = self.record.as_ref().and_then(|record| {
                let slice = SliceIndex::new(0)?;
                let target = record.target_of(slice);
                target.or(record.domain_of(slice)).cloned()
            });
            let holder = holder.and_then(|holder| {
                (0..DOMAINS).find(|domain| name(*domain) == holder)
            });
            self.apply(Step::Write(0, 0, holder.unwrap_or(0)));
            for domain in 0..DOMAINS {
                if self.domains[domain].lost {
                    continue;
                }
                self.apply(Step::Sync(domain));
                self.apply(Step::Release(domain));
                self.apply(Step::Grant(domain));
                self.apply(Step::Save(domain));
            }
        }
    }
}

impl DomainModel {
    fn release(&mut self) {
        self.held.subtract(&self.leaving);
        self.released.union_with(&self.leaving);
    }

    fn grant(&mut self) {
        if self.lost {
            return;
        }
        let mut own = self.plan.clone();
        own.subtract(&self.leaving);
        own.subtract(&self.released);
        if self.stranded.is_none() {
            self.held.union_with(&own);
        }
    }

    /// Sets why the domain has no server. With its last server lost, the
    /// domain holds nothing.
    fn strand(&mut self, cause: Option<StrandedCause>) {
        self.stranded = cause;
        if cause == Some(StrandedCause::Lost) {
            self.held = SliceSet::new();
        }
    }

    fn save(&mut self) {
        if self.lost {
            return;
        }
        self.saved.held = self.held.clone();
        self.saved.released = self.released.clone();
        self.saved.stranded = self.stranded;
    }

    /// Stops everything in the domain. A ticket declares it lost.
    fn stop(&mut self) {
        self.replace();
        self.held = SliceSet::new();
        self.lost = true;
        self.ticket.0 += 1;
    }

    fn replace(&mut self) {
        self.released = self.saved.released.clone();
        self.plan = SliceSet::new();
        self.leaving = SliceSet::new();
    }
}

fn step() -> impl Strategy<Value = Step> {
    let planner = || 0..PLANNERS;
    let domain = || 0..DOMAINS;
    prop_oneof![
        4 => planner().prop_map(Step::ReadRecord),
        4 => planner().prop_map(Step::ReadViews),
        6 => (planner(), 0..SLICES, domain())
            .prop_map(|(p, s, d)| Step::Write(p, s, d)),
        6 => domain().prop_map(Step::Sync),
        4 => domain().prop_map(Step::Release),
        4 => domain().prop_map(Step::Grant),
        4 => domain().prop_map(Step::Save),
        1 => domain().prop_map(Step::Replace),
        2 => (domain(), cause()).prop_map(|(d, c)| Step::Strand(d, c)),
        1 => domain().prop_map(Step::Lose),
        1 => domain().prop_map(Step::Return),
    ]
}

fn cause() -> impl Strategy<Value = Option<StrandedCause>> {
    prop::sample::select(vec![
        None,
        Some(StrandedCause::Lost),
        Some(StrandedCause::Leaving),
    ])
}

/// The number of cases: `PROPTEST_CASES` if it is set, for a longer run.
fn cases() -> u32 {
    let named = std::env::var("PROPTEST_CASES").ok();
    named.and_then(|text| text.parse().ok()).unwrap_or(600)
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: cases(),
        rng_seed: proptest::test_runner::RngSeed::Fixed(41),
        ..ProptestConfig::default()
    })]

    #[test]
    fn a_slice_is_never_held_in_two_domains_and_never_lost(
        steps in prop::collection::vec(step(), 1..150),
    ) {
        let mut simulation = Simulation::default();
        for step in steps {
            simulation.apply(step);
            simulation.check()?;
        }
        simulation.run_until_stable();
        simulation.check()?;
        let held: usize =
            simulation.domains.iter().map(|d| d.held.len()).sum();
        prop_assert_eq!(held, SLICES as usize, "{:?}", simulation);
    }
}

//! The state of the control thread.

use std::sync::{Arc, Weak};

use goldcrestramp_adapter::CONFIGURATION_KEY;
use goldcrestramp_assignment::{PreviousPlanner, last_grant_sent};
use goldcrestramp_types::{FastMap, LocalTime, TimeSpan};
use tokio::sync::watch;
use xtra::Address;

use crate::{
    configuration::ConfigurationHistory,
    control::{
        claim::{claim, stop_previous_planner},
        lease::LeaseTerms,
        load::{LoadRecorder, LoadReport},
        message::{ClaimEnded, LeaseProof},
        order::OrderGate,
        permits::PermitMailbox,
        ranking::is_large,
        sync::SyncState,
        tables::ReplicaTracker,
        term::PlannerTerm,
    },
    history::TableHistory,
    http::{CallPool, CloseMode, TimeoutScope},
    metrics::EntryMetrics,
    mirror::StoreMirror,
    peers::{PeerCall, PeerClient},
    records::{PLANNER_KEY, VmInstance, decode},
    shared::SharedState,
    store::StoreClient,
    view::{FleetView, ViewBuilder},
};

/// A planner goes on renewing grants for so long after the last proof that
/// its lease was alive: an outage of the store of 12 s then leaves no key
/// without its owner. Renewing what the table grants can harm nobody, as a
/// later planner takes keys back with a higher token; only for a server
/// that it can't reach does it wait this out.
pub(crate) const MAX_PROOF_AGE: TimeSpan = TimeSpan::from_millis(12_000);

/// A VM waits this long for each VM of a better rank before it claims to
/// plan: the best ranked live one is done by then, and no two write.
const RANK_DELAY: TimeSpan = TimeSpan::from_millis(150);

/// How often a VM reports what it was asked.
const REPORT_INTERVAL: TimeSpan = TimeSpan::from_millis(400);

/// How far this VM is on its way to plan.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum ClaimStage {
    /// It makes no claim.
    None,
    /// A claim waits for a lease on short terms.
    AwaitingLease,
    /// The store is being asked.
    InFlight,
}

/// The control state of one VM.
#[derive(Debug)]
pub struct ControlActor {
    pub(crate) me: VmInstance,
    /// The region of each failure domain.
    pub(crate) regions: FastMap<Arc<str>, Arc<str>>,
    /// How long a grant holds.
    pub(crate) grant_duration: TimeSpan,
    pub(crate) store: Arc<StoreClient>,
    pub(crate) orders: Arc<CallPool>,
    pub(crate) peers: PeerClient,
    pub(crate) address: Address<Self>,
    pub(crate) mirror: StoreMirror,
    pub(crate) history: TableHistory,
    pub(crate) configurations: ConfigurationHistory,
    pub(crate) replicas: ReplicaTracker,
    builder: ViewBuilder,
    pub(crate) view: Arc<FleetView>,
    view_sender: watch::Sender<Arc<FleetView>>,
    revision_sender: watch::Sender<u64>,
    pub(crate) sync: SyncState,
    loads: LoadRecorder,
    pub(crate) permits: PermitMailbox,
    pub(crate) metrics: Arc<EntryMetrics>,
    report_at: LocalTime,
    pub(crate) lease: Option<u64>,
    /// The terms on which the lease is kept.
    lease_terms: LeaseTerms,
    /// The terms on which it is to be kept; nothing: not known yet.
    wanted_terms: watch::Sender<Option<LeaseTerms>>,
    /// When the last call was sent that proved the lease alive.
    pub(crate) proof: LocalTime,
    /// The planner before this VM, as it was last known, with when it was
    /// first known to plan.
    previous_planner: Option<(VmInstance, LocalTime)>,
    vacant_since: Option<LocalTime>,
    claim: ClaimStage,
    /// Whether another VM is being asked while the store is silent.
    pub(crate) query_in_flight: bool,
    pub(crate) term: Option<PlannerTerm>,
    /// Permits of ended terms, held by the orders under way.
    ending_gates: Vec<Weak<OrderGate>>,
    pub(crate) stopping: bool,
}

impl ControlActor {
    pub(crate) fn new(
        me: VmInstance,
        regions: FastMap<Arc<str>, Arc<str>>,
        grant_duration: TimeSpan,
        store: Arc<StoreClient>,
        shared: SharedState,
        view_sender: watch::Sender<Arc<FleetView>>,
        address: Address<Self>,
    ) -> Self {
        /// A server's answer to an order is a few bytes.
        const MAX_ORDER_RESPONSE_BYTES: usize = 64 * 1024;
        let orders = CallPool::open(
            CloseMode::Reset,
            TimeoutScope::FullResponse,
            MAX_ORDER_RESPONSE_BYTES,
        );
        Self {
            me,
            regions,
            grant_duration,
            store,
            orders: Arc::new(orders),
            peers: PeerClient::open(),
            address,
            mirror: StoreMirror::default(),
            history: TableHistory::default(),
            configurations: ConfigurationHistory::default(),
            replicas: ReplicaTracker::default(),
            builder: ViewBuilder::default(),
            view: Arc::default(),
            view_sender,
            revision_sender: watch::channel(0).0,
            sync: SyncState::open(shared.clock),
            loads: shared.loads,
            permits: shared.permits,
            metrics: shared.metrics,
            report_at: LocalTime::default(),
            lease: None,
            lease_terms: LeaseTerms::SHORT,
            wanted_terms: watch::channel(None).0,
            proof: LocalTime::default(),
            previous_planner: None,
            vacant_since: None,
            claim: ClaimStage::None,
            query_in_flight: false,
            term: None,
            ending_gates: Vec::new(),
            stopping: false,
        }
    }

    /// Takes what the mirror now holds, and tells the traffic thread.
    pub(crate) fn refresh(&mut self, now: LocalTime) {
        self.history.record(&self.mirror);
        if let Some(item) = self.mirror.extract(CONFIGURATION_KEY) {
            self.configurations.apply_value(&item);
        }
        let since = self.sync.changed_since(now);
        let newest = self.configurations.newest();
        let view = self.builder.build(now, since, &self.mirror, newest);
        if let Some(view) = view {
            let view = Arc::new(view);
            self.view = Arc::clone(&view);
            self.view_sender.send_replace(view);
        }
        let revision = self.mirror.revision();
        self.update_gauges(revision);
        let last_change_revision = self.mirror.last_change_revision();
        self.revision_sender.send_if_modified(|known| {
            let newer = last_change_revision > *known;
            *known = last_change_revision.max(*known);
            newer
        });
        self.check_term(now);
        self.choose_terms();
    }

    /// Chooses the terms of the lease by the VMs that are known.
    fn choose_terms(&self) {
        let claims = self.claim != ClaimStage::None;
        let plans = claims || self.term.is_some();
        let terms = if plans || is_large(&self.me, &self.view.vms) {
            LeaseTerms::SHORT
        } else {
            LeaseTerms::LONG
        };
        self.request_terms(terms);
    }

    fn request_terms(&self, terms: LeaseTerms) {
        self.wanted_terms
            .send_if_modified(|wanted| wanted.replace(terms) != Some(terms));
    }

    /// The terms on which the lease is to be kept.
    pub(crate) fn wanted_terms(&self) -> watch::Receiver<Option<LeaseTerms>> {
        self.wanted_terms.subscribe()
    }

    fn update_gauges(&self, revision: u64) {
        let gauge = |count: usize| i64::try_from(count).unwrap_or(i64::MAX);
        let (metrics, view) = (&self.metrics, &self.view);
        let version = view.routes.as_ref().map_or(0, |routes| routes.version);
        metrics.configuration.set(version.cast_signed());
        metrics.revision.set(revision.cast_signed());
        metrics.vms.set(gauge(view.vms.len()));
        metrics.servers.set(gauge(view.servers.len()));
        metrics.planning.set(i64::from(self.term.is_some()));
    }

    /// Notes how old this VM's knowledge of the store is.
    pub(crate) fn record_update_age(&self, now: LocalTime) {
        let age = self.sync.age(now).as_millis();
        self.metrics.news_age.set(age.cast_signed());
    }

    /// The record of the planning VM, with its revision.
    pub(crate) fn planner(&self) -> Option<(VmInstance, u64)> {
        let item = self.mirror.get(PLANNER_KEY)?;
        Some((decode(&item.value)?, item.revision))
    }

    /// Ends the term when another VM's record stands.
    fn check_term(&mut self, now: LocalTime) {
        let Some((planner, revision)) = self.planner() else { return };
        if planner == self.me {
            return;
        }
        let known = self.previous_planner.as_ref();
        let is_known = known.is_some_and(|(previous_planner, _at)| {
            *previous_planner == planner
        });
        if !is_known {
            log::info!("[control] VM {} plans now.", planner.vm);
        }
        if self.term.as_ref().is_some_and(|term| term.revision < revision) {
            log::warn!("[control] This VM plans no more.");
            self.end_term();
        }
        if !is_known {
            self.previous_planner = Some((planner, now));
        }
    }

    /// Claims to plan, if no other VM does.
    pub(crate) fn claim_if_vacant(&mut self, now: LocalTime) {
        let idle = self.term.is_none()
            && self.claim != ClaimStage::InFlight
            && !self.stopping;
        let Some(lease) = self.lease.filter(|_| idle) else { return };
        let known = self.planner();
        // The record of an earlier run of this process outlives it until
        // its lease ends; that run is surely over. One of this run, which
        // does not plan, is of a claim whose answer was lost: its lease is
        // kept alive, so left alone it would keep everybody from planning.
        let own = known
            .as_ref()
            .is_some_and(|(planner, _)| planner.vm == self.me.vm);
        if self.mirror.revision() == 0 || (known.is_some() && !own) {
            self.vacant_since = None;
            self.claim = ClaimStage::None;
            return;
        }
        let since = *self.vacant_since.get_or_insert(now);
        let rank = u64::try_from(self.rank()).unwrap_or(u64::MAX);
        let pause = RANK_DELAY.percent(rank.saturating_mul(100));
        if !own && now.since(since) < pause {
            return;
        }
        // A planner's record has to end soon after its VM.
        if self.lease_terms != LeaseTerms::SHORT {
            self.claim = ClaimStage::AwaitingLease;
            self.request_terms(LeaseTerms::SHORT);
            return;
        }
        self.claim = ClaimStage::InFlight;
        let revision = known.map_or(0, |(_, revision)| revision);
        tokio::spawn(claim(
            Arc::clone(&self.store),
            self.me.clone(),
            revision,
            lease,
            self.address.clone(),
        ));
    }

    /// The live VMs that are to claim before this one.
    fn rank(&self) -> usize {
        let own = self.me.duty_rank();
        self.view.vms.iter().filter(|vm| vm.duty_rank() > own).count()
    }

    /// Takes the end of a claim.
    pub(crate) fn claim_ended(&mut self, now: LocalTime, claim: ClaimEnded) {
        self.claim = ClaimStage::None;
        self.vacant_since = None;
        let Some(revision) = claim.won_revision else { return };
        if self.stopping
            || self.planner().is_some_and(|(_, known)| known > revision)
        {
            return;
        }
        // The lease has changed since: the record ends, or has ended.
        if self.lease != Some(claim.lease) {
            return;
        }
        for item in claim.tables.items {
            self.mirror.write(item);
        }
        let previous_planner = self.previous_planner.take();
        log::info!(
            "[control] This VM plans from revision {revision} on; before it \
             planned {}.",
            previous_planner
                .as_ref()
                .map_or("an unknown VM", |(vm, _at)| &vm.vm)
        );
        // An earlier run of this process is over. This run itself may have
        // had a successor since it lost its lease, and one that is unknown
        // may be cut off and renew grants.
        let known = match &previous_planner {
            Some((vm, at))
                if vm.vm == self.me.vm && vm.start != self.me.start =>
            {
                PreviousPlanner::Stopped { planned_by: *at }
            }
            _ => PreviousPlanner::MayRenew,
        };
        let last_grant_at = last_grant_sent(now, known, MAX_PROOF_AGE);
        self.term = Some(PlannerTerm::open(
            revision,
            claim.lease,
            claim.sent_at,
            last_grant_at,
        ));
        let other = previous_planner.filter(|(vm, _at)| vm.vm != self.me.vm);
        if let Some((previous_planner, planned_by)) = other {
            tokio::spawn(stop_previous_planner(
                self.peers.clone(),
                previous_planner,
                planned_by,
                self.address.clone(),
            ));
        }
        self.refresh(now);
    }

    /// Ends the term; orders under way are the last.
    pub(crate) fn end_term(&mut self) {
        if let Some(term) = self.term.take() {
            self.ending_gates.push(Arc::downgrade(&term.gate));
        }
    }

    /// Whether an order of an ended term may still be under way.
    pub(crate) fn has_orders_in_flight(&mut self) -> bool {
        self.ending_gates.retain(|gate| gate.strong_count() > 0);
        !self.ending_gates.is_empty()
    }

    /// Takes what became of the lease.
    pub(crate) fn record_lease_proof(&mut self, message: LeaseProof) {
        let LeaseProof { lease, terms, sent_at } = message;
        self.lease = lease;
        self.lease_terms = terms;
        if lease.is_some() {
            self.proof = self.proof.max(sent_at);
        }
        let Some(term) = &mut self.term else { return };
        if lease == Some(term.lease) {
            term.proof = term.proof.max(sent_at);
        } else {
            log::warn!("[control] The planner's lease has ended.");
            self.end_term();
            self.previous_planner = Some((self.me.clone(), sent_at));
        }
    }

    /// Tells the planning VM what was asked for.
    pub(crate) fn report_load(&mut self, now: LocalTime) {
        if now.since(self.report_at) < REPORT_INTERVAL {
            return;
        }
        self.report_at = now;
        let report = self.loads.take();
        if report.is_empty() {
            return;
        }
        if self.term.is_some() {
            self.record_load(now, &report);
            return;
        }
        let Some((planner, _)) = self.planner() else { return };
        let peers = self.peers.clone();
        tokio::spawn(async move {
            // A lost report is made good by the next.
            let _lost =
                peers.call(planner.address, &PeerCall::Load(report)).await;
        });
    }

    /// Takes what a VM was asked for, while this one plans.
    pub(crate) fn record_load(&mut self, now: LocalTime, report: &LoadReport) {
        if let Some(term) = &mut self.term {
            term.record_load(now, report);
        }
    }

    /// The revisions up to which this VM knows news of the store.
    pub(crate) fn revisions(&self) -> watch::Receiver<u64> {
        self.revision_sender.subscribe()
    }
}

/// A map from a service's name.
pub(crate) type ByService<Value> = FastMap<Arc<str>, Value>;

//! One round of the planner for one service: it reads the records, decides,
//! and returns the changed record.

use goldcrestramp_config::EntityRevision;
use goldcrestramp_types::{
    DomainName, FastMap, FastSet, SliceIndex, SliceSet,
};

use super::{
    division::{DivisionTally, divide},
    policy::ServicePolicy,
    record::{ServiceRecord, SliceHolding},
};
use crate::plan::StrandedCause;

/// The maximum number of slices of a service that move at once, unless
/// [`MOVING_DIVISOR`] allows more.
///
/// Each slice is without an owner for a moment after its holder releases it.
/// With 256 of 4,096 slices this affects at most a sixteenth of the keys. An
/// entry of the record takes 12 bytes.
const MAX_MOVING: usize = 256;

/// The divisor that gives the maximum number of moving slices of a larger
/// service: a sixteenth of its slices.
///
/// With 256 of 65,536 the move of a domain's third would take 85 rounds, and a
/// leaving server would have to serve for half a minute.
const MOVING_DIVISOR: usize = 16;

/// The part of a domain's own record that is about the service.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct DomainView {
    /// The slices that its servers hold.
    pub held: SliceSet,
    /// The slices that it has released.
    pub released: SliceSet,
    /// Why none of its servers can receive slices; `None` if one can.
    pub stranded: Option<StrandedCause>,
}

/// A move between failure domains, requested by placement.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct DomainMove {
    /// The slice.
    pub slice: SliceIndex,
    /// The domain that is to hold it.
    pub target: DomainName,
}

/// The first stage of a round: the service's record has been read, the
/// domains' records have not.
///
/// The order matters. A release that is read *before* the record may belong to
/// an earlier move of the same slice. If the slice has returned since and is
/// held again, a new move would count as complete while a server still owns
/// the slice. A release that is read after the record belongs to the move that
/// the record shows.
#[derive(Clone, Debug)]
pub struct RecordStage {
    record: Option<ServiceRecord>,
}

/// The second stage of a round: both have been read in this order, and a
/// decision can be made.
#[derive(Clone, Debug)]
pub struct ViewStage {
    record: Option<ServiceRecord>,
    views: FastMap<DomainName, DomainView>,
}

/// Entry point of a round. The stages enforce the order of the reads.
#[derive(Clone, Copy, Debug)]
pub struct PlannerRound;

impl PlannerRound {
    /// Starts a round with the service's record as just read; `None` if it
    /// does not exist.
    #[must_use]
    pub const fn start(record: Option<ServiceRecord>) -> RecordStage {
        RecordStage { record }
    }
}

impl RecordStage {
    /// The domains whose records are needed for a decision. Empty if no slice
    /// is moving and no domain has to give up slices.
    ///
    /// `stranded` are the domains that last reported to have no server for the
    /// service. It is a hint, which their records confirm or refute.
    #[must_use]
    pub fn needs(
        &self,
        policy: &ServicePolicy,
        stranded: &FastSet<DomainName>,
    ) -> Vec<DomainName> {
        let allowed = policy.shares.iter().map(|share| &share.domain);
        let Some(record) = &self.record else {
            // Before the first record is written, all domains have to show
            // whether there was one before.
            return allowed.chain(&policy.lost).cloned().collect();
        };
        let moving = record.slices.iter().any(|h| h.target.is_some());
        let misplaced = record.domains.iter().any(|domain| {
            let suitable = policy.allows(&domain.name)
                && !stranded.contains(&domain.name);
            !suitable && !record.held_by(&domain.name).is_empty()
        });
        if !moving && !misplaced {
            return Vec::new();
        }
        let holders = record.domains.iter().map(|domain| &domain.name);
        let mut needed: Vec<DomainName> =
            allowed.chain(holders).cloned().collect();
        needed.sort_unstable();
        needed.dedup();
        needed
    }

    /// Adds the domains' records, which were read after the service's record.
    ///
    /// A domain whose record does not exist has an empty view. A domain whose
    /// record could not be read is left out, and no move starts or completes
    /// there.
    #[must_use]
    pub fn viewed(self, views: FastMap<DomainName, DomainView>) -> ViewStage {
        ViewStage { record: self.record, views }
    }
}

impl ViewStage {
    /// Returns the record to write over the one that was read, or `None` if
    /// nothing changes. `requested` are moves that placement asks for.
    #[must_use]
    pub fn decide(
        self,
        policy: &ServicePolicy,
        requested: &[DomainMove],
    ) -> Option<ServiceRecord> {
        let Some(before) = self.record else {
            return first_record(policy, &self.views);
        };
        if before.slices.len() != policy.count.get() as usize {
            return None;
        }
        if !is_current(&before, policy) {
            return None;
        }
        let views = self.views;
        let mut change =
            RecordChange { record: before.clone(), views, policy };
        change.record_tickets();
        change.complete_moves();
        change.reassign_lost();
        change.redirect();
        change.vacate_disallowed();
        change.vacate_stranded();
        change.start_requested(requested);
        let mut record = change.record;
        if record == before {
            return None;
        }
        record.revision += 1;
        Some(record)
    }
}

/// Whether the policy is at least as new as the one from which the record was
/// made.
///
/// A planner that was paused may regard a domain as lost that has returned and
/// holds its slices again. It must not take them.
fn is_current(record: &ServiceRecord, policy: &ServicePolicy) -> bool {
    let known = |name: &DomainName, ticket: EntityRevision| {
        policy.tickets.get(name).is_none_or(|known| *known >= ticket)
    };
    record.domains.iter().all(|domain| known(&domain.name, domain.ticket))
}

/// Creates the first record of a service.
///
/// If domains already have slices on record, the store was reset to older data
/// and the service's record was lost. It is then rebuilt from the domains'
/// records, and the slices that no domain holds are divided. A new division
/// would reassign slices that servers own. For the same reason the views of
/// all domains are needed.
fn first_record(
    policy: &ServicePolicy,
    views: &FastMap<DomainName, DomainView>,
) -> Option<ServiceRecord> {
    let known = |share: &DomainName| views.contains_key(share);
    let domains = policy.shares.iter().map(|share| &share.domain);
    if !domains.chain(&policy.lost).all(known) {
        return None;
    }
    let mut record = divide(policy)?;
    let mut seen = SliceSet::new();
    let mut names: Vec<&DomainName> = views.keys().collect();
    names.sort_unstable();
    for domain in names {
        let held = &views[domain].held;
        if seen.overlaps(held) {
            return None;
        }
        seen.union_with(held);
        let position = intern(&mut record, domain, policy)?;
        for slice in held.iter() {
            let holding = record.slices.get_mut(slice.position())?;
            holding.domain = position;
        }
    }
    Some(record)
}

/// A record that is being changed, with the inputs of the decision.
#[derive(Debug)]
struct RecordChange<'a> {
    record: ServiceRecord,
    views: FastMap<DomainName, DomainView>,
    policy: &'a ServicePolicy,
}

impl RecordChange<'_> {
    /// Records the tickets that this change takes into account.
    fn record_tickets(&mut self) {
        for domain in &mut self.record.domains {
            let known = self.policy.ticket_of(&domain.name);
            domain.ticket = domain.ticket.max(known);
        }
    }

    /// Completes the moves whose holders have released the slice: the target
    /// becomes the holder.
    fn complete_moves(&mut self) {
        for slice in self.policy.count.indices() {
            let Some(target) = self.holding(slice).target else {
                continue;
            };
            let domain = self.record.domain_of(slice);
            if domain.is_some_and(|domain| self.is_released(domain, slice)) {
                self.set(slice, SliceHolding { domain: target, target: None });
            }
        }
    }

    /// Reassigns the slices of lost domains without a release.
    fn reassign_lost(&mut self) {
        let mut tally = DivisionTally::of(self.policy, &self.record);
        for slice in self.policy.count.indices() {
            let domain = self.record.domain_of(slice);
            if domain.is_none_or(|d| !self.policy.may_take_from(d)) {
                continue;
            }
            if let Some(target) = self.choose_target(slice, &mut tally) {
                self.set(slice, SliceHolding { domain: target, target: None });
            }
        }
    }

    /// Redirects moves whose target may no longer hold the slice.
    ///
    /// A move is never cancelled. Its holder may have released the slice
    /// already, and would have to revoke the release before it could grant.
    fn redirect(&mut self) {
        let mut tally = DivisionTally::of(self.policy, &self.record);
        for slice in self.policy.count.indices() {
            let target = self.record.target_of(slice);
            if target.is_none_or(|target| self.is_usable(target)) {
                continue;
            }
            if let Some(target) = self.choose_target(slice, &mut tally) {
                let domain = self.holding(slice).domain;
                let target = Some(target);
                self.set(slice, SliceHolding { domain, target });
            }
        }
    }

    /// Starts to move slices out of domains where the rules no longer allow
    /// them.
    fn vacate_disallowed(&mut self) {
        let mut tally = DivisionTally::of(self.policy, &self.record);
        let mut remaining = self.remaining_moves();
        for slice in self.policy.count.indices() {
            let domain = self.record.domain_of(slice);
            if domain.is_none_or(|domain| self.policy.allows(domain)) {
                continue;
            }
            if remaining == 0 || !self.may_start_move(slice) {
                continue;
            }
            if let Some(target) = self.choose_target(slice, &mut tally) {
                remaining -= usize::from(self.set_target(slice, target));
            }
        }
    }

    /// Starts to move slices out of domains that have no server for them.
    ///
    /// If all servers are lost, nobody serves the slices, so all of them move
    /// at once. A server that is leaving releases a bounded number at a time.
    /// The slices do not return automatically, because each move makes callers
    /// wait.
    fn vacate_stranded(&mut self) {
        let mut tally = DivisionTally::of(self.policy, &self.record);
        let mut remaining = self.remaining_moves();
        for slice in self.policy.count.indices() {
            let Some(stranded_cause) = self.stranded_cause(slice) else {
                continue;
            };
            let full =
                stranded_cause == StrandedCause::Leaving && remaining == 0;
            if full || !self.may_start_move(slice) {
                continue;
            }
            if let Some(target) = self.choose_target(slice, &mut tally) {
                let started = usize::from(self.set_target(slice, target));
                remaining = remaining.saturating_sub(started);
            }
        }
    }

    /// Why the domain of `slice` has no server for it, if it has none.
    fn stranded_cause(&self, slice: SliceIndex) -> Option<StrandedCause> {
        let domain = self.record.domain_of(slice)?;
        self.views.get(domain)?.stranded
    }

    /// Whether `domain` may hold slices and is not known to lack servers for
    /// them.
    fn is_usable(&self, domain: &DomainName) -> bool {
        let stranded = |view: &DomainView| view.stranded.is_some();
        let allowed = self.policy.allows(domain);
        allowed && !self.views.get(domain).is_some_and(stranded)
    }

    /// Starts the requested moves that are possible.
    fn start_requested(&mut self, requested: &[DomainMove]) {
        let mut remaining = self.remaining_moves();
        for wanted in requested {
            let allowed = self.is_usable(&wanted.target);
            let suitable =
                self.has_no_old_release(&wanted.target, wanted.slice);
            if remaining == 0
                || !allowed
                || !suitable
                || !self.may_start_move(wanted.slice)
            {
                continue;
            }
            if let Some(target) =
                intern(&mut self.record, &wanted.target, self.policy)
            {
                remaining -=
                    usize::from(self.set_target(wanted.slice, target));
            }
        }
    }

    /// Whether a move of `slice` may start.
    ///
    /// A release that is on record *before* the move starts would complete the
    /// move at once, with the slice still held.
    fn may_start_move(&self, slice: SliceIndex) -> bool {
        let Some(holding) = self.record.holding(slice) else {
            return false;
        };
        let Some(domain) = self.record.domain_of(slice) else {
            return false;
        };
        holding.target.is_none() && self.has_no_old_release(domain, slice)
    }

    /// The number of further moves that may start.
    fn remaining_moves(&self) -> usize {
        let moving = self.record.slices.iter().filter(|h| h.target.is_some());
        let share = self.record.slices.len() / MOVING_DIVISOR;
        MAX_MOVING.max(share).saturating_sub(moving.count())
    }

    /// Whether `domain` was read and has no release of `slice` on record,
    /// which would keep it from granting the slice.
    ///
    /// A steward removes a release from its record once the slice has another
    /// holder. If it received the slice before that, it could not tell whether
    /// the release is the old one, and would grant nothing.
    fn has_no_old_release(
        &self,
        domain: &DomainName,
        slice: SliceIndex,
    ) -> bool {
        let view = self.views.get(domain);
        view.is_some_and(|view| !view.released.contains(slice))
    }

    /// Chooses the domain that receives `slice`: the one with the fewest
    /// slices for its capacity.
    fn choose_target(
        &mut self,
        slice: SliceIndex,
        tally: &mut DivisionTally<'_>,
    ) -> Option<u16> {
        let holder = self.record.domain_of(slice).cloned();
        let domain = tally.assign_next(|domain| {
            let other = holder.as_ref() != Some(domain);
            let usable = self.is_usable(domain);
            other && usable && self.has_no_old_release(domain, slice)
        })?;
        intern(&mut self.record, &domain, self.policy)
    }

    fn is_released(&self, domain: &DomainName, slice: SliceIndex) -> bool {
        let view = self.views.get(domain);
        view.is_some_and(|view| view.released.contains(slice))
    }

    fn holding(&self, slice: SliceIndex) -> SliceHolding {
        self.record.slices[slice.position()]
    }

    fn set(&mut self, slice: SliceIndex, holding: SliceHolding) {
        self.record.slices[slice.position()] = holding;
    }

    /// Sets `target` as the target of `slice`. Returns `false` if the slice is
    /// there already.
    fn set_target(&mut self, slice: SliceIndex, target: u16) -> bool {
        let domain = self.holding(slice).domain;
        let away = domain != target;
        if away {
            let target = Some(target);
            self.set(slice, SliceHolding { domain, target });
        }
        away
    }
}

/// The index of `domain` in the record, to which it is added if it is missing.
fn intern(
    record: &mut ServiceRecord,
    domain: &DomainName,
    policy: &ServicePolicy,
) -> Option<u16> {
    if let Some(position) = record.position(domain) {
        return Some(position);
    }
    record.domains.push(policy.record_domain(domain));
    u16::try_from(record.domains.len() - 1).ok()
}

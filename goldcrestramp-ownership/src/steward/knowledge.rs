//! The knowledge that a steward keeps in every role.

use std::sync::Arc;

use goldcrestramp_types::{LocalTime, SliceSet, TermId};

use crate::{
    message::ConfirmAsk,
    plan::{DomainPlan, DomainRecord, ServicePlan},
    roster::{RosterVoter, VoterRoster},
};

/// The steward that this VM's voter last confirmed, and when.
#[derive(Clone, Debug)]
pub(super) struct SeenSteward {
    pub(super) ask: ConfirmAsk,
    pub(super) at: LocalTime,
}

/// The knowledge that survives a change of role.
#[derive(Clone, Debug, Default)]
pub(super) struct StewardKnowledge {
    pub(super) roster: Option<VoterRoster>,
    pub(super) plan: Option<Arc<DomainPlan>>,
    /// The newest known record, either read or decided here.
    pub(super) record: DomainRecord,
    /// Whether the record has been read from the store.
    pub(super) record_read: bool,
    pub(super) vms: Vec<RosterVoter>,
    /// The version of the newest roster whose majority is known to have
    /// confirmed a steward.
    pub(super) adopted: u64,
    /// Whether a release was removed from the record since its last
    /// decision.
    pub(super) pruned: bool,
    /// The highest term number seen so far.
    pub(super) highest: u64,
    pub(super) seen: Option<SeenSteward>,
    /// The minimum plan version with which a VM may lead.
    pub(super) floor: u64,
}

impl StewardKnowledge {
    pub(super) fn observe_term(&mut self, term: TermId) {
        self.highest = self.highest.max(term.number);
    }

    /// Merges the store's record. Returns whether the store's record is
    /// older than this one.
    ///
    /// A store may be restored with older data. Acknowledged writes that it
    /// has lost are then kept here and written again.
    pub(super) fn merge_record(&mut self, read: Option<DomainRecord>) -> bool {
        let first = !std::mem::replace(&mut self.record_read, true);
        let read = read.unwrap_or_default();
        self.observe_term(read.token.term);
        let older = read.token < self.record.token;
        let (mut newer, other) = if older {
            (std::mem::take(&mut self.record), read)
        } else {
            (read, std::mem::take(&mut self.record))
        };
        // Decisions from before the first read did not know any release.
        for (service, slices) in other.released.iter().filter(|_| first) {
            let entry = newer.released.entry(service.clone()).or_default();
            entry.union_with(slices);
        }
        self.record = newer;
        older
    }

    /// Removes the releases that the current plan already includes. Returns
    /// whether there were any since the last call.
    ///
    /// A release that stayed in the store would keep the slice from ever
    /// returning to this domain, even if its servers are the last ones.
    pub(super) fn prune_releases(&mut self) -> bool {
        let Some(plan) = self.plan.clone() else {
            return false;
        };
        for service in &plan.services {
            let released = self.record.released.get_mut(&service.service);
            let Some(released) = released else { continue };
            let before = released.len();
            // A slice that the service's record assigns to another domain
            // needs no more protection against an old plan.
            released.intersect_with(&service.slices);
            self.pruned |= released.len() != before;
        }
        std::mem::take(&mut self.pruned)
    }

    /// Applies a plan unless it is older than or equal to the current one.
    /// Returns whether it was applied.
    pub(super) fn apply_plan(&mut self, plan: Arc<DomainPlan>) -> bool {
        let known = self.plan.as_ref();
        if known.is_some_and(|known| known.version > plan.version) {
            return false;
        }
        if known.is_some_and(|known| *known == plan) {
            return false;
        }
        let leaving = plan.services.iter().any(|s| !s.leaving.is_empty());
        if leaving {
            self.floor = self.floor.max(plan.version);
        }
        self.plan = Some(plan);
        self.pruned = self.prune_releases();
        true
    }

    /// The version of the current plan; zero before there is one.
    pub(super) fn plan_version(&self) -> u64 {
        self.plan.as_ref().map_or(0, |plan| plan.version)
    }

    /// The slices of a service that servers of this domain may hold: neither
    /// leaving nor released.
    pub(super) fn domain_slices(&self, service: &ServicePlan) -> SliceSet {
        let mut slices = service.slices.clone();
        slices.subtract(&service.leaving);
        if let Some(released) = self.record.released.get(&service.service) {
            slices.subtract(released);
        }
        slices
    }
}

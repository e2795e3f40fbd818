//! What a steward knows in every role.

use std::sync::Arc;

use goldcrestramp_types::{LocalTime, SliceSet, TermId};

use crate::{
    message::ConfirmAsk,
    plan::{DomainPlan, DomainRecord, ServicePlan},
    roster::{RosterVoter, VoterRoster},
};

/// Who was last seen to lead, and when.
#[derive(Clone, Debug)]
pub(super) struct SeenSteward {
    pub(super) ask: ConfirmAsk,
    pub(super) at: LocalTime,
}

/// What outlives a change of role.
#[derive(Clone, Debug, Default)]
pub(super) struct StewardKnowledge {
    pub(super) roster: Option<VoterRoster>,
    pub(super) plan: Option<Arc<DomainPlan>>,
    /// The newest record known, whether read or decided here.
    pub(super) record: DomainRecord,
    /// Whether the store has answered for the record.
    pub(super) record_read: bool,
    pub(super) vms: Vec<RosterVoter>,
    /// The newest roster by which a steward is known to have counted.
    pub(super) adopted: u64,
    /// Whether a release was taken off the record since it was written.
    pub(super) forgotten: bool,
    /// The highest number of a term seen anywhere.
    pub(super) highest: u64,
    pub(super) seen: Option<SeenSteward>,
    /// The oldest plan with which anybody may lead.
    pub(super) floor: u64,
}

impl StewardKnowledge {
    pub(super) fn note_term(&mut self, term: TermId) {
        self.highest = self.highest.max(term.number);
    }

    /// Takes the store's record; true when the store's is older than ours.
    ///
    /// A store may come back with older data: what was acknowledged since
    /// is then kept here and written again.
    pub(super) fn take_record(&mut self, read: Option<DomainRecord>) -> bool {
        let first = !std::mem::replace(&mut self.record_read, true);
        let read = read.unwrap_or_default();
        self.note_term(read.token.term);
        let older = read.token < self.record.token;
        let (mut newer, other) = if older {
            (std::mem::take(&mut self.record), read)
        } else {
            (read, std::mem::take(&mut self.record))
        };
        // Decisions made before the first answer knew of no release.
        for (service, slices) in other.released.iter().filter(|_| first) {
            let entry = newer.released.entry(service.clone()).or_default();
            entry.union_with(slices);
        }
        self.record = newer;
        older
    }

    /// Takes releases off the record that the plan in force has followed
    /// up; whether there were any.
    ///
    /// One that stayed in the store would keep the slice from ever coming
    /// back to this domain, though its servers may be the last.
    pub(super) fn forget_releases(&mut self) -> bool {
        let Some(plan) = self.plan.clone() else {
            return false;
        };
        for service in &plan.services {
            let released = self.record.released.get_mut(&service.service);
            let Some(released) = released else { continue };
            let before = released.len();
            // What the service's record gives to another domain needs no
            // protection against an old plan any more.
            released.intersect_with(&service.slices);
            self.forgotten |= released.len() != before;
        }
        std::mem::take(&mut self.forgotten)
    }

    /// Takes a plan unless it is older than the one in force.
    pub(super) fn take_plan(&mut self, plan: Arc<DomainPlan>) -> bool {
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
        self.forgotten = self.forget_releases();
        true
    }

    /// The version of the plan in force; zero before there is one.
    pub(super) fn plan_version(&self) -> u64 {
        self.plan.as_ref().map_or(0, |plan| plan.version)
    }

    /// The slices of a service that servers of this domain may hold.
    pub(super) fn domain_slices(&self, service: &ServicePlan) -> SliceSet {
        let mut slices = service.slices.clone();
        slices.subtract(&service.leaving);
        if let Some(released) = self.record.released.get(&service.service) {
            slices.subtract(released);
        }
        slices
    }
}

//! Changes of the roster by its steward, one voter at a time.

use goldcrestramp_types::{LocalTime, TimeSpan, VmName};

use crate::{
    roster::VoterRoster,
    steward::{
        claim::TermClaim, identity::StewardIdentity, keepers::KeeperBook,
        knowledge::StewardKnowledge,
    },
    timing::TermTiming,
};

/// How many leases a voter must have been silent to be dropped.
///
/// A VM that is replaced is gone from the list within seconds; one that is
/// cut off for less is better kept, because each change needs the store.
const SILENT_LEASES: u64 = 3;

/// A change that is on its way to the store.
#[derive(Clone, Debug, Default)]
pub(super) struct RosterChange {
    asked: bool,
    /// Not before: the store refused or did not answer.
    retry_at: LocalTime,
    /// No voter is added before: one was dropped for its silence.
    add_at: LocalTime,
}

impl RosterChange {
    /// The store has answered.
    pub(super) fn answered(&mut self) {
        self.asked = false;
    }

    /// The roster to save next, if a change is due and none is under way.
    pub(super) fn next_change(
        &mut self,
        now: LocalTime,
        view: &RosterView<'_>,
    ) -> Option<VoterRoster> {
        if self.asked && now >= self.retry_at {
            self.asked = false;
        }
        if view.claim.next.is_some() || self.asked {
            return None;
        }
        let lease = view.timing.lease;
        let mut next = view.without_silent(now);
        if next.is_some() {
            // Where messages get lost it would come and go several times
            // a second, and each change is a write to the store.
            self.add_at = now + lease;
        }
        next = next.or_else(|| view.without_leaving(now));
        next = next.or_else(|| view.without_gone(now));
        if now >= self.add_at {
            next = next.or_else(|| view.with_new(now));
        }
        let next = next?;
        self.asked = true;
        self.retry_at = now + lease;
        Some(next)
    }
}

/// What a steward's change of the roster depends on.
#[derive(Debug)]
pub(super) struct RosterView<'a> {
    pub(super) me: &'a StewardIdentity,
    pub(super) knowledge: &'a StewardKnowledge,
    pub(super) claim: &'a TermClaim,
    pub(super) keepers: &'a KeeperBook,
    pub(super) timing: &'a TermTiming,
}

impl RosterView<'_> {
    fn was_here(&self, now: LocalTime, vm: &VmName, within: TimeSpan) -> bool {
        let at = self.claim.confirmed_at(vm).unwrap_or_default();
        now.since(at) < within
    }

    fn is_here(&self, now: LocalTime, vm: &VmName) -> bool {
        self.was_here(now, vm, self.timing.missed_after)
    }

    /// Without a voter whose silence would soon end this steward's time.
    ///
    /// Of two voters the one that leads could else go on only until its
    /// last majority is a lease old, and the domain would stop serving.
    fn without_silent(&self, now: LocalTime) -> Option<VoterRoster> {
        let here = |vm: &VmName| self.is_here(now, vm);
        self.claim.counted.without_silent(here)
    }

    /// Without a VM that is leaving, while the others are a majority.
    fn without_leaving(&self, now: LocalTime) -> Option<VoterRoster> {
        let counted = &self.claim.counted;
        let leaves =
            |vm: &VmName| self.keepers.is_leaving(now, vm, self.timing);
        let leaving = counted.voters.iter().find(|v| leaves(&v.vm))?;
        let rest = counted.without(&leaving.vm);
        let here = rest.count(|vm| self.is_here(now, vm));
        let stay = rest.count(|vm| self.is_here(now, vm) && !leaves(vm));
        (here >= rest.majority() && stay > 0).then_some(rest)
    }

    /// Without a voter that is gone from the list of VMs.
    fn without_gone(&self, now: LocalTime) -> Option<VoterRoster> {
        let listed = &self.knowledge.vms;
        let long = self.timing.lease.percent(100 * SILENT_LEASES);
        let gone = self.claim.counted.voters.iter().find(|voter| {
            let other = voter.vm != self.me.vm;
            let absent = listed.iter().all(|vm| vm.vm != voter.vm);
            other && absent && !self.was_here(now, &voter.vm, long)
        });
        // An empty list is the list's fault, not the end of all VMs.
        let gone = gone.filter(|_| !listed.is_empty())?;
        Some(self.claim.counted.without(&gone.vm))
    }

    /// With a VM that reports and is no voter yet.
    fn with_new(&self, now: LocalTime) -> Option<VoterRoster> {
        let counted = &self.claim.counted;
        if counted.voters.len() >= VoterRoster::MAX_VOTERS {
            return None;
        }
        let new = self.knowledge.vms.iter().find(|vm| {
            let live = self.keepers.is_live(now, &vm.vm, self.timing);
            let leaving = self.keepers.is_leaving(now, &vm.vm, self.timing);
            live && !leaving && !counted.has(&vm.vm)
        })?;
        let mut next = counted.clone();
        next.voters.push(new.clone());
        next.version += 1;
        Some(next)
    }
}

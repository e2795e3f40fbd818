//! Changes of the roster by a leading steward, one voter at a time.

use goldcrestramp_types::{LocalTime, TimeSpan, VmName};

use crate::{
    roster::VoterRoster,
    steward::{
        claim::TermClaim, identity::StewardIdentity, keepers::KeeperTable,
        knowledge::StewardKnowledge,
    },
    timing::TermTiming,
};

/// The number of leases for which an unlisted voter must have been silent
/// before it is removed.
///
/// A replaced VM disappears from the VM list within seconds. A VM that is cut
/// off for a shorter time is kept, because each change needs the store.
const MAX_SILENT_LEASES: u64 = 3;

/// The change of the roster that is being written to the store.
#[derive(Clone, Debug, Default)]
pub(super) struct RosterChange {
    in_flight: bool,
    /// When a write without an answer counts as failed.
    retry_at: LocalTime,
    /// The earliest time at which a voter is added, after another one was
    /// removed for its silence.
    add_at: LocalTime,
}

impl RosterChange {
    /// Records that the store has answered.
    pub(super) fn complete(&mut self) {
        self.in_flight = false;
    }

    /// The roster to save next, if a change is due and none is in flight.
    pub(super) fn next_change(
        &mut self,
        now: LocalTime,
        context: &RosterContext<'_>,
    ) -> Option<VoterRoster> {
        if self.in_flight && now >= self.retry_at {
            self.in_flight = false;
        }
        if context.claim.next.is_some() || self.in_flight {
            return None;
        }
        let lease = context.timing.lease;
        let mut next = context.without_silent(now);
        if next.is_some() {
            // With message loss a voter would otherwise be removed and added
            // several times a second, and each change is a write to the
            // store.
            self.add_at = now + lease;
        }
        next = next.or_else(|| context.without_leaving(now));
        next = next.or_else(|| context.without_unlisted(now));
        if now >= self.add_at {
            next = next.or_else(|| context.with_new_voter(now));
        }
        let next = next?;
        self.in_flight = true;
        self.retry_at = now + lease;
        Some(next)
    }
}

/// The state on which a change of the roster depends.
#[derive(Debug)]
pub(super) struct RosterContext<'a> {
    pub(super) me: &'a StewardIdentity,
    pub(super) knowledge: &'a StewardKnowledge,
    pub(super) claim: &'a TermClaim,
    pub(super) keepers: &'a KeeperTable,
    pub(super) timing: &'a TermTiming,
}

impl RosterContext<'_> {
    fn was_present(
        &self,
        now: LocalTime,
        vm: &VmName,
        within: TimeSpan,
    ) -> bool {
        let at = self.claim.confirmed_at(vm).unwrap_or_default();
        now.since(at) < within
    }

    fn is_present(&self, now: LocalTime, vm: &VmName) -> bool {
        self.was_present(now, vm, self.timing.missed_after)
    }

    /// The roster without a voter whose silence would soon end this
    /// steward's time.
    ///
    /// Otherwise, of two voters, the one that leads could continue only
    /// until its last majority is a lease old, and then the domain would
    /// stop serving.
    fn without_silent(&self, now: LocalTime) -> Option<VoterRoster> {
        let present = |vm: &VmName| self.is_present(now, vm);
        self.claim.counted.without_silent(present)
    }

    /// The roster without a VM that is leaving, while the others are a
    /// majority.
    fn without_leaving(&self, now: LocalTime) -> Option<VoterRoster> {
        let counted = &self.claim.counted;
        let leaves =
            |vm: &VmName| self.keepers.is_leaving(now, vm, self.timing);
        let leaving = counted.voters.iter().find(|v| leaves(&v.vm))?;
        let rest = counted.without(&leaving.vm);
        let present = rest.count(|vm| self.is_present(now, vm));
        let stay = rest.count(|vm| self.is_present(now, vm) && !leaves(vm));
        (present >= rest.majority() && stay > 0).then_some(rest)
    }

    /// The roster without a voter that is no longer in the VM list.
    fn without_unlisted(&self, now: LocalTime) -> Option<VoterRoster> {
        let listed = &self.knowledge.vms;
        let max_silence = self.timing.lease.percent(100 * MAX_SILENT_LEASES);
        let unlisted = self.claim.counted.voters.iter().find(|voter| {
            let other = voter.vm != self.me.vm;
            let absent = listed.iter().all(|vm| vm.vm != voter.vm);
            other && absent && !self.was_present(now, &voter.vm, max_silence)
        });
        // An empty list indicates a fault of the list, not the loss of all
        // VMs.
        let unlisted = unlisted.filter(|_| !listed.is_empty())?;
        Some(self.claim.counted.without(&unlisted.vm))
    }

    /// The roster with a VM that reports and is not a voter yet.
    fn with_new_voter(&self, now: LocalTime) -> Option<VoterRoster> {
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

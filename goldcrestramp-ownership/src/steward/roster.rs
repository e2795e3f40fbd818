//! Changes of the roster, one voter at a time.

use goldcrestramp_types::{FastSet, LocalTime, VmName};

use crate::{
    roster::{RosterVoter, VoterRoster},
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
        me: &StewardIdentity,
        knowledge: &StewardKnowledge,
        claim: &TermClaim,
        keepers: &KeeperBook,
        timing: &TermTiming,
    ) -> Option<VoterRoster> {
        if self.asked && now >= self.retry_at {
            self.asked = false;
        }
        // An empty list is the list's fault, not the end of all VMs.
        let idle = claim.next.is_none() && !self.asked;
        if !idle || knowledge.vms.is_empty() {
            return None;
        }
        let listed: FastSet<&VmName> =
            knowledge.vms.iter().map(|vm| &vm.vm).collect();
        let confirmed = |voter: &RosterVoter| {
            let at = claim.confirmed_at(&voter.vm).unwrap_or_default();
            now.since(at) < timing.lease.percent(100 * SILENT_LEASES)
        };
        let counted = &claim.counted.voters;
        let gone = counted.iter().find(|voter| {
            let other = voter.vm != me.vm;
            other && !listed.contains(&voter.vm) && !confirmed(voter)
        });
        let added = || {
            knowledge.vms.iter().find(|vm| {
                let new = counted.iter().all(|voter| voter.vm != vm.vm);
                new && keepers.is_live(now, &vm.vm, timing)
            })
        };
        let mut voters = counted.clone();
        if let Some(gone) = gone {
            voters.retain(|voter| voter.vm != gone.vm);
        } else if counted.len() < VoterRoster::LIMIT {
            voters.push(added()?.clone());
        } else {
            return None;
        }
        self.asked = true;
        self.retry_at = now + timing.lease;
        let version = claim.counted.version + 1;
        Some(VoterRoster { domain: me.domain.clone(), version, voters })
    }
}

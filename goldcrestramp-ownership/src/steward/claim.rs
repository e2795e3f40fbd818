//! A claimed term and its confirmations.

use std::sync::Arc;

use goldcrestramp_types::{FastMap, FastSet, LocalTime, TermId, VmName};

use crate::{
    message::ConfirmAsk,
    roster::{RosterVoter, VoterRoster},
    safeguard::Safeguard,
    steward::{StewardEffect, identity::StewardIdentity},
    timing::TermTiming,
};

/// A voter's newest confirmation of a term.
#[derive(Clone, Copy, Debug)]
struct VoterConfirmation {
    sent: LocalTime,
    roster: u64,
}

/// A term that this VM claims, and the confirmations of its voters.
#[derive(Clone, Debug)]
pub(super) struct TermClaim {
    pub(super) term: TermId,
    /// The roster whose majority decides.
    pub(super) counted: VoterRoster,
    /// The roster that the store has accepted and no majority has confirmed
    /// yet.
    pub(super) next: Option<VoterRoster>,
    confirmed: FastMap<VmName, VoterConfirmation>,
    /// The voters that have sent any answer.
    answered: FastSet<VmName>,
    ask_at: LocalTime,
    /// The plan version that requests contain.
    plan: u64,
    floor: u64,
    /// When `floor` last increased.
    floor_at: LocalTime,
}

impl TermClaim {
    pub(super) fn new(term: TermId, roster: VoterRoster) -> Self {
        Self {
            term,
            counted: roster,
            next: None,
            confirmed: FastMap::default(),
            answered: FastSet::default(),
            ask_at: LocalTime::default(),
            plan: 0,
            floor: 0,
            floor_at: LocalTime::default(),
        }
    }

    /// Sets the plan versions that requests contain from now on.
    pub(super) fn set_plan(&mut self, now: LocalTime, plan: u64, floor: u64) {
        self.plan = plan;
        if floor > self.floor {
            self.floor = floor;
            self.floor_at = now;
        }
    }

    /// Whether a majority refuses stewards with a plan below the floor.
    ///
    /// This holds once a majority has confirmed a request sent after the
    /// floor last increased.
    pub(super) fn has_floor(&self) -> bool {
        self.majority_at()
            .is_some_and(|majority_at| majority_at > self.floor_at)
    }

    /// Makes the next requests due at the next tick instead of after the
    /// regular interval.
    pub(super) fn request_soon(&mut self) {
        self.ask_at = LocalTime::default();
    }

    /// The requests that are due, to the voters of both rosters.
    pub(super) fn asks(
        &mut self,
        now: LocalTime,
        me: &StewardIdentity,
        established: bool,
        timing: &TermTiming,
    ) -> Vec<StewardEffect> {
        if now < self.ask_at {
            return Vec::new();
        }
        self.ask_at = now + timing.confirm_interval;
        let ask = self.request(me, established);
        let own = established || self.needs_only_own(me);
        let voters = self.voters().into_iter();
        voters
            .filter(|voter| own || voter.vm != me.vm)
            .map(|voter| StewardEffect::AskVoter { voter, ask: ask.clone() })
            .collect()
    }

    /// The request to this VM's own voter, once only its confirmation is
    /// missing.
    ///
    /// A candidate that cannot win must not bind its own voter to a higher
    /// term. After a partition that voter would refuse the current steward
    /// for as long as it leads, and the domain would have one voter less.
    pub(super) fn ask_own(
        &self,
        me: &StewardIdentity,
    ) -> Option<StewardEffect> {
        let asked = self.confirmed.contains_key(&me.vm);
        if asked || !self.needs_only_own(me) {
            return None;
        }
        let voters = &self.counted.voters;
        let voter = voters.iter().find(|v| v.vm == me.vm)?.clone();
        let ask = self.request(me, false);
        Some(StewardEffect::AskVoter { voter, ask })
    }

    fn request(&self, me: &StewardIdentity, established: bool) -> ConfirmAsk {
        ConfirmAsk {
            domain: me.domain.clone(),
            vm: me.vm.clone(),
            address: Arc::clone(&me.address),
            term: self.term,
            roster: self.newest().version,
            established,
            plan: self.plan,
            floor: self.floor,
            counted: if established { self.counted.version } else { 0 },
        }
    }

    fn needs_only_own(&self, me: &StewardIdentity) -> bool {
        let others = self.counted.voters.iter().filter(|v| v.vm != me.vm);
        let confirmed =
            others.filter(|v| self.confirmed.contains_key(&v.vm)).count();
        confirmed + 1 >= self.counted.majority()
    }

    fn voters(&self) -> Vec<RosterVoter> {
        let mut voters = self.counted.voters.clone();
        if let Some(next) = &self.next {
            let new = |v: &&RosterVoter| !voters.contains(v);
            let added: Vec<_> =
                next.voters.iter().filter(new).cloned().collect();
            voters.extend(added);
        }
        voters
    }

    pub(super) fn newest(&self) -> &VoterRoster {
        self.next.as_ref().unwrap_or(&self.counted)
    }

    /// Records that a voter is reachable, whatever it answered.
    pub(super) fn record_answer(&mut self, voter: VmName) {
        self.answered.insert(voter);
    }

    /// Whether a voter has answered a request of this claim.
    pub(super) fn has_answered(&self, voter: &VmName) -> bool {
        self.answered.contains(voter)
    }

    /// Records a confirmation, valid from when its request was sent.
    ///
    /// If it were valid from when the answer arrived, a slow answer would
    /// let a steward continue after its voter has confirmed another.
    pub(super) fn confirm(
        &mut self,
        voter: VmName,
        sent: LocalTime,
        roster: u64,
    ) {
        let newer = VoterConfirmation { sent, roster };
        let entry = self.confirmed.entry(voter).or_insert(newer);
        if entry.sent <= sent {
            *entry = newer;
        }
    }

    /// When the newest majority's oldest request was sent; `None` without a
    /// majority.
    pub(super) fn majority_at(&self) -> Option<LocalTime> {
        self.majority_of(&self.counted)
    }

    /// When this term's time ends, unless it is confirmed again.
    pub(super) fn until(&self, timing: &TermTiming) -> LocalTime {
        let at = self.majority_at();
        at.map_or(LocalTime::default(), |at| at + timing.lease)
    }

    /// When a voter last confirmed this term.
    pub(super) fn confirmed_at(&self, voter: &VmName) -> Option<LocalTime> {
        self.confirmed.get(voter).map(|confirmation| confirmation.sent)
    }

    /// Adopts the next roster as soon as its majority has confirmed.
    ///
    /// Majorities of rosters that differ by one voter overlap. Those of
    /// rosters two changes apart need not, and each could have a steward.
    pub(super) fn adopt_next(&mut self, now: LocalTime, timing: &TermTiming) {
        let Some(next) = &self.next else {
            return;
        };
        let majority_at = self.majority_of(next);
        let fresh = majority_at
            .is_some_and(|majority_at| now < majority_at + timing.lease);
        if fresh || !timing.safeguards.has(Safeguard::RosterStep) {
            self.counted = next.clone();
            self.next = None;
        }
    }

    fn majority_of(&self, roster: &VoterRoster) -> Option<LocalTime> {
        let confirmations =
            roster.voters.iter().filter_map(|v| self.confirmed.get(&v.vm));
        let mut sent_times: Vec<LocalTime> = confirmations
            .filter(|confirmation| confirmation.roster >= roster.version)
            .map(|confirmation| confirmation.sent)
            .collect();
        sent_times.sort_unstable_by(|a, b| b.cmp(a));
        sent_times.get(roster.majority() - 1).copied()
    }
}

//! A term that is claimed, and who has confirmed it.

use std::sync::Arc;

use goldcrestramp_types::{FastMap, FastSet, LocalTime, TermId, VmName};

use crate::{
    message::ConfirmAsk,
    roster::{RosterVoter, VoterRoster},
    safeguard::Safeguard,
    steward::{StewardEffect, identity::StewardIdentity},
    timing::TermTiming,
};

/// A voter's newest confirmation.
#[derive(Clone, Copy, Debug)]
struct VoterConfirmation {
    sent: LocalTime,
    roster: u64,
}

/// A term, and its confirmations.
#[derive(Clone, Debug)]
pub(super) struct TermClaim {
    pub(super) term: TermId,
    /// The roster whose majority counts.
    pub(super) counted: VoterRoster,
    /// The roster that the store has taken and a majority not yet.
    pub(super) next: Option<VoterRoster>,
    confirmed: FastMap<VmName, VoterConfirmation>,
    /// Who has answered at all.
    answered: FastSet<VmName>,
    ask_at: LocalTime,
    /// What its questions say of plans.
    plan: u64,
    floor: u64,
    /// When the floor last rose.
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

    /// Sets what its questions say of plans from now on.
    pub(super) fn set_plan(&mut self, now: LocalTime, plan: u64, floor: u64) {
        self.plan = plan;
        if floor > self.floor {
            self.floor = floor;
            self.floor_at = now;
        }
    }

    /// Whether a majority refuses stewards with a plan below the floor.
    pub(super) fn has_floor(&self) -> bool {
        self.begun().is_some_and(|begun| begun > self.floor_at)
    }

    /// Asks at the next tick, without waiting for the usual time.
    pub(super) fn ask_soon(&mut self) {
        self.ask_at = LocalTime::default();
    }

    /// The questions that are due, to everyone whose answer counts.
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
        let ask = self.question(me, established);
        let own = established || self.needs_only_own(me);
        let voters = self.voters().into_iter();
        voters
            .filter(|voter| own || voter.vm != me.vm)
            .map(|voter| StewardEffect::AskVoter { voter, ask: ask.clone() })
            .collect()
    }

    /// The question to the own voter once only its answer is missing.
    ///
    /// A candidate that cannot win must not bind its own voter to a higher
    /// term: after a partition that voter would refuse the present steward
    /// for as long as it leads, and the domain would run with one less.
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
        let ask = self.question(me, false);
        Some(StewardEffect::AskVoter { voter, ask })
    }

    fn question(&self, me: &StewardIdentity, established: bool) -> ConfirmAsk {
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

    /// Notes that a voter is there, whatever it answered.
    pub(super) fn heard(&mut self, voter: VmName) {
        self.answered.insert(voter);
    }

    /// Whether a voter has answered this claim.
    pub(super) fn has_heard(&self, voter: &VmName) -> bool {
        self.answered.contains(voter)
    }

    /// Counts a confirmation from when its question was sent.
    ///
    /// Counting from the answer would let a steward act on for as long as
    /// the answer took, while its voter has confirmed another.
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

    /// When the newest majority began to confirm; `None` without one.
    pub(super) fn begun(&self) -> Option<LocalTime> {
        self.majority_of(&self.counted)
    }

    /// When this term's time ends, unless it is confirmed again.
    pub(super) fn until(&self, timing: &TermTiming) -> LocalTime {
        let begun = self.begun();
        begun.map_or(LocalTime::default(), |begun| begun + timing.lease)
    }

    /// When a voter last confirmed this term.
    pub(super) fn confirmed_at(&self, voter: &VmName) -> Option<LocalTime> {
        self.confirmed.get(voter).map(|confirmation| confirmation.sent)
    }

    /// Counts by the next roster as soon as its majority has confirmed.
    ///
    /// Majorities of rosters that differ by one voter meet; those of
    /// rosters two changes apart need not, and each could have a steward.
    pub(super) fn adopt_next(&mut self, now: LocalTime, timing: &TermTiming) {
        let Some(next) = &self.next else {
            return;
        };
        let begun = self.majority_of(next);
        let fresh = begun.is_some_and(|begun| now < begun + timing.lease);
        if fresh || !timing.safeguards.has(Safeguard::RosterStep) {
            self.counted = next.clone();
            self.next = None;
        }
    }

    fn majority_of(&self, roster: &VoterRoster) -> Option<LocalTime> {
        let confirmations =
            roster.voters.iter().filter_map(|v| self.confirmed.get(&v.vm));
        let mut sents: Vec<LocalTime> = confirmations
            .filter(|confirmation| confirmation.roster >= roster.version)
            .map(|confirmation| confirmation.sent)
            .collect();
        sents.sort_unstable_by(|a, b| b.cmp(a));
        sents.get(roster.majority() - 1).copied()
    }
}

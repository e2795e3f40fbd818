//! The transitions between follower, candidate and leader.

use goldcrestramp_types::{LocalTime, TermId, TimeSpan, VmName};

use super::{
    Confirmation, StewardEffect, StewardMachine, StewardRole,
    claim::TermClaim, knowledge::SeenSteward, leader::LeadingSteward,
};
use crate::{
    message::{ConfirmAnswer, ConfirmAsk},
    roster::{RosterVoter, VoterRoster},
    safeguard::Safeguard,
};

/// The delay of each voter's candidacy after that of the voter before it in
/// the roster.
///
/// This is longer than the 50 ms between two ticks plus a round trip to the
/// voters. Two simultaneous candidates keep each other from a majority for
/// 0.6 s.
const CANDIDATE_STAGGER_MS: u64 = 60;

/// When a candidate starts to treat voters without an answer as absent, in
/// percent of the interval between two requests. At 150 the second request
/// has had time to be answered.
const REDUCE_AFTER_PERCENT: u64 = 150;

impl StewardMachine {
    pub(super) fn tick(&mut self, now: LocalTime) -> Vec<StewardEffect> {
        match &mut self.role {
            StewardRole::Follower { not_before, immediate } => {
                let (due, immediate) = (*not_before, *immediate);
                self.campaign(now, due, immediate)
            }
            StewardRole::Candidate { give_up, .. } if now >= *give_up => {
                self.follow(now);
                self.read_roster_again(now)
            }
            StewardRole::Candidate { claim, reduce_at, .. } => {
                let due = now >= *reduce_at;
                let effects = claim.asks(now, &self.me, false, &self.timing);
                let reduced = if due { self.reduced_roster() } else { None };
                let Some(roster) = reduced else {
                    return effects;
                };
                self.follow(now);
                self.pending_reduction = Some(roster.version);
                vec![StewardEffect::SaveRoster(roster)]
            }
            StewardRole::Leading(leading) => {
                // It was not confirmed for a lease and may have been
                // replaced. It has to be elected again, under a higher
                // term.
                if now >= leading.until() {
                    self.follow(now);
                    return Vec::new();
                }
                leading.tick(now, &self.me, &mut self.knowledge)
            }
        }
    }

    /// Becomes a candidate once the current steward has timed out.
    ///
    /// Voters do so one after another, in the roster's order, so that two
    /// candidates do not keep each other from a majority.
    pub(super) fn campaign(
        &mut self,
        now: LocalTime,
        not_before: LocalTime,
        immediate: bool,
    ) -> Vec<StewardEffect> {
        let (Some(roster), Some(_)) =
            (&self.knowledge.roster, &self.knowledge.plan)
        else {
            return Vec::new();
        };
        let own = |voter: &RosterVoter| voter.vm == self.me.vm;
        let Some(rank) = roster.voters.iter().position(own) else {
            return Vec::new();
        };
        let stagger =
            TimeSpan::from_millis(CANDIDATE_STAGGER_MS * rank as u64);
        let seen = self.knowledge.seen.as_ref().map(|seen| seen.at);
        let missed = seen.unwrap_or_default() + self.timing.missed_after;
        if !immediate && now < missed.max(not_before) + stagger {
            return Vec::new();
        }
        let number = self.knowledge.highest + 1;
        self.knowledge.highest = number;
        let term = TermId::new(number, &self.me.vm, self.me.start);
        let mut claim = TermClaim::new(term, roster.clone());
        let plan = self.knowledge.plan_version();
        claim.set_plan(now, plan, self.knowledge.floor);
        let mut effects = claim.asks(now, &self.me, false, &self.timing);
        effects.extend(claim.ask_own(&self.me));
        let wait = self.timing.confirm_interval.percent(REDUCE_AFTER_PERCENT);
        let reduce_at = now + wait;
        let give_up = now + self.timing.missed_after;
        let claim = Box::new(claim);
        self.role = StewardRole::Candidate { claim, reduce_at, give_up };
        effects
    }

    /// The roster without a voter that does not answer this candidate, if
    /// the voters that answer are a majority of the result.
    ///
    /// Without this, a domain of two that loses one VM could never elect
    /// again. The store decides which of the two continues, because it
    /// accepts only one change of a version.
    ///
    /// Only an adopted roster is reduced: one whose majority has confirmed
    /// a steward. Each of its majorities overlaps each majority of the
    /// reduced roster, and a majority of it refuses older rosters. If
    /// nobody has adopted a roster, the one before it may still be in use.
    /// Majorities of rosters two changes apart need not overlap, and each
    /// could elect a steward.
    fn reduced_roster(&self) -> Option<VoterRoster> {
        let StewardRole::Candidate { claim, .. } = &self.role else {
            return None;
        };
        let roster = &claim.counted;
        let adopted = self.knowledge.adopted == roster.version
            || !self.timing.safeguards.has(Safeguard::RosterAdopted);
        let here = |vm: &VmName| *vm == self.me.vm || claim.has_answered(vm);
        roster.without_silent(here).filter(|_| adopted)
    }

    /// Becomes a candidate at once if this VM has reduced the saved roster.
    pub(super) fn roster_reduced(
        &mut self,
        now: LocalTime,
        saved: u64,
    ) -> Vec<StewardEffect> {
        let mine = self.pending_reduction.take() == Some(saved);
        let following = matches!(self.role, StewardRole::Follower { .. });
        if mine && following {
            return self.campaign(now, now, true);
        }
        Vec::new()
    }

    /// Becomes a follower. It waits before its next candidacy until its own
    /// voter may confirm another term.
    pub(super) fn follow(&mut self, now: LocalTime) {
        if let StewardRole::Leading(leading) = &self.role {
            self.moved += leading.moved;
        }
        let not_before = now + self.timing.renew_interval;
        self.role = StewardRole::Follower { not_before, immediate: false };
    }

    /// Stops leading under this term and becomes a candidate for a higher
    /// one at the next tick.
    pub(super) fn start_higher_term(&mut self, now: LocalTime, term: TermId) {
        self.knowledge.observe_term(term);
        self.follow(now);
        self.role = StewardRole::Follower { not_before: now, immediate: true };
    }

    pub(super) fn steward_seen(
        &mut self,
        now: LocalTime,
        ask: ConfirmAsk,
        at: LocalTime,
    ) -> Vec<StewardEffect> {
        self.knowledge.observe_term(ask.term);
        let higher = match &self.role {
            StewardRole::Follower { .. } => false,
            StewardRole::Candidate { claim, .. } => ask.term > claim.term,
            StewardRole::Leading(leading) => ask.term > leading.claim.term,
        };
        let named = ask.roster;
        self.knowledge.floor = self.knowledge.floor.max(ask.floor);
        self.knowledge.adopted = self.knowledge.adopted.max(ask.counted);
        self.knowledge.seen = Some(SeenSteward { ask, at });
        if higher {
            self.follow(now);
        }
        let known = self.knowledge.roster.as_ref().map_or(0, |r| r.version);
        if named <= known {
            return Vec::new();
        }
        // Without the newest roster this VM could not succeed the steward.
        self.read_roster_again(now)
    }

    /// Reads the roster, at most once per lease.
    ///
    /// A steward that is lost just after it wrote a roster has not sent it
    /// to its voters. A candidate with the previous roster gets no majority
    /// if the lost VM was half of that roster. Without this read nobody
    /// would ever lead the domain again.
    fn read_roster_again(&mut self, now: LocalTime) -> Vec<StewardEffect> {
        if now < self.read_again_at {
            return Vec::new();
        }
        self.read_again_at = now + self.timing.lease;
        vec![StewardEffect::ReadRoster]
    }

    pub(super) fn voter_answered(
        &mut self,
        now: LocalTime,
        from: Confirmation,
        answer: ConfirmAnswer,
    ) -> Vec<StewardEffect> {
        // A steward that was not confirmed for a lease may have been
        // replaced, so a later answer must not extend its term. A voter that
        // has restarted since and has lost the newer roster may send one.
        if self.has_expired(now) {
            self.follow(now);
        }
        let claim = match &mut self.role {
            StewardRole::Follower { .. } => return Vec::new(),
            StewardRole::Candidate { claim, .. } => claim,
            StewardRole::Leading(leading) => &mut leading.claim,
        };
        if claim.term != from.term {
            return Vec::new();
        }
        claim.record_answer(from.voter.clone());
        match answer {
            ConfirmAnswer::Confirmed => {
                claim.confirm(from.voter, from.sent, from.roster);
                self.confirmed(now)
            }
            ConfirmAnswer::Refused { highest } if highest > claim.term => {
                self.knowledge.observe_term(highest);
                if let StewardRole::Leading(_) = &self.role {
                    self.start_higher_term(now, highest);
                }
                Vec::new()
            }
            // The voter follows another steward or knows a newer roster.
            ConfirmAnswer::Refused { .. } => vec![StewardEffect::ReadRoster],
            ConfirmAnswer::Silent => Vec::new(),
        }
    }

    /// Whether this VM leads and its time has ended.
    fn has_expired(&self, now: LocalTime) -> bool {
        let guarded = self.timing.safeguards.has(Safeguard::LateAnswer);
        let StewardRole::Leading(leading) = &self.role else {
            return false;
        };
        guarded && now >= leading.until()
    }

    /// Starts to lead once a majority has confirmed.
    pub(super) fn confirmed(&mut self, now: LocalTime) -> Vec<StewardEffect> {
        let StewardRole::Candidate { claim, .. } = &self.role else {
            return Vec::new();
        };
        let Some(plan) = self.knowledge.plan.clone() else {
            return Vec::new();
        };
        if now >= claim.until(&self.timing) {
            return claim.ask_own(&self.me).into_iter().collect();
        }
        let claim = TermClaim::clone(claim);
        let leading = LeadingSteward::new(now, claim, &plan, self.timing);
        self.role = StewardRole::Leading(Box::new(leading));
        // Others may have written the record since this VM last read it.
        self.knowledge.record_read = false;
        Vec::new()
    }
}

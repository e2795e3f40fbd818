//! From follower to candidate to leader, and back.

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

/// How long after the one before it a voter becomes a candidate.
///
/// Longer than the 50 ms between two ticks and a round to the voters: two
/// that meet keep each other from a majority for 0.6 s.
const TURN_MILLIS: u64 = 60;

/// From when a candidate takes silence for absence, in percent of the time
/// between two questions: a second one has then had time to be answered.
const ABSENT_PERCENT: u64 = 150;

impl StewardMachine {
    pub(super) fn tick(&mut self, now: LocalTime) -> Vec<StewardEffect> {
        match &mut self.role {
            StewardRole::Follower { not_before, eager } => {
                let (due, eager) = (*not_before, *eager);
                self.campaign(now, due, eager)
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
                self.reducing = Some(roster.version);
                vec![StewardEffect::SaveRoster(roster)]
            }
            StewardRole::Leading(leading) => {
                // Left unconfirmed for a lease, it may have been replaced;
                // it has to be elected again, under a higher term.
                if now >= leading.until() {
                    self.follow(now);
                    return Vec::new();
                }
                leading.tick(now, &self.me, &mut self.knowledge)
            }
        }
    }

    /// Becomes a candidate once the present steward has been missed.
    ///
    /// Voters come one after another, in the roster's order, so that two
    /// do not keep each other from a majority.
    pub(super) fn campaign(
        &mut self,
        now: LocalTime,
        not_before: LocalTime,
        eager: bool,
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
        let turn = TimeSpan::from_millis(TURN_MILLIS * rank as u64);
        let seen = self.knowledge.seen.as_ref().map(|seen| seen.at);
        let missed = seen.unwrap_or_default() + self.timing.missed_after;
        if !eager && now < missed.max(not_before) + turn {
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
        let wait = self.timing.confirm_interval.percent(ABSENT_PERCENT);
        let reduce_at = now + wait;
        let give_up = now + self.timing.missed_after;
        let claim = Box::new(claim);
        self.role = StewardRole::Candidate { claim, reduce_at, give_up };
        effects
    }

    /// The roster without a voter that does not answer this candidate, if
    /// that makes those who answer a majority.
    ///
    /// A domain of two that loses one could else never elect again, though
    /// the store is there to tell which of the two goes on: it takes one
    /// change of a version. Only an adopted roster is reduced, by which a
    /// steward has counted. Each of its majorities meets each of the one
    /// without that voter, and a majority of it refuses older rosters. Of
    /// one that nobody has adopted, the one before may still count: two
    /// changes apart majorities need not meet, and each could elect.
    fn reduced_roster(&self) -> Option<VoterRoster> {
        let StewardRole::Candidate { claim, .. } = &self.role else {
            return None;
        };
        let roster = &claim.counted;
        let adopted = self.knowledge.adopted == roster.version
            || !self.timing.safeguards.has(Safeguard::RosterAdopted);
        let here = |vm: &VmName| *vm == self.me.vm || claim.has_heard(vm);
        roster.without_silent(here).filter(|_| adopted)
    }

    /// Asks at once for a majority of the roster that this VM has reduced.
    pub(super) fn roster_reduced(
        &mut self,
        now: LocalTime,
        saved: u64,
    ) -> Vec<StewardEffect> {
        let mine = self.reducing.take() == Some(saved);
        let following = matches!(self.role, StewardRole::Follower { .. });
        if mine && following {
            return self.campaign(now, now, true);
        }
        Vec::new()
    }

    /// Stops leading or asking; asks again after its voter is free.
    pub(super) fn follow(&mut self, now: LocalTime) {
        if let StewardRole::Leading(leading) = &self.role {
            self.moved += leading.moved;
        }
        let not_before = now + self.timing.renew_interval;
        self.role = StewardRole::Follower { not_before, eager: false };
    }

    /// Stops leading under this term and asks at once for a higher one.
    pub(super) fn go_above(&mut self, now: LocalTime, term: TermId) {
        self.knowledge.note_term(term);
        self.follow(now);
        self.role = StewardRole::Follower { not_before: now, eager: true };
    }

    pub(super) fn saw(
        &mut self,
        now: LocalTime,
        ask: ConfirmAsk,
        at: LocalTime,
    ) -> Vec<StewardEffect> {
        self.knowledge.note_term(ask.term);
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
        // Without the newest roster this VM could not follow the steward.
        self.read_roster_again(now)
    }

    /// Reads the roster, at most once a lease.
    ///
    /// A steward that is lost just after it wrote a roster has told its
    /// voters nothing of it. One that asks by the former roster gets no
    /// majority where the lost VM was half of that, and without this read
    /// nobody would ever lead the domain again.
    fn read_roster_again(&mut self, now: LocalTime) -> Vec<StewardEffect> {
        if now < self.read_again_at {
            return Vec::new();
        }
        self.read_again_at = now + self.timing.lease;
        vec![StewardEffect::ReadRoster]
    }

    pub(super) fn answered(
        &mut self,
        now: LocalTime,
        from: Confirmation,
        answer: ConfirmAnswer,
    ) -> Vec<StewardEffect> {
        // Left unconfirmed for a lease, it may have been replaced: an answer
        // that comes later must not let its term go on. A voter that has
        // started since, and has forgotten the newer roster, may give one.
        if self.is_over(now) {
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
        claim.heard(from.voter.clone());
        match answer {
            ConfirmAnswer::Confirmed => {
                claim.confirm(from.voter, from.sent, from.roster);
                self.confirmed(now)
            }
            ConfirmAnswer::Refused { highest } if highest > claim.term => {
                self.knowledge.note_term(highest);
                if let StewardRole::Leading(_) = &self.role {
                    self.go_above(now, highest);
                }
                Vec::new()
            }
            // It follows another, or knows a newer roster.
            ConfirmAnswer::Refused { .. } => vec![StewardEffect::ReadRoster],
            ConfirmAnswer::Silent => Vec::new(),
        }
    }

    /// Whether it leads and its time has ended.
    fn is_over(&self, now: LocalTime) -> bool {
        let guarded = self.timing.safeguards.has(Safeguard::LateAnswer);
        let StewardRole::Leading(leading) = &self.role else {
            return false;
        };
        guarded && now >= leading.until()
    }

    /// Leads once a majority has confirmed.
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
        // Others may have written since this VM last read.
        self.knowledge.record_read = false;
        Vec::new()
    }
}

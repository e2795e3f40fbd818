//! From follower to candidate to leader, and back.

use goldcrestramp_types::{LocalTime, TermId, TimeSpan};

use super::{
    Confirmation, StewardEffect, StewardMachine, StewardRole,
    claim::TermClaim, knowledge::SeenSteward, leader::LeadingSteward,
};
use crate::{
    message::{ConfirmAnswer, ConfirmAsk},
    roster::RosterVoter,
};

/// How long after the one before it a voter becomes a candidate.
///
/// Longer than the 50 ms between two ticks and a round to the voters: two
/// that meet keep each other from a majority for 0.6 s.
const TURN_MILLIS: u64 = 60;

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
            StewardRole::Candidate { claim, .. } => {
                claim.asks(now, &self.me, false, &self.timing)
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
        let give_up = now + self.timing.missed_after;
        self.role = StewardRole::Candidate { claim, give_up };
        effects
    }

    /// Stops leading or asking; asks again after its voter is free.
    pub(super) fn follow(&mut self, now: LocalTime) {
        if let StewardRole::Leading(leading) = &self.role {
            self.moved += leading.moved;
        }
        let not_before = now + self.timing.renew_every;
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
        let claim = match &mut self.role {
            StewardRole::Follower { .. } => return Vec::new(),
            StewardRole::Candidate { claim, .. } => claim,
            StewardRole::Leading(leading) => &mut leading.claim,
        };
        if claim.term != from.term {
            return Vec::new();
        }
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
        let claim = claim.clone();
        let leading = LeadingSteward::new(now, claim, &plan, self.timing);
        self.role = StewardRole::Leading(Box::new(leading));
        // Others may have written since this VM last read.
        self.knowledge.record_read = false;
        Vec::new()
    }
}

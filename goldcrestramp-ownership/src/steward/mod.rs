//! The steward: who in the failure domain holds which slice.

mod claim;
mod identity;
mod keepers;
mod knowledge;
mod leader;
mod led;
mod placement;
mod publish;
mod roster;

use std::sync::Arc;

use goldcrestramp_types::{
    DomainName, FastMap, LocalTime, ServerName, SliceSet, TermId, TimeSpan,
    VmName,
};

use self::{
    claim::TermClaim,
    identity::StewardIdentity,
    knowledge::{SeenSteward, StewardKnowledge},
    leader::LeadingSteward,
};
use crate::{
    message::{ConfirmAnswer, ConfirmAsk, KeeperReport, PermitAnswer},
    plan::{DomainPlan, DomainRecord, SliceMove},
    roster::{RosterVoter, VoterRoster},
    table::DomainTable,
    timing::TermTiming,
};

/// How long after the one before it a voter becomes a candidate.
///
/// Longer than the 50 ms between two ticks and a round to the voters: two
/// that meet keep each other from a majority for 0.6 s.
const TURN_MILLIS: u64 = 60;

/// What happens to a steward, besides a keeper's question.
#[derive(Clone, Debug)]
pub enum StewardEvent {
    /// Time has passed; sent at least every 50 ms.
    Tick,
    /// This VM's own voter last confirmed `ask` at `at`: who leads.
    StewardSeen {
        /// The confirmed question.
        ask: ConfirmAsk,
        /// When it was confirmed.
        at: LocalTime,
    },
    /// A voter answered what was asked of it at `sent`.
    Answered {
        /// The voter.
        voter: VmName,
        /// When the question was sent.
        sent: LocalTime,
        /// The term that it named.
        term: TermId,
        /// The roster version that it named.
        roster: u64,
        /// The answer.
        answer: ConfirmAnswer,
    },
    /// The roster as the store has it; `None`: the store has none.
    RosterRead(Option<VoterRoster>),
    /// The store took the roster that [`StewardEffect::SaveRoster`] asked
    /// for, or refused it because another was there (read it again).
    RosterSaved(Result<VoterRoster, ()>),
    /// The configuration, and the slices of this domain.
    PlanRead(Arc<DomainPlan>),
    /// The domain's record, or that the store has none.
    RecordRead(Option<DomainRecord>),
    /// The store took the record with this token.
    RecordSaved(goldcrestramp_types::FenceToken),
    /// The VMs of this domain on the platform's list.
    VmsRead(Vec<RosterVoter>),
    /// Placement asks for moves.
    MovesAsked(Vec<SliceMove>),
}

/// What the caller of a [`StewardMachine`] is to do.
#[derive(Clone, Debug)]
pub enum StewardEffect {
    /// Ask a voter, and give its answer back as an event.
    AskVoter {
        /// The voter.
        voter: RosterVoter,
        /// The question.
        ask: ConfirmAsk,
    },
    /// Write the roster if the store still has the version before it.
    SaveRoster(VoterRoster),
    /// Tell this VM's [`VoterState`](crate::VoterState) which roster
    /// version the store has.
    LearnRoster(u64),
    /// Read the roster from the store again.
    ReadRoster,
    /// Write the record if it is newer than what the store has.
    SaveRecord(DomainRecord),
    /// Read the domain's record from the store.
    ReadRecord,
    /// Stream this table to the domain and to other stewards.
    Publish(Arc<DomainTable>),
}

/// What a steward shows to operators.
#[derive(Clone, Debug, Default)]
pub struct StewardStatus {
    /// Whether a majority confirms this VM now.
    pub leading: bool,
    /// Its term, or the term that it follows.
    pub term: TermId,
    /// Until when it may act.
    pub until: LocalTime,
    /// Whether it may move slices already.
    pub may_move: bool,
    /// Moves begun and not ended.
    pub moving: usize,
    /// Slices moved since the process started.
    pub moved: u64,
    /// Each server's slices.
    pub holders: FastMap<ServerName, SliceSet>,
    /// Each server's keeper.
    pub keepers: FastMap<ServerName, VmName>,
}

/// The part that a steward plays, one after another.
#[derive(Clone, Debug)]
enum StewardRole {
    /// Another leads, or nobody does yet; not a candidate before a moment.
    ///
    /// One that is `eager` led just now and goes on under a higher term.
    Follower { not_before: LocalTime, eager: bool },
    /// Asks for a majority; gives up at a moment.
    Candidate { claim: TermClaim, give_up: LocalTime },
    /// A majority has confirmed its term.
    Leading(Box<LeadingSteward>),
}

/// The steward of a VM: follower, candidate or leader in turn.
#[derive(Clone, Debug)]
pub struct StewardMachine {
    me: StewardIdentity,
    timing: TermTiming,
    knowledge: StewardKnowledge,
    role: StewardRole,
    /// Slices moved in former terms.
    moved: u64,
    /// When a newer roster may be read for again.
    read_again_at: LocalTime,
}

impl StewardMachine {
    /// A steward on a VM whose process has this start number.
    #[must_use]
    pub fn new(
        started: LocalTime,
        domain: DomainName,
        vm: VmName,
        address: Arc<str>,
        start: u64,
        timing: TermTiming,
    ) -> Self {
        // A present steward reaches this VM's voter, which stays silent
        // for a lease, at the latest with its next question after that.
        let silent = timing.lengthened(timing.lease);
        let not_before = started + silent + timing.renew_every;
        Self {
            me: StewardIdentity { domain, vm, address, start },
            timing,
            knowledge: StewardKnowledge::default(),
            role: StewardRole::Follower { not_before, eager: false },
            moved: 0,
            read_again_at: LocalTime::default(),
        }
    }

    /// Takes an event and tells what to do.
    pub fn handle(
        &mut self,
        now: LocalTime,
        event: StewardEvent,
    ) -> Vec<StewardEffect> {
        match event {
            StewardEvent::Tick => self.tick(now),
            StewardEvent::StewardSeen { ask, at } => self.saw(now, ask, at),
            StewardEvent::Answered { voter, sent, term, roster, answer } => {
                let confirmation = Confirmation { voter, sent, term, roster };
                self.answered(now, confirmation, answer)
            }
            StewardEvent::RosterRead(read) => self.roster_read(now, read),
            StewardEvent::RosterSaved(saved) => self.roster_saved(now, saved),
            StewardEvent::PlanRead(plan) => self.plan_read(now, &plan),
            StewardEvent::RecordRead(read) => self.record_read(now, read),
            StewardEvent::RecordSaved(token) => {
                if let StewardRole::Leading(leading) = &mut self.role {
                    leading.records.saved(now, token);
                }
                Vec::new()
            }
            StewardEvent::VmsRead(vms) => {
                self.knowledge.vms = vms;
                Vec::new()
            }
            StewardEvent::MovesAsked(moves) => {
                if let StewardRole::Leading(leading) = &mut self.role {
                    leading.take_moves(&moves);
                }
                Vec::new()
            }
        }
    }

    /// Answers a keeper that reports and asks for its permit.
    pub fn permit(
        &mut self,
        now: LocalTime,
        report: KeeperReport,
    ) -> PermitAnswer {
        let StewardRole::Leading(leading) = &mut self.role else {
            return self.not_steward(now);
        };
        let answer = leading.permit(now, report, &mut self.knowledge);
        if let Some(term) = leading.outranked_by() {
            self.go_above(now, term);
            return self.not_steward(now);
        }
        answer.unwrap_or_else(|| self.not_steward(now))
    }

    fn not_steward(&self, now: LocalTime) -> PermitAnswer {
        let seen = self.knowledge.seen.as_ref();
        let fresh = seen.filter(|s| now.since(s.at) < self.timing.lease);
        let steward = fresh
            .map(|seen| (seen.ask.vm.clone(), Arc::clone(&seen.ask.address)));
        PermitAnswer::NotSteward { steward }
    }

    /// Whether a majority confirms this VM now.
    #[must_use]
    pub fn leads(&self, now: LocalTime) -> bool {
        match &self.role {
            StewardRole::Leading(leading) => now < leading.until(),
            StewardRole::Follower { .. } | StewardRole::Candidate { .. } => {
                false
            }
        }
    }

    /// What operators are shown.
    #[must_use]
    pub fn status(&self, now: LocalTime) -> StewardStatus {
        let mut status =
            StewardStatus { moved: self.moved, ..Default::default() };
        if let Some(seen) = &self.knowledge.seen {
            status.term = seen.ask.term;
        }
        let StewardRole::Leading(leading) = &self.role else {
            return status;
        };
        status.until = leading.until();
        status.leading = now < status.until;
        status.term = leading.claim.term;
        status.may_move = leading.may_move();
        status.moving = leading.moving();
        status.moved += leading.moved;
        for (name, server) in &leading.servers {
            status.holders.insert(name.clone(), server.bound.clone());
            if let Some(keeper) = &server.keeper {
                status.keepers.insert(name.clone(), keeper.clone());
            }
        }
        status
    }

    fn tick(&mut self, now: LocalTime) -> Vec<StewardEffect> {
        match &mut self.role {
            StewardRole::Follower { not_before, eager } => {
                let (due, eager) = (*not_before, *eager);
                self.campaign(now, due, eager)
            }
            StewardRole::Candidate { give_up, .. } if now >= *give_up => {
                self.follow(now);
                Vec::new()
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
    fn campaign(
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
        let mut effects = claim.asks(now, &self.me, false, &self.timing);
        effects.extend(claim.ask_own(&self.me));
        let give_up = now + self.timing.missed_after;
        self.role = StewardRole::Candidate { claim, give_up };
        effects
    }

    /// Stops leading or asking; asks again after its voter is free.
    fn follow(&mut self, now: LocalTime) {
        if let StewardRole::Leading(leading) = &self.role {
            self.moved += leading.moved;
        }
        let not_before = now + self.timing.renew_every;
        self.role = StewardRole::Follower { not_before, eager: false };
    }

    /// Stops leading under this term and asks at once for a higher one.
    fn go_above(&mut self, now: LocalTime, term: TermId) {
        self.knowledge.note_term(term);
        self.follow(now);
        self.role = StewardRole::Follower { not_before: now, eager: true };
    }

    fn saw(
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
        self.knowledge.seen = Some(SeenSteward { ask, at });
        if higher {
            self.follow(now);
        }
        let known = self.knowledge.roster.as_ref().map_or(0, |r| r.version);
        if named <= known || now < self.read_again_at {
            return Vec::new();
        }
        // Without the newest roster this VM could not follow the steward.
        self.read_again_at = now + self.timing.lease;
        vec![StewardEffect::ReadRoster]
    }

    fn answered(
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
    fn confirmed(&mut self, now: LocalTime) -> Vec<StewardEffect> {
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

    fn roster_read(
        &mut self,
        now: LocalTime,
        read: Option<VoterRoster>,
    ) -> Vec<StewardEffect> {
        let Some(read) = read else {
            return self.roster_missing();
        };
        let learn = StewardEffect::LearnRoster(read.version);
        let known = self.knowledge.roster.as_ref();
        if let Some(known) = known.filter(|k| k.version > read.version) {
            // The store came back with older data.
            return vec![StewardEffect::SaveRoster(known.clone())];
        }
        self.knowledge.roster = Some(read.clone());
        if let StewardRole::Leading(leading) = &mut self.role {
            leading.roster.answered();
            let counted = leading.claim.counted.version;
            if read.version == counted + 1 {
                leading.claim.next = Some(read);
                leading.claim.ask_soon();
            } else if read.version > counted + 1 {
                self.follow(now);
            }
        }
        vec![learn]
    }

    /// The first VM of an empty domain makes the roster of itself.
    fn roster_missing(&mut self) -> Vec<StewardEffect> {
        let roster = self.knowledge.roster.clone().unwrap_or_else(|| {
            let me = RosterVoter {
                vm: self.me.vm.clone(),
                address: Arc::clone(&self.me.address),
            };
            let domain = self.me.domain.clone();
            VoterRoster { domain, version: 1, voters: vec![me] }
        });
        vec![StewardEffect::SaveRoster(roster)]
    }

    fn roster_saved(
        &mut self,
        now: LocalTime,
        saved: Result<VoterRoster, ()>,
    ) -> Vec<StewardEffect> {
        if let Ok(roster) = saved {
            return self.roster_read(now, Some(roster));
        }
        if let StewardRole::Leading(leading) = &mut self.role {
            leading.roster.answered();
        }
        vec![StewardEffect::ReadRoster]
    }

    fn plan_read(
        &mut self,
        now: LocalTime,
        plan: &Arc<DomainPlan>,
    ) -> Vec<StewardEffect> {
        if !self.knowledge.take_plan(Arc::clone(plan)) {
            return Vec::new();
        }
        if let StewardRole::Leading(leading) = &mut self.role {
            leading.take_plan(now, plan);
        }
        Vec::new()
    }

    fn record_read(
        &mut self,
        now: LocalTime,
        read: Option<DomainRecord>,
    ) -> Vec<StewardEffect> {
        let token = read.as_ref().map(|read| read.token).unwrap_or_default();
        let older = self.knowledge.take_record(read);
        let StewardRole::Leading(leading) = &mut self.role else {
            return Vec::new();
        };
        if token.term > leading.claim.term {
            self.go_above(now, token.term);
            return Vec::new();
        }
        if older {
            leading.records.forget_saved();
        } else {
            leading.records.saved(now, token);
        }
        leading.reconsider();
        Vec::new()
    }
}

/// Whose answer came to which question.
struct Confirmation {
    voter: VmName,
    sent: LocalTime,
    term: TermId,
    roster: u64,
}

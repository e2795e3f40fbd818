//! A steward that a majority has confirmed.

mod decide;
mod permit;

use std::collections::BTreeMap;

use goldcrestramp_types::{
    FastMap, FenceToken, LocalTime, ServerName, ServiceName, SliceSet, TermId,
};

use crate::{
    plan::{DomainPlan, SliceMove},
    roster::RosterVoter,
    safeguard::Safeguard,
    steward::{
        StewardEffect,
        claim::TermClaim,
        identity::StewardIdentity,
        keepers::KeeperBook,
        knowledge::StewardKnowledge,
        led::LedServer,
        placement::take_move,
        publish::{RecordKeeper, TablePublisher},
        roster::{RosterChange, RosterView},
    },
    timing::TermTiming,
};

/// How long keepers have to claim their servers from a new steward.
///
/// One may just have asked the lost steward, and asks again once that
/// question has timed out; meanwhile its server should not be given away.
const CLAIM_PERCENT: u64 = 150;

/// How far the takeover of the domain has come.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum LeadPhase {
    /// The former steward may still act: extend, move nothing.
    Extending,
    /// Its time is over: every server is asked again, then slices move.
    Moving,
}

/// The state of a steward that leads.
#[derive(Clone, Debug)]
pub(in crate::steward) struct LeadingSteward {
    pub(in crate::steward) claim: TermClaim,
    timing: TermTiming,
    phase: LeadPhase,
    /// When the former steward's time is surely over.
    move_at: LocalTime,
    /// When servers that no keeper has claimed get one.
    unclaimed_at: LocalTime,
    sequence: u64,
    pub(in crate::steward) servers: BTreeMap<ServerName, LedServer>,
    pub(in crate::steward) keepers: KeeperBook,
    /// Slices that this term has seen held, by service.
    owned: FastMap<ServiceName, SliceSet>,
    dirty: bool,
    /// Whether a lapse waits for a confirmation.
    waits: bool,
    pub(in crate::steward) roster: RosterChange,
    table: TablePublisher,
    pub(in crate::steward) records: RecordKeeper,
    pub(in crate::steward) moved: u64,
    /// The highest term that anyone here has shown.
    seen: TermId,
}

impl LeadingSteward {
    /// Takes the domain over, with a majority confirmed at `now`.
    pub(in crate::steward) fn new(
        now: LocalTime,
        claim: TermClaim,
        plan: &DomainPlan,
        timing: TermTiming,
    ) -> Self {
        // The former steward's last confirmation began before this
        // majority; its time ends a lease after that at the latest.
        let mut move_at = now + timing.lengthened(timing.lease);
        if !timing.safeguards.has(Safeguard::MoveWait) {
            move_at = now;
        }
        let mut leading = Self {
            claim,
            timing,
            phase: LeadPhase::Extending,
            move_at,
            unclaimed_at: now + timing.renew_interval.percent(CLAIM_PERCENT),
            sequence: 0,
            servers: BTreeMap::new(),
            keepers: KeeperBook::default(),
            owned: FastMap::default(),
            dirty: true,
            waits: false,
            roster: RosterChange::default(),
            table: TablePublisher::default(),
            records: RecordKeeper::default(),
            moved: 0,
            seen: TermId::default(),
        };
        leading.take_plan(now, plan);
        leading
    }

    /// Until when it may act.
    pub(in crate::steward) fn until(&self) -> LocalTime {
        self.claim.until(&self.timing)
    }

    pub(in crate::steward) fn may_move(&self) -> bool {
        self.phase == LeadPhase::Moving
    }

    fn next_token(&mut self) -> FenceToken {
        self.sequence += 1;
        FenceToken { term: self.claim.term, sequence: self.sequence }
    }

    /// Follows a changed configuration.
    pub(in crate::steward) fn take_plan(
        &mut self,
        now: LocalTime,
        plan: &DomainPlan,
    ) {
        for server in self.servers.values_mut() {
            server.listed = false;
        }
        // In its first moments a former steward's keepers may still act.
        let former = self.move_at.max(now);
        for entry in &plan.servers {
            if let Some(server) = self.servers.get_mut(&entry.server) {
                server.listed = true;
                server.plan = entry.clone();
                continue;
            }
            let token = self.next_token();
            let server = LedServer::new(entry.clone(), token, former);
            self.servers.insert(entry.server.clone(), server);
        }
        self.dirty = true;
    }

    /// Does what time brings.
    pub(in crate::steward) fn tick(
        &mut self,
        now: LocalTime,
        me: &StewardIdentity,
        knowledge: &mut StewardKnowledge,
    ) -> Vec<StewardEffect> {
        self.claim.adopt_next(now, &self.timing);
        self.begin_moving(now);
        self.staff(now, knowledge);
        self.settle(now);
        self.decide(knowledge);
        let mut effects = self.claim.asks(now, me, true, &self.timing);
        if self.may_move() {
            let view = RosterView {
                me,
                knowledge,
                claim: &self.claim,
                keepers: &self.keepers,
                timing: &self.timing,
            };
            let save = self.roster.next_change(now, &view);
            effects.extend(save.map(StewardEffect::SaveRoster));
        }
        if self.records.read_due(now, knowledge) {
            effects.push(StewardEffect::ReadRecord);
        }
        self.publish(now, knowledge, &mut effects);
        effects
    }

    /// The former steward's time is over: what servers hold from now on
    /// only this one decides, once they have said what it is.
    fn begin_moving(&mut self, now: LocalTime) {
        if self.may_move() || now < self.move_at {
            return;
        }
        self.phase = LeadPhase::Moving;
        let names: Vec<ServerName> = self.servers.keys().cloned().collect();
        for name in names {
            let token = self.next_token();
            if let Some(server) = self.servers.get_mut(&name) {
                server.end_takeover(now, token);
            }
        }
        self.claim.ask_soon();
    }

    /// Gives servers keepers, and takes them from silent ones.
    fn staff(&mut self, now: LocalTime, knowledge: &StewardKnowledge) {
        let timing = self.timing;
        let released = self.keepers.release(now, &mut self.servers, &timing);
        let unclaimed_at = self.unclaimed_at(now, knowledge);
        let assigned = self.keepers.assign(
            now,
            unclaimed_at,
            self.claim.begun().unwrap_or_default(),
            &mut self.servers,
            &timing,
        );
        self.table.mark(released || assigned);
        self.raise_fences();
    }

    /// Gives servers that changed their keeper a higher token.
    fn raise_fences(&mut self) {
        let term = self.claim.term;
        for server in self.servers.values_mut() {
            if server.is_fence_due() {
                self.sequence += 1;
                let sequence = self.sequence;
                server.raise_fence(FenceToken { term, sequence });
            }
        }
    }

    /// When servers that no keeper has claimed get one.
    ///
    /// After a cold start nobody claims any. The first VM to report would
    /// then keep all of them for good, so the others get time to appear.
    fn unclaimed_at(
        &self,
        now: LocalTime,
        knowledge: &StewardKnowledge,
    ) -> LocalTime {
        let claimed = self.servers.values().any(|server| server.staffed);
        let mut vms = knowledge.vms.iter();
        let here =
            |vm: &RosterVoter| self.keepers.is_live(now, &vm.vm, &self.timing);
        if claimed || vms.all(here) {
            return self.unclaimed_at;
        }
        self.unclaimed_at + self.timing.missed_after
    }

    /// Settles lapses that a majority has confirmed since.
    fn settle(&mut self, now: LocalTime) {
        let begun = self.claim.begun().unwrap_or_default();
        let mut waits = false;
        for server in self.servers.values_mut() {
            self.dirty |= server.settle_lapse(begun);
            waits |= server.awaits_confirmation(now, begun);
        }
        self.waits = waits;
        if waits {
            self.claim.ask_soon();
        }
    }

    fn publish(
        &mut self,
        now: LocalTime,
        knowledge: &StewardKnowledge,
        effects: &mut Vec<StewardEffect>,
    ) {
        let Some(plan) = &knowledge.plan else {
            return;
        };
        let table = self.table.table(
            self.claim.term,
            plan,
            &self.servers,
            &self.keepers,
            self.may_move(),
        );
        effects.extend(table.map(StewardEffect::Publish));
        let record = self.records.due(now, knowledge);
        effects.extend(record.map(StewardEffect::SaveRecord));
    }

    /// Takes the moves that placement asks for.
    pub(in crate::steward) fn take_moves(&mut self, moves: &[SliceMove]) {
        for wanted in moves {
            self.dirty |= take_move(wanted, &mut self.servers);
        }
    }

    /// Looks at everything again, after knowledge has changed.
    pub(in crate::steward) fn reconsider(&mut self) {
        self.dirty = true;
    }

    /// Notes a term that a voter, keeper or server of the domain has seen.
    pub(in crate::steward) fn note_term(&mut self, term: TermId) {
        self.seen = self.seen.max(term);
    }

    /// A term above this one that somebody here holds to, if any.
    ///
    /// Whoever does refuses this steward for as long as it leads: a voter
    /// its confirmation, a keeper its permit, a server its grants.
    pub(in crate::steward) fn outranked_by(&self) -> Option<TermId> {
        (self.seen > self.claim.term).then_some(self.seen)
    }

    /// The moves that are begun and not ended.
    pub(in crate::steward) fn moving(&self) -> usize {
        let due = |server: &&LedServer| {
            server.order.slices.as_ref() != Some(&server.target)
        };
        self.servers.values().filter(due).count()
    }
}

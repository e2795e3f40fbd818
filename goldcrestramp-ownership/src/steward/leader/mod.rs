//! A leading steward, whose term a majority has confirmed.

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
        domain_server::DomainServer,
        identity::StewardIdentity,
        keepers::KeeperTable,
        knowledge::StewardKnowledge,
        placement::apply_move,
        publish::{RecordWriter, TablePublisher},
        roster::{RosterChange, RosterContext},
    },
    timing::TermTiming,
};

/// How long keepers have to claim their servers from a new steward, in
/// percent of the renewal interval.
///
/// A keeper may just have reported to the lost steward and reports again once
/// that request has timed out. Its servers should not be reassigned in the
/// meantime.
const CLAIM_TIMEOUT_PERCENT: u64 = 150;

/// The phase of the takeover of a domain.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum LeadPhase {
    /// The previous steward may still act: grants are extended, and no slice
    /// moves.
    Extending,
    /// The previous steward's time has ended: every server is queried again,
    /// then slices move.
    Moving,
}

/// The state of a leading steward.
#[derive(Clone, Debug)]
pub(in crate::steward) struct LeadingSteward {
    pub(in crate::steward) claim: TermClaim,
    timing: TermTiming,
    phase: LeadPhase,
    /// When the previous steward's time has certainly ended.
    move_at: LocalTime,
    /// When servers that no keeper has claimed are assigned one.
    assign_unclaimed_at: LocalTime,
    sequence: u64,
    pub(in crate::steward) servers: BTreeMap<ServerName, DomainServer>,
    pub(in crate::steward) keepers: KeeperTable,
    /// The slices that servers were known to hold in this term, by service.
    owned: FastMap<ServiceName, SliceSet>,
    dirty: bool,
    /// Whether a lapse needs a later confirmation.
    confirmation_due: bool,
    pub(in crate::steward) roster: RosterChange,
    table: TablePublisher,
    pub(in crate::steward) records: RecordWriter,
    pub(in crate::steward) moved: u64,
    /// The highest term known to any voter, keeper or server of the domain.
    highest_term: TermId,
}

impl LeadingSteward {
    /// Takes over the domain, with a majority confirmed at `now`.
    pub(in crate::steward) fn new(
        now: LocalTime,
        claim: TermClaim,
        plan: &DomainPlan,
        timing: TermTiming,
    ) -> Self {
        // The previous steward's last confirmation was requested before
        // this majority was complete. Its time ends at most a lease later.
        let mut move_at = now + timing.lengthened(timing.lease);
        if !timing.safeguards.has(Safeguard::MoveWait) {
            move_at = now;
        }
        let mut leading = Self {
            claim,
            timing,
            phase: LeadPhase::Extending,
            move_at,
            assign_unclaimed_at: now
                + timing.renew_interval.percent(CLAIM_TIMEOUT_PERCENT),
            sequence: 0,
            servers: BTreeMap::new(),
            keepers: KeeperTable::default(),
            owned: FastMap::default(),
            dirty: true,
            confirmation_due: false,
            roster: RosterChange::default(),
            table: TablePublisher::default(),
            records: RecordWriter::default(),
            moved: 0,
            highest_term: TermId::default(),
        };
        leading.apply_plan(now, plan);
        leading
    }

    /// The end of its time, unless it is confirmed again.
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

    /// Applies a changed configuration.
    pub(in crate::steward) fn apply_plan(
        &mut self,
        now: LocalTime,
        plan: &DomainPlan,
    ) {
        for server in self.servers.values_mut() {
            server.listed = false;
        }
        // Until `move_at`, keepers of the previous steward may still act.
        let previous_until = self.move_at.max(now);
        for entry in &plan.servers {
            if let Some(server) = self.servers.get_mut(&entry.server) {
                server.listed = true;
                server.plan = entry.clone();
                continue;
            }
            let token = self.next_token();
            let server =
                DomainServer::new(entry.clone(), token, previous_until);
            self.servers.insert(entry.server.clone(), server);
        }
        self.dirty = true;
    }

    /// Carries out everything that is due at `now`.
    pub(in crate::steward) fn tick(
        &mut self,
        now: LocalTime,
        me: &StewardIdentity,
        knowledge: &mut StewardKnowledge,
    ) -> Vec<StewardEffect> {
        self.claim.adopt_next(now, &self.timing);
        self.begin_moving(now);
        self.assign_keepers(now, knowledge);
        self.confirm_lapses(now);
        self.decide(knowledge);
        let mut effects = self.claim.asks(now, me, true, &self.timing);
        if self.may_move() {
            let view = RosterContext {
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

    /// Starts the moving phase once the previous steward's time has ended.
    ///
    /// From then on only this steward decides which slices servers hold,
    /// after they have reported those that they hold now.
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
        self.claim.request_soon();
    }

    /// Assigns keepers to servers, and removes servers from silent keepers.
    fn assign_keepers(
        &mut self,
        now: LocalTime,
        knowledge: &StewardKnowledge,
    ) {
        let timing = self.timing;
        let released = self.keepers.release(now, &mut self.servers, &timing);
        let assign_unclaimed_at = self.assign_unclaimed_at(now, knowledge);
        let assigned = self.keepers.assign(
            now,
            assign_unclaimed_at,
            self.claim.majority_at().unwrap_or_default(),
            &mut self.servers,
            &timing,
        );
        self.table.mark_dirty(released || assigned);
        self.raise_fences();
    }

    /// Reissues the orders of servers whose keeper has changed under higher
    /// tokens.
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

    /// When servers that no keeper has claimed are assigned one.
    ///
    /// After a cold start no keeper claims any. The first VM to report would
    /// then keep all of them permanently, so the other VMs get time to
    /// report.
    fn assign_unclaimed_at(
        &self,
        now: LocalTime,
        knowledge: &StewardKnowledge,
    ) -> LocalTime {
        let claimed = self.servers.values().any(|server| server.had_keeper);
        let mut vms = knowledge.vms.iter();
        let present =
            |vm: &RosterVoter| self.keepers.is_live(now, &vm.vm, &self.timing);
        if claimed || vms.all(present) {
            return self.assign_unclaimed_at;
        }
        self.assign_unclaimed_at + self.timing.missed_after
    }

    /// Clears the bounds of servers whose lapse a majority has confirmed.
    fn confirm_lapses(&mut self, now: LocalTime) {
        let majority_at = self.claim.majority_at().unwrap_or_default();
        let mut confirmation_due = false;
        for server in self.servers.values_mut() {
            self.dirty |= server.confirm_lapse(majority_at);
            confirmation_due |= server.awaits_confirmation(now, majority_at);
        }
        self.confirmation_due = confirmation_due;
        if confirmation_due {
            self.claim.request_soon();
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

    /// Applies the moves that placement requests.
    pub(in crate::steward) fn apply_moves(&mut self, moves: &[SliceMove]) {
        for wanted in moves {
            self.dirty |= apply_move(wanted, &mut self.servers);
        }
    }

    /// Schedules a new decision, after knowledge has changed.
    pub(in crate::steward) fn reconsider(&mut self) {
        self.dirty = true;
    }

    /// Records a term that a keeper of the domain has reported.
    pub(in crate::steward) fn observe_term(&mut self, term: TermId) {
        self.highest_term = self.highest_term.max(term);
    }

    /// A known term above this one, if any.
    ///
    /// Whoever follows it refuses this steward for as long as it leads: a
    /// voter refuses its requests, a keeper its permits, a server its
    /// grants.
    pub(in crate::steward) fn outranked_by(&self) -> Option<TermId> {
        (self.highest_term > self.claim.term).then_some(self.highest_term)
    }

    /// The number of servers whose order differs from their target.
    pub(in crate::steward) fn moving(&self) -> usize {
        let due = |server: &&DomainServer| {
            server.order.slices.as_ref() != Some(&server.target)
        };
        self.servers.values().filter(due).count()
    }
}

//! A steward that a majority has confirmed.

use std::collections::BTreeMap;

use goldcrestramp_types::{
    FastMap, FenceToken, LocalTime, ServerName, ServiceName, SliceSet, TermId,
    VmName,
};

use crate::{
    message::{KeeperReport, PermitAnswer, ServerReport},
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
        placement::{place_service, take_move},
        publish::{RecordKeeper, TablePublisher, note_decisions},
        roster::RosterChange,
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
pub(super) struct LeadingSteward {
    pub(super) claim: TermClaim,
    timing: TermTiming,
    phase: LeadPhase,
    /// When the former steward's time is surely over.
    move_at: LocalTime,
    /// When servers that no keeper has claimed get one.
    unclaimed_at: LocalTime,
    sequence: u64,
    pub(super) servers: BTreeMap<ServerName, LedServer>,
    pub(super) keepers: KeeperBook,
    /// Slices that this term has seen held, by service.
    owned: FastMap<ServiceName, SliceSet>,
    dirty: bool,
    pub(super) roster: RosterChange,
    table: TablePublisher,
    pub(super) records: RecordKeeper,
    pub(super) moved: u64,
    /// The highest term that anyone here has shown.
    seen: TermId,
}

impl LeadingSteward {
    /// Takes the domain over, with a majority confirmed at `now`.
    pub(super) fn new(
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
            unclaimed_at: now + timing.renew_every.percent(CLAIM_PERCENT),
            sequence: 0,
            servers: BTreeMap::new(),
            keepers: KeeperBook::default(),
            owned: FastMap::default(),
            dirty: true,
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
    pub(super) fn until(&self) -> LocalTime {
        self.claim.until(&self.timing)
    }

    pub(super) fn may_move(&self) -> bool {
        self.phase == LeadPhase::Moving
    }

    fn next_token(&mut self) -> FenceToken {
        self.sequence += 1;
        FenceToken { term: self.claim.term, sequence: self.sequence }
    }

    /// Follows a changed configuration.
    pub(super) fn take_plan(&mut self, now: LocalTime, plan: &DomainPlan) {
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
    pub(super) fn tick(
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
            let save = self.roster.next_change(
                now,
                me,
                knowledge,
                &self.claim,
                &self.keepers,
                &self.timing,
            );
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
        if waits {
            self.claim.ask_soon();
        }
    }

    /// Sets targets and orders, if anything has changed.
    fn decide(&mut self, knowledge: &mut StewardKnowledge) {
        let Some(plan) = knowledge.plan.clone() else {
            return;
        };
        if !self.dirty || !self.may_move() {
            return;
        }
        self.dirty = false;
        for service in &plan.services {
            let name = &service.service;
            let owned = self.owned.entry(name.clone()).or_default();
            place_service(service, knowledge, owned, &mut self.servers);
            self.order_service(name);
        }
        self.drop_unlisted();
        self.note_releases(&plan, knowledge);
        let token =
            FenceToken { term: self.claim.term, sequence: self.sequence };
        note_decisions(token, &self.servers, knowledge);
        self.table.mark(true);
    }

    /// Orders each server of a service what it may hold now.
    ///
    /// A slice that another server may hold is left out until that one has
    /// released it, or its grant has surely lapsed.
    fn order_service(&mut self, service: &ServiceName) {
        let of_service =
            |(_, s): &(&ServerName, &LedServer)| s.plan.service == *service;
        let names: Vec<ServerName> = self
            .servers
            .iter()
            .filter(of_service)
            .map(|(name, _)| name.clone())
            .collect();
        let unsettled =
            names.iter().filter(|name| !self.servers[*name].settled).count();
        let claims = OverlapCount::of(names.iter().map(|n| &self.servers[n]));
        for name in names {
            let server = &self.servers[&name];
            if !server.settled {
                continue;
            }
            let mut slices = server.target.clone();
            slices.subtract(&claims.others(&server.bound));
            if unsettled > 0 {
                slices.intersect_with(&server.bound);
            }
            if server.order.slices.as_ref() == Some(&slices) {
                continue;
            }
            let token = self.next_token();
            if let Some(server) = self.servers.get_mut(&name) {
                let before = server.order.slices.take();
                self.moved += gained(before.as_ref(), &slices);
                server.instruct(token, slices);
            }
        }
    }

    /// Forgets servers that the configuration dropped and that are empty.
    fn drop_unlisted(&mut self) {
        self.servers.retain(|_, server| {
            server.listed || !server.settled || !server.bound.is_empty()
        });
    }

    /// Puts slices on record that have left the domain.
    fn note_releases(
        &mut self,
        plan: &DomainPlan,
        knowledge: &mut StewardKnowledge,
    ) {
        for service in plan.services.iter().filter(|s| !s.leaving.is_empty()) {
            let mut gone = service.leaving.clone();
            gone.intersect_with(&service.slices);
            let of_service =
                |s: &&LedServer| s.plan.service == service.service;
            for server in self.servers.values().filter(of_service) {
                if !server.settled {
                    gone = SliceSet::new();
                }
                gone.subtract(&server.bound);
            }
            let released = &mut knowledge.record.released;
            let entry = released.entry(service.service.clone()).or_default();
            gone.subtract(entry);
            if !gone.is_empty() {
                entry.union_with(&gone);
                self.sequence += 1;
            }
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

    /// Answers a keeper; `None` when this steward's time is over.
    pub(super) fn permit(
        &mut self,
        now: LocalTime,
        report: KeeperReport,
        knowledge: &mut StewardKnowledge,
    ) -> Option<PermitAnswer> {
        let mut until = self.until();
        if now >= until {
            return None;
        }
        self.note_term(report.term);
        if self.outranked_by().is_some() {
            return None;
        }
        if !self.keepers.note(now, &report, &mut self.servers) {
            return None;
        }
        self.begin_moving(now);
        let (vm, sequence) = (report.vm.clone(), report.sequence);
        self.note_absent(&report);
        for server in report.servers {
            self.learn(now, &vm, server);
        }
        self.raise_fences();
        self.settle(now);
        self.decide(knowledge);
        if !self.timing.safeguards.has(Safeguard::PermitBound) {
            until = now + self.timing.lease;
        }
        self.keepers.note_permit(&vm, until);
        Some(self.answer(now, &vm, sequence, until))
    }

    fn answer(
        &self,
        now: LocalTime,
        vm: &VmName,
        sequence: u64,
        until: LocalTime,
    ) -> PermitAnswer {
        let moving = self.may_move();
        let kept = || {
            let servers = self.servers.values();
            servers.filter(|server| server.keeper.as_ref() == Some(vm))
        };
        // Free slices are placed once all servers have been heard.
        let begun = moving && now < self.move_at + self.timing.lease;
        let settling = begun && self.servers.values().any(|s| !s.settled);
        let pending = kept().any(|server| server.is_pending(moving));
        let hurry = pending || settling;
        let mut again = self.timing.renew_every;
        if hurry {
            again = self.timing.hurry_every;
        }
        if !moving {
            again = again.min(self.move_at.since(now));
        }
        PermitAnswer::Permitted {
            term: self.claim.term,
            sequence,
            valid: until.since(now),
            again,
            orders: kept().map(LedServer::order_message).collect(),
        }
    }

    /// Draws conclusions from what a keeper does not report.
    ///
    /// It remembers no order for such a server, so the next answer must
    /// carry all of it. A retiring keeper has let go of the server; so has
    /// one that the former steward told to, before the takeover.
    fn note_absent(&mut self, report: &KeeperReport) {
        let extending = !self.may_move();
        let keeper = self.keepers.get(&report.vm);
        let until = keeper.map(|k| k.permit_until).unwrap_or_default();
        for (name, server) in &mut self.servers {
            let mine = server.keeper.as_ref() == Some(&report.vm);
            let reported = || report.servers.iter().any(|s| s.server == *name);
            if !mine || reported() {
                continue;
            }
            let fenced = server.plan.checks_fence || server.probing;
            let claimed = extending && !fenced;
            if server.retiring || claimed {
                server.end_keeping(until);
                self.table.mark(true);
            }
            server.forget_known();
        }
    }

    fn learn(&mut self, now: LocalTime, vm: &VmName, report: ServerReport) {
        let moving = self.may_move();
        let begun = self.claim.begun().unwrap_or_default();
        let Some(server) = self.servers.get_mut(&report.server) else {
            return;
        };
        let other = server.keeper.as_ref() != Some(vm);
        if other && report.keeps && server.is_claimable(now, begun) {
            server.staff(vm.clone());
            self.table.mark(true);
        }
        if server.keeper.as_ref() != Some(vm) {
            return;
        }
        if let Some(state) = &report.state {
            self.seen = self.seen.max(state.fence.term).max(state.token.term);
        }
        let before = (server.settled, server.is_eligible(), server.lost);
        let changed = server.learn(now, report, moving, &self.timing);
        let after = (server.settled, server.is_eligible(), server.lost);
        if !changed && before == after {
            return;
        }
        let owned = self.owned.entry(server.plan.service.clone()).or_default();
        owned.union_with(&server.bound);
        if let Some(last) = server.last() {
            owned.union_with(last);
        }
        adopt_holdings(server);
        self.dirty = true;
        self.table.mark(true);
    }

    /// Takes the moves that placement asks for.
    pub(super) fn take_moves(&mut self, moves: &[SliceMove]) {
        for wanted in moves {
            self.dirty |= take_move(wanted, &mut self.servers);
        }
    }

    /// Looks at everything again, after knowledge has changed.
    pub(super) fn reconsider(&mut self) {
        self.dirty = true;
    }

    /// Notes a term that a voter, keeper or server of the domain has seen.
    pub(super) fn note_term(&mut self, term: TermId) {
        self.seen = self.seen.max(term);
    }

    /// A term above this one that somebody here holds to, if any.
    ///
    /// Whoever does refuses this steward for as long as it leads: a voter
    /// its confirmation, a keeper its permit, a server its grants.
    pub(super) fn outranked_by(&self) -> Option<TermId> {
        (self.seen > self.claim.term).then_some(self.seen)
    }

    /// The moves that are begun and not ended.
    pub(super) fn moving(&self) -> usize {
        let due = |server: &&LedServer| {
            server.order.slices.as_ref() != Some(&server.target)
        };
        self.servers.values().filter(due).count()
    }
}

/// A settled server keeps what it holds.
fn adopt_holdings(server: &mut LedServer) {
    if server.settled && server.order.slices.is_none() {
        server.target = server.bound.clone();
    }
}

fn gained(before: Option<&SliceSet>, after: &SliceSet) -> u64 {
    let mut gained = after.clone();
    if let Some(before) = before {
        gained.subtract(before);
        return u64::try_from(gained.len()).unwrap_or(u64::MAX);
    }
    0
}

/// Which slices may be held by one server, and which by several.
struct OverlapCount {
    any: SliceSet,
    several: SliceSet,
}

impl OverlapCount {
    fn of<'a>(servers: impl Iterator<Item = &'a LedServer>) -> Self {
        let mut any = SliceSet::new();
        let mut several = SliceSet::new();
        for server in servers {
            let mut both = any.clone();
            both.intersect_with(&server.bound);
            several.union_with(&both);
            any.union_with(&server.bound);
        }
        Self { any, several }
    }

    /// What others than the server with this bound may hold.
    fn others(&self, bound: &SliceSet) -> SliceSet {
        let mut others = self.any.clone();
        others.subtract(bound);
        others.union_with(&self.several);
        others
    }
}

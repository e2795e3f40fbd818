//! Reports of keepers, and the permits that answer them.

use goldcrestramp_types::{LocalTime, VmName};

use super::LeadingSteward;
use crate::{
    message::{KeeperReport, PermitAnswer, ServerReport},
    safeguard::Safeguard,
    steward::{knowledge::StewardKnowledge, led::LedServer},
};

impl LeadingSteward {
    /// Answers a keeper; `None` when this steward's time is over.
    pub(in crate::steward) fn permit(
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
        if self.dirty || self.waits {
            self.raise_fences();
            self.settle(now);
        }
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
        let servers = self.servers.values();
        let mine = |server: &&LedServer| server.keeper.as_ref() == Some(vm);
        let kept: Vec<&LedServer> = servers.filter(mine).collect();
        // Free slices are placed once all servers have been heard.
        let begun = moving && now < self.move_at + self.timing.lease;
        let settling = begun && self.servers.values().any(|s| !s.settled);
        let pending = kept.iter().any(|server| server.is_pending(moving));
        let hurry = pending || settling;
        let mut delay = self.timing.renew_interval;
        if hurry {
            delay = self.timing.moving_interval;
        }
        if !moving {
            delay = delay.min(self.move_at.since(now));
        }
        PermitAnswer::Permitted {
            term: self.claim.term,
            sequence,
            valid: until.since(now),
            delay,
            orders: kept.into_iter().map(LedServer::order_message).collect(),
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
            self.dirty = true;
            self.table.mark(true);
        }
        if server.keeper.as_ref() != Some(vm) {
            return;
        }
        if let Some(state) = &report.state {
            self.seen = self.seen.max(state.fence.term).max(state.token.term);
        }
        let before = facts(server);
        let changed = server.learn(now, report, moving, &self.timing);
        let after = facts(server);
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
}

/// What decisions rest on, beside what the server holds.
const fn facts(server: &LedServer) -> [bool; 4] {
    let usable = server.is_eligible();
    [server.settled, usable, server.lost, server.is_gone()]
}

/// A settled server keeps what it holds.
fn adopt_holdings(server: &mut LedServer) {
    if server.settled && server.order.slices.is_none() {
        server.target = server.bound.clone();
    }
}

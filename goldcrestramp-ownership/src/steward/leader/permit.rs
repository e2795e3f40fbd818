//! Processes keepers' reports and answers them with permits.

use goldcrestramp_types::{LocalTime, VmName};

use super::LeadingSteward;
use crate::{
    message::{KeeperReport, PermitAnswer, ServerReport},
    safeguard::Safeguard,
    steward::{domain_server::DomainServer, knowledge::StewardKnowledge},
};

impl LeadingSteward {
    /// Answers a keeper. Returns `None` if this steward's time has ended, a
    /// higher term is known, or a later report was processed before.
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
        self.observe_term(report.term);
        if self.outranked_by().is_some() {
            return None;
        }
        if !self.keepers.record_report(now, &report, &mut self.servers) {
            return None;
        }
        self.begin_moving(now);
        let (vm, sequence) = (report.vm.clone(), report.sequence);
        self.handle_unreported(&report);
        for server in report.servers {
            self.apply_server_report(now, &vm, server);
        }
        if self.dirty || self.confirmation_due {
            self.raise_fences();
            self.confirm_lapses(now);
        }
        self.decide(knowledge);
        if !self.timing.safeguards.has(Safeguard::PermitBound) {
            until = now + self.timing.lease;
        }
        self.keepers.record_permit(&vm, until);
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
        let own = |server: &&DomainServer| server.keeper.as_ref() == Some(vm);
        let kept: Vec<&DomainServer> = servers.filter(own).collect();
        // Free slices are placed once all servers have reported.
        let starting = moving && now < self.move_at + self.timing.lease;
        let reconciling =
            starting && self.servers.values().any(|s| !s.reconciled);
        let pending = kept.iter().any(|server| server.is_pending(moving));
        let reports_soon = pending || reconciling;
        let mut delay = self.timing.renew_interval;
        if reports_soon {
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
            orders: kept
                .into_iter()
                .map(DomainServer::order_message)
                .collect(),
        }
    }

    /// Processes the absence of a keeper's servers from its report.
    ///
    /// The keeper has no order for such a server, so the next answer must
    /// contain the full order. A retiring keeper has released the server, and
    /// so has one that the previous steward retired before the takeover.
    fn handle_unreported(&mut self, report: &KeeperReport) {
        let extending = !self.may_move();
        let keeper = self.keepers.get(&report.vm);
        let until = keeper.map(|k| k.permit_until).unwrap_or_default();
        for (name, server) in &mut self.servers {
            let own = server.keeper.as_ref() == Some(&report.vm);
            let reported = || report.servers.iter().any(|s| s.server == *name);
            if !own || reported() {
                continue;
            }
            let fenced = server.plan.checks_fence || server.probing;
            let claimed = extending && !fenced;
            if server.retiring || claimed {
                server.clear_keeper(until);
                self.table.mark_dirty(true);
            }
            server.discard_known();
        }
    }

    fn apply_server_report(
        &mut self,
        now: LocalTime,
        vm: &VmName,
        report: ServerReport,
    ) {
        let moving = self.may_move();
        let majority_at = self.claim.majority_at().unwrap_or_default();
        let Some(server) = self.servers.get_mut(&report.server) else {
            return;
        };
        let other = server.keeper.as_ref() != Some(vm);
        if other && report.keeps && server.is_claimable(now, majority_at) {
            server.set_keeper(vm.clone());
            self.dirty = true;
            self.table.mark_dirty(true);
        }
        if server.keeper.as_ref() != Some(vm) {
            return;
        }
        if let Some(state) = &report.state {
            self.highest_term =
                self.highest_term.max(state.fence.term).max(state.token.term);
        }
        let before = decision_inputs(server);
        let changed = server.apply_report(now, report, moving, &self.timing);
        let after = decision_inputs(server);
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
        self.table.mark_dirty(true);
    }
}

/// The facts on which decisions depend, apart from the slices held.
const fn decision_inputs(server: &DomainServer) -> [bool; 4] {
    let usable = server.is_eligible();
    [server.reconciled, usable, server.lost, server.is_given_up()]
}

/// Makes the slices of a newly reconciled server its target.
fn adopt_holdings(server: &mut DomainServer) {
    if server.reconciled && server.order.slices.is_none() {
        server.target = server.bound.clone();
    }
}

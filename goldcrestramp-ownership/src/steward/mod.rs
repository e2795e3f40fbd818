//! The steward: decides which server of a failure domain holds which slice.

mod claim;
mod domain_server;
mod election;
mod event;
mod identity;
mod keepers;
mod knowledge;
mod leader;
mod placement;
mod publish;
mod reads;
mod roster;

use std::sync::Arc;

use goldcrestramp_types::{
    DomainName, LocalTime, ServiceName, TermId, VmName,
};

pub use self::event::{DueSlices, StewardEffect, StewardEvent, StewardStatus};
use self::{
    claim::TermClaim, identity::StewardIdentity, knowledge::StewardKnowledge,
    leader::LeadingSteward,
};
use crate::{
    message::{KeeperReport, PermitAnswer},
    timing::TermTiming,
};

/// The current role of a steward.
#[derive(Clone, Debug)]
enum StewardRole {
    /// Another leads, or nobody does yet. It does not become a candidate
    /// before `not_before`.
    ///
    /// If `immediate` is set, it has just led and becomes a candidate at
    /// once, under a higher term.
    Follower { not_before: LocalTime, immediate: bool },
    /// It asks for a majority. From `reduce_at` on it treats voters without
    /// an answer as absent, and at `give_up` it stops asking.
    Candidate {
        claim: Box<TermClaim>,
        reduce_at: LocalTime,
        give_up: LocalTime,
    },
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
    /// Slices moved in previous terms.
    moved: u64,
    /// The version of the reduced roster that this VM is writing to the
    /// store.
    pending_reduction: Option<u64>,
    /// The earliest time of the next read for a newer roster.
    read_again_at: LocalTime,
}

impl StewardMachine {
    /// Creates a steward on a VM whose process has the start number `start`.
    #[must_use]
    pub fn new(
        started: LocalTime,
        domain: DomainName,
        vm: VmName,
        address: Arc<str>,
        start: u64,
        timing: TermTiming,
    ) -> Self {
        // This VM's voter confirms nobody for a lease. A current steward
        // reaches it with its next request after that at the latest.
        let silent = timing.lengthened(timing.lease);
        let not_before = started + silent + timing.renew_interval;
        Self {
            me: StewardIdentity { domain, vm, address, start },
            timing,
            knowledge: StewardKnowledge::default(),
            role: StewardRole::Follower { not_before, immediate: false },
            moved: 0,
            pending_reduction: None,
            read_again_at: LocalTime::default(),
        }
    }

    /// Processes an event and returns the actions to carry out.
    pub fn handle(
        &mut self,
        now: LocalTime,
        event: StewardEvent,
    ) -> Vec<StewardEffect> {
        match event {
            StewardEvent::Tick => self.tick(now),
            StewardEvent::StewardSeen { ask, at } => {
                self.steward_seen(now, ask, at)
            }
            StewardEvent::Answered { voter, sent, term, roster, answer } => {
                let confirmation = Confirmation { voter, sent, term, roster };
                self.voter_answered(now, confirmation, answer)
            }
            StewardEvent::RosterRead(read) => self.roster_read(now, read),
            StewardEvent::RosterSaved(saved) => self.roster_saved(now, saved),
            StewardEvent::PlanRead(plan) => self.plan_read(now, &plan),
            StewardEvent::RecordRead(read) => self.record_read(now, read),
            StewardEvent::RecordSaved(token) => {
                if let StewardRole::Leading(leading) = &mut self.role {
                    leading.records.acknowledge(now, token);
                }
                Vec::new()
            }
            StewardEvent::VmsRead(vms) => {
                self.knowledge.vms = vms;
                Vec::new()
            }
            StewardEvent::MovesRequested(moves) => {
                if let StewardRole::Leading(leading) = &mut self.role {
                    leading.apply_moves(&moves);
                }
                Vec::new()
            }
        }
    }

    /// Processes a keeper's report and returns the permit.
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
            self.start_higher_term(now, term);
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

    /// Whether this VM leads, confirmed by a majority, at `now`.
    #[must_use]
    pub fn leads(&self, now: LocalTime) -> bool {
        match &self.role {
            StewardRole::Leading(leading) => now < leading.until(),
            StewardRole::Follower { .. } | StewardRole::Candidate { .. } => {
                false
            }
        }
    }

    /// Whether this VM is one of several voters of its failure domain.
    ///
    /// Before a planned stop a VM has to be removed from the roster: if it
    /// stops as a voter, the others may be left without a majority.
    #[must_use]
    pub fn votes(&self) -> bool {
        let roster = match &self.role {
            StewardRole::Leading(leading) => Some(&leading.claim.counted),
            StewardRole::Follower { .. } | StewardRole::Candidate { .. } => {
                self.knowledge.roster.as_ref()
            }
        };
        roster.is_some_and(|r| r.voters.len() > 1 && r.has(&self.me.vm))
    }

    /// The number of slices of each service that belong to this domain and
    /// are not certainly served by one of its servers.
    ///
    /// Slices of a lost server count from the detection of its loss until
    /// another server holds them. Returns `None` if this VM does not lead
    /// or may not move slices yet.
    #[must_use]
    pub fn unserved(&self) -> Option<Vec<(ServiceName, usize)>> {
        let StewardRole::Leading(leading) = &self.role else {
            return None;
        };
        let plan = self.knowledge.plan.as_ref()?;
        let services = plan.services.iter();
        let counts = services.map(|service| {
            let mut left = service.slices.clone();
            left.subtract(&service.leaving);
            let servers = leading.servers.values();
            for server in servers.filter(|s| s.plan.service == service.service)
            {
                let mut served = server.target.clone();
                served.intersect_with(&server.bound);
                if !server.lost {
                    left.subtract(&served);
                }
            }
            (service.service.clone(), left.len())
        });
        leading.may_move().then(|| counts.collect())
    }

    /// The status for operators.
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
            status.tokens.insert(name.clone(), server.order.token);
            if server.target != server.bound {
                status.due.insert(name.clone(), server.due());
            }
        }
        status
    }
}

/// The voter of an answer, and the request that it answers.
struct Confirmation {
    voter: VmName,
    sent: LocalTime,
    term: TermId,
    roster: u64,
}

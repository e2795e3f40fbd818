//! The message handlers of the control actor.

use goldcrestramp_adapter::StoreCall;
use goldcrestramp_assignment::{PreviousPlanner, last_grant_sent};
use goldcrestramp_types::{ClockSource, LocalTime, MonotonicClock};
use xtra::{Actor, Context, Handler};

use crate::{
    control::{
        ControlActor,
        actor::MAX_PROOF_AGE,
        message::{
            ClaimEnded, CommitEnded, ControlTick, HistoryLost, LeaseProof,
            NextSource, NextStep, OrderEnded, PeerQueryEnded, PeerTimedOut,
            PeerUpdate, PreviousPlannerStopped, ReadBack, StopControl,
            StoreChanges, StoreSnapshot, StoreTimedOut, TablesReplicated,
            VmPage,
        },
    },
    peers::{PeerCall, PeerReply},
};

fn now() -> LocalTime {
    MonotonicClock.now()
}

impl Actor for ControlActor {
    type Stop = ();

    async fn stopped(self) {}
}

impl Handler<StoreChanges> for ControlActor {
    type Return = ();

    async fn handle(&mut self, message: StoreChanges, _: &mut Context<Self>) {
        let now = now();
        self.sync.record_response(now);
        let any = self.mirror.apply(message.events, message.revision);
        if any {
            self.refresh(now);
        }
        self.sync.record_current_at(message.sent_at);
        if any {
            self.run_planner(now);
        }
    }
}

impl Handler<StoreSnapshot> for ControlActor {
    type Return = ();

    async fn handle(&mut self, message: StoreSnapshot, _: &mut Context<Self>) {
        let now = now();
        self.sync.record_response(now);
        let StoreSnapshot { sent_at, page } = message;
        self.sync.record_read();
        if self.mirror.replace(page.items, page.revision) {
            self.refresh(now);
            self.sync.record_current_at(sent_at);
            self.run_planner(now);
        }
    }
}

impl Handler<VmPage> for ControlActor {
    type Return = ();

    async fn handle(&mut self, VmPage(page): VmPage, _: &mut Context<Self>) {
        let now = now();
        self.sync.record_response(now);
        self.sync.record_vms(now);
        for item in page.items {
            self.mirror.write(item);
        }
        self.refresh(now);
    }
}

impl Handler<NextSource> for ControlActor {
    type Return = NextStep;

    async fn handle(
        &mut self,
        _: NextSource,
        _: &mut Context<Self>,
    ) -> NextStep {
        let now = now();
        let source = self.next_source(now);
        NextStep {
            source,
            busy_address: source.and_then(|from| self.busy_address(from)),
            response_time: self.response_time(now),
            known: self.known_revisions(),
        }
    }
}

impl Handler<StoreTimedOut> for ControlActor {
    type Return = ();

    async fn handle(&mut self, _: StoreTimedOut, _: &mut Context<Self>) {
        self.sync.record_failure();
    }
}

impl Handler<HistoryLost> for ControlActor {
    type Return = ();

    async fn handle(&mut self, _: HistoryLost, _: &mut Context<Self>) {
        self.sync.record_history_loss();
    }
}

impl Handler<PeerQueryEnded> for ControlActor {
    type Return = ();

    async fn handle(&mut self, _: PeerQueryEnded, _: &mut Context<Self>) {
        self.query_in_flight = false;
    }
}

impl Handler<PeerTimedOut> for ControlActor {
    type Return = ();

    async fn handle(
        &mut self,
        PeerTimedOut(peer): PeerTimedOut,
        _: &mut Context<Self>,
    ) {
        self.sync.record_peer_failure(now(), peer);
    }
}

impl Handler<PeerUpdate> for ControlActor {
    type Return = ();

    async fn handle(&mut self, message: PeerUpdate, _: &mut Context<Self>) {
        let now = now();
        if message.fresh {
            self.sync.record_response(now);
        }
        if let Some(source) = message.source {
            // The age of a VM's copy counts from when its watch was sent, so
            // the copy looks old just after it has read a large change.
            let changed = message.update.has_configuration();
            let fresh = message.fresh || changed;
            self.sync.record_peer_response(now, source, fresh);
        }
        let applied = self.apply_update(now, message.update);
        if applied.changed {
            self.refresh(now);
        }
        if applied.complete {
            self.sync.record_current_at(message.as_of);
            if self.load_control {
                // The store may still have the history after that VM's copy.
                self.sync.record_read();
            }
        }
        if applied.changed {
            self.run_planner(now);
        }
    }
}

impl Handler<LeaseProof> for ControlActor {
    type Return = bool;

    async fn handle(
        &mut self,
        message: LeaseProof,
        _: &mut Context<Self>,
    ) -> bool {
        if self.stopping {
            return false;
        }
        self.record_lease_proof(message);
        true
    }
}

impl Handler<ControlTick> for ControlActor {
    type Return = ();

    async fn handle(&mut self, _: ControlTick, _: &mut Context<Self>) {
        let now = now();
        self.hand_over_if_partitioned(now);
        self.claim_if_vacant(now);
        self.update_timed_gauges(now);
        self.query_peer_if_stale(now);
        self.report_load(now);
        self.fetch_permits(now);
        self.run_planner(now);
    }
}

impl Handler<ClaimEnded> for ControlActor {
    type Return = ();

    async fn handle(&mut self, message: ClaimEnded, _: &mut Context<Self>) {
        let now = now();
        self.claim_ended(now, message);
        self.run_planner(now);
    }
}

impl Handler<PreviousPlannerStopped> for ControlActor {
    type Return = ();

    async fn handle(
        &mut self,
        message: PreviousPlannerStopped,
        _: &mut Context<Self>,
    ) {
        let PreviousPlannerStopped { at, planned_by } = message;
        let stopped = PreviousPlanner::Stopped { planned_by };
        if let Some(term) = &mut self.term {
            term.inherit(last_grant_sent(at, stopped, MAX_PROOF_AGE));
        }
    }
}

impl Handler<CommitEnded> for ControlActor {
    type Return = ();

    async fn handle(&mut self, message: CommitEnded, _: &mut Context<Self>) {
        let now = now();
        self.commit_ended(now, message);
        self.run_planner(now);
    }
}

impl Handler<TablesReplicated> for ControlActor {
    type Return = ();

    async fn handle(
        &mut self,
        message: TablesReplicated,
        _: &mut Context<Self>,
    ) {
        self.tables_replicated(message);
    }
}

impl Handler<ReadBack> for ControlActor {
    type Return = ();

    async fn handle(&mut self, message: ReadBack, _: &mut Context<Self>) {
        let now = now();
        self.read_back(now, message);
        self.run_planner(now);
    }
}

impl Handler<OrderEnded> for ControlActor {
    type Return = ();

    async fn handle(&mut self, message: OrderEnded, _: &mut Context<Self>) {
        let now = now();
        let release = self.order_ended(now, &message);
        if release {
            self.run_planner(now);
        }
    }
}

impl Handler<StopControl> for ControlActor {
    type Return = ();

    async fn handle(&mut self, _: StopControl, _: &mut Context<Self>) {
        self.stopping = true;
        // No VM can take over during a store outage. If the planner stopped
        // renewing at once, every key would be without an owner when its grant
        // expires. So it renews grants until the process ends, like a planner
        // whose lease cannot be renewed, and a successor requests it to step
        // down.
        if self.term.is_some() && !self.sync.is_fresh(now(), self.proof) {
            log::warn!(
                "[control] No response of the store: still renewing grants."
            );
            return;
        }
        self.end_term();
        let Some(lease) = self.lease.take() else { return };
        if let Err(failure) =
            self.store.call(&StoreCall::EndLease(lease)).await
        {
            log::info!(
                "[store] The lease was not ended and will expire: {failure}."
            );
        }
    }
}

impl Handler<PeerCall> for ControlActor {
    type Return = PeerReply;

    async fn handle(
        &mut self,
        message: PeerCall,
        _: &mut Context<Self>,
    ) -> PeerReply {
        let now = now();
        match message {
            PeerCall::BasicSync(request) => {
                PeerReply::BasicUpdate(self.sync_reply(now, &request.known))
            }
            PeerCall::Sync(request) => {
                let mut reply = self.sync_reply(now, &request.known);
                let extension = reply.take_extension();
                PeerReply::Update(reply, extension)
            }
            PeerCall::Tables(update) => {
                self.apply_tables(now, update);
                PeerReply::Tables(self.history.known_revisions())
            }
            PeerCall::Load(report) => {
                self.record_load(now, &report);
                PeerReply::Accepted
            }
            PeerCall::Demand(report) => self
                .allot_shares(now, &report)
                .map_or(PeerReply::Accepted, PeerReply::Shares),
            PeerCall::Notices(report) => {
                self.record_notices(now, report);
                PeerReply::Accepted
            }
            PeerCall::Crashes(report) => {
                self.crashes.apply_report(now, report);
                PeerReply::Accepted
            }
            PeerCall::StepDown { start } => self.step_down(start),
            PeerCall::Permits(_) if self.term.is_none() => PeerReply::Accepted,
            PeerCall::Permits(requests) => {
                PeerReply::Permits(self.grant_permits(now, requests))
            }
        }
    }
}

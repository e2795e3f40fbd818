//! What the control actor does with what it is told.

use goldcrestramp_adapter::StoreCall;
use goldcrestramp_assignment::{PreviousPlanner, last_grant_sent};
use goldcrestramp_types::{ClockSource, LocalTime, MonotonicClock, TimeSpan};
use xtra::{Actor, Context, Handler};

use crate::{
    control::{
        ControlActor,
        actor::PROOF_LIFE,
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
        self.sync.answered(now);
        let any = self.mirror.apply(message.events, message.revision);
        if any {
            self.refresh(now);
        }
        self.sync.was_current(message.sent_at);
        if any {
            self.work(now);
        }
    }
}

impl Handler<StoreSnapshot> for ControlActor {
    type Return = ();

    async fn handle(&mut self, message: StoreSnapshot, _: &mut Context<Self>) {
        let now = now();
        self.sync.answered(now);
        let StoreSnapshot { sent_at, page } = message;
        self.sync.was_read();
        if self.mirror.replace(page.items, page.revision) {
            self.refresh(now);
            self.sync.was_current(sent_at);
            self.work(now);
        }
    }
}

impl Handler<VmPage> for ControlActor {
    type Return = ();

    async fn handle(&mut self, VmPage(page): VmPage, _: &mut Context<Self>) {
        let now = now();
        self.sync.answered(now);
        self.sync.was_read();
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
        let source = self.next_source(now());
        NextStep { source, known: self.known_revisions() }
    }
}

impl Handler<StoreTimedOut> for ControlActor {
    type Return = ();

    async fn handle(&mut self, _: StoreTimedOut, _: &mut Context<Self>) {
        self.sync.failed();
    }
}

impl Handler<HistoryLost> for ControlActor {
    type Return = ();

    async fn handle(&mut self, _: HistoryLost, _: &mut Context<Self>) {
        self.sync.history_lost();
    }
}

impl Handler<PeerQueryEnded> for ControlActor {
    type Return = ();

    async fn handle(&mut self, _: PeerQueryEnded, _: &mut Context<Self>) {
        self.asking = false;
    }
}

impl Handler<PeerTimedOut> for ControlActor {
    type Return = ();

    async fn handle(
        &mut self,
        PeerTimedOut(peer): PeerTimedOut,
        _: &mut Context<Self>,
    ) {
        self.sync.peer_failed(now(), peer);
    }
}

impl Handler<PeerUpdate> for ControlActor {
    type Return = ();

    async fn handle(&mut self, message: PeerUpdate, _: &mut Context<Self>) {
        let now = now();
        if message.fresh {
            self.sync.answered(now);
        }
        if let Some(source) = message.source {
            self.sync.peer_answered(now, source, message.fresh);
        }
        let taken = self.apply_update(now, message.update);
        if taken.changed {
            self.refresh(now);
        }
        if taken.whole {
            self.sync.was_current(message.as_of);
        }
        if taken.changed {
            self.work(now);
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
        self.take_lease(message);
        true
    }
}

impl Handler<ControlTick> for ControlActor {
    type Return = ();

    async fn handle(&mut self, _: ControlTick, _: &mut Context<Self>) {
        let now = now();
        self.claim_if_vacant(now);
        self.note_news_age(now);
        self.ask_if_silent(now);
        self.report_load(now);
        self.ask_permits(now);
        self.work(now);
    }
}

impl Handler<ClaimEnded> for ControlActor {
    type Return = ();

    async fn handle(&mut self, message: ClaimEnded, _: &mut Context<Self>) {
        let now = now();
        self.claim_ended(now, message);
        self.work(now);
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
            term.inherit(last_grant_sent(at, stopped, PROOF_LIFE));
        }
    }
}

impl Handler<CommitEnded> for ControlActor {
    type Return = ();

    async fn handle(&mut self, message: CommitEnded, _: &mut Context<Self>) {
        let now = now();
        self.commit_ended(now, message);
        self.work(now);
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
        self.work(now);
    }
}

impl Handler<OrderEnded> for ControlActor {
    type Return = ();

    async fn handle(&mut self, message: OrderEnded, _: &mut Context<Self>) {
        let now = now();
        let release = self.order_ended(now, &message);
        if release {
            self.work(now);
        }
    }
}

impl Handler<StopControl> for ControlActor {
    type Return = ();

    async fn handle(&mut self, _: StopControl, _: &mut Context<Self>) {
        self.stopping = true;
        // Nobody can take over while the store is away. If the planner then
        // stops renewing at once, every key is without an owner when its
        // hold ends; it renews until the process ends, like one whose lease
        // can't be kept, and a successor asks it to stop.
        if self.term.is_some() && !self.sync.is_fresh(now(), self.proof) {
            log::warn!("[control] The store is silent: holds are renewed on.");
            return;
        }
        self.end_term();
        let Some(lease) = self.lease.take() else { return };
        if let Err(failure) =
            self.store.call(&StoreCall::EndLease(lease)).await
        {
            log::info!("[store] The lease ends by itself: {failure}.");
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
            PeerCall::Sync { known, .. } => {
                let fresh = self.sync.may_be_followed(now, self.proof);
                let update = self.update_since(&known);
                let age = self.sync.age(now);
                PeerReply::Update { update, age, held: TimeSpan::ZERO, fresh }
            }
            PeerCall::Tables(update) => {
                self.apply_tables(now, update);
                PeerReply::Tables(self.history.known_revisions())
            }
            PeerCall::Load(report) => {
                self.take_load(now, &report);
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

//! The control actor's handlers, one for each message.

use std::sync::Arc;

use goldcrestramp_ownership::{ConfirmAnswer, PermitAnswer, StewardEvent};
use xtra::{Context, Handler};

use crate::control::{
    actor::ControlActor,
    messages::{
        ConfigNotice, DispensableAsk, DrainedAsk, GrantNotice, HomesNotice,
        PermitAsk, PermitNotice, RosterNotice, StatusAsk, StewardAsk,
        StewardLocation, StewardNotice, TableNotice, TickNotice, VmsNotice,
        VoteAsk,
    },
    reader,
    status::ControlStatus,
};

impl Handler<TickNotice> for ControlActor {
    type Return = ();

    async fn handle(&mut self, _: TickNotice, _: &mut Context<Self>) {
        self.context.faults.wait().await;
        if let Some((ask, at)) = self.voter.latest() {
            let event = StewardEvent::StewardSeen { ask: ask.clone(), at };
            self.steward_event(event);
        }
        self.steward_event(StewardEvent::Tick);
        self.publish_leading();
        self.plan_moves();
        self.count_unserved();
        self.update_running();
        self.request_permit();
        self.send_orders();
    }
}

impl Handler<VoteAsk> for ControlActor {
    type Return = ConfirmAnswer;

    async fn handle(
        &mut self,
        VoteAsk(ask): VoteAsk,
        _: &mut Context<Self>,
    ) -> ConfirmAnswer {
        self.vote(&ask)
    }
}

impl Handler<PermitAsk> for ControlActor {
    type Return = PermitAnswer;

    async fn handle(
        &mut self,
        PermitAsk { report, versions }: PermitAsk,
        _: &mut Context<Self>,
    ) -> PermitAnswer {
        let now = self.context.now();
        if self.steward.leads(now) {
            self.reports.record(now, report.vm.clone(), versions);
            self.feed.record_report(now, &report);
        }
        let answer = self.steward.permit(now, report);
        if let PermitAnswer::NotSteward { steward: None } = &answer {
            let steward = self.search.known().cloned();
            return PermitAnswer::NotSteward { steward };
        }
        answer
    }
}

impl Handler<StewardNotice> for ControlActor {
    type Return = ();

    async fn handle(
        &mut self,
        StewardNotice(event): StewardNotice,
        _: &mut Context<Self>,
    ) {
        if let StewardEvent::RosterRead(Some(roster))
        | StewardEvent::RosterSaved(Ok(roster)) = &event
        {
            self.search.set_voters(roster);
        }
        self.steward_event(event);
    }
}

impl Handler<PermitNotice> for ControlActor {
    type Return = ();

    async fn handle(&mut self, message: PermitNotice, _: &mut Context<Self>) {
        let PermitNotice { sent, answer } = message;
        self.context.faults.wait().await;
        self.permit_in_flight = false;
        self.search.record_answer(answer.as_ref());
        let Some(answer) = answer else {
            return;
        };
        let now = self.context.now();
        if matches!(answer, PermitAnswer::NotSteward { .. }) {
            self.permit_due_at = now + self.timing.renew_interval.percent(25);
        }
        self.keeper.permitted(now, sent, answer);
        self.send_orders();
        self.publish_view();
    }
}

impl Handler<GrantNotice> for ControlActor {
    type Return = ();

    async fn handle(&mut self, message: GrantNotice, _: &mut Context<Self>) {
        let GrantNotice { server, sent, reply } = message;
        self.context.faults.wait().await;
        let now = self.context.now();
        match reply {
            Some(reply) => self.keeper.replied(now, sent, &server, &reply),
            None => self.keeper.record_no_reply(now, sent, &server),
        }
        self.send_orders();
        self.publish_view();
    }
}

impl Handler<ConfigNotice> for ControlActor {
    type Return = ();

    async fn handle(
        &mut self,
        ConfigNotice(state): ConfigNotice,
        _: &mut Context<Self>,
    ) {
        self.apply_config(&state);
    }
}

impl Handler<HomesNotice> for ControlActor {
    type Return = ();

    async fn handle(
        &mut self,
        HomesNotice(homes): HomesNotice,
        _: &mut Context<Self>,
    ) {
        if self.hub.apply_homes(homes) {
            self.refresh_plan();
        }
    }
}

impl Handler<RosterNotice> for ControlActor {
    type Return = ();

    async fn handle(
        &mut self,
        RosterNotice(roster): RosterNotice,
        _: &mut Context<Self>,
    ) {
        if let Some(roster) = &roster {
            self.search.set_voters(roster);
        }
        self.steward_event(StewardEvent::RosterRead(roster));
    }
}

impl Handler<TableNotice> for ControlActor {
    type Return = ();

    async fn handle(
        &mut self,
        TableNotice(table): TableNotice,
        _: &mut Context<Self>,
    ) {
        self.hub.apply_table(&table);
    }
}

impl Handler<VmsNotice> for ControlActor {
    type Return = ();

    async fn handle(
        &mut self,
        VmsNotice(vms): VmsNotice,
        _: &mut Context<Self>,
    ) {
        self.context.vms.store(Arc::new(vms.clone()));
        self.reports.retain_listed(&vms);
        let domain = self.context.domain();
        let voters = reader::domain_voters(&vms, domain);
        self.steward_event(StewardEvent::VmsRead(voters));
    }
}

impl Handler<StatusAsk> for ControlActor {
    type Return = ControlStatus;

    async fn handle(
        &mut self,
        _: StatusAsk,
        _: &mut Context<Self>,
    ) -> ControlStatus {
        let now = self.context.now();
        let set = self.hub.set();
        let seen = self.search.known().cloned();
        let passes = self.keeper.passes(now);
        let keeps = passes.servers.iter();
        ControlStatus {
            taken: now,
            steward: self.steward.status(now),
            steward_seen: seen.map(|(vm, at)| (vm.to_string(), at)),
            config: set.config.clone(),
            tables: set.domains.clone(),
            keeps: keeps.map(|(s, p)| (s.clone(), p.until)).collect(),
            versions: self.versions(),
            seen: self.reports.list(),
            heard: self.hub.heard(),
            homes: set.homes.values().cloned().collect(),
        }
    }
}

impl Handler<DrainedAsk> for ControlActor {
    type Return = bool;

    async fn handle(&mut self, _: DrainedAsk, _: &mut Context<Self>) -> bool {
        self.keeper.servers().is_empty()
    }
}

impl Handler<DispensableAsk> for ControlActor {
    type Return = bool;

    async fn handle(
        &mut self,
        _: DispensableAsk,
        _: &mut Context<Self>,
    ) -> bool {
        !self.steward.votes()
    }
}

impl Handler<StewardAsk> for ControlActor {
    type Return = StewardLocation;

    async fn handle(
        &mut self,
        _: StewardAsk,
        _: &mut Context<Self>,
    ) -> StewardLocation {
        if self.steward.leads(self.context.now()) {
            return StewardLocation::Local;
        }
        match self.search.known() {
            Some((vm, at)) => {
                StewardLocation::Remote(vm.clone(), Arc::clone(at))
            }
            None => StewardLocation::Unknown,
        }
    }
}

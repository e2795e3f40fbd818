//! The actor that owns all control state of a VM.

use std::sync::Arc;

use goldcrestramp_config::DeploymentState;
use goldcrestramp_ownership::{
    ConfirmAnswer, ConfirmAsk, KeeperMachine, KeeperReport, SliceLoad,
    StewardEffect, StewardEvent, StewardMachine, TermTiming, VoterState,
    domain_plan,
};
use goldcrestramp_platform::PlatformClient;
use goldcrestramp_types::{LocalTime, VmName};
use tokio::sync::watch;
use xtra::{Actor, Address, Mailbox, WeakAddress};

use crate::{
    context::NodeContext,
    control::{
        churn::MoveMeter,
        grants,
        links::ControlLinks,
        messages::StewardNotice,
        permit_stream::{PermitQuestion, PermitStream},
        permits::StewardSearch,
        seen::{SeenBook, VmVersions},
        tables::TableHub,
        unserved::UnservedMeter,
    },
    convert,
    keeper::KeeperView,
    planner::PlacementFeed,
    store::{self, RecordStore},
};

/// Steward, grants and voter of one VM, with all that they need.
#[derive(Debug)]
pub(crate) struct ControlActor {
    pub(super) context: Arc<NodeContext>,
    pub(super) steward: StewardMachine,
    pub(super) keeper: KeeperMachine,
    pub(super) voter: VoterState,
    pub(super) timing: TermTiming,
    pub(super) links: ControlLinks,
    pub(super) http: reqwest::Client,
    pub(super) store: PlatformClient,
    pub(super) records: RecordStore,
    pub(super) hub: Arc<TableHub>,
    pub(super) feed: PlacementFeed,
    pub(super) search: StewardSearch,
    pub(super) seen: SeenBook,
    pub(super) churn: MoveMeter,
    pub(super) unserved: UnservedMeter,
    pub(super) permits: PermitStream,
    pub(super) address: Option<WeakAddress<Self>>,
    pub(super) ask_at: LocalTime,
    pub(super) asking: bool,
    pub(super) leading: watch::Sender<bool>,
}

impl ControlActor {
    /// The actor of a VM whose daemon has just started.
    pub(crate) fn new(
        context: Arc<NodeContext>,
        store: PlatformClient,
        hub: Arc<TableHub>,
        leading: watch::Sender<bool>,
    ) -> Self {
        let timing = TermTiming::default();
        let now = context.now();
        let steward = StewardMachine::new(
            now,
            context.domain().clone(),
            context.vm().clone(),
            context.control_address(),
            context.start,
            timing,
        );
        let keeper = KeeperMachine::new(
            context.vm().clone(),
            context.peers_address(),
            context.start,
            timing,
        );
        Self {
            steward,
            keeper,
            voter: VoterState::new(now, timing),
            timing,
            links: ControlLinks::new(Arc::clone(&context)),
            http: reqwest::Client::new(),
            records: RecordStore::open(
                store.clone(),
                context.domain().clone(),
            ),
            store,
            hub,
            feed: PlacementFeed::default(),
            search: StewardSearch::default(),
            seen: SeenBook::default(),
            churn: MoveMeter::default(),
            unserved: UnservedMeter::default(),
            permits: PermitStream::default(),
            address: None,
            ask_at: now,
            asking: false,
            leading,
            context,
        }
    }

    pub(super) fn address(&self) -> Option<Address<Self>> {
        self.address.as_ref()?.try_upgrade()
    }

    /// Hands an event to the steward and carries out what it wants.
    pub(super) fn steward_event(&mut self, event: StewardEvent) {
        let now = self.context.now();
        let effects = self.steward.handle(now, event);
        for effect in effects {
            self.carry_out(effect);
        }
    }

    pub(super) fn carry_out(&mut self, effect: StewardEffect) {
        match effect {
            StewardEffect::AskVoter { voter, ask } => {
                self.ask_voter(voter.vm, voter.address, ask);
            }
            StewardEffect::LearnPlan(version) => {
                self.voter.learn_plan(version);
            }
            StewardEffect::LearnRoster(version) => {
                self.voter.learn_roster(version);
            }
            StewardEffect::Publish(table) => {
                for (service, tally) in self.churn.take(&table) {
                    self.context.metrics.count_moves(&service, tally);
                }
                self.hub.take_table(&table);
            }
            StewardEffect::SaveRoster(roster) => {
                self.spawn_store(store::save_roster(
                    self.store.clone(),
                    roster,
                ));
            }
            StewardEffect::ReadRoster => {
                let domain = self.context.domain().clone();
                self.spawn_store(store::read_roster(
                    self.store.clone(),
                    domain,
                ));
            }
            StewardEffect::SaveRecord(record) => {
                let state = self.hub.set().config.clone();
                self.spawn_store(self.records.clone().save(record, state));
            }
            StewardEffect::ReadRecord => {
                self.spawn_store(self.records.clone().read());
            }
        }
    }

    /// Runs a call to the store and hands its event to the steward.
    pub(super) fn spawn_store(
        &self,
        call: impl Future<Output = Option<StewardEvent>> + Send + 'static,
    ) {
        let Some(actor) = self.address() else {
            return;
        };
        tokio::spawn(async move {
            if let Some(event) = call.await {
                drop(actor.send(StewardNotice(event)).await);
            }
        });
    }

    /// Asks a voter: this VM's own at once, others over the network.
    pub(super) fn ask_voter(
        &mut self,
        vm: VmName,
        address: Arc<str>,
        ask: ConfirmAsk,
    ) {
        let sent = self.context.now();
        if vm == *self.context.vm() {
            let answer = self.vote(&ask);
            let event = answered(vm, sent, &ask, answer);
            self.steward_event(event);
            return;
        }
        let Some(actor) = self.address() else {
            return;
        };
        let links = self.links.clone();
        tokio::spawn(async move {
            let answer = links.confirm(&address, &ask).await;
            if let Some(answer) = answer {
                let event = answered(vm, sent, &ask, answer);
                drop(actor.send(StewardNotice(event)).await);
            }
        });
    }

    pub(super) fn vote(&mut self, ask: &ConfirmAsk) -> ConfirmAnswer {
        let now = self.context.now();
        let answer = self.voter.confirm(now, ask);
        if answer == ConfirmAnswer::Confirmed {
            let place = (ask.vm.clone(), Arc::clone(&ask.address));
            self.search.take_steward(place.0, place.1);
        }
        answer
    }

    /// Asks for a permit when it is time and no question is under way.
    pub(super) fn ask_permit(&mut self) {
        let now = self.context.now();
        let due = self.ask_at.min(self.keeper.poll_at());
        if self.asking || now < due {
            return;
        }
        self.ask_at = now + self.timing.renew_interval;
        let report = self.report(now);
        if self.steward.leads(now) {
            self.feed.take(now, &report);
            let answer = self.steward.permit(now, report);
            self.keeper.permitted(now, now, answer);
            self.publish_view();
            return;
        }
        // What a report drops must be sent no request any more.
        self.publish_view();
        let Some(address) = self.search.next() else {
            return;
        };
        let Some(actor) = self.address() else {
            return;
        };
        self.asking = true;
        let domain = self.context.domain();
        let versions = self.versions();
        let message = convert::report_out(&report, domain, versions);
        let question = PermitQuestion { sent: now, address, message };
        self.permits.ask(&self.links, actor, question);
    }

    /// What this VM has in force.
    pub(super) fn versions(&self) -> VmVersions {
        let set = self.hub.set();
        let table = set.domains.get(self.context.domain());
        VmVersions {
            config: set.config_mark.version,
            table: table.map(|table| table.version),
        }
    }

    pub(super) fn report(&mut self, now: LocalTime) -> KeeperReport {
        self.keeper.set_leaving(self.context.leaving());
        let mut report = self.keeper.report(now);
        for server in &mut report.servers {
            let reading = self.context.loads.take(now, &server.server);
            server.busy = reading.busy;
            let slices = reading.slices.into_iter();
            let loads = slices.map(|(slice, busy)| SliceLoad { slice, busy });
            server.loads = loads.collect();
        }
        report
    }

    pub(super) fn send_orders(&mut self) {
        let Some(actor) = self.address() else {
            return;
        };
        let orders = self.keeper.orders(self.context.now());
        for (server, address, order) in orders {
            grants::send_order(
                &self.context,
                &self.http,
                actor.clone(),
                server,
                &address,
                &order,
            );
        }
    }

    /// Shows the traffic threads what they may send.
    ///
    /// Only after a report, a permit or a server's reply: nothing else
    /// changes it, and what has run out the threads see by its deadline.
    pub(super) fn publish_view(&mut self) {
        let passes = self.keeper.passes(self.context.now());
        let view = KeeperView::new(passes, self.keeper.servers());
        self.context.view.store(Arc::new(view));
    }

    /// Gives the steward its plan once configuration or records changed.
    pub(super) fn refresh_plan(&mut self) {
        let set = self.hub.set();
        let Some(config) = &set.config else {
            return;
        };
        let domain = self.context.domain();
        let records: Vec<_> = set.homes.values().cloned().collect();
        let Some(plan) = domain_plan(config, domain, &records) else {
            return;
        };
        self.steward_event(StewardEvent::PlanRead(Arc::new(plan)));
    }

    pub(super) fn take_config(&mut self, state: &Arc<DeploymentState>) {
        if self.hub.take_config(state) {
            log::info!("store: configuration {} is in force", state.version);
            self.refresh_plan();
        }
    }

    /// Tells the keeper what must end before a slice is released.
    pub(super) fn tell_running(&mut self) {
        for order in self.keeper.servers() {
            let slices = self.context.running.slices(&order.server);
            self.keeper.set_running(&order.server, slices);
        }
    }
}

fn answered(
    voter: VmName,
    sent: LocalTime,
    ask: &ConfirmAsk,
    answer: ConfirmAnswer,
) -> StewardEvent {
    StewardEvent::Answered {
        voter,
        sent,
        term: ask.term,
        roster: ask.roster,
        answer,
    }
}

impl Actor for ControlActor {
    type Stop = ();

    async fn started(&mut self, mailbox: &Mailbox<Self>) -> Result<(), ()> {
        self.address = Some(mailbox.address());
        Ok(())
    }

    async fn stopped(self) {}
}

//! The actor that owns the control state of a VM.

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
        permit_stream::{PermitCall, PermitStream},
        permits::StewardSearch,
        seen::{ReportTable, VmVersions},
        tables::TableHub,
        unserved::UnservedMeter,
    },
    convert,
    keeper::KeeperView,
    planner::PlacementFeed,
    store::{self, RecordStore},
};

/// The steward, keeper and voter of one VM, with their connections, stores
/// and measurements.
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
    pub(super) reports: ReportTable,
    pub(super) churn: MoveMeter,
    pub(super) unserved: UnservedMeter,
    pub(super) permits: PermitStream,
    pub(super) address: Option<WeakAddress<Self>>,
    pub(super) permit_due_at: LocalTime,
    pub(super) permit_in_flight: bool,
    pub(super) leading: watch::Sender<bool>,
}

impl ControlActor {
    /// Creates the actor of a VM whose daemon has just started.
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
            reports: ReportTable::default(),
            churn: MoveMeter::default(),
            unserved: UnservedMeter::default(),
            permits: PermitStream::default(),
            address: None,
            permit_due_at: now,
            permit_in_flight: false,
            leading,
            context,
        }
    }

    pub(super) fn address(&self) -> Option<Address<Self>> {
        self.address.as_ref()?.try_upgrade()
    }

    /// Passes an event to the steward and carries out the resulting effects.
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
                self.hub.apply_table(&table);
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

    /// Spawns a call to the store and sends its event to the steward.
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

    /// Asks a voter to confirm: this VM's own directly, others over the
    /// network.
    pub(super) fn ask_voter(
        &mut self,
        vm: VmName,
        address: Arc<str>,
        ask: ConfirmAsk,
    ) {
        let sent = self.context.now();
        if vm == *self.context.vm() {
            let answer = self.vote(&ask);
            let event = answer_event(vm, sent, &ask, answer);
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
                let event = answer_event(vm, sent, &ask, answer);
                drop(actor.send(StewardNotice(event)).await);
            }
        });
    }

    pub(super) fn vote(&mut self, ask: &ConfirmAsk) -> ConfirmAnswer {
        let now = self.context.now();
        let answer = self.voter.confirm(now, ask);
        if answer == ConfirmAnswer::Confirmed {
            let steward = (ask.vm.clone(), Arc::clone(&ask.address));
            self.search.set_steward(steward.0, steward.1);
        }
        answer
    }

    /// Asks for a permit if it is due and no call is in flight.
    pub(super) fn request_permit(&mut self) {
        let now = self.context.now();
        let due = self.permit_due_at.min(self.keeper.poll_at());
        if self.permit_in_flight || now < due {
            return;
        }
        self.permit_due_at = now + self.timing.renew_interval;
        let report = self.report(now);
        if self.steward.leads(now) {
            self.feed.record_report(now, &report);
            let answer = self.steward.permit(now, report);
            self.keeper.permitted(now, now, answer);
            self.publish_view();
            return;
        }
        // What the report has dropped must receive no more requests.
        self.publish_view();
        let Some(address) = self.search.next() else {
            return;
        };
        let Some(actor) = self.address() else {
            return;
        };
        self.permit_in_flight = true;
        let domain = self.context.domain();
        let versions = self.versions();
        let message = convert::report_out(&report, domain, versions);
        let call = PermitCall { sent: now, address, message };
        self.permits.send(&self.links, actor, call);
    }

    /// The versions that this VM has in force.
    pub(super) fn versions(&self) -> VmVersions {
        let set = self.hub.set();
        let table = set.domains.get(self.context.domain());
        VmVersions {
            config: set.config_revision.version,
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

    /// Publishes to the traffic threads what they may send.
    ///
    /// Called only after a report, a permit or a server's reply, since
    /// nothing else changes it. The threads check the deadlines themselves,
    /// so that an expiry needs no update.
    pub(super) fn publish_view(&mut self) {
        let passes = self.keeper.passes(self.context.now());
        let view = KeeperView::new(passes, self.keeper.servers());
        self.context.view.store(Arc::new(view));
    }

    /// Gives the steward a new plan after a change of the configuration or of
    /// a service's record.
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

    pub(super) fn apply_config(&mut self, state: &Arc<DeploymentState>) {
        if self.hub.apply_config(state) {
            log::info!("store: configuration {} is in force", state.version);
            self.refresh_plan();
        }
    }

    /// Updates the keeper's view of running requests, which must end before
    /// their slice is released.
    pub(super) fn update_running(&mut self) {
        for order in self.keeper.servers() {
            let slices = self.context.running.slices(&order.server);
            self.keeper.set_running(&order.server, slices);
        }
    }
}

fn answer_event(
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

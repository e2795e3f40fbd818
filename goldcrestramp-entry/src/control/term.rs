//! The work of this VM while it plans: tables, commits and orders.

use std::{borrow::Cow, sync::Arc};

use goldcrestramp_adapter::{
    AllowedRegions, KeyCondition, ServerEntry, ServerPhase, StoreCall,
    StoreItem, StoreReply, StoreTransaction, StoreWrite,
};
use goldcrestramp_assignment::{
    AssignmentTable, HolderStatus, OrderKind, OrderOutcome, ServerInstance,
};
use goldcrestramp_decisions::{
    BackoffReports, PlannerReach, RateLedger, ReachEvent,
};
use goldcrestramp_types::{FastMap, FastSet, LocalTime, TimeSpan};
use xtra::Address;

use crate::{
    control::{
        ControlActor, LoadReport,
        actor::{ByService, MAX_PROOF_AGE},
        lease::LEASE_TTL,
        message::{CommitEnded, OrderEnded, ReadBack},
        order::{OrderGate, OrderSender},
        retries::RetryLedgers,
        service::{CapacityReports, ServicePlan},
    },
    notices::{InstanceKey, NoticeBoard},
    peers::PeerReply,
    records::{PLANNER_KEY, TABLE_PREFIX, table_key},
    store::StoreClient,
    view::{FleetView, instance_of},
};

/// The first table of a service is created when no server has joined for this
/// long. The servers of a fleet start within a second of each other.
const SETTLE_TIME: TimeSpan = TimeSpan::from_millis(1_000);

/// The number of ranges of a first table, as far as each server has at least
/// one and at most `MAX_INITIAL_STRIPES`. Each range is renewed on its own,
/// and there must be far fewer than a service's maximum, or no busy range
/// could be split.
const INITIAL_RANGES: u32 = 256;
const MAX_INITIAL_STRIPES: u32 = 8;

/// The term of the planning VM.
#[derive(Debug)]
pub(crate) struct PlannerTerm {
    /// The revision of the planner's record, which is a condition of every
    /// commit.
    pub(crate) revision: u64,
    /// The lease of the planner's record.
    pub(crate) lease: u64,
    /// When the last call that proved the lease alive was sent.
    pub(crate) proof: LocalTime,
    /// The latest time at which a previous planner may have sent a grant.
    last_grant_at: LocalTime,
    services: ByService<ServicePlan>,
    /// The services without a table: their number of servers, and since when
    /// it has not changed.
    unsettled: ByService<(usize, LocalTime)>,
    /// The services whose first table is being committed.
    creating: FastSet<Arc<str>>,
    /// The permits of servers that state the rate that they accept.
    pub(crate) rates: RateLedger<ServerInstance>,
    /// The backoffs that the VMs report.
    pub(crate) backoffs: BackoffReports<InstanceKey>,
    /// The retries that VMs lend to each other.
    pub(crate) retries: RetryLedgers,
    /// Lets orders of this term be sent until it ends.
    pub(crate) gate: Arc<OrderGate>,
    /// Whether this VM has reached the servers since the term began. A VM that
    /// has not claimed as no other one did, and keeps the term.
    pub(crate) has_reached_servers: bool,
    /// The answered orders by service.
    pub(crate) answers: ByService<PlannerReach>,
}

impl Drop for PlannerTerm {
    fn drop(&mut self) {
        self.gate.end();
    }
}

impl PlannerTerm {
    pub(crate) fn open(
        revision: u64,
        lease: u64,
        proof: LocalTime,
        last_grant_at: LocalTime,
    ) -> Self {
        Self {
            revision,
            lease,
            proof,
            last_grant_at,
            services: ByService::default(),
            unsettled: ByService::default(),
            creating: FastSet::default(),
            rates: RateLedger::default(),
            backoffs: BackoffReports::default(),
            retries: RetryLedgers::default(),
            gate: Arc::default(),
            has_reached_servers: false,
            answers: ByService::default(),
        }
    }

    /// Whether grants may still be renewed.
    fn may_renew(&self, now: LocalTime) -> bool {
        now.since(self.proof) < MAX_PROOF_AGE
    }

    /// Whether all changes up to this term's record are known, if all changes
    /// up to `revision` are.
    ///
    /// A VM to which the store did not respond may claim before it has caught
    /// up. If it planned then, it would assign keys to servers that have
    /// ended.
    const fn knows_its_start(&self, revision: u64) -> bool {
        revision >= self.revision
    }

    /// Records that the previous planners sent their last grants before
    /// `last_grant_at`.
    pub(crate) fn inherit(&mut self, last_grant_at: LocalTime) {
        self.last_grant_at = self.last_grant_at.min(last_grant_at);
        for service in self.services.values_mut() {
            service.planner.inherit(last_grant_at);
        }
    }

    /// The plans of all services.
    pub(super) fn plans(
        &self,
    ) -> impl Iterator<Item = (&Arc<str>, &ServicePlan)> {
        self.services.iter()
    }

    /// Records the load that a VM reported.
    pub(crate) fn record_load(&mut self, now: LocalTime, report: &LoadReport) {
        for (name, load) in report {
            if let Some(service) = self.services.get_mut(name) {
                service.record_load(now, load);
            }
        }
    }
}

/// The status of the holder of keys.
///
/// Only an instance that started later proves that the holder has ended.
/// Entries expire and return, so the entry of an earlier instance may be known
/// while the holder's is not.
fn holder_status(
    view: &FleetView,
    notices: &NoticeBoard,
    uncertain: bool,
    owners: &OwnerRegions<'_>,
    instance: &ServerInstance,
) -> HolderStatus {
    let own = view.servers.get(&instance.id);
    if let Some(entry) = own.filter(|entry| entry.address == instance.address)
    {
        let drains = entry.phase == ServerPhase::Draining;
        let leaving = drains
            || notices.is_leaving(instance)
            || entry.started_ms != instance.started_ms
            || view.evacuated.contains_key(&entry.domain)
            || !owners.include(entry);
        return if leaving {
            HolderStatus::Leaving
        } else {
            HolderStatus::Serving
        };
    }
    let restarted =
        own.is_some_and(|own| own.started_ms > instance.started_ms);
    // Orders name the server instance that they are for, so its successor
    // accepts none of them.
    if restarted || view.has_successor(instance) {
        HolderStatus::Ended
    } else if uncertain && notices.is_leaving(instance) {
        HolderStatus::Leaving
    } else if uncertain {
        HolderStatus::Serving
    } else {
        HolderStatus::Missing
    }
}

/// The regions in which servers may own a service's keys.
struct OwnerRegions<'a> {
    /// The region of each failure domain.
    regions: &'a FastMap<Arc<str>, Arc<str>>,
    allowed: AllowedRegions,
}

impl<'a> OwnerRegions<'a> {
    /// The regions that all routes to a service allow. Without a ready server
    /// there, keys stay in the others, which may serve some of the routes.
    fn new(
        regions: &'a FastMap<Arc<str>, Arc<str>>,
        allowed: AllowedRegions,
        ready: &[Arc<ServerEntry>],
    ) -> Self {
        let owners = Self { regions, allowed };
        if ready.iter().any(|entry| owners.include(entry)) {
            return owners;
        }
        Self { allowed: AllowedRegions::default(), ..owners }
    }

    fn include(&self, entry: &ServerEntry) -> bool {
        let region = self.regions.get(&entry.domain);
        self.allowed.allows(region.map(|region| &**region))
    }
}

/// The servers of a service that accept new work, by their entries and
/// responses.
fn ready_servers<'a>(
    view: &'a FleetView,
    notices: &NoticeBoard,
    service: &str,
) -> Cow<'a, [Arc<ServerEntry>]> {
    let ready = view.ready.get(service).map_or(&[][..], Vec::as_slice);
    let stays =
        |entry: &&Arc<ServerEntry>| !notices.is_leaving(&instance_of(entry));
    if ready.iter().all(|entry| stays(&entry)) {
        return Cow::Borrowed(ready);
    }
    ready.iter().filter(stays).cloned().collect()
}

/// The servers that keys are assigned to: those that are warm, or all if none
/// is.
fn owner_candidates(
    now: LocalTime,
    view: &FleetView,
    ready: &[Arc<ServerEntry>],
    owners: &OwnerRegions<'_>,
) -> Vec<Arc<ServerEntry>> {
    let allowed = ready.iter().filter(|entry| owners.include(entry));
    let is_warm =
        |entry: &&Arc<ServerEntry>| view.cold_limit(now, entry).is_none();
    let warm: Vec<_> = allowed.clone().filter(is_warm).cloned().collect();
    if warm.is_empty() { allowed.cloned().collect() } else { warm }
}

impl ControlActor {
    /// Plans the next tables, commits them, and sends the orders that are due.
    pub(crate) fn run_planner(&mut self, now: LocalTime) {
        let view = Arc::clone(&self.view);
        let Some(routes) = &view.routes else { return };
        let uncertain = self.sync.may_miss_entries(now);
        let revision = self.mirror.revision();
        let term = self.term.as_mut().filter(|term| term.may_renew(now));
        let Some(term) = term else { return };
        let plans = term.knows_its_start(revision);
        term.backoffs.retain(now);
        term.rates.retain(|instance| view.servers.contains_key(&instance.id));
        let mut commits = Vec::new();
        for name in routes.sharded() {
            let ready = ready_servers(&view, &self.notices, name);
            let allowed = routes.service_regions(name);
            let owners = OwnerRegions::new(&self.regions, allowed, &ready);
            let status_of = |instance: &ServerInstance| {
                holder_status(
                    &view,
                    &self.notices,
                    uncertain,
                    &owners,
                    instance,
                )
            };
            let targets = owner_candidates(now, &view, &ready, &owners);
            let key = table_key(name);
            if !term.services.contains_key(name) {
                let Some(item) = self.mirror.get(&key) else {
                    if plans {
                        commits
                            .extend(initial_table(term, now, name, &targets));
                    }
                    continue;
                };
                let Ok(table) = AssignmentTable::decode(&item.value) else {
                    log::error!(
                        "[control] The table of {name} cannot be decoded."
                    );
                    continue;
                };
                let plan = ServicePlan::open(
                    now,
                    table,
                    item.revision,
                    self.grant_duration,
                    term.last_grant_at,
                );
                term.services.insert(Arc::clone(name), plan);
            }
            let Some(service) = term.services.get_mut(name) else { continue };
            let capacity = CapacityReports {
                rates: &term.rates,
                backoffs: &term.backoffs,
                vms: view.vms.len(),
            };
            if plans
                && let Some(next) =
                    service.plan(now, status_of, &targets, &capacity)
            {
                service.begin_commit(now);
                commits.push((Arc::clone(name), service.revision, next));
            }
            if self.load_control
                && service.has_new_rates()
                && let Some(latency) = routes.min_target_latency(name)
            {
                service.limit_keys(now, name, &targets, &capacity, latency);
            }
            let orders = service.planner.orders(now);
            let sender = OrderSender {
                pool: Arc::clone(&self.orders),
                control: self.address.clone(),
                service: Arc::clone(name),
                gate: Arc::clone(&term.gate),
                sole_planner_until: term.proof + LEASE_TTL,
            };
            sender.send(orders);
        }
        for (service, revision, table) in commits {
            self.commit(service, revision, table);
        }
    }

    /// Commits a table, on the condition that this VM still plans and the
    /// table in the store is the known one.
    fn commit(
        &self,
        service: Arc<str>,
        revision: u64,
        table: AssignmentTable,
    ) {
        let Some(term) = &self.term else { return };
        let key = table_key(&service);
        let condition =
            |key: Arc<str>, revision| KeyCondition { key, revision };
        let transaction = StoreTransaction {
            conditions: vec![
                condition(PLANNER_KEY.into(), term.revision),
                condition(Arc::clone(&key), revision),
            ],
            writes: vec![StoreWrite {
                key,
                value: table.encode().into(),
                lease: 0,
            }],
            ..StoreTransaction::default()
        };
        let (store, control) = (Arc::clone(&self.store), self.address.clone());
        tokio::spawn(async move {
            let reply = store.call(&StoreCall::Commit(transaction)).await;
            let committed = reply.map(|reply| match reply {
                StoreReply::Committed(revision) => Some(revision),
                _ => None,
            });
            let ended = CommitEnded { service, table, committed };
            // Sending fails only when the process stops.
            let _gone = control.send(ended).await;
        });
    }

    /// Handles the end of a commit.
    pub(crate) fn commit_ended(&mut self, now: LocalTime, ended: CommitEnded) {
        let CommitEnded { service, table, committed } = ended;
        if let Ok(Some(revision)) = committed {
            self.record_table(now, &service, table, revision);
            return;
        }
        // The commit was not done, or its outcome is not known; the store
        // itself has to be read.
        log::info!("[control] A commit for {service} is read back.");
        let (store, control) = (Arc::clone(&self.store), self.address.clone());
        tokio::spawn(read_back(store, service, control));
    }

    /// Handles the tables that were read back after a commit of unknown
    /// effect.
    pub(crate) fn read_back(&mut self, now: LocalTime, read: ReadBack) {
        let key = table_key(&read.service);
        let found = read.page.items.into_iter().find(|item| item.key == key);
        let Some(item) = found else {
            if let Some(term) = &mut self.term {
                term.creating.remove(&read.service);
            }
            return;
        };
        let Ok(table) = AssignmentTable::decode(&item.value) else {
            log::error!("[control] The table {key} cannot be decoded.");
            return;
        };
        self.record_table(now, &read.service, table, item.revision);
    }

    /// Records a table that is in the store, and replicates it.
    fn record_table(
        &mut self,
        now: LocalTime,
        service: &Arc<str>,
        table: AssignmentTable,
        revision: u64,
    ) {
        let key = table_key(service);
        let value = table.encode().into();
        self.replicate_table(now, StoreItem { key, value, revision });
        if let Some(term) = &mut self.term {
            term.creating.remove(service);
            if let Some(plan) = term.services.get_mut(service) {
                plan.committed(now, table, revision);
            }
        }
    }

    /// Handles the end of an order; returns whether more work may be due at
    /// once.
    pub(crate) fn order_ended(
        &mut self,
        now: LocalTime,
        ended: &OrderEnded,
    ) -> bool {
        if ended.leaving {
            let key = InstanceKey::from(&ended.order.instance);
            self.notices.record_leaving(now, key);
        }
        let Some(term) = &mut self.term else { return false };
        let Some(plan) = term.services.get_mut(&ended.service) else {
            return false;
        };
        plan.planner.order_ended(now, &ended.order, &ended.outcome);
        let may_connect = now < term.proof + LEASE_TTL;
        if let Some(event) = reach_event(&ended.outcome, may_connect) {
            self.record_reach(now, ended, event);
        }
        log_order(ended);
        let release = ended.order.kind == OrderKind::Release;
        if release && matches!(ended.outcome, OrderOutcome::Done { .. }) {
            self.metrics.moves.inc();
        }
        release
    }

    /// Ends the term if `start` identifies this instance of the process.
    pub(crate) fn step_down(&mut self, start: u64) -> PeerReply {
        // Another instance is meant, which has ended, since this one responds.
        if start != self.me.start {
            return PeerReply::SteppedDown;
        }
        if self.term.is_some() {
            log::warn!("[control] Another VM plans; this one steps down.");
            self.end_term();
        }
        // Orders in flight end within a second; the caller retries.
        if self.has_orders_in_flight() {
            return PeerReply::Busy;
        }
        PeerReply::SteppedDown
    }
}

/// What the outcome of an order shows about the way to its server.
/// `may_connect` says whether a new connection could have been opened for it.
const fn reach_event(
    outcome: &OrderOutcome,
    may_connect: bool,
) -> Option<ReachEvent> {
    match outcome {
        OrderOutcome::Done { .. }
        | OrderOutcome::Outdated
        | OrderOutcome::Ended => Some(ReachEvent::Responded),
        OrderOutcome::NotSent if may_connect => Some(ReachEvent::Unconnected),
        OrderOutcome::NotSent => None,
        OrderOutcome::Unknown | OrderOutcome::TimedOut => {
            Some(ReachEvent::Broken)
        }
    }
}

/// Logs each order that the server did not simply carry out, and each release,
/// because these change who owns which keys.
fn log_order(ended: &OrderEnded) {
    let OrderEnded { service, order, outcome, .. } = ended;
    let grant = order.kind != OrderKind::Release;
    let done = matches!(outcome, OrderOutcome::Done { .. });
    if grant && done {
        return;
    }
    log::info!(
        service = &**service,
        server = &*order.instance.id,
        grant = grant,
        first = order.range.first.get(),
        last = order.range.last.get(),
        token = order.token,
        outcome = outcome.code();
        "[orders] An order has ended."
    );
}

/// The first table of a service whose set of servers is stable.
fn initial_table(
    term: &mut PlannerTerm,
    now: LocalTime,
    name: &Arc<str>,
    ready: &[Arc<ServerEntry>],
) -> Option<(Arc<str>, u64, AssignmentTable)> {
    if ready.is_empty() {
        return None;
    }
    let settled =
        term.unsettled.entry(Arc::clone(name)).or_insert((ready.len(), now));
    if settled.0 != ready.len() {
        *settled = (ready.len(), now);
    }
    if now.since(settled.1) < SETTLE_TIME || term.creating.contains(name) {
        return None;
    }
    let mut instances: Vec<ServerInstance> =
        ready.iter().map(|entry| instance_of(entry)).collect();
    instances.sort_by(|a, b| a.id.cmp(&b.id));
    let servers = u32::try_from(instances.len()).unwrap_or(u32::MAX);
    let stripes =
        (INITIAL_RANGES / servers.max(1)).clamp(1, MAX_INITIAL_STRIPES);
    let table = AssignmentTable::striped(&instances, stripes)?;
    log::info!("[control] The first table of {name} is being committed.");
    term.creating.insert(Arc::clone(name));
    Some((Arc::clone(name), 0, table))
}

/// Reads the tables, and retries until the store responds.
async fn read_back(
    store: Arc<StoreClient>,
    service: Arc<str>,
    control: Address<ControlActor>,
) {
    /// The delay after a failed read.
    const RETRY_DELAY: std::time::Duration =
        std::time::Duration::from_millis(300);
    while control.is_connected() {
        if let Ok(page) = store.read_all(TABLE_PREFIX).await {
            // Sending fails only when the process stops.
            let _gone = control.send(ReadBack { service, page }).await;
            return;
        }
        tokio::time::sleep(RETRY_DELAY).await;
    }
}

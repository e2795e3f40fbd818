//! The state that the traffic thread keeps between requests.

use std::{
    cell::{Cell, RefCell},
    rc::Rc,
    sync::Arc,
};

use goldcrestramp_adapter::{
    AllowedRegions, NodeSettings, RequestRoute, ServerEntry,
};
use goldcrestramp_assignment::ServerInstance;
use goldcrestramp_decisions::{
    AttemptBudget, BudgetSettings, ReachEvent, ResponseTimes, RetryClass,
    ServerLimit, ServerProximity, WeightedRoundRobin, server_share,
};
use goldcrestramp_types::{
    ClockSource, FastMap, LocalTime, MonotonicClock, TimeSpan,
};
use tokio::sync::watch;

use crate::{
    control::{
        ControlActivity, FreshnessClock, LoadRecorder, PermitMailbox,
        RetryOffers, RetryRecorder, ShareBoard, WantedRetries,
    },
    crashes::CrashBoard,
    metrics::EntryMetrics,
    notices::NoticeBoard,
    reach::ReachTracker,
    run::StopPhase,
    shared::SharedState,
    traffic::{
        bulk::{BulkRegion, BulkRegions},
        cold::FleetMembers,
        crash::SuspectSet,
        in_flight::RequestBoard,
        memory::MemoryAccount,
        relay_vms::RelayVms,
        request::{RoutedRequest, retry_class},
        retry::{RetryBoards, ServiceRetries},
        server::{RequestQueue, ServerConnection, ServerState},
        subset::SubsetCache,
    },
    view::FleetView,
};

/// The state of one service.
#[derive(Debug)]
pub(crate) struct ServiceState {
    pub(crate) queue: Rc<RefCell<RequestQueue>>,
    pub(crate) budget: RefCell<AttemptBudget>,
    /// Who gets the retries; `None` without load control.
    pub(crate) retries: Option<ServiceRetries>,
    /// The typical response times of all servers.
    pub(crate) times: RefCell<ResponseTimes>,
    /// Moving averages of the bytes that a request transfers: of requests that
    /// are no downloads, and of downloads.
    pub(crate) bytes: [Cell<u64>; 2],
}

impl ServiceState {
    /// Counts a request on this route for the retry budget.
    pub(crate) fn record_request(&self, now: LocalTime, route: &RequestRoute) {
        self.budget.borrow_mut().record_request(now);
        if let Some(retries) = &self.retries {
            retries.record_request(now, retry_class(route));
        }
    }

    /// The class of a request that asks for a retry.
    pub(crate) fn retry_class(
        &self,
        now: LocalTime,
        request: &RoutedRequest,
    ) -> RetryClass {
        let times = self.times.borrow();
        let typical = times.typical_for(&request.route.name);
        request.retry_class(now, typical.unwrap_or_default())
    }
}

/// The regions in which a request may be served.
#[derive(Clone, Copy, Debug)]
pub(crate) struct RegionFilter<'a> {
    settings: &'a NodeSettings,
    /// The regions of its route when the request was read.
    read: &'a AllowedRegions,
    /// The regions of its route now, if the route still exists.
    newest: Option<&'a AllowedRegions>,
}

impl RegionFilter<'_> {
    /// The regions that both versions of the route allow.
    pub(crate) fn intersection(self) -> AllowedRegions {
        let newest = self.newest.cloned().unwrap_or_default();
        self.read.intersection(&newest)
    }

    /// Whether the request may be served in a failure domain.
    pub(crate) fn allows(self, domain: &str) -> bool {
        let all = self.newest.into_iter().chain([self.read]);
        let mut restricted = all.filter(|regions| regions.is_restricted());
        restricted.all(|regions| {
            let region = self.settings.region_of(domain);
            regions.allows(region.map(|region| &**region))
        })
    }
}

/// The state of the traffic thread.
#[derive(Debug)]
pub(crate) struct TrafficState {
    pub(crate) settings: Arc<NodeSettings>,
    pub(crate) loads: LoadRecorder,
    pub(crate) shares: ShareBoard,
    pub(crate) retries: RetryRecorder,
    pub(crate) permits: PermitMailbox,
    pub(crate) metrics: Arc<EntryMetrics>,
    pub(crate) clock: FreshnessClock,
    pub(crate) notices: NoticeBoard,
    pub(crate) crashes: CrashBoard,
    /// The suspect requests that are at work at a server.
    pub(super) suspects: SuspectSet,
    pub(crate) reach: ReachTracker,
    /// The downloads from other regions.
    pub(super) bulk: BulkRegions,
    /// Whether the control thread is busy.
    pub(super) activity: ControlActivity,
    /// The bytes that are held for callers and servers.
    pub(super) memory: MemoryAccount,
    /// The requests that are due a response.
    pub(super) due: Rc<RequestBoard>,
    views: watch::Receiver<Arc<FleetView>>,
    phase: watch::Receiver<StopPhase>,
    pub(super) servers: RefCell<FastMap<ServerInstance, Rc<ServerState>>>,
    services: RefCell<FastMap<Arc<str>, Rc<ServiceState>>>,
    round_robins: RefCell<FastMap<Arc<str>, WeightedRoundRobin>>,
    arrivals: Cell<u64>,
    pub(super) started: LocalTime,
    /// The servers that this VM sends to; cleared with each view.
    pub(super) subsets: RefCell<SubsetCache>,
    /// The VMs that are known, for the choice of senders to cold servers.
    pub(super) members: RefCell<FleetMembers>,
    /// The VMs that requests can be passed to.
    pub(super) relays: RefCell<RelayVms>,
    /// Since when each token of a table has been known, by service.
    tokens: RefCell<FastMap<Arc<str>, FastMap<u64, LocalTime>>>,
}

impl TrafficState {
    pub(crate) fn open(
        settings: Arc<NodeSettings>,
        views: watch::Receiver<Arc<FleetView>>,
        phase: watch::Receiver<StopPhase>,
        shared: SharedState,
    ) -> Self {
        let bulk = BulkRegions::open(&settings, &shared.metrics);
        Self {
            memory: MemoryAccount::open(&settings, &shared.metrics),
            settings,
            bulk,
            loads: shared.loads,
            shares: shared.shares,
            retries: shared.retries,
            permits: shared.permits,
            metrics: shared.metrics,
            clock: shared.clock,
            notices: shared.notices,
            crashes: shared.crashes,
            suspects: SuspectSet::default(),
            reach: shared.reach,
            activity: shared.activity,
            due: Rc::default(),
            views,
            phase,
            servers: RefCell::default(),
            services: RefCell::default(),
            round_robins: RefCell::default(),
            arrivals: Cell::new(0),
            started: MonotonicClock.now(),
            members: RefCell::default(),
            relays: RefCell::default(),
            subsets: RefCell::default(),
            tokens: RefCell::default(),
        }
    }

    /// The current view of the fleet.
    pub(crate) fn view(&self) -> Arc<FleetView> {
        Arc::clone(&self.views.borrow())
    }

    /// A receiver that is notified when the view changes.
    pub(crate) fn watch_views(&self) -> watch::Receiver<Arc<FleetView>> {
        self.views.clone()
    }

    /// Whether this VM is not draining; a draining VM cuts no attempt short.
    pub(crate) fn is_serving(&self) -> bool {
        *self.phase.borrow() == StopPhase::Serving
    }

    /// Waits until this VM's grace period ends.
    pub(crate) async fn wait_expired(&self) {
        let mut phase = self.phase.clone();
        let expired = phase.wait_for(|phase| *phase == StopPhase::Expired);
        if expired.await.is_err() {
            // The process exits without a stop phase.
            std::future::pending::<()>().await;
        }
    }

    /// Applies a new view and wakes all queued requests.
    pub(crate) fn apply_view(&self, view: &FleetView) {
        let now = MonotonicClock.now();
        self.record_tokens(now, view);
        self.subsets.borrow_mut().clear();
        self.members.borrow_mut().record(now, view);
        self.relays.borrow_mut().retain_listed(now, view);
        self.remove_unlisted_servers(view);
        self.notices.retain(now, view);
        self.crashes.apply_view(now, view);
        self.wake_queued();
    }

    /// Wakes all queued requests.
    pub(super) fn wake_queued(&self) {
        for service in self.services.borrow().values() {
            wake_all(&service.queue);
        }
        for server in self.servers.borrow().values() {
            wake_all(&server.queue);
        }
    }

    /// Records what happened on the way to a request's server.
    pub(crate) fn record_reach(
        &self,
        request: &RoutedRequest,
        server: &ServerState,
        event: ReachEvent,
    ) {
        let server = &server.instance.id;
        self.reach.record(&request.service, server, event, &self.views);
    }

    /// Applies the begin or the end of a partition: what failed over the lost
    /// links says nothing about the servers.
    pub(crate) fn apply_reach(&self) {
        let now = MonotonicClock.now();
        let view = self.view();
        let restored = self.reach.take_restored();
        for (instance, server) in &*self.servers.borrow() {
            let entry = view.servers.get(&instance.id);
            if entry.is_some_and(|entry| restored.contains(&entry.service)) {
                server.links_restored(now);
            }
        }
        self.wake_queued();
    }

    /// Since when the range with this token has been known.
    pub(crate) fn token_since(
        &self,
        service: &str,
        token: u64,
    ) -> Option<LocalTime> {
        self.tokens.borrow().get(service)?.get(&token).copied()
    }

    fn record_tokens(&self, now: LocalTime, view: &FleetView) {
        let mut tokens_by_service = self.tokens.borrow_mut();
        for (service, table) in &view.tables {
            let known =
                tokens_by_service.entry(Arc::clone(service)).or_default();
            let mut updated = FastMap::default();
            for range in table.ranges() {
                let since = known.get(&range.token).copied();
                updated.insert(range.token, since.unwrap_or(now));
            }
            *known = updated;
        }
    }

    /// Drops the state of servers that are removed and have nothing in flight.
    fn remove_unlisted_servers(&self, view: &FleetView) {
        let is_owner = |instance: &ServerInstance| {
            view.owners().any(|owner| owner == instance)
        };
        self.servers.borrow_mut().retain(|instance, server| {
            server.in_flight() > 0
                || view.servers.contains_key(&instance.id)
                || is_owner(instance)
        });
    }

    /// The number of attempts that are in flight at servers.
    pub(super) fn attempts_in_flight(&self) -> usize {
        let servers = self.servers.borrow();
        servers.values().map(|server| server.in_flight()).sum()
    }

    /// The state of a server instance, created if it is new.
    pub(crate) fn server(
        &self,
        now: LocalTime,
        instance: &ServerInstance,
        entry: Option<&ServerEntry>,
        sharers: usize,
    ) -> Rc<ServerState> {
        let slots = entry.map_or(1, |entry| entry.slots as usize);
        let share = server_share(slots, sharers);
        let mut servers = self.servers.borrow_mut();
        let server = servers.entry(instance.clone()).or_insert_with(|| {
            let max_in_flight = server_share(slots, 1);
            let warm =
                entry.is_some_and(|e| e.warmup_remaining == TimeSpan::ZERO);
            let limit = if warm {
                ServerLimit::warm(now, max_in_flight)
            } else {
                ServerLimit::open(now, max_in_flight)
            };
            let instance = instance.clone();
            Rc::new(ServerState::open(instance, limit, max_in_flight))
        });
        server.share.set(share);
        Rc::clone(server)
    }

    /// The state of a service, created if it is new.
    pub(crate) fn service(&self, name: &Arc<str>) -> Rc<ServiceState> {
        let mut services = self.services.borrow_mut();
        let service = services.entry(Arc::clone(name)).or_insert_with(|| {
            let settings = &self.settings;
            #[expect(
                clippy::cast_possible_truncation,
                clippy::cast_sign_loss,
                reason = "a ratio of a few tenths"
            )]
            let per_mille = (settings.retry_ratio * 1_000.0) as u64;
            let budget = AttemptBudget::new(BudgetSettings {
                window: settings.retry_window,
                per_mille,
                constant: u64::from(settings.retry_constant),
            });
            let retries = settings.load_control.then(|| {
                let boards = RetryBoards {
                    recorder: self.retries.clone(),
                    shares: self.shares.clone(),
                    metrics: Arc::clone(&self.metrics),
                };
                let window = settings.retry_window;
                ServiceRetries::open(Arc::clone(name), window, boards)
            });
            Rc::new(ServiceState {
                retries,
                queue: Rc::default(),
                budget: RefCell::new(budget.with_start(self.started)),
                times: RefCell::default(),
                bytes: Default::default(),
            })
        });
        Rc::clone(service)
    }

    /// Gives up retries that the planning VM asks for, as far as this VM does
    /// not need them. They are in its next report.
    pub(super) fn offer_retries(&self, wanted: &WantedRetries) {
        let now = MonotonicClock.now();
        let view = self.view();
        let is_known = |name: &str| view.ready.contains_key(name);
        let mut thousandths = FastMap::default();
        for (name, wanted) in &wanted.thousandths {
            if is_known(name) {
                let service = self.service(name);
                let mut budget = service.budget.borrow_mut();
                let offered = budget.offer(now, view.vms.len(), *wanted);
                thousandths.insert(Arc::clone(name), offered);
            }
        }
        let ticket = wanted.ticket;
        self.retries.store_offers(RetryOffers { ticket, thousandths });
    }

    /// The index of the target for a route's next request.
    pub(crate) fn next_target(
        &self,
        route: &Arc<str>,
        weights: &[u32],
    ) -> Option<usize> {
        let mut round_robins = self.round_robins.borrow_mut();
        round_robins.entry(Arc::clone(route)).or_default().next(weights)
    }

    /// The sequence number of a request in the order of arrival.
    pub(crate) fn next_sequence(&self) -> u64 {
        self.arrivals.set(self.arrivals.get() + 1);
        self.arrivals.get()
    }

    /// The regions in which a request of this route may be served.
    ///
    /// They may have changed since the request was read; then only those that
    /// both versions allow are left.
    pub(crate) fn region_filter<'a>(
        &'a self,
        view: &'a FleetView,
        route: &'a RequestRoute,
    ) -> RegionFilter<'a> {
        let routes = view.routes.as_ref();
        let newest = routes.and_then(|routes| routes.route(&route.name));
        RegionFilter {
            settings: &self.settings,
            read: &route.allowed_regions,
            newest: newest.map(|newest| &newest.allowed_regions),
        }
    }

    /// The region of a server, if downloads from there are limited.
    pub(super) fn bulk_region(
        &self,
        server: &ServerState,
    ) -> Option<Rc<BulkRegion>> {
        if self.bulk.is_empty() {
            return None;
        }
        let view = self.view();
        let entry = view.servers.get(&server.instance.id)?;
        self.bulk.of_domain(&entry.domain).cloned()
    }

    /// Keeps a connection to a server for further requests, unless memory is
    /// scarce.
    pub(super) fn keep_connection(
        &self,
        server: &ServerState,
        connection: ServerConnection,
        stated: Option<TimeSpan>,
    ) {
        if !self.memory.is_acting() {
            server.put_idle(connection, stated);
        }
    }

    /// Closes the idle connections to servers if memory is scarce.
    pub(super) fn close_idle_if_scarce(&self) {
        if self.memory.is_acting() {
            for server in self.servers.borrow().values() {
                server.close_idle();
            }
        }
    }

    /// The limit of requests in flight at a server: with load control, no more
    /// than there are if the bytes of this one can't be added.
    pub(super) fn limit_bytes(
        &self,
        server: &ServerState,
        request: &RoutedRequest,
        limit: usize,
    ) -> usize {
        let in_flight = server.request_bytes.get();
        let bytes = request.body.borrow().size();
        let fits = !self.settings.load_control
            || self.memory.allows_send(in_flight, bytes);
        if fits { limit } else { limit.min(server.in_flight()) }
    }

    /// The proximity of a server to this VM.
    pub(crate) fn proximity_to(&self, entry: &ServerEntry) -> ServerProximity {
        self.proximity_of(&entry.domain)
    }

    /// The proximity of a failure domain to this VM.
    pub(crate) fn proximity_of(&self, domain: &str) -> ServerProximity {
        let settings = &self.settings;
        if *domain == *settings.domain {
            return ServerProximity::SameDomain;
        }
        let own = settings.region_of(&settings.domain);
        if own.is_some() && settings.region_of(domain) == own {
            return ServerProximity::SameRegion;
        }
        ServerProximity::Remote
    }
}

fn wake_all(queue: &RefCell<RequestQueue>) {
    let woken: Vec<_> = queue.borrow_mut().wake_all().collect();
    for waker in woken {
        // The receiver is closed if the request's caller has disconnected.
        let _left = waker.send(());
    }
}

/// The shorter of two spans.
pub(crate) const fn shorter(a: TimeSpan, b: TimeSpan) -> TimeSpan {
    if a.as_micros() < b.as_micros() { a } else { b }
}

//! What the traffic thread keeps between requests.

use std::{
    cell::{Cell, RefCell},
    rc::Rc,
    sync::Arc,
};

use goldcrestramp_adapter::{NodeSettings, ServerEntry};
use goldcrestramp_assignment::ServerInstance;
use goldcrestramp_decisions::{
    AttemptBudget, BudgetSettings, ResponseTimes, ServerLimit,
    ServerProximity, WeightedRoundRobin, server_share,
};
use goldcrestramp_types::{
    ClockSource, FastMap, LocalTime, MonotonicClock, TimeSpan,
};
use tokio::sync::watch;

use crate::{
    control::{FreshnessClock, LoadRecorder, PermitMailbox},
    metrics::EntryMetrics,
    run::StopPhase,
    shared::SharedState,
    traffic::server::{RequestQueue, ServerState},
    view::FleetView,
};

/// What is kept of one service.
#[derive(Debug)]
pub(crate) struct ServiceState {
    pub(crate) queue: Rc<RefCell<RequestQueue>>,
    pub(crate) budget: RefCell<AttemptBudget>,
    /// The usual times of all servers' answers.
    pub(crate) times: RefCell<ResponseTimes>,
    /// The usual bytes of an answer, of downloads and of others.
    pub(crate) bytes: [Cell<u64>; 2],
}

/// The state of the traffic thread.
#[derive(Debug)]
pub(crate) struct TrafficState {
    pub(crate) settings: Arc<NodeSettings>,
    pub(crate) loads: LoadRecorder,
    pub(crate) permits: PermitMailbox,
    pub(crate) metrics: Arc<EntryMetrics>,
    pub(crate) clock: FreshnessClock,
    views: watch::Receiver<Arc<FleetView>>,
    phase: watch::Receiver<StopPhase>,
    pub(super) servers: RefCell<FastMap<ServerInstance, Rc<ServerState>>>,
    services: RefCell<FastMap<Arc<str>, Rc<ServiceState>>>,
    robins: RefCell<FastMap<Arc<str>, WeightedRoundRobin>>,
    arrivals: Cell<u64>,
    started: LocalTime,
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
        Self {
            settings,
            loads: shared.loads,
            permits: shared.permits,
            metrics: shared.metrics,
            clock: shared.clock,
            views,
            phase,
            servers: RefCell::default(),
            services: RefCell::default(),
            robins: RefCell::default(),
            arrivals: Cell::new(0),
            started: MonotonicClock.now(),
            tokens: RefCell::default(),
        }
    }

    /// The fleet as it is known now.
    pub(crate) fn view(&self) -> Arc<FleetView> {
        Arc::clone(&self.views.borrow())
    }

    /// Tells when the fleet has changed.
    pub(crate) fn watch_views(&self) -> watch::Receiver<Arc<FleetView>> {
        self.views.clone()
    }

    /// Whether this VM goes on; one that leaves cuts no work short.
    pub(crate) fn stays(&self) -> bool {
        *self.phase.borrow() == StopPhase::Serving
    }

    /// Takes a new view, and wakes whoever waits.
    pub(crate) fn take_view(&self, view: &FleetView) {
        let now = MonotonicClock.now();
        self.note_tokens(now, view);
        self.forget_servers(view);
        for service in self.services.borrow().values() {
            wake_all(&service.queue);
        }
        for server in self.servers.borrow().values() {
            wake_all(&server.queue);
        }
    }

    /// Since when the run with this token has been known.
    pub(crate) fn token_since(
        &self,
        service: &str,
        token: u64,
    ) -> Option<LocalTime> {
        self.tokens.borrow().get(service)?.get(&token).copied()
    }

    fn note_tokens(&self, now: LocalTime, view: &FleetView) {
        let mut all = self.tokens.borrow_mut();
        for (service, table) in &view.tables {
            let known = all.entry(Arc::clone(service)).or_default();
            let mut kept = FastMap::default();
            for run in table.ranges() {
                let since = known.get(&run.token).copied();
                kept.insert(run.token, since.unwrap_or(now));
            }
            *known = kept;
        }
    }

    /// Leaves out servers that are gone and have nothing under way.
    fn forget_servers(&self, view: &FleetView) {
        let held = |instance: &ServerInstance| {
            let mut tables = view.tables.values();
            tables.any(|table| {
                let mut instances = table.instances();
                instances.any(|(_key, holder)| holder == instance)
            })
        };
        self.servers.borrow_mut().retain(|instance, server| {
            server.in_flight() > 0
                || view.servers.contains_key(&instance.id)
                || held(instance)
        });
    }

    /// The state of a server's run.
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
            let most = server_share(slots, 1);
            let warm =
                entry.is_some_and(|e| e.warmup_remaining == TimeSpan::ZERO);
            let limit = if warm {
                ServerLimit::warm(now, most)
            } else {
                ServerLimit::open(now, most)
            };
            Rc::new(ServerState::open(instance.clone(), limit, most))
        });
        server.share.set(share);
        Rc::clone(server)
    }

    /// The state of a service.
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
            Rc::new(ServiceState {
                queue: Rc::default(),
                budget: RefCell::new(budget.with_start(self.started)),
                times: RefCell::default(),
                bytes: Default::default(),
            })
        });
        Rc::clone(service)
    }

    /// The position of the target of a route's next request.
    pub(crate) fn next_target(
        &self,
        route: &Arc<str>,
        weights: &[u32],
    ) -> Option<usize> {
        let mut robins = self.robins.borrow_mut();
        robins.entry(Arc::clone(route)).or_default().next(weights)
    }

    /// The number of a request in the order of arrival.
    pub(crate) fn next_turn(&self) -> u64 {
        self.arrivals.set(self.arrivals.get() + 1);
        self.arrivals.get()
    }

    /// How far a server is.
    pub(crate) fn proximity_to(&self, entry: &ServerEntry) -> ServerProximity {
        let settings = &self.settings;
        if entry.domain == settings.domain {
            return ServerProximity::SameDomain;
        }
        let own = settings.region_of(&settings.domain);
        if own.is_some() && settings.region_of(&entry.domain) == own {
            return ServerProximity::SameRegion;
        }
        ServerProximity::Remote
    }
}

fn wake_all(queue: &RefCell<RequestQueue>) {
    let woken: Vec<_> = queue.borrow_mut().wake_all().collect();
    for waker in woken {
        // One that has left the queue has gone with its caller.
        let _left = waker.send(());
    }
}

/// The least of two spans.
pub(crate) const fn least(a: TimeSpan, b: TimeSpan) -> TimeSpan {
    if a.as_micros() < b.as_micros() { a } else { b }
}

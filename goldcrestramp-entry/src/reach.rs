//! Whether this VM reaches the servers of each service.
//!
//! Both threads report what happens on their connections to servers. When
//! that calls for probes, they are sent here, and repeated until one of them
//! opens a connection. While load control is on, a probe may take as long as a
//! connection takes on a full link.

use std::{
    net::SocketAddr,
    sync::{
        Arc, Mutex, MutexGuard, PoisonError,
        atomic::{AtomicUsize, Ordering},
    },
    time::Duration,
};

use goldcrestramp_decisions::{ReachEvent, ReachMonitor, ReachRule};
use goldcrestramp_types::{ClockSource, FastMap, LocalTime, MonotonicClock};
use prometheus_client::metrics::counter::Counter;
use rand::seq::IndexedRandom;
use tokio::{
    sync::watch,
    task::JoinSet,
    time::{sleep, timeout},
};

use crate::{http::can_connect, view::FleetView};

/// The number of servers that are probed at once.
const PROBED_SERVERS: usize = 4;

/// How long a round of probes lasts, and the timeout of a probe while load
/// control is off: several round trips between regions.
const ROUND_TIME: Duration = Duration::from_millis(250);

/// The timeout of a probe while load control is on. On a full link a
/// connection takes over a second. At most 24 probes of a service are open at
/// a time.
const SLOW_PROBE_TIMEOUT: Duration = Duration::from_millis(1_500);

/// The delay between two rounds of probes while this VM is partitioned.
const REPROBE_DELAY: Duration = Duration::from_millis(300);

/// The views of the fleet, which name the servers to probe.
type FleetViews = watch::Receiver<Arc<FleetView>>;

#[derive(Debug)]
struct ReachState {
    services: Mutex<FastMap<Arc<str>, ReachMonitor<Arc<str>>>>,
    /// The number of services from whose servers this VM is partitioned.
    partitions: AtomicUsize,
    /// The services whose servers are reached again, until they are taken.
    restored: Mutex<Vec<Arc<str>>>,
    changes: watch::Sender<()>,
    /// When this VM counts as partitioned.
    rule: ReachRule,
    /// The rounds of probes that failed while responses arrived.
    slow_rounds: Counter,
}

/// The reach of this VM towards the servers; a clone refers to the same state.
#[derive(Clone, Debug)]
pub struct ReachTracker(Arc<ReachState>);

impl Default for ReachTracker {
    fn default() -> Self {
        Self::open(ReachRule::default(), Counter::default())
    }
}

impl ReachTracker {
    /// A tracker with this rule; it counts the rounds of probes that failed
    /// while responses arrived.
    #[must_use]
    pub fn open(rule: ReachRule, slow_rounds: Counter) -> Self {
        Self(Arc::new(ReachState {
            services: Mutex::default(),
            partitions: AtomicUsize::new(0),
            restored: Mutex::default(),
            changes: watch::channel(()).0,
            rule,
            slow_rounds,
        }))
    }

    /// When this VM counts as partitioned.
    pub(crate) fn rule(&self) -> ReachRule {
        self.0.rule
    }

    fn new_monitor(&self) -> ReachMonitor<Arc<str>> {
        ReachMonitor::with_rule(self.0.rule)
    }

    /// Records what happened on the way to a server, and probes the service's
    /// servers if this VM may be partitioned from them.
    pub(crate) fn record(
        &self,
        service: &Arc<str>,
        server: &Arc<str>,
        event: ReachEvent,
        views: &FleetViews,
    ) {
        let now = MonotonicClock.now();
        let servers = server_count(&views.borrow(), service);
        let probes = {
            let mut services = self.lock();
            let monitor = services
                .entry(Arc::clone(service))
                .or_insert_with(|| self.new_monitor());
            monitor.record(now, Arc::clone(server), event);
            monitor.try_probe(now, servers)
        };
        if probes {
            self.spawn_probes(service, views);
        }
    }

    /// Whether this VM is partitioned from the servers of a service.
    #[must_use]
    pub fn is_partitioned(&self, service: &str) -> bool {
        self.partitions() > 0 && self.partitioned_since(service).is_some()
    }

    /// Since when this VM has been partitioned from the servers of a service,
    /// if it is.
    #[must_use]
    pub fn partitioned_since(&self, service: &str) -> Option<LocalTime> {
        self.lock().get(service)?.partitioned_since()
    }

    /// The number of services from whose servers this VM is partitioned.
    #[must_use]
    pub fn partitions(&self) -> usize {
        self.0.partitions.load(Ordering::Relaxed)
    }

    /// A receiver that is notified when a partition begins or ends.
    #[must_use]
    pub fn changes(&self) -> watch::Receiver<()> {
        self.0.changes.subscribe()
    }

    /// Takes the services whose partition has ended since the last call.
    #[must_use]
    pub fn take_restored(&self) -> Vec<Arc<str>> {
        std::mem::take(&mut *self.restored())
    }

    fn restored(&self) -> MutexGuard<'_, Vec<Arc<str>>> {
        // The list remains valid if a thread panicked while it held the lock.
        self.0.restored.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn spawn_probes(&self, service: &Arc<str>, views: &FleetViews) {
        let tracker = self.clone();
        let (service, views) = (Arc::clone(service), views.clone());
        tokio::spawn(async move { tracker.probe(service, views).await });
    }

    /// Probes servers until one accepts a connection.
    async fn probe(self, service: Arc<str>, views: FleetViews) {
        let mut probes = JoinSet::new();
        let mut is_slow = false;
        loop {
            let addresses = probe_addresses(&views.borrow(), &service);
            self.begin_round(&service);
            // A service that has no servers any more is not out of reach.
            let reached = addresses.is_empty()
                || self.any_accepts(&mut probes, addresses).await;
            if self.record_probes(&service, reached) && !reached {
                self.probe_other_services(&service, &views);
            }
            if reached {
                return;
            }
            if self.is_partitioned(&service) {
                sleep(REPROBE_DELAY).await;
            } else {
                self.0.slow_rounds.inc();
                if !is_slow {
                    is_slow = true;
                    log::info!(
                        "[reach] No probe of {service} got a connection in \
                         time; responses still arrive."
                    );
                }
            }
        }
    }

    /// Whether a probe of this round, or one of an earlier round that is still
    /// open, gets a connection within [`ROUND_TIME`].
    async fn any_accepts(
        &self,
        probes: &mut JoinSet<bool>,
        addresses: Vec<SocketAddr>,
    ) -> bool {
        let limit = match self.0.rule {
            ReachRule::Probes => ROUND_TIME,
            ReachRule::ProbesAndResponses => SLOW_PROBE_TIMEOUT,
        };
        for address in addresses {
            probes.spawn(can_connect(address, limit));
        }
        let accepted = async {
            while let Some(accepted) = probes.join_next().await {
                if accepted.unwrap_or(false) {
                    return true;
                }
            }
            false
        };
        timeout(ROUND_TIME, accepted).await.unwrap_or(false)
    }

    /// Records that a round of probes begins.
    fn begin_round(&self, service: &str) {
        let now = MonotonicClock.now();
        if let Some(monitor) = self.lock().get_mut(service) {
            monitor.begin_round(now);
        }
    }

    /// Records the result of a round of probes; returns whether a partition
    /// has begun or ended.
    fn record_probes(&self, service: &Arc<str>, reached: bool) -> bool {
        let now = MonotonicClock.now();
        let changed = {
            let mut services = self.lock();
            let Some(monitor) = services.get_mut(service) else {
                return false;
            };
            let changed = monitor.record_probes(now, reached);
            let monitors = services.values();
            let partitions = monitors
                .filter(|monitor| monitor.partitioned_since().is_some())
                .count();
            self.0.partitions.store(partitions, Ordering::Relaxed);
            changed
        };
        if changed {
            if reached {
                log::info!("[reach] Servers of {service} are reached again.");
                self.restored().push(Arc::clone(service));
            } else {
                log::warn!("[reach] No server of {service} can be reached.");
            }
            self.0.changes.send_replace(());
        }
        changed
    }

    /// Probes the servers of the other services: most often a VM loses its
    /// links to all of them.
    fn probe_other_services(&self, service: &str, views: &FleetViews) {
        let now = MonotonicClock.now();
        let view = Arc::clone(&views.borrow());
        let others = view.ready.keys().filter(|name| ***name != *service);
        for name in others.filter(|name| server_count(&view, name) >= 2) {
            let begins = {
                let mut services = self.lock();
                let monitor = services
                    .entry(Arc::clone(name))
                    .or_insert_with(|| self.new_monitor());
                monitor.begin_probe(now)
            };
            if begins {
                self.spawn_probes(name, views);
            }
        }
    }

    fn lock(
        &self,
    ) -> MutexGuard<'_, FastMap<Arc<str>, ReachMonitor<Arc<str>>>> {
        // The monitors remain valid if a thread panicked while it held the
        // lock.
        self.0.services.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

fn server_count(view: &FleetView, service: &str) -> usize {
    view.ready.get(service).map_or(0, Vec::len)
}

/// The addresses of some servers of a service, drawn at random.
fn probe_addresses(view: &FleetView, service: &str) -> Vec<SocketAddr> {
    let ready = view.ready.get(service).map_or(&[][..], Vec::as_slice);
    let drawn = ready.choose_multiple(&mut rand::rng(), PROBED_SERVERS);
    drawn.map(|entry| entry.address).collect()
}

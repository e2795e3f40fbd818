//! The state that all parts of one daemon share.

use std::sync::{
    Arc,
    atomic::{AtomicBool, AtomicUsize, Ordering},
};

use arc_swap::{ArcSwap, ArcSwapOption};
use goldcrestramp_config::NodeSettings;
use goldcrestramp_platform::VmEntry;
use goldcrestramp_types::{
    CallerName, ClockSource, DomainName, FastMap, FastSet, LocalTime,
    MonotonicClock, ServiceName, VmName,
};
use tokio::sync::watch;

use crate::{
    faults::NodeFaults, keeper::KeeperView, load::ServerLoads,
    metrics::NodeMetrics, peer_tls::PeerTls, routing::RoutingTable,
    running::RunningWork,
};

/// The weights that the configuration gives to callers.
pub(crate) type CallerWeights = FastMap<CallerName, u32>;

/// The shared state of one daemon: settings, snapshots and counters.
#[derive(Debug)]
pub struct NodeContext {
    /// The settings that the daemon was started with.
    pub settings: NodeSettings,
    /// A random number that identifies this start of the process.
    pub start: u64,
    /// The daemon's metrics.
    pub metrics: NodeMetrics,
    /// Faults that the demo and the tests switch on.
    pub faults: Arc<NodeFaults>,
    /// Where the requests of each slice are sent. It may be out of date: a
    /// keeper that does not keep the owner redirects.
    pub(crate) table: ArcSwap<RoutingTable>,
    /// The platform's list of VMs, as of the last read.
    pub(crate) vms: ArcSwap<Vec<VmEntry>>,
    /// The services of the configuration, or `None` before it is known.
    pub(crate) services: ArcSwapOption<FastSet<ServiceName>>,
    /// Notified whenever `table` is replaced.
    pub(crate) table_changed: watch::Sender<u64>,
    /// Which requests this VM may send to which server.
    pub(crate) view: ArcSwap<KeeperView>,
    /// Non-idempotent requests of this VM that are in flight, by slice.
    pub(crate) running: RunningWork,
    /// Slot time used at the servers whose keeper this VM is.
    pub(crate) loads: ServerLoads,
    /// The weights of callers in fair queuing: 1 for a caller that is missing
    /// here.
    pub(crate) weights: ArcSwap<CallerWeights>,
    /// The keys for TLS between peers, or `None` for plain TCP on loopback.
    pub(crate) tls: Option<Arc<PeerTls>>,
    leaving: AtomicBool,
    requests: AtomicUsize,
}

impl NodeContext {
    /// Creates the context of a daemon that has just started.
    #[must_use]
    pub fn new(settings: NodeSettings, faults: Arc<NodeFaults>) -> Self {
        Self {
            settings,
            start: rand::random(),
            metrics: NodeMetrics::default(),
            faults,
            table: ArcSwap::default(),
            vms: ArcSwap::default(),
            services: ArcSwapOption::empty(),
            table_changed: watch::Sender::new(0),
            view: ArcSwap::default(),
            running: RunningWork::default(),
            loads: ServerLoads::default(),
            weights: ArcSwap::default(),
            tls: None,
            leaving: AtomicBool::new(false),
            requests: AtomicUsize::new(0),
        }
    }

    /// Sets the keys for TLS between peers; `None` means plain TCP.
    #[must_use]
    pub fn with_tls(mut self, tls: Option<Arc<PeerTls>>) -> Self {
        self.tls = tls;
        self
    }

    /// Returns whether the configuration is known and lacks the service.
    ///
    /// A VM that has just started knows no configuration. If it reported
    /// every service as unknown, callers would not retry.
    pub(crate) fn lacks_service(&self, name: &ServiceName) -> bool {
        let services = self.services.load();
        services.as_ref().is_some_and(|known| !known.contains(name))
    }

    /// Returns whether this VM is ready for callers: the configuration is
    /// known and each of its services has a routing table.
    pub(crate) fn is_ready(&self) -> bool {
        let services = self.services.load();
        let table = self.table.load();
        services.as_ref().is_some_and(|known| {
            known.iter().all(|name| table.service(name).is_some())
        })
    }

    /// The current time of the monotonic clock.
    #[must_use]
    pub fn now(&self) -> LocalTime {
        MonotonicClock.now()
    }

    /// The name of this VM.
    #[must_use]
    pub const fn vm(&self) -> &VmName {
        &self.settings.vm
    }

    /// The failure domain of this VM.
    #[must_use]
    pub const fn domain(&self) -> &DomainName {
        &self.settings.domain
    }

    /// The address at which peers reach this VM's control listener.
    pub(crate) fn control_address(&self) -> Arc<str> {
        let settings = &self.settings;
        let address =
            settings.control_address.unwrap_or(settings.control_listen);
        Arc::from(address.to_string())
    }

    /// The address to which peers send this VM requests for keys.
    pub(crate) fn peers_address(&self) -> Arc<str> {
        let settings = &self.settings;
        let address = settings.peers_address.unwrap_or(settings.peers_listen);
        Arc::from(address.to_string())
    }

    /// Whether the daemon is being stopped.
    #[must_use]
    pub fn leaving(&self) -> bool {
        self.leaving.load(Ordering::Acquire)
    }

    /// Marks the daemon as being stopped.
    pub(crate) fn leave(&self) {
        self.leaving.store(true, Ordering::Release);
    }

    /// The number of requests in flight at this gateway and keeper.
    #[must_use]
    pub fn requests(&self) -> usize {
        self.requests.load(Ordering::Acquire)
    }

    /// Counts a request as in flight until the guard is dropped.
    pub(crate) fn request(self: &Arc<Self>) -> RequestGuard {
        self.requests.fetch_add(1, Ordering::AcqRel);
        RequestGuard { context: Arc::clone(self) }
    }
}

/// Counts one request as in flight until it is dropped.
#[derive(Debug)]
pub(crate) struct RequestGuard {
    context: Arc<NodeContext>,
}

impl Drop for RequestGuard {
    fn drop(&mut self) {
        self.context.requests.fetch_sub(1, Ordering::AcqRel);
    }
}

//! What the parts of one daemon share.

use std::sync::{
    Arc,
    atomic::{AtomicBool, AtomicUsize, Ordering},
};

use arc_swap::ArcSwap;
use goldcrestramp_config::NodeSettings;
use goldcrestramp_platform::VmEntry;
use goldcrestramp_types::{
    CallerName, ClockSource, DomainName, FastMap, LocalTime, MonotonicClock,
    VmName,
};
use tokio::sync::watch;

use crate::{
    faults::NodeFaults, keeper::KeeperView, load::ServerLoads,
    metrics::NodeMetrics, peer_tls::PeerTls, routing::RoutingTable,
    running::RunningWork,
};

/// The weights of callers that operators have named.
pub(crate) type CallerWeights = FastMap<CallerName, u32>;

/// The shared state of one daemon: settings, snapshots and counters.
#[derive(Debug)]
pub struct NodeContext {
    /// The settings it was started with.
    pub settings: NodeSettings,
    /// A random number of this process start.
    pub start: u64,
    /// Counters.
    pub metrics: NodeMetrics,
    /// Faults that the demo and the tests switch on.
    pub faults: Arc<NodeFaults>,
    /// Where each slice's requests go: a hint.
    pub(crate) table: ArcSwap<RoutingTable>,
    /// The platform's list of VMs, as last read.
    pub(crate) vms: ArcSwap<Vec<VmEntry>>,
    /// Told whenever `table` was replaced.
    pub(crate) table_changed: watch::Sender<u64>,
    /// What this VM may send to which server.
    pub(crate) view: ArcSwap<KeeperView>,
    /// Non-idempotent work that this VM has under way, by slice.
    pub(crate) running: RunningWork,
    /// Slot time used at the servers that this VM keeps.
    pub(crate) loads: ServerLoads,
    /// The weights of callers in fair shares; 1 for those not named.
    pub(crate) weights: ArcSwap<CallerWeights>,
    /// Keys for meeting peers; `None`: plain TCP on loopback.
    pub(crate) tls: Option<Arc<PeerTls>>,
    leaving: AtomicBool,
    requests: AtomicUsize,
}

impl NodeContext {
    /// The context of a daemon that has just started.
    #[must_use]
    pub fn new(settings: NodeSettings, faults: Arc<NodeFaults>) -> Self {
        Self {
            settings,
            start: rand::random(),
            metrics: NodeMetrics::default(),
            faults,
            table: ArcSwap::default(),
            vms: ArcSwap::default(),
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

    /// The same context, meeting peers by TLS with these keys.
    #[must_use]
    pub fn with_tls(mut self, tls: Option<Arc<PeerTls>>) -> Self {
        self.tls = tls;
        self
    }

    /// The present moment.
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

    /// Where peers reach this VM's control listener.
    pub(crate) fn control_address(&self) -> Arc<str> {
        let settings = &self.settings;
        let address =
            settings.control_address.unwrap_or(settings.control_listen);
        Arc::from(address.to_string())
    }

    /// Where peers send this VM requests for keys.
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

    /// Requests under way at this gateway and keeper.
    #[must_use]
    pub fn requests(&self) -> usize {
        self.requests.load(Ordering::Acquire)
    }

    /// Counts a request until the guard is dropped.
    pub(crate) fn request(self: &Arc<Self>) -> RequestGuard {
        self.requests.fetch_add(1, Ordering::AcqRel);
        RequestGuard { context: Arc::clone(self) }
    }
}

/// Counts one request as under way.
#[derive(Debug)]
pub(crate) struct RequestGuard {
    context: Arc<NodeContext>,
}

impl Drop for RequestGuard {
    fn drop(&mut self) {
        self.context.requests.fetch_sub(1, Ordering::AcqRel);
    }
}

//! Starts the parts of a VM and shuts them down without interrupting a
//! request.

use std::{
    fmt, io,
    net::{IpAddr, SocketAddr},
    path::Path,
    sync::Arc,
    thread,
    time::Duration,
};

use goldcrestramp_adapter::{NodeSettings, SettingsError};
use tokio::{
    net::{TcpListener, TcpSocket},
    runtime::{Builder, Runtime},
    signal::unix::{Signal, SignalKind, signal},
    sync::{oneshot, watch},
    task::LocalSet,
    time::{Instant, sleep_until, timeout_at},
};

use crate::{
    control::{ControlHandle, spawn_control},
    metrics::{METRICS_PORT, serve_metrics},
    ready::serve_ready,
    records::VmInstance,
    shared::SharedState,
    traffic::{TrafficHandle, TrafficListeners, spawn_traffic},
    view::FleetView,
};

/// The number of connections that may wait to be accepted, per listener.
const BACKLOG: u32 = 1_024;

/// The time after SIGTERM in which new connections are still accepted: the
/// balancer sends them until two of its readiness checks, which it makes
/// once a second, have failed.
const DRAIN_TIME: Duration = Duration::from_millis(2_700);

/// The process exits this long before the end of its grace period, when it
/// would be killed.
const GRACE_MARGIN: Duration = Duration::from_millis(300);

/// The time to deliver the last responses within that margin.
const LAST_RESPONSE_TIME: Duration = Duration::from_millis(150);

/// The phase of a process's shutdown, in order.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum StopPhase {
    /// It accepts connections and serves requests.
    Serving,
    /// It still accepts and serves, but asks callers to connect elsewhere.
    Draining,
    /// It accepts no new connection and closes each after its response.
    Closing,
    /// Its grace period ends: it responds to what it has read and waits for no
    /// server any more.
    Expired,
}

impl StopPhase {
    /// The stable code in logs.
    pub(crate) const fn code(self) -> &'static str {
        match self {
            Self::Serving => "serving",
            Self::Draining => "draining",
            Self::Closing => "closing",
            Self::Expired => "expired",
        }
    }
}

/// The reason why a VM could not be started.
#[derive(Debug)]
pub enum RunError {
    /// The settings file cannot be read.
    Unreadable(io::Error),
    /// The settings are invalid.
    Settings(SettingsError),
    /// A listener, a signal handler, a thread or the runtime failed to start.
    Start(io::Error),
}

impl fmt::Display for RunError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Unreadable(error) => write!(f, "settings file: {error}"),
            Self::Settings(error) => write!(f, "invalid settings: {error}"),
            Self::Start(error) => write!(f, "cannot start: {error}"),
        }
    }
}

impl std::error::Error for RunError {}

/// Reads and parses the settings file at `path`.
///
/// # Errors
///
/// A [`RunError`] if the file cannot be read or its settings are invalid.
pub fn read_settings(path: &Path) -> Result<NodeSettings, RunError> {
    let bytes = std::fs::read(path).map_err(RunError::Unreadable)?;
    NodeSettings::parse(&bytes).map_err(RunError::Settings)
}

/// Runs a VM with the settings at `path` until SIGTERM or SIGINT.
///
/// # Errors
///
/// A [`RunError`] if the VM cannot be started.
pub fn run(path: &Path) -> Result<(), RunError> {
    let runtime = runtime().map_err(RunError::Start)?;
    let signals = runtime.block_on(async { ProcessSignals::open() });
    let signals = signals.map_err(RunError::Start)?;
    let settings = Arc::new(read_settings(path)?);
    log::info!(
        "[start] VM {} in failure domain {} starts, version {}.",
        settings.vm,
        settings.domain,
        env!("CARGO_PKG_VERSION")
    );
    let (views, view) = watch::channel(Arc::<FleetView>::default());
    let (phases, phase) = watch::channel(StopPhase::Serving);
    let shared = SharedState::open(&settings);
    // Nothing says that this VM is ready before its listeners are open.
    let listeners = runtime.block_on(async { open_listeners(&settings) });
    let listeners = listeners.map_err(RunError::Start)?;
    let control = start_control(
        &settings,
        shared.clone(),
        views,
        view.clone(),
        phase.clone(),
    )?;
    let local = LocalSet::new();
    local.block_on(&runtime, async {
        let traffic = spawn_traffic(
            Arc::clone(&settings),
            listeners,
            view,
            phase,
            shared,
        );
        signals.wait_for_stop(path).await;
        shut_down(&settings, &control, &phases, &traffic).await;
        Ok(())
    })
}

/// Shuts the parts down in order. Requests that were read still get a
/// response, within the grace period.
async fn shut_down(
    settings: &NodeSettings,
    control: &ControlHandle,
    phases: &watch::Sender<StopPhase>,
    traffic: &TrafficHandle,
) {
    let start = Instant::now();
    let grace = settings.grace.to_std();
    let deadline = start + grace.saturating_sub(GRACE_MARGIN);
    let close_at = start + DRAIN_TIME.min(grace / 2);
    log::info!("[stop] Received SIGTERM or SIGINT; this VM drains.");
    begin_phase(phases, traffic, StopPhase::Draining);
    // The store may not respond. Without this timeout the close would be
    // delayed, and requests would be accepted that cannot complete within
    // the grace period.
    if timeout_at(close_at, control.stop()).await.is_err() {
        log::warn!("[stop] Timed out while the lease was being ended.");
    }
    sleep_until(close_at).await;
    begin_phase(phases, traffic, StopPhase::Closing);
    tokio::select! {
        () = traffic.wait_empty() => {}
        () = sleep_until(deadline) => {
            log::warn!("[stop] The grace period ends with open connections.");
            begin_phase(phases, traffic, StopPhase::Expired);
            let last = deadline + LAST_RESPONSE_TIME;
            // Callers whose responses are not delivered by then lose them.
            let _in_time = timeout_at(last, traffic.wait_empty()).await;
        }
    }
    traffic.log_open("exit");
    log::info!("[stop] This VM has shut down.");
    log::logger().flush();
}

/// Logs what is open, and begins a phase.
fn begin_phase(
    phases: &watch::Sender<StopPhase>,
    traffic: &TrafficHandle,
    phase: StopPhase,
) {
    traffic.log_open(phase.code());
    phases.send_replace(phase);
}

/// The signals that the process handles.
///
/// Without a handler SIGHUP terminates the process. If one arrives during the
/// start, the VM serves nobody until it is restarted, so the handlers are
/// installed before anything else.
struct ProcessSignals {
    stop: Signal,
    interrupt: Signal,
    reload: Signal,
}

impl ProcessSignals {
    fn open() -> io::Result<Self> {
        Ok(Self {
            stop: signal(SignalKind::terminate())?,
            interrupt: signal(SignalKind::interrupt())?,
            reload: signal(SignalKind::hangup())?,
        })
    }

    /// Waits for SIGTERM or SIGINT. On SIGHUP it validates the settings file.
    async fn wait_for_stop(mut self, path: &Path) {
        loop {
            tokio::select! {
                _ = self.stop.recv() => return,
                _ = self.interrupt.recv() => return,
                _ = self.reload.recv() => reload_settings(path),
            }
        }
    }
}

/// Validates changed settings. None of them is applied to the running
/// process: addresses and names are fixed until it exits, and numbers are
/// read at the next start.
fn reload_settings(path: &Path) {
    match read_settings(path) {
        Ok(settings) => {
            log::info!("[reload] Settings of VM {} are valid.", settings.vm);
        }
        Err(error) => {
            log::warn!("[reload] {error}; the previous settings stay in use.");
        }
    }
}

/// Starts the control thread and its listeners, and waits until they are
/// open.
fn start_control(
    settings: &Arc<NodeSettings>,
    shared: SharedState,
    views: watch::Sender<Arc<FleetView>>,
    view: watch::Receiver<Arc<FleetView>>,
    phase: watch::Receiver<StopPhase>,
) -> Result<ControlHandle, RunError> {
    let settings = Arc::clone(settings);
    let (started, start) = oneshot::channel();
    let thread_main = move || {
        let runtime = match runtime() {
            Ok(runtime) => runtime,
            Err(error) => {
                // The receiver below waits for this value.
                let _gone = started.send(Err(error));
                return;
            }
        };
        runtime.block_on(async move {
            let handle = open_control(&settings, shared, views, view, phase);
            // The receiver below waits for this value.
            let _gone = started.send(handle);
            std::future::pending::<()>().await;
        });
    };
    thread::Builder::new()
        .name("control".into())
        .spawn(thread_main)
        .map_err(RunError::Start)?;
    let started = start.blocking_recv();
    let started = started.map_err(|error| {
        RunError::Start(io::Error::other(error.to_string()))
    })?;
    started.map_err(RunError::Start)
}

fn open_listeners(settings: &NodeSettings) -> io::Result<TrafficListeners> {
    let callers = bind(settings.traffic_address)?;
    let relayed = relay_address(settings).map(bind).transpose()?;
    Ok(TrafficListeners { callers, relayed })
}

/// The address for requests of other VMs: the last inner port, as the first
/// one is for their calls. `None` if there is only one port.
fn relay_address(settings: &NodeSettings) -> Option<SocketAddr> {
    let (first, last) = settings.inner_ports;
    let ip = settings.ip.parse().ok().filter(|_ip: &IpAddr| first != last)?;
    Some(SocketAddr::new(ip, last))
}

fn open_control(
    settings: &NodeSettings,
    shared: SharedState,
    views: watch::Sender<Arc<FleetView>>,
    view: watch::Receiver<Arc<FleetView>>,
    phase: watch::Receiver<StopPhase>,
) -> io::Result<ControlHandle> {
    let ready = bind(settings.ready_address)?;
    let peer_address = format!("{}:{}", settings.ip, settings.inner_ports.0);
    let peer_address = peer_address.parse().map_err(io::Error::other)?;
    let peers = bind(peer_address)?;
    tokio::spawn(serve_ready(ready, view, phase));
    // Several VMs may run on one machine: only the first one that binds the
    // port serves metrics there.
    let metrics_address = format!("{}:{METRICS_PORT}", settings.ip);
    let metrics_address = metrics_address.parse().map_err(io::Error::other)?;
    match bind(metrics_address) {
        Ok(listener) => {
            tokio::spawn(serve_metrics(listener, Arc::clone(&shared.metrics)));
        }
        Err(error) => {
            log::warn!("[metrics] Cannot serve metrics: {error}.");
        }
    }
    let relay_address = relay_address(settings);
    let me = VmInstance {
        vm: Arc::clone(&settings.vm),
        start: rand::random(),
        domain: Arc::clone(&settings.domain),
        address: peer_address,
        capacity: settings.core_percent.min(settings.link_megabits),
        relay_address,
    };
    Ok(spawn_control(settings, me, peers, shared, views))
}

/// Builds a single-threaded runtime: a VM has a fraction of one core.
fn runtime() -> io::Result<Runtime> {
    Builder::new_current_thread().enable_all().build()
}

fn bind(address: SocketAddr) -> io::Result<TcpListener> {
    let socket = TcpSocket::new_v4()?;
    socket.set_reuseaddr(true)?;
    socket.bind(address)?;
    socket.listen(BACKLOG)
}

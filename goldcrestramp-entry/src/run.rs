//! Starts the parts of a VM, and ends them without cutting a request.

use std::{fmt, io, path::Path, sync::Arc, thread, time::Duration};

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
    traffic::{TrafficHandle, spawn_traffic},
    view::FleetView,
};

/// Connections that wait to be taken, on each listener.
const BACKLOG: u32 = 1_024;

/// After SIGTERM new connections come until the balancer has asked twice,
/// once a second; they are served like the others.
const LEAVE_TIME: Duration = Duration::from_millis(2_700);

/// The process ends this long before it would be killed.
const GRACE_MARGIN: Duration = Duration::from_millis(300);

/// How far a process is on its way to its end.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum StopPhase {
    /// It serves.
    Serving,
    /// It serves, and asks callers to connect elsewhere.
    Draining,
    /// It takes no new connection and ends each after its answer.
    Closing,
}

/// Why a VM could not be started.
#[derive(Debug)]
pub enum RunError {
    /// The settings file can't be read.
    Unreadable(io::Error),
    /// The settings can't be used.
    Settings(SettingsError),
    /// A listener or the runtime could not be made.
    Start(io::Error),
}

impl fmt::Display for RunError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Unreadable(error) => write!(f, "the settings file: {error}"),
            Self::Settings(error) => write!(f, "the settings: {error}"),
            Self::Start(error) => write!(f, "the start: {error}"),
        }
    }
}

impl std::error::Error for RunError {}

/// Reads the settings file at `path`.
///
/// # Errors
///
/// A [`RunError`] when it can't be read or used.
pub fn read_settings(path: &Path) -> Result<NodeSettings, RunError> {
    let bytes = std::fs::read(path).map_err(RunError::Unreadable)?;
    NodeSettings::parse(&bytes).map_err(RunError::Settings)
}

/// Runs a VM with the settings at `path` until SIGTERM.
///
/// # Errors
///
/// A [`RunError`] when it can't be started.
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
    let (views, seen) = watch::channel(Arc::<FleetView>::default());
    let (phases, phase) = watch::channel(StopPhase::Serving);
    let shared = SharedState::default();
    let control = start_control(
        &settings,
        shared.clone(),
        views,
        seen.clone(),
        phase.clone(),
    )?;
    let local = LocalSet::new();
    local.block_on(&runtime, async {
        let listener =
            bind(settings.traffic_address).map_err(RunError::Start)?;
        let gate = spawn_traffic(
            Arc::clone(&settings),
            listener,
            seen,
            phase,
            shared,
        );
        signals.wait_for_stop(path).await;
        leave(&settings, &control, &phases, &gate).await;
        Ok(())
    })
}

/// Ends the parts in order; nothing that was read is left unanswered.
async fn leave(
    settings: &NodeSettings,
    control: &ControlHandle,
    phases: &watch::Sender<StopPhase>,
    gate: &TrafficHandle,
) {
    let begin = Instant::now();
    let grace = settings.grace.to_std();
    let end = begin + grace.saturating_sub(GRACE_MARGIN);
    let close_at = begin + LEAVE_TIME.min(grace / 2);
    log::info!("[stop] SIGTERM: this VM leaves.");
    phases.send_replace(StopPhase::Draining);
    // A store that is silent keeps this from ending. Waited for first, it
    // puts off the close, and requests are taken that have no time left.
    if timeout_at(close_at, control.stop()).await.is_err() {
        log::warn!("[stop] The lease was not ended in time.");
    }
    sleep_until(close_at).await;
    phases.send_replace(StopPhase::Closing);
    tokio::select! {
        () = gate.wait_empty() => {}
        () = sleep_until(end) => {
            log::warn!("[stop] Connections are left at the end of the grace.");
        }
    }
    log::info!("[stop] This VM has left.");
    log::logger().flush();
}

/// The signals that a process goes by.
///
/// Without a handler SIGHUP ends a process. If one comes while the process
/// starts, callers find nobody until it is started again; so handlers are
/// there before anything else.
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

    /// Waits for SIGTERM; SIGHUP has the settings read again.
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

/// Checks settings that have changed. Addresses and names hold for the
/// life of a process; the figures are taken at the next start.
fn reload_settings(path: &Path) {
    match read_settings(path) {
        Ok(settings) => {
            log::info!("[reload] Settings of VM {} are valid.", settings.vm);
        }
        Err(error) => {
            log::warn!("[reload] {error}; the former settings hold.");
        }
    }
}

/// Starts the control thread with its listeners.
fn start_control(
    settings: &Arc<NodeSettings>,
    shared: SharedState,
    views: watch::Sender<Arc<FleetView>>,
    seen: watch::Receiver<Arc<FleetView>>,
    phase: watch::Receiver<StopPhase>,
) -> Result<ControlHandle, RunError> {
    let settings = Arc::clone(settings);
    let (started, start) = oneshot::channel();
    let body = move || {
        let runtime = match runtime() {
            Ok(runtime) => runtime,
            Err(error) => {
                // The receiver waits below until this was sent.
                let _gone = started.send(Err(error));
                return;
            }
        };
        runtime.block_on(async move {
            let handle = open_control(&settings, shared, views, seen, phase);
            // The receiver waits below until this was sent.
            let _gone = started.send(handle);
            std::future::pending::<()>().await;
        });
    };
    thread::Builder::new()
        .name("control".into())
        .spawn(body)
        .map_err(RunError::Start)?;
    let started = start.blocking_recv();
    let started = started.map_err(|error| {
        RunError::Start(io::Error::other(error.to_string()))
    })?;
    started.map_err(RunError::Start)
}

fn open_control(
    settings: &NodeSettings,
    shared: SharedState,
    views: watch::Sender<Arc<FleetView>>,
    seen: watch::Receiver<Arc<FleetView>>,
    phase: watch::Receiver<StopPhase>,
) -> io::Result<ControlHandle> {
    let ready = bind(settings.ready_address)?;
    let peer_address = format!("{}:{}", settings.ip, settings.inner_ports.0);
    let peer_address = peer_address.parse().map_err(io::Error::other)?;
    let peers = bind(peer_address)?;
    tokio::spawn(serve_ready(ready, seen, phase));
    // Several VMs may run on one machine: the first one is scraped there.
    let metrics_address = format!("{}:{METRICS_PORT}", settings.ip);
    let metrics_address = metrics_address.parse().map_err(io::Error::other)?;
    match bind(metrics_address) {
        Ok(listener) => {
            tokio::spawn(serve_metrics(listener, Arc::clone(&shared.metrics)));
        }
        Err(error) => {
            log::warn!("[metrics] No metrics are served: {error}.");
        }
    }
    let me = VmInstance {
        vm: Arc::clone(&settings.vm),
        start: rand::random(),
        domain: Arc::clone(&settings.domain),
        address: peer_address,
        capacity: settings.core_percent.min(settings.link_megabits),
    };
    Ok(spawn_control(settings, me, peers, shared, views))
}

/// A runtime of one thread: a VM has a part of one core.
fn runtime() -> io::Result<Runtime> {
    Builder::new_current_thread().enable_all().build()
}

fn bind(address: std::net::SocketAddr) -> io::Result<TcpListener> {
    let socket = TcpSocket::new_v4()?;
    socket.set_reuseaddr(true)?;
    socket.bind(address)?;
    socket.listen(BACKLOG)
}

//! Starts, drains and stops a daemon.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use goldcrestramp_config::NodeSettings;
use goldcrestramp_platform::{CallCounts, PlatformClient};
use goldcrestramp_wire::peer::peer_server::PeerServer;
use tokio::{net::TcpListener, task::JoinHandle, time::Instant};

use crate::{
    context::NodeContext,
    control::{
        ControlStatus, ControlThread, DispensableAsk, DrainedAsk, StatusAsk,
    },
    faults::NodeFaults,
    gateway::{CallerListener, gateway_routes},
    keeper::{KeeperService, MemoryHandover},
    operators::{NodeOperators, OperatorPolicy, operator_routes},
    peer_tls::PeerTls,
    peers::{bounded_server, serve_router},
};

/// How often a draining daemon checks whether it has finished.
const DRAIN_POLL_INTERVAL: Duration = Duration::from_millis(50);

/// How long a draining VM waits to be removed from its domain's roster.
///
/// Removal takes a few hundred milliseconds and needs the store. It does not
/// happen while the store is unavailable or if no other VM stays.
const ROSTER_TIMEOUT: Duration = Duration::from_secs(2);

/// The addresses on which a running daemon listens.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct NodeAddresses {
    /// The listener for callers.
    pub callers: SocketAddr,
    /// The listener for requests of peers.
    pub peers: SocketAddr,
    /// The listener for control messages of peers.
    pub control: SocketAddr,
    /// The listener for operators.
    pub operators: SocketAddr,
}

/// A running daemon. Dropping it stops the daemon immediately, as a crash
/// would; see [`NodeHandle::drain`].
#[derive(Debug)]
pub struct NodeHandle {
    context: Arc<NodeContext>,
    control: ControlThread,
    callers: CallerListener,
    _operators: CallerListener,
    peers: JoinHandle<()>,
    handover: MemoryHandover,
    addresses: NodeAddresses,
    counts: Arc<CallCounts>,
}

impl NodeHandle {
    /// Starts a daemon with these settings; it listens when this returns.
    ///
    /// Traffic runs on the current tokio runtime, control state on a thread
    /// of its own.
    ///
    /// # Errors
    ///
    /// Fails if a listener can't be bound, if the platform's URL is invalid
    /// or if the files with keys and tokens can't be used.
    pub async fn spawn(settings: NodeSettings) -> eyre::Result<Self> {
        let faults = Arc::new(NodeFaults::default());
        let store = PlatformClient::open(&settings.platform_url)?;
        let counts = store.counts();
        let tls = PeerTls::open(&settings)?;
        let context = NodeContext::new(settings, faults).with_tls(tls);
        let context = Arc::new(context);
        let peers = TcpListener::bind(context.settings.peers_listen).await?;
        let peers_address = peers.local_addr()?;
        let control =
            ControlThread::spawn(Arc::clone(&context), store.clone()).await?;
        let operators = serve_operators(&context, &control, store).await?;
        let routes = gateway_routes(Arc::clone(&context));
        let listen = context.settings.callers_listen;
        let callers = CallerListener::bind(listen, routes).await?;
        let addresses = NodeAddresses {
            callers: callers.address(),
            peers: peers_address,
            control: control.address,
            operators: operators.address(),
        };
        let keeper = KeeperService::new(Arc::clone(&context));
        let handover = keeper.handover();
        let peers = serve_peers(&context, keeper, peers);
        log::info!("gateway: listening for callers at {}.", addresses.callers);
        log::info!("operators: listening at {}.", addresses.operators);
        Ok(Self {
            context,
            control,
            callers,
            _operators: operators,
            peers,
            handover,
            addresses,
            counts,
        })
    }

    /// The addresses on which the daemon listens.
    #[must_use]
    pub const fn addresses(&self) -> NodeAddresses {
        self.addresses
    }

    /// The daemon's settings, metrics and fault switches.
    #[must_use]
    pub const fn context(&self) -> &Arc<NodeContext> {
        &self.context
    }

    /// The counts of the daemon's calls to the platform.
    #[must_use]
    pub const fn store_calls(&self) -> &Arc<CallCounts> {
        &self.counts
    }

    /// The state of the control thread, or `None` if the thread has ended.
    pub async fn status(&self) -> Option<ControlStatus> {
        self.control.actor.send(StatusAsk).await.ok()
    }

    /// Drains the daemon without interrupting a request: hands its servers
    /// over to other VMs, accepts no new request and waits for those in
    /// flight.
    pub async fn drain(&mut self) {
        self.context.leave();
        self.wait_until_handed_over().await;
        self.handover.finish().await;
        self.wait_until_dispensable().await;
        self.callers.drain().await;
        while self.context.requests() > 0 {
            tokio::time::sleep(DRAIN_POLL_INTERVAL).await;
        }
    }

    /// Waits up to [`ROSTER_TIMEOUT`] until the other voters have a majority
    /// without this VM.
    ///
    /// If one of two voters stopped earlier, the other would have no majority
    /// and its domain would serve nothing until the roster is changed.
    async fn wait_until_dispensable(&self) {
        let until = Instant::now() + ROSTER_TIMEOUT;
        while Instant::now() < until {
            match self.control.actor.send(DispensableAsk).await {
                Ok(false) => tokio::time::sleep(DRAIN_POLL_INTERVAL).await,
                Ok(true) | Err(_) => return,
            }
        }
        log::warn!(
            "node: stops while still a voter: the roster did not change."
        );
    }

    /// Waits until other VMs are the keepers of this VM's servers.
    async fn wait_until_handed_over(&self) {
        loop {
            match self.control.actor.send(DrainedAsk).await {
                Ok(false) => tokio::time::sleep(DRAIN_POLL_INTERVAL).await,
                Ok(true) | Err(_) => return,
            }
        }
    }
}

impl Drop for NodeHandle {
    fn drop(&mut self) {
        self.peers.abort();
    }
}

async fn serve_operators(
    context: &Arc<NodeContext>,
    control: &ControlThread,
    store: PlatformClient,
) -> eyre::Result<CallerListener> {
    let settings = &context.settings.operators;
    let policy = OperatorPolicy::open(settings)?;
    let context = Arc::clone(context);
    let actor = control.actor.clone();
    let node = NodeOperators::new(context, actor, store);
    let routes = operator_routes(node, policy);
    Ok(CallerListener::bind(settings.listen, routes).await?)
}

fn serve_peers(
    context: &Arc<NodeContext>,
    service: KeeperService,
    listener: TcpListener,
) -> JoinHandle<()> {
    let limit = context.settings.body_bytes as usize + MESSAGE_OVERHEAD;
    let service = PeerServer::new(service).max_decoding_message_size(limit);
    let server = bounded_server().add_service(service);
    let server = serve_router(context.tls.clone(), listener, server);
    tokio::spawn(async move {
        if let Err(error) = server.await {
            log::error!("keeper: the listener for peers failed: {error}.");
        }
    })
}

/// Allowance for the fields of a request besides its body, in bytes.
const MESSAGE_OVERHEAD: usize = 64 * 1_024;

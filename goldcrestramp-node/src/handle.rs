//! A running daemon.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use goldcrestramp_config::NodeSettings;
use goldcrestramp_platform::{CallCounts, PlatformClient};
use goldcrestramp_wire::peer::peer_server::PeerServer;
use tokio::{net::TcpListener, task::JoinHandle, time::Instant};
use tonic::transport::Server;

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
    peers::serve_router,
};

/// How often a stopping daemon looks whether it is done.
const DRAIN_POLL: Duration = Duration::from_millis(50);

/// The longest wait until this VM is taken out of its domain's roster.
///
/// That takes a few hundred milliseconds, and the store; without the store,
/// or with no other VM that stays, it does not come.
const ROSTER_WAIT: Duration = Duration::from_secs(2);

/// Where a running daemon listens.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct NodeAddresses {
    /// For callers.
    pub callers: SocketAddr,
    /// For peers' requests.
    pub peers: SocketAddr,
    /// For peers' control messages.
    pub control: SocketAddr,
    /// For operators.
    pub operators: SocketAddr,
}

/// A running daemon; dropping it ends it at once, as a loss would.
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
    /// Traffic runs on the present tokio runtime, control state on a thread
    /// of its own.
    ///
    /// # Errors
    ///
    /// A report when a listener cannot be bound or the platform's URL is
    /// not one.
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
        log::info!("gateway: callers are served at {}.", addresses.callers);
        log::info!("operators: served at {}.", addresses.operators);
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

    /// Where it listens.
    #[must_use]
    pub const fn addresses(&self) -> NodeAddresses {
        self.addresses
    }

    /// Its settings, counters and fault switches.
    #[must_use]
    pub const fn context(&self) -> &Arc<NodeContext> {
        &self.context
    }

    /// Its calls to the platform.
    #[must_use]
    pub const fn store_calls(&self) -> &Arc<CallCounts> {
        &self.counts
    }

    /// What its control thread knows; `None`: the thread has ended.
    pub async fn status(&self) -> Option<ControlStatus> {
        self.control.actor.send(StatusAsk).await.ok()
    }

    /// Stops it without cutting a request: hands its servers to other VMs,
    /// takes no new request and waits for those under way.
    pub async fn drain(&mut self) {
        self.context.leave();
        self.wait_handed_over().await;
        self.handover.finish().await;
        self.wait_dispensable().await;
        self.callers.drain().await;
        while self.context.requests() > 0 {
            tokio::time::sleep(DRAIN_POLL).await;
        }
    }

    /// Waits, for a while, until the others have a majority without it.
    ///
    /// Gone before, one of two leaves the other without a majority, and its
    /// domain serves nothing until the roster is changed.
    async fn wait_dispensable(&self) {
        let until = Instant::now() + ROSTER_WAIT;
        while Instant::now() < until {
            match self.control.actor.send(DispensableAsk).await {
                Ok(false) => tokio::time::sleep(DRAIN_POLL).await,
                Ok(true) | Err(_) => return,
            }
        }
        log::warn!("node: leaves as a voter, the store took no change.");
    }

    /// Waits until other VMs keep its servers.
    async fn wait_handed_over(&self) {
        loop {
            match self.control.actor.send(DrainedAsk).await {
                Ok(false) => tokio::time::sleep(DRAIN_POLL).await,
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
    let node = NodeOperators { context, actor, store };
    let routes = operator_routes(node, policy);
    Ok(CallerListener::bind(settings.listen, routes).await?)
}

fn serve_peers(
    context: &Arc<NodeContext>,
    service: KeeperService,
    listener: TcpListener,
) -> JoinHandle<()> {
    let limit = context.settings.body_bytes as usize + MESSAGE_ROOM;
    let service = PeerServer::new(service).max_decoding_message_size(limit);
    let server = Server::builder().tcp_nodelay(true).add_service(service);
    let server = serve_router(context.tls.clone(), listener, server);
    tokio::spawn(async move {
        if let Err(error) = server.await {
            log::error!("keeper: the listener ended: {error}.");
        }
    })
}

/// Room for the fields of a request besides its body, in bytes.
const MESSAGE_ROOM: usize = 64 * 1_024;

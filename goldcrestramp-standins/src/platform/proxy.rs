//! A TCP proxy before the platform's listener that refuses, stalls or closes
//! connections.
//!
//! It forwards bytes to the inner listener, so that the client sees a fault as
//! it would on the network.

use std::{
    net::SocketAddr,
    sync::{Arc, Mutex, PoisonError},
    time::Duration,
};

use goldcrestramp_types::FastMap;
use tokio::{
    io::copy_bidirectional,
    net::{TcpListener, TcpStream},
    sync::{Notify, watch},
    task::JoinHandle,
};

use super::faults::OutageKind;

/// The pause before the next attempt to bind the port.
const REBIND_INTERVAL: Duration = Duration::from_millis(20);

/// The open connections, by the address that the inner listener sees.
type ConnectionMap = Arc<Mutex<FastMap<SocketAddr, Arc<Notify>>>>;

/// State that all connections share.
#[derive(Clone, Debug)]
struct ProxyShared {
    inner: SocketAddr,
    outage: watch::Receiver<OutageKind>,
    connections: ConnectionMap,
}

/// A handle that closes single connections.
#[derive(Clone, Debug)]
pub(super) struct ConnectionCutter {
    connections: ConnectionMap,
}

impl ConnectionCutter {
    /// Closes the connection that the inner listener sees as `peer`; false if
    /// there is none.
    pub(super) fn cut(&self, peer: SocketAddr) -> bool {
        let connections =
            self.connections.lock().unwrap_or_else(PoisonError::into_inner);
        let Some(connection) = connections.get(&peer) else {
            return false;
        };
        connection.notify_one();
        true
    }
}

/// A running proxy; dropping it stops the proxy.
#[derive(Debug)]
pub(super) struct ProxyHandle {
    address: SocketAddr,
    task: JoinHandle<()>,
}

impl ProxyHandle {
    /// Binds `address` and forwards connections to `inner`.
    pub(super) async fn bind(
        address: SocketAddr,
        inner: SocketAddr,
        outage: watch::Receiver<OutageKind>,
        cutter: &ConnectionCutter,
    ) -> std::io::Result<Self> {
        let listener = TcpListener::bind(address).await?;
        let address = listener.local_addr()?;
        let connections = Arc::clone(&cutter.connections);
        let shared = ProxyShared { inner, outage, connections };
        let task = tokio::spawn(accept_all(listener, address, shared));
        Ok(Self { address, task })
    }

    /// The address that the proxy is bound to.
    pub(super) const fn address(&self) -> SocketAddr {
        self.address
    }
}

impl Drop for ProxyHandle {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// Creates a cutter without connections.
pub(super) fn cutter() -> ConnectionCutter {
    ConnectionCutter { connections: ConnectionMap::default() }
}

/// Accepts connections, except while they are refused.
async fn accept_all(
    listener: TcpListener,
    address: SocketAddr,
    shared: ProxyShared,
) {
    let mut outage = shared.outage.clone();
    let mut listener = Some(listener);
    loop {
        let kind = *outage.borrow_and_update();
        if kind == OutageKind::Refuse {
            // The socket is closed, so the operating system refuses
            // connections.
            listener = None;
            if outage.changed().await.is_err() {
                return;
            }
            continue;
        }
        let open = match listener.take() {
            Some(open) => open,
            None => rebind(address).await,
        };
        tokio::select! {
            accepted = open.accept() => {
                if let Ok((stream, _)) = accepted {
                    tokio::spawn(forward(stream, shared.clone()));
                }
            }
            changed = outage.changed() => {
                if changed.is_err() {
                    return;
                }
            }
        }
        listener = Some(open);
    }
}

async fn rebind(address: SocketAddr) -> TcpListener {
    loop {
        if let Ok(listener) = TcpListener::bind(address).await {
            return listener;
        }
        tokio::time::sleep(REBIND_INTERVAL).await;
    }
}

/// Forwards one connection until it ends, is closed or an outage begins.
async fn forward(mut outer: TcpStream, shared: ProxyShared) {
    let mut outage = shared.outage.clone();
    if *outage.borrow_and_update() != OutageKind::None {
        stall(&mut outage).await;
        return;
    }
    let Ok(mut inner) = TcpStream::connect(shared.inner).await else {
        return;
    };
    let Ok(peer) = inner.local_addr() else {
        return;
    };
    let cut = Arc::new(Notify::new());
    track(&shared.connections, peer, Some(Arc::clone(&cut)));
    // Without this, Nagle's algorithm delays a small response until the
    // client's next packet.
    let _best_effort = (outer.set_nodelay(true), inner.set_nodelay(true));
    tokio::select! {
        _ended = copy_bidirectional(&mut outer, &mut inner) => {}
        () = cut.notified() => {}
        _changed = outage.changed() => {}
    }
    track(&shared.connections, peer, None);
    drop(inner);
    stall(&mut outage).await;
}

/// Keeps a connection open without a response while the platform hangs.
async fn stall(outage: &mut watch::Receiver<OutageKind>) {
    let _ended =
        outage.wait_for(|kind| *kind != OutageKind::Hang).await.is_ok();
}

fn track(
    connections: &ConnectionMap,
    peer: SocketAddr,
    cut: Option<Arc<Notify>>,
) {
    let mut connections =
        connections.lock().unwrap_or_else(PoisonError::into_inner);
    match cut {
        Some(cut) => connections.insert(peer, cut),
        None => connections.remove(&peer),
    };
}

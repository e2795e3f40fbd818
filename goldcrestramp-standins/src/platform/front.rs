//! The public listener, whose connections can be refused, held or cut.
//!
//! It passes bytes to the listener behind it, so that a fault looks to the
//! client as it would on the wire.

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

/// How long to wait before the port is bound again.
const REBIND_EVERY: Duration = Duration::from_millis(20);

/// The connections that stand, by the address that the inner listener
/// sees.
type LinkMap = Arc<Mutex<FastMap<SocketAddr, Arc<Notify>>>>;

/// What every connection needs.
#[derive(Clone, Debug)]
struct FrontShared {
    inner: SocketAddr,
    outage: watch::Receiver<OutageKind>,
    links: LinkMap,
}

/// A handle by which connections are cut.
#[derive(Clone, Debug)]
pub(super) struct LinkCutter {
    links: LinkMap,
}

impl LinkCutter {
    /// Cuts the connection that the inner listener sees as `peer`; false
    /// when there is none.
    pub(super) fn cut(&self, peer: SocketAddr) -> bool {
        let links = self.links.lock().unwrap_or_else(PoisonError::into_inner);
        let Some(link) = links.get(&peer) else {
            return false;
        };
        link.notify_one();
        true
    }
}

/// A running front; dropping it ends it.
#[derive(Debug)]
pub(super) struct FrontHandle {
    address: SocketAddr,
    task: JoinHandle<()>,
}

impl FrontHandle {
    /// Binds `address` and passes connections on to `inner`.
    pub(super) async fn bind(
        address: SocketAddr,
        inner: SocketAddr,
        outage: watch::Receiver<OutageKind>,
        cutter: &LinkCutter,
    ) -> std::io::Result<Self> {
        let listener = TcpListener::bind(address).await?;
        let address = listener.local_addr()?;
        let links = Arc::clone(&cutter.links);
        let shared = FrontShared { inner, outage, links };
        let task = tokio::spawn(accept_all(listener, address, shared));
        Ok(Self { address, task })
    }

    /// Where it listens.
    pub(super) const fn address(&self) -> SocketAddr {
        self.address
    }
}

impl Drop for FrontHandle {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// A cutter that knows no connection yet.
pub(super) fn cutter() -> LinkCutter {
    LinkCutter { links: LinkMap::default() }
}

/// Takes connections, except while they are refused.
async fn accept_all(
    listener: TcpListener,
    address: SocketAddr,
    shared: FrontShared,
) {
    let mut outage = shared.outage.clone();
    let mut listener = Some(listener);
    loop {
        let kind = *outage.borrow_and_update();
        if kind == OutageKind::Refuse {
            // The socket is closed: the system itself then refuses.
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
                    tokio::spawn(carry(stream, shared.clone()));
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
        tokio::time::sleep(REBIND_EVERY).await;
    }
}

/// Carries one connection until it ends, is cut or an outage begins.
async fn carry(mut outer: TcpStream, shared: FrontShared) {
    let mut outage = shared.outage.clone();
    if *outage.borrow_and_update() != OutageKind::None {
        hold(&mut outage).await;
        return;
    }
    let Ok(mut inner) = TcpStream::connect(shared.inner).await else {
        return;
    };
    let Ok(name) = inner.local_addr() else {
        return;
    };
    let cut = Arc::new(Notify::new());
    remember(&shared.links, name, Some(Arc::clone(&cut)));
    // Without this a small answer waits for the client's next packet.
    let _best_effort = (outer.set_nodelay(true), inner.set_nodelay(true));
    tokio::select! {
        _ended = copy_bidirectional(&mut outer, &mut inner) => {}
        () = cut.notified() => {}
        _changed = outage.changed() => {}
    }
    remember(&shared.links, name, None);
    drop(inner);
    hold(&mut outage).await;
}

/// Keeps a connection silent for as long as the platform hangs.
async fn hold(outage: &mut watch::Receiver<OutageKind>) {
    let _ended =
        outage.wait_for(|kind| *kind != OutageKind::Hang).await.is_ok();
}

fn remember(links: &LinkMap, name: SocketAddr, cut: Option<Arc<Notify>>) {
    let mut links = links.lock().unwrap_or_else(PoisonError::into_inner);
    match cut {
        Some(cut) => links.insert(name, cut),
        None => links.remove(&name),
    };
}

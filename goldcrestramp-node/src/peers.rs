//! Connections to peers, kept open and shared.

use std::{
    sync::{Arc, Mutex, PoisonError},
    time::Duration,
};

use goldcrestramp_decisions::TransitEstimate;
use goldcrestramp_types::{FastMap, TimeSpan};
use tokio::net::TcpListener;
use tokio_stream::wrappers::TcpListenerStream;
use tonic::transport::{Channel, Endpoint, server::Router};

use crate::{
    context::NodeContext,
    peer_tls::{PeerIncoming, PeerTls},
};

/// A peer that takes no connection within this time is out of reach.
///
/// Thirty round trips between regions; a keeper is lost long before.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(800);
/// How often an idle connection is probed, so that a dead peer is noticed.
const PROBE_EVERY: Duration = Duration::from_secs(1);
/// A probe without an answer for so long ends the connection.
const PROBE_TIMEOUT: Duration = Duration::from_millis(1_500);

/// Open channels to peers by address.
#[derive(Debug)]
pub(crate) struct PeerChannels {
    context: Arc<NodeContext>,
    channels: Mutex<FastMap<Arc<str>, Channel>>,
    transits: Mutex<FastMap<Arc<str>, TransitEstimate>>,
}

/// Why no message could be sent to a peer; none was.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) struct PeerUnreachable;

impl PeerChannels {
    pub(crate) fn new(context: Arc<NodeContext>) -> Self {
        let (channels, transits) = Default::default();
        Self { context, channels, transits }
    }

    /// An open channel to the peer at `address`.
    ///
    /// The connection stands when this returns, so a failure here proves
    /// that nothing was sent.
    pub(crate) async fn open(
        &self,
        address: &Arc<str>,
    ) -> Result<Channel, PeerUnreachable> {
        if self.context.faults.is_cut(address) {
            self.forget(address);
            return Err(PeerUnreachable);
        }
        let known = self.lock().get(address).cloned();
        if let Some(channel) = known {
            return Ok(channel);
        }
        let tls = self.context.tls.as_deref();
        let endpoint = endpoint(address, tls).ok_or(PeerUnreachable)?;
        let channel =
            endpoint.connect().await.map_err(|_error| PeerUnreachable)?;
        self.lock().insert(Arc::clone(address), channel.clone());
        Ok(channel)
    }

    /// Drops the channel after a failure, so that the next is new.
    pub(crate) fn forget(&self, address: &Arc<str>) {
        self.lock().remove(address);
        let transits = self.transits.lock();
        transits.unwrap_or_else(PoisonError::into_inner).remove(address);
    }

    /// The usual time of one way to a peer; zero while it is not known.
    pub(crate) fn one_way(&self, address: &Arc<str>) -> TimeSpan {
        let transits =
            self.transits.lock().unwrap_or_else(PoisonError::into_inner);
        let transit = transits.get(address);
        let now = self.context.now();
        transit.map_or(TimeSpan::ZERO, |transit| transit.one_way(now))
    }

    /// Takes the time that a peer's answer was on its way, there and back.
    pub(crate) fn record_trip(&self, address: &Arc<str>, trip: TimeSpan) {
        let mut transits =
            self.transits.lock().unwrap_or_else(PoisonError::into_inner);
        let now = self.context.now();
        let transit = transits.entry(Arc::clone(address)).or_default();
        transit.record(now, trip);
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, FastMap<Arc<str>, Channel>> {
        self.channels.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// How a peer is connected to.
pub(crate) fn endpoint(
    address: &str,
    tls: Option<&PeerTls>,
) -> Option<Endpoint> {
    let scheme = if tls.is_some() { "https" } else { "http" };
    let url = format!("{scheme}://{address}");
    let endpoint = Endpoint::from_shared(url).ok()?;
    let endpoint = endpoint
        .connect_timeout(CONNECT_TIMEOUT)
        .tcp_nodelay(true)
        .http2_keep_alive_interval(PROBE_EVERY)
        .keep_alive_timeout(PROBE_TIMEOUT)
        .keep_alive_while_idle(true);
    match tls {
        None => Some(endpoint),
        Some(tls) => tls.secure(endpoint).ok(),
    }
}

/// Serves peers on `listener`, by TLS when there are keys for it.
pub(crate) async fn serve_router(
    tls: Option<Arc<PeerTls>>,
    listener: TcpListener,
    router: Router,
) -> Result<(), tonic::transport::Error> {
    if let Some(tls) = tls {
        let incoming = PeerIncoming::spawn(listener, tls);
        return router.serve_with_incoming(incoming).await;
    }
    let incoming = TcpListenerStream::new(listener);
    router.serve_with_incoming(incoming).await
}

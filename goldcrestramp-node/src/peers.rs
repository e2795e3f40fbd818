//! Connections to peers, shared by all requests, and servers for peers.

use std::{
    sync::{Arc, Mutex, PoisonError},
    time::Duration,
};

use goldcrestramp_decisions::TransitEstimate;
use goldcrestramp_types::{FastMap, TimeSpan};
use tokio::net::TcpListener;
use tonic::transport::{Channel, Endpoint, Server, server::Router};

use crate::{
    context::NodeContext,
    peer_accept::PlainIncoming,
    peer_tls::{PeerIncoming, PeerTls},
};

/// A peer that accepts no connection within this time is unreachable.
///
/// This is 30 round trips between regions, and longer than the time after
/// which a keeper counts as lost.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(800);
/// How often an idle connection is probed, to detect a dead peer.
const PROBE_INTERVAL: Duration = Duration::from_secs(1);
/// A connection is closed if a probe is not acknowledged within this time.
const PROBE_TIMEOUT: Duration = Duration::from_millis(1_500);

/// The most peers whose channels and transit times are kept: three times the
/// VMs of the largest deployment. VMs are replaced at any time; without a
/// bound, entries of removed VMs would accumulate.
const MAX_PEERS: usize = 2_048;

/// Open channels to peers and their transit times, by address.
#[derive(Debug)]
pub(crate) struct PeerChannels {
    context: Arc<NodeContext>,
    channels: Mutex<FastMap<Arc<str>, Channel>>,
    transits: Mutex<FastMap<Arc<str>, TransitEstimate>>,
}

/// No connection to a peer could be opened, so nothing was sent to it.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) struct PeerUnreachable;

impl PeerChannels {
    pub(crate) fn new(context: Arc<NodeContext>) -> Self {
        let (channels, transits) = Default::default();
        Self { context, channels, transits }
    }

    /// Returns an open channel to the peer at `address`.
    ///
    /// The connection is established when this returns, so a failure here
    /// proves that nothing was sent.
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
        let mut channels = self.lock();
        make_room(&mut channels);
        channels.insert(Arc::clone(address), channel.clone());
        Ok(channel)
    }

    /// Drops the channel and the transit time of a peer after a failure, so
    /// that the next request opens a new connection.
    pub(crate) fn forget(&self, address: &Arc<str>) {
        self.lock().remove(address);
        let transits = self.transits.lock();
        transits.unwrap_or_else(PoisonError::into_inner).remove(address);
    }

    /// The typical one-way transit time to a peer; zero while it is unknown.
    pub(crate) fn one_way(&self, address: &Arc<str>) -> TimeSpan {
        let transits =
            self.transits.lock().unwrap_or_else(PoisonError::into_inner);
        let transit = transits.get(address);
        let now = self.context.now();
        transit.map_or(TimeSpan::ZERO, |transit| transit.one_way(now))
    }

    /// Records the network round-trip time of an exchange with a peer.
    pub(crate) fn record_trip(&self, address: &Arc<str>, trip: TimeSpan) {
        let mut transits =
            self.transits.lock().unwrap_or_else(PoisonError::into_inner);
        let now = self.context.now();
        if !transits.contains_key(address) {
            make_room(&mut transits);
        }
        let transit = transits.entry(Arc::clone(address)).or_default();
        transit.record(now, trip);
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, FastMap<Arc<str>, Channel>> {
        self.channels.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Removes all peers if there are too many. Those in use are added again by
/// the next request, and requests in flight keep their channels.
fn make_room<T>(peers: &mut FastMap<Arc<str>, T>) {
    if peers.len() >= MAX_PEERS {
        peers.clear();
    }
}

/// The endpoint of a peer with its timeouts and, with keys, TLS; `None` if
/// the address or the keys are invalid.
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
        .http2_keep_alive_interval(PROBE_INTERVAL)
        .keep_alive_timeout(PROBE_TIMEOUT)
        .keep_alive_while_idle(true);
    match tls {
        None => Some(endpoint),
        Some(tls) => tls.secure(endpoint).ok(),
    }
}

/// The most requests in flight on one connection of a peer; further ones wait
/// at the peer.
///
/// This equals the number that may wait for a server. Further requests wait
/// in order of arrival and not in a fair queue, so a busy caller could take
/// up the whole connection.
const MAX_STREAMS: u32 = 10_000;
/// The largest header list of a peer's request, in bytes.
const MAX_HEADER_LIST_BYTES: u32 = 16 * 1_024;
/// How often the server probes a peer's connection. Without probes, the
/// connection of a lost VM would count against the limit forever.
const SERVER_PROBE_INTERVAL: Duration = Duration::from_secs(10);
/// A connection is closed if a probe is not acknowledged within this time.
const SERVER_PROBE_TIMEOUT: Duration = Duration::from_secs(10);

/// A server for peers with bounds on streams, header sizes and dead
/// connections.
pub(crate) fn bounded_server() -> Server {
    Server::builder()
        .tcp_nodelay(true)
        .max_concurrent_streams(MAX_STREAMS)
        .http2_max_header_list_size(MAX_HEADER_LIST_BYTES)
        .http2_keepalive_interval(Some(SERVER_PROBE_INTERVAL))
        .http2_keepalive_timeout(Some(SERVER_PROBE_TIMEOUT))
}

/// Serves peers on `listener`, with TLS if there are keys for it.
pub(crate) async fn serve_router(
    tls: Option<Arc<PeerTls>>,
    listener: TcpListener,
    router: Router,
) -> Result<(), tonic::transport::Error> {
    if let Some(tls) = tls {
        let incoming = PeerIncoming::spawn(listener, tls);
        return router.serve_with_incoming(incoming).await;
    }
    router.serve_with_incoming(PlainIncoming::spawn(listener)).await
}

//! Accepts TLS connections of peers whose certificate belongs to the
//! deployment.

use std::{
    io,
    pin::Pin,
    sync::Arc,
    task::{Context, Poll},
    time::Duration,
};

use futures_util::Stream;
use tokio::{
    net::{TcpListener, TcpStream},
    sync::{Semaphore, mpsc},
    task::JoinHandle,
};
use tokio_rustls::{TlsAcceptor, server::TlsStream};

use crate::peer_accept::{ACCEPT_RETRY_DELAY, LimitedStream, MAX_CONNECTIONS};

use super::{PeerTls, identity::PeerIdentity};

/// A connection is closed unless its handshake ends within this time.
const HANDSHAKE_TIMEOUT: Duration = Duration::from_secs(5);
/// The most concurrent handshakes, which bounds half-open connections.
const MAX_HANDSHAKES: usize = 256;
/// The most accepted connections that wait for the server.
const MAX_QUEUED: usize = 64;

type PeerStream = TlsStream<TcpStream>;
type LimitedPeer = LimitedStream<PeerStream>;

/// Connections of authenticated peers.
///
/// Handshakes run concurrently, so a peer that stops responding during one
/// does not delay others.
#[derive(Debug)]
pub struct PeerIncoming {
    accepted: mpsc::Receiver<LimitedPeer>,
    task: JoinHandle<()>,
}

impl PeerIncoming {
    /// Accepts connections on `listener` until this is dropped.
    #[must_use]
    pub fn spawn(listener: TcpListener, tls: Arc<PeerTls>) -> Self {
        let (sender, accepted) = mpsc::channel(MAX_QUEUED);
        let task = tokio::spawn(accept(listener, tls, sender));
        Self { accepted, task }
    }
}

impl Stream for PeerIncoming {
    type Item = io::Result<LimitedPeer>;

    fn poll_next(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Self::Item>> {
        self.accepted.poll_recv(cx).map(|next| next.map(Ok))
    }
}

impl Drop for PeerIncoming {
    fn drop(&mut self) {
        self.task.abort();
    }
}

async fn accept(
    listener: TcpListener,
    tls: Arc<PeerTls>,
    sender: mpsc::Sender<LimitedPeer>,
) {
    let handshakes = Arc::new(Semaphore::new(MAX_HANDSHAKES));
    let connections = Arc::new(Semaphore::new(MAX_CONNECTIONS));
    while let (Ok(handshake_permit), Ok(permit)) = (
        Arc::clone(&handshakes).acquire_owned().await,
        Arc::clone(&connections).acquire_owned().await,
    ) {
        let Ok((stream, _)) = listener.accept().await else {
            tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
            continue;
        };
        let (tls, sender) = (Arc::clone(&tls), sender.clone());
        tokio::spawn(async move {
            if let Some(stream) = handshake(stream, &tls).await {
                let stream = LimitedStream::new(stream, permit);
                // Sending fails only if the server has ended.
                drop(sender.send(stream).await);
            }
            drop(handshake_permit);
        });
    }
}

async fn handshake(stream: TcpStream, tls: &PeerTls) -> Option<PeerStream> {
    // With Nagle's algorithm, small responses would wait for the peer's
    // acknowledgement.
    drop(stream.set_nodelay(true));
    let acceptor = TlsAcceptor::from(tls.server());
    let accepted = acceptor.accept(stream);
    let accepted = tokio::time::timeout(HANDSHAKE_TIMEOUT, accepted).await;
    let stream = match accepted {
        Ok(Ok(stream)) => stream,
        Ok(Err(error)) => {
            log::warn!("peers: a TLS handshake failed: {error}.");
            return None;
        }
        Err(_elapsed) => {
            log::warn!("peers: a TLS handshake timed out.");
            return None;
        }
    };
    let certificates = stream.get_ref().1.peer_certificates();
    let first = certificates.and_then(|list| list.first())?;
    let deployment = &tls.identity().deployment;
    if PeerIdentity::read(first, deployment).is_none() {
        log::warn!("peers: a VM of another deployment was refused.");
        return None;
    }
    Some(stream)
}

//! Accepts peers' connections and lets in whom the certificate names.

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

use crate::peer_accept::{ACCEPT_PAUSE, CONNECTIONS_MOST, PlacedStream};

use super::{PeerTls, identity::PeerIdentity};

/// A peer that has not proved itself by then is cut off.
const HANDSHAKE_TIMEOUT: Duration = Duration::from_secs(5);
/// Handshakes at once; half-open ones can't take more than this.
const HANDSHAKES_MOST: usize = 256;
/// Accepted connections that wait for the server.
const QUEUE: usize = 64;

type PeerStream = TlsStream<TcpStream>;
type PlacedPeer = PlacedStream<PeerStream>;

/// Connections of peers that have proved who they are.
///
/// Handshakes run beside each other, so a peer that goes silent in the
/// middle of one keeps nobody else waiting.
#[derive(Debug)]
pub struct PeerIncoming {
    accepted: mpsc::Receiver<PlacedPeer>,
    task: JoinHandle<()>,
}

impl PeerIncoming {
    /// Accepts connections on `listener` until this is dropped.
    #[must_use]
    pub fn spawn(listener: TcpListener, tls: Arc<PeerTls>) -> Self {
        let (sender, accepted) = mpsc::channel(QUEUE);
        let task = tokio::spawn(accept(listener, tls, sender));
        Self { accepted, task }
    }
}

impl Stream for PeerIncoming {
    type Item = io::Result<PlacedPeer>;

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
    sender: mpsc::Sender<PlacedPeer>,
) {
    let room = Arc::new(Semaphore::new(HANDSHAKES_MOST));
    let places = Arc::new(Semaphore::new(CONNECTIONS_MOST));
    while let (Ok(permit), Ok(place)) = (
        Arc::clone(&room).acquire_owned().await,
        Arc::clone(&places).acquire_owned().await,
    ) {
        let Ok((stream, _)) = listener.accept().await else {
            tokio::time::sleep(ACCEPT_PAUSE).await;
            continue;
        };
        let (tls, sender) = (Arc::clone(&tls), sender.clone());
        tokio::spawn(async move {
            if let Some(stream) = handshake(stream, &tls).await {
                let stream = PlacedStream::new(stream, place);
                // The server that would take it may have ended.
                drop(sender.send(stream).await);
            }
            drop(permit);
        });
    }
}

async fn handshake(stream: TcpStream, tls: &PeerTls) -> Option<PeerStream> {
    // Small answers would otherwise wait for the peer's acknowledgement.
    drop(stream.set_nodelay(true));
    let acceptor = TlsAcceptor::from(tls.server());
    let shaken = acceptor.accept(stream);
    let shaken = tokio::time::timeout(HANDSHAKE_TIMEOUT, shaken).await;
    let stream = match shaken {
        Ok(Ok(stream)) => stream,
        Ok(Err(error)) => {
            log::warn!("peers: a connection was refused: {error}.");
            return None;
        }
        Err(_elapsed) => {
            log::warn!("peers: a handshake took too long.");
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

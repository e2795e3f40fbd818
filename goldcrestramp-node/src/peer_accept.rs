//! Connections of peers: bounded in number, and only those that speak.

use std::{
    io,
    pin::Pin,
    sync::Arc,
    task::{Context, Poll},
    time::Duration,
};

use futures_util::Stream;
use tokio::{
    io::{AsyncRead, AsyncWrite, ReadBuf},
    net::{TcpListener, TcpStream},
    sync::{OwnedSemaphorePermit, Semaphore, mpsc},
    task::JoinHandle,
};
use tonic::transport::server::Connected;

/// Connections of peers at once; beyond these they wait in the system's own
/// queue. 640 VMs have one each, and some more while they reconnect.
pub(crate) const CONNECTIONS_MOST: usize = 4_096;
/// Accepted connections that wait for the server.
const QUEUE: usize = 64;
/// A pause after the system refused to accept: out of file descriptors
/// ends by itself, and spinning would not help.
pub(crate) const ACCEPT_PAUSE: Duration = Duration::from_millis(50);
/// A peer that has not sent its first line by then is cut off: half-open
/// connections would otherwise use up all of [`CONNECTIONS_MOST`].
const GREETING_TIMEOUT: Duration = Duration::from_secs(5);
/// How often it is looked whether the rest of the first line has come.
const GREETING_LOOK: Duration = Duration::from_millis(20);
/// What every HTTP/2 connection begins with.
const GREETING: &[u8] = b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n";

/// A connection that holds its place until it ends.
#[derive(Debug)]
pub struct PlacedStream<S> {
    stream: S,
    _place: OwnedSemaphorePermit,
}

impl<S> PlacedStream<S> {
    pub(crate) const fn new(stream: S, place: OwnedSemaphorePermit) -> Self {
        Self { stream, _place: place }
    }
}

impl<S: Connected> Connected for PlacedStream<S> {
    type ConnectInfo = S::ConnectInfo;

    fn connect_info(&self) -> Self::ConnectInfo {
        self.stream.connect_info()
    }
}

impl<S: AsyncRead + Unpin> AsyncRead for PlacedStream<S> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_read(cx, buf)
    }
}

impl<S: AsyncWrite + Unpin> AsyncWrite for PlacedStream<S> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(cx, buf)
    }

    fn poll_flush(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write_vectored(cx, bufs)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }
}

/// Plain connections of peers that have begun to speak HTTP/2.
#[derive(Debug)]
pub(crate) struct PlainIncoming {
    accepted: mpsc::Receiver<PlacedStream<TcpStream>>,
    task: JoinHandle<()>,
}

impl PlainIncoming {
    /// Accepts connections on `listener` until this is dropped.
    pub(crate) fn spawn(listener: TcpListener) -> Self {
        let (sender, accepted) = mpsc::channel(QUEUE);
        let task = tokio::spawn(accept(listener, sender));
        Self { accepted, task }
    }
}

impl Stream for PlainIncoming {
    type Item = io::Result<PlacedStream<TcpStream>>;

    fn poll_next(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Self::Item>> {
        self.accepted.poll_recv(cx).map(|next| next.map(Ok))
    }
}

impl Drop for PlainIncoming {
    fn drop(&mut self) {
        self.task.abort();
    }
}

async fn accept(
    listener: TcpListener,
    sender: mpsc::Sender<PlacedStream<TcpStream>>,
) {
    let room = Arc::new(Semaphore::new(CONNECTIONS_MOST));
    while let Ok(place) = Arc::clone(&room).acquire_owned().await {
        let Ok((stream, _)) = listener.accept().await else {
            tokio::time::sleep(ACCEPT_PAUSE).await;
            continue;
        };
        let sender = sender.clone();
        tokio::spawn(async move {
            // Small answers would otherwise wait for an acknowledgement.
            drop(stream.set_nodelay(true));
            let greeting = is_greeted(&stream);
            let greeted = tokio::time::timeout(GREETING_TIMEOUT, greeting);
            if greeted.await == Ok(true) {
                let stream = PlacedStream::new(stream, place);
                // The server that would take it may have ended.
                drop(sender.send(stream).await);
            }
        });
    }
}

/// Waits for the first line; `false`: something else came, or the end.
async fn is_greeted(stream: &TcpStream) -> bool {
    let mut first = [0; GREETING.len()];
    loop {
        match stream.peek(&mut first).await {
            Ok(0) | Err(_) => return false,
            Ok(length) if first[..length] != GREETING[..length] => {
                return false;
            }
            Ok(length) if length == GREETING.len() => return true,
            Ok(_part) => tokio::time::sleep(GREETING_LOOK).await,
        }
    }
}

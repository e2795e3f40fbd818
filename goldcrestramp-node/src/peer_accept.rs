//! Accepts plain connections of peers, with bounds on their number and on
//! the time until the HTTP/2 preface arrives.

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

/// The most concurrent connections of peers; further ones wait in the
/// kernel's accept queue. 640 VMs have one each, and some more while they
/// reconnect.
pub(crate) const MAX_CONNECTIONS: usize = 4_096;
/// The most accepted connections that wait for the server.
const MAX_QUEUED: usize = 64;
/// The delay after a failed `accept`. A lack of file descriptors passes when
/// connections close, so retrying immediately would only use CPU time.
pub(crate) const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);
/// A connection is closed unless its preface arrives within this time:
/// half-open connections would otherwise use up all of [`MAX_CONNECTIONS`].
const PREFACE_TIMEOUT: Duration = Duration::from_secs(5);
/// How often a connection is checked for the rest of the preface.
const PREFACE_POLL_INTERVAL: Duration = Duration::from_millis(20);
/// The preface with which a client starts an HTTP/2 connection.
const PREFACE: &[u8] = b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n";

/// A connection that counts against a limit until it is dropped.
#[derive(Debug)]
pub struct LimitedStream<S> {
    stream: S,
    _permit: OwnedSemaphorePermit,
}

impl<S> LimitedStream<S> {
    pub(crate) const fn new(stream: S, permit: OwnedSemaphorePermit) -> Self {
        Self { stream, _permit: permit }
    }
}

impl<S: Connected> Connected for LimitedStream<S> {
    type ConnectInfo = S::ConnectInfo;

    fn connect_info(&self) -> Self::ConnectInfo {
        self.stream.connect_info()
    }
}

impl<S: AsyncRead + Unpin> AsyncRead for LimitedStream<S> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_read(cx, buf)
    }
}

impl<S: AsyncWrite + Unpin> AsyncWrite for LimitedStream<S> {
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

/// Plain connections of peers that have sent the HTTP/2 preface.
#[derive(Debug)]
pub(crate) struct PlainIncoming {
    accepted: mpsc::Receiver<LimitedStream<TcpStream>>,
    task: JoinHandle<()>,
}

impl PlainIncoming {
    /// Accepts connections on `listener` until this is dropped.
    pub(crate) fn spawn(listener: TcpListener) -> Self {
        let (sender, accepted) = mpsc::channel(MAX_QUEUED);
        let task = tokio::spawn(accept(listener, sender));
        Self { accepted, task }
    }
}

impl Stream for PlainIncoming {
    type Item = io::Result<LimitedStream<TcpStream>>;

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
    sender: mpsc::Sender<LimitedStream<TcpStream>>,
) {
    let connections = Arc::new(Semaphore::new(MAX_CONNECTIONS));
    while let Ok(permit) = Arc::clone(&connections).acquire_owned().await {
        let Ok((stream, _)) = listener.accept().await else {
            tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
            continue;
        };
        let sender = sender.clone();
        tokio::spawn(async move {
            // With Nagle's algorithm, small responses would wait for an
            // acknowledgement.
            drop(stream.set_nodelay(true));
            let preface = has_preface(&stream);
            let checked = tokio::time::timeout(PREFACE_TIMEOUT, preface);
            if checked.await == Ok(true) {
                let stream = LimitedStream::new(stream, permit);
                // Sending fails only if the server has ended.
                drop(sender.send(stream).await);
            }
        });
    }
}

/// Waits for the HTTP/2 preface; `false` if other data or the end of the
/// stream arrives, or reading fails.
async fn has_preface(stream: &TcpStream) -> bool {
    let mut received = [0; PREFACE.len()];
    loop {
        match stream.peek(&mut received).await {
            Ok(0) | Err(_) => return false,
            Ok(length) if received[..length] != PREFACE[..length] => {
                return false;
            }
            Ok(length) if length == PREFACE.len() => return true,
            Ok(_incomplete) => tokio::time::sleep(PREFACE_POLL_INTERVAL).await,
        }
    }
}

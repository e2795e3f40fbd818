//! The listener for callers, with bounded connections and request heads.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use hyper::server::conn::http1;
use hyper_util::{
    rt::{TokioIo, TokioTimer},
    service::TowerToHyperService,
};
use tokio::{
    net::{TcpListener, TcpStream},
    sync::{Semaphore, oneshot, watch},
    task::JoinHandle,
    time::{Instant, timeout_at},
};
use warp::{Filter, Rejection, Reply};

/// Connections beyond this number wait in the accept queue of the system.
const MAX_CONNECTIONS: u32 = 8_192;
/// A connection whose request head takes longer is closed. Half-open
/// connections would otherwise use up [`MAX_CONNECTIONS`].
const HEAD_TIMEOUT: Duration = Duration::from_secs(10);
/// The maximum size of a request head, in bytes.
const MAX_HEAD_BYTES: usize = 16 * 1_024;
/// The maximum number of header lines of a request.
const MAX_HEADERS: usize = 64;
/// The delay after a failed accept, for example for lack of file descriptors.
/// The condition is temporary, and a busy loop would not help.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// How long a draining listener still accepts new connections.
///
/// The platform's load balancer and callers' pools detect a draining VM by its
/// health page and by responses that close their connection. A caller that
/// connects before that would be reset in the middle of a request.
const DRAIN_ACCEPT_TIME: Duration = Duration::from_secs(1);
/// How long open connections may still send a request after that.
///
/// A caller may send on an idle connection at the moment it is closed, and
/// then cannot know whether its order ran. So a draining VM closes none
/// sooner than a serving one; the response to the next request closes it.
const DRAIN_IDLE_TIME: Duration = HEAD_TIMEOUT;
/// How long a connection is still read before it is closed, so that a request
/// whose bytes have arrived is served.
const LAST_READ_TIME: Duration = Duration::from_millis(20);

/// A running listener for callers.
#[derive(Debug)]
pub(crate) struct CallerListener {
    address: SocketAddr,
    stop: Option<oneshot::Sender<()>>,
    task: JoinHandle<()>,
}

impl CallerListener {
    /// Binds `address` and serves `routes`.
    pub(crate) async fn bind<F>(
        address: SocketAddr,
        routes: F,
    ) -> std::io::Result<Self>
    where
        F: Filter<Error = Rejection> + Clone + Send + Sync + 'static,
        F::Future: Send,
        F::Extract: Reply + Send,
    {
        let listener = TcpListener::bind(address).await?;
        let address = listener.local_addr()?;
        let (stop, stopped) = oneshot::channel();
        let task = tokio::spawn(serve_callers(listener, routes, stopped));
        Ok(Self { address, stop: Some(stop), task })
    }

    pub(crate) const fn address(&self) -> SocketAddr {
        self.address
    }

    /// Continues to serve for a moment, then accepts no new connection or
    /// request, and waits for those in flight.
    pub(crate) async fn drain(&mut self) {
        drop(self.stop.take());
        // A failed listener has no request in flight.
        drop((&mut self.task).await);
    }
}

impl Drop for CallerListener {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// Serves callers until `stopped` completes, and then drains.
async fn serve_callers<F>(
    listener: TcpListener,
    routes: F,
    mut stopped: oneshot::Receiver<()>,
) where
    F: Filter<Error = Rejection> + Clone + Send + Sync + 'static,
    F::Future: Send,
    F::Extract: Reply + Send,
{
    let connections = ConnectionServer::new(routes);
    loop {
        tokio::select! {
            () = connections.accept(&listener) => {}
            _ = &mut stopped => break,
        }
    }
    let accept_until = Instant::now() + DRAIN_ACCEPT_TIME;
    let accept = || timeout_at(accept_until, connections.accept(&listener));
    while accept().await.is_ok() {}
    connections.accept_queued(listener).await;
    connections.close(Instant::now() + DRAIN_IDLE_TIME).await;
}

/// Serves connections, each in a task of its own.
struct ConnectionServer<F> {
    routes: F,
    /// One is held by each open connection.
    permits: Arc<Semaphore>,
    /// Whether idle connections are closed.
    closing: watch::Sender<bool>,
}

impl<F> ConnectionServer<F>
where
    F: Filter<Error = Rejection> + Clone + Send + Sync + 'static,
    F::Future: Send,
    F::Extract: Reply + Send,
{
    fn new(routes: F) -> Self {
        let permits = Arc::new(Semaphore::new(MAX_CONNECTIONS as usize));
        Self { routes, permits, closing: watch::Sender::new(false) }
    }

    /// Accepts one connection when there is room for it.
    async fn accept(&self, listener: &TcpListener) {
        // The semaphore is never closed, so this always returns a permit.
        let permit = Arc::clone(&self.permits).acquire_owned().await;
        match listener.accept().await {
            Ok((stream, _)) => self.serve(stream, permit),
            Err(_error) => tokio::time::sleep(ACCEPT_RETRY_DELAY).await,
        }
    }

    /// Accepts the connections that wait to be accepted, and closes the
    /// listener, which would reset them.
    async fn accept_queued(&self, listener: TcpListener) {
        // The runtime may not have noticed the last ones yet, so the system
        // itself is asked.
        let Ok(listener) = listener.into_std() else { return };
        while let Ok((stream, _)) = listener.accept() {
            let stream = stream.set_nonblocking(true).map(|()| stream);
            let stream = stream.and_then(TcpStream::from_std);
            let permit = Arc::clone(&self.permits).acquire_owned().await;
            match stream {
                Ok(stream) => self.serve(stream, permit),
                Err(error) => {
                    log::warn!("gateway: a connection is lost: {error}.");
                }
            }
        }
    }

    fn serve<Permit: Send + 'static>(
        &self,
        stream: TcpStream,
        permit: Permit,
    ) {
        let closing = self.closing.subscribe();
        let served = connection(stream, self.routes.clone(), closing);
        tokio::spawn(async move {
            served.await;
            drop(permit);
        });
    }

    /// Waits until all connections are closed; idle ones are closed at
    /// `idle_until`.
    async fn close(&self, idle_until: Instant) {
        let all_closed = || self.permits.acquire_many(MAX_CONNECTIONS);
        if timeout_at(idle_until, all_closed()).await.is_err() {
            let closed = self.permits.available_permits();
            let open = MAX_CONNECTIONS as usize - closed;
            log::info!("gateway: closing {open} connections.");
        }
        self.closing.send_replace(true);
        // The semaphore is never closed, so this ends with the last one.
        drop(all_closed().await);
    }
}

fn connection<F>(
    stream: TcpStream,
    routes: F,
    mut closing: watch::Receiver<bool>,
) -> impl Future<Output = ()> + Send + 'static
where
    F: Filter<Error = Rejection> + Clone + Send + Sync + 'static,
    F::Future: Send,
    F::Extract: Reply + Send,
{
    // Small responses would otherwise wait for the peer's acknowledgement.
    drop(stream.set_nodelay(true));
    let service = TowerToHyperService::new(warp::service(routes));
    let served = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(HEAD_TIMEOUT)
        .max_buf_size(MAX_HEAD_BYTES)
        .max_headers(MAX_HEADERS)
        .serve_connection(TokioIo::new(stream), service);
    async move {
        let mut served = std::pin::pin!(served);
        let closing = async {
            // The sender is dropped only when nothing is served any more.
            drop(closing.wait_for(|closing| *closing).await);
            tokio::time::sleep(LAST_READ_TIME).await;
        };
        // A failed connection affects its caller only.
        tokio::select! {
            biased;
            ended = served.as_mut() => return drop(ended),
            () = closing => {}
        }
        served.as_mut().graceful_shutdown();
        drop(served.await);
    }
}

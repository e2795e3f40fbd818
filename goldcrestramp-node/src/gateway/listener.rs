//! The callers' listener: bounded connections, bounded heads.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use futures_util::FutureExt;
use hyper::server::conn::http1;
use hyper_util::{
    rt::{TokioIo, TokioTimer},
    server::graceful::GracefulShutdown,
    service::TowerToHyperService,
};
use tokio::{
    net::{TcpListener, TcpStream},
    sync::{Semaphore, oneshot},
    task::JoinHandle,
    time::{Instant, timeout_at},
};
use warp::{Filter, Rejection, Reply};

/// Connections beyond this wait in the system's own queue.
const CONNECTIONS_MOST: usize = 8_192;
/// A caller that has not sent its head by then is cut off: half-open
/// connections would otherwise use up all of [`CONNECTIONS_MOST`].
const HEAD_TIMEOUT: Duration = Duration::from_secs(10);
/// The largest head of a request, in bytes.
const HEAD_LIMIT: usize = 16 * 1_024;
/// The most header lines of a request.
const HEADERS_MOST: usize = 64;
/// A pause after the system refused to accept, such as when it is out of
/// file descriptors: it ends by itself, and spinning would not help.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// How long a listener that is to stop goes on taking new connections.
///
/// The platform's balancer and callers' pools learn of a leaving VM by its
/// health page and by answers that end their connection; whoever connects
/// before that would be reset in the middle of a request.
const LEAVING_LINGER: Duration = Duration::from_secs(1);
/// How long connections that are open then may still bring a request.
///
/// A caller may send on an idle connection in the moment in which it is
/// closed, and then cannot tell whether its order ran. One that is in use
/// brings its next request within this time and is told to end; what stays
/// idle for so long is at the bottom of its caller's pool.
const IDLE_LINGER: Duration = Duration::from_secs(1);

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
        let task = tokio::spawn(accept(listener, routes, stopped));
        Ok(Self { address, stop: Some(stop), task })
    }

    pub(crate) const fn address(&self) -> SocketAddr {
        self.address
    }

    /// Serves on for a moment, then takes no new connection or request, and
    /// waits for those under way.
    pub(crate) async fn drain(&mut self) {
        drop(self.stop.take());
        // A listener that has failed has nothing under way.
        drop((&mut self.task).await);
    }
}

impl Drop for CallerListener {
    fn drop(&mut self) {
        self.task.abort();
    }
}

async fn accept<F>(
    listener: TcpListener,
    routes: F,
    mut stopped: oneshot::Receiver<()>,
) where
    F: Filter<Error = Rejection> + Clone + Send + Sync + 'static,
    F::Future: Send,
    F::Extract: Reply + Send,
{
    let room = Arc::new(Semaphore::new(CONNECTIONS_MOST));
    let graceful = GracefulShutdown::new();
    let take = async |listener: &TcpListener| {
        // Never closed, so there is always a permit in the end.
        let permit = Arc::clone(&room).acquire_owned().await;
        match listener.accept().await {
            Ok((stream, _)) => {
                let serve = connection(stream, routes.clone(), &graceful);
                tokio::spawn(async move {
                    serve.await;
                    drop(permit);
                });
            }
            Err(_error) => tokio::time::sleep(ACCEPT_PAUSE).await,
        }
    };
    loop {
        tokio::select! {
            () = take(&listener) => {}
            _ = &mut stopped => break,
        }
    }
    let linger_end = Instant::now() + LEAVING_LINGER;
    while timeout_at(linger_end, take(&listener)).await.is_ok() {}
    // Those that the system has connected and that wait to be accepted
    // would be reset with the listener.
    while take(&listener).now_or_never().is_some() {}
    drop(listener);
    tokio::time::sleep(IDLE_LINGER).await;
    graceful.shutdown().await;
}

fn connection<F>(
    stream: TcpStream,
    routes: F,
    graceful: &GracefulShutdown,
) -> impl Future<Output = ()> + Send + 'static
where
    F: Filter<Error = Rejection> + Clone + Send + Sync + 'static,
    F::Future: Send,
    F::Extract: Reply + Send,
{
    // Small answers would otherwise wait for the peer's acknowledgement.
    drop(stream.set_nodelay(true));
    let service = TowerToHyperService::new(warp::service(routes));
    let served = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(HEAD_TIMEOUT)
        .max_buf_size(HEAD_LIMIT)
        .max_headers(HEADERS_MOST)
        .serve_connection(TokioIo::new(stream), service);
    let watched = graceful.watch(served);
    async move {
        // A connection that fails concerns its caller alone.
        drop(watched.await);
    }
}

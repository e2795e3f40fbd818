//! The callers' listener: bounded connections, bounded heads.

use std::{net::SocketAddr, sync::Arc, time::Duration};

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

    /// Takes no new connection or request, and waits for those under way.
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
    loop {
        let next = async {
            let permit = Arc::clone(&room).acquire_owned().await;
            (permit, listener.accept().await)
        };
        let (permit, accepted) = tokio::select! {
            next = next => next,
            _ = &mut stopped => break,
        };
        match accepted {
            Ok((stream, _)) => {
                let serve = connection(stream, routes.clone(), &graceful);
                tokio::spawn(async move {
                    serve.await;
                    drop(permit);
                });
            }
            Err(_error) => tokio::time::sleep(ACCEPT_PAUSE).await,
        }
    }
    drop(listener);
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

//! An HTTP listener that stops when its handle is dropped.

use std::net::SocketAddr;

use tokio::{net::TcpListener, task::JoinHandle};
use warp::{Filter, Rejection, Reply};

/// A running listener; dropping it stops the listener.
#[derive(Debug)]
pub struct ListenerHandle {
    address: SocketAddr,
    task: JoinHandle<()>,
}

impl ListenerHandle {
    /// Binds `address` and serves `routes` until the handle is dropped.
    ///
    /// # Errors
    ///
    /// The system's error when the address cannot be bound.
    pub async fn bind<F>(
        address: SocketAddr,
        routes: F,
    ) -> std::io::Result<Self>
    where
        F: Filter<Error = Rejection> + Clone + Send + Sync + 'static,
        F::Extract: Reply,
    {
        let listener = TcpListener::bind(address).await?;
        let address = listener.local_addr()?;
        let server = warp::serve(routes).incoming(listener);
        let task = tokio::spawn(async move { server.run().await });
        Ok(Self { address, task })
    }

    /// The address that the listener is bound to.
    #[must_use]
    pub const fn address(&self) -> SocketAddr {
        self.address
    }
}

impl Drop for ListenerHandle {
    fn drop(&mut self) {
        self.task.abort();
    }
}

//! A TCP relay that can stop forwarding, like a partitioned network.

use std::net::SocketAddr;

use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{
        TcpListener, TcpStream,
        tcp::{OwnedReadHalf, OwnedWriteHalf},
    },
    sync::watch,
    task::JoinHandle,
};

/// Bytes that are forwarded at a time.
const CHUNK_BYTES: usize = 16_384;

/// Forwards connections to a target until it is cut.
///
/// A cut relay closes no connection: bytes in flight are delayed until it is
/// healed, as TCP retransmits packets after a partition.
#[derive(Debug)]
pub struct TcpRelay {
    address: SocketAddr,
    open: watch::Sender<bool>,
    task: JoinHandle<()>,
}

impl TcpRelay {
    /// Listens at `address` and forwards every connection to `target`.
    pub async fn bind(address: SocketAddr, target: SocketAddr) -> Self {
        let listener = TcpListener::bind(address).await.expect("port is free");
        let address = listener.local_addr().expect("listener has an address");
        let open = watch::Sender::new(true);
        let task = tokio::spawn(accept(listener, target, open.subscribe()));
        Self { address, open, task }
    }

    /// The address that the relay is bound to.
    pub const fn address(&self) -> SocketAddr {
        self.address
    }

    /// Stops forwarding.
    pub fn cut(&self) {
        self.open.send_replace(false);
    }

    /// Resumes forwarding, including the delayed bytes.
    pub fn heal(&self) {
        self.open.send_replace(true);
    }
}

impl Drop for TcpRelay {
    fn drop(&mut self) {
        self.task.abort();
    }
}

async fn accept(
    listener: TcpListener,
    target: SocketAddr,
    open: watch::Receiver<bool>,
) {
    while let Ok((stream, _)) = listener.accept().await {
        tokio::spawn(forward(stream, target, open.clone()));
    }
}

/// Forwards one connection until either side closes it.
async fn forward(
    client: TcpStream,
    target: SocketAddr,
    mut open: watch::Receiver<bool>,
) {
    if open.wait_for(|open| *open).await.is_err() {
        return;
    }
    let Ok(server) = TcpStream::connect(target).await else {
        return;
    };
    let (client_read, client_write) = client.into_split();
    let (server_read, server_write) = server.into_split();
    tokio::join!(
        copy(client_read, server_write, open.clone()),
        copy(server_read, client_write, open),
    );
}

/// Copies one direction, pausing while the relay is cut.
async fn copy(
    mut from: OwnedReadHalf,
    mut to: OwnedWriteHalf,
    mut open: watch::Receiver<bool>,
) {
    let mut buffer = vec![0; CHUNK_BYTES];
    loop {
        let read = from.read(&mut buffer).await.unwrap_or(0);
        if open.wait_for(|open| *open).await.is_err() || read == 0 {
            return;
        }
        if to.write_all(&buffer[..read]).await.is_err() {
            return;
        }
    }
}

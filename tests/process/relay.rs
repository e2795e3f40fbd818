//! A TCP relay that can fall silent, as a cut network does.

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

/// Bytes carried at a time.
const CHUNK_BYTES: usize = 16_384;

/// Carries connections to a target until it is cut.
///
/// A cut relay breaks nothing off: bytes that were sent stay where they
/// are until it is healed, as packets are sent again after a cut.
#[derive(Debug)]
pub struct TcpRelay {
    address: SocketAddr,
    open: watch::Sender<bool>,
    task: JoinHandle<()>,
}

impl TcpRelay {
    /// Listens at `address` and carries every connection to `target`.
    pub async fn bind(address: SocketAddr, target: SocketAddr) -> Self {
        let listener = TcpListener::bind(address).await.expect("a port");
        let address = listener.local_addr().expect("an address");
        let open = watch::Sender::new(true);
        let task = tokio::spawn(accept(listener, target, open.subscribe()));
        Self { address, open, task }
    }

    /// Where it listens.
    pub const fn address(&self) -> SocketAddr {
        self.address
    }

    /// Lets nothing pass from now on.
    pub fn cut(&self) {
        self.open.send_replace(false);
    }

    /// Lets everything pass again, also what was held back.
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
        tokio::spawn(carry(stream, target, open.clone()));
    }
}

/// Carries one connection until either side ends it.
async fn carry(
    near: TcpStream,
    target: SocketAddr,
    mut open: watch::Receiver<bool>,
) {
    if open.wait_for(|open| *open).await.is_err() {
        return;
    }
    let Ok(far) = TcpStream::connect(target).await else {
        return;
    };
    let (near_in, near_out) = near.into_split();
    let (far_in, far_out) = far.into_split();
    tokio::join!(
        copy(near_in, far_out, open.clone()),
        copy(far_in, near_out, open),
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

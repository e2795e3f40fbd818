//! A relay that delays every byte.

use std::{net::SocketAddr, time::Duration};

use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
    sync::mpsc,
    time::Instant,
};

/// Accepts connections and forwards them to `target`; each part is delayed by
/// `delay`, in both directions.
pub(crate) async fn serve(
    listener: TcpListener,
    target: SocketAddr,
    delay: Duration,
) {
    while let Ok((caller, _)) = listener.accept().await {
        tokio::spawn(async move {
            if let Ok(server) = TcpStream::connect(target).await {
                let (caller_in, caller_out) = caller.into_split();
                let (server_in, server_out) = server.into_split();
                tokio::join!(
                    forward(caller_in, server_out, delay),
                    forward(server_in, caller_out, delay)
                );
            }
        });
    }
}

async fn forward(
    mut from: impl AsyncReadExt + Unpin,
    mut to: impl AsyncWriteExt + Unpin,
    delay: Duration,
) {
    let (parts, mut delayed) = mpsc::unbounded_channel();
    let reading = async move {
        let mut buffer = vec![0; 16_384];
        while let Ok(length @ 1..) = from.read(&mut buffer).await {
            let due = Instant::now() + delay;
            if parts.send((due, buffer[..length].to_vec())).is_err() {
                return;
            }
        }
    };
    let writing = async move {
        while let Some((due, part)) = delayed.recv().await {
            tokio::time::sleep_until(due).await;
            if to.write_all(&part).await.is_err() {
                return;
            }
        }
    };
    tokio::join!(reading, writing);
}

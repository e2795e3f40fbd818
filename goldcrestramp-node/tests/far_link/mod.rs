//! A link on which every byte is late.

use std::{net::SocketAddr, time::Duration};

use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
    sync::mpsc,
    time::Instant,
};

/// Takes connections, and passes what comes on to `target`, each part so
/// much later, both ways.
pub(crate) async fn serve(
    listener: TcpListener,
    target: SocketAddr,
    delay: Duration,
) {
    while let Ok((near, _)) = listener.accept().await {
        tokio::spawn(async move {
            if let Ok(far) = TcpStream::connect(target).await {
                let (near_in, near_out) = near.into_split();
                let (far_in, far_out) = far.into_split();
                tokio::join!(
                    pass(near_in, far_out, delay),
                    pass(far_in, near_out, delay)
                );
            }
        });
    }
}

async fn pass(
    mut from: impl AsyncReadExt + Unpin,
    mut to: impl AsyncWriteExt + Unpin,
    delay: Duration,
) {
    let (parts, mut passed) = mpsc::unbounded_channel();
    let reading = async move {
        let mut room = vec![0; 16_384];
        while let Ok(length @ 1..) = from.read(&mut room).await {
            let due = Instant::now() + delay;
            if parts.send((due, room[..length].to_vec())).is_err() {
                return;
            }
        }
    };
    let writing = async move {
        while let Some((due, part)) = passed.recv().await {
            tokio::time::sleep_until(due).await;
            if to.write_all(&part).await.is_err() {
                return;
            }
        }
    };
    tokio::join!(reading, writing);
}

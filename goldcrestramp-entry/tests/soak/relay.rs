//! A relay between a process and what it calls, which misbehaves.

use std::{
    net::SocketAddr,
    sync::{Arc, Mutex},
    time::Duration,
};

use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream, tcp},
    task::JoinHandle,
};

/// What a relay does with what passes.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum RelayManner {
    /// It passes everything on.
    #[default]
    Passes,
    /// It passes everything on, later.
    Delays(Duration),
    /// It ends every connection, and each new one at once.
    Resets,
    /// It takes everything and passes nothing on.
    Silent,
    /// It passes calls on, and none of the answers.
    LosesAnswers,
}

/// A relay to one address; it ends with the test.
#[derive(Debug)]
pub struct Relay {
    pub address: SocketAddr,
    manner: Arc<Mutex<RelayManner>>,
    task: JoinHandle<()>,
}

impl Relay {
    pub async fn spawn(target: SocketAddr) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
        let address = listener.local_addr().expect("an address");
        let manner = Arc::<Mutex<RelayManner>>::default();
        let known = Arc::clone(&manner);
        let task = tokio::spawn(async move {
            while let Ok((caller, _)) = listener.accept().await {
                tokio::spawn(pass(caller, target, Arc::clone(&known)));
            }
        });
        Self { address, manner, task }
    }

    pub fn set(&self, manner: RelayManner) {
        *self.manner.lock().expect("no holder panics") = manner;
    }
}

impl Drop for Relay {
    fn drop(&mut self) {
        self.task.abort();
    }
}

async fn pass(
    caller: TcpStream,
    target: SocketAddr,
    manner: Arc<Mutex<RelayManner>>,
) {
    if now(&manner) == RelayManner::Resets {
        return;
    }
    let Ok(answering) = TcpStream::connect(target).await else { return };
    let (from_caller, to_caller) = caller.into_split();
    let (answers, to_answering) = answering.into_split();
    // The end of one direction ends both, as the end of a process does.
    tokio::select! {
        () = copy(from_caller, to_answering, &manner, true) => {}
        () = copy(answers, to_caller, &manner, false) => {}
        () = until_reset(&manner) => {}
    }
}

fn now(manner: &Mutex<RelayManner>) -> RelayManner {
    *manner.lock().expect("no holder panics")
}

async fn until_reset(manner: &Mutex<RelayManner>) {
    while now(manner) != RelayManner::Resets {
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
}

async fn copy(
    mut from: tcp::OwnedReadHalf,
    mut to: tcp::OwnedWriteHalf,
    manner: &Mutex<RelayManner>,
    is_call: bool,
) {
    let mut bytes = vec![0; 16 * 1024];
    // A connection that has lost bytes says nothing more.
    let mut deaf = false;
    while let Ok(count @ 1..) = from.read(&mut bytes).await {
        match now(manner) {
            RelayManner::Delays(span) => tokio::time::sleep(span).await,
            RelayManner::Silent => deaf = true,
            RelayManner::LosesAnswers if !is_call => deaf = true,
            _ => {}
        }
        if !deaf && to.write_all(&bytes[..count]).await.is_err() {
            return;
        }
    }
}

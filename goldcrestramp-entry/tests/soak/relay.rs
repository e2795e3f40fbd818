//! A relay between a process and what it calls, which misbehaves.

use std::{
    net::SocketAddr,
    sync::{
        Arc, Mutex,
        atomic::{AtomicUsize, Ordering},
    },
    time::Duration,
};

use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream, tcp},
    task::JoinHandle,
};

/// The bytes that a narrow link carries at a time.
const PACKET_BYTES: usize = 1_400;

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
    /// It passes so many bytes of answers a second on, of all connections.
    #[allow(dead_code, reason = "one more kind would change kept seeds")]
    Narrow(u32),
}

/// A relay to one address; it ends with the test.
#[derive(Debug)]
pub struct Relay {
    pub address: SocketAddr,
    state: Arc<RelayState>,
    task: JoinHandle<()>,
}

#[derive(Debug, Default)]
struct RelayState {
    manner: Mutex<RelayManner>,
    /// Bytes of answers that were passed on.
    answered: AtomicUsize,
    /// Held by whoever's bytes are on a narrow link.
    link: tokio::sync::Mutex<()>,
}

impl RelayState {
    fn manner(&self) -> RelayManner {
        *self.manner.lock().expect("no holder panics")
    }

    fn count_answered(&self, bytes: usize) {
        self.answered.fetch_add(bytes, Ordering::Relaxed);
    }

    /// Waits until a narrow link has carried a packet.
    async fn carry(&self, bytes: usize, bytes_per_s: u32) {
        let _link = self.link.lock().await;
        let count = u32::try_from(bytes).expect("a packet's length");
        let span = Duration::from_secs(1) * count / bytes_per_s;
        tokio::time::sleep(span).await;
        self.count_answered(bytes);
    }
}

impl Relay {
    pub async fn spawn(target: SocketAddr) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
        let address = listener.local_addr().expect("an address");
        let state = Arc::<RelayState>::default();
        let known = Arc::clone(&state);
        let task = tokio::spawn(async move {
            while let Ok((caller, _)) = listener.accept().await {
                tokio::spawn(pass(caller, target, Arc::clone(&known)));
            }
        });
        Self { address, state, task }
    }

    pub fn set(&self, manner: RelayManner) {
        *self.state.manner.lock().expect("no holder panics") = manner;
    }

    /// Bytes of answers that were passed on so far.
    #[allow(dead_code, reason = "not every test binary counts them")]
    pub fn answered(&self) -> usize {
        self.state.answered.load(Ordering::Relaxed)
    }
}

impl Drop for Relay {
    fn drop(&mut self) {
        self.task.abort();
    }
}

async fn pass(caller: TcpStream, target: SocketAddr, state: Arc<RelayState>) {
    if state.manner() == RelayManner::Resets {
        return;
    }
    let Ok(answering) = TcpStream::connect(target).await else { return };
    let (from_caller, to_caller) = caller.into_split();
    let (answers, to_answering) = answering.into_split();
    // The end of one direction ends both, as the end of a process does.
    tokio::select! {
        () = copy(from_caller, to_answering, &state, true) => {}
        () = copy(answers, to_caller, &state, false) => {}
        () = until_reset(&state) => {}
    }
}

async fn until_reset(state: &RelayState) {
    while state.manner() != RelayManner::Resets {
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
}

async fn copy(
    mut from: tcp::OwnedReadHalf,
    mut to: tcp::OwnedWriteHalf,
    state: &RelayState,
    is_call: bool,
) {
    let mut bytes = vec![0; 16 * 1024];
    // A connection that has lost bytes says nothing more.
    let mut deaf = false;
    while let Ok(count @ 1..) = from.read(&mut bytes).await {
        match state.manner() {
            RelayManner::Delays(span) => tokio::time::sleep(span).await,
            RelayManner::Narrow(bytes_per_s) if !is_call => {
                for packet in bytes[..count].chunks(PACKET_BYTES) {
                    state.carry(packet.len(), bytes_per_s).await;
                    if to.write_all(packet).await.is_err() {
                        return;
                    }
                }
                continue;
            }
            RelayManner::Silent => deaf = true,
            RelayManner::LosesAnswers if !is_call => deaf = true,
            _ => {}
        }
        if deaf {
            continue;
        }
        if to.write_all(&bytes[..count]).await.is_err() {
            return;
        }
        if !is_call {
            state.count_answered(count);
        }
    }
}

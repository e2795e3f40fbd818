//! The link of one VM to one backend server, which can be cut.

use std::{io::ErrorKind, net::SocketAddr, time::Duration};

use socket2::{Domain, SockRef, Socket, Type};
use tokio::{
    io::copy_bidirectional, net::TcpStream, sync::watch, task::JoinHandle,
    time::timeout,
};

use crate::port::HeldPort;

/// How a link handles connections.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum LinkState {
    /// It forwards them.
    Up,
    /// It forwards nothing, and new connections are never answered. Bytes on
    /// their way arrive when the link is up again.
    Silent,
    /// It resets all connections, and refuses new ones.
    Reset,
    /// It forwards on open connections, and refuses new ones.
    RefusesNew,
}

/// The connections that may wait to be accepted. A listener with more of them
/// leaves new ones without an answer.
const BACKLOG: u32 = 32;

/// A link from one VM to one server, closed on drop.
#[derive(Debug)]
pub struct ServerLink {
    pub address: SocketAddr,
    state: watch::Sender<LinkState>,
    task: JoinHandle<()>,
}

impl ServerLink {
    pub fn open(target: SocketAddr) -> Self {
        let port = HeldPort::open();
        let address = port.address;
        let (state, states) = watch::channel(LinkState::Up);
        let task = tokio::spawn(run(port, target, states));
        Self { address, state, task }
    }

    pub fn set_state(&self, state: LinkState) {
        self.state.send_replace(state);
    }
}

impl Drop for ServerLink {
    fn drop(&mut self) {
        self.task.abort();
    }
}

async fn run(
    port: HeldPort,
    target: SocketAddr,
    mut states: watch::Receiver<LinkState>,
) {
    let mut listener = Some(port.listen(BACKLOG));
    loop {
        let state = *states.borrow_and_update();
        match state {
            LinkState::Up => {
                let open =
                    listener.get_or_insert_with(|| port.listen(BACKLOG));
                tokio::select! {
                    accepted = open.accept() => {
                        let (caller, _) = accepted.expect("accept succeeds");
                        tokio::spawn(forward(caller, target, states.clone()));
                    }
                    changed = states.changed() => {
                        if changed.is_err() {
                            return;
                        }
                    }
                }
                continue;
            }
            LinkState::Silent => {
                let _waiting = fill_backlog(port.address).await;
                if states.changed().await.is_err() {
                    return;
                }
                continue;
            }
            LinkState::Reset | LinkState::RefusesNew => listener = None,
        }
        if states.changed().await.is_err() {
            return;
        }
    }
}

/// Opens connections until the listener answers no more of them.
async fn fill_backlog(address: SocketAddr) -> Vec<TcpStream> {
    const ANSWER_TIMEOUT: Duration = Duration::from_millis(30);
    let mut streams = Vec::new();
    while let Ok(Ok(stream)) =
        timeout(ANSWER_TIMEOUT, TcpStream::connect(address)).await
    {
        streams.push(stream);
    }
    streams
}

async fn forward(
    mut caller: TcpStream,
    target: SocketAddr,
    mut states: watch::Receiver<LinkState>,
) {
    let Ok(mut server) = TcpStream::connect(target).await else { return };
    loop {
        let state = *states.borrow_and_update();
        let is_forwarding =
            matches!(state, LinkState::Up | LinkState::RefusesNew);
        if state == LinkState::Reset {
            for stream in [&caller, &server] {
                // The peer may have closed it already.
                let _closed =
                    SockRef::from(stream).set_linger(Some(Duration::ZERO));
            }
            return;
        }
        tokio::select! {
            _ended = copy_bidirectional(&mut caller, &mut server),
                if is_forwarding => return,
            changed = states.changed() => {
                if changed.is_err() {
                    return;
                }
            }
        }
    }
}

/// Guards against requests of one test that reach a server of another one, to
/// which the port of a link that refuses connections was given.
#[tokio::test]
async fn a_link_that_refuses_connections_keeps_its_port() {
    let target = SocketAddr::from(([127, 0, 0, 1], 1));
    let link = ServerLink::open(target);
    link.set_state(LinkState::Reset);
    while TcpStream::connect(link.address).await.is_ok() {}

    let other = Socket::new(Domain::IPV4, Type::STREAM, None);
    let bound = other.and_then(|other| other.bind(&link.address.into()));

    let error = bound.expect_err("the port is held");
    assert_eq!(error.kind(), ErrorKind::AddrInUse);
}

//! Loopback ports that nothing else gets while they are held.

use std::{io, net::SocketAddr};

use socket2::{Domain, Protocol, Socket, Type};
use tokio::net::{TcpListener, TcpSocket};

/// A port that is bound until this is dropped, also while nothing listens on
/// it. Connections to it are refused then.
#[derive(Debug)]
pub struct HeldPort {
    pub address: SocketAddr,
    _socket: Socket,
}

impl HeldPort {
    /// Holds a port that was free.
    pub fn open() -> Self {
        Self::bind().expect("port binds")
    }

    fn bind() -> io::Result<Self> {
        let any = SocketAddr::from(([127, 0, 0, 1], 0));
        let socket =
            Socket::new(Domain::IPV4, Type::STREAM, Some(Protocol::TCP))?;
        socket.bind(&any.into())?;
        // Only from here on: the port itself must be nobody else's.
        socket.set_reuse_address(true)?;
        let address = socket.local_addr()?.as_socket();
        let address = address.expect("address is an IP address");
        Ok(Self { address, _socket: socket })
    }

    /// Listens on the port, which remains held when the listener is dropped.
    /// More than `backlog` connections that wait to be accepted get no answer.
    pub fn listen(&self, backlog: u32) -> TcpListener {
        self.try_listen(backlog).expect("held port binds")
    }

    fn try_listen(&self, backlog: u32) -> io::Result<TcpListener> {
        let socket = TcpSocket::new_v4()?;
        socket.set_reuseaddr(true)?;
        socket.bind(self.address)?;
        socket.listen(backlog)
    }
}

//! Callers that leave their requests unfinished and stay connected.

use std::{
    fs,
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
    time::{Duration, Instant},
};

use tokio::{
    io::AsyncWriteExt,
    net::{TcpSocket, TcpStream},
    task::JoinSet,
    time::sleep,
};

/// A VM that has read nothing for this long reads no more.
const READING_PAUSE: Duration = Duration::from_secs(2);

/// One caller in so many finishes its request.
const FINISHING: usize = 10;

/// What each caller of a crowd sends.
#[derive(Clone, Copy, Debug)]
pub enum UnfinishedRequest {
    /// Nothing.
    None,
    /// A head without its end.
    Head { bytes: usize },
    /// A body of a stated length, written in pieces of this size, without its
    /// last byte.
    Stated { bytes: usize, piece: usize },
    /// A body in chunks of this size, without the last byte of its framing.
    Chunked { bytes: usize, chunk: usize },
    /// A complete body for a server that does not read it.
    Complete { bytes: usize },
    /// A complete head of this size, and a short body without its last byte.
    LargeHead { bytes: usize },
    /// Requests, one behind the other, whose responses are not read.
    Unread { line: &'static str, requests: usize },
}

impl UnfinishedRequest {
    /// What follows the first lines of the head.
    fn rest(self) -> Vec<u8> {
        match self {
            Self::None => Vec::new(),
            Self::Head { bytes } => {
                let mut rest = fields(bytes);
                rest.extend_from_slice(b"\r\n");
                rest
            }
            Self::LargeHead { bytes } => {
                let mut rest = fields(bytes);
                rest.extend(stated_body(10));
                rest
            }
            Self::Unread { .. } => b"\r\n".to_vec(),
            Self::Stated { bytes, .. } | Self::Complete { bytes } => {
                stated_body(bytes)
            }
            Self::Chunked { bytes, chunk } => chunked_body(bytes, chunk),
        }
    }

    /// The most bytes of one write.
    const fn write_bytes(self) -> usize {
        match self {
            Self::Stated { piece, .. } => piece,
            _ => usize::MAX,
        }
    }

    /// Sends the request of one caller.
    async fn send(
        self,
        stream: &mut TcpStream,
        number: usize,
        rest: &[u8],
    ) -> std::io::Result<()> {
        if matches!(self, Self::None) {
            return Ok(());
        }
        let is_whole =
            matches!(self, Self::Complete { .. } | Self::Unread { .. });
        let finishes = is_whole || number.is_multiple_of(FINISHING);
        let sent = rest.len() - usize::from(!finishes);
        let (line, requests) = match self {
            Self::Unread { line, requests } => (line, requests),
            _ => ("POST /order/new", 1),
        };
        for request in 0..requests {
            let head = head(line, &format!("crowd-{number}-{request}"));
            stream.write_all(head.as_bytes()).await?;
            for piece in rest[..sent].chunks(self.write_bytes()) {
                stream.write_all(piece).await?;
            }
        }
        Ok(())
    }
}

/// The first lines of a request's head.
pub fn head(line: &str, attempt: &str) -> String {
    format!(
        "{line} HTTP/1.1\r\nHost: shop.example\r\n\
         X-Attempt-Id: {attempt}\r\nX-Deadline-Ms: 60000\r\n"
    )
}

/// Header fields of about this size in all.
fn fields(bytes: usize) -> Vec<u8> {
    let field = format!("X-Field: {:0180}\r\n", 0);
    field.repeat(bytes / field.len()).into_bytes()
}

/// The framing and the bytes of a body with a length.
pub fn stated_body(bytes: usize) -> Vec<u8> {
    let mut sent = format!("Content-Length: {bytes}\r\n\r\n").into_bytes();
    sent.resize(sent.len() + bytes, b'o');
    sent
}

/// The framing and the bytes of a chunked body.
pub fn chunked_body(bytes: usize, chunk: usize) -> Vec<u8> {
    let mut sent = b"Transfer-Encoding: chunked\r\n\r\n".to_vec();
    let mut left = bytes;
    while left > 0 {
        let size = chunk.min(left);
        sent.extend_from_slice(format!("{size:x}\r\n").as_bytes());
        sent.resize(sent.len() + size, b'o');
        sent.extend_from_slice(b"\r\n");
        left -= size;
    }
    sent.extend_from_slice(b"0\r\n\r\n");
    sent
}

/// A crowd that is connected until it is dropped.
pub struct Crowd {
    address: SocketAddr,
    _callers: JoinSet<()>,
    /// The callers that are still sending.
    sending: Arc<AtomicUsize>,
}

impl Crowd {
    /// Connects the callers, each of which sends its request.
    pub fn connect(
        address: SocketAddr,
        request: UnfinishedRequest,
        callers: usize,
    ) -> Self {
        let rest: Arc<[u8]> = request.rest().into();
        let sending = Arc::new(AtomicUsize::new(callers));
        let callers = (0..callers).map(|number| {
            let (rest, sending) = (Arc::clone(&rest), Arc::clone(&sending));
            async move {
                let mut stream = connect(address).await;
                if let Ok(stream) = &mut stream {
                    // The daemon may close the connection at any time.
                    let _closed = request.send(stream, number, &rest).await;
                }
                sending.fetch_sub(1, Ordering::Relaxed);
                // The connection stays open.
                std::future::pending::<()>().await;
                drop(stream);
            }
        });
        Self { address, _callers: callers.collect(), sending }
    }

    /// Waits until the VM has read what the callers send, or reads no more.
    pub async fn wait_read(&self) {
        let mut seen = None;
        let mut seen_at = Instant::now();
        while seen_at.elapsed() < READING_PAUSE {
            sleep(Duration::from_millis(50)).await;
            let sending = self.sending.load(Ordering::Relaxed);
            let state = Some((sending, unread_bytes(self.address)));
            if state == Some((0, 0)) {
                return;
            }
            if seen != state {
                (seen, seen_at) = (state, Instant::now());
            }
        }
    }
}

/// Connects a caller, of whose response little waits in its own buffer.
async fn connect(address: SocketAddr) -> std::io::Result<TcpStream> {
    let socket = TcpSocket::new_v4()?;
    socket.set_recv_buffer_size(4 * 1_024)?;
    socket.connect(address).await
}

/// The bytes that wait to be read on the connections to an address.
fn unread_bytes(address: SocketAddr) -> u64 {
    let local = format!(":{:04X}", address.port());
    let sockets = fs::read_to_string("/proc/net/tcp");
    let sockets = sockets.expect("the system lists sockets");
    let unread = sockets.lines().filter_map(|socket| {
        let mut fields = socket.split_whitespace().skip(1);
        let is_local = fields.next()?.ends_with(&local);
        let (_send, receive) = fields.nth(2)?.split_once(':')?;
        let bytes = u64::from_str_radix(receive, 16).ok()?;
        is_local.then_some(bytes)
    });
    unread.sum()
}

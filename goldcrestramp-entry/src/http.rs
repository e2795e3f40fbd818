//! Client connections to the store, backend servers and other VMs.

use std::{
    io,
    net::SocketAddr,
    sync::{
        Mutex, MutexGuard, PoisonError,
        atomic::{AtomicU64, AtomicUsize, Ordering},
    },
    time::Duration,
};

use bytes::{Bytes, BytesMut};
use goldcrestramp_types::{ClockSource, FastMap, LocalTime, MonotonicClock};
use http::{
    HeaderMap, HeaderValue, Method, Request, StatusCode, header::HOST,
};
use http_body_util::{
    BodyExt, Either, Full, Limited, combinators::UnsyncBoxBody,
};
use hyper::client::conn::http1::{self, SendRequest};
use hyper_util::rt::TokioIo;
use socket2::{SockRef, TcpKeepalive};
use tokio::{
    net::{TcpSocket, TcpStream},
    time::{sleep, timeout},
};

/// Why a body that is sent ends before its end.
#[derive(Debug)]
pub enum BodyFailure {
    /// The caller's connection failed.
    Caller(hyper::Error),
    /// It is larger than the limits allow.
    TooLarge,
}

impl std::fmt::Display for BodyFailure {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Self::Caller(_) => f.write_str("the caller's connection failed"),
            Self::TooLarge => f.write_str("the body is too large"),
        }
    }
}

impl std::error::Error for BodyFailure {
    fn source(&self) -> Option<&(dyn std::error::Error + 'static)> {
        match self {
            Self::Caller(error) => Some(error),
            Self::TooLarge => None,
        }
    }
}

/// The body of a request: bytes in memory, or a body in parts, such as that of
/// an incoming request that is forwarded.
pub type SendBody = Either<Full<Bytes>, UnsyncBoxBody<Bytes, BodyFailure>>;

/// The request sender of one connection.
pub type ConnectionSender = SendRequest<SendBody>;

/// The timeout for opening a connection. If its first packet is lost, the
/// kernel retries only after 1 s; a new connection elsewhere is sooner.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// How long bytes or keepalive probes may stay unacknowledged before the
/// connection is closed. A peer behind a partition never responds; without
/// this timeout a request to it would hang until its deadline.
const USER_TIMEOUT: Duration = Duration::from_secs(2);

/// The interval of keepalive probes on an idle connection. A connection can
/// fail silently for good while new ones work, and nothing else shows it to a
/// process that only listens on it. The user timeout decides when the probes
/// give up, whatever their number.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(1);

/// What happens to bytes in flight when a connection is given up.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum CloseMode {
    /// They may still arrive.
    Close,
    /// They are discarded: a late order must not arrive after newer ones.
    Reset,
}

/// The part of a response that the timeout of a call covers.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum TimeoutScope {
    /// The full response: for short responses, whose absence makes the caller
    /// act.
    FullResponse,
    /// The head of the response. The rest may take any time, as long as it
    /// does not stall: if a large response were given up half way and
    /// requested again, it could cross a full link any number of times and
    /// never complete.
    ResponseHead,
}

/// Why a call got no response.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum CallFailure {
    /// No byte of the call was sent.
    NotSent,
    /// The connection was closed; the call may have been carried out.
    Unknown,
    /// No response arrived in time; the call may be carried out later.
    TimedOut,
}

/// A response that was read completely.
#[derive(Clone, Debug)]
pub struct CallResponse {
    /// The status code of the response.
    pub status: StatusCode,
    /// The headers of the response.
    pub headers: HeaderMap,
    /// The complete body, without trailers.
    pub body: Bytes,
    /// Whether it is the first response on its connection, so that it can't be
    /// a second copy of an earlier one.
    pub is_first: bool,
}

/// Opens a connection to `address`; `close_mode` decides what happens to bytes
/// in flight when it is given up.
///
/// # Errors
///
/// The error of the socket when the connection can't be opened in time.
pub async fn dial(
    address: SocketAddr,
    close_mode: CloseMode,
) -> io::Result<ConnectionSender> {
    dial_buffered(address, close_mode, None).await
}

/// Opens a connection as [`dial`] does. Its buffers hold up to `buffer` bytes
/// each, or as much as the HTTP library's default.
pub(crate) async fn dial_buffered(
    address: SocketAddr,
    close_mode: CloseMode,
    buffer: Option<usize>,
) -> io::Result<ConnectionSender> {
    let began_at = MonotonicClock.now();
    let opened = open_connection(address, close_mode, buffer).await;
    opened.inspect_err(|error| {
        log::info!(
            cause = dial_failure_code(error.kind()),
            took_ms = MonotonicClock.now().since(began_at).as_millis();
            "[link] No connection to {address} could be opened."
        );
    })
}

/// The stable code of the reason why a connection could not be opened.
const fn dial_failure_code(kind: io::ErrorKind) -> &'static str {
    match kind {
        io::ErrorKind::ConnectionRefused => "refused",
        io::ErrorKind::ConnectionReset => "reset",
        io::ErrorKind::TimedOut => "silent",
        io::ErrorKind::HostUnreachable | io::ErrorKind::NetworkUnreachable => {
            "unreachable"
        }
        _ => "other",
    }
}

async fn open_connection(
    address: SocketAddr,
    close_mode: CloseMode,
    buffer: Option<usize>,
) -> io::Result<ConnectionSender> {
    let socket = TcpSocket::new_v4()?;
    let options = SockRef::from(&socket);
    options.set_tcp_user_timeout(Some(USER_TIMEOUT))?;
    let keepalive = TcpKeepalive::new()
        .with_time(KEEPALIVE_INTERVAL)
        .with_interval(KEEPALIVE_INTERVAL);
    options.set_tcp_keepalive(&keepalive)?;
    if close_mode == CloseMode::Reset {
        options.set_linger(Some(Duration::ZERO))?;
    }
    let stream = timeout(CONNECT_TIMEOUT, socket.connect(address)).await??;
    stream.set_nodelay(true)?;
    let mut builder = http1::Builder::new();
    if let Some(buffer) = buffer {
        builder.max_buf_size(buffer);
    }
    let (sender, connection) = builder
        .handshake(TokioIo::new(stream))
        .await
        .map_err(io::Error::other)?;
    tokio::spawn(async move {
        // A sender that waits for a response on the connection gets the error,
        // too.
        if let Err(error) = connection.await {
            log::debug!("[link] A connection to {address} ended: {error}.");
        }
    });
    Ok(sender)
}

/// Whether a server accepts a connection within `limit`; the connection is
/// closed at once.
pub(crate) async fn can_connect(address: SocketAddr, limit: Duration) -> bool {
    matches!(timeout(limit, TcpStream::connect(address)).await, Ok(Ok(_)))
}

/// A call to one of the system's own interfaces or to a server.
#[derive(Clone, Debug)]
pub struct CallRequest {
    /// The address of the peer.
    pub address: SocketAddr,
    /// The HTTP method.
    pub method: Method,
    /// The path with its query.
    pub path: String,
    /// Headers other than the host and the length.
    pub headers: HeaderMap,
    /// The body; empty if there is none.
    pub body: Bytes,
}

/// Idle connections by address.
type IdleConnections = FastMap<SocketAddr, Vec<ConnectionSender>>;

/// Which connections a call may use.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ConnectionReuse {
    /// An idle connection, or a new one.
    Any,
    /// An idle connection only.
    Kept,
}

/// A pool of connections, each of which carries one call at a time.
#[derive(Debug)]
pub struct CallPool {
    close_mode: CloseMode,
    scope: TimeoutScope,
    max_response_bytes: usize,
    idle: Mutex<IdleConnections>,
}

/// Idle connections kept per address; more are open only during a burst.
const MAX_IDLE: usize = 2;

impl CallPool {
    /// Returns a pool without connections.
    #[must_use]
    pub fn open(
        close_mode: CloseMode,
        scope: TimeoutScope,
        max_response_bytes: usize,
    ) -> Self {
        Self { close_mode, scope, max_response_bytes, idle: Mutex::default() }
    }

    /// Makes a call. It is given up if the part of the response that the
    /// pool's scope covers has not arrived within `limit`, or if the rest
    /// stalls.
    ///
    /// # Errors
    ///
    /// A [`CallFailure`] when no complete response arrived.
    pub async fn call(
        &self,
        request: CallRequest,
        reuse: ConnectionReuse,
        limit: Duration,
    ) -> Result<CallResponse, CallFailure> {
        let limit = async { sleep(limit).await };
        self.call_keeping(request, reuse, limit, |_response| true).await
    }

    /// Makes a call as [`Self::call`] does. The limit passes when `limit`
    /// ends; it starts when the connection is open. The connection is kept for
    /// further calls only if `keeps` accepts the response: a second copy of a
    /// response could otherwise be taken for that to a later call.
    ///
    /// # Errors
    ///
    /// A [`CallFailure`] when no complete response arrived.
    pub async fn call_keeping(
        &self,
        request: CallRequest,
        reuse: ConnectionReuse,
        limit: impl Future<Output = ()>,
        keeps: impl FnOnce(&CallResponse) -> bool,
    ) -> Result<CallResponse, CallFailure> {
        let address = request.address;
        let connection = match self.take_idle(address).await {
            Some(sender) => CallConnection { sender, is_new: false },
            None if reuse == ConnectionReuse::Kept => {
                return Err(CallFailure::NotSent);
            }
            None => {
                let dialed = dial(address, self.close_mode).await;
                let sender = dialed.map_err(|_error| CallFailure::NotSent)?;
                CallConnection { sender, is_new: true }
            }
        };
        let progress = CallProgress::begin();
        let max_bytes = self.max_response_bytes;
        let outcome = match self.scope {
            TimeoutScope::ResponseHead => {
                exchange(connection, request, limit, max_bytes, &progress)
                    .await
            }
            TimeoutScope::FullResponse => {
                let unlimited = std::future::pending();
                tokio::select! {
                    biased;
                    outcome = exchange(
                        connection, request, unlimited, max_bytes, &progress,
                    ) => outcome,
                    () = limit => Err(CallFailure::TimedOut),
                }
            }
        };
        let (sender, response) = outcome.inspect_err(|failure| {
            if *failure == CallFailure::TimedOut {
                progress.log_given_up(address);
            }
        })?;
        progress.log_if_large(address);
        if keeps(&response) {
            self.put_idle(address, sender);
        }
        Ok(response)
    }

    async fn take_idle(
        &self,
        address: SocketAddr,
    ) -> Option<ConnectionSender> {
        loop {
            let sender = self.pop_idle(address)?;
            if let Some(sender) = usable(sender).await {
                return Some(sender);
            }
        }
    }

    fn pop_idle(&self, address: SocketAddr) -> Option<ConnectionSender> {
        self.idle().get_mut(&address)?.pop()
    }

    fn put_idle(&self, address: SocketAddr, sender: ConnectionSender) {
        let mut idle = self.idle();
        let connections = idle.entry(address).or_default();
        if connections.len() < MAX_IDLE && !sender.is_closed() {
            connections.push(sender);
        }
    }

    fn idle(&self) -> MutexGuard<'_, IdleConnections> {
        // A panic of the lock's holder leaves the list of connections valid.
        self.idle.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Returns the sender once it is ready, or `None` if its connection no longer
/// accepts a request.
pub async fn usable(mut sender: ConnectionSender) -> Option<ConnectionSender> {
    if sender.is_closed() {
        return None;
    }
    sender.ready().await.ok().map(|()| sender)
}

/// A response is given up if its next bytes do not arrive within this time.
const BODY_IDLE_TIMEOUT: Duration = Duration::from_secs(1);

/// Responses of at least this size are logged: they delay others on the same
/// link.
const LARGE_RESPONSE_BYTES: usize = 64 * 1024;

/// The progress of a response.
#[derive(Debug)]
struct CallProgress {
    sent_at: LocalTime,
    /// Milliseconds until the head of the response arrived; 0 until then.
    head_ms: AtomicU64,
    /// Bytes of the body received.
    bytes: AtomicUsize,
}

impl CallProgress {
    fn begin() -> Self {
        Self {
            sent_at: MonotonicClock.now(),
            head_ms: AtomicU64::default(),
            bytes: AtomicUsize::default(),
        }
    }

    fn elapsed_ms(&self) -> u64 {
        MonotonicClock.now().since(self.sent_at).as_millis()
    }

    fn record_head(&self) {
        self.head_ms.store(self.elapsed_ms(), Ordering::Relaxed);
    }

    fn log_given_up(&self, address: SocketAddr) {
        log::info!(
            head_ms = self.head_ms.load(Ordering::Relaxed),
            took_ms = self.elapsed_ms(),
            bytes = self.bytes.load(Ordering::Relaxed);
            "[link] A call to {address} was given up."
        );
    }

    fn log_if_large(&self, address: SocketAddr) {
        let bytes = self.bytes.load(Ordering::Relaxed);
        if bytes >= LARGE_RESPONSE_BYTES {
            log::info!(
                head_ms = self.head_ms.load(Ordering::Relaxed),
                took_ms = self.elapsed_ms(),
                bytes = bytes;
                "[link] A large response arrived from {address}."
            );
        }
    }
}

/// The connection of one call.
struct CallConnection {
    sender: ConnectionSender,
    /// Whether it has carried no call yet.
    is_new: bool,
}

async fn exchange(
    connection: CallConnection,
    request: CallRequest,
    limit: impl Future<Output = ()>,
    max_response_bytes: usize,
    progress: &CallProgress,
) -> Result<(ConnectionSender, CallResponse), CallFailure> {
    let CallConnection { mut sender, is_new } = connection;
    let timed_out = |_elapsed| CallFailure::TimedOut;
    let sent = sender.try_send_request(http_request(request));
    let sent = tokio::select! {
        biased;
        sent = sent => sent,
        () = limit => return Err(CallFailure::TimedOut),
    };
    let response = sent.map_err(|mut error| match error.take_message() {
        Some(_unsent) => CallFailure::NotSent,
        None => CallFailure::Unknown,
    })?;
    progress.record_head();
    let (parts, body) = response.into_parts();
    let mut body = Limited::new(body, max_response_bytes);
    let mut bytes = BytesMut::new();
    loop {
        let frame = timeout(BODY_IDLE_TIMEOUT, body.frame()).await;
        let Some(frame) = frame.map_err(timed_out)? else { break };
        let frame = frame.map_err(|_error| CallFailure::Unknown)?;
        // Trailers are ignored.
        if let Ok(data) = frame.into_data() {
            bytes.extend_from_slice(&data);
            progress.bytes.store(bytes.len(), Ordering::Relaxed);
        }
    }
    let body = bytes.freeze();
    let response = CallResponse {
        status: parts.status,
        headers: parts.headers,
        body,
        is_first: is_new,
    };
    Ok((sender, response))
}

fn http_request(request: CallRequest) -> Request<SendBody> {
    let body = Either::Left(Full::new(request.body));
    let mut sent = Request::new(body);
    *sent.method_mut() = request.method;
    // Paths are built by this program from escaped texts and numbers, so they
    // parse.
    *sent.uri_mut() = request.path.parse().unwrap_or_default();
    *sent.headers_mut() = request.headers;
    let host = request.address.to_string();
    if let Ok(host) = HeaderValue::from_str(&host) {
        sent.headers_mut().insert(HOST, host);
    }
    sent
}

//! Connections as a client: to the store, backend servers and other VMs.

use std::{
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
use http_body_util::{BodyExt, Either, Full, Limited};
use hyper::{
    body::Incoming,
    client::conn::http1::{self, SendRequest},
};
use hyper_util::rt::TokioIo;
use socket2::{SockRef, TcpKeepalive};
use tokio::{net::TcpSocket, time::timeout};

/// The body of a request that is sent on.
pub type SendBody = Either<Full<Bytes>, Incoming>;

/// The sender of one connection.
pub type ConnectionSender = SendRequest<SendBody>;

/// The first packet of a connection may wait for its second try, which the
/// kernel makes after a second; a new connection elsewhere is sooner.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// Bytes without an acknowledgement for so long end a connection. A peer
/// behind a partition never answers; without this a request to it would
/// hang until its deadline.
const USER_TIMEOUT: Duration = Duration::from_secs(2);

/// Probes of a connection that is silent: it can go silent for good while
/// new ones work, and nothing else shows it to one that only listens.
const KEEPALIVE_IDLE: Duration = Duration::from_secs(1);
const KEEPALIVE_TRIES: u32 = 2;

/// What happens to bytes on the way when a connection is given up.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum CloseMode {
    /// They may still arrive.
    Close,
    /// They are discarded: a late order must not come after newer ones.
    Reset,
}

/// How much of an answer the limit of a call covers.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum TimeoutScope {
    /// All of it: short answers, whose callers act on their absence.
    FullResponse,
    /// Its head. The rest may take any time, as long as it does not stall:
    /// a large answer that is given up half way and asked for again would
    /// cross a full link any number of times and never be had.
    ResponseHead,
}

/// Why a call brought no answer.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum CallFailure {
    /// No byte of it was sent.
    NotSent,
    /// The connection ended; it may have been carried out.
    Unknown,
    /// No answer came in time; it may be carried out later.
    TimedOut,
}

/// An answer that was read whole.
#[derive(Clone, Debug)]
pub struct CallResponse {
    /// The status.
    pub status: StatusCode,
    /// The headers.
    pub headers: HeaderMap,
    /// The body.
    pub body: Bytes,
}

/// Opens a connection.
///
/// # Errors
///
/// The error of the socket when it can't be made in time.
pub async fn dial(
    address: SocketAddr,
    end: CloseMode,
) -> std::io::Result<ConnectionSender> {
    let socket = TcpSocket::new_v4()?;
    let options = SockRef::from(&socket);
    options.set_tcp_user_timeout(Some(USER_TIMEOUT))?;
    let keepalive = TcpKeepalive::new()
        .with_time(KEEPALIVE_IDLE)
        .with_interval(KEEPALIVE_IDLE)
        .with_retries(KEEPALIVE_TRIES);
    options.set_tcp_keepalive(&keepalive)?;
    if end == CloseMode::Reset {
        options.set_linger(Some(Duration::ZERO))?;
    }
    let stream = timeout(CONNECT_TIMEOUT, socket.connect(address)).await??;
    stream.set_nodelay(true)?;
    let (sender, connection) = http1::Builder::new()
        .handshake(TokioIo::new(stream))
        .await
        .map_err(std::io::Error::other)?;
    tokio::spawn(async move {
        // Its error reaches whoever waits for an answer on it.
        if let Err(error) = connection.await {
            log::debug!("[link] A connection to {address} ended: {error}.");
        }
    });
    Ok(sender)
}

/// A call to one of the system's own interfaces or a server's.
#[derive(Clone, Debug)]
pub struct CallRequest {
    /// Where it goes.
    pub address: SocketAddr,
    /// The method.
    pub method: Method,
    /// The path with its query.
    pub path: String,
    /// Headers besides the host and the length.
    pub headers: HeaderMap,
    /// The body.
    pub body: Bytes,
}

/// Kept connections by address.
type IdleConnections = FastMap<SocketAddr, Vec<ConnectionSender>>;

/// Over which connections a call may go.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ConnectionReuse {
    /// A kept one, or a new one.
    Any,
    /// A kept one only.
    Kept,
}

/// Calls over kept connections, one call at a time on each.
#[derive(Debug)]
pub struct CallPool {
    end: CloseMode,
    scope: TimeoutScope,
    answer_bytes_most: usize,
    idle: Mutex<IdleConnections>,
}

/// Connections kept to one address; more are only open in a rush.
const MAX_IDLE: usize = 2;

impl CallPool {
    /// Opens a pool with no connection.
    #[must_use]
    pub fn open(
        end: CloseMode,
        scope: TimeoutScope,
        answer_bytes_most: usize,
    ) -> Self {
        Self { end, scope, answer_bytes_most, idle: Mutex::default() }
    }

    /// Makes a call; it is given up if what the pool's scope covers of its
    /// answer has not come after `limit`, or if the rest stalls.
    ///
    /// # Errors
    ///
    /// A [`CallFailure`] when no whole answer came.
    pub async fn call(
        &self,
        request: CallRequest,
        reach: ConnectionReuse,
        limit: Duration,
    ) -> Result<CallResponse, CallFailure> {
        let address = request.address;
        let sender = match self.take_idle(address).await {
            Some(sender) => sender,
            None if reach == ConnectionReuse::Kept => {
                return Err(CallFailure::NotSent);
            }
            None => dial(address, self.end)
                .await
                .map_err(|_error| CallFailure::NotSent)?,
        };
        let progress = CallProgress::begin();
        let most = self.answer_bytes_most;
        let exchange = exchange(sender, request, limit, most, &progress);
        let exchanged = match self.scope {
            TimeoutScope::ResponseHead => exchange.await,
            TimeoutScope::FullResponse => timeout(limit, exchange)
                .await
                .unwrap_or(Err(CallFailure::TimedOut)),
        };
        let (sender, answer) = exchanged.inspect_err(|failure| {
            if *failure == CallFailure::TimedOut {
                progress.log_given_up(address);
            }
        })?;
        progress.log_if_large(address);
        self.keep(address, sender);
        Ok(answer)
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

    fn keep(&self, address: SocketAddr, sender: ConnectionSender) {
        let mut idle = self.idle();
        let kept = idle.entry(address).or_default();
        if kept.len() < MAX_IDLE && !sender.is_closed() {
            kept.push(sender);
        }
    }

    fn idle(&self) -> MutexGuard<'_, IdleConnections> {
        // A list of connections is valid whatever happened to its holder.
        self.idle.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// The sender, if its connection still takes a request.
pub async fn usable(mut sender: ConnectionSender) -> Option<ConnectionSender> {
    if sender.is_closed() {
        return None;
    }
    sender.ready().await.ok().map(|()| sender)
}

/// An answer whose next bytes do not come for so long is given up.
const BODY_IDLE_TIMEOUT: Duration = Duration::from_secs(1);

/// Answers at least this long are logged: they hold up others on a link.
const LARGE_ANSWER_BYTES: usize = 64 * 1024;

/// How far an answer has come.
#[derive(Debug)]
struct CallProgress {
    sent_at: LocalTime,
    /// Milliseconds until the answer's head came; 0 until then.
    head_ms: AtomicU64,
    /// Bytes of the answer's body.
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

    fn took_ms(&self) -> u64 {
        MonotonicClock.now().since(self.sent_at).as_millis()
    }

    fn head_came(&self) {
        self.head_ms.store(self.took_ms(), Ordering::Relaxed);
    }

    fn log_given_up(&self, address: SocketAddr) {
        log::info!(
            head_ms = self.head_ms.load(Ordering::Relaxed),
            took_ms = self.took_ms(),
            bytes = self.bytes.load(Ordering::Relaxed);
            "[link] A call to {address} was given up."
        );
    }

    fn log_if_large(&self, address: SocketAddr) {
        let bytes = self.bytes.load(Ordering::Relaxed);
        if bytes >= LARGE_ANSWER_BYTES {
            log::info!(
                head_ms = self.head_ms.load(Ordering::Relaxed),
                took_ms = self.took_ms(),
                bytes = bytes;
                "[link] A large answer came from {address}."
            );
        }
    }
}

async fn exchange(
    mut sender: ConnectionSender,
    request: CallRequest,
    limit: Duration,
    answer_bytes_most: usize,
    progress: &CallProgress,
) -> Result<(ConnectionSender, CallResponse), CallFailure> {
    let silent = |_elapsed| CallFailure::TimedOut;
    let sent = sender.try_send_request(http_request(request));
    let sent = timeout(limit, sent).await.map_err(silent)?;
    let response = sent.map_err(|mut error| match error.take_message() {
        Some(_unsent) => CallFailure::NotSent,
        None => CallFailure::Unknown,
    })?;
    progress.head_came();
    let (parts, body) = response.into_parts();
    let mut body = Limited::new(body, answer_bytes_most);
    let mut bytes = BytesMut::new();
    loop {
        let frame = timeout(BODY_IDLE_TIMEOUT, body.frame()).await;
        let Some(frame) = frame.map_err(silent)? else { break };
        let frame = frame.map_err(|_error| CallFailure::Unknown)?;
        // Trailers are of no use here.
        if let Ok(data) = frame.into_data() {
            bytes.extend_from_slice(&data);
            progress.bytes.store(bytes.len(), Ordering::Relaxed);
        }
    }
    let body = bytes.freeze();
    let answer =
        CallResponse { status: parts.status, headers: parts.headers, body };
    Ok((sender, answer))
}

fn http_request(request: CallRequest) -> Request<SendBody> {
    let body = Either::Left(Full::new(request.body));
    let mut sent = Request::new(body);
    *sent.method_mut() = request.method;
    // Paths are made by this program from escaped texts and numbers.
    *sent.uri_mut() = request.path.parse().unwrap_or_default();
    *sent.headers_mut() = request.headers;
    let host = request.address.to_string();
    if let Ok(host) = HeaderValue::from_str(&host) {
        sent.headers_mut().insert(HOST, host);
    }
    sent
}

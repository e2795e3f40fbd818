//! A stand-in of a backend server that fails on demand.

use std::{
    collections::HashMap,
    net::SocketAddr,
    ops::RangeBounds,
    sync::{Arc, Mutex, MutexGuard},
    time::{Duration, Instant},
};

use serde_json::Value;
use socket2::SockRef;
use tokio::{
    io::{AsyncBufReadExt, AsyncReadExt, AsyncWriteExt, BufReader},
    net::TcpStream,
    sync::Notify,
    task::{JoinHandle, JoinSet},
    time::timeout,
};

use crate::port::HeldPort;

/// The connections that may wait to be accepted.
const BACKLOG: u32 = 1_024;

/// How long a server that repeats refusals works on a request, so that
/// requests at the same time use several connections.
const WORK_TIME: Duration = Duration::from_millis(50);

/// The end of the head of a response without end, and one chunk of its body.
const ENDLESS_FRAMING: &str = "Transfer-Encoding: chunked\r\n\r\n";
const ENDLESS_PIECE: &[u8] = b"10\r\nbytes of no end.\r\n";

/// How a server handles requests.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ServerBehavior {
    /// It runs them and responds after this time.
    Responds(Duration),
    /// It runs them and withholds the responses until its behavior changes.
    Withholds,
    /// It runs them and closes the connection without a response.
    DropsResponses,
    /// It runs them and closes the connection in the middle of each response.
    Truncates,
    /// It is overloaded: it resets the connection without running them.
    Resets,
    /// It sheds load: it responds that it did not run them.
    Sheds,
    /// It sheds load, and its responses do not say that it did not run them.
    ShedsUnmarked,
    /// It runs them and responds with the id of another request.
    WrongId,
    /// It sheds each attempt when it first arrives. Where the response to the
    /// next request on the connection is expected, it first sends the refusal
    /// again, if it echoes ids only to the same attempt.
    RepeatsRefusals { echoes: bool },
    /// It runs them and responds with this status, which may be no valid one.
    RespondsWith(&'static str),
    /// It runs them and sends bodies without end.
    #[allow(dead_code, reason = "not every test binary uses it")]
    NeverEnds,
    /// It withholds the responses to releases. On a connection that has
    /// carried an order, it first sends another response: that to the order
    /// again, or a denial.
    PrecedesReleases { denies: bool },
    /// It is overloaded: it neither runs them nor ever responds on their
    /// connection.
    Hangs,
}

#[derive(Debug)]
struct ServerState {
    behavior: ServerBehavior,
    /// The executions by attempt id.
    executions: HashMap<String, Vec<ExecutionRecord>>,
    /// Owned key ranges (first, last) with the expiry of their grant.
    grants: Vec<(u64, u64, Instant)>,
    /// Key ranges (first, last) with the tokens of the orders for them.
    seen_tokens: Vec<(u64, u64, u64)>,
    sharded: bool,
    /// Requests whose caller disconnected while the response was withheld.
    abandoned: u32,
    /// Requests that it did not run but ended with a reset.
    resets: u32,
    /// Requests that it neither ran nor responded to.
    hung: u32,
    /// Requests for another server, or for a key that it does not own.
    misdirected: u32,
    /// The rate limit that it states in its responses.
    limit: Option<String>,
    /// The backoff that it requests with each refusal, in seconds.
    retry_after: Option<String>,
    /// Whether it states in its responses that it is leaving.
    leaving: bool,
    /// The arrival times of requests since one of these was last set.
    arrived_at: Vec<Instant>,
    /// The attempt id and the arrival of all requests.
    arrivals: Vec<(String, Instant)>,
    /// The refusals with which it asked for a backoff.
    backoffs: Vec<RequestedBackoff>,
    /// A request ends it if its path contains this.
    fatal_path: Option<&'static str>,
    /// Whether it was ended.
    ended: bool,
    /// Notified when a request ends it.
    ending: Arc<Notify>,
}

/// One execution of a request, as its server saw it.
#[derive(Clone, Debug)]
#[allow(dead_code, reason = "printed when a check fails")]
pub struct ExecutionRecord {
    /// The id of the server.
    pub server: String,
    /// The address of the peer on the connection: a link or a daemon.
    pub peer: SocketAddr,
    /// The name of the cluster whose caller sent the request.
    pub cluster: String,
    pub at: Instant,
}

/// A refusal with which a server asked for a backoff.
#[derive(Clone, Debug)]
#[allow(dead_code, reason = "not every test binary reads it")]
pub struct RequestedBackoff {
    pub attempt: String,
    pub refused_at: Instant,
    pub until: Instant,
}

/// A backend server that runs until the test ends or it is stopped.
#[derive(Debug)]
pub struct ServerStandin {
    #[allow(dead_code, reason = "not every test binary reads it")]
    pub id: String,
    pub address: SocketAddr,
    state: Arc<Mutex<ServerState>>,
    task: JoinHandle<()>,
    connections: Arc<Mutex<JoinSet<()>>>,
    /// Held after the server has stopped, as daemons go on calling it.
    port: Arc<HeldPort>,
}

impl ServerStandin {
    pub fn spawn(id: &str, sharded: bool) -> Self {
        Self::spawn_at(Arc::new(HeldPort::open()), id, sharded)
    }

    fn spawn_at(port: Arc<HeldPort>, id: &str, sharded: bool) -> Self {
        let listener = port.listen(BACKLOG);
        let address = port.address;
        let ending = Arc::new(Notify::new());
        let state = Arc::new(Mutex::new(ServerState {
            behavior: ServerBehavior::Responds(Duration::ZERO),
            executions: HashMap::new(),
            grants: Vec::new(),
            seen_tokens: Vec::new(),
            sharded,
            abandoned: 0,
            resets: 0,
            hung: 0,
            misdirected: 0,
            limit: None,
            retry_after: None,
            leaving: false,
            arrived_at: Vec::new(),
            arrivals: Vec::new(),
            backoffs: Vec::new(),
            fatal_path: None,
            ended: false,
            ending: Arc::clone(&ending),
        }));
        let (task_state, task_id) = (Arc::clone(&state), id.to_owned());
        let connections = Arc::new(Mutex::new(JoinSet::new()));
        let task_connections = Arc::clone(&connections);
        let task = tokio::spawn(async move {
            loop {
                let (stream, _) =
                    listener.accept().await.expect("accept succeeds");
                let (state, id) = (Arc::clone(&task_state), task_id.clone());
                task_connections.lock().expect("lock is not poisoned").spawn(
                    async move {
                        // Callers may disconnect at any time.
                        let _left = serve(stream, &state, &id).await;
                    },
                );
            }
        });
        let (listening, open) =
            (task.abort_handle(), Arc::clone(&connections));
        tokio::spawn(async move {
            ending.notified().await;
            listening.abort();
            open.lock().expect("lock is not poisoned").abort_all();
        });
        let id = id.to_owned();
        Self { id, address, state, task, connections, port }
    }

    pub fn set_behavior(&self, behavior: ServerBehavior) {
        self.lock().behavior = behavior;
    }

    /// Sets the rate limit that it states in its responses, if any.
    #[allow(dead_code, reason = "not every test binary does")]
    pub fn set_limit(&self, limit: Option<&str>) {
        let mut state = self.lock();
        state.limit = limit.map(str::to_owned);
        state.arrived_at.clear();
    }

    /// Sheds load and asks for a backoff of this many seconds.
    #[allow(dead_code, reason = "not every test binary does")]
    pub fn shed_with_backoff(&self, seconds: &str) {
        self.set_behavior(ServerBehavior::Sheds);
        let mut state = self.lock();
        state.retry_after = Some(seconds.to_owned());
        state.arrived_at.clear();
    }

    /// Sets whether it states in its responses that it is leaving.
    #[allow(dead_code, reason = "not every test binary does")]
    pub fn set_leaving(&self, leaving: bool) {
        let mut state = self.lock();
        state.leaving = leaving;
        state.arrived_at.clear();
    }

    /// The maximum number of requests within any `window`, of those that
    /// arrived during `period` and since its rate limit was last set.
    #[allow(dead_code, reason = "not every test binary asks")]
    pub fn max_requests_within(
        &self,
        period: impl RangeBounds<Instant>,
        window: Duration,
    ) -> usize {
        let state = self.lock();
        let mut arrivals = state.arrived_at.clone();
        arrivals.retain(|moment| period.contains(moment));
        let within = |start: &Instant| {
            let inside = |moment: &&Instant| {
                **moment >= *start && moment.duration_since(*start) < window
            };
            arrivals.iter().filter(inside).count()
        };
        arrivals.iter().map(within).max().unwrap_or(0)
    }

    /// The number of executions of an attempt.
    pub fn executions_of(&self, attempt: &str) -> u32 {
        let executions = self.execution_records(attempt).len();
        u32::try_from(executions).expect("count fits in u32")
    }

    pub fn executions(&self) -> u32 {
        let executions: usize =
            self.lock().executions.values().map(Vec::len).sum();
        u32::try_from(executions).expect("count fits in u32")
    }

    /// The executions of an attempt.
    pub fn execution_records(&self, attempt: &str) -> Vec<ExecutionRecord> {
        self.lock().executions.get(attempt).cloned().unwrap_or_default()
    }

    /// Requests whose caller disconnected while the response was withheld.
    #[allow(dead_code, reason = "not every test binary asks")]
    pub fn abandoned(&self) -> u32 {
        self.lock().abandoned
    }

    /// Requests that it did not run but ended with a reset.
    #[allow(dead_code, reason = "not every test binary asks")]
    pub fn resets(&self) -> u32 {
        self.lock().resets
    }

    /// Requests that it has read since what it states was last set, but for
    /// those that it reset or never responded to.
    #[allow(dead_code, reason = "not every test binary asks")]
    pub fn arrivals(&self) -> usize {
        self.lock().arrived_at.len()
    }

    /// The attempt id and the arrival of all requests.
    #[allow(dead_code, reason = "not every test binary asks")]
    pub fn all_arrivals(&self) -> Vec<(String, Instant)> {
        self.lock().arrivals.clone()
    }

    /// The refusals with which it asked for a backoff.
    #[allow(dead_code, reason = "not every test binary asks")]
    pub fn backoffs(&self) -> Vec<RequestedBackoff> {
        self.lock().backoffs.clone()
    }

    /// Requests that it neither ran nor responded to.
    #[allow(dead_code, reason = "not every test binary asks")]
    pub fn hung(&self) -> u32 {
        self.lock().hung
    }

    /// The number of grants and releases that it has accepted.
    pub fn orders(&self) -> usize {
        self.lock().seen_tokens.len()
    }

    /// Whether it was ended by a request or killed.
    #[allow(dead_code, reason = "not every test binary asks")]
    pub fn has_ended(&self) -> bool {
        self.lock().ended
    }

    /// Sets that a request ends it if its path contains `path`.
    #[allow(dead_code, reason = "not every test binary does")]
    pub fn end_on(&self, path: &'static str) {
        self.lock().fatal_path = Some(path);
    }

    /// Sets that no request ends it.
    #[allow(dead_code, reason = "not every test binary does")]
    pub fn survive(&self) {
        self.lock().fatal_path = None;
    }

    /// Ends as its process would be killed: connections break, and new ones
    /// are refused.
    #[allow(dead_code, reason = "not every test binary ends one")]
    pub fn kill(&self) {
        self.lock().end();
    }

    /// Stops accepting connections.
    pub fn stop_accepting(&self) {
        self.task.abort();
    }

    /// Stops accepting connections and gives up the ownership of all keys.
    #[allow(dead_code, reason = "not every test binary ends one")]
    pub fn shut_down(&self) {
        self.stop_accepting();
        self.lock().grants.clear();
    }

    /// Ends without a notice to anybody, and starts a server of a service that
    /// is not sharded at the same address.
    #[allow(dead_code, reason = "not every test binary replaces one")]
    pub async fn replace(&self, id: &str) -> Self {
        self.shut_down();
        self.connections.lock().expect("lock is not poisoned").abort_all();
        while !self.task.is_finished() {
            tokio::task::yield_now().await;
        }
        Self::spawn_at(Arc::clone(&self.port), id, false)
    }

    /// Requests for another server, or for a key that it does not own.
    #[allow(dead_code, reason = "not every test binary asks")]
    pub fn misdirected(&self) -> u32 {
        self.lock().misdirected
    }

    /// Whether it owns a key now.
    pub fn owns(&self, key: u64) -> bool {
        self.lock().owns(key)
    }

    fn lock(&self) -> MutexGuard<'_, ServerState> {
        self.state.lock().expect("lock is not poisoned")
    }
}

impl ServerState {
    fn end(&mut self) {
        self.ended = true;
        self.grants.clear();
        self.ending.notify_one();
    }

    fn owns(&self, key: u64) -> bool {
        let now = Instant::now();
        let mut grants = self.grants.iter();
        grants.any(|(first, last, until)| {
            (*first..=*last).contains(&key) && *until > now
        })
    }

    /// Whether an order with a higher token was accepted for one of the keys.
    fn is_outdated(&self, order: &Value) -> bool {
        let (first, last) = bounds(order);
        let token = order["fence"].as_u64().expect("order has a token");
        let mut seen_tokens = self.seen_tokens.iter();
        seen_tokens.any(|(from, to, known)| {
            *from <= last && first <= *to && *known > token
        })
    }

    /// Records that a refused request gets the header of a backoff, and
    /// returns the header.
    fn record_backoff(&mut self, now: Instant, attempt: &str) -> String {
        let Some(text) = &self.retry_after else { return String::new() };
        let span = Duration::try_from_secs_f64(text.parse().unwrap_or(0.0));
        let until = now + span.expect("backoff is a time");
        let attempt = attempt.to_owned();
        let header = format!("Retry-After: {text}\r\n");
        let refused_at = now;
        self.backoffs.push(RequestedBackoff { attempt, refused_at, until });
        header
    }

    /// Carries out an order and returns the response.
    fn execute_order(&mut self, id: &str, request: &ReadRequest) -> String {
        let order =
            serde_json::from_slice(&request.body).expect("order is JSON");
        let is_grant = !request.is_release();
        if is_grant && self.is_outdated(&order) {
            return response("409 Conflict", "", "");
        }
        let (first, last) = bounds(&order);
        let token = order["fence"].as_u64().expect("order has a token");
        self.seen_tokens.push((first, last, token));
        if is_grant {
            self.grant(&order);
            return response("200 OK", "", "");
        }
        self.release(&order);
        let handover = format!("X-Handover: {id}-{token}\r\n");
        response("200 OK", &handover, "")
    }

    fn grant(&mut self, order: &Value) {
        let (first, last) = bounds(order);
        let duration =
            order["hold_time"].as_str().expect("duration is a string");
        let duration = duration
            .trim_end_matches("ms")
            .parse()
            .expect("duration is in milliseconds");
        let until = Instant::now() + Duration::from_millis(duration);
        self.release(order);
        self.grants.push((first, last, until));
    }

    fn release(&mut self, order: &Value) {
        let (first, last) = bounds(order);
        let previous_grants = std::mem::take(&mut self.grants);
        for (from, to, until) in previous_grants {
            if from < first {
                self.grants.push((from, to.min(first - 1), until));
            }
            if to > last {
                self.grants.push((from.max(last + 1), to, until));
            }
        }
    }
}

fn bounds(order: &Value) -> (u64, u64) {
    let first = order["from"].as_u64().expect("order has a range");
    (first, order["target"].as_u64().expect("order has a range"))
}

/// A request that was read completely.
struct ReadRequest {
    peer: SocketAddr,
    path: String,
    headers: HashMap<String, String>,
    body: Vec<u8>,
}

impl ReadRequest {
    fn attempt(&self) -> String {
        self.headers.get("x-attempt-id").cloned().unwrap_or_default()
    }

    fn is_order(&self) -> bool {
        self.path.starts_with("/v1/")
    }

    fn is_release(&self) -> bool {
        self.path == "/v1/release"
    }
}

async fn read(
    stream: &mut BufReader<TcpStream>,
) -> std::io::Result<Option<ReadRequest>> {
    let peer = stream.get_ref().peer_addr()?;
    let mut line = String::new();
    if stream.read_line(&mut line).await? == 0 {
        return Ok(None);
    }
    let path = line.split(' ').nth(1).unwrap_or("").to_owned();
    let mut headers = HashMap::new();
    loop {
        let mut line = String::new();
        stream.read_line(&mut line).await?;
        let Some((name, value)) = line.trim_end().split_once(':') else {
            break;
        };
        headers.insert(name.to_lowercase(), value.trim().to_owned());
    }
    let length = headers.get("content-length");
    let length = length.and_then(|text| text.parse().ok()).unwrap_or(0);
    let mut body = vec![0; length];
    stream.read_exact(&mut body).await?;
    Ok(Some(ReadRequest { peer, path, headers, body }))
}

async fn serve(
    stream: TcpStream,
    state: &Mutex<ServerState>,
    id: &str,
) -> std::io::Result<()> {
    let mut stream = BufReader::new(stream);
    let mut last = LastResponse::default();
    while let Some(request) = read(&mut stream).await? {
        if is_reset(state, &request) {
            let socket = SockRef::from(stream.get_ref());
            return socket.set_linger(Some(Duration::ZERO));
        }
        if hangs(state, &request) {
            // The read ends when the caller disconnects.
            let mut rest = Vec::new();
            stream.read_to_end(&mut rest).await?;
            return Ok(());
        }
        let (mut head, wait, close) = respond(state, id, &request);
        if state.lock().expect("lock is not poisoned").leaving {
            head = head.replacen("\r\n", "\r\nServer-Leaving: 1\r\n", 1);
        }
        if state.lock().expect("lock is not poisoned").ended {
            return std::future::pending().await;
        }
        if let Some(extra) = last.extra(state, &request) {
            stream.get_mut().write_all(extra.as_bytes()).await?;
        }
        tokio::time::sleep(wait).await;
        wait_released(&mut stream, state, &request).await?;
        stream.get_mut().write_all(head.as_bytes()).await?;
        // The write fails when the caller disconnects.
        while head.ends_with(ENDLESS_FRAMING) {
            stream.get_mut().write_all(ENDLESS_PIECE).await?;
            tokio::time::sleep(Duration::from_millis(1)).await;
        }
        let attempt = request.attempt();
        last = LastResponse { attempt, is_order: request.is_order(), head };
        if close {
            return Ok(());
        }
    }
    Ok(())
}

/// The last response on a connection.
#[derive(Default)]
struct LastResponse {
    /// The attempt id of its request.
    attempt: String,
    is_order: bool,
    head: String,
}

impl LastResponse {
    /// What is sent before the response to a request, if anything is.
    fn extra(
        &self,
        state: &Mutex<ServerState>,
        request: &ReadRequest,
    ) -> Option<String> {
        let state = state.lock().expect("lock is not poisoned");
        let copy = || Some(self.head.clone());
        match state.behavior {
            ServerBehavior::RepeatsRefusals { echoes } => {
                let fits = !echoes || self.attempt == request.attempt();
                let refused = self.head.contains("X-Not-Executed");
                copy().filter(|_head| refused && fits)
            }
            ServerBehavior::PrecedesReleases { denies } => {
                let fits = self.is_order && request.is_release();
                let denial = "421 Misdirected Request";
                let denied = denies.then(|| response(denial, "", ""));
                denied.or_else(copy).filter(|_head| fits)
            }
            _ => None,
        }
    }
}

/// Whether a request is to end with a reset of its connection. Orders are
/// never reset.
fn is_reset(state: &Mutex<ServerState>, request: &ReadRequest) -> bool {
    let mut state = state.lock().expect("lock is not poisoned");
    let resets =
        state.behavior == ServerBehavior::Resets && !request.is_order();
    if resets {
        state.resets += 1;
    }
    resets
}

/// Whether a request is never to get a response. Orders always get one.
fn hangs(state: &Mutex<ServerState>, request: &ReadRequest) -> bool {
    let mut state = state.lock().expect("lock is not poisoned");
    let hangs = state.behavior == ServerBehavior::Hangs && !request.is_order();
    if hangs {
        state.hung += 1;
    }
    hangs
}

/// Waits while responses are withheld; fails if the caller disconnects.
async fn wait_released(
    stream: &mut BufReader<TcpStream>,
    state: &Mutex<ServerState>,
    request: &ReadRequest,
) -> std::io::Result<()> {
    let withholds = || {
        let state = state.lock().expect("lock is not poisoned");
        match state.behavior {
            ServerBehavior::Withholds => true,
            ServerBehavior::PrecedesReleases { .. } => request.is_release(),
            _ => false,
        }
    };
    while withholds() {
        let pause = Duration::from_millis(10);
        if let Ok(read) = timeout(pause, stream.fill_buf()).await
            && read?.is_empty()
        {
            state.lock().expect("lock is not poisoned").abandoned += 1;
            return Err(std::io::ErrorKind::UnexpectedEof.into());
        }
    }
    Ok(())
}

/// Returns the response as text, the delay before it, and whether the
/// connection is closed after it.
fn respond(
    state: &Mutex<ServerState>,
    id: &str,
    request: &ReadRequest,
) -> (String, Duration, bool) {
    let mut state = state.lock().expect("lock is not poisoned");
    let header = |name: &str| request.headers.get(name).cloned();
    let attempt = request.attempt();
    let echo = format!("X-Attempt-Id: {attempt}\r\n");
    let refusal = "X-Not-Executed: 1\r\n";
    let order = request.is_order();
    // A server of a service that is not sharded accepts no orders.
    if order && !state.sharded {
        let head = response("400 Bad Request", "", "");
        return (head, Duration::ZERO, false);
    }
    if header("x-expect-instance").is_some_and(|named| named != id) {
        state.misdirected += u32::from(!order);
        let head = response("421 Misdirected Request", refusal, "");
        return (head, Duration::ZERO, false);
    }
    if order {
        let head = state.execute_order(id, request);
        return (head, Duration::ZERO, false);
    }
    let now = Instant::now();
    state.arrived_at.push(now);
    state.arrivals.push((attempt.clone(), now));
    let key = header("x-shard-key").and_then(|text| text.parse().ok());
    if state.sharded && !key.is_some_and(|key| state.owns(key)) {
        state.misdirected += 1;
        let head = response("421 Misdirected Request", refusal, "");
        return (head, Duration::ZERO, false);
    }
    if let ServerBehavior::RepeatsRefusals { echoes } = state.behavior
        && state.arrivals.iter().filter(|(id, _)| *id == attempt).count() == 1
    {
        let echo = if echoes { &*echo } else { "" };
        let headers = format!("{echo}{refusal}");
        let head = response("503 Service Unavailable", &headers, "");
        return (head, Duration::ZERO, false);
    }
    let unmarked = state.behavior == ServerBehavior::ShedsUnmarked;
    if unmarked || state.behavior == ServerBehavior::Sheds {
        let backoff = state.record_backoff(now, &attempt);
        let refusal = if unmarked { "" } else { refusal };
        let headers = format!("{echo}{refusal}{backoff}");
        let head = response("503 Service Unavailable", &headers, "");
        return (head, Duration::ZERO, false);
    }
    let record = ExecutionRecord {
        server: id.to_owned(),
        peer: request.peer,
        cluster: header("x-test-cluster").unwrap_or_default(),
        at: now,
    };
    state.executions.entry(attempt).or_default().push(record);
    if state.fatal_path.is_some_and(|path| request.path.contains(path)) {
        state.end();
    }
    let stamp = format!("X-Response-Stamp: by-{id}\r\n");
    let limit = state.limit.as_ref();
    let limit = limit.map(|limit| format!("Server-Limit: {limit}\r\n"));
    let limit = limit.unwrap_or_default();
    let complete = response("200 OK", &format!("{echo}{stamp}{limit}"), id);
    match state.behavior {
        ServerBehavior::DropsResponses => {
            (String::new(), Duration::ZERO, true)
        }
        ServerBehavior::Truncates => {
            let truncated = complete[..complete.len() - 1].to_owned();
            (truncated, Duration::ZERO, true)
        }
        ServerBehavior::WrongId => {
            let headers = format!("X-Attempt-Id: another\r\n{stamp}");
            (response("200 OK", &headers, id), Duration::ZERO, false)
        }
        ServerBehavior::NeverEnds => {
            let headers = format!("{echo}{stamp}");
            let head =
                format!("HTTP/1.1 200 OK\r\n{headers}{ENDLESS_FRAMING}");
            (head, Duration::ZERO, false)
        }
        ServerBehavior::Responds(wait) => (complete, wait, false),
        ServerBehavior::RespondsWith(status) => {
            let head = complete.replacen("200 OK", status, 1);
            (head, Duration::ZERO, false)
        }
        ServerBehavior::Withholds
        | ServerBehavior::PrecedesReleases { .. } => {
            (complete, Duration::ZERO, false)
        }
        ServerBehavior::RepeatsRefusals { .. } => (complete, WORK_TIME, false),
        ServerBehavior::Sheds
        | ServerBehavior::ShedsUnmarked
        | ServerBehavior::Resets
        | ServerBehavior::Hangs => {
            unreachable!("handled above")
        }
    }
}

fn response(status: &str, headers: &str, body: &str) -> String {
    let length = body.len();
    format!(
        "HTTP/1.1 {status}\r\n{headers}Content-Length: {length}\r\n\r\n{body}"
    )
}

//! A stand-in of a backend server that misbehaves on demand.

use std::{
    collections::HashMap,
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard},
    time::{Duration, Instant},
};

use serde_json::Value;
use socket2::SockRef;
use tokio::{
    io::{AsyncBufReadExt, AsyncReadExt, AsyncWriteExt, BufReader},
    net::{TcpListener, TcpStream},
    task::{JoinHandle, JoinSet},
    time::timeout,
};

/// What a server does with requests.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ServerManner {
    /// It runs and answers them, after this time.
    Works(Duration),
    /// It runs them, and answers once it works again.
    Holds,
    /// It runs them and closes the connection in place of an answer.
    LosesAnswers,
    /// It runs them and breaks off in the middle of each answer.
    BreaksOff,
    /// It is full, and resets the connection in place of an answer.
    Resets,
    /// It states that it did not run them.
    Sheds,
    /// It answers with the id of another request.
    MixesUp,
    /// It is full, and answers nothing on the connection any more.
    Hangs,
}

#[derive(Debug)]
struct ServerState {
    manner: ServerManner,
    /// How often each attempt was run.
    runs: HashMap<String, u32>,
    /// Runs of keys with the end of their hold.
    holds: Vec<(u64, u64, Instant)>,
    /// Runs of keys with the tokens seen on them.
    seen: Vec<(u64, u64, u64)>,
    divided: bool,
    /// Requests whose caller left while their answer was held back.
    abandoned: u32,
    /// Requests that it did not run as it was full.
    resets: u32,
    /// Requests that it neither ran nor answered.
    hung: u32,
    /// Requests that were meant for another server or key.
    misdirected: u32,
    /// The limit that it names in its answers.
    limit: Option<String>,
    /// When requests came while it named one.
    limited: Vec<Instant>,
}

/// A backend server; it ends with the test, or when it is stopped.
#[derive(Debug)]
pub struct ServerStandin {
    pub address: SocketAddr,
    state: Arc<Mutex<ServerState>>,
    task: JoinHandle<()>,
    links: Arc<Mutex<JoinSet<()>>>,
}

impl ServerStandin {
    pub async fn spawn(id: &str, divided: bool) -> Self {
        let any = SocketAddr::from(([127, 0, 0, 1], 0));
        Self::spawn_at(any, id, divided).await
    }

    async fn spawn_at(place: SocketAddr, id: &str, divided: bool) -> Self {
        let listener = TcpListener::bind(place).await.expect("a port");
        let address = listener.local_addr().expect("an address");
        let state = Arc::new(Mutex::new(ServerState {
            manner: ServerManner::Works(Duration::ZERO),
            runs: HashMap::new(),
            holds: Vec::new(),
            seen: Vec::new(),
            divided,
            abandoned: 0,
            resets: 0,
            hung: 0,
            misdirected: 0,
            limit: None,
            limited: Vec::new(),
        }));
        let (known, name) = (Arc::clone(&state), id.to_owned());
        let links = Arc::new(Mutex::new(JoinSet::new()));
        let opened = Arc::clone(&links);
        let task = tokio::spawn(async move {
            loop {
                let (stream, _) = listener.accept().await.expect("a caller");
                let (state, id) = (Arc::clone(&known), name.clone());
                opened.lock().expect("no handler panics").spawn(async move {
                    // Callers may leave at any time.
                    let _left = serve(stream, &state, &id).await;
                });
            }
        });
        Self { address, state, task, links }
    }

    pub fn set_manner(&self, manner: ServerManner) {
        self.lock().manner = manner;
    }

    /// Names a limit in its answers from now on, or no longer.
    #[allow(dead_code, reason = "not every test binary does")]
    pub fn name_limit(&self, limit: Option<&str>) {
        let mut state = self.lock();
        state.limit = limit.map(str::to_owned);
        state.limited.clear();
    }

    /// The most requests that came in so long a time, later than `settled`
    /// after a limit was named.
    #[allow(dead_code, reason = "not every test binary asks")]
    pub fn most_limited(&self, settled: Instant, span: Duration) -> usize {
        let state = self.lock();
        let mut came = state.limited.clone();
        came.retain(|moment| *moment >= settled);
        let within = |begin: &Instant| {
            let inside = |moment: &&Instant| {
                **moment >= *begin && moment.duration_since(*begin) < span
            };
            came.iter().filter(inside).count()
        };
        came.iter().map(within).max().unwrap_or(0)
    }

    /// How often an attempt was run.
    pub fn runs_of(&self, attempt: &str) -> u32 {
        self.lock().runs.get(attempt).copied().unwrap_or(0)
    }

    pub fn runs(&self) -> u32 {
        self.lock().runs.values().sum()
    }

    /// Requests whose caller left while their answer was held back.
    #[allow(dead_code, reason = "not every test binary asks")]
    pub fn abandoned(&self) -> u32 {
        self.lock().abandoned
    }

    /// Requests that it did not run as it was full.
    #[allow(dead_code, reason = "not every test binary asks")]
    pub fn resets(&self) -> u32 {
        self.lock().resets
    }

    /// Requests that it neither ran nor answered.
    #[allow(dead_code, reason = "not every test binary asks")]
    pub fn hung(&self) -> u32 {
        self.lock().hung
    }

    /// Grants and releases that it has taken.
    pub fn orders(&self) -> usize {
        self.lock().seen.len()
    }

    /// Takes no more connections.
    pub fn stop(&self) {
        self.task.abort();
    }

    /// Ends: nothing is taken any more, and nothing is held.
    #[allow(dead_code, reason = "not every test binary ends one")]
    pub fn end(&self) {
        self.stop();
        self.lock().holds.clear();
    }

    /// Ends without a word; a server of a service that is not divided gets
    /// its address.
    #[allow(dead_code, reason = "not every test binary replaces one")]
    pub async fn replace(&self, id: &str) -> Self {
        self.end();
        self.links.lock().expect("no handler panics").abort_all();
        while !self.task.is_finished() {
            tokio::task::yield_now().await;
        }
        Self::spawn_at(self.address, id, false).await
    }

    /// Requests that were meant for another server or key.
    #[allow(dead_code, reason = "not every test binary asks")]
    pub fn misdirected(&self) -> u32 {
        self.lock().misdirected
    }

    /// Whether it holds a key now.
    pub fn holds(&self, key: u64) -> bool {
        self.lock().holds(key)
    }

    fn lock(&self) -> MutexGuard<'_, ServerState> {
        self.state.lock().expect("no handler panics")
    }
}

impl ServerState {
    fn holds(&self, key: u64) -> bool {
        let now = Instant::now();
        let mut holds = self.holds.iter();
        holds.any(|(first, last, until)| {
            (*first..=*last).contains(&key) && *until > now
        })
    }

    /// Whether a higher token was seen on one of the keys.
    fn is_outdated(&self, order: &Value) -> bool {
        let (first, last) = bounds(order);
        let token = order["fence"].as_u64().expect("a token");
        let mut seen = self.seen.iter();
        seen.any(|(from, to, known)| {
            *from <= last && first <= *to && *known > token
        })
    }

    fn grant(&mut self, order: &Value) {
        let (first, last) = bounds(order);
        let span = order["hold_time"].as_str().expect("a span");
        let span = span.trim_end_matches("ms").parse().expect("a number");
        let until = Instant::now() + Duration::from_millis(span);
        self.release(order);
        self.holds.push((first, last, until));
    }

    fn release(&mut self, order: &Value) {
        let (first, last) = bounds(order);
        let held = std::mem::take(&mut self.holds);
        for (from, to, until) in held {
            if from < first {
                self.holds.push((from, to.min(first - 1), until));
            }
            if to > last {
                self.holds.push((from.max(last + 1), to, until));
            }
        }
    }
}

fn bounds(order: &Value) -> (u64, u64) {
    let first = order["from"].as_u64().expect("a key");
    (first, order["target"].as_u64().expect("a key"))
}

/// One request as it was read.
struct ReadRequest {
    path: String,
    headers: HashMap<String, String>,
    body: Vec<u8>,
}

async fn read(
    stream: &mut BufReader<TcpStream>,
) -> std::io::Result<Option<ReadRequest>> {
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
    Ok(Some(ReadRequest { path, headers, body }))
}

async fn serve(
    stream: TcpStream,
    state: &Mutex<ServerState>,
    id: &str,
) -> std::io::Result<()> {
    let mut stream = BufReader::new(stream);
    while let Some(request) = read(&mut stream).await? {
        if is_reset(state, &request) {
            let socket = SockRef::from(stream.get_ref());
            return socket.set_linger(Some(Duration::ZERO));
        }
        if hangs(state, &request) {
            // The caller's leaving ends the read.
            let mut rest = Vec::new();
            stream.read_to_end(&mut rest).await?;
            return Ok(());
        }
        let (head, wait, close) = answer(state, id, &request);
        tokio::time::sleep(wait).await;
        wait_released(&mut stream, state).await?;
        stream.get_mut().write_all(head.as_bytes()).await?;
        if close {
            return Ok(());
        }
    }
    Ok(())
}

/// Whether a request of a caller ends with a reset of its connection.
fn is_reset(state: &Mutex<ServerState>, request: &ReadRequest) -> bool {
    let mut state = state.lock().expect("no handler panics");
    let resets = state.manner == ServerManner::Resets
        && !request.path.starts_with("/v1/");
    if resets {
        state.resets += 1;
    }
    resets
}

/// Whether a request of a caller is never answered.
fn hangs(state: &Mutex<ServerState>, request: &ReadRequest) -> bool {
    let mut state = state.lock().expect("no handler panics");
    let hangs = state.manner == ServerManner::Hangs
        && !request.path.starts_with("/v1/");
    if hangs {
        state.hung += 1;
    }
    hangs
}

/// Waits while answers are held back; an error if the caller leaves.
async fn wait_released(
    stream: &mut BufReader<TcpStream>,
    state: &Mutex<ServerState>,
) -> std::io::Result<()> {
    let holds = || {
        let state = state.lock().expect("no handler panics");
        state.manner == ServerManner::Holds
    };
    while holds() {
        let pause = Duration::from_millis(10);
        if let Ok(read) = timeout(pause, stream.fill_buf()).await
            && read?.is_empty()
        {
            state.lock().expect("no handler panics").abandoned += 1;
            return Err(std::io::ErrorKind::UnexpectedEof.into());
        }
    }
    Ok(())
}

/// The bytes of the answer, the time until it, and whether the connection
/// ends.
fn answer(
    state: &Mutex<ServerState>,
    id: &str,
    request: &ReadRequest,
) -> (String, Duration, bool) {
    let mut state = state.lock().expect("no handler panics");
    let header = |name: &str| request.headers.get(name).cloned();
    let attempt = header("x-attempt-id").unwrap_or_default();
    let echo = format!("X-Attempt-Id: {attempt}\r\n");
    let refusal = "X-Not-Executed: 1\r\n";
    let order = request.path.starts_with("/v1/");
    // A server of a service that is not divided knows no orders.
    if order && !state.divided {
        let head = response("400 Bad Request", "", "");
        return (head, Duration::ZERO, false);
    }
    if header("x-expect-instance").is_some_and(|named| named != id) {
        state.misdirected += u32::from(!order);
        let head = response("421 Misdirected Request", refusal, "");
        return (head, Duration::ZERO, false);
    }
    if order {
        let order = serde_json::from_slice(&request.body).expect("an order");
        let grant = request.path == "/v1/grant";
        if grant && state.is_outdated(&order) {
            let head = response("409 Conflict", "", "");
            return (head, Duration::ZERO, false);
        }
        let (first, last) = bounds(&order);
        let token = order["fence"].as_u64().expect("a token");
        state.seen.push((first, last, token));
        if grant {
            state.grant(&order);
        } else {
            state.release(&order);
        }
        return (response("200 OK", "", ""), Duration::ZERO, false);
    }
    if state.limit.is_some() {
        state.limited.push(Instant::now());
    }
    let key = header("x-shard-key").and_then(|text| text.parse().ok());
    if state.divided && !key.is_some_and(|key| state.holds(key)) {
        state.misdirected += 1;
        let head = response("421 Misdirected Request", refusal, "");
        return (head, Duration::ZERO, false);
    }
    if state.manner == ServerManner::Sheds {
        let headers = format!("{echo}{refusal}");
        let head = response("503 Service Unavailable", &headers, "");
        return (head, Duration::ZERO, false);
    }
    *state.runs.entry(attempt).or_default() += 1;
    let stamp = format!("X-Response-Stamp: by-{id}\r\n");
    let limit = state.limit.as_ref();
    let limit = limit.map(|limit| format!("Server-Limit: {limit}\r\n"));
    let limit = limit.unwrap_or_default();
    let whole = response("200 OK", &format!("{echo}{stamp}{limit}"), id);
    match state.manner {
        ServerManner::LosesAnswers => (String::new(), Duration::ZERO, true),
        ServerManner::BreaksOff => {
            let half = whole[..whole.len() - 1].to_owned();
            (half, Duration::ZERO, true)
        }
        ServerManner::MixesUp => {
            let headers = format!("X-Attempt-Id: another\r\n{stamp}");
            (response("200 OK", &headers, id), Duration::ZERO, false)
        }
        ServerManner::Works(wait) => (whole, wait, false),
        ServerManner::Holds => (whole, Duration::ZERO, false),
        ServerManner::Sheds | ServerManner::Resets | ServerManner::Hangs => {
            unreachable!("answered above")
        }
    }
}

fn response(status: &str, headers: &str, body: &str) -> String {
    let length = body.len();
    format!(
        "HTTP/1.1 {status}\r\n{headers}Content-Length: {length}\r\n\r\n{body}"
    )
}

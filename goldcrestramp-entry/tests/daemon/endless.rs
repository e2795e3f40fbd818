//! Responses without end take bounded time and memory, and are never taken for
//! complete ones; slow responses that are complete arrive.

use std::{
    collections::HashMap,
    net::SocketAddr,
    sync::{Arc, Mutex},
    thread,
    time::Duration,
};

use reqwest::{Client, Method, RequestBuilder, StatusCode};
use serde_json::{Value, json};
use tokio::{
    io::{AsyncBufReadExt, AsyncReadExt, AsyncWriteExt, BufReader},
    net::{TcpListener, TcpStream},
    runtime::Builder,
    task::JoinSet,
    time::timeout,
};

use crate::{
    cluster::{POOLED, configuration, entry_at, eventually},
    node::NodeProcess,
    port::HeldPort,
    store::StoreStandin,
};

/// The timeout of all routes.
const ROUTE_TIMEOUT: Duration = Duration::from_secs(1);

/// A response without end takes no longer than this: the timeout, the time
/// that a late response may take, and a busy machine.
const MAX_DURATION: Duration = Duration::from_secs(15);

/// What a VM that holds no response as a whole stays below, in bytes.
const MAX_MEMORY: u64 = 64 * 1_024 * 1_024;

/// The requests of each test that are sent at once.
const REQUESTS: usize = 6;

/// The size of a response that is streamed, and of one that exceeds the
/// buffers of the connections.
const STREAMED_BYTES: usize = 1 << 20;
const LARGE_BYTES: usize = 24 << 20;

/// The bytes that a server without end writes at once.
const PIECE: [u8; 16 * 1_024] = [b'x'; 16 * 1_024];

/// How a server responds.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum ResponseShape {
    /// A header whose value does not end.
    EndlessHeader,
    /// Headers without end.
    EndlessHeaders,
    /// Interim responses without end.
    EndlessInterim,
    /// A chunked body without end.
    EndlessChunks,
    /// A chunk size whose extension does not end.
    EndlessExtension,
    /// A body that ends with its connection, which stays open.
    EndlessUnframed,
    /// A body with a length that it never reaches.
    EndlessLength,
    /// A chunked body without end, of which all but the start comes a few
    /// bytes at a time.
    EndlessDrip,
    /// A streamed body in pieces, for two seconds longer than its request has.
    Slow { has_length: bool },
    /// A large body as fast as it is read.
    Large { has_length: bool },
}

impl ResponseShape {
    /// The bytes before the body.
    fn head(self, attempt: &str) -> String {
        let framing = match self {
            Self::EndlessHeader => "X-Endless: ",
            Self::EndlessHeaders => "",
            Self::EndlessInterim => return String::new(),
            Self::EndlessUnframed => "\r\n",
            Self::EndlessLength => {
                "Content-Length: 1152921504606846976\r\n\r\n"
            }
            Self::EndlessExtension => "Transfer-Encoding: chunked\r\n\r\n1;",
            Self::EndlessChunks | Self::EndlessDrip => {
                "Transfer-Encoding: chunked\r\n\r\n"
            }
            Self::Slow { has_length } | Self::Large { has_length } => {
                return if has_length {
                    let length = self.body_bytes();
                    head(attempt, &format!("Content-Length: {length}\r\n\r\n"))
                } else {
                    head(attempt, "Transfer-Encoding: chunked\r\n\r\n")
                };
            }
        };
        head(attempt, framing)
    }

    /// The bytes that are sent again and again.
    fn piece(self) -> Vec<u8> {
        match self {
            Self::EndlessHeaders => b"X-Endless: x\r\n".repeat(1_000),
            Self::EndlessInterim => {
                b"HTTP/1.1 103 Early Hints\r\n\r\n".repeat(500)
            }
            Self::EndlessChunks => chunk(&PIECE),
            Self::EndlessDrip => chunk(b"x"),
            _ => PIECE.to_vec(),
        }
    }

    /// The size of a body that ends.
    const fn body_bytes(self) -> usize {
        match self {
            Self::Slow { .. } => STREAMED_BYTES,
            _ => LARGE_BYTES,
        }
    }

    /// The delay after each piece of the body.
    const fn pause(self) -> Duration {
        let pieces = STREAMED_BYTES / PIECE.len();
        match self {
            Self::Slow { .. } => Duration::from_millis(3_000 / pieces as u64),
            Self::EndlessDrip => Duration::from_millis(20),
            _ => Duration::ZERO,
        }
    }

    async fn send(
        self,
        stream: &mut TcpStream,
        attempt: &str,
    ) -> std::io::Result<()> {
        stream.write_all(self.head(attempt).as_bytes()).await?;
        let (Self::Slow { has_length } | Self::Large { has_length }) = self
        else {
            if self == Self::EndlessDrip {
                let start = vec![b'x'; STREAMED_BYTES];
                stream.write_all(&chunk(&start)).await?;
            }
            let piece = self.piece();
            loop {
                stream.write_all(&piece).await?;
                tokio::time::sleep(self.pause()).await;
            }
        };
        let piece = if has_length { PIECE.to_vec() } else { chunk(&PIECE) };
        for _ in 0..self.body_bytes() / PIECE.len() {
            stream.write_all(&piece).await?;
            tokio::time::sleep(self.pause()).await;
        }
        if !has_length {
            stream.write_all(b"0\r\n\r\n").await?;
        }
        Ok(())
    }
}

fn head(attempt: &str, rest: &str) -> String {
    format!(
        "HTTP/1.1 200 OK\r\nX-Attempt-Id: {attempt}\r\n\
         X-Response-Stamp: stamp\r\n{rest}"
    )
}

fn chunk(bytes: &[u8]) -> Vec<u8> {
    let mut chunk = format!("{:x}\r\n", bytes.len()).into_bytes();
    chunk.extend_from_slice(bytes);
    chunk.extend_from_slice(b"\r\n");
    chunk
}

/// What a server has seen.
#[derive(Debug, Default)]
struct ServerRecord {
    /// The executions by attempt id.
    executions: HashMap<String, u32>,
    /// The responses that are being sent.
    open: usize,
}

impl ServerRecord {
    fn begin(&mut self, attempt: &str) {
        *self.executions.entry(attempt.to_owned()).or_default() += 1;
        self.open += 1;
    }
}

/// A server that responds to each request in one way. It has a thread of its
/// own, so that what it sends does not delay the callers of a test; the thread
/// ends with its test process.
struct EndlessServer {
    address: SocketAddr,
    record: Arc<Mutex<ServerRecord>>,
}

impl EndlessServer {
    fn spawn(shape: ResponseShape) -> Self {
        let port = HeldPort::open();
        let address = port.address;
        let listener = port.listen(1_024).into_std();
        let listener = listener.expect("listener is handed over");
        let record: Arc<Mutex<ServerRecord>> = Arc::default();
        let shared = Arc::clone(&record);
        thread::spawn(move || {
            let runtime = Builder::new_current_thread().enable_all().build();
            let runtime = runtime.expect("runtime starts");
            runtime.block_on(accept(listener, shape, &shared));
            drop(port);
        });
        Self { address, record }
    }

    fn executions_of(&self, attempt: &str) -> u32 {
        let record = self.record.lock().expect("lock is not poisoned");
        record.executions.get(attempt).copied().unwrap_or(0)
    }

    /// The responses that are being sent.
    fn open_responses(&self) -> usize {
        self.record.lock().expect("lock is not poisoned").open
    }
}

async fn accept(
    listener: std::net::TcpListener,
    shape: ResponseShape,
    record: &Arc<Mutex<ServerRecord>>,
) {
    let listener = TcpListener::from_std(listener);
    let listener = listener.expect("listener is taken over");
    loop {
        let accepted = listener.accept().await;
        let (stream, _) = accepted.expect("accept succeeds");
        let record = Arc::clone(record);
        tokio::spawn(async move {
            // The daemon may disconnect at any time.
            let _left = serve(stream, shape, &record).await;
        });
    }
}

async fn serve(
    stream: TcpStream,
    shape: ResponseShape,
    record: &Mutex<ServerRecord>,
) -> std::io::Result<()> {
    let mut stream = BufReader::new(stream);
    loop {
        let mut head = String::new();
        while !head.ends_with("\r\n\r\n") {
            if stream.read_line(&mut head).await? == 0 {
                return Ok(());
            }
        }
        let attempt = head.lines().find_map(|line| {
            let (name, value) = line.split_once(':')?;
            name.eq_ignore_ascii_case("x-attempt-id").then(|| value.trim())
        });
        let attempt = attempt.unwrap_or_default();
        record.lock().expect("lock is not poisoned").begin(attempt);
        let sent = shape.send(stream.get_mut(), attempt).await;
        record.lock().expect("lock is not poisoned").open -= 1;
        sent?;
    }
}

/// A daemon, and the only server of its service.
struct EndlessCluster {
    server: EndlessServer,
    node: NodeProcess,
    http: Client,
    _store: StoreStandin,
}

impl EndlessCluster {
    async fn start(shape: ResponseShape) -> Self {
        let server = EndlessServer::spawn(shape);
        let store = StoreStandin::spawn().await;
        store.put("op/config", &routes());
        let entry = entry_at(server.address, POOLED, "ready");
        store.put("servers/endless", &entry);
        let node = NodeProcess::spawn("vm", store.address);
        let http = Client::builder().no_proxy().build();
        let http = http.expect("client builds");
        let cluster = Self { server, node, http, _store: store };
        let url = format!("http://{}/v1/ready", cluster.node.ready);
        eventually(async || {
            let ready = cluster.http.get(&url).send().await;
            ready.is_ok_and(|response| response.status() == 200)
        })
        .await;
        cluster
    }

    fn request(
        &self,
        method: Method,
        path: &str,
        attempt: &str,
    ) -> RequestBuilder {
        let url = format!("http://{}{path}", self.node.traffic);
        self.http
            .request(method, url)
            .header("Host", "shop.example")
            .header("X-Attempt-Id", attempt)
    }

    /// Checks that the daemon disconnects from the server, and its memory.
    async fn check_released(&self) {
        eventually(async || self.server.open_responses() == 0).await;
        let peak = self.node.peak_memory();
        assert!(peak < MAX_MEMORY, "{peak} bytes");
    }
}

/// Routes for orders, lookups and downloads with one timeout.
fn routes() -> Value {
    let mut changed = configuration(1, Some("/file/"));
    let routes = changed["routes"].as_object_mut().expect("routes exist");
    routes["more"]["kind"] = json!("download");
    for route in routes.values_mut() {
        let millis = ROUTE_TIMEOUT.as_millis();
        route["timeout"] = json!(format!("{millis}ms"));
    }
    changed
}

/// How a request ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum RequestEnd {
    /// With this status and a complete body.
    Complete(StatusCode),
    /// The response broke off.
    Broken,
}

async fn send(request: RequestBuilder) -> RequestEnd {
    let Ok(mut response) = request.send().await else {
        return RequestEnd::Broken;
    };
    loop {
        match response.chunk().await {
            Ok(Some(_bytes)) => {}
            Ok(None) => return RequestEnd::Complete(response.status()),
            Err(_error) => return RequestEnd::Broken,
        }
    }
}

/// Sends requests to a server whose responses don't end, and returns how each
/// ended, with its executions.
async fn send_to_endless(
    shape: ResponseShape,
    method: &Method,
    path: &str,
) -> Vec<(RequestEnd, u32)> {
    let cluster = EndlessCluster::start(shape).await;
    let mut requests = JoinSet::new();
    for number in 0..REQUESTS {
        let attempt = format!("attempt-{number}");
        let request = cluster.request(method.clone(), path, &attempt);
        requests.spawn(async move { (attempt, send(request).await) });
    }

    let ends = timeout(MAX_DURATION, requests.join_all()).await;

    let ends = ends.expect("all requests end in time");
    cluster.check_released().await;
    let ends = ends.into_iter();
    ends.map(|(id, end)| (end, cluster.server.executions_of(&id))).collect()
}

/// Guards against a VM that reads a head without end, and against a response
/// that says that an order has not run.
async fn survives_endless_head(shape: ResponseShape) {
    let ends = send_to_endless(shape, &Method::POST, "/order/1").await;

    let mut sent = 0;
    for (end, executions) in ends {
        match end {
            RequestEnd::Complete(StatusCode::SERVICE_UNAVAILABLE) => {
                assert_eq!(
                    executions, 0,
                    "{shape:?}: a refused order has run"
                );
            }
            RequestEnd::Complete(status) => {
                assert!(status.is_server_error(), "{shape:?}: {status}");
                assert_eq!(executions, 1, "{shape:?}");
                sent += 1;
            }
            RequestEnd::Broken => panic!("{shape:?}: no response"),
        }
    }
    assert!(sent > 0, "{shape:?}: no order was sent");
}

#[tokio::test]
async fn heads_without_end_fail_their_requests() {
    tokio::join!(
        survives_endless_head(ResponseShape::EndlessHeader),
        survives_endless_head(ResponseShape::EndlessHeaders),
        survives_endless_head(ResponseShape::EndlessInterim),
    );
}

/// Guards against a VM that passes a body without end on for as long as its
/// server sends, and against one that looks complete.
async fn survives_endless_body(shape: ResponseShape) {
    let ends = send_to_endless(shape, &Method::GET, "/file/1").await;

    let mut sent = 0;
    for (end, executions) in ends {
        let succeeded =
            matches!(end, RequestEnd::Complete(status) if status.is_success());
        assert!(!succeeded, "{shape:?}: looks complete");
        sent += executions;
    }
    assert!(sent > 0, "{shape:?}: no request was sent");
}

#[tokio::test]
async fn bodies_without_end_are_broken_off() {
    tokio::join!(
        survives_endless_body(ResponseShape::EndlessChunks),
        survives_endless_body(ResponseShape::EndlessUnframed),
        survives_endless_body(ResponseShape::EndlessLength),
        survives_endless_body(ResponseShape::EndlessExtension),
        survives_endless_body(ResponseShape::EndlessDrip),
    );
}

/// Guards against breaking off a complete response that arrives late because
/// its server or the link to it is slow.
async fn delivers_slow_body(has_length: bool) {
    let shape = ResponseShape::Slow { has_length };
    let cluster = EndlessCluster::start(shape).await;

    let request = cluster.request(Method::GET, "/file/1", "slow");
    let response = request.send().await.expect("response arrives");

    let body = response.bytes().await.expect("body is complete");
    assert_eq!(body.len(), STREAMED_BYTES);
}

#[tokio::test]
async fn slow_bodies_are_complete() {
    tokio::join!(delivers_slow_body(true), delivers_slow_body(false));
}

/// Guards against breaking off a complete response whose caller reads it long
/// after its deadline.
#[tokio::test]
async fn a_body_that_is_read_slowly_is_complete() {
    /// Longer than a late response may take if its caller waits for it.
    const READ_TIME: Duration = Duration::from_secs(8);
    const PARTS: u32 = 160;
    let shape = ResponseShape::Large { has_length: true };
    let cluster = EndlessCluster::start(shape).await;
    let stream = TcpStream::connect(cluster.node.traffic).await;
    let mut stream = BufReader::new(stream.expect("connection succeeds"));
    let request = "GET /file/1 HTTP/1.1\r\nHost: shop.example\r\n\
                   X-Attempt-Id: large\r\n\r\n";
    let sent = stream.get_mut().write_all(request.as_bytes()).await;
    sent.expect("daemon reads");
    let mut line = String::new();
    while line != "\r\n" {
        line.clear();
        stream.read_line(&mut line).await.expect("head arrives");
    }

    let mut part = vec![0; LARGE_BYTES / PARTS as usize];
    for _ in 0..PARTS {
        tokio::time::sleep(READ_TIME / PARTS).await;
        stream.read_exact(&mut part).await.expect("body arrives");
    }
    let rest = LARGE_BYTES - part.len() * PARTS as usize;
    stream.read_exact(&mut part[..rest]).await.expect("body is complete");

    assert!(cluster.node.peak_memory() < MAX_MEMORY);
}

//! Callers and servers that read slowly do not use up the memory of a VM.

use std::{
    net::SocketAddr,
    sync::{Arc, Mutex},
    thread,
    time::Duration,
};

use bytes::Bytes;
use reqwest::{Client, Method, RequestBuilder};
use serde_json::{Value, json};
use socket2::SockRef;
use tokio::{
    io::{AsyncBufReadExt, AsyncReadExt, AsyncWriteExt, BufReader},
    net::{TcpListener, TcpSocket, TcpStream},
    runtime::Builder,
    sync::watch,
    task::JoinSet,
};

use crate::{
    cluster::{POOLED, configuration, entry_at, eventually},
    node::NodeProcess,
    port::HeldPort,
    store::StoreStandin,
};

/// The memory limit of the smallest VMs, in megabytes and bytes.
const MEMORY_MB: u64 = 120;
const MEMORY_BYTES: u64 = MEMORY_MB * 1_000_000;

/// The bytes in flight that a VM with this limit may have at one server: 12%
/// of the fifth of its memory that is left for held bytes.
const MAX_SERVER_BYTES: u64 = MEMORY_BYTES / 5 / 100 * 12;

/// More requests than any test sends: slots are not what limits them.
const SLOTS: u32 = 4_000;

/// A download that is buffered if there is room, and one that is streamed in
/// any case.
const BUFFERED_BYTES: usize = 200_000;
const STREAMED_BYTES: usize = 1_000_000;

/// The receive buffer of a slow caller: all else that it does not read stays
/// with the daemon.
const CALLER_BUFFER_BYTES: u32 = 4 * 1024;

/// The part of an order's body that a slow server reads at once, and the time
/// between two of them: 100 kB a second.
const READ_BYTES: u64 = 2 * 1024;
const READ_INTERVAL: Duration = Duration::from_millis(20);

/// The receive buffer of a server. A daemon gives up a connection on which its
/// peer accepts nothing for 2 s, and with a large buffer a peer accepts more
/// only after it has read tens of kilobytes.
const SERVER_BUFFER_BYTES: usize = 8 * 1024;

/// The service of small requests.
const LOOKUPS: &str = "lookups";

/// The servers of downloads. A VM sends fewer requests at once to a server
/// whose responses take longer; to all of these together it sends enough to
/// reach the bound.
const DOWNLOAD_SERVERS: usize = 8;

/// A server whose downloads have one size, and which reads the bodies of
/// orders slowly until it is released. It has a thread of its own, so that the
/// callers of a test do not delay it; the thread ends with its test process.
struct BulkServer {
    address: SocketAddr,
    state: Arc<BulkState>,
}

struct BulkState {
    download_bytes: usize,
    /// The bytes of the orders in flight now, and the most there have been.
    in_flight: Mutex<(u64, u64)>,
    released: watch::Sender<bool>,
}

impl BulkServer {
    fn spawn(download_bytes: usize) -> Self {
        let port = HeldPort::open();
        let address = port.address;
        let listener = port.listen(4_096);
        // The connections that are accepted inherit it.
        SockRef::from(&listener)
            .set_recv_buffer_size(SERVER_BUFFER_BYTES)
            .expect("buffer is small");
        let state = Arc::new(BulkState {
            download_bytes,
            in_flight: Mutex::default(),
            released: watch::Sender::new(false),
        });
        let shared = Arc::clone(&state);
        let listener = listener.into_std().expect("listener is handed over");
        thread::spawn(move || {
            let runtime = Builder::new_current_thread().enable_all().build();
            let runtime = runtime.expect("runtime starts");
            runtime.block_on(shared.accept(listener));
            drop(port);
        });
        Self { address, state }
    }

    /// The most bytes of orders that have been in flight at once.
    fn max_bytes_in_flight(&self) -> u64 {
        self.state.in_flight.lock().expect("lock is not poisoned").1
    }

    /// Reads the bodies of orders as fast as they arrive from now on.
    fn release(&self) {
        self.state.released.send_replace(true);
    }
}

impl BulkState {
    async fn accept(self: Arc<Self>, listener: std::net::TcpListener) {
        let listener = TcpListener::from_std(listener);
        let listener = listener.expect("listener is taken over");
        loop {
            let accepted = listener.accept().await;
            let (stream, _) = accepted.expect("accept succeeds");
            let state = Arc::clone(&self);
            tokio::spawn(async move {
                // The daemon may disconnect at any time.
                let _left = state.serve(stream).await;
            });
        }
    }

    async fn serve(&self, stream: TcpStream) -> std::io::Result<()> {
        let mut stream = BufReader::new(stream);
        loop {
            let mut head = String::new();
            while !head.ends_with("\r\n\r\n") {
                if stream.read_line(&mut head).await? == 0 {
                    return Ok(());
                }
            }
            let length = header(&head, "content-length");
            let length = length.map_or(0, |text| {
                text.parse::<u64>().expect("length is a number")
            });
            self.record_arrival(length);
            let read = self.read_body(&mut stream, length).await;
            self.record_end(length);
            read?;
            let body = if head.starts_with("GET /file/") {
                vec![b'f'; self.download_bytes]
            } else {
                b"small".to_vec()
            };
            let attempt = header(&head, "x-attempt-id").unwrap_or_default();
            let head = format!(
                "HTTP/1.1 200 OK\r\nX-Attempt-Id: {attempt}\r\n\
                 X-Response-Stamp: stamp\r\nContent-Length: {}\r\n\r\n",
                body.len()
            );
            stream.get_mut().write_all(head.as_bytes()).await?;
            stream.get_mut().write_all(&body).await?;
        }
    }

    async fn read_body(
        &self,
        stream: &mut BufReader<TcpStream>,
        length: u64,
    ) -> std::io::Result<()> {
        if length == 0 {
            return Ok(());
        }
        let mut body = stream.take(length);
        let mut sink = tokio::io::sink();
        while body.limit() > 0 && !*self.released.borrow() {
            let mut part = (&mut body).take(READ_BYTES);
            if tokio::io::copy(&mut part, &mut sink).await? == 0 {
                return Err(std::io::ErrorKind::UnexpectedEof.into());
            }
            tokio::time::sleep(READ_INTERVAL).await;
        }
        tokio::io::copy(&mut body, &mut sink).await?;
        Ok(())
    }

    fn record_arrival(&self, length: u64) {
        let mut in_flight = self.in_flight.lock().expect("no panic");
        in_flight.0 += length;
        in_flight.1 = in_flight.1.max(in_flight.0);
    }

    fn record_end(&self, length: u64) {
        self.in_flight.lock().expect("no panic").0 -= length;
    }
}

/// The value of a header in the text of a head.
fn header<'a>(head: &'a str, name: &str) -> Option<&'a str> {
    head.lines().find_map(|line| {
        let (found, value) = line.split_once(':')?;
        found.eq_ignore_ascii_case(name).then_some(value.trim())
    })
}

/// The configuration with a route for downloads, and times that end no request
/// during a test.
fn bulk_configuration() -> Value {
    let mut bulk = configuration(1, Some("/file/"));
    let routes = bulk["routes"].as_object_mut().expect("routes exist");
    routes["more"]["kind"] = json!("download");
    // Stalled streams occupy slots of their servers.
    routes["list"]["service"] = json!(LOOKUPS);
    for route in routes.values_mut() {
        route["timeout"] = json!("60000ms");
        route["target_latency"] = json!("30000ms");
    }
    bulk["services"][LOOKUPS] = json!({"health_path": "/health"});
    bulk["limits"]["idle_timeout"] = json!("60000ms");
    bulk
}

/// A daemon with the smallest memory, and its servers.
struct SmallVm {
    node: NodeProcess,
    http: Client,
    _store: StoreStandin,
}

impl SmallVm {
    async fn start(servers: &[BulkServer]) -> Self {
        let store = StoreStandin::spawn().await;
        store.put("op/config", &bulk_configuration());
        let lookups = BulkServer::spawn(0);
        let bulk = servers.iter().map(|server| (server, POOLED));
        let all = bulk.chain([(&lookups, LOOKUPS)]);
        for (number, (server, service)) in all.enumerate() {
            let mut entry = entry_at(server.address, service, "ready");
            entry["info"]["slots"] = json!(SLOTS);
            store.put(&format!("servers/server-{number}"), &entry);
        }
        let settings = json!({
            "load_control": true, "limits": {"memory_mb": MEMORY_MB}
        });
        let (vm, domain) = ("vm", "north-a");
        let node =
            NodeProcess::spawn_with(vm, domain, store.address, &settings);
        let http = Client::builder().no_proxy().build();
        let http = http.expect("client builds");
        let vm = Self { node, http, _store: store };
        eventually(async || vm.is_served().await).await;
        vm
    }

    fn request(&self, method: Method, path: &str) -> RequestBuilder {
        let url = format!("http://{}{path}", self.node.traffic);
        self.http
            .request(method, url)
            .header("Host", "shop.example")
            .header("X-Attempt-Id", path)
            .header("X-Deadline-Ms", "60000")
    }

    /// Whether a small request gets its complete response.
    async fn is_served(&self) -> bool {
        let sent = self.request(Method::GET, "/list/all").send().await;
        let Ok(response) = sent else { return false };
        let is_ok = response.status() == 200;
        is_ok && response.text().await.is_ok_and(|text| text == "small")
    }

    /// Whether a download is complete.
    async fn downloads(&self, bytes: usize) -> bool {
        let sent = self.request(Method::GET, "/file/fast").send().await;
        let response = sent.expect("response arrives");
        let is_ok = response.status() == 200;
        let body = response.bytes().await;
        is_ok && body.is_ok_and(|body| body.len() == bytes)
    }

    /// Opens connections of callers that request a download each and read
    /// nothing.
    async fn stall_downloads(&self, callers: usize) -> Vec<TcpStream> {
        let mut streams = Vec::new();
        for number in 0..callers {
            let socket = TcpSocket::new_v4().expect("socket opens");
            socket
                .set_recv_buffer_size(CALLER_BUFFER_BYTES)
                .expect("buffer is small");
            let stream = socket.connect(self.node.traffic).await;
            let mut stream = stream.expect("connection succeeds");
            let request = format!(
                "GET /file/{number} HTTP/1.1\r\nHost: shop.example\r\n\
                 X-Attempt-Id: slow-{number}\r\nX-Deadline-Ms: 60000\r\n\r\n"
            );
            let sent = stream.write_all(request.as_bytes()).await;
            sent.expect("daemon reads");
            streams.push(stream);
        }
        streams
    }
}

/// How a slow caller's response ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum SlowEnd {
    Complete,
    /// It was refused with 503, and told when to retry.
    Refused,
    /// The connection was closed before the response was complete.
    Broken,
}

/// Reads what is left of a slow caller's response.
async fn read_rest(stream: TcpStream) -> SlowEnd {
    let mut stream = BufReader::new(stream);
    let mut head = String::new();
    while !head.ends_with("\r\n\r\n") {
        match stream.read_line(&mut head).await {
            Ok(0) | Err(_) => return SlowEnd::Broken,
            Ok(_bytes) => {}
        }
    }
    let length = header(&head, "content-length").expect("length is stated");
    let length: usize = length.parse().expect("length is a number");
    let mut body = vec![0; length];
    if stream.read_exact(&mut body).await.is_err() {
        return SlowEnd::Broken;
    }
    if head.starts_with("HTTP/1.1 200 ") {
        return SlowEnd::Complete;
    }
    assert!(head.starts_with("HTTP/1.1 503 "), "{head}");
    assert_eq!(body, b"memory-full", "{head}");
    let delay = header(&head, "retry-after").expect("delay is stated");
    assert!(delay.parse::<f64>().is_ok_and(|s| s > 0.0), "{head}");
    SlowEnd::Refused
}

async fn read_all(streams: Vec<TcpStream>) -> Vec<SlowEnd> {
    let reads: JoinSet<SlowEnd> = streams.into_iter().map(read_rest).collect();
    reads.join_all().await
}

fn count(ends: &[SlowEnd], end: SlowEnd) -> usize {
    ends.iter().filter(|found| **found == end).count()
}

/// A thousand callers that do not read downloads of this size.
async fn survives_stalled_downloads(download_bytes: usize) {
    const CALLERS: usize = 1_000;
    let servers = [download_bytes; DOWNLOAD_SERVERS].map(BulkServer::spawn);
    let vm = SmallVm::start(&servers).await;

    let callers = vm.stall_downloads(CALLERS).await;
    for _ in 0..50 {
        assert!(vm.is_served().await, "a small request is not served");
    }
    // Stalled readers are closed until there is room.
    eventually(async || vm.downloads(download_bytes).await).await;
    let ends = read_all(callers).await;

    let peak = vm.node.peak_memory();
    let of = |end| count(&ends, end);
    let summary = format!(
        "{peak} bytes, {} complete, {} refused, {} broken",
        of(SlowEnd::Complete),
        of(SlowEnd::Refused),
        of(SlowEnd::Broken)
    );
    println!("{summary}");
    assert!(peak < MEMORY_BYTES, "{summary}");
    // Without these, the test would not have reached the bound.
    assert!(of(SlowEnd::Refused) > 0, "{summary}");
    assert!(of(SlowEnd::Broken) > 0, "{summary}");
    assert!(vm.is_served().await);
}

/// Guards against a process that is killed because it buffers the responses of
/// all callers that do not read them.
#[tokio::test]
async fn stalled_callers_of_buffered_downloads_leave_memory_free() {
    survives_stalled_downloads(BUFFERED_BYTES).await;
}

/// Guards against the buffers of connections to servers, which hold what has
/// arrived of streamed responses.
#[tokio::test]
async fn stalled_callers_of_streamed_downloads_leave_memory_free() {
    survives_stalled_downloads(STREAMED_BYTES).await;
}

/// Guards against closing callers that read slowly on a VM that has room for
/// what it holds for them.
#[tokio::test]
async fn stalled_callers_are_not_closed_while_there_is_room() {
    /// Longer than a reader may stall while the bound acts.
    const STALL: Duration = Duration::from_secs(7);
    let servers = [BulkServer::spawn(BUFFERED_BYTES)];
    let vm = SmallVm::start(&servers).await;

    let callers = vm.stall_downloads(50).await;
    tokio::time::sleep(STALL).await;
    let ends = read_all(callers).await;

    assert_eq!(count(&ends, SlowEnd::Complete), 50, "{ends:?}");
}

/// How orders ended.
#[derive(Debug, Default)]
struct OrderEnds {
    served: u32,
    memory_full: u32,
    /// Refused because the server could not have served them in time.
    full: u32,
}

impl OrderEnds {
    async fn record(&mut self, ended: Option<JoinedOrder>) {
        let ended = ended.expect("orders are left").expect("no panic");
        let response = ended.expect("response arrives");
        let status = response.status();
        let delayed = response.headers().contains_key("retry-after");
        let text = response.text().await.expect("response is complete");
        match (status.as_u16(), &*text) {
            (200, _) => self.served += 1,
            (503, "memory-full") if delayed => self.memory_full += 1,
            (503, "full") if delayed => self.full += 1,
            _ => panic!("{status} {text}"),
        }
    }
}

type JoinedOrder =
    Result<Result<reqwest::Response, reqwest::Error>, tokio::task::JoinError>;

/// Sends orders with bodies of this size to a server that reads them slowly.
async fn survives_unread_orders(body_bytes: usize) -> OrderEnds {
    const ORDERS: usize = 300;
    let servers = [BulkServer::spawn(BUFFERED_BYTES)];
    let vm = SmallVm::start(&servers).await;
    let [server] = servers;

    let body = Bytes::from(vec![b'o'; body_bytes]);
    let mut orders = JoinSet::new();
    for number in 0..ORDERS {
        let path = format!("/order/{number}");
        let order = vm.request(Method::POST, &path);
        orders.spawn(order.body(body.clone()).send());
    }
    // The orders that can't be held are refused while the server reads others.
    let mut ends = OrderEnds::default();
    while ends.memory_full + ends.full == 0 {
        ends.record(orders.join_next().await).await;
    }
    for _ in 0..50 {
        assert!(vm.is_served().await, "a small request is not served");
    }
    server.release();
    while !orders.is_empty() {
        ends.record(orders.join_next().await).await;
    }

    let peak = vm.node.peak_memory();
    let in_flight = server.max_bytes_in_flight();
    let summary = format!("{peak} bytes, {in_flight} in flight, {ends:?}");
    println!("{summary}");
    assert!(peak < MEMORY_BYTES, "{summary}");
    assert!(in_flight <= MAX_SERVER_BYTES, "{summary}");
    assert!(ends.served > 0, "{summary}");
    ends
}

/// Guards against a process that is killed because it holds the bodies of all
/// requests to a server that reads slowly, and against a server that is killed
/// because it gets all of them.
#[tokio::test]
async fn a_server_that_reads_buffered_orders_slowly_leaves_memory_free() {
    let ends = survives_unread_orders(BUFFERED_BYTES).await;

    // Otherwise, the test would not have reached the bound.
    assert!(ends.memory_full > 0, "{ends:?}");
}

#[tokio::test]
async fn a_server_that_reads_streamed_orders_slowly_leaves_memory_free() {
    survives_unread_orders(STREAMED_BYTES).await;
}

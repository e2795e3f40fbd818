//! Pipelined requests: callers send more before the first response arrives.

use std::time::Duration;

use rustix::process::Signal;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
};

use crate::{
    cluster::{Cluster, POOLED, eventually},
    server::ServerBehavior,
};

/// A caller's connection on which a test sends arbitrary bytes.
pub struct RawCaller {
    stream: TcpStream,
}

impl RawCaller {
    pub async fn connect(cluster: &Cluster) -> Self {
        let address = cluster.nodes[0].traffic;
        let stream = TcpStream::connect(address).await;
        Self { stream: stream.expect("connection succeeds") }
    }

    pub async fn send(&mut self, bytes: &str) {
        let sent = self.stream.write_all(bytes.as_bytes()).await;
        sent.expect("daemon reads");
    }

    /// Reads until `count` responses have arrived or the connection ends.
    pub async fn read_responses(&mut self, count: usize) -> Vec<String> {
        let mut text = String::new();
        let mut bytes = [0; 4_096];
        while complete_responses(&text).len() < count {
            let read = self.stream.read(&mut bytes).await;
            let read = read.expect("connection is not reset");
            if read == 0 {
                break;
            }
            text.push_str(&String::from_utf8_lossy(&bytes[..read]));
        }
        complete_responses(&text)
    }

    /// Whether no byte of a response has arrived.
    fn has_no_response(&self) -> bool {
        let read = self.stream.try_read(&mut [0; 1]);
        read.is_err_and(|e| e.kind() == std::io::ErrorKind::WouldBlock)
    }
}

/// A daemon, servers that withhold their responses, and a caller.
async fn withholding_cluster(servers: usize) -> (Cluster, RawCaller) {
    let cluster = Cluster::start(POOLED, servers, 1).await;
    cluster.set_behavior(ServerBehavior::Withholds);
    let caller = RawCaller::connect(&cluster).await;
    (cluster, caller)
}

/// The same with two pipelined lookups that servers are running.
async fn two_in_flight() -> (Cluster, RawCaller) {
    let (cluster, mut caller) = withholding_cluster(2).await;
    caller.send(&["first", "second"].map(lookup).concat()).await;
    eventually(async || cluster.executions_of("second") > 0).await;
    (cluster, caller)
}

/// The complete responses in a text, each without the leading `HTTP/1.1`.
fn complete_responses(text: &str) -> Vec<String> {
    let parts = text.split("HTTP/1.1 ").skip(1);
    let complete = parts.filter(|part| part.contains("\r\n\r\nserver-"));
    complete.map(str::to_owned).collect()
}

fn lookup(attempt: &str) -> String {
    format!(
        "GET /list/all HTTP/1.1\r\nHost: shop.example\r\n\
         X-Attempt-Id: {attempt}\r\nX-Deadline-Ms: 3000\r\n\r\n"
    )
}

fn order(attempt: &str) -> String {
    format!(
        "POST /order/1 HTTP/1.1\r\nHost: shop.example\r\n\
         X-Attempt-Id: {attempt}\r\nX-Deadline-Ms: 3000\r\n\
         Content-Length: 4\r\n\r\nrice"
    )
}

/// Guards against pipelined lookups that are served one after another, so
/// that the third waits for the sum of all. All must run before the first
/// response, and responses keep the order of the requests.
#[tokio::test]
async fn pipelined_lookups_run_concurrently_and_are_answered_in_order() {
    // An unknown server gets one request at a time.
    let (cluster, mut caller) = withholding_cluster(3).await;
    let sent = ["first", "second", "third"];

    caller.send(&sent.map(lookup).concat()).await;

    eventually(async || sent.iter().all(|id| cluster.executions_of(id) > 0))
        .await;
    assert!(caller.has_no_response());
    cluster.set_behavior(ServerBehavior::Responds(Duration::ZERO));
    let responses = caller.read_responses(3).await;
    assert_eq!(responses.len(), 3);
    for (response, id) in responses.iter().zip(sent) {
        assert!(response.starts_with("200"), "{response}");
        assert!(response.to_lowercase().contains(&format!("id: {id}")));
    }
}

/// Guards against an order that runs before the lookup ahead of it is
/// answered: if that response closes the connection, the caller resends the
/// order. A lookup behind the order waits too, as it must see its effect.
#[tokio::test]
async fn a_pipelined_order_waits_for_the_requests_ahead() {
    let (cluster, mut caller) = withholding_cluster(2).await;
    let sent = [lookup("first"), order("order"), lookup("last")].concat();

    caller.send(&sent).await;

    eventually(async || cluster.executions_of("first") > 0).await;
    assert_eq!(
        cluster.executions_of("order") + cluster.executions_of("last"),
        0
    );
    cluster.set_behavior(ServerBehavior::Responds(Duration::ZERO));
    assert_eq!(caller.read_responses(3).await.len(), 3);
    assert_eq!(cluster.executions_of("order"), 1);
}

/// Guards against a lost response when SIGTERM arrives with two pipelined
/// lookups in flight: the first response must not close the connection.
#[tokio::test]
async fn a_draining_daemon_answers_all_pipelined_requests() {
    let (cluster, mut caller) = two_in_flight().await;

    cluster.nodes[0].signal(Signal::TERM);
    eventually(async || !cluster.is_ready(0).await).await;
    cluster.set_behavior(ServerBehavior::Responds(Duration::ZERO));

    let responses = caller.read_responses(2).await;
    assert_eq!(responses.len(), 2);
    assert!(!responses[0].to_lowercase().contains("connection: close"));
    assert!(responses[1].to_lowercase().contains("connection: close"));
}

/// Guards against request smuggling: a body that looks like a lookup and
/// arrives in two parts must not be run as a request.
#[tokio::test]
async fn a_body_is_never_served_as_a_request() {
    let cluster = Cluster::start(POOLED, 1, 1).await;
    let inner = lookup("smuggled");
    let head = format!(
        "POST /order/1 HTTP/1.1\r\nHost: shop.example\r\n\
         X-Attempt-Id: order\r\nX-Deadline-Ms: 3000\r\n\
         Content-Length: {}\r\n\r\n",
        inner.len()
    );
    let mut caller = RawCaller::connect(&cluster).await;
    caller.send(&lookup("first")).await;
    caller.send(&head).await;
    caller.send(&inner[..20]).await;
    caller.send(&inner[20..]).await;
    caller.send(&lookup("last")).await;

    assert_eq!(caller.read_responses(3).await.len(), 3);

    assert_eq!(cluster.executions_of("smuggled"), 0);
    assert_eq!(cluster.executions_of("order"), 1);
}

/// Guards against abandoned work that continues: when a caller disconnects
/// with two pipelined lookups in flight, their connections to the servers are
/// closed, so that the servers can stop.
#[tokio::test]
async fn a_caller_that_disconnects_cancels_its_pipelined_requests() {
    let (cluster, caller) = two_in_flight().await;

    drop(caller);

    eventually(async || cluster.abandoned() == 2).await;
}

//! Callers that send further requests before the first is answered.

use std::time::Duration;

use rustix::process::Signal;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
};

use crate::{
    server::ServerManner,
    world::{POOLED, World, eventually},
};

/// One connection of a caller that sends bytes as it likes.
struct RawCaller {
    stream: TcpStream,
}

impl RawCaller {
    async fn connect(world: &World) -> Self {
        let address = world.nodes[0].traffic;
        let stream = TcpStream::connect(address).await;
        Self { stream: stream.expect("a connection") }
    }

    async fn send(&mut self, bytes: &str) {
        let sent = self.stream.write_all(bytes.as_bytes()).await;
        sent.expect("the daemon reads");
    }

    /// Reads until so many answers have come, or the connection ends.
    async fn answers(&mut self, count: usize) -> Vec<String> {
        let mut text = String::new();
        let mut bytes = [0; 4_096];
        while heads(&text).len() < count {
            let read = self.stream.read(&mut bytes).await;
            let read = read.expect("no reset");
            if read == 0 {
                break;
            }
            text.push_str(&String::from_utf8_lossy(&bytes[..read]));
        }
        heads(&text)
    }

    /// Whether nothing has come yet.
    fn is_unanswered(&self) -> bool {
        let read = self.stream.try_read(&mut [0; 1]);
        read.is_err_and(|e| e.kind() == std::io::ErrorKind::WouldBlock)
    }
}

/// A daemon, servers that hold their answers back, and a caller.
async fn held_world(servers: usize) -> (World, RawCaller) {
    let world = World::open(POOLED, servers, 1).await;
    world.set_manner(ServerManner::Holds);
    let caller = RawCaller::connect(&world).await;
    (world, caller)
}

/// The same with two pipelined lookups that servers are at work on.
async fn two_at_work() -> (World, RawCaller) {
    let (world, mut caller) = held_world(2).await;
    caller.send(&["first", "second"].map(lookup).concat()).await;
    eventually(async || world.runs_of("second") > 0).await;
    (world, caller)
}

/// The answers in a text, each from its status line on.
fn heads(text: &str) -> Vec<String> {
    let parts = text.split("HTTP/1.1 ").skip(1);
    let whole = parts.filter(|part| part.contains("\r\n\r\nserver-"));
    whole.map(str::to_owned).collect()
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

/// A caller sends three lookups at once, and the server takes its time for
/// the first. Served one after the other, the third waits for the sum of
/// all; served beside it, all have run before the first is answered, and
/// the answers come in the order of the requests.
#[tokio::test]
async fn pipelined_lookups_are_served_at_once_and_answered_in_order() {
    // A server of which nothing is known gets one request at a time.
    let (world, mut caller) = held_world(3).await;
    let sent = ["first", "second", "third"];

    caller.send(&sent.map(lookup).concat()).await;

    eventually(async || sent.iter().all(|id| world.runs_of(id) > 0)).await;
    assert!(caller.is_unanswered());
    world.set_manner(ServerManner::Works(Duration::ZERO));
    let answers = caller.answers(3).await;
    assert_eq!(answers.len(), 3);
    for (answer, id) in answers.iter().zip(sent) {
        assert!(answer.starts_with("200"), "{answer}");
        assert!(answer.to_lowercase().contains(&format!("id: {id}")));
    }
}

/// An order is sent behind a lookup. If the lookup's answer closed the
/// connection, the caller would send the order again: it must not have
/// begun by then. A lookup behind the order is to see what it did.
#[tokio::test]
async fn a_pipelined_order_waits_for_its_turn() {
    let (world, mut caller) = held_world(2).await;
    let sent = [lookup("first"), order("order"), lookup("last")].concat();

    caller.send(&sent).await;

    eventually(async || world.runs_of("first") > 0).await;
    assert_eq!(world.runs_of("order") + world.runs_of("last"), 0);
    world.set_manner(ServerManner::Works(Duration::ZERO));
    assert_eq!(caller.answers(3).await.len(), 3);
    assert_eq!(world.runs_of("order"), 1);
}

/// SIGTERM comes while two pipelined lookups are at their servers. The first
/// answer must not close the connection, or the caller loses the second one,
/// which a server is at work on.
#[tokio::test]
async fn a_leaving_daemon_answers_all_that_was_pipelined() {
    let (world, mut caller) = two_at_work().await;

    world.nodes[0].signal(Signal::TERM);
    eventually(async || !world.is_ready(0).await).await;
    world.set_manner(ServerManner::Works(Duration::ZERO));

    let answers = caller.answers(2).await;
    assert_eq!(answers.len(), 2);
    assert!(!answers[0].to_lowercase().contains("connection: close"));
    assert!(answers[1].to_lowercase().contains("connection: close"));
}

/// A body that reads like a lookup comes in two parts. Taken for a request
/// it would run, though nobody asked for it.
#[tokio::test]
async fn a_body_is_never_served_as_a_request() {
    let world = World::open(POOLED, 1, 1).await;
    let inner = lookup("smuggled");
    let head = format!(
        "POST /order/1 HTTP/1.1\r\nHost: shop.example\r\n\
         X-Attempt-Id: order\r\nX-Deadline-Ms: 3000\r\n\
         Content-Length: {}\r\n\r\n",
        inner.len()
    );
    let mut caller = RawCaller::connect(&world).await;
    caller.send(&lookup("first")).await;
    caller.send(&head).await;
    caller.send(&inner[..20]).await;
    caller.send(&inner[20..]).await;
    caller.send(&lookup("last")).await;

    assert_eq!(caller.answers(3).await.len(), 3);

    assert_eq!(world.runs_of("smuggled"), 0);
    assert_eq!(world.runs_of("order"), 1);
}

/// A caller whose two pipelined lookups are at servers leaves. Its
/// connections to the servers end, so that they can stop the work.
#[tokio::test]
async fn a_caller_that_leaves_ends_all_that_it_pipelined() {
    let (world, caller) = two_at_work().await;

    drop(caller);

    eventually(async || world.abandoned() == 2).await;
}

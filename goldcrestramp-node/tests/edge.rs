//! Bad input to each listener gets a clear response or a closed connection,
//! while a normal caller gets complete responses.

mod small_domain;

use std::{
    net::SocketAddr,
    sync::atomic::{AtomicBool, AtomicUsize, Ordering},
};

use goldcrestramp_standins::{
    AnswerCheck, check_answer, server::ServerBehaviour,
};
use goldcrestramp_wire::peer::{
    ConfirmRequest, PermitRequest, RouteRequest, TablesRequest,
    control_client::ControlClient, peer_client::PeerClient,
    route_frame::Frame,
};
use proptest::{
    collection::vec,
    prelude::any,
    strategy::{Strategy, ValueTree},
    test_runner::{Config, RngAlgorithm, TestRng, TestRunner},
};
use reqwest::Method;
use small_domain::{DomainShape, SmallDomain, TIMEOUT};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
};
use tonic::Code;

/// Half-open connections to each listener.
const HALF_OPEN: usize = 50;
/// Random inputs to each listener.
const RANDOM_INPUTS: usize = 60;

async fn domain(test_id: u8) -> SmallDomain {
    let servers = vec![ServerBehaviour::default()];
    let shape = DomainShape { test_id, nodes: 1, slots: 4, servers };
    SmallDomain::spawn(shape, |_settings| {}).await
}

/// Runs `disturb` while a normal caller sends lookups one after another.
///
/// # Panics
///
/// When a response to the normal caller is not complete and correct.
async fn serve_during<T>(
    domain: &SmallDomain,
    disturb: impl AsyncFnOnce() -> T,
) -> T {
    let is_over = AtomicBool::new(false);
    let served = AtomicUsize::new(0);
    let looking_up = async {
        while !is_over.load(Ordering::Relaxed) {
            let number = served.fetch_add(1, Ordering::Relaxed);
            let id = format!("normal-{number}");
            let lookup = domain.request_to(0, Method::GET, "rice");
            let lookup = lookup
                .header("goldcrestramp-caller", "tienda")
                .header("goldcrestramp-request", &id);
            let response =
                lookup.send().await.expect("request gets a response");
            assert_eq!(response.headers()["goldcrestramp-outcome"], "done");
            let body = response.bytes().await.expect("body is complete");
            let found = check_answer(&body, &format!("tienda/{id}"), "rice");
            assert_eq!(found, AnswerCheck::Whole { value: 0 });
        }
    };
    let disturbing = async {
        let result = tokio::time::timeout(TIMEOUT, disturb()).await;
        is_over.store(true, Ordering::Relaxed);
        result.expect("each bad input is handled in time")
    };
    let (result, ()) = tokio::join!(disturbing, looking_up);
    assert!(served.load(Ordering::Relaxed) > 0);
    result
}

/// Sends bytes, and returns all that is received until the connection is
/// closed.
async fn send_raw(address: SocketAddr, bytes: &[u8]) -> Vec<u8> {
    let mut stream =
        TcpStream::connect(address).await.expect("connection succeeds");
    // A listener may refuse and close before it has received all.
    drop(stream.write_all(bytes).await);
    let mut response = Vec::new();
    drop(stream.read_to_end(&mut response).await);
    response
}

/// Sends bytes, closes the sending side, and returns all that is received.
async fn send_and_close(address: SocketAddr, bytes: &[u8]) -> Vec<u8> {
    let mut stream =
        TcpStream::connect(address).await.expect("connection succeeds");
    drop(stream.write_all(bytes).await);
    drop(stream.shutdown().await);
    let mut response = Vec::new();
    drop(stream.read_to_end(&mut response).await);
    response
}

fn status_line(response: &[u8]) -> String {
    let text = String::from_utf8_lossy(response);
    text.lines().next().unwrap_or_default().to_owned()
}

/// Random values, the same ones in each run.
fn draw<S: Strategy>(strategy: &S, count: usize) -> Vec<S::Value> {
    let source = TestRng::deterministic_rng(RngAlgorithm::ChaCha);
    let mut runner = TestRunner::new_with_rng(Config::default(), source);
    let values = (0..count).map(|_| strategy.new_tree(&mut runner));
    values
        .map(|tree| tree.expect("strategy yields a value").current())
        .collect()
}

/// Each kind of malformed request gets its status and reason, and an outcome
/// that says that nothing ran.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn a_malformed_request_is_refused_with_its_reason() {
    let domain = domain(2).await;
    let callers = domain.nodes[0].addresses().callers;
    let get = |path: &str| format!("GET {path} HTTP/1.1\r\nhost: a\r\n");
    let long_key = "k".repeat(2_000);
    let header = |name: &str, value: &str| {
        format!("{}{name}: {value}\r\n", get("/v1/stock/rice"))
    };
    let cases = [
        (get("/v1/stock/"), "400", "bad-request"),
        (get("/v1/stock"), "400", "bad-request"),
        (get("/"), "404", "unknown-service"),
        (get("/v1/milk/rice"), "404", "unknown-service"),
        (get("/v1/%ff/rice"), "400", "bad-request"),
        (get(&format!("/v1/stock/{long_key}")), "400", "bad-request"),
        (header("goldcrestramp-class", "soon"), "400", "bad-request"),
        (header("goldcrestramp-class", "order"), "400", "bad-request"),
        (header("goldcrestramp-caller", ""), "400", "bad-request"),
        (header("goldcrestramp-caller", "a b"), "400", "bad-request"),
        (header("goldcrestramp-deadline-ms", "-1"), "400", "bad-request"),
        (
            header("goldcrestramp-deadline-ms", "99999999999999999999"),
            "400",
            "bad-request",
        ),
        (
            "POST /v1/stock/rice HTTP/1.1\r\nhost: a\r\n".to_owned(),
            "400",
            "bad-request",
        ),
    ];
    serve_during(&domain, async || {
        for (head, status, reason) in cases {
            let request = format!("{head}connection: close\r\n\r\n");
            let response = send_raw(callers, request.as_bytes()).await;

            let line = status_line(&response);
            assert!(line.contains(status), "{head}: {line}");
            let text = String::from_utf8_lossy(&response);
            assert!(text.contains("goldcrestramp-outcome: not-run"), "{text}");
            assert!(text.contains(reason), "{head}: {text}");
        }
    })
    .await;
}

/// Heads and bodies beyond the limits are refused before they are buffered in
/// memory.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn oversize_input_is_refused() {
    let domain = domain(3).await;
    let addresses = domain.nodes[0].addresses();
    let large = "x".repeat(64 * 1_024);
    let head = format!("GET /v1/stock/rice HTTP/1.1\r\nx-large: {large}\r\n");
    let many = "x-many: 1\r\n".repeat(200);
    let many = format!("GET /v1/stock/rice HTTP/1.1\r\n{many}\r\n");
    let bytes = 64 * 1_024 * 1_024;
    let body = format!(
        "POST /v1/stock/rice HTTP/1.1\r\nhost: a\r\ngoldcrestramp-request: \
         one\r\ncontent-length: {bytes}\r\nconnection: close\r\n\r\n"
    );
    let mut body = body.into_bytes();
    body.resize(body.len() + bytes, b'x');
    let ticket = format!(
        "POST /tickets HTTP/1.1\r\nhost: a\r\ncontent-length: \
         {bytes}\r\nconnection: close\r\n\r\n"
    );
    let cases = [
        (addresses.callers, head.as_bytes(), "431"),
        (addresses.callers, many.as_bytes(), "431"),
        (addresses.callers, &body, "400"),
        (addresses.operators, head.as_bytes(), "431"),
        (addresses.operators, ticket.as_bytes(), "4"),
    ];
    serve_during(&domain, async || {
        for (address, request, status) in cases {
            let line = status_line(&send_raw(address, request).await);

            // The response may be lost when the listener closes during the
            // send.
            let refused = line.is_empty() && request.len() > bytes;
            let expected = format!("HTTP/1.1 {status}");
            assert!(refused || line.starts_with(&expected), "{line}");
        }
    })
    .await;
}

/// Random bytes, and requests of random parts, must neither fail with status
/// 500 nor disturb a normal caller.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn garbage_does_not_disturb_other_callers() {
    let domain = domain(4).await;
    let addresses = domain.nodes[0].addresses();
    let garbage = draw(&vec(any::<u8>(), 1..2_000), RANDOM_INPUTS);
    let parts = (
        "(GET|POST|PUT|[A-Z]{1,9}) ",
        "/(v1/)?(stock/)?[!-~]{0,40}",
        " HTTP/(1.1|1.0|2.0|x)\r\n",
        vec(
            "(goldcrestramp-(caller|request|class|deadline-ms|resend)|host|\
             content-length|transfer-encoding|[a-z-]{1,9}): \
             ([0-9]{1,21}|chunked|lookup|order|long|true|[ -~]{0,30})\r\n",
            0..6,
        ),
    );
    let requests = draw(&parts, 4 * RANDOM_INPUTS);
    serve_during(&domain, async || {
        for bytes in &garbage {
            for address in [
                addresses.callers,
                addresses.peers,
                addresses.control,
                addresses.operators,
            ] {
                send_and_close(address, bytes).await;
            }
        }
        for (method, path, version, headers) in &requests {
            let headers = headers.concat();
            let request = format!("{method}{path}{version}{headers}\r\n");
            for address in [addresses.callers, addresses.operators] {
                let response =
                    send_and_close(address, request.as_bytes()).await;
                let line = status_line(&response);
                assert!(!line.contains(" 500"), "{request}: {line}");
            }
        }
    })
    .await;
}

/// Clients connect, send nothing or a part, and stay connected. Each is closed
/// after a timeout, and no other request waits for them.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn half_open_connections_are_closed() {
    let domain = domain(5).await;
    let addresses = domain.nodes[0].addresses();
    let listeners = [
        (addresses.callers, "GET /v1/stock/ri"),
        (addresses.operators, "GET /sta"),
        (addresses.peers, "PRI * HT"),
        (addresses.control, "PRI * HT"),
    ];
    serve_during(&domain, async || {
        let mut open = Vec::new();
        for (address, part) in listeners {
            for number in 0..HALF_OPEN {
                let stream = TcpStream::connect(address).await;
                let mut stream = stream.expect("connection succeeds");
                if number % 2 == 0 {
                    let sent = stream.write_all(part.as_bytes()).await;
                    sent.expect("bytes are sent");
                }
                open.push(stream);
            }
        }
        for mut stream in open {
            let mut rest = Vec::new();
            drop(stream.read_to_end(&mut rest).await);
        }
    })
    .await;
}

/// A peer of another version sends messages without meaning: each is refused
/// with its reason, and the daemon continues.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn meaningless_messages_of_peers_are_refused() {
    let domain = domain(6).await;
    let addresses = domain.nodes[0].addresses();
    let text = "[ -~]{0,12}";
    let messages = draw(
        &(text, text, text, vec(any::<u8>(), 0..40), any::<u64>()),
        RANDOM_INPUTS,
    );
    let (peers, control) = (addresses.peers, addresses.control);
    serve_during(&domain, async || {
        let peer = PeerClient::connect(format!("http://{peers}")).await;
        let mut peer = peer.expect("connection succeeds");
        let control = ControlClient::connect(format!("http://{control}"));
        let mut control = control.await.expect("connection succeeds");
        for (service, caller, class, key, number) in messages {
            let request = RouteRequest {
                service: service.clone(),
                caller: caller.clone(),
                class,
                key: key.into(),
                left_micros: number,
                age_micros: number,
                recover: number % 2 == 0,
                ..RouteRequest::default()
            };
            let frames = peer.route(request).await.expect("stream opens");
            let first =
                frames.into_inner().message().await.expect("frame arrives");
            let first = first.and_then(|frame| frame.frame);
            let refused =
                matches!(first, Some(Frame::NotRun(_) | Frame::Unknown(_)));
            assert!(refused, "{first:?}");

            let confirm = ConfirmRequest {
                domain: small_domain::DOMAIN.to_owned(),
                vm: caller,
                address: service.clone(),
                roster_version: number,
                ..ConfirmRequest::default()
            };
            match control.confirm(confirm).await {
                Ok(reply) => assert!(!reply.into_inner().confirmed),
                Err(why) => assert_eq!(why.code(), Code::InvalidArgument),
            }

            let domain = format!("{service}?");
            let tables = control
                .tables(TablesRequest { domain, ..Default::default() })
                .await;
            assert!(tables.is_err(), "no such name");

            let permit = PermitRequest {
                domain: small_domain::DOMAIN.to_owned(),
                sequence: number,
                ..PermitRequest::default()
            };
            let replies = control.permits(tokio_stream::once(permit)).await;
            let reply = replies.expect("stream opens").into_inner();
            let mut reply = reply;
            let response = reply.message().await;
            assert!(response.is_err(), "a VM without a name: {response:?}");
        }
        let body = vec![0_u8; 64 * 1_024 * 1_024];
        let large =
            RouteRequest { body: body.into(), ..RouteRequest::default() };
        assert!(peer.route(large).await.is_err(), "beyond the limit");
    })
    .await;
}

//! Bad input of every kind to each listener: a clear answer or a closed
//! connection, and a normal caller that is served whole all the while.

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
use small_domain::{DomainShape, LIMIT, SmallDomain};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
};
use tonic::Code;

/// Connections that each test opens to a listener and leaves half-open.
const HALF_OPEN: usize = 50;
/// Drawn inputs to each listener.
const DRAWN: usize = 60;

async fn domain(seat: u8) -> SmallDomain {
    let servers = vec![ServerBehaviour::default()];
    let shape = DomainShape { seat, nodes: 1, slots: 4, servers };
    SmallDomain::spawn(shape, |_settings| {}).await
}

/// Lets `harm` happen while a normal caller asks on and on.
///
/// # Panics
///
/// When one of its answers was not the whole right one.
async fn serve_beside<T>(
    domain: &SmallDomain,
    harm: impl AsyncFnOnce() -> T,
) -> T {
    let over = AtomicBool::new(false);
    let served = AtomicUsize::new(0);
    let asking = async {
        while !over.load(Ordering::Relaxed) {
            let number = served.fetch_add(1, Ordering::Relaxed);
            let id = format!("normal-{number}");
            let ask = domain.request_to(0, Method::GET, "rice");
            let ask = ask
                .header("goldcrestramp-caller", "tienda")
                .header("goldcrestramp-request", &id);
            let answer = ask.send().await.expect("an answer");
            assert_eq!(answer.headers()["goldcrestramp-outcome"], "done");
            let body = answer.bytes().await.expect("a whole body");
            let found = check_answer(&body, &format!("tienda/{id}"), "rice");
            assert_eq!(found, AnswerCheck::Whole { value: 0 });
        }
    };
    let harming = async {
        let result = tokio::time::timeout(LIMIT, harm()).await;
        over.store(true, Ordering::Relaxed);
        result.expect("every bad input was answered in time")
    };
    let (result, ()) = tokio::join!(harming, asking);
    assert!(served.load(Ordering::Relaxed) > 0);
    result
}

/// Sends bytes and reads all that comes until the connection is closed.
async fn send_raw(address: SocketAddr, bytes: &[u8]) -> Vec<u8> {
    let mut stream = TcpStream::connect(address).await.expect("connected");
    // A listener that has seen enough may close before it has all.
    drop(stream.write_all(bytes).await);
    let mut answer = Vec::new();
    drop(stream.read_to_end(&mut answer).await);
    answer
}

/// Sends bytes and no more; what is sent back before the end is of no use.
async fn send_and_close(address: SocketAddr, bytes: &[u8]) -> Vec<u8> {
    let mut stream = TcpStream::connect(address).await.expect("connected");
    drop(stream.write_all(bytes).await);
    drop(stream.shutdown().await);
    let mut answer = Vec::new();
    drop(stream.read_to_end(&mut answer).await);
    answer
}

fn status_line(answer: &[u8]) -> String {
    let text = String::from_utf8_lossy(answer);
    text.lines().next().unwrap_or_default().to_owned()
}

/// Draws the same values in every run.
fn draw<S: Strategy>(strategy: &S, count: usize) -> Vec<S::Value> {
    let source = TestRng::deterministic_rng(RngAlgorithm::ChaCha);
    let mut runner = TestRunner::new_with_rng(Config::default(), source);
    let values = (0..count).map(|_| strategy.new_tree(&mut runner));
    values.map(|tree| tree.expect("a value").current()).collect()
}

/// A shop's broken client sends what no request may be. It is told what is
/// wrong, and that nothing ran.
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
    serve_beside(&domain, async || {
        for (head, status, reason) in cases {
            let request = format!("{head}connection: close\r\n\r\n");
            let answer = send_raw(callers, request.as_bytes()).await;

            let line = status_line(&answer);
            assert!(line.contains(status), "{head}: {line}");
            let text = String::from_utf8_lossy(&answer);
            assert!(text.contains("goldcrestramp-outcome: not-run"), "{text}");
            assert!(text.contains(reason), "{head}: {text}");
        }
    })
    .await;
}

/// Heads and bodies beyond the limits are refused before they are held.
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
    serve_beside(&domain, async || {
        for (address, request, status) in cases {
            let line = status_line(&send_raw(address, request).await);

            // The answer may be lost when it closes amid what is sent.
            let refused = line.is_empty() && request.len() > bytes;
            let expected = format!("HTTP/1.1 {status}");
            assert!(refused || line.starts_with(&expected), "{line}");
        }
    })
    .await;
}

/// Bytes that are no protocol at all, and requests of drawn parts.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn garbage_costs_nobody_else_anything() {
    let domain = domain(4).await;
    let addresses = domain.nodes[0].addresses();
    let garbage = draw(&vec(any::<u8>(), 1..2_000), DRAWN);
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
    let requests = draw(&parts, 4 * DRAWN);
    serve_beside(&domain, async || {
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
                let answer = send_and_close(address, request.as_bytes()).await;
                let line = status_line(&answer);
                assert!(!line.contains(" 500"), "{request}: {line}");
            }
        }
    })
    .await;
}

/// Callers and others connect, send nothing or a part, and hold on. Each is
/// cut off after a while, and nobody waits behind them.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn half_open_connections_are_cut_off() {
    let domain = domain(5).await;
    let addresses = domain.nodes[0].addresses();
    let listeners = [
        (addresses.callers, "GET /v1/stock/ri"),
        (addresses.operators, "GET /sta"),
        (addresses.peers, "PRI * HT"),
        (addresses.control, "PRI * HT"),
    ];
    serve_beside(&domain, async || {
        let mut open = Vec::new();
        for (address, part) in listeners {
            for number in 0..HALF_OPEN {
                let stream = TcpStream::connect(address).await;
                let mut stream = stream.expect("connected");
                if number % 2 == 0 {
                    let sent = stream.write_all(part.as_bytes()).await;
                    sent.expect("taken");
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

/// A peer of another build sends messages that mean nothing: each is
/// refused by name, and the daemon goes on.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn peers_nonsense_is_refused() {
    let domain = domain(6).await;
    let addresses = domain.nodes[0].addresses();
    let text = "[ -~]{0,12}";
    let drawn = draw(
        &(text, text, text, vec(any::<u8>(), 0..40), any::<u64>()),
        DRAWN,
    );
    let (peers, control) = (addresses.peers, addresses.control);
    serve_beside(&domain, async || {
        let peer = PeerClient::connect(format!("http://{peers}")).await;
        let mut peer = peer.expect("connected");
        let control = ControlClient::connect(format!("http://{control}"));
        let mut control = control.await.expect("connected");
        for (service, caller, class, key, number) in drawn {
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
            let frames = peer.route(request).await.expect("a stream");
            let first = frames.into_inner().message().await.expect("a frame");
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
            let reply = replies.expect("a stream").into_inner();
            let mut reply = reply;
            let answer = reply.message().await;
            assert!(answer.is_err(), "a VM without a name: {answer:?}");
        }
        let body = vec![0_u8; 64 * 1_024 * 1_024];
        let large =
            RouteRequest { body: body.into(), ..RouteRequest::default() };
        assert!(peer.route(large).await.is_err(), "beyond the limit");
    })
    .await;
}

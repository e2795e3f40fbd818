//! A planned stop or a reload interrupts no request.

use std::time::Duration;

use reqwest::{
    Method, RequestBuilder, Response,
    header::{HeaderMap, HeaderName, HeaderValue},
};
use rustix::process::Signal;
use serde_json::json;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
};

use crate::{
    cluster::{Cluster, POOLED, configuration, eventually},
    pipeline::RawCaller,
    relay::{Relay, RelayBehavior},
    server::ServerBehavior,
    store::StoreStandin,
};

/// How long a VM drains before it is paused.
const DRAINING: Duration = Duration::from_secs(2);

/// A pause that lasts beyond the end of the drain.
const PAUSE: Duration = Duration::from_millis(1_200);

/// Stops the first VM, and pauses it before the end of its drain.
async fn pause_in_drain(cluster: &Cluster) {
    cluster.nodes[0].signal(Signal::TERM);
    tokio::time::sleep(DRAINING).await;
    cluster.nodes[0].signal(Signal::STOP);
}

/// The bytes of an order.
fn order(attempt: &str) -> String {
    format!(
        "POST /order/1 HTTP/1.1\r\nHost: shop.example\r\n\
         X-Deadline-Ms: 3000\r\nContent-Length: 0\r\n\
         X-Attempt-Id: {attempt}\r\n\r\n"
    )
}

/// Sends a request, stops the first VM while a server runs it, and returns the
/// response.
async fn stop_while_running(
    cluster: &Cluster,
    attempt: &str,
    request: RequestBuilder,
) -> Response {
    let sent = tokio::spawn(request.send());
    eventually(async || cluster.executions_of(attempt) == 1).await;
    cluster.nodes[0].signal(Signal::TERM);
    sent.await.expect("request task does not panic").expect("response arrives")
}

/// Guards against lost responses on SIGTERM. The response of an order in
/// flight is delivered with `Connection: close`, and the process then exits
/// successfully.
#[tokio::test]
async fn a_stopped_daemon_completes_the_requests_it_has_read() {
    let mut cluster = Cluster::start(POOLED, 1, 1).await;
    let work = Duration::from_millis(1_500);
    cluster.servers[0].set_behavior(ServerBehavior::Responds(work));
    let attempt = cluster.next_attempt();
    let request = cluster.request(0, Method::POST, "/order/1", &attempt);

    let response = stop_while_running(&cluster, &attempt, request).await;

    assert_eq!(response.status(), 200);
    assert_eq!(response.headers()["connection"], "close");
    assert!(cluster.nodes[0].wait_for_exit().await.success());
}

/// Guards against requests that fail when SIGHUP reloads the settings.
#[tokio::test]
async fn a_reload_interrupts_no_request() {
    let cluster = Cluster::start(POOLED, 1, 1).await;

    cluster.nodes[0].signal(Signal::HUP);

    for _ in 0..5 {
        assert_eq!(cluster.get(0, "/list/all").await.status(), 200);
    }
}

/// Guards against requests in flight that SIGHUP or repeated signals interrupt.
#[tokio::test]
async fn further_signals_interrupt_no_request_in_flight() {
    let mut cluster = Cluster::start(POOLED, 1, 1).await;
    let work = Duration::from_millis(1_500);
    cluster.servers[0].set_behavior(ServerBehavior::Responds(work));
    let attempt = cluster.next_attempt();
    let request = cluster.request(0, Method::POST, "/order/1", &attempt);
    let sent = tokio::spawn(request.send());
    eventually(async || cluster.executions_of(&attempt) == 1).await;

    for signal in [Signal::HUP, Signal::TERM, Signal::HUP, Signal::TERM] {
        cluster.nodes[0].signal(signal);
        tokio::time::sleep(Duration::from_millis(100)).await;
    }

    let response = sent.await.expect("request task does not panic");
    assert_eq!(response.expect("response arrives").status(), 200);
    assert!(cluster.nodes[0].wait_for_exit().await.success());
}

/// Guards against responses that are lost because their callers read them only
/// after the process has exited.
#[tokio::test]
async fn a_response_can_be_read_after_the_exit() {
    let mut cluster = Cluster::start(POOLED, 1, 1).await;
    let attempt = cluster.next_attempt();
    let mut caller = RawCaller::connect(&cluster).await;
    caller.send(&order(&attempt)).await;
    eventually(async || cluster.executions_of(&attempt) == 1).await;

    cluster.nodes[0].signal(Signal::TERM);
    assert!(cluster.nodes[0].wait_for_exit().await.success());

    let responses = caller.read_responses(1).await;
    assert_eq!(responses.len(), 1);
    assert!(responses[0].starts_with("200"), "{responses:?}");
}

/// Guards against a SIGHUP that terminates a starting process. This happens
/// if the signal arrives before its handler is installed; the VM then serves
/// nobody until it is restarted.
#[tokio::test]
async fn a_reload_during_the_start_does_not_end_the_process() {
    let mut cluster = Cluster::start(POOLED, 1, 1).await;
    for _turn in 0..30 {
        cluster.nodes[0].restart();
        let ready = cluster.nodes[0].ready;
        // The readiness port is the earliest visible sign of the process:
        // it has not bound all of its addresses by then.
        while std::net::TcpStream::connect(ready).is_err() {}

        cluster.nodes[0].signal(Signal::HUP);
        tokio::time::sleep(Duration::from_millis(30)).await;

        assert!(cluster.nodes[0].is_running());
    }
}

/// Guards against a VM that reports its state before it accepts callers.
#[tokio::test]
async fn a_starting_daemon_accepts_callers_before_it_reports() {
    let mut cluster = Cluster::start(POOLED, 1, 1).await;
    for _turn in 0..30 {
        cluster.nodes[0].restart();
        let node = &cluster.nodes[0];
        while std::net::TcpStream::connect(node.ready).is_err() {}

        let caller = std::net::TcpStream::connect(node.traffic);

        assert!(caller.is_ok(), "{caller:?}");
    }
}

/// Guards against a draining VM that abandons a slow attempt for one at
/// another server: the work is done twice, and the request fails if the other
/// server has too little time. The VM waits for the response in flight.
#[tokio::test]
async fn a_draining_daemon_abandons_no_request_in_flight() {
    let cluster = Cluster::start(POOLED, 2, 1).await;
    let work = Duration::from_millis(1_500);
    for server in &cluster.servers {
        server.set_behavior(ServerBehavior::Responds(work));
    }
    let attempt = cluster.next_attempt();
    let request = cluster.request(0, Method::GET, "/list/all", &attempt);

    let response = stop_while_running(&cluster, &attempt, request).await;

    assert_eq!(response.status(), 200);
    assert_eq!(cluster.executions_of(&attempt), 1);
}

/// Guards against a close that waits for the store. If the store stops
/// responding just before the stop, the lease cannot be ended; a VM that
/// waits for it accepts callers until the process is killed, and an order
/// then in flight is lost. The VM must close its idle connection first.
#[tokio::test]
async fn an_unresponsive_store_does_not_delay_the_close() {
    let mut store = StoreStandin::spawn().await;
    let relay = Relay::spawn(store.address);
    store.address = relay.address;
    let cluster = Cluster::start_on(store, POOLED, 1, 1).await;
    let work = Duration::from_millis(2_900);
    cluster.servers[0].set_behavior(ServerBehavior::Responds(work));
    let traffic = cluster.nodes[0].traffic;
    let mut idle = tokio::net::TcpStream::connect(traffic)
        .await
        .expect("connection succeeds");
    relay.set_behavior(RelayBehavior::Discards);
    cluster.nodes[0].signal(Signal::TERM);
    tokio::time::sleep(Duration::from_millis(800)).await;
    let attempt = cluster.next_attempt();
    let request = cluster.request(0, Method::POST, "/order/1", &attempt);
    let mut sent = tokio::spawn(request.send());

    let mut byte = [0; 1];
    tokio::select! {
        closed = idle.read(&mut byte) => {
            assert_eq!(closed.expect("connection closes without a reset"), 0);
        }
        _response = &mut sent => panic!("the VM still accepts callers"),
    }

    let response = sent
        .await
        .expect("request task does not panic")
        .expect("response arrives");
    assert_eq!(response.status(), 200);
}

/// Guards against orders that are lost because they arrive, on open and on new
/// connections, while a stopping process that is short of CPU time closes.
#[tokio::test]
async fn requests_that_arrive_before_the_close_are_served() {
    let mut cluster = Cluster::start(POOLED, 1, 1).await;
    let traffic = cluster.nodes[0].traffic;
    let connect = async || {
        let stream = TcpStream::connect(traffic).await;
        stream.expect("connection succeeds")
    };
    let mut callers = vec![connect().await];
    pause_in_drain(&cluster).await;
    callers.push(connect().await);
    let mut attempts = Vec::new();
    for caller in &mut callers {
        let attempt = cluster.next_attempt();
        let order = order(&attempt);
        caller.write_all(order.as_bytes()).await.expect("order is sent");
        attempts.push(attempt);
    }
    tokio::time::sleep(PAUSE).await;

    cluster.nodes[0].signal(Signal::CONT);

    for (caller, attempt) in callers.iter_mut().zip(&attempts) {
        let mut response = String::new();
        let read = caller.read_to_string(&mut response).await;
        read.expect("connection is not reset");
        assert!(response.starts_with("HTTP/1.1 200"), "{response:?}");
        assert_eq!(cluster.executions_of(attempt), 1);
    }
    assert!(cluster.nodes[0].wait_for_exit().await.success());
}

/// Guards against a process that exits while a caller's connection still waits
/// to be accepted, as no other one is open.
#[tokio::test]
async fn a_connection_in_the_queue_is_served_before_the_exit() {
    let mut cluster = Cluster::start(POOLED, 1, 1).await;
    let attempt = cluster.next_attempt();
    pause_in_drain(&cluster).await;
    let mut caller = RawCaller::connect(&cluster).await;
    caller.send(&order(&attempt)).await;
    tokio::time::sleep(PAUSE).await;

    cluster.nodes[0].signal(Signal::CONT);

    let responses = caller.read_responses(1).await;
    assert_eq!(responses.len(), 1);
    assert!(responses[0].starts_with("200"), "{responses:?}");
    assert!(cluster.nodes[0].wait_for_exit().await.success());
}

/// Guards against a new connection that is closed before the first request on
/// it can have arrived.
#[tokio::test]
async fn a_new_connection_gets_time_for_its_request() {
    const ROUND_TRIP: Duration = Duration::from_millis(60);
    let cluster = Cluster::start(POOLED, 1, 1).await;
    let attempt = cluster.next_attempt();
    pause_in_drain(&cluster).await;
    let mut caller = RawCaller::connect(&cluster).await;
    tokio::time::sleep(PAUSE).await;
    cluster.nodes[0].signal(Signal::CONT);

    tokio::time::sleep(ROUND_TRIP).await;
    caller.send(&order(&attempt)).await;

    let responses = caller.read_responses(1).await;
    assert_eq!(responses.len(), 1);
    assert!(responses[0].starts_with("200"), "{responses:?}");
}

/// Guards against pipelined requests that are dropped by the close after the
/// response ahead of them.
#[tokio::test]
async fn a_stopped_daemon_serves_the_requests_behind_a_response() {
    let mut cluster = Cluster::start(POOLED, 1, 1).await;
    let work = Duration::from_secs(1);
    cluster.servers[0].set_behavior(ServerBehavior::Responds(work));
    let attempts = [cluster.next_attempt(), cluster.next_attempt()];
    let mut caller = RawCaller::connect(&cluster).await;
    caller.send(&order(&attempts[0])).await;
    eventually(async || cluster.executions_of(&attempts[0]) == 1).await;

    cluster.nodes[0].signal(Signal::TERM);
    caller.send(&order(&attempts[1])).await;

    let responses = caller.read_responses(2).await;
    assert_eq!(responses.len(), 2, "{responses:?}");
    for (response, attempt) in responses.iter().zip(&attempts) {
        assert!(response.starts_with("200"), "{response:?}");
        assert_eq!(cluster.executions_of(attempt), 1);
    }
    assert!(cluster.nodes[0].wait_for_exit().await.success());
}

/// Guards against callers whose connection is closed without a response: a
/// server that is overloaded never responds, and the VM's grace period ends
/// before their deadline.
#[tokio::test]
async fn a_request_without_an_answer_is_told_so_before_the_process_exits() {
    let mut cluster = Cluster::start(POOLED, 1, 1).await;
    let mut patient = configuration(2, Some("/more/"));
    patient["routes"]["order"]["timeout"] = json!("20s");
    cluster.store.put("op/config", &patient);
    eventually(async || cluster.get(0, "/more/all").await.status() == 200)
        .await;
    cluster.servers[0].set_behavior(ServerBehavior::Withholds);
    let attempt = cluster.next_attempt();
    let request = cluster.request(0, Method::POST, "/order/1", &attempt);
    let deadline = HeaderMap::from_iter([(
        HeaderName::from_static("x-deadline-ms"),
        HeaderValue::from_static("20000"),
    )]);
    let request = request.headers(deadline);

    let response = stop_while_running(&cluster, &attempt, request).await;

    assert_eq!(response.status(), 504);
    assert!(cluster.nodes[0].wait_for_exit().await.success());
}

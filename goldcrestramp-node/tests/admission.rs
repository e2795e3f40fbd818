//! Admission: what callers of a full server receive, and what the server is
//! sent.

mod one_node;

use std::time::Duration;

use futures_util::future::join_all;
use goldcrestramp_standins::{
    ExecutionEntry,
    server::{ServerBehaviour, WorkTimes},
};
use goldcrestramp_wire::peer::{
    RouteRequest, peer_client::PeerClient, route_frame::Frame,
};
use reqwest::{Method, Response};

use crate::one_node::OneNode;

/// A deadline that also a slow machine meets.
const PATIENT_MS: u64 = 20_000;

fn outcome(response: &Response) -> String {
    let outcome = &response.headers()["goldcrestramp-outcome"];
    outcome.to_str().expect("header is text").to_owned()
}

/// A caller sends sixty lookups at once to a server that completes ten before
/// their deadline. Those that cannot be served are refused with a time to
/// retry after, and another caller's lookups are all served meanwhile.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn a_busy_caller_is_refused_and_another_is_served() {
    let one = OneNode::spawn(2, 50).await;
    let busy = (0..60).map(|number| {
        let key = format!("k{number}");
        one.request(Method::GET, &key, "hot", 300).send()
    });
    let rare = async {
        let mut outcomes = Vec::new();
        for number in 0..5 {
            let key = format!("r{number}");
            let request = one.request(Method::GET, &key, "rare", PATIENT_MS);
            outcomes.push(outcome(
                &request.send().await.expect("request gets a response"),
            ));
        }
        outcomes
    };
    let (busy, rare) = tokio::join!(join_all(busy), rare);

    let busy: Vec<_> = busy
        .into_iter()
        .map(|a| a.expect("request gets a response"))
        .collect();
    let refused: Vec<_> = busy
        .iter()
        .filter(|response| outcome(response) == "not-run")
        .collect();
    assert!(!refused.is_empty(), "sixty lookups take 1.5 s with two slots");
    for response in refused {
        let headers = response.headers();
        assert!(headers.contains_key("retry-after"), "{headers:?}");
        assert!(headers.contains_key("goldcrestramp-retry-after-ms"));
    }
    assert_eq!(rare, ["done"; 5]);
}

/// More requests wait than the server has slots: it never runs more at once
/// than its slots.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn a_server_runs_no_more_at_once_than_its_slots() {
    const SLOTS: usize = 2;
    const WORK_MS: u64 = 20;
    let one = OneNode::spawn(2, WORK_MS).await;
    let requests = (0..20).map(|number| {
        let (key, caller) = (format!("k{number}"), format!("c{}", number % 4));
        one.request(Method::GET, &key, &caller, PATIENT_MS).send()
    });
    for response in join_all(requests).await {
        assert_eq!(
            outcome(&response.expect("request gets a response")),
            "done"
        );
    }

    let mut starts: Vec<_> =
        executions(&one).iter().map(|e| e.started.as_micros()).collect();
    starts.sort_unstable();
    for (first, later) in starts.iter().zip(&starts[SLOTS..]) {
        assert!(later - first >= WORK_MS * 1_000, "{starts:?}");
    }
}

/// What the server has executed so far.
fn executions(one: &OneNode) -> Vec<ExecutionEntry> {
    one.server.log().executions
}

/// A caller resends an order twice: while it runs, and after it has completed.
/// The server executes it once.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn a_resent_order_is_executed_once() {
    let one = OneNode::spawn(2, 300).await;
    let order = |resend: &'static str| {
        one.request(Method::POST, "rice", "tienda", PATIENT_MS)
            .header("goldcrestramp-request", "order-1")
            .header("goldcrestramp-resend", resend)
            .body("5 sacks")
            .send()
    };
    let first = tokio::spawn(order("false"));
    let started = async {
        while !executions(&one).iter().any(|e| e.request.ends_with("order-1"))
        {
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
    };
    started.await;
    let second = order("true").await.expect("request gets a response");
    let first = first
        .await
        .expect("task does not panic")
        .expect("request gets a response");
    assert_eq!(outcome(&first), "done");
    // Until the body is complete the order may still be in flight.
    assert!(!first.bytes().await.expect("body is complete").is_empty());
    let third = order("true").await.expect("request gets a response");

    assert_eq!(outcome(&second), "unknown");
    assert_eq!(outcome(&third), "done", "the server stores its responses");
    let log = executions(&one);
    let runs = log.iter().filter(|e| e.request.ends_with("order-1")).count();
    assert_eq!(runs, 1);
}

/// A caller disconnects while its lookups are queued: most never reach the
/// server, and their positions are free for others.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn requests_of_a_disconnected_caller_leave_the_queue() {
    let one = OneNode::spawn(1, 200).await;
    let abandoned = (0..10).map(|number| {
        let key = format!("gone-{number}");
        one.request(Method::GET, &key, "gone", PATIENT_MS).send()
    });
    let disconnected =
        tokio::time::timeout(Duration::from_millis(100), join_all(abandoned))
            .await;
    assert!(disconnected.is_err(), "ten lookups take two seconds");
    let request = one.request(Method::GET, "k", "here", PATIENT_MS).send();
    let response = request.await.expect("request gets a response");

    assert_eq!(outcome(&response), "done");
    let served = executions(&one).len();
    assert!(served < 12, "{served} requests were executed");
}

/// Gateways of two regions send requests to one keeper: the bytes that cross
/// the paid link are counted by service and caller, and the responses are
/// complete.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn responses_to_another_region_are_counted() {
    let one = OneNode::spawn(2, 1).await;
    let peers = one.node.addresses().peers;
    let mut peer = PeerClient::connect(format!("http://{peers}"))
        .await
        .expect("connection succeeds");
    let mut lengths = Vec::new();
    for (region, class) in
        [("sierra", "long"), ("costa", "lookup"), ("costa", "long")]
    {
        let request = RouteRequest {
            service: "stock".to_owned(),
            key: "rice".into(),
            caller: "tienda".to_owned(),
            request: format!("{region}-{class}"),
            class: class.to_owned(),
            left_micros: PATIENT_MS * 1_000,
            region: region.to_owned(),
            ..RouteRequest::default()
        };
        let frames = peer.route(request).await.expect("request is accepted");
        let mut frames = frames.into_inner();
        let mut length = None;
        while let Some(frame) = frames.message().await.expect("frame arrives")
        {
            if let Some(Frame::End(end)) = frame.frame {
                length = Some(end.length);
            }
        }
        lengths.push(length.expect("response is complete"));
    }

    let crossed: u64 = lengths[1..].iter().sum();
    let metrics =
        one.node.context().metrics.encode().expect("metrics are encoded");
    let line = format!(
        "goldcrestramp_link_bytes_total\
         {{service=\"stock\",caller=\"tienda\"}} {crossed}"
    );
    assert!(metrics.contains(&line), "{metrics}");
}

/// A caller starts a download and stops reading. The stalled response holds
/// the only slot until a lookup has waited for it for some seconds; then the
/// download is closed, and the lookup is served.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn a_stalled_reader_loses_its_slot_to_others() {
    // More than all buffers of the connections hold together.
    let behaviour = ServerBehaviour {
        long_bytes: 64 * 1_024 * 1_024,
        work: WorkTimes::fixed(1),
        ..ServerBehaviour::default()
    };
    let one = OneNode::spawn_with(1, behaviour).await;
    let download = one
        .request(Method::GET, "book", "phone", PATIENT_MS)
        .header("goldcrestramp-class", "long");
    let download = download.send().await.expect("download begins");
    let request = one.request(Method::GET, "k", "here", PATIENT_MS).send();
    let lookup = request.await.expect("request gets a response");
    let rest = download.bytes().await;

    assert_eq!(outcome(&lookup), "done");
    assert!(rest.is_err(), "an incomplete response must not look complete");
}

/// One request of the overload, with its response.
struct LoadedCall {
    caller: usize,
    id: String,
    response: Response,
}

/// Equal callers send ten times the capacity of a server for two seconds:
/// orders and lookups, each with a deadline of one second.
async fn tenfold_load(one: &OneNode) -> Vec<LoadedCall> {
    let calls = (0..CALLS).map(|number| async move {
        tokio::time::sleep(CALL_INTERVAL * number).await;
        let caller = number as usize % CALLERS;
        let class = number as usize / CALLERS % 2;
        let method = [Method::POST, Method::GET][class].clone();
        let (key, name) = (format!("k{number}"), format!("c{caller}"));
        let id = format!("n{number}");
        let request = one.request(method, &key, &name, 1_000);
        let request = request.header("goldcrestramp-request", &id);
        let response = request.send().await.expect("request gets a response");
        LoadedCall { caller, id, response }
    });
    join_all(calls).await
}

const CALLERS: usize = 8;
/// Ten times the capacity of two slots of 50 ms, so 400 a second.
const CALLS: u32 = 800;
const CALL_INTERVAL: Duration = Duration::from_micros(2_500);

/// Requests arrive at ten times the capacity of a server. Each refused one
/// gets a reason and a time to retry after, and did not run. Nothing runs
/// twice, the server stays busy, and equal callers get about equal shares.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn tenfold_overload_is_refused_with_true_outcomes_and_shared() {
    let one = OneNode::spawn(2, 50).await;
    let start = std::time::Instant::now();
    let calls = tenfold_load(&one).await;
    let took = start.elapsed().as_secs_f64();

    let runs = |id: &str| {
        let log = one.server.log();
        let executions = log.executions.iter();
        executions.filter(|e| e.request.ends_with(&format!("/{id}"))).count()
    };
    let mut done = [0_u32; CALLERS];
    for call in &calls {
        let headers = call.response.headers();
        match outcome(&call.response).as_str() {
            "done" => {
                done[call.caller] += 1;
                assert_eq!(runs(&call.id), 1, "{}", call.id);
            }
            "not-run" => {
                assert!(headers.contains_key("retry-after"), "{headers:?}");
                assert_eq!(runs(&call.id), 0, "{}", call.id);
            }
            _ => assert!(runs(&call.id) <= 1, "{}", call.id),
        }
    }
    let all: u32 = done.iter().sum();
    // Two slots complete 40 a second; a slow machine may reach a quarter.
    assert!(f64::from(all) > 40.0 * took / 4.0, "{done:?} in {took} s");
    let least = done.iter().min().expect("there are callers");
    assert!(least * 8 * 4 > all, "{done:?}");
}

/// A busy caller has more requests queued at one keeper than a connection
/// between two VMs carries at once. Another caller's lookups still reach the
/// keeper's queue and get their share there.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn a_busy_caller_does_not_fill_the_connection_to_the_keeper() {
    let one = OneNode::spawn(1, 10).await;
    let busy = (0..400).map(|number| {
        let key = format!("h{number}");
        one.request(Method::GET, &key, "hot", PATIENT_MS).send()
    });
    let rare = async {
        tokio::time::sleep(Duration::from_millis(500)).await;
        let start = executions(&one).len();
        for number in 0..5 {
            let key = format!("r{number}");
            let request = one.request(Method::GET, &key, "rare", PATIENT_MS);
            assert_eq!(
                outcome(
                    &request.send().await.expect("request gets a response")
                ),
                "done"
            );
        }
        executions(&one).len() - start
    };
    let (_busy, executed) = tokio::join!(join_all(busy), rare);

    // In turns they take ten, and a few in flight between two of them.
    assert!(executed < 100, "{executed} requests ran meanwhile");
}

/// A caller gets the complete response to an order and resends it at once: it
/// gets the same response, as the keeper records the end before it sends the
/// last byte. If it recorded it later, the order could be reported as still
/// in flight.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn a_resend_right_after_the_response_gets_the_same() {
    let one = OneNode::spawn(2, 1).await;
    for number in 0..200 {
        let order = |resend: &'static str| {
            one.request(Method::POST, "rice", "tienda", PATIENT_MS)
                .header("goldcrestramp-request", format!("order-{number}"))
                .header("goldcrestramp-resend", resend)
                .send()
        };
        let first = order("false").await.expect("request gets a response");
        let first = first.bytes().await.expect("body is complete");
        let second = order("true").await.expect("request gets a response");

        assert_eq!(outcome(&second), "done", "order {number}");
        assert_eq!(second.bytes().await.expect("body is complete"), first);
    }
}

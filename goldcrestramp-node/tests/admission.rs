//! What callers of a full server receive, and what it is sent.

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

/// A deadline that no machine is too slow for.
const PATIENT_MS: u64 = 20_000;

fn outcome(answer: &Response) -> String {
    let outcome = &answer.headers()["goldcrestramp-outcome"];
    outcome.to_str().expect("a code").to_owned()
}

/// A caller sends sixty lookups at once to a server that does ten in their
/// time. Those that cannot be served are refused, and told when to come
/// back; another caller's lookups meanwhile are all served.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn a_hot_caller_is_refused_and_another_is_served() {
    let one = OneNode::spawn(2, 50).await;
    let hot = (0..60).map(|number| {
        let key = format!("k{number}");
        one.request(Method::GET, &key, "hot", 300).send()
    });
    let rare = async {
        let mut outcomes = Vec::new();
        for number in 0..5 {
            let key = format!("r{number}");
            let ask = one.request(Method::GET, &key, "rare", PATIENT_MS);
            outcomes.push(outcome(&ask.send().await.expect("an answer")));
        }
        outcomes
    };
    let (hot, rare) = tokio::join!(join_all(hot), rare);

    let hot: Vec<_> = hot.into_iter().map(|a| a.expect("an answer")).collect();
    let refused: Vec<_> =
        hot.iter().filter(|answer| outcome(answer) == "not-run").collect();
    assert!(!refused.is_empty(), "sixty take 1.5 s of two slots");
    for answer in refused {
        let headers = answer.headers();
        assert!(headers.contains_key("retry-after"), "{headers:?}");
        assert!(headers.contains_key("goldcrestramp-retry-after-ms"));
    }
    assert_eq!(rare, ["done"; 5]);
}

/// More requests wait than the server has slots: it runs no more of them at
/// once than those.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn a_server_runs_no_more_at_once_than_its_slots() {
    const SLOTS: usize = 2;
    const WORK_MS: u64 = 20;
    let one = OneNode::spawn(2, WORK_MS).await;
    let asks = (0..20).map(|number| {
        let (key, caller) = (format!("k{number}"), format!("c{}", number % 4));
        one.request(Method::GET, &key, &caller, PATIENT_MS).send()
    });
    for answer in join_all(asks).await {
        assert_eq!(outcome(&answer.expect("an answer")), "done");
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

/// A phone sends an order, loses patience and sends it twice more: while it
/// runs, and after it has ended. The server sees it once.
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
    let second = order("true").await.expect("an answer");
    let first = first.await.expect("no panic").expect("an answer");
    let third = order("true").await.expect("an answer");

    assert_eq!(outcome(&second), "unknown");
    assert_eq!(outcome(&first), "done");
    assert_eq!(outcome(&third), "done", "the server keeps its answers");
    let log = executions(&one);
    let runs = log.iter().filter(|e| e.request.ends_with("order-1")).count();
    assert_eq!(runs, 1);
}

/// A caller hangs up while its lookups wait: they never reach the server,
/// and their places are free for others.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn a_caller_that_hangs_up_leaves_the_queue() {
    let one = OneNode::spawn(1, 200).await;
    let gone = (0..10).map(|number| {
        let key = format!("gone-{number}");
        one.request(Method::GET, &key, "gone", PATIENT_MS).send()
    });
    let hung_up =
        tokio::time::timeout(Duration::from_millis(100), join_all(gone)).await;
    assert!(hung_up.is_err(), "ten take two seconds");
    let ask = one.request(Method::GET, "k", "here", PATIENT_MS).send();
    let answer = ask.await.expect("an answer");

    assert_eq!(outcome(&answer), "done");
    let served = executions(&one).len();
    assert!(served < 12, "all of {served} were sent");
}

/// Gateways of two regions ask one keeper: what crosses the paid link is
/// counted by service and caller, and arrives whole.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn answers_to_another_region_are_counted() {
    let one = OneNode::spawn(2, 1).await;
    let peers = one.node.addresses().peers;
    let mut peer = PeerClient::connect(format!("http://{peers}"))
        .await
        .expect("connected");
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
        let frames = peer.route(request).await.expect("taken");
        let mut frames = frames.into_inner();
        let mut length = None;
        while let Some(frame) = frames.message().await.expect("a frame") {
            if let Some(Frame::End(end)) = frame.frame {
                length = Some(end.length);
            }
        }
        lengths.push(length.expect("a whole answer"));
    }

    let crossed: u64 = lengths[1..].iter().sum();
    let metrics = one.node.context().metrics.encode().expect("text");
    let line = format!(
        "goldcrestramp_link_bytes_total\
         {{service=\"stock\",caller=\"tienda\"}} {crossed}"
    );
    assert!(metrics.contains(&line), "{metrics}");
}

/// A phone starts a download and stops reading. The answer stands still and
/// holds the only slot, until a lookup has waited for it for some seconds:
/// then the download breaks off, and the lookup is served.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn a_reader_that_stalls_loses_its_slot_to_others() {
    // More than all buffers on the way hold together.
    let behaviour = ServerBehaviour {
        long_bytes: 64 * 1_024 * 1_024,
        work: WorkTimes::fixed(1),
        ..ServerBehaviour::default()
    };
    let one = OneNode::spawn_with(1, behaviour).await;
    let download = one
        .request(Method::GET, "book", "phone", PATIENT_MS)
        .header("goldcrestramp-class", "long");
    let download = download.send().await.expect("it begins");
    let ask = one.request(Method::GET, "k", "here", PATIENT_MS).send();
    let lookup = ask.await.expect("an answer");
    let rest = download.bytes().await;

    assert_eq!(outcome(&lookup), "done");
    assert!(rest.is_err(), "an answer that is not whole must not look so");
}

/// What one request of the overload came to.
struct LoadedCall {
    caller: usize,
    id: String,
    answer: Response,
}

/// Callers in equal parts send ten times what a server can do, for two
/// seconds: orders and lookups, whose callers wait a second each.
async fn tenfold_load(one: &OneNode) -> Vec<LoadedCall> {
    let calls = (0..CALLS).map(|number| async move {
        tokio::time::sleep(CALL_EVERY * number).await;
        let caller = number as usize % CALLERS;
        let class = number as usize / CALLERS % 2;
        let method = [Method::POST, Method::GET][class].clone();
        let (key, name) = (format!("k{number}"), format!("c{caller}"));
        let id = format!("n{number}");
        let ask = one.request(method, &key, &name, 1_000);
        let ask = ask.header("goldcrestramp-request", &id);
        let answer = ask.send().await.expect("an answer");
        LoadedCall { caller, id, answer }
    });
    join_all(calls).await
}

const CALLERS: usize = 8;
/// Ten times what two slots of 50 ms do: 400 a second.
const CALLS: u32 = 800;
const CALL_EVERY: Duration = Duration::from_micros(2_500);

/// Ten times more comes than a server can do. Whoever is refused is told
/// why and when to come back, and that is true; nothing runs twice; the
/// server is kept at work, and equal callers get about the same of it.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn tenfold_overload_is_refused_truly_and_shared() {
    let one = OneNode::spawn(2, 50).await;
    let began = std::time::Instant::now();
    let calls = tenfold_load(&one).await;
    let took = began.elapsed().as_secs_f64();

    let runs = |id: &str| {
        let log = one.server.log();
        let executions = log.executions.iter();
        executions.filter(|e| e.request.ends_with(&format!("/{id}"))).count()
    };
    let mut done = [0_u32; CALLERS];
    for call in &calls {
        let headers = call.answer.headers();
        match outcome(&call.answer).as_str() {
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
    // Two slots do 40 a second; the bound leaves a slow machine room.
    assert!(f64::from(all) > 40.0 * took / 4.0, "{done:?} in {took} s");
    let least = done.iter().min().expect("eight callers");
    assert!(least * 8 * 4 > all, "{done:?}");
}

/// A hot caller has more requests waiting at one keeper than a connection
/// between two VMs carries at once. Another caller's lookups still reach
/// the keeper's queue and get their share there.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn a_hot_caller_does_not_fill_the_way_to_the_keeper() {
    let one = OneNode::spawn(1, 10).await;
    let hot = (0..400).map(|number| {
        let key = format!("h{number}");
        one.request(Method::GET, &key, "hot", PATIENT_MS).send()
    });
    let rare = async {
        tokio::time::sleep(Duration::from_millis(500)).await;
        let began = executions(&one).len();
        for number in 0..5 {
            let key = format!("r{number}");
            let ask = one.request(Method::GET, &key, "rare", PATIENT_MS);
            assert_eq!(outcome(&ask.send().await.expect("whole")), "done");
        }
        executions(&one).len() - began
    };
    let (_hot, passed) = tokio::join!(join_all(hot), rare);

    // Turn by turn they take ten, and a few on the way between two.
    assert!(passed < 100, "{passed} of the others went before");
}

//! What callers receive of moves, losses and ways between daemons.

mod far_link;
mod one_domain;

use std::time::Duration;

use goldcrestramp_standins::server::ServerFaults;
use goldcrestramp_wire::peer::{
    RouteFrame, RouteRequest, peer_client::PeerClient, route_frame::Frame,
};
use one_domain::OneDomain;
use reqwest::{Method, Response};
use tokio::net::TcpListener;

const KEY: &str = "rice";
/// Longer than a move takes by far; only a failed test sees it.
const LIMIT: Duration = Duration::from_mins(1);

/// Sends the same order through one of the daemons; outcome and body.
async fn order(
    domain: &OneDomain,
    node: usize,
    is_resend: bool,
) -> (String, String) {
    let answer = domain
        .request(node, Method::POST, KEY)
        .header("goldcrestramp-request", "order-1")
        .header("goldcrestramp-resend", is_resend.to_string())
        .body("5 sacks")
        .send()
        .await
        .expect("an answer");
    let outcome = outcome(&answer);
    (outcome, answer.text().await.expect("a whole body"))
}

fn outcome(answer: &Response) -> String {
    let outcome = &answer.headers()["goldcrestramp-outcome"];
    outcome.to_str().expect("a code").to_owned()
}

/// Sends an order, and moves its slice to the other server on a plan; the
/// first answer, and the VMs that keep the server before and after.
async fn order_and_move(
    domain: &mut OneDomain,
) -> ((String, String), [usize; 2]) {
    let first = order(domain, 0, false).await;
    let owner = domain.runs("order-1").iter().position(|runs| *runs > 0);
    let owner = owner.expect("it ran");
    let next = 1 - owner;
    let keepers =
        [domain.keeper_of(owner).await, domain.keeper_of(next).await];
    domain.drain_server(owner).await;
    domain.wait_until_run_by(next, KEY).await;
    (first, keepers)
}

/// A phone sends an order and loses the answer. Its server is taken out of
/// service on a plan, and its slices move to another one, kept by another
/// VM, which has never seen the order. The phone sends it again, through a
/// third VM, and gets the first answer; the order ran once.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn a_resend_after_a_planned_move_gets_the_first_answer() {
    let mut domain = OneDomain::spawn(11, 3).await;
    let (first, keepers) = order_and_move(&mut domain).await;
    let third = (0..3).find(|node| !keepers.contains(node));

    let again = order(&domain, third.expect("a third VM"), true).await;

    assert_ne!(keepers[0], keepers[1], "two VMs keep a server each");
    assert_eq!(first.0, "done");
    assert_eq!(again, first);
    assert_eq!(domain.runs("order-1").iter().sum::<usize>(), 1);
}

/// After such a move the new keeper's VM is stopped on a plan too. It knew
/// of the order by hearsay alone, and tells the third one before it ends.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn a_resend_after_a_planned_stop_gets_the_first_answer() {
    let mut domain = OneDomain::spawn(13, 3).await;
    let (first, [_, keeper]) = order_and_move(&mut domain).await;
    let heard = order(&domain, keeper, true).await;
    domain.nodes[keeper].drain().await;
    let stopped = domain.nodes.remove(keeper);
    drop(stopped);

    let again = order(&domain, 0, true).await;

    assert_eq!(first.0, "done");
    assert_eq!((&heard, &again), (&first, &first));
    assert_eq!(domain.runs("order-1").iter().sum::<usize>(), 1);
}

/// The first frame of a keeper's answer to an order that arrives past its
/// deadline, as it does after a slow way.
async fn late_order(domain: &OneDomain, is_resend: bool) -> RouteFrame {
    let keeper = domain.keeper_of(0).await;
    let peers = domain.nodes[keeper].addresses().peers;
    let url = format!("http://{peers}");
    let mut peer = PeerClient::connect(url).await.expect("connected");
    let key = domain.key_of(0).await;
    let request = RouteRequest {
        service: "stock".to_owned(),
        key: key.into(),
        caller: "tienda".to_owned(),
        request: "order-2".to_owned(),
        class: "order".to_owned(),
        region: "sierra".to_owned(),
        server: "stock-0".to_owned(),
        resend: is_resend,
        ..RouteRequest::default()
    };
    let frames = peer.route(request).await.expect("taken");
    let first = frames.into_inner().message().await.expect("a frame");
    first.expect("a first frame")
}

/// An order was sent before a keeper's time; its resend arrives late. "Its
/// deadline passed, so it did not run" is true of the resend alone: the
/// caller would send the order again under a new id, and two would run.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn a_late_resend_is_not_called_not_run() {
    let domain = OneDomain::spawn(12, 1).await;

    let first = late_order(&domain, false).await.frame;
    let again = late_order(&domain, true).await.frame;

    assert!(matches!(first, Some(Frame::NotRun(_))), "{first:?}");
    assert!(matches!(again, Some(Frame::Unknown(_))), "{again:?}");
}

/// Asks for each key once; those that the first server ran.
async fn run_by_first(
    domain: &OneDomain,
    round: u32,
    keys: &[String],
) -> Vec<String> {
    let mut run = Vec::new();
    for key in keys {
        let id = format!("{round}-{key}");
        let ask = domain.request(0, Method::GET, key);
        let ask = ask.header("goldcrestramp-request", &id);
        ask.send().await.expect("an answer");
        if domain.runs(&id)[0] > 0 {
            run.push(key.clone());
        }
    }
    run
}

/// A server becomes twenty times slower. It is asked so little that its slots
/// never fill, so by its load alone it would keep its keys, and their
/// callers would wait for each answer twenty times as long. Its keeper reports
/// it as full, and most of its keys move to the other server.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn a_slow_servers_keys_move_away() {
    let domain = OneDomain::spawn(21, 2).await;
    let all: Vec<_> = (0..30).map(|n| format!("k{n}")).collect();
    let keys = run_by_first(&domain, 0, &all).await;
    domain.servers[0].set_faults(ServerFaults {
        slow_percent: 2_000,
        ..ServerFaults::default()
    });

    let asking = async {
        for round in 1.. {
            let left = run_by_first(&domain, round, &keys).await;
            if left.len() * 2 < keys.len() {
                return;
            }
        }
    };

    let moved = tokio::time::timeout(LIMIT, asking).await;
    assert!(moved.is_ok(), "most of {} keys are left", keys.len());
}

/// A keeper is far: each way takes 150 ms. A caller waits 100 ms for a
/// lookup. The request would reach the keeper after that, with the time
/// that was left at its gateway, and hold a slot for nobody; the gateway
/// knows the way by then, and says at once that it cannot be in time.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn what_cannot_arrive_in_time_is_not_sent() {
    let way = Duration::from_millis(150);
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("bound");
    let far = listener.local_addr().expect("an address");
    let mut listener = Some(listener);
    let domain = OneDomain::spawn_with(14, 1, |settings| {
        settings.peers_address = Some(far);
        if let Some(listener) = listener.take() {
            let near = settings.peers_listen;
            tokio::spawn(far_link::serve(listener, near, way));
        }
    })
    .await;
    let ask = |deadline_ms: u32, id: &'static str| {
        domain
            .request_within(deadline_ms, 0, Method::GET, KEY)
            .header("goldcrestramp-request", id)
            .send()
    };
    for _ in 0..3 {
        ask(20_000, "patient").await.expect("an answer");
    }

    let late = ask(100, "late").await.expect("an answer");
    let patient = ask(20_000, "patient").await.expect("an answer");

    assert_eq!(outcome(&late), "not-run");
    assert_eq!(domain.runs("late").iter().sum::<usize>(), 0);
    assert_eq!(outcome(&patient), "done");
}

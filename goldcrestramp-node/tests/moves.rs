//! What callers receive when slices move, responses are lost or daemons are
//! far apart.

mod delayed_link;
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
/// Much longer than a move takes; only a failed test reaches it.
const TIMEOUT: Duration = Duration::from_mins(1);

/// Sends the same order through one of the daemons; returns the outcome and
/// the body of the response.
async fn order(
    domain: &OneDomain,
    node: usize,
    is_resend: bool,
) -> (String, String) {
    let response = domain
        .request(node, Method::POST, KEY)
        .header("goldcrestramp-request", "order-1")
        .header("goldcrestramp-resend", is_resend.to_string())
        .body("5 sacks")
        .send()
        .await
        .expect("request gets a response");
    let outcome = outcome(&response);
    (outcome, response.text().await.expect("body is complete"))
}

fn outcome(response: &Response) -> String {
    let outcome = &response.headers()["goldcrestramp-outcome"];
    outcome.to_str().expect("header is text").to_owned()
}

/// Sends an order, and moves its slice to the other server by a drain.
/// Returns the first response, and the keepers of both servers.
async fn order_and_move(
    domain: &mut OneDomain,
) -> ((String, String), [usize; 2]) {
    let first = order(domain, 0, false).await;
    let owner = domain.runs("order-1").iter().position(|runs| *runs > 0);
    let owner = owner.expect("request ran");
    let next = 1 - owner;
    let keepers =
        [domain.keeper_of(owner).await, domain.keeper_of(next).await];
    domain.drain_server(owner).await;
    domain.wait_until_run_by(next, KEY).await;
    (first, keepers)
}

/// Guards against a second run of an order whose slice has moved: its server
/// is drained, and the keeper of the next owner never saw the order. A
/// resend through a third VM gets the first response.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn a_resend_after_a_planned_move_gets_the_first_answer() {
    let mut domain = OneDomain::spawn(11, 3).await;
    let (first, keepers) = order_and_move(&mut domain).await;
    let third = (0..3).find(|node| !keepers.contains(node));

    let resent =
        order(&domain, third.expect("there is a third VM"), true).await;

    assert_ne!(keepers[0], keepers[1], "two VMs keep a server each");
    assert_eq!(first.0, "done");
    assert_eq!(resent, first);
    assert_eq!(domain.runs("order-1").iter().sum::<usize>(), 1);
}

/// The same, when the new keeper's VM is drained too. It knows the order
/// only from the records of the previous keeper, and must hand these on to
/// the third VM before it ends.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn a_resend_after_a_planned_stop_gets_the_first_answer() {
    let mut domain = OneDomain::spawn(13, 3).await;
    let (first, [_, keeper]) = order_and_move(&mut domain).await;
    let second = order(&domain, keeper, true).await;
    domain.nodes[keeper].drain().await;
    let stopped = domain.nodes.remove(keeper);
    drop(stopped);

    let resent = order(&domain, 0, true).await;

    assert_eq!(first.0, "done");
    assert_eq!((&second, &resent), (&first, &first));
    assert_eq!(domain.runs("order-1").iter().sum::<usize>(), 1);
}

/// Guards against lookups that end without a response because the VM that
/// keeps their server stops: the server goes on working on them.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn lookups_in_flight_complete_when_their_keeper_stops() {
    /// Longer than the handover of a server to another VM.
    const SLOW_PERCENT: u64 = 30_000;
    const LOOKUPS: usize = 4;
    let mut domain = OneDomain::spawn(19, 3).await;
    let keeper = domain.keeper_of(0).await;
    let gateway = (keeper + 1) % 3;
    let key = domain.key_of(0).await;
    let faults =
        ServerFaults { slow_percent: SLOW_PERCENT, ..ServerFaults::default() };
    domain.servers[0].set_faults(faults);
    let lookups = (0..LOOKUPS).map(|number| {
        let lookup = domain.request(gateway, Method::GET, &key);
        let lookup = lookup.header("goldcrestramp-caller", "once");
        let id = format!("slow-{number}");
        tokio::spawn(lookup.header("goldcrestramp-request", id).send())
    });
    let lookups: Vec<_> = lookups.collect();
    domain.wait_until_running(0, "slow-", LOOKUPS).await;

    domain.nodes[keeper].drain().await;

    for lookup in lookups {
        let response = lookup.await.expect("request task does not panic");
        let response = response.expect("request gets a response");
        assert_eq!(outcome(&response), "done");
    }
    for number in 0..LOOKUPS {
        let runs = domain.runs(&format!("slow-{number}"));
        assert_eq!(runs.iter().sum::<usize>(), 1, "slow-{number}");
    }
}

/// The first frame of a keeper's response to an order that arrives past its
/// deadline, as after a slow connection.
async fn late_order(domain: &OneDomain, is_resend: bool) -> RouteFrame {
    let keeper = domain.keeper_of(0).await;
    let peers = domain.nodes[keeper].addresses().peers;
    let url = format!("http://{peers}");
    let mut peer =
        PeerClient::connect(url).await.expect("connection succeeds");
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
    let frames = peer.route(request).await.expect("request is accepted");
    let first = frames.into_inner().message().await.expect("frame arrives");
    first.expect("stream has a first frame")
}

/// An order may have been sent before its keeper took over, and its resend
/// arrives past its deadline. "Not run" is true of the resend only: a
/// caller that believed it would send the order under a new id, and it
/// would run twice.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn a_late_resend_is_not_called_not_run() {
    let domain = OneDomain::spawn(12, 1).await;

    let first = late_order(&domain, false).await.frame;
    let resent = late_order(&domain, true).await.frame;

    assert!(matches!(first, Some(Frame::NotRun(_))), "{first:?}");
    assert!(matches!(resent, Some(Frame::Unknown(_))), "{resent:?}");
}

/// Looks up each key once; returns the keys that the first server ran.
async fn run_by_first(
    domain: &OneDomain,
    round: u32,
    keys: &[String],
) -> Vec<String> {
    let mut run = Vec::new();
    for key in keys {
        let id = format!("{round}-{key}");
        let request = domain.request(0, Method::GET, key);
        let request = request.header("goldcrestramp-request", &id);
        request.send().await.expect("request gets a response");
        if domain.runs(&id)[0] > 0 {
            run.push(key.clone());
        }
    }
    run
}

/// A server becomes twenty times slower. It gets so few requests that its
/// slots never fill, so by load alone it would keep its keys, and callers
/// would wait twenty times as long for each response. Its keeper reports it
/// as full, and most of its keys move to the other server.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn a_slow_servers_keys_move_away() {
    let domain = OneDomain::spawn(21, 2).await;
    let all: Vec<_> = (0..30).map(|n| format!("k{n}")).collect();
    let keys = run_by_first(&domain, 0, &all).await;
    domain.servers[0].set_faults(ServerFaults {
        slow_percent: 2_000,
        ..ServerFaults::default()
    });

    let lookups = async {
        for round in 1.. {
            let remaining = run_by_first(&domain, round, &keys).await;
            if remaining.len() * 2 < keys.len() {
                return;
            }
        }
    };

    let moved = tokio::time::timeout(TIMEOUT, lookups).await;
    assert!(moved.is_ok(), "most of {} keys have not moved", keys.len());
}

/// A keeper is remote: each direction takes 150 ms, and a caller waits 100 ms
/// for a lookup. The request would reach the keeper after that, with the
/// time that remained at its gateway, and occupy a slot for nobody. The
/// gateway has measured the delay by then and refuses the request at once.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn what_cannot_arrive_in_time_is_not_sent() {
    let delay = Duration::from_millis(150);
    let listener =
        TcpListener::bind("127.0.0.1:0").await.expect("address binds");
    let peers = listener.local_addr().expect("address is valid");
    let mut listener = Some(listener);
    let domain = OneDomain::spawn_with(14, 1, |settings| {
        settings.peers_address = Some(peers);
        if let Some(listener) = listener.take() {
            let listen = settings.peers_listen;
            tokio::spawn(delayed_link::serve(listener, listen, delay));
        }
    })
    .await;
    let request = |deadline_ms: u32, id: &'static str| {
        domain
            .request_within(deadline_ms, 0, Method::GET, KEY)
            .header("goldcrestramp-request", id)
            .send()
    };
    for _ in 0..3 {
        request(20_000, "patient").await.expect("request gets a response");
    }

    let late = request(100, "late").await.expect("request gets a response");
    let patient =
        request(20_000, "patient").await.expect("request gets a response");

    assert_eq!(outcome(&late), "not-run");
    assert_eq!(domain.runs("late").iter().sum::<usize>(), 0);
    assert_eq!(outcome(&patient), "done");
}

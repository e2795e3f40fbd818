//! What callers are told when a request was tried more than once.

mod one_node;

use std::time::Duration;

use goldcrestramp_standins::server::{
    ServerBehaviour, ServerFaults, WorkTimes,
};
use reqwest::{Method, Response};

use crate::one_node::OneNode;

/// A deadline that no machine is too slow for.
const PATIENT_MS: u64 = 20_000;

fn header<'a>(answer: &'a Response, name: &str) -> &'a str {
    answer.headers()[name].to_str().expect("a code")
}

fn shedding() -> ServerFaults {
    ServerFaults { shed_percent: 100, ..ServerFaults::default() }
}

/// Waits until the server has started a request whose id ends so.
async fn wait_started(one: &OneNode, id: &str) {
    let log = || one.server.log().executions;
    while !log().iter().any(|entry| entry.request.ends_with(id)) {
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
}

/// A lookup runs, but its answer comes crossed with another's, so it is sent
/// again. The server refuses the second try before its start: that says
/// nothing of the first, and the caller must not be told "not run".
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn a_refused_retry_does_not_deny_the_first_try() {
    let behaviour =
        ServerBehaviour { work: WorkTimes::fixed(300), ..Default::default() };
    let one = OneNode::spawn_with(2, behaviour).await;
    let ask = one
        .request(Method::GET, "rice", "tienda", PATIENT_MS)
        .header("goldcrestramp-request", "lookup-1");
    let asked = tokio::spawn(ask.send());
    wait_started(&one, "lookup-1").await;
    one.server.set_faults(ServerFaults { crossed: 1, ..shedding() });

    let answer = asked.await.expect("no panic").expect("an answer");

    assert_eq!(header(&answer, "goldcrestramp-outcome"), "unknown");
}

/// A phone's order ran, and its answer was lost on the way. The phone sends
/// the order again, but the gateway cannot find a server for it, or the
/// request is malformed by then. "Not run" would make the phone order anew,
/// and two parcels would come.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn a_resend_is_not_denied_by_one_who_cannot_know() {
    let one = OneNode::spawn(2, 1).await;
    let order = |key: &str, deadline_ms| {
        one.request(Method::POST, key, "tienda", deadline_ms)
            .header("goldcrestramp-request", "order-1")
    };
    let first = order("rice", PATIENT_MS).send().await.expect("an answer");
    assert_eq!(header(&first, "goldcrestramp-outcome"), "done");

    let too_long = order("rice", 3_000_000);
    let no_service = order("../none/rice", PATIENT_MS);
    for resend in [too_long, no_service] {
        let resend = resend.header("goldcrestramp-resend", "true");
        let answer = resend.send().await.expect("an answer");
        assert_eq!(header(&answer, "goldcrestramp-outcome"), "unknown");
        let body = answer.text().await.expect("a body");
        assert!(body.contains("resend-refused"), "{body}");
    }
}

//! Outcomes of requests that were attempted more than once.

mod one_node;

use std::time::Duration;

use goldcrestramp_standins::server::{
    ServerBehaviour, ServerFaults, WorkTimes,
};
use reqwest::{Method, Response};

use crate::one_node::OneNode;

/// A deadline that also a slow machine meets.
const PATIENT_MS: u64 = 20_000;

fn header<'a>(response: &'a Response, name: &str) -> &'a str {
    response.headers()[name].to_str().expect("header is text")
}

fn shedding() -> ServerFaults {
    ServerFaults { shed_percent: 100, ..ServerFaults::default() }
}

/// Waits until the server has started a request whose id ends with `id`.
async fn wait_started(one: &OneNode, id: &str) {
    let log = || one.server.log().executions;
    while !log().iter().any(|entry| entry.request.ends_with(id)) {
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
}

/// A lookup runs, but its response carries another request's id, so it is
/// retried. The server refuses the second attempt before its start. That
/// says nothing about the first one, so the outcome must not be "not run".
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn a_refused_retry_does_not_deny_the_first_attempt() {
    let behaviour =
        ServerBehaviour { work: WorkTimes::fixed(300), ..Default::default() };
    let one = OneNode::spawn_with(2, behaviour).await;
    let request = one
        .request(Method::GET, "rice", "tienda", PATIENT_MS)
        .header("goldcrestramp-request", "lookup-1");
    let sent = tokio::spawn(request.send());
    wait_started(&one, "lookup-1").await;
    one.server.set_faults(ServerFaults { crossed: 1, ..shedding() });

    let response = sent
        .await
        .expect("task does not panic")
        .expect("request gets a response");

    assert_eq!(header(&response, "goldcrestramp-outcome"), "unknown");
}

/// An order ran, its response was lost, and the caller resends it. The
/// gateway finds no server for it, or the resend is malformed. "Not run"
/// would make the caller send a new order, and two would run.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn a_refused_resend_has_an_unknown_outcome() {
    let one = OneNode::spawn(2, 1).await;
    let order = |key: &str, deadline_ms| {
        one.request(Method::POST, key, "tienda", deadline_ms)
            .header("goldcrestramp-request", "order-1")
    };
    let first = order("rice", PATIENT_MS)
        .send()
        .await
        .expect("request gets a response");
    assert_eq!(header(&first, "goldcrestramp-outcome"), "done");

    let too_long = order("rice", 3_000_000);
    let no_service = order("../none/rice", PATIENT_MS);
    for resend in [too_long, no_service] {
        let resend = resend.header("goldcrestramp-resend", "true");
        let response = resend.send().await.expect("request gets a response");
        assert_eq!(header(&response, "goldcrestramp-outcome"), "unknown");
        let body = response.text().await.expect("body is complete");
        assert!(body.contains("resend-refused"), "{body}");
    }
}

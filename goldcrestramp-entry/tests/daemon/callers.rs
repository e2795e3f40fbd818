//! Callers get complete responses to their own requests.

use reqwest::Method;

use crate::{
    cluster::{Cluster, POOLED, configuration, entry, eventually},
    server::{ServerBehavior, ServerStandin},
};

/// Guards against truncated responses that reach the caller of a safe
/// request. It is retried at another server.
#[tokio::test]
async fn a_lookup_with_a_truncated_response_is_retried() {
    let cluster = Cluster::start(POOLED, 2, 1).await;
    cluster.servers[0].set_behavior(ServerBehavior::Truncates);

    serve_lookups_until(&cluster, || cluster.servers[0].arrivals() > 0).await;
}

/// Guards against failed safe requests when an overloaded server resets
/// connections. Whether it ran the request is unknown, but a safe one may be
/// retried at another server.
#[tokio::test]
async fn a_lookup_reset_by_a_server_is_served_by_another() {
    let cluster = Cluster::start(POOLED, 2, 1).await;
    cluster.servers[0].set_behavior(ServerBehavior::Resets);

    serve_lookups_until(&cluster, || cluster.servers[0].resets() > 0).await;
}

/// Requests lookups, which server 1 must serve, until server 0 has failed one.
///
/// A VM chooses among equal servers at random, so a fixed number of requests
/// may all reach server 1.
async fn serve_lookups_until(cluster: &Cluster, failed: impl Fn() -> bool) {
    const MIN_LOOKUPS: usize = 6;
    const MAX_LOOKUPS: usize = 200;
    for count in 1..=MAX_LOOKUPS {
        let response = cluster.get(0, "/list/all").await;

        assert_eq!(response.status(), 200);
        assert_eq!(
            response.text().await.expect("body is received"),
            "server-1"
        );
        if count >= MIN_LOOKUPS && failed() {
            return;
        }
    }
    panic!("server 0 got none of {MAX_LOOKUPS} lookups");
}

/// Guards against an order that runs twice. A server that resets the
/// connection may have run it, so it is not retried, and the caller gets no
/// response that promises "not run".
#[tokio::test]
async fn an_order_whose_connection_is_reset_is_not_retried() {
    let cluster = Cluster::start(POOLED, 2, 1).await;
    for server in &cluster.servers {
        server.set_behavior(ServerBehavior::Resets);
    }
    let attempt = cluster.next_attempt();

    let request = cluster.request(0, Method::POST, "/order/1", &attempt);
    let response = request.send().await.expect("response arrives");

    assert_eq!(response.status(), 502);
    let resets = cluster.servers.iter().map(ServerStandin::resets);
    assert_eq!(resets.sum::<u32>(), 1);
}

/// Guards against the delivery of a response with another request's id. The
/// only server gets no second attempt, and the caller gets an error.
#[tokio::test]
async fn a_response_to_another_request_is_not_delivered() {
    let cluster = Cluster::start(POOLED, 1, 1).await;
    cluster.servers[0].set_behavior(ServerBehavior::WrongId);
    let attempt = cluster.next_attempt();

    let request = cluster.request(0, Method::POST, "/order/1", &attempt);
    let response = request.send().await.expect("response arrives");

    assert_eq!(response.status(), 502);
}

#[tokio::test]
async fn a_response_is_delivered_unchanged() {
    let cluster = Cluster::start(POOLED, 1, 1).await;
    let attempt = cluster.next_attempt();

    let request = cluster.request(0, Method::GET, "/list/all", &attempt);
    let response = request.send().await.expect("response arrives");

    let header = |name: &str| response.headers()[name].clone();
    assert_eq!(header("x-attempt-id"), attempt.as_str());
    assert_eq!(header("x-response-stamp"), "by-server-0");
    assert_eq!(response.text().await.expect("body is received"), "server-0");
}

#[tokio::test]
async fn a_path_without_a_route_is_not_found() {
    let cluster = Cluster::start(POOLED, 1, 1).await;

    let response = cluster.get(0, "/nothing/here").await;

    assert_eq!(response.status(), 404);
}

/// Guards against requests to a server whose entry states that it drains.
#[tokio::test]
async fn a_draining_server_gets_no_new_requests() {
    let cluster = Cluster::start(POOLED, 2, 1).await;
    let draining = entry(&cluster.servers[0], POOLED, "draining");

    cluster.store.put("servers/server-0", &draining);

    eventually(async || {
        let before = cluster.servers[0].executions();
        for _ in 0..8 {
            assert_eq!(cluster.get(0, "/list/all").await.status(), 200);
        }
        cluster.servers[0].executions() == before
    })
    .await;
}

/// Guards against watches with long waits. If the store discards its history
/// as a watch begins, the watch sees no change until its wait is over. A new
/// route must be served within 2 s, so no watch may wait for more than 0.5 s.
#[tokio::test]
async fn a_configuration_takes_effect_despite_a_blocked_watch() {
    let cluster = Cluster::start(POOLED, 1, 1).await;
    cluster.store.block_watches();
    eventually(async || cluster.store.blocked_watches() > 0).await;

    cluster.store.put("op/config", &configuration(2, Some("/new/")));

    eventually(async || cluster.get(0, "/new/list").await.status() == 200)
        .await;
    assert!(cluster.store.max_wait() <= 500);
}

/// Guards against invalid entries that affect valid ones: a key below
/// `servers/` or `op/` may hold a value of another kind.
#[tokio::test]
async fn invalid_entries_are_ignored() {
    let cluster = Cluster::start(POOLED, 1, 1).await;
    let list = serde_json::json!(["not", "an", "entry"]);

    cluster.store.put("servers/foreign", &list);
    cluster.store.put("op/other", &list);

    for _ in 0..4 {
        assert_eq!(cluster.get(0, "/list/all").await.status(), 200);
    }
}

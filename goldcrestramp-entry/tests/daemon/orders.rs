//! Orders run at most once, and a response that states "not run" is true.

use futures_util::future::join_all;
use reqwest::Method;

use crate::{
    cluster::{Cluster, POOLED},
    server::ServerBehavior,
};

/// Guards against an order that runs twice when a server runs it and closes
/// the connection before the response. The caller gets no response that
/// promises "not run", and there is no retry although another server is idle.
#[tokio::test]
async fn an_order_whose_response_is_lost_is_sent_once() {
    let cluster = Cluster::start(POOLED, 2, 1).await;
    for server in &cluster.servers {
        server.set_behavior(ServerBehavior::DropsResponses);
    }
    let attempt = cluster.next_attempt();

    let request = cluster.request(0, Method::POST, "/order/1", &attempt);
    let response = request.body("one sack of rice").send().await;

    assert_eq!(response.expect("response arrives").status(), 502);
    assert_eq!(cluster.executions_of(&attempt), 1);
}

/// Guards against a failed order although it may be retried: one server
/// states that it did not run it, and the other one has capacity.
///
/// A VM chooses among equal servers at random, so a fixed number of orders may
/// all reach the one that runs them.
#[tokio::test]
async fn a_shed_order_is_retried_at_another_server() {
    const MIN_ORDERS: usize = 6;
    const MAX_ORDERS: usize = 200;
    let cluster = Cluster::start(POOLED, 2, 1).await;
    cluster.servers[0].set_behavior(ServerBehavior::Sheds);
    for count in 1..=MAX_ORDERS {
        let attempt = cluster.next_attempt();

        let request = cluster.request(0, Method::POST, "/order/1", &attempt);
        let response = request.send().await.expect("response arrives");

        assert_eq!(response.status(), 200);
        assert_eq!(cluster.executions_of(&attempt), 1);
        if count >= MIN_ORDERS && cluster.servers[0].arrivals() > 0 {
            return;
        }
    }
    panic!("server 0 got none of {MAX_ORDERS} orders");
}

/// Guards against a refusal without `Retry-After`, or one of an order that
/// has run, when every server sheds it.
#[tokio::test]
async fn an_order_that_every_server_sheds_is_refused_with_retry_after() {
    let cluster = Cluster::start(POOLED, 2, 1).await;
    for server in &cluster.servers {
        server.set_behavior(ServerBehavior::Sheds);
    }
    let attempt = cluster.next_attempt();

    let request = cluster.request(0, Method::POST, "/order/1", &attempt);
    let response = request.send().await.expect("response arrives");

    assert_eq!(response.status(), 503);
    assert!(response.headers().contains_key("retry-after"));
    assert_eq!(cluster.executions_of(&attempt), 0);
}

/// Guards against an order that runs twice: a second copy of its refusal
/// arrives where the response to its next send is expected.
#[tokio::test]
async fn a_repeated_refusal_does_not_end_the_next_send() {
    let cluster = Cluster::start(POOLED, 1, 1).await;
    let repeats = ServerBehavior::RepeatsRefusals { echoes: true };
    cluster.servers[0].set_behavior(repeats);
    let attempt = cluster.next_attempt();

    let request = cluster.request(0, Method::POST, "/order/1", &attempt);
    let response = request.send().await.expect("response arrives");

    assert_eq!(response.status(), 200);
    assert_eq!(cluster.executions_of(&attempt), 1);
}

/// Guards against an order that runs twice: a second copy of a refusal without
/// an id arrives where the response to another order is expected.
#[tokio::test]
async fn a_repeated_refusal_without_an_id_ends_no_other_order() {
    const ORDERS: usize = 6;
    let cluster = Cluster::start(POOLED, 1, 1).await;
    let repeats = ServerBehavior::RepeatsRefusals { echoes: false };
    cluster.servers[0].set_behavior(repeats);
    let attempts: Vec<String> =
        (0..ORDERS).map(|_| cluster.next_attempt()).collect();

    let orders = attempts.iter().map(|attempt| {
        cluster.request(0, Method::POST, "/order/1", attempt).send()
    });
    let responses = join_all(orders).await;

    for (attempt, response) in attempts.iter().zip(responses) {
        let status = response.expect("response arrives").status();
        let executions = cluster.executions_of(attempt);
        assert!(executions <= 1, "{attempt} ran {executions} times");
        assert!(status != 503 || executions == 0, "{attempt} has run");
    }
}

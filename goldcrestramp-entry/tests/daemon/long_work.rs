//! Lookups that servers work on for longer than a VM expects.

use std::time::Duration;

use reqwest::{
    Method, RequestBuilder,
    header::{HeaderMap, HeaderName, HeaderValue},
};
use serde_json::json;

use crate::{
    cluster::{Cluster, POOLED, configuration, entry, entry_in, eventually},
    server::{ServerBehavior, ServerStandin},
};

/// A VM doubts a server that it does not know after this time.
const TARGET_LATENCY: Duration = Duration::from_secs(1);

/// The deadline of lookups.
const DEADLINE_MS: &str = "3800";

/// A cluster whose VM knows the lookups of its second server, which takes
/// `known` for them, and not those of its first one, which is nearer.
async fn cluster_with(first: ServerBehavior, known: Duration) -> Cluster {
    let mut cluster = Cluster::start(POOLED, 1, 1).await;
    let mut changed = configuration(2, Some("/more/"));
    changed["routes"]["list"]["target_latency"] =
        json!(format!("{}ms", TARGET_LATENCY.as_millis()));
    cluster.store.put("op/config", &changed);
    let address = cluster.servers[0].address;
    let far = entry_in(address, POOLED, "ready", "south-a");
    cluster.store.put("servers/server-0", &far);
    eventually(async || cluster.get(0, "/more/all").await.status() == 200)
        .await;
    cluster.servers[0].set_behavior(ServerBehavior::Responds(known));
    let learnt = lookup(&cluster, &cluster.next_attempt()).send().await;
    assert_eq!(learnt.expect("response arrives").status(), 200);
    let near = ServerStandin::spawn("near", false);
    cluster.store.put("servers/near", &entry(&near, POOLED, "ready"));
    cluster.servers.insert(0, near);
    eventually(async || {
        cluster.get(0, "/more/all").await;
        cluster.servers[0].executions() > 0
    })
    .await;
    cluster.servers[0].set_behavior(first);
    cluster
}

fn lookup(cluster: &Cluster, attempt: &str) -> RequestBuilder {
    let deadline = HeaderMap::from_iter([(
        HeaderName::from_static("x-deadline-ms"),
        HeaderValue::from_static(DEADLINE_MS),
    )]);
    let request = cluster.request(0, Method::GET, "/list/all", attempt);
    request.headers(deadline)
}

/// Guards against a lookup that is refused as too late for another server
/// while the first one works on it.
#[tokio::test]
async fn a_request_is_not_given_up_for_a_server_that_is_too_slow() {
    let first = ServerBehavior::Responds(TARGET_LATENCY.mul_f64(1.8));
    let cluster = cluster_with(first, TARGET_LATENCY * 3).await;
    let attempt = cluster.next_attempt();

    let response = lookup(&cluster, &attempt).send().await;

    assert_eq!(response.expect("response arrives").status(), 200);
    assert_eq!(cluster.servers[0].executions_of(&attempt), 1);
}

/// Guards against a lookup that is ended because the second server refuses it
/// while the first one works on it.
#[tokio::test]
async fn a_refused_second_attempt_does_not_end_the_first() {
    let first = ServerBehavior::Responds(TARGET_LATENCY.mul_f64(2.9));
    let cluster = cluster_with(first, Duration::ZERO).await;
    cluster.servers[1].set_behavior(ServerBehavior::Sheds);
    let attempt = cluster.next_attempt();

    let response = lookup(&cluster, &attempt).send().await;

    assert_eq!(response.expect("response arrives").status(), 200);
    assert_eq!(cluster.servers[0].executions_of(&attempt), 1);
}

/// Guards against a lookup with a large body that is given up although the
/// body can't be sent again.
#[tokio::test]
async fn a_request_whose_body_is_gone_is_not_given_up() {
    const BODY_BYTES: usize = 300 * 1_024;
    let first = ServerBehavior::Responds(TARGET_LATENCY.mul_f64(1.8));
    let cluster = cluster_with(first, Duration::ZERO).await;
    let attempt = cluster.next_attempt();
    let lookup = lookup(&cluster, &attempt).body(vec![b'x'; BODY_BYTES]);

    let response = lookup.send().await;

    assert_eq!(response.expect("response arrives").status(), 200);
}

/// Guards against a lookup that waits for a frozen server although another
/// one could respond.
#[tokio::test]
async fn a_second_server_responds_for_a_frozen_one() {
    let cluster = cluster_with(ServerBehavior::Hangs, Duration::ZERO).await;
    let attempt = cluster.next_attempt();

    let response = lookup(&cluster, &attempt).send().await;

    assert_eq!(response.expect("response arrives").status(), 200);
    assert_eq!(cluster.servers[1].executions_of(&attempt), 1);
}

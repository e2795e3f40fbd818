//! Servers get no more requests than the rate limits that they state.

use std::time::{Duration, Instant};

use crate::cluster::{Cluster, POOLED, SHARDED, eventually};

/// The duration of the load, and the interval between two requests to a VM.
const LOAD_DURATION: Duration = Duration::from_secs(9);
const REQUEST_INTERVAL: Duration = Duration::from_millis(100);

/// Sends requests for keys to one VM at a constant rate.
async fn send_requests(cluster: &Cluster, node: usize) {
    let end = Instant::now() + LOAD_DURATION;
    let mut key = 0;
    while Instant::now() < end {
        let _refused_or_not = cluster.get_key(node, key % 65_536).await;
        key += 997;
        tokio::time::sleep(REQUEST_INTERVAL).await;
    }
}

/// Guards against VMs that each use the full limit which a server states for
/// all of them together.
#[tokio::test]
async fn vms_together_keep_a_server_s_limit() {
    const SETTLING_TIME: Duration = Duration::from_secs(3);
    const WINDOW: Duration = Duration::from_secs(4);
    let cluster = Cluster::start(SHARDED, 1, 3).await;
    for node in 0..3 {
        cluster.wait_served(node, 0).await;
    }

    cluster.servers[0].set_limit(Some("2.5"));
    let settled = Instant::now() + SETTLING_TIME;
    tokio::join!(
        send_requests(&cluster, 0),
        send_requests(&cluster, 1),
        send_requests(&cluster, 2),
    );

    // 1.5 times what 2.5 requests a second allow in 4 s, and 5 more.
    let max_requests =
        cluster.servers[0].max_requests_within(settled.., WINDOW);
    assert!(max_requests <= 20, "{max_requests} requests in 4 s");
    assert!(max_requests >= 5, "only {max_requests} requests in 4 s");
}

/// Guards against callers who are refused while another server has capacity:
/// keys move away from a server with a low limit.
#[tokio::test]
async fn keys_move_away_from_a_server_with_a_low_limit() {
    let cluster = Cluster::start(SHARDED, 2, 1).await;
    for key in (0..65_536).step_by(4_099) {
        cluster.wait_served(0, key).await;
    }

    cluster.servers[0].set_limit(Some("0.5"));

    eventually(async || {
        let mut served = 0;
        for key in (0..65_536).step_by(1_024) {
            let response = cluster.get_key(0, key).await;
            served += u32::from(response.status() == 200);
        }
        served >= 60
    })
    .await;
}

/// Guards against requests that wait for a rate-limited server while another
/// one of its service is idle.
#[tokio::test]
async fn requests_above_a_limit_are_served_by_other_servers() {
    const WINDOW: Duration = Duration::from_secs(4);
    let cluster = Cluster::start(POOLED, 2, 1).await;
    cluster.servers[0].set_limit(Some("0.5"));
    eventually(async || {
        let response = cluster.get(0, "/list/all").await;
        response.headers().contains_key("server-limit")
    })
    .await;
    let known_since = Instant::now();

    for _ in 0..60 {
        let response = cluster.get(0, "/list/all").await;

        assert_eq!(response.status(), 200);
        tokio::time::sleep(REQUEST_INTERVAL / 2).await;
    }

    let max_requests =
        cluster.servers[0].max_requests_within(known_since.., WINDOW);
    assert!(max_requests <= 8, "{max_requests} requests in 4 s");
}

/// Guards against VMs that keep applying a limit that a server no longer
/// states.
#[tokio::test]
async fn a_limit_that_is_no_longer_stated_is_dropped() {
    let cluster = Cluster::start(SHARDED, 1, 2).await;
    for node in 0..2 {
        cluster.wait_served(node, 0).await;
    }
    cluster.servers[0].set_limit(Some("0.0"));
    for node in 0..2 {
        let response = cluster.get_key(node, 0).await;
        assert_eq!(response.headers()["server-limit"], "0.0");
    }

    cluster.servers[0].set_limit(None);

    eventually(async || {
        let mut served = 0;
        for request in 0..20 {
            let response = cluster.get_key(request % 2, 0).await;
            served += u32::from(response.status() == 200);
        }
        served == 20
    })
    .await;
}

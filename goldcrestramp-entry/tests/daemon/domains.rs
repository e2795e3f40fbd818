//! Requests stay in the regions of their route and out of failure domains that
//! are evacuated.

use std::time::{Duration, Instant};

use futures_util::future::join_all;
use reqwest::Method;
use serde_json::json;

use crate::{
    cluster::{Cluster, POOLED, SHARDED, configuration, entry_in, eventually},
    server::{ServerBehavior, ServerStandin},
};

/// The requests that are sent one after the other, and at once.
const REQUESTS: usize = 40;
const CONCURRENT: usize = 24;

/// How long a server works on a request if it does not respond at once.
const WORK: Duration = Duration::from_millis(200);

/// Starts a VM in `north-a` and one server of a service in each of the failure
/// domains.
async fn start_in(service: &str, domains: &[&str]) -> Cluster {
    let mut cluster = Cluster::start(service, 0, 1).await;
    for domain in domains {
        let id = format!("server-{domain}");
        let server = ServerStandin::spawn(&id, service == SHARDED);
        let entry = entry_in(server.address, service, "ready", domain);
        cluster.store.put(&format!("servers/{id}"), &entry);
        cluster.servers.push(server);
    }
    cluster
}

/// Writes a configuration in which orders and lookups of keys may be served in
/// these regions only.
fn restrict(cluster: &Cluster, version: u64, regions: &[&str]) {
    let mut restricted = configuration(version, Some("/more/"));
    for route in ["order", "stock"] {
        restricted["routes"][route]["allowed_regions"] = json!(regions);
    }
    cluster.store.put("op/config", &restricted);
}

/// Waits until the configuration with the route `/more/` is in force.
async fn wait_in_force(cluster: &Cluster) {
    eventually(async || cluster.get(0, "/more/all").await.status() != 404)
        .await;
}

async fn send_order(cluster: &Cluster) -> reqwest::Response {
    let attempt = cluster.next_attempt();
    let request = cluster.request(0, Method::POST, "/order/new", &attempt);
    request.send().await.expect("response arrives")
}

/// Guards against orders that leave the region of their route for a server
/// that is idle.
#[tokio::test]
async fn an_order_stays_in_the_regions_of_its_route() {
    let cluster = start_in(POOLED, &["south-a", "north-b"]).await;
    restrict(&cluster, 2, &["north"]);
    wait_in_force(&cluster).await;
    let before = cluster.servers[0].executions();
    cluster.set_behavior(ServerBehavior::Responds(WORK));

    let orders = (0..CONCURRENT).map(|_| send_order(&cluster));
    let responses = join_all(orders).await;

    let served = responses.iter().filter(|r| r.status() == 200).count();
    assert!(served > 0, "no order is served");
    assert_eq!(cluster.servers[0].executions(), before);
}

/// Guards against an order that is sent to another region, or waits for its
/// deadline, when its own has no server left.
#[tokio::test]
async fn an_order_without_a_server_in_its_region_is_refused() {
    let cluster = start_in(POOLED, &["south-a"]).await;
    restrict(&cluster, 2, &["north"]);
    wait_in_force(&cluster).await;
    let before = cluster.servers[0].executions();

    let response = send_order(&cluster).await;

    assert_eq!(response.status(), 503);
    assert!(response.headers().contains_key("retry-after"));
    assert_eq!(cluster.servers[0].executions(), before);
}

/// Guards against keys that stay with an owner in a region in which no route
/// allows them: all of their requests would be refused.
#[tokio::test]
async fn keys_move_to_the_regions_of_all_their_routes() {
    let cluster = start_in(SHARDED, &["south-a", "north-b"]).await;
    cluster.wait_served(0, 0).await;

    restrict(&cluster, 2, &["north"]);

    for key in [0, 20_000, 40_000, 65_535] {
        eventually(async || cluster.servers[1].owns(key)).await;
        cluster.wait_served(0, key).await;
    }
}

/// Guards against requests to a failure domain that the operators evacuate,
/// and against a domain that gets none after it was taken back.
#[tokio::test]
async fn an_evacuated_domain_gets_no_requests() {
    let cluster = start_in(POOLED, &["north-a", "north-b"]).await;
    eventually(async || {
        let _response = cluster.get(0, "/list/all").await;
        cluster.servers[0].executions() > 0
    })
    .await;

    cluster.store.put("op/evacuate/north-a", &json!({}));
    tokio::time::sleep(Duration::from_secs(2)).await;
    let before = cluster.servers[0].executions();
    for _ in 0..REQUESTS {
        assert_eq!(cluster.get(0, "/list/all").await.status(), 200);
    }

    assert_eq!(cluster.servers[0].executions(), before);
    cluster.store.remove("op/evacuate/north-a");
    eventually(async || {
        let _response = cluster.get(0, "/list/all").await;
        cluster.servers[0].executions() > before
    })
    .await;
}

/// Guards against keys without an owner while the failure domain of their
/// owner is evacuated.
#[tokio::test]
async fn keys_leave_an_evacuated_domain() {
    let cluster = start_in(SHARDED, &["north-a", "north-b"]).await;
    cluster.wait_served(0, 0).await;
    cluster.wait_served(0, 65_535).await;

    cluster.store.put("op/evacuate/north-b", &json!({}));

    for key in (0..65_536).step_by(8_191) {
        eventually(async || cluster.servers[0].owns(key)).await;
        cluster.wait_served(0, key).await;
    }
}

/// Guards against a VM that was started during an evacuation and does not
/// know of it.
#[tokio::test]
async fn a_vm_that_starts_during_an_evacuation_keeps_to_it() {
    let mut cluster = start_in(POOLED, &["north-a", "north-b"]).await;
    cluster.store.put("op/evacuate/north-a", &json!({}));
    cluster.nodes[0].restart();
    cluster.wait_all_ready().await;
    let before = cluster.servers[0].executions();

    for _ in 0..REQUESTS {
        let _response = cluster.get(0, "/list/all").await;
    }

    assert_eq!(cluster.servers[0].executions(), before);
}

/// Guards against a burst at a server that has just started: all VMs have
/// requests for it, and it accepts a few of them a second.
#[tokio::test]
async fn a_cold_server_gets_few_requests() {
    const WINDOW: Duration = Duration::from_secs(1);
    const COLD_TIME: Duration = Duration::from_secs(3);
    let mut cluster = start_in(POOLED, &["north-a"]).await;
    let mut limited = configuration(2, None);
    limited["services"][POOLED] = json!({
        "health_path": "/health", "cold_start": "3s", "cold_per_s": 3.3
    });
    cluster.store.put("op/config", &limited);
    eventually(async || cluster.get(0, "/list/all").await.status() == 200)
        .await;
    tokio::time::sleep(Duration::from_secs(3)).await;

    let cold = ServerStandin::spawn("cold", false);
    let mut entry = entry_in(cold.address, POOLED, "ready", "north-a");
    entry["status"]["cold_left"] = json!("3s");
    let cold_until = Instant::now() + COLD_TIME;
    cluster.store.put("servers/cold", &entry);
    cluster.servers.push(cold);
    cluster.set_behavior(ServerBehavior::Responds(WORK / 10));
    let started = Instant::now();
    while Instant::now() < cold_until {
        let requests = (0..CONCURRENT).map(|_| cluster.get(0, "/list/all"));
        join_all(requests).await;
    }

    // 1.5 times the rate, and 8 more. The last requests may arrive when the
    // server is warm.
    let cold = started..cold_until;
    let most = cluster.servers[1].max_requests_within(cold, WINDOW);
    assert!(most <= 12, "{most} requests in a second");
}

//! Each key has at most one owner, also when servers fail and keys move.

use std::{
    net::SocketAddr,
    time::{Duration, Instant},
};

use reqwest::{Method, Response, header::HeaderMap};
use rustix::process::Signal;
use serde_json::json;

use crate::{
    cluster::{
        Cluster, POOLED, SHARDED, configuration, entry, entry_at, eventually,
    },
    relay::{Relay, RelayBehavior},
    server::ServerBehavior,
    store::StoreStandin,
};

/// A sample of keys from the full key space, few enough for a fast test.
fn sample_keys() -> impl Iterator<Item = u64> {
    (0..65_536).step_by(4_099)
}

/// Waits until the second server owns a key, and checks that at no time two
/// servers own it.
async fn wait_moved(cluster: &Cluster, key: u64) {
    eventually(async || {
        assert!(cluster.owners(key) <= 1);
        cluster.servers[1].owns(key)
    })
    .await;
}

#[tokio::test]
async fn every_key_is_served_by_its_only_owner() {
    let cluster = Cluster::start(SHARDED, 3, 2).await;
    cluster.wait_served(0, 0).await;
    for key in sample_keys() {
        cluster.wait_served(0, key).await;
        cluster.wait_served(1, key).await;

        assert_eq!(cluster.owners(key), 1);
    }
}

/// Guards against keys that stay with a draining server, or that two servers
/// own during the move.
#[tokio::test]
async fn the_keys_of_a_draining_server_move_to_another() {
    let cluster = Cluster::start(SHARDED, 2, 1).await;
    cluster.wait_served(0, 0).await;
    let draining = entry(&cluster.servers[0], SHARDED, "draining");

    cluster.store.put("servers/server-0", &draining);

    for key in sample_keys() {
        wait_moved(&cluster, key).await;
        cluster.wait_served(0, key).await;
    }
}

/// Guards against keys that stay without an owner when a server is lost: its
/// address does not respond and its entry is removed. They have no owner
/// until its grant expires; then the other server gets them.
#[tokio::test]
async fn the_keys_of_a_lost_server_are_served_again() {
    let cluster = Cluster::start(SHARDED, 2, 1).await;
    cluster.wait_served(0, 0).await;

    cluster.servers[0].stop_accepting();
    cluster.store.remove("servers/server-0");

    for key in sample_keys() {
        wait_moved(&cluster, key).await;
    }
}

/// Guards against an owner that counts as ended because of an older entry of
/// its predecessor at the same address.
#[tokio::test]
async fn an_older_entry_at_its_address_does_not_end_a_server() {
    let cluster = Cluster::start(SHARDED, 2, 1).await;
    cluster.wait_served(0, 0).await;
    let mut previous = entry(&cluster.servers[0], SHARDED, "draining");
    previous["born"] = json!(1_600_000_000_000_u64);

    cluster.store.put("servers/former", &previous);
    cluster.store.remove("servers/server-0");

    for key in sample_keys() {
        wait_moved(&cluster, key).await;
    }
}

/// Guards against an owner that counts as ended because of an entry of an
/// earlier instance of the same server.
#[tokio::test]
async fn an_older_instance_elsewhere_does_not_end_a_server() {
    let cluster = Cluster::start(SHARDED, 2, 1).await;
    cluster.wait_served(0, 0).await;
    let elsewhere = SocketAddr::from(([127, 0, 0, 1], 1));
    let mut previous = entry_at(elsewhere, SHARDED, "draining");
    previous["born"] = json!(1_600_000_000_000_u64);

    cluster.store.put("servers/server-0", &previous);

    for key in sample_keys() {
        wait_moved(&cluster, key).await;
    }
}

/// Guards against keys with two owners: another writer lists the address of a
/// running server under a service that no configuration names.
#[tokio::test]
async fn an_entry_of_an_unknown_service_takes_no_keys() {
    const OBSERVED: Duration = Duration::from_secs(2);
    let cluster = Cluster::start(SHARDED, 2, 1).await;
    let key = key_of_first_server(&cluster).await;
    cluster.wait_served(0, key).await;
    let mut foreign = entry(&cluster.servers[0], "agent", "ready");
    foreign["born"] = json!(1_800_000_000_000_u64);

    cluster.store.put("servers/agent", &foreign);

    let end = Instant::now() + OBSERVED;
    while Instant::now() < end {
        for key in sample_keys() {
            assert!(cluster.owners(key) <= 1, "key {key}");
        }
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    let stays = sample_keys().any(|key| cluster.servers[0].owns(key));
    assert!(stays, "no key of its own is left");
}

/// Starts a cluster whose first server drains, and sends another response
/// before that to a release; checks that its keys stay until it has responded.
async fn drain_with_extra_responses(denies: bool) {
    const OBSERVED: Duration = Duration::from_secs(2);
    let cluster = Cluster::start(SHARDED, 2, 1).await;
    let key = key_of_first_server(&cluster).await;
    cluster.wait_served(0, key).await;
    let precedes = ServerBehavior::PrecedesReleases { denies };
    cluster.servers[0].set_behavior(precedes);

    let draining = entry(&cluster.servers[0], SHARDED, "draining");
    cluster.store.put("servers/server-0", &draining);

    eventually(async || !cluster.servers[0].owns(key)).await;
    let end = Instant::now() + OBSERVED;
    while Instant::now() < end {
        assert!(!cluster.servers[1].owns(key), "key {key} is not released");
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    let responds = ServerBehavior::Responds(Duration::ZERO);
    cluster.servers[0].set_behavior(responds);
    wait_moved(&cluster, key).await;
}

/// Guards against keys that are granted while their holder is at work on them:
/// a second copy of the response to a grant arrives before that to a release.
#[tokio::test]
async fn a_repeated_response_to_a_grant_ends_no_release() {
    drain_with_extra_responses(false).await;
}

/// Guards against keys that are granted while their holder is at work on them:
/// a denial that belongs to another order arrives before the response.
#[tokio::test]
async fn a_denial_after_other_responses_ends_no_server() {
    drain_with_extra_responses(true).await;
}

/// Guards against keys that stay with a server whose address now belongs to
/// another one.
#[tokio::test]
async fn a_successor_at_its_address_ends_a_server() {
    let cluster = Cluster::start(SHARDED, 2, 1).await;
    cluster.wait_served(0, 0).await;

    let successor = cluster.servers[0].replace("successor").await;
    let mut later = entry(&successor, POOLED, "ready");
    later["born"] = json!(1_800_000_000_000_u64);
    cluster.store.put("servers/successor", &later);

    for key in sample_keys() {
        wait_moved(&cluster, key).await;
    }
}

/// Guards against retries that reach whichever server has the address now.
#[tokio::test]
async fn an_owner_that_denies_its_key_gets_one_attempt() {
    let cluster = Cluster::start(SHARDED, 2, 1).await;
    let served = key_of_first_server(&cluster).await;
    cluster.wait_served(0, served).await;
    // The grant has arrived by then.
    tokio::time::sleep(Duration::from_millis(1_500)).await;
    // The key that was requested may have moved to the idle server since.
    let key = key_of_first_server(&cluster).await;

    let successor = cluster.servers[0].replace("successor").await;
    let response = cluster.get_key(0, key).await;

    assert_eq!(response.status(), 503);
    assert_eq!(successor.misdirected(), 1);
}

/// Guards against repeats in the time in which a grant may still arrive, at an
/// owner that has ended before its keys were assigned to it.
#[tokio::test]
async fn an_owner_that_denies_a_new_assignment_gets_two_attempts() {
    let cluster = Cluster::start(SHARDED, 1, 1).await;
    cluster.wait_served(0, 0).await;
    let ended = &cluster.servers[0];
    let successor = ended.replace("successor").await;

    let mut late = entry(ended, SHARDED, "ready");
    late["born"] = json!(1_700_000_001_000_u64);
    cluster.store.put("servers/server-late", &late);
    cluster.store.remove("servers/server-0");
    eventually(async || {
        let table = cluster.store.get("router/table/stock");
        let table = table.expect("table record exists");
        String::from_utf8_lossy(&table).contains("server-late")
    })
    .await;
    let response = cluster.get_key(0, 0).await;

    assert_eq!(response.status(), 503);
    let attempts = successor.misdirected();
    assert!((1..=2).contains(&attempts), "{attempts}");
}

/// Guards against a new planner that plans with outdated knowledge of the
/// store. Until it is up to date it only renews grants.
#[tokio::test]
async fn a_planner_that_is_behind_only_renews() {
    /// Longer than a renewal interval and a planning round.
    const STALE_TIME: Duration = Duration::from_secs(2);
    let cluster = Cluster::start(SHARDED, 2, 2).await;
    cluster.wait_served(0, 0).await;
    cluster.wait_served(1, 0).await;
    let planner =
        cluster.store.get("router/planner").expect("planner record exists");
    let first = String::from_utf8_lossy(&planner).contains("vm-0");
    let (killed, other) = if first { (0, 1) } else { (1, 0) };
    let table =
        cluster.store.get("router/table/stock").expect("table record exists");

    cluster.store.hide_from_next_planner();
    cluster.nodes[killed].signal(Signal::KILL);
    let draining = entry(&cluster.servers[0], SHARDED, "draining");
    cluster.store.put("servers/server-0", &draining);
    eventually(async || {
        let known = cluster.store.get("router/planner");
        known.is_some_and(|known| known != planner)
    })
    .await;
    let orders = cluster.servers[0].orders();
    tokio::time::sleep(STALE_TIME).await;

    eventually(async || cluster.servers[0].orders() > orders).await;
    assert_eq!(cluster.store.get("router/table/stock"), Some(table));
    cluster.store.show_all();
    for key in sample_keys() {
        wait_moved(&cluster, key).await;
        cluster.wait_served(other, key).await;
    }
}

/// Guards against a fleet without a planner when the planning VM is killed.
/// The other VM renews the grants, so that every key stays served, and moves
/// the keys of a server that drains then.
#[tokio::test]
async fn a_killed_planner_is_replaced() {
    let cluster = Cluster::start(SHARDED, 2, 2).await;
    cluster.wait_served(0, 0).await;
    cluster.wait_served(1, 0).await;
    let planner =
        cluster.store.get("router/planner").expect("planner record exists");
    let first = String::from_utf8_lossy(&planner).contains("vm-0");
    let (killed, other) = if first { (0, 1) } else { (1, 0) };

    cluster.nodes[killed].signal(Signal::KILL);
    let draining = entry(&cluster.servers[0], SHARDED, "draining");
    cluster.store.put("servers/server-0", &draining);

    for key in sample_keys() {
        wait_moved(&cluster, key).await;
        cluster.wait_served(other, key).await;
    }
}

/// Guards against a fleet without a planner when the store accepts a claim
/// but its response is lost, and so is the read that would show it. The record
/// names a VM that does not know of it and renews its lease, so nobody plans
/// and the keys of a lost server stay without an owner. The VM must claim its
/// own record again.
#[tokio::test]
async fn a_claim_whose_response_was_lost_is_made_again() {
    let store = StoreStandin::spawn().await;
    store.lose_claim();

    let cluster = Cluster::start_on(store, SHARDED, 2, 1).await;

    for key in sample_keys() {
        cluster.wait_served(0, key).await;
    }
}

/// Guards against keys that lose their owners in a rolling restart while the
/// store is unreachable: no other VM can become the planner, so the stopped
/// one must go on renewing, or all grants expire one grant duration later.
#[tokio::test]
async fn a_draining_planner_renews_while_the_store_is_unreachable() {
    /// The time within which a VM detects that the store does not respond.
    const DETECTION_TIME: Duration = Duration::from_millis(1_600);
    /// The time after which orders that were in flight at the stop have
    /// ended.
    const IN_FLIGHT_TIME: Duration = Duration::from_millis(800);
    let mut store = StoreStandin::spawn().await;
    let relay = Relay::spawn(store.address);
    store.address = relay.address;
    let cluster = Cluster::start_on(store, SHARDED, 1, 1).await;
    cluster.wait_served(0, 0).await;
    relay.set_behavior(RelayBehavior::Discards);
    tokio::time::sleep(DETECTION_TIME).await;

    cluster.nodes[0].signal(Signal::TERM);

    tokio::time::sleep(IN_FLIGHT_TIME).await;
    let before = cluster.servers[0].orders();
    eventually(async || cluster.servers[0].orders() > before).await;
}

/// A cluster of two servers with two routes that have a long timeout: a safe
/// and an unsafe one.
async fn long_timeout_cluster() -> Cluster {
    let cluster = Cluster::start(SHARDED, 2, 1).await;
    cluster.wait_served(0, 0).await;
    let mut changed = configuration(2, None);
    let mut route = changed["routes"]["stock"].clone();
    route["timeout"] = json!("25000ms");
    route["path_prefix"] = json!("/look/");
    changed["routes"]["look"] = route.clone();
    route["path_prefix"] = json!("/take/");
    route["kind"] = json!("unsafe");
    changed["routes"]["take"] = route;
    cluster.store.put("op/config", &changed);
    let known = async || cluster.get(0, "/take/rice").await.status() != 404;
    eventually(known).await;
    cluster
}

/// Returns a key that the first server owns.
async fn key_of_first_server(cluster: &Cluster) -> u64 {
    let mut key = None;
    eventually(async || {
        key = sample_keys().find(|key| cluster.servers[0].owns(*key));
        key.is_some()
    })
    .await;
    key.expect("key was found")
}

/// Sends a request that hangs at the first server, then moves its key to the
/// second one.
async fn request_while_key_moves(
    cluster: &Cluster,
    path: &str,
    attempt: &str,
    deadline_ms: u32,
) -> Response {
    let key = key_of_first_server(cluster).await;
    cluster.servers[0].set_behavior(ServerBehavior::Hangs);
    let mut deadline = HeaderMap::new();
    deadline.insert("x-deadline-ms", deadline_ms.into());
    let request = cluster
        .request(0, Method::GET, path, attempt)
        .headers(deadline)
        .header("X-Shard-Key", key.to_string());
    let pending = tokio::spawn(request.send());
    eventually(async || cluster.servers[0].hung() > 0).await;

    let draining = entry(&cluster.servers[0], SHARDED, "draining");
    cluster.store.put("servers/server-0", &draining);

    wait_moved(cluster, key).await;
    let response = pending.await.expect("request task does not panic");
    response.expect("response arrives")
}

/// Guards against lookups that wait for a previous owner until their deadline.
#[tokio::test]
async fn a_lookup_without_a_response_is_retried_at_the_next_owner() {
    let cluster = long_timeout_cluster().await;
    let attempt = cluster.next_attempt();

    let pending =
        request_while_key_moves(&cluster, "/look/rice", &attempt, 25_000);
    let response = pending.await;

    assert_eq!(response.status(), 200);
    assert_eq!(response.text().await.expect("body is received"), "server-1");
}

/// Guards against an order that runs at two successive owners of its key.
#[tokio::test]
async fn an_order_without_a_response_is_not_retried_at_the_next_owner() {
    let cluster = long_timeout_cluster().await;
    let attempt = cluster.next_attempt();

    let pending =
        request_while_key_moves(&cluster, "/take/rice", &attempt, 5_000);
    let response = pending.await;

    assert_eq!(response.status(), 504);
    assert_eq!(cluster.executions_of(&attempt), 0);
}

/// Guards against callers that retry before their key can have an owner.
#[tokio::test]
async fn a_refusal_without_an_owner_has_retry_after_of_a_second() {
    let cluster = Cluster::start(SHARDED, 1, 1).await;
    cluster.wait_served(0, 0).await;
    let draining = entry(&cluster.servers[0], SHARDED, "draining");
    cluster.store.put("servers/server-0", &draining);
    eventually(async || cluster.owners(0) == 0).await;

    let response = cluster.get_key(0, 0).await;

    assert_eq!(response.status(), 503);
    let after =
        response.headers()["retry-after"].to_str().expect("header is ASCII");
    let seconds: f64 = after.parse().expect("header is a number");
    assert!((1.0..=2.0).contains(&seconds), "{seconds}");
}

//! Configuration changes reach the daemons, also over slow links.

use std::{net::SocketAddr, time::Duration};

use serde_json::json;

use crate::{
    cluster::{
        Cluster, POOLED, configuration, eventually, large_configuration,
    },
    node::NodeProcess,
    relay::{Relay, RelayBehavior},
    store::StoreStandin,
};

/// The throughput of a throttled link, in bytes per second.
const LINK_BYTES_PER_S: u32 = 100_000;

/// The time within which a daemon detects that the store does not respond.
const DETECTION_TIME: Duration = Duration::from_secs(3);

/// Starts a daemon on a small VM, so that the larger one follows the store
/// first.
fn small_node(store: SocketAddr) -> NodeProcess {
    let limits = json!({"cpu_share": 0.1, "link_mbps": 1.0});
    NodeProcess::spawn_sized("small", store, &limits)
}

/// A daemon, and a small one that reaches it and the store through relays.
struct ThrottledCluster {
    cluster: Cluster,
    peer_relay: Relay,
    store_relay: Relay,
}

impl ThrottledCluster {
    async fn start() -> Self {
        let mut cluster = Cluster::start(POOLED, 1, 1).await;
        let peer_relay = Relay::spawn(cluster.nodes[0].peers);
        cluster.store.override_address("vm-0", peer_relay.address);
        let store_relay = Relay::spawn(cluster.store.address);
        cluster.add_node(small_node(store_relay.address)).await;
        Self { cluster, peer_relay, store_relay }
    }

    fn throttle(&self) {
        self.peer_relay
            .set_behavior(RelayBehavior::Throttled(LINK_BYTES_PER_S));
        self.store_relay
            .set_behavior(RelayBehavior::Throttled(LINK_BYTES_PER_S));
    }

    /// The number of response bytes sent to the small daemon.
    fn response_bytes(&self) -> usize {
        self.peer_relay.response_bytes() + self.store_relay.response_bytes()
    }

    async fn wait_route(&self, path: &str) {
        let served = async || self.cluster.get(1, path).await.status() == 200;
        eventually(served).await;
    }
}

/// Guards against a VM that keeps an old configuration while it waits for a
/// page that the store will never send.
#[tokio::test]
async fn a_page_is_read_again_when_its_response_is_lost() {
    /// The time that a VM is given after the store responds again: it is in
    /// touch with it by then.
    const CONTACT: Duration = Duration::from_secs(3);
    let cluster = Cluster::start(POOLED, 1, 1).await;
    cluster.store.lose_reads(true);
    cluster.store.block_watches();
    eventually(async || cluster.store.blocked_watches() > 0).await;
    cluster.store.put("op/config", &configuration(2, Some("/new/")));
    eventually(async || cluster.store.lost_reads() > 0).await;

    cluster.store.lose_reads(false);
    tokio::time::sleep(CONTACT).await;

    assert_eq!(cluster.get(0, "/new/list").await.status(), 200);
}

/// Guards against transfers that time out half way and restart forever.
#[tokio::test]
async fn a_large_configuration_takes_effect_over_a_throttled_link() {
    let throttled = ThrottledCluster::start().await;
    throttled.throttle();

    let large = large_configuration(2, 3_000);
    throttled.cluster.store.put("op/config", &large);

    throttled.wait_route("/route-2999/").await;
}

/// Guards against parallel transfers of the same change that compete for a
/// throttled link.
#[tokio::test]
async fn a_vm_without_the_store_requests_a_change_once() {
    let throttled = ThrottledCluster::start().await;
    throttled.store_relay.set_behavior(RelayBehavior::Discards);
    tokio::time::sleep(DETECTION_TIME).await;
    throttled
        .peer_relay
        .set_behavior(RelayBehavior::Throttled(LINK_BYTES_PER_S));
    let before = throttled.response_bytes();

    let large = large_configuration(2, 3_000);
    throttled.cluster.store.put("op/config", &large);
    throttled.wait_route("/route-2999/").await;

    let cost = throttled.response_bytes() - before;
    assert!(cost < large.to_string().len(), "{cost} bytes");
}

/// Guards against waiting for a source whose response takes most of a minute.
#[tokio::test]
async fn a_slow_source_does_not_delay_a_change() {
    let throttled = ThrottledCluster::start().await;
    throttled
        .peer_relay
        .set_behavior(RelayBehavior::Throttled(LINK_BYTES_PER_S / 20));

    let large = large_configuration(2, 3_000);
    throttled.cluster.store.put("op/config", &large);

    throttled.wait_route("/route-2999/").await;
}

/// Guards against following a VM that itself reads the store over a slow link.
#[tokio::test]
async fn a_source_with_a_slow_link_to_the_store_is_abandoned() {
    let mut store = StoreStandin::spawn().await;
    let address = store.address;
    let store_relay = Relay::spawn(address);
    store.address = store_relay.address;
    let mut cluster = Cluster::start_on(store, POOLED, 1, 1).await;
    cluster.add_node(small_node(address)).await;
    store_relay.set_behavior(RelayBehavior::Throttled(LINK_BYTES_PER_S / 10));

    let large = large_configuration(2, 3_000);
    cluster.store.put("op/config", &large);

    let served = async || cluster.get(1, "/route-2999/").await.status() == 200;
    eventually(served).await;
}

/// Guards against sending the full configuration for a change of one route.
#[tokio::test]
async fn a_change_of_one_route_is_sent_as_a_delta() {
    let throttled = ThrottledCluster::start().await;
    let large = large_configuration(2, 3_000);
    throttled.cluster.store.put("op/config", &large);
    throttled.wait_route("/route-2999/").await;
    let before = throttled.response_bytes();

    let mut changed = large_configuration(3, 3_000);
    changed["routes"]["more"]["path_prefix"] = json!("/changed/");
    throttled.cluster.store.put("op/config", &changed);
    throttled.wait_route("/changed/").await;

    let cost = throttled.response_bytes() - before;
    assert!(cost < changed.to_string().len() / 4, "{cost} bytes");
}

/// Guards against a final 404 that is based on an outdated configuration. A
/// VM without updates responds 503 with `Retry-After` to unknown paths, and
/// still serves known ones.
#[tokio::test]
async fn a_vm_without_updates_refuses_unknown_routes() {
    let mut store = StoreStandin::spawn().await;
    let relay = Relay::spawn(store.address);
    store.address = relay.address;
    let cluster = Cluster::start_on(store, POOLED, 1, 1).await;
    assert_eq!(cluster.get(0, "/nothing/here").await.status(), 404);

    relay.set_behavior(RelayBehavior::Discards);

    let refused =
        async || cluster.get(0, "/nothing/here").await.status() == 503;
    eventually(refused).await;
    let response = cluster.get(0, "/nothing/here").await;
    assert!(response.headers().contains_key("retry-after"));
    assert_eq!(cluster.get(0, "/list/all").await.status(), 200);
}

//! How changes of the configuration reach the daemons.

use std::{net::SocketAddr, time::Duration};

use serde_json::json;

use crate::{
    node::NodeProcess,
    relay::{Relay, RelayManner},
    store::StoreStandin,
    world::{POOLED, World, eventually, large_configuration},
};

/// Bytes a second that a narrow link carries.
const NARROW: u32 = 100_000;

/// By then a daemon has noticed that the store is silent to it.
const STORE_SILENCE: Duration = Duration::from_secs(3);

/// A daemon that others go before in following the store.
fn small_node(store: SocketAddr) -> NodeProcess {
    let limits = json!({"cpu_share": 0.1, "link_mbps": 1.0});
    NodeProcess::spawn_sized("small", store, &limits)
}

/// A daemon, and a small one that reaches it and the store over links of
/// its own.
struct NarrowWorld {
    world: World,
    to_peer: Relay,
    to_store: Relay,
}

impl NarrowWorld {
    async fn open() -> Self {
        let mut world = World::open(POOLED, 1, 1).await;
        let to_peer = Relay::spawn(world.nodes[0].peers).await;
        world.store.detour("vm-0", to_peer.address);
        let to_store = Relay::spawn(world.store.address).await;
        world.add_node(small_node(to_store.address)).await;
        Self { world, to_peer, to_store }
    }

    fn set_narrow(&self) {
        self.to_peer.set(RelayManner::Narrow(NARROW));
        self.to_store.set(RelayManner::Narrow(NARROW));
    }

    /// Bytes that the small daemon was answered.
    fn answered(&self) -> usize {
        self.to_peer.answered() + self.to_store.answered()
    }

    async fn wait_route(&self, path: &str) {
        let served = async || self.world.get(1, path).await.status() == 200;
        eventually(served).await;
    }
}

/// Guards against copies that are given up half way and asked for again.
#[tokio::test]
async fn a_large_configuration_comes_into_force_over_a_narrow_link() {
    let narrow = NarrowWorld::open().await;
    narrow.set_narrow();

    let large = large_configuration(2, 3_000);
    narrow.world.store.put("op/config", &large);

    narrow.wait_route("/route-2999/").await;
}

/// Guards against copies of the same change that compete for a narrow link.
#[tokio::test]
async fn a_vm_without_the_store_asks_for_a_change_once() {
    let narrow = NarrowWorld::open().await;
    narrow.to_store.set(RelayManner::Silent);
    tokio::time::sleep(STORE_SILENCE).await;
    narrow.to_peer.set(RelayManner::Narrow(NARROW));
    let before = narrow.answered();

    let large = large_configuration(2, 3_000);
    narrow.world.store.put("op/config", &large);
    narrow.wait_route("/route-2999/").await;

    let cost = narrow.answered() - before;
    assert!(cost < large.to_string().len(), "{cost} bytes");
}

/// Guards against waiting for a source whose answer takes most of a minute.
#[tokio::test]
async fn a_slow_source_does_not_hold_a_change_back() {
    let narrow = NarrowWorld::open().await;
    narrow.to_peer.set(RelayManner::Narrow(NARROW / 20));

    let large = large_configuration(2, 3_000);
    narrow.world.store.put("op/config", &large);

    narrow.wait_route("/route-2999/").await;
}

/// Guards against following a VM to which the store's changes come slowly.
#[tokio::test]
async fn a_source_that_reads_the_store_slowly_is_left() {
    let mut store = StoreStandin::spawn().await;
    let address = store.address;
    let to_store = Relay::spawn(address).await;
    store.address = to_store.address;
    let mut world = World::open_on(store, POOLED, 1, 1).await;
    world.add_node(small_node(address)).await;
    to_store.set(RelayManner::Narrow(NARROW / 10));

    let large = large_configuration(2, 3_000);
    world.store.put("op/config", &large);

    let served = async || world.get(1, "/route-2999/").await.status() == 200;
    eventually(served).await;
}

/// Guards against sending a whole configuration for a change of one route.
#[tokio::test]
async fn a_change_of_one_route_costs_no_copy_of_the_configuration() {
    let narrow = NarrowWorld::open().await;
    let large = large_configuration(2, 3_000);
    narrow.world.store.put("op/config", &large);
    narrow.wait_route("/route-2999/").await;
    let before = narrow.answered();

    let mut changed = large_configuration(3, 3_000);
    changed["routes"]["more"]["path_prefix"] = json!("/changed/");
    narrow.world.store.put("op/config", &changed);
    narrow.wait_route("/changed/").await;

    let cost = narrow.answered() - before;
    assert!(cost < changed.to_string().len() / 4, "{cost} bytes");
}

/// Guards against a final "no such route" by an old configuration.
#[tokio::test]
async fn a_vm_without_news_refuses_what_it_has_no_route_for() {
    let mut store = StoreStandin::spawn().await;
    let relay = Relay::spawn(store.address).await;
    store.address = relay.address;
    let world = World::open_on(store, POOLED, 1, 1).await;
    assert_eq!(world.get(0, "/nothing/here").await.status(), 404);

    relay.set(RelayManner::Silent);

    let refused = async || world.get(0, "/nothing/here").await.status() == 503;
    eventually(refused).await;
    let answer = world.get(0, "/nothing/here").await;
    assert!(answer.headers().contains_key("retry-after"));
    assert_eq!(world.get(0, "/list/all").await.status(), 200);
}

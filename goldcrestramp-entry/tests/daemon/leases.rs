//! How long what a VM wrote outlives it.

use std::time::Duration;

use rustix::process::Signal;
use serde_json::json;

use crate::{
    node::NodeProcess,
    store::StoreStandin,
    world::{DIVIDED, World, eventually},
};

const SHORT: Duration = Duration::from_millis(2_500);
const LONG: Duration = Duration::from_secs(6);

/// A daemon on a large VM, and one on a small VM.
async fn sized_world() -> World {
    let mut world = World::open(DIVIDED, 1, 1).await;
    let limits = json!({"cpu_share": 0.1, "link_mbps": 1.0});
    let small =
        NodeProcess::spawn_sized("small", world.store.address, &limits);
    world.add_node(small).await;
    world
}

/// Guards against renewals that grow with the fleet.
#[tokio::test]
async fn a_small_vm_has_a_long_lease() {
    let world = sized_world().await;

    let span = |key: &str| world.store.lease_span(key);
    eventually(async || span("router/vm/small") == Some(LONG)).await;
    eventually(async || span("router/planner") == Some(SHORT)).await;
    assert_eq!(span("router/vm/vm-0"), Some(SHORT));
}

/// Guards against a planner whose record long outlives it.
#[tokio::test]
async fn a_small_vm_that_plans_has_a_short_lease() {
    let world = sized_world().await;
    world.wait_served(1, 0).await;
    let span = |key: &str| world.store.lease_span(key);
    eventually(async || span("router/vm/small") == Some(LONG)).await;

    world.nodes[0].signal(Signal::KILL);

    let planner = async || {
        let record = world.store.get("router/planner");
        record.is_some_and(|record| {
            String::from_utf8_lossy(&record).contains("\"small\"")
        })
    };
    eventually(planner).await;
    assert_eq!(span("router/planner"), Some(SHORT));
    assert_eq!(span("router/vm/small"), Some(SHORT));
    world.wait_served(1, 0).await;
}

/// Guards against a claim with a lease that long outlives its VM.
#[tokio::test]
async fn a_claim_waits_for_a_short_lease() {
    let store = StoreStandin::spawn().await;
    let idle = json!({
        "vm": "idle", "start": 1, "domain": "north-a",
        "address": "127.0.0.1:1", "capacity": 4_000_000
    });
    store.put("router/vm/idle", &idle);

    let mut world = World::open_on(store, DIVIDED, 1, 0).await;
    let limits = json!({"cpu_share": 0.1, "link_mbps": 1.0});
    let address = world.store.address;
    world.add_node(NodeProcess::spawn_sized("small", address, &limits)).await;

    let span = |key: &str| world.store.lease_span(key);
    eventually(async || span("router/planner").is_some()).await;
    assert_eq!(span("router/planner"), Some(SHORT));
}

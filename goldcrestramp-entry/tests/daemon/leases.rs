//! The TTLs of leases, which bound how long a VM's records outlive it.

use std::time::Duration;

use rustix::process::Signal;
use serde_json::json;

use crate::{
    cluster::{Cluster, SHARDED, eventually},
    node::NodeProcess,
    store::StoreStandin,
};

const SHORT_TTL: Duration = Duration::from_millis(2_500);
const LONG_TTL: Duration = Duration::from_secs(6);

/// A cluster with a daemon on a large VM and one on a small VM.
async fn mixed_size_cluster() -> Cluster {
    let mut cluster = Cluster::start(SHARDED, 1, 1).await;
    let limits = json!({"cpu_share": 0.1, "link_mbps": 1.0});
    let small =
        NodeProcess::spawn_sized("small", cluster.store.address, &limits);
    cluster.add_node(small).await;
    cluster
}

/// Guards against a renewal load that grows with the number of VMs: small
/// ones renew long leases.
#[tokio::test]
async fn a_small_vm_has_a_long_lease() {
    let cluster = mixed_size_cluster().await;

    let ttl = |key: &str| cluster.store.lease_ttl(key);
    eventually(async || ttl("router/vm/north-a/small") == Some(LONG_TTL))
        .await;
    eventually(async || ttl("router/planner") == Some(SHORT_TTL)).await;
    assert_eq!(ttl("router/vm/north-a/vm-0"), Some(SHORT_TTL));
}

/// Guards against a planner's record that outlives a small VM for long.
#[tokio::test]
async fn a_small_vm_that_plans_has_a_short_lease() {
    let cluster = mixed_size_cluster().await;
    cluster.wait_served(1, 0).await;
    let ttl = |key: &str| cluster.store.lease_ttl(key);
    eventually(async || ttl("router/vm/north-a/small") == Some(LONG_TTL))
        .await;

    cluster.nodes[0].signal(Signal::KILL);

    let planner = async || {
        let record = cluster.store.get("router/planner");
        record.is_some_and(|record| {
            String::from_utf8_lossy(&record).contains("\"small\"")
        })
    };
    eventually(planner).await;
    assert_eq!(ttl("router/planner"), Some(SHORT_TTL));
    assert_eq!(ttl("router/vm/north-a/small"), Some(SHORT_TTL));
    cluster.wait_served(1, 0).await;
}

/// Guards against a planner claim under a lease that outlives its small VM
/// for long.
#[tokio::test]
async fn a_claim_waits_for_a_short_lease() {
    let store = StoreStandin::spawn().await;
    let idle = json!({
        "vm": "idle", "start": 1, "domain": "north-a",
        "address": "127.0.0.1:1", "capacity": 4_000_000
    });
    store.put("router/vm/north-a/idle", &idle);

    let mut cluster = Cluster::start_on(store, SHARDED, 1, 0).await;
    let limits = json!({"cpu_share": 0.1, "link_mbps": 1.0});
    let address = cluster.store.address;
    cluster
        .add_node(NodeProcess::spawn_sized("small", address, &limits))
        .await;

    let ttl = |key: &str| cluster.store.lease_ttl(key);
    eventually(async || ttl("router/planner").is_some()).await;
    assert_eq!(ttl("router/planner"), Some(SHORT_TTL));
}

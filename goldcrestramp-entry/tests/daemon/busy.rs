//! Telling a busy update source from a lost one.

use std::time::{Duration, Instant};

use rustix::process::Signal;
use serde_json::json;

use crate::{
    cluster::{Cluster, POOLED, configuration, eventually},
    node::NodeProcess,
};

/// The time within which a changed configuration must be in force.
const CONFIGURATION_LIMIT: Duration = Duration::from_secs(2);

/// A daemon, and one on a small VM that follows it.
async fn follower_cluster() -> Cluster {
    let mut cluster = Cluster::start(POOLED, 1, 1).await;
    let limits = json!({"cpu_share": 0.1, "link_mbps": 1.0});
    let small =
        NodeProcess::spawn_sized("small", cluster.store.address, &limits);
    cluster.add_node(small).await;
    cluster
}

/// Guards against followers that wait for a VM which is not busy, and against
/// a question that counts as a passed request without an envelope.
#[tokio::test]
async fn an_idle_vm_states_that_it_is_not_busy() {
    let cluster = Cluster::start(POOLED, 1, 1).await;
    let url = format!("http://{}/busy", cluster.nodes[0].relay);

    let status = async || {
        let response = reqwest::get(&url).await;
        response.expect("response arrives").status().as_u16()
    };

    eventually(async || status().await == 204).await;
}

/// Guards against a frozen source that is waited for like a busy one.
#[tokio::test]
async fn a_frozen_source_is_replaced_in_time() {
    let cluster = follower_cluster().await;
    let first = configuration(2, Some("/first/"));
    cluster.store.put("op/config", &first);
    let served = async |path| cluster.get(1, path).await.status() == 200;
    eventually(async || served("/first/").await).await;

    cluster.nodes[0].signal(Signal::STOP);
    let put_at = Instant::now();
    cluster.store.put("op/config", &configuration(3, Some("/second/")));
    eventually(async || served("/second/").await).await;

    let took = put_at.elapsed();
    assert!(took < CONFIGURATION_LIMIT, "{} ms", took.as_millis());
}

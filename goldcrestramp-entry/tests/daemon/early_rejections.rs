//! Requests do not wait behind the body of one that was rejected early.

use std::time::Duration;

use reqwest::Method;

use crate::{
    backend::{CountingBackend, EARLY_REJECTION},
    cluster::{Cluster, POOLED, configuration, entry_at, eventually},
    node::NodeProcess,
};

/// Guards against orders that reach a server long after they were sent, as
/// their connection still carries a body that the server reads later.
#[tokio::test]
async fn an_order_does_not_wait_behind_a_rejected_body() {
    const BODY_BYTES: usize = 240_000;
    let mut cluster = Cluster::start(POOLED, 0, 0).await;
    let backend = CountingBackend::spawn();
    let entry = entry_at(backend.address, POOLED, "ready");
    cluster.store.put("op/config", &configuration(2, None));
    cluster.store.put("servers/server-0", &entry);
    let store = cluster.store.address;
    cluster.add_node(NodeProcess::spawn("vm-0", store)).await;
    let order = async |path: &str, bytes: usize| {
        let attempt = cluster.next_attempt();
        let order = cluster.request(0, Method::POST, path, &attempt);
        let order = order.header("X-Deadline-Ms", "1000");
        let sent = order.body(vec![b'o'; bytes]).send().await;
        sent.map(|response| response.status().as_u16()).ok()
    };
    eventually(async || order("/order/short", 10).await == Some(200)).await;

    let rejected = order(EARLY_REJECTION, BODY_BYTES).await;
    tokio::time::sleep(Duration::from_millis(600)).await;
    let short = order("/order/short", 10).await;

    assert_eq!(rejected, Some(503));
    assert_eq!(short, Some(200));
}

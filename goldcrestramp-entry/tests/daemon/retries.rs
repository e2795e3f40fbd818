//! Retries of a service whose servers refuse everything.

use std::{
    collections::HashSet,
    time::{Duration, Instant},
};

use serde_json::json;
use tokio::time::sleep;

use crate::{
    cluster::{Cluster, POOLED},
    node::NodeProcess,
    server::{ServerBehavior, ServerStandin},
};

/// The window of the retry budget; while it lasts, VMs that have just started
/// lend nothing.
const WINDOW: Duration = Duration::from_secs(3);

/// The requests of a run, sent over two seconds.
const REQUESTS: usize = 100;

/// The retries that one VM of two may make for these requests by itself:
/// 70% of a fifth of them and of half of the constant.
const OWN_RETRIES: usize = (REQUESTS / 5 + 30) * 7 / 10;

/// A cluster of two VMs whose servers refuse everything; the budget's window
/// has passed once.
async fn overloaded_cluster(load_control: bool) -> Cluster {
    let mut cluster = Cluster::start(POOLED, 8, 0).await;
    let settings = json!({
        "load_control": load_control,
        "bounds": [
            "grace=6s", "drain=2000ms", "retry_budget_ratio=0.2",
            "budget_extra=60", "budget_window=3s"
        ]
    });
    for vm in ["vm-0", "vm-1"] {
        let store = cluster.store.address;
        let node = NodeProcess::spawn_with(vm, "north-a", store, &settings);
        cluster.add_node(node).await;
    }
    sleep(WINDOW + Duration::from_millis(500)).await;
    cluster.set_behavior(ServerBehavior::Sheds);
    cluster
}

/// Sends requests to one of the VMs. Returns the number of retries in the
/// first window, and the delays that refusals state.
async fn overload(cluster: &Cluster) -> (usize, Vec<String>) {
    let begin = Instant::now();
    let mut delays = Vec::new();
    for _ in 0..REQUESTS {
        let response = cluster.get(0, "/list/all").await;
        let header = response.headers().get("retry-after").cloned();
        let body = response.text().await.expect("body arrives");
        if body == "retry-budget" {
            let header = header.expect("a refusal states a delay");
            let text = header.to_str().expect("header is text");
            delays.push(text.to_owned());
        }
        sleep(Duration::from_millis(20)).await;
    }
    let servers = cluster.servers.iter();
    let arrivals = servers.flat_map(ServerStandin::all_arrivals);
    let in_window = arrivals.filter(|(_id, at)| *at < begin + WINDOW);
    let ids: Vec<String> = in_window.map(|(id, _at)| id).collect();
    let requests: HashSet<&String> = ids.iter().collect();
    (ids.len() - requests.len(), delays)
}

/// Guards against retries that one VM lacks while another one leaves them
/// unused, and against loans beyond the bound of all VMs.
#[tokio::test]
async fn a_vm_uses_the_retries_that_another_one_leaves() {
    let cluster = overloaded_cluster(true).await;

    let (retries, delays) = overload(&cluster).await;

    println!("{retries} retries, own part {OWN_RETRIES}, delays {delays:?}");
    assert!(retries > OWN_RETRIES, "{retries} retries");
    assert!(retries <= REQUESTS / 5 + 60, "{retries} retries");
    let distinct = delays.iter().any(|delay| *delay != delays[0]);
    assert!(distinct, "callers are spread: {delays:?}");
}

/// Guards against changes where load control is off.
#[tokio::test]
async fn without_load_control_a_vm_keeps_to_its_own_part() {
    let cluster = overloaded_cluster(false).await;

    let (retries, delays) = overload(&cluster).await;

    println!("{retries} retries, own part {OWN_RETRIES}");
    assert!(retries <= OWN_RETRIES, "{retries} retries");
    assert!(delays.iter().all(|delay| delay == "0.25"), "{delays:?}");
}

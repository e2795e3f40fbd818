//! Requests for the busiest key of an overloaded owner are refused at once.

use std::{
    sync::{Arc, Mutex},
    time::Duration,
};

use goldcrestramp_entry::{
    control::{DemandReport, ResponseTotals, ServiceLoad},
    peers::{PeerCall, PeerClient, PeerReply},
};
use tokio::task::JoinHandle;

use crate::{
    cluster::{Cluster, SHARDED, eventually},
    node::NodeProcess,
};

const HOT: u16 = 7;
const OTHER: u16 = 9;

/// A cluster of two VMs with load control and one server that owns all keys.
async fn start() -> Cluster {
    let mut cluster = Cluster::start(SHARDED, 1, 0).await;
    for vm in ["vm-0", "vm-1"] {
        let store = cluster.store.address;
        let node = NodeProcess::spawn_controlled(vm, "north-a", store);
        cluster.add_node(node).await;
    }
    for node in 0..2 {
        cluster.wait_served(node, OTHER.into()).await;
    }
    cluster
}

/// A report of 108 requests for one key within 400 ms, of which the owner has
/// completed six: four slots at 267 ms each.
fn report() -> DemandReport {
    let mut load = ServiceLoad::default();
    load.keys.insert(HOT, 108);
    let totals = ResponseTotals { responses: 6, millis: 3_000 };
    load.servers.insert("server-0".into(), totals);
    let mut report = DemandReport { vm: "vm-2".into(), ..Default::default() };
    report.load.insert(SHARDED.into(), load);
    report
}

/// Reports the demand of one more VM to all others, of which the planner
/// replies with shares.
fn spawn_reports(
    cluster: &Cluster,
) -> (JoinHandle<()>, Arc<Mutex<Vec<usize>>>) {
    let peers: Vec<_> = cluster.nodes.iter().map(|node| node.peers).collect();
    let limited = Arc::new(Mutex::new(Vec::new()));
    let seen = Arc::clone(&limited);
    let client = PeerClient::open();
    let task = tokio::spawn(async move {
        loop {
            for peer in &peers {
                let call = PeerCall::Demand(report());
                if let Some(PeerReply::Shares(shares)) =
                    client.call(*peer, &call).await
                {
                    let keys = shares.keys.get(SHARDED).map_or(0, Vec::len);
                    seen.lock().expect("lock is not poisoned").push(keys);
                }
            }
            tokio::time::sleep(Duration::from_millis(400)).await;
        }
    });
    (task, limited)
}

/// Guards against limits that do not reach the VMs, against delays that callers
/// can't use, and against limits that outlast a burst.
#[tokio::test]
async fn a_hot_key_is_refused_at_once_while_others_are_served() {
    let cluster = start().await;

    let (reports, limited) = spawn_reports(&cluster);
    for node in 0..2 {
        eventually(async || {
            cluster.get_key(node, HOT.into()).await.status() == 503
        })
        .await;
    }
    let mut refused = 0;
    for request in 0..40 {
        let node = request % 2;
        let other = cluster.get_key(node, OTHER.into()).await;
        let hot = cluster.get_key(node, HOT.into()).await;
        assert_eq!(other.status(), 200);
        if hot.status() == 503 {
            let stated = hot.headers()["retry-after"].to_str();
            let stated = stated.expect("header is text").parse::<f64>();
            let seconds = stated.expect("header is a number");
            // Callers have 3 s and use a third of them at most.
            assert!((0.1..=1.0).contains(&seconds), "{seconds}");
            assert_eq!(hot.text().await.expect("body arrives"), "full");
            refused += 1;
        }
    }
    reports.abort();

    // At most 200 of 1000 requests are admitted; without limits, all are.
    assert!(refused >= 20, "{refused} of 40 were refused");
    let limited = limited.lock().expect("lock is not poisoned").clone();
    assert_eq!(limited.iter().max(), Some(&1), "{limited:?}");
    assert_eq!(limited[0], 0, "no limits by the first report");
    for node in 0..2 {
        cluster.wait_served(node, HOT.into()).await;
    }
}

//! VMs that are partitioned from all servers, while callers, the store and the
//! other VMs still reach them.

use std::{net::SocketAddr, time::Duration};

use futures_util::future::join_all;
use reqwest::Method;

use crate::{
    cluster::{Cluster, POOLED, SHARDED, eventually},
    link::{LinkState, ServerLink},
    node::NodeProcess,
    server::ServerBehavior,
};

const SERVERS: usize = 4;

/// The time after which a partitioned VM has to serve its callers again.
const CONTACT: Duration = Duration::from_secs(3);

/// The interval between two requests of a load.
const REQUEST_INTERVAL: Duration = Duration::from_millis(20);

/// The VM whose links to the servers are cut, and one whose links stay up.
const CUT: usize = 0;
const CONNECTED: usize = 1;

/// A cluster in which one VM reaches the servers over links that can be cut.
struct PartitionedCluster {
    cluster: Cluster,
    links: Vec<ServerLink>,
}

impl PartitionedCluster {
    /// Starts the VM with the links, which plans, and a VM of another failure
    /// domain, so that neither follows the other.
    async fn start(service: &str) -> Self {
        let mut cluster = Cluster::start(service, SERVERS, 0).await;
        let store = cluster.store.with_replaced_addresses().await;
        let mut links = Vec::new();
        for server in &cluster.servers {
            let link = ServerLink::open(server.address);
            store.replace_address(server.address, link.address);
            links.push(link);
        }
        cluster.add_node(NodeProcess::spawn("vm-0", store.address)).await;
        eventually(async || cluster.store.get("router/planner").is_some())
            .await;
        let connected = cluster.spawn_in("vm-1", "north-b");
        // Tables from a VM that sees other addresses would be of no use.
        let nowhere = SocketAddr::from(([127, 0, 0, 1], 1));
        store.replace_address(connected.peers, nowhere);
        cluster.add_node(connected).await;
        Self { cluster, links }
    }

    fn set_links(&self, state: LinkState) {
        for link in &self.links {
            link.set_state(state);
        }
    }

    /// Sends lookups and orders by turns at a constant rate, and returns the
    /// number of requests and of those that succeeded.
    async fn send_load(&self, node: usize, duration: Duration) -> (u32, u32) {
        let requests = duration.as_millis() / REQUEST_INTERVAL.as_millis();
        let requests = u32::try_from(requests).expect("count fits in u32");
        let sent = (0..requests).map(|number| async move {
            tokio::time::sleep(REQUEST_INTERVAL * number).await;
            self.send(node, number % 2 == 0).await
        });
        let served = join_all(sent).await.into_iter().map(u32::from).sum();
        (requests, served)
    }

    /// Sends a lookup or an order; returns whether it succeeded, and checks
    /// that an order ran at most once, and not at all if the response says so.
    async fn send(&self, node: usize, is_lookup: bool) -> bool {
        let cluster = &self.cluster;
        let attempt = cluster.next_attempt();
        let (method, path) = if is_lookup {
            (Method::GET, "/list/all")
        } else {
            (Method::POST, "/order/new")
        };
        let request = cluster.request(node, method, path, &attempt);
        let response = request.send().await.expect("response arrives");
        let status = response.status();
        if !is_lookup {
            let executions = cluster.executions_of(&attempt);
            assert!(executions <= 1, "{executions} executions");
            assert!(status != 503 || executions == 0, "it ran despite 503");
        }
        status == 200
    }
}

async fn assert_callers_are_served(state: LinkState) {
    let partitioned = PartitionedCluster::start(POOLED).await;
    let (sent, served) =
        partitioned.send_load(CUT, Duration::from_secs(1)).await;
    assert_eq!(served, sent, "all are served before the cut");

    partitioned.set_links(state);
    partitioned.send_load(CUT, CONTACT).await;
    let (sent, served) =
        partitioned.send_load(CUT, Duration::from_secs(3)).await;

    assert!(served * 10 >= sent * 9, "{served} of {sent} are served");
}

/// Guards against a VM whose callers fail while other VMs reach the servers.
#[tokio::test]
async fn callers_are_served_while_servers_are_silent_to_their_vm() {
    assert_callers_are_served(LinkState::Silent).await;
}

/// Guards against a VM whose callers fail while other VMs reach the servers.
#[tokio::test]
async fn callers_are_served_while_links_to_servers_are_reset() {
    assert_callers_are_served(LinkState::Reset).await;
}

/// Guards against requests that fail when more connections are needed than
/// are open: open ones work, and new ones are refused.
#[tokio::test]
async fn callers_are_served_while_new_connections_are_refused() {
    const WORK: Duration = Duration::from_millis(150);
    let partitioned = PartitionedCluster::start(POOLED).await;
    partitioned.send_load(CUT, Duration::from_secs(1)).await;

    partitioned.set_links(LinkState::RefusesNew);
    partitioned.cluster.set_behavior(ServerBehavior::Responds(WORK));
    partitioned.send_load(CUT, CONTACT).await;
    let (sent, served) =
        partitioned.send_load(CUT, Duration::from_secs(3)).await;

    assert!(served * 10 >= sent * 9, "{served} of {sent} are served");
}

/// Guards against keys without an owner while the VM that renews their grants
/// reaches no server.
#[tokio::test]
async fn keys_are_served_while_their_planner_reaches_no_server() {
    let partitioned = PartitionedCluster::start(SHARDED).await;
    let cluster = &partitioned.cluster;
    let keys: Vec<u64> = (0..65_536).step_by(4_099).collect();
    for key in &keys {
        cluster.wait_served(CONNECTED, *key).await;
    }

    partitioned.set_links(LinkState::Silent);
    tokio::time::sleep(CONTACT).await;
    let mut served = 0;
    for round in 0..8 {
        for key in &keys {
            let response = cluster.get_key(CONNECTED, *key).await;
            served += usize::from(response.status() == 200);
        }
        assert!(cluster.owners(keys[round]) <= 1);
        tokio::time::sleep(Duration::from_millis(700)).await;
    }

    let sent = 8 * keys.len();
    assert!(served * 10 >= sent * 9, "{served} of {sent} are served");
}

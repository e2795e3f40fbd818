//! Many daemons in this process, with their servers and one platform.

use std::net::{Ipv4Addr, SocketAddr};

use goldcrestramp_config::NodeSettings;
use goldcrestramp_node::NodeHandle;
use goldcrestramp_standins::{
    platform::{PlatformStandin, live_entry},
    server::{ServerBehaviour, ServerStandin},
};
use serde_json::json;

/// Servers per node, about as many as users have.
const SERVERS_PER_NODE: usize = 2;
/// Slices of the only service.
const SLICES: u32 = 65_536;
/// The size of a deployment.
#[derive(Clone, Copy, Debug)]
pub(crate) struct DeploymentSize {
    pub(crate) nodes: usize,
    pub(crate) nodes_per_domain: usize,
    /// Callers in the configuration; they determine its size.
    pub(crate) callers: usize,
}

impl DeploymentSize {
    fn domain_of(self, number: usize) -> String {
        format!("domain-{:02}", number / self.nodes_per_domain)
    }
}

/// The running deployment; dropping it stops it.
#[derive(Debug)]
pub(crate) struct BenchDeployment {
    pub(crate) nodes: Vec<NodeHandle>,
    servers: Vec<ServerStandin>,
    platform: PlatformStandin,
}

impl BenchDeployment {
    /// Starts the platform and the servers.
    pub(crate) async fn open(size: DeploymentSize) -> Self {
        let platform =
            PlatformStandin::bind(loopback()).await.expect("address binds");
        let mut servers = Vec::new();
        for _ in 0..size.nodes * SERVERS_PER_NODE {
            let behaviour = ServerBehaviour::default();
            let server = ServerStandin::bind(loopback(), behaviour).await;
            servers.push(server.expect("address binds"));
        }
        let deployment = Self { nodes: Vec::new(), servers, platform };
        deployment.put_config(size).await;
        deployment
    }

    /// Starts the daemons.
    pub(crate) async fn start_nodes(&mut self, size: DeploymentSize) {
        let platform = self.platform.address();
        let all: Vec<_> =
            (0..size.nodes).map(|n| settings(n, size, platform)).collect();
        self.platform.set_vms(all.iter().map(live_entry).collect());
        for settings in all {
            let node =
                NodeHandle::spawn(settings).await.expect("daemon starts");
            self.nodes.push(node);
        }
    }

    /// Writes the first configuration, its lists sorted by name as after a
    /// ticket.
    async fn put_config(&self, size: DeploymentSize) {
        let servers =
            self.servers.iter().enumerate().map(|(number, server)| {
                json!({
                    "name": format!("server-{number:04}"),
                    "service": "stock",
                    "domain": size.domain_of(number / SERVERS_PER_NODE),
                    "address": server.address(),
                    "slots": 4,
                    "connections": 120,
                    "checks_fence": true,
                })
            });
        let last = (size.nodes - 1) / size.nodes_per_domain;
        let domains = (0..=last).map(
            |n| json!({ "name": format!("domain-{n:02}"), "region": "sierra" }),
        );
        let callers = (0..size.callers)
            .map(|n| json!({ "name": format!("caller-{n:06}"), "weight": 2 }));
        let state = json!({
            "version": 1,
            "domains": domains.collect::<Vec<_>>(),
            "services": [{ "name": "stock", "slices": SLICES }],
            "servers": servers.collect::<Vec<_>>(),
            "callers": callers.collect::<Vec<_>>(),
        });
        let url = format!("http://{}/kv/config", self.platform.address());
        let put = reqwest::Client::new().put(url);
        let put = put.header("if-none-match", "*").body(state.to_string());
        let status =
            put.send().await.expect("request gets a response").status();
        assert!(status.is_success(), "{status}");
    }
}

fn loopback() -> SocketAddr {
    SocketAddr::from((Ipv4Addr::LOCALHOST, 0))
}

/// An address on a loopback host of this node alone: connections may take
/// ports of 127.0.0.1 at any time.
fn own_address(node: usize, port: u16) -> SocketAddr {
    let high = u8::try_from(node / 200).expect("below 51,000 nodes");
    let low = u8::try_from(node % 200 + 1).expect("below 201");
    SocketAddr::from((Ipv4Addr::new(127, 77, high, low), port))
}

fn settings(
    number: usize,
    size: DeploymentSize,
    platform: SocketAddr,
) -> NodeSettings {
    let value = json!({
        "deployment": "bench",
        "vm": format!("{number}"),
        "domain": size.domain_of(number),
        "region": "sierra",
        "callers_listen": own_address(number, 7_001),
        "peers_listen": own_address(number, 7_002),
        "control_listen": own_address(number, 7_003),
        "platform_url": format!("http://{platform}"),
        "operators": { "listen": "127.0.0.1:0" },
    });
    serde_json::from_value(value).expect("settings are valid")
}

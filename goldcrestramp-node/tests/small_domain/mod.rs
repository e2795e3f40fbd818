//! One failure domain of any number of daemons and servers, in this process.

use std::{
    net::{Ipv4Addr, SocketAddr, TcpListener},
    time::Duration,
};

use goldcrestramp_config::NodeSettings;
use goldcrestramp_node::NodeHandle;
use goldcrestramp_standins::{
    platform::{PlatformStandin, live_entry},
    server::{KeyStorage, ServerBehaviour, ServerStandin},
};
use reqwest::{Method, RequestBuilder};
use serde_json::json;

/// The failure domain.
pub(crate) const DOMAIN: &str = "sierra-a";
/// Longer than any wait in these tests; only a failed test reaches it.
pub(crate) const TIMEOUT: Duration = Duration::from_secs(30);
/// The listen addresses of one daemon.
const LISTENERS: usize = 4;
/// Enough keys that each of several servers owns some.
const KEYS: usize = 16;

/// What `SmallDomain::spawn` starts.
#[derive(Debug)]
pub(crate) struct DomainShape {
    /// From 2, and unique among the tests of the process.
    pub(crate) test_id: u8,
    /// The number of daemons.
    pub(crate) nodes: usize,
    /// The slots of each server in the configuration.
    pub(crate) slots: u32,
    /// The behavior of each server.
    pub(crate) servers: Vec<ServerBehaviour>,
}

/// The running daemons, servers and platform.
#[derive(Debug)]
pub(crate) struct SmallDomain {
    pub(crate) servers: Vec<ServerStandin>,
    pub(crate) nodes: Vec<NodeHandle>,
    http: reqwest::Client,
    _platform: PlatformStandin,
}

impl SmallDomain {
    /// Starts everything and waits until every key is served.
    pub(crate) async fn spawn(
        shape: DomainShape,
        prepare: impl Fn(&mut NodeSettings),
    ) -> Self {
        let platform =
            PlatformStandin::bind(loopback()).await.expect("address binds");
        let address = platform.address();
        let servers = bind_servers(shape.servers).await;
        put_config(address, &servers, shape.slots).await;
        let listen = free_addresses(shape.test_id, shape.nodes * LISTENERS);
        let mut all: Vec<_> = (0..)
            .zip(listen.chunks(LISTENERS))
            .map(|(number, listen)| settings(number, address, listen))
            .collect();
        all.iter_mut().for_each(prepare);
        platform.set_vms(all.iter().map(live_entry).collect());
        let mut nodes = Vec::new();
        for settings in all {
            nodes.push(
                NodeHandle::spawn(settings).await.expect("daemon starts"),
            );
        }
        let http = reqwest::Client::new();
        let domain = Self { servers, nodes, http, _platform: platform };
        domain.wait_until_served().await;
        domain
    }

    /// A request for a key through one of the VMs.
    pub(crate) fn request_to(
        &self,
        node: usize,
        method: Method,
        key: &str,
    ) -> RequestBuilder {
        let callers = self.nodes[node].addresses().callers;
        let url = format!("http://{callers}/v1/stock/{key}");
        self.http.request(method, url)
    }

    async fn wait_until_served(&self) {
        for node in 0..self.nodes.len() {
            let keys = if self.servers.len() > 1 { KEYS } else { 1 };
            for key in 0..keys {
                let key = format!("first-{key}");
                let served = self.wait_for_key(node, &key);
                tokio::time::timeout(TIMEOUT, served)
                    .await
                    .expect("condition is met in time");
            }
        }
    }

    async fn wait_for_key(&self, node: usize, key: &str) {
        loop {
            let lookup = self.request_to(node, Method::GET, key);
            let response =
                lookup.send().await.expect("request gets a response");
            if response.status().is_success() {
                return;
            }
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
    }
}

fn loopback() -> SocketAddr {
    "127.0.0.1:0".parse().expect("address is valid")
}

async fn bind_servers(behaviours: Vec<ServerBehaviour>) -> Vec<ServerStandin> {
    let storage = KeyStorage::default();
    let mut servers = Vec::new();
    for behaviour in behaviours {
        let storage = storage.clone();
        let server =
            ServerStandin::bind_with(loopback(), behaviour, storage, None);
        servers.push(server.await.expect("address binds"));
    }
    servers
}

/// Free addresses, chosen together because peers must know them before the
/// daemons start.
///
/// They are on a loopback host of this test alone, ending in `last`, where
/// no connection or other listener can take a port before its daemon binds
/// it.
fn free_addresses(last: u8, count: usize) -> Vec<SocketAddr> {
    let [_, _, high, low] = std::process::id().to_be_bytes();
    let host = Ipv4Addr::new(127, 64 + (high & 0x3f), low, last);
    let listeners: Vec<_> = (0..count)
        .map(|_| TcpListener::bind((host, 0)).expect("port is free"))
        .collect();
    let addresses = listeners.iter().map(TcpListener::local_addr);
    addresses.map(|one| one.expect("address is valid")).collect()
}

fn settings(
    number: usize,
    platform: SocketAddr,
    listen: &[SocketAddr],
) -> NodeSettings {
    let value = json!({
        "deployment": "path",
        "vm": format!("vm-{number}"),
        "domain": DOMAIN,
        "region": "sierra",
        "callers_listen": listen[0],
        "peers_listen": listen[1],
        "control_listen": listen[2],
        "platform_url": format!("http://{platform}"),
        "operators": { "listen": listen[3] },
    });
    serde_json::from_value(value).expect("settings are valid")
}

async fn put_config(
    platform: SocketAddr,
    servers: &[ServerStandin],
    slots: u32,
) {
    let servers: Vec<_> = servers
        .iter()
        .enumerate()
        .map(|(number, server)| {
            json!({
                "name": format!("stock-{number}"),
                "service": "stock",
                "domain": DOMAIN,
                "address": server.address(),
                "slots": slots,
                "connections": 120,
                "checks_fence": true,
            })
        })
        .collect();
    let state = json!({
        "version": 1,
        "domains": [{ "name": DOMAIN, "region": "sierra" }],
        "services": [{ "name": "stock", "slices": 64 }],
        "servers": servers,
    });
    let url = format!("http://{platform}/kv/config");
    let put = reqwest::Client::new().put(url);
    let put = put.header("if-none-match", "*").body(state.to_string());
    let status = put.send().await.expect("request gets a response").status();
    assert!(status.is_success());
}

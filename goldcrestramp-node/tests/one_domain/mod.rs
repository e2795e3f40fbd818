//! A failure domain of several daemons and servers, in this process.

use std::{
    net::{Ipv4Addr, SocketAddr, TcpListener},
    time::Duration,
};

use bytes::Bytes;
use goldcrestramp_config::{
    EntityId, EntityKind, EntityRevision, NodeSettings,
};
use goldcrestramp_node::NodeHandle;
use goldcrestramp_platform::{
    PlatformClient, PutCondition, StoreAccess, records::keys,
};
use goldcrestramp_standins::{
    platform::{PlatformStandin, live_entry},
    server::{ServerBehaviour, ServerStandin, WorkTimes},
};
use reqwest::{Method, RequestBuilder};
use serde_json::{Value, json};

const DOMAIN: &str = "sierra-a";
/// Longer than anything here takes; only a failed test sees it.
const LIMIT: Duration = Duration::from_secs(30);
/// What each request takes at a server: more than the way there, so that a
/// slow server is told from a busy machine.
const WORK_MS: u64 = 10;
const PAUSE: Duration = Duration::from_millis(20);

/// What a test talks to.
pub(crate) struct OneDomain {
    pub(crate) servers: Vec<ServerStandin>,
    pub(crate) nodes: Vec<NodeHandle>,
    store: PlatformClient,
    state: Value,
    http: reqwest::Client,
    platform: PlatformStandin,
}

impl OneDomain {
    /// Starts `vms` daemons and two servers, and waits until they serve.
    ///
    /// `host`: another number for each test of the process.
    pub(crate) async fn spawn(host: u8, vms: usize) -> Self {
        Self::spawn_with(host, vms, |_| {}).await
    }

    /// The same, with the daemons' settings changed by `prepare`.
    pub(crate) async fn spawn_with(
        host: u8,
        vms: usize,
        prepare: impl FnMut(&mut NodeSettings),
    ) -> Self {
        let platform = PlatformStandin::bind(loopback()).await.expect("bound");
        let mut servers = Vec::new();
        for _ in 0..2 {
            let work = WorkTimes::fixed(WORK_MS);
            let behaviour = ServerBehaviour { work, ..Default::default() };
            let server = ServerStandin::bind(loopback(), behaviour).await;
            servers.push(server.expect("bound"));
        }
        let url = format!("http://{}", platform.address());
        let mut domain = Self {
            nodes: Vec::new(),
            store: PlatformClient::open(&url).expect("a client"),
            state: first_state(&servers),
            http: reqwest::Client::new(),
            servers,
            platform,
        };
        domain.put_config(1).await;
        let listen = draw_addresses(host, 4 * vms);
        let mut settings: Vec<_> = (0..)
            .zip(listen.chunks(4))
            .map(|(n, listen): (u32, _)| settings(n, &url, listen))
            .collect();
        settings.iter_mut().for_each(prepare);
        let entries = settings.iter().map(live_entry);
        domain.platform.set_vms(entries.collect());
        for settings in settings {
            let node = NodeHandle::spawn(settings).await.expect("started");
            domain.nodes.push(node);
        }
        for node in 0..vms {
            domain.wait_until_served(node).await;
        }
        domain
    }

    /// A request through one of the daemons, by a patient caller.
    pub(crate) fn request(
        &self,
        node: usize,
        method: Method,
        key: &str,
    ) -> RequestBuilder {
        self.request_within(20_000, node, method, key)
    }

    /// A request whose caller waits for so many milliseconds.
    pub(crate) fn request_within(
        &self,
        deadline_ms: u32,
        node: usize,
        method: Method,
        key: &str,
    ) -> RequestBuilder {
        let callers = self.nodes[node].addresses().callers;
        let url = format!("http://{callers}/v1/stock/{key}");
        self.http
            .request(method, url)
            .header("goldcrestramp-caller", "tienda")
            .header("goldcrestramp-deadline-ms", deadline_ms)
    }

    /// A ticket takes a server out of service.
    pub(crate) async fn drain_server(&mut self, server: usize) {
        let name = format!("stock-{server}");
        let thing = EntityId::new(EntityKind::Server, &name);
        self.state["servers"][server]["drain"] = json!(true);
        self.state["tickets"]["last"][thing.to_string()] =
            json!(EntityRevision(2, 0));
        self.put_config(2).await;
    }

    /// Writes the configuration under this version.
    async fn put_config(&mut self, version: u64) {
        let stored = self.store.get(keys::CONFIG).await.expect("a read");
        let condition = stored.map_or(PutCondition::Absent, |stored| {
            PutCondition::Version(stored.version)
        });
        self.state["version"] = json!(version);
        let value = Bytes::from(self.state.to_string());
        let put = self.store.put(keys::CONFIG, condition, value, None);
        put.await.expect("written");
    }

    /// How many executions of requests whose ids end so each server logged.
    pub(crate) fn runs(&self, request: &str) -> Vec<usize> {
        let servers = self.servers.iter().map(ServerStandin::log);
        servers
            .map(|log| {
                let runs = log.executions.iter();
                runs.filter(|e| e.request.ends_with(request)).count()
            })
            .collect()
    }

    /// The position of the daemon that keeps a server.
    pub(crate) async fn keeper_of(&self, server: usize) -> usize {
        let name = format!("stock-{server}");
        let looking = async {
            loop {
                for (position, node) in self.nodes.iter().enumerate() {
                    let status = node.status().await.expect("a status");
                    let mut keeps = status.keeps.iter();
                    if keeps.any(|(server, _)| server.as_str() == name) {
                        return position;
                    }
                }
                tokio::time::sleep(PAUSE).await;
            }
        };
        tokio::time::timeout(LIMIT, looking).await.expect("a keeper")
    }

    /// A key that this server owns.
    pub(crate) async fn key_of(&self, server: usize) -> String {
        for number in 0..100 {
            let key = format!("k{number}");
            let id = format!("find-{number}");
            let ask = self.request(0, Method::GET, &key);
            let ask = ask.header("goldcrestramp-request", &id);
            ask.send().await.expect("an answer");
            if self.runs(&id)[server] > 0 {
                return key;
            }
        }
        panic!("the server owns none of a hundred keys");
    }

    /// Waits until lookups of a key are run by this server.
    pub(crate) async fn wait_until_run_by(&self, server: usize, key: &str) {
        let asking = async {
            for number in 0_u32.. {
                let id = format!("look-{server}-{number}");
                let ask = self.request(0, Method::GET, key);
                let ask = ask.header("goldcrestramp-request", &id);
                ask.send().await.expect("an answer");
                if self.runs(&id)[server] > 0 {
                    return;
                }
                tokio::time::sleep(PAUSE).await;
            }
        };
        tokio::time::timeout(LIMIT, asking).await.expect("moved in time");
    }

    async fn wait_until_served(&self, node: usize) {
        let asking = async {
            loop {
                let ask = self.request(node, Method::GET, "first");
                let answer = ask.send().await.expect("an answer");
                if answer.status().is_success() {
                    return;
                }
                tokio::time::sleep(PAUSE).await;
            }
        };
        tokio::time::timeout(LIMIT, asking).await.expect("served in time");
    }
}

fn loopback() -> SocketAddr {
    "127.0.0.1:0".parse().expect("an address")
}

/// Addresses on which nothing listens, on a host of this test's own, where
/// no connection takes a drawn port before its daemon binds it.
fn draw_addresses(last: u8, count: usize) -> Vec<SocketAddr> {
    let [_, _, high, low] = std::process::id().to_be_bytes();
    let host = Ipv4Addr::new(127, 64 + (high & 0x3f), low, last);
    let listeners: Vec<_> = (0..count)
        .map(|_| TcpListener::bind((host, 0)).expect("a port"))
        .collect();
    let addresses = listeners.iter().map(TcpListener::local_addr);
    addresses.map(|one| one.expect("an address")).collect()
}

fn settings(number: u32, url: &str, listen: &[SocketAddr]) -> NodeSettings {
    let value = json!({
        "deployment": "one-domain",
        "vm": format!("vm-{number}"),
        "domain": DOMAIN,
        "region": "sierra",
        "callers_listen": listen[0],
        "peers_listen": listen[1],
        "control_listen": listen[2],
        "platform_url": url,
        "operators": { "listen": listen[3] },
    });
    serde_json::from_value(value).expect("settings")
}

fn first_state(servers: &[ServerStandin]) -> Value {
    let servers: Vec<_> = (0..)
        .zip(servers)
        .map(|(number, server): (u32, _)| {
            json!({
                "name": format!("stock-{number}"),
                "service": "stock",
                "domain": DOMAIN,
                "address": server.address(),
                "slots": 4,
                "connections": 120,
                "checks_fence": true,
            })
        })
        .collect();
    json!({
        "version": 1,
        "domains": [{ "name": DOMAIN, "region": "sierra" }],
        "services": [{ "name": "stock", "slices": 64 }],
        "servers": servers,
    })
}

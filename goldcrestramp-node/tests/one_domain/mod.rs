//! One failure domain of several daemons and two servers, in this process.

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
/// Longer than any wait in these tests; only a failed test reaches it.
const TIMEOUT: Duration = Duration::from_secs(30);
/// Execution time of each request at a server, in milliseconds: more than the
/// round trip, so that a slow server differs from a busy machine.
const WORK_MS: u64 = 10;
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// The running daemons, servers and platform.
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
    /// `test_id`: unique among the tests of the process.
    pub(crate) async fn spawn(test_id: u8, vms: usize) -> Self {
        Self::spawn_with(test_id, vms, |_| {}).await
    }

    /// Like `spawn`, with the daemons' settings changed by `prepare`.
    pub(crate) async fn spawn_with(
        test_id: u8,
        vms: usize,
        prepare: impl FnMut(&mut NodeSettings),
    ) -> Self {
        let platform =
            PlatformStandin::bind(loopback()).await.expect("address binds");
        let mut servers = Vec::new();
        for _ in 0..2 {
            let work = WorkTimes::fixed(WORK_MS);
            let behaviour = ServerBehaviour { work, ..Default::default() };
            let server = ServerStandin::bind(loopback(), behaviour).await;
            servers.push(server.expect("address binds"));
        }
        let url = format!("http://{}", platform.address());
        let mut domain = Self {
            nodes: Vec::new(),
            store: PlatformClient::open(&url).expect("URL is valid"),
            state: initial_state(&servers),
            http: reqwest::Client::new(),
            servers,
            platform,
        };
        domain.put_config(1).await;
        let listen = free_addresses(test_id, 4 * vms);
        let mut settings: Vec<_> = (0..)
            .zip(listen.chunks(4))
            .map(|(n, listen): (u32, _)| settings(n, &url, listen))
            .collect();
        settings.iter_mut().for_each(prepare);
        let entries = settings.iter().map(live_entry);
        domain.platform.set_vms(entries.collect());
        for settings in settings {
            let node =
                NodeHandle::spawn(settings).await.expect("daemon starts");
            domain.nodes.push(node);
        }
        for node in 0..vms {
            domain.wait_until_served(node).await;
        }
        domain
    }

    /// A request through one of the daemons, with a deadline of 20 s.
    pub(crate) fn request(
        &self,
        node: usize,
        method: Method,
        key: &str,
    ) -> RequestBuilder {
        self.request_within(20_000, node, method, key)
    }

    /// A request with a deadline of `deadline_ms`.
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

    /// Drains a server, as a ticket would.
    pub(crate) async fn drain_server(&mut self, server: usize) {
        let name = format!("stock-{server}");
        let entity = EntityId::new(EntityKind::Server, &name);
        self.state["servers"][server]["drain"] = json!(true);
        self.state["tickets"]["last"][entity.to_string()] =
            json!(EntityRevision(2, 0));
        self.put_config(2).await;
    }

    /// Writes the configuration with this version.
    async fn put_config(&mut self, version: u64) {
        let stored =
            self.store.get(keys::CONFIG).await.expect("store is readable");
        let condition = stored.map_or(PutCondition::Absent, |stored| {
            PutCondition::Version(stored.version)
        });
        self.state["version"] = json!(version);
        let value = Bytes::from(self.state.to_string());
        let put = self.store.put(keys::CONFIG, condition, value, None);
        put.await.expect("write succeeds");
    }

    /// How many executions each server logged of requests whose ids have this
    /// suffix.
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
        let polling = async {
            loop {
                for (position, node) in self.nodes.iter().enumerate() {
                    let status =
                        node.status().await.expect("status is available");
                    let mut keeps = status.keeps.iter();
                    if keeps.any(|(server, _)| server.as_str() == name) {
                        return position;
                    }
                }
                tokio::time::sleep(POLL_INTERVAL).await;
            }
        };
        tokio::time::timeout(TIMEOUT, polling)
            .await
            .expect("server has a keeper")
    }

    /// A key that this server owns.
    pub(crate) async fn key_of(&self, server: usize) -> String {
        for number in 0..100 {
            let key = format!("k{number}");
            let id = format!("find-{number}");
            let lookup = self.request(0, Method::GET, &key);
            let lookup = lookup.header("goldcrestramp-request", &id);
            lookup.send().await.expect("request gets a response");
            if self.runs(&id)[server] > 0 {
                return key;
            }
        }
        panic!("the server owns none of a hundred keys");
    }

    /// Waits until this server runs lookups of a key.
    pub(crate) async fn wait_until_run_by(&self, server: usize, key: &str) {
        let polling = async {
            for number in 0_u32.. {
                let id = format!("look-{server}-{number}");
                let lookup = self.request(0, Method::GET, key);
                let lookup = lookup.header("goldcrestramp-request", &id);
                lookup.send().await.expect("request gets a response");
                if self.runs(&id)[server] > 0 {
                    return;
                }
                tokio::time::sleep(POLL_INTERVAL).await;
            }
        };
        tokio::time::timeout(TIMEOUT, polling)
            .await
            .expect("key moves in time");
    }

    /// Waits until a server has started this many requests whose ids contain
    /// this text.
    pub(crate) async fn wait_until_running(
        &self,
        server: usize,
        request: &str,
        count: usize,
    ) {
        let started = || {
            let log = self.servers[server].log();
            let runs = log.executions.iter();
            runs.filter(|run| run.request.contains(request)).count()
        };
        let polling = async {
            while started() < count {
                tokio::time::sleep(POLL_INTERVAL).await;
            }
        };
        tokio::time::timeout(TIMEOUT, polling)
            .await
            .expect("server starts the requests in time");
    }

    async fn wait_until_served(&self, node: usize) {
        let polling = async {
            loop {
                let lookup = self.request(node, Method::GET, "first");
                let response =
                    lookup.send().await.expect("request gets a response");
                if response.status().is_success() {
                    return;
                }
                tokio::time::sleep(POLL_INTERVAL).await;
            }
        };
        tokio::time::timeout(TIMEOUT, polling)
            .await
            .expect("keys are served in time");
    }
}

fn loopback() -> SocketAddr {
    "127.0.0.1:0".parse().expect("address is valid")
}

/// Free addresses on a loopback host of this test alone, where no connection
/// takes a port before its daemon binds it.
fn free_addresses(last: u8, count: usize) -> Vec<SocketAddr> {
    let [_, _, high, low] = std::process::id().to_be_bytes();
    let host = Ipv4Addr::new(127, 64 + (high & 0x3f), low, last);
    let listeners: Vec<_> = (0..count)
        .map(|_| TcpListener::bind((host, 0)).expect("port is free"))
        .collect();
    let addresses = listeners.iter().map(TcpListener::local_addr);
    addresses.map(|one| one.expect("address is valid")).collect()
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
    serde_json::from_value(value).expect("settings are valid")
}

fn initial_state(servers: &[ServerStandin]) -> Value {
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

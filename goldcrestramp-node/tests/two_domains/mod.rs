//! Two failure domains, each with a daemon and a server, in this process.

use std::{net::SocketAddr, time::Duration};

use bytes::Bytes;
use goldcrestramp_config::{
    EntityId, EntityKind, EntityRevision, NodeSettings,
};
use goldcrestramp_node::NodeHandle;
use goldcrestramp_ownership::{DomainRecord, ServiceRecord};
use goldcrestramp_platform::{
    PlatformClient, PutCondition, StoreAccess,
    records::{DomainHead, DomainShard, StoreRecord, keys},
};
use goldcrestramp_standins::{
    GrantEntry,
    platform::{PlatformStandin, live_entry},
    server::{ServerBehaviour, ServerStandin},
};
use goldcrestramp_types::{DomainName, ServiceName, SliceSet};
use serde_json::json;

/// The two failure domains, in one region.
pub(crate) const DOMAINS: [&str; 2] = ["sierra-a", "sierra-b"];
/// Enough keys that both domains hold some.
const KEYS: usize = 24;
/// Longer than anything here takes; only a failed test sees it.
const LIMIT: Duration = Duration::from_mins(1);
const PAUSE: Duration = Duration::from_millis(50);

/// What a test talks to.
pub(crate) struct TwoDomains {
    pub(crate) platform: PlatformStandin,
    pub(crate) store: PlatformClient,
    pub(crate) servers: [Option<ServerStandin>; 2],
    settings: [NodeSettings; 2],
    nodes: [Option<NodeHandle>; 2],
    http: reqwest::Client,
}

impl TwoDomains {
    /// Starts everything and waits until every key is served.
    ///
    /// `seat`: another number for each test of the process.
    pub(crate) async fn spawn(seat: u16) -> Self {
        let platform = PlatformStandin::bind(loopback()).await.expect("bound");
        let store =
            PlatformClient::open(&format!("http://{}", platform.address()));
        let settings = [0, 1].map(|n| settings(seat, n, platform.address()));
        platform.set_vms(settings.iter().map(live_entry).collect());
        let mut two = Self {
            store: store.expect("a client"),
            platform,
            servers: [None, None],
            settings,
            nodes: [None, None],
            http: reqwest::Client::new(),
        };
        for domain in 0..2 {
            let address = loopback();
            two.start_server(domain, address).await;
        }
        two.put_config(1, |_| {}).await;
        for domain in 0..2 {
            two.start_node(domain).await;
        }
        two.wait_until_served(0).await;
        two
    }

    /// Starts a domain's daemon anew.
    pub(crate) async fn start_node(&mut self, domain: usize) {
        let settings = self.settings[domain].clone();
        let node = NodeHandle::spawn(settings).await.expect("started");
        self.nodes[domain] = Some(node);
    }

    /// Starts a domain's server anew, at `address`.
    pub(crate) async fn start_server(
        &mut self,
        domain: usize,
        address: SocketAddr,
    ) {
        let behaviour = ServerBehaviour::default();
        let server = ServerStandin::bind(address, behaviour).await;
        self.servers[domain] = Some(server.expect("bound"));
    }

    /// Makes a domain's daemon stand still, or go on.
    pub(crate) fn pause_node(&self, domain: usize, paused: bool) {
        let node = self.nodes[domain].as_ref().expect("a running daemon");
        node.context().faults.pause(paused);
    }

    /// Waits until the platform has served so many more reads.
    pub(crate) async fn wait_for_reads(&self, more: u64) {
        let until = self.platform.counts().reads + more;
        let waiting = async {
            while self.platform.counts().reads < until {
                tokio::time::sleep(PAUSE).await;
            }
        };
        tokio::time::timeout(LIMIT, waiting).await.expect("in time");
    }

    /// Ends everything in a domain at once; gives its server's address.
    pub(crate) fn stop_domain(&mut self, domain: usize) -> SocketAddr {
        self.nodes[domain] = None;
        let server = self.servers[domain].take().expect("a running server");
        server.address()
    }

    /// A ticket of this number declares a domain lost, or back.
    pub(crate) async fn put_lost(
        &self,
        number: u64,
        domain: usize,
        lost: bool,
    ) {
        let thing = EntityId::new(EntityKind::Domain, DOMAINS[domain]);
        let edit = |state: &mut serde_json::Value| {
            state["domains"][domain]["lost"] = json!(lost);
            state["tickets"]["last"][thing.to_string()] =
                json!(EntityRevision(number, 0));
        };
        self.put_config(number, edit).await;
    }

    /// A ticket of this number drains a domain's server, or takes it back.
    pub(crate) async fn put_drain(
        &self,
        number: u64,
        domain: usize,
        drain: bool,
    ) {
        let name = format!("{}-server", DOMAINS[domain]);
        let thing = EntityId::new(EntityKind::Server, &name);
        let edit = |state: &mut serde_json::Value| {
            state["servers"][domain]["drain"] = json!(drain);
            state["tickets"]["last"][thing.to_string()] =
                json!(EntityRevision(number, 0));
        };
        self.put_config(number, edit).await;
    }

    /// Writes the configuration of this version, changed by `edit`.
    pub(crate) async fn put_config(
        &self,
        version: u64,
        edit: impl FnOnce(&mut serde_json::Value),
    ) {
        let stored = self.store.get(keys::CONFIG).await.expect("a read");
        let (condition, mut state) = match stored {
            None => (PutCondition::Absent, self.first_state()),
            Some(stored) => {
                let state = serde_json::from_slice(&stored.value);
                let condition = PutCondition::Version(stored.version);
                (condition, state.expect("a configuration"))
            }
        };
        state["version"] = json!(version);
        edit(&mut state);
        let value = Bytes::from(state.to_string());
        let put = self.store.put(keys::CONFIG, condition, value, None);
        put.await.expect("written");
    }

    /// A domain's own record, joined from its shards.
    pub(crate) async fn domain_record(
        &self,
        domain: &DomainName,
    ) -> Option<DomainRecord> {
        let read = async |key: String| {
            let stored = self.store.get(&key).await.expect("a read");
            stored.map(|stored| stored.value)
        };
        let head = read(keys::domain_head(domain)).await?;
        let head = DomainHead::decode(&head).expect("a head");
        let mut shards = Vec::new();
        for mark in &head.shards {
            let key = keys::domain_shard(domain, &mark.service, mark.shard);
            let value = read(key).await.expect("a shard");
            shards.push(DomainShard::decode(&value).expect("a shard"));
        }
        Some(head.join(&shards).expect("a whole record"))
    }

    /// Waits until the servers on a domain's record hold so many slices.
    pub(crate) async fn wait_for_held(
        &self,
        domain: &DomainName,
        count: usize,
    ) -> DomainRecord {
        let waiting = async {
            loop {
                if let Some(record) = self.domain_record(domain).await {
                    let held = record.holders.values().map(SliceSet::len);
                    if held.sum::<usize>() == count {
                        return record;
                    }
                }
                tokio::time::sleep(PAUSE).await;
            }
        };
        tokio::time::timeout(LIMIT, waiting).await.expect("in time")
    }

    /// Whether slices were held by both servers, but none by both at one
    /// time, as their own logs have it.
    pub(crate) fn moved_without_overlap(&self) -> bool {
        let holds = |server: usize| {
            let server = self.servers[server].as_ref();
            server.expect("a running server").log().holds
        };
        let (left, right) = (holds(0), holds(1));
        let pairs =
            left.iter().flat_map(|l| right.iter().map(move |r| (l, r)));
        let same = pairs.filter(|(l, r)| l.slices.overlaps(&r.slices));
        let same: Vec<_> = same.collect();
        let apart = |l: &GrantEntry, r: &GrantEntry| {
            l.until <= r.from || r.until <= l.from
        };
        !same.is_empty() && same.iter().all(|(l, r)| apart(l, r))
    }

    /// Waits until a domain no longer says that it has no usable server.
    pub(crate) async fn wait_for_usable(&self, domain: &DomainName) {
        let waiting = async {
            loop {
                let record = self.domain_record(domain).await;
                if record.is_some_and(|r| r.stranded.is_empty()) {
                    return;
                }
                tokio::time::sleep(PAUSE).await;
            }
        };
        tokio::time::timeout(LIMIT, waiting).await.expect("in time");
    }

    /// Looks keys up one after another through domain 0 while `act` goes
    /// on; how many lookups were not served.
    pub(crate) async fn ask_during(&self, act: impl AsyncFnOnce()) -> usize {
        let mut failed = 0;
        let asking = async {
            for key in (0..KEYS).cycle() {
                failed += usize::from(!self.ask(0, key).await);
            }
        };
        tokio::select! {
            () = act() => {}
            () = asking => {}
        }
        failed
    }

    /// The service's record as the store has it.
    pub(crate) async fn division(&self) -> Option<ServiceRecord> {
        let service = ServiceName::new("stock").expect("a name");
        let stored = self.store.get(&keys::slices(&service)).await;
        let stored = stored.expect("a read")?;
        ServiceRecord::decode(&stored.value).ok()
    }

    /// Waits until the record is as `wanted` says.
    pub(crate) async fn wait_for_division(
        &self,
        wanted: impl Fn(&ServiceRecord) -> bool,
    ) {
        let waiting = async {
            while !self.division().await.is_some_and(|r| wanted(&r)) {
                tokio::time::sleep(PAUSE).await;
            }
        };
        tokio::time::timeout(LIMIT, waiting).await.expect("in time");
    }

    /// Waits until every key is served through a domain's daemon.
    pub(crate) async fn wait_until_served(&self, domain: usize) {
        let asking = async {
            for key in 0..KEYS {
                while !self.ask(domain, key).await {
                    tokio::time::sleep(PAUSE).await;
                }
            }
        };
        tokio::time::timeout(LIMIT, asking).await.expect("served in time");
    }

    /// Looks a key up; whether it was served.
    async fn ask(&self, domain: usize, key: usize) -> bool {
        let node = self.nodes[domain].as_ref().expect("a running daemon");
        let callers = node.addresses().callers;
        let url = format!("http://{callers}/v1/stock/key-{key}");
        let ask = self
            .http
            .get(url)
            .header("goldcrestramp-caller", "test")
            .header("goldcrestramp-deadline-ms", 2_000)
            .send();
        ask.await.is_ok_and(|answer| answer.status().is_success())
    }

    fn first_state(&self) -> serde_json::Value {
        let domains =
            DOMAINS.map(|name| json!({ "name": name, "region": "sierra" }));
        let servers =
            self.servers.iter().zip(DOMAINS).map(|(server, place)| {
                json!({
                    "name": format!("{place}-server"),
                    "service": "stock",
                    "domain": place,
                    "address": server.as_ref().expect("running").address(),
                    "slots": 4,
                    "connections": 120,
                    "checks_fence": true,
                })
            });
        json!({
            "version": 0,
            "domains": domains,
            "services": [{ "name": "stock", "slices": 64 }],
            "servers": servers.collect::<Vec<_>>(),
            "tickets": { "last": {} },
        })
    }
}

fn loopback() -> SocketAddr {
    "127.0.0.1:0".parse().expect("an address")
}

/// The first port of all; below those that the system gives out, so that
/// no other test is given one before the daemon has bound it.
const PORT_BASE: u32 = 20_000;
/// Processes with other numbers use other ports.
const PORT_SETS: u32 = 360;
const SEATS: u32 = 5;
const PORTS: u32 = 6;

fn settings(seat: u16, domain: usize, platform: SocketAddr) -> NodeSettings {
    let place = std::process::id() % PORT_SETS * SEATS + u32::from(seat);
    let half = u32::try_from(domain).expect("two domains") * PORTS / 2;
    let first = PORT_BASE + place * PORTS + half;
    let port = |number: u32| format!("127.0.0.1:{}", first + number);
    let value = json!({
        "deployment": "two-domains",
        "vm": format!("vm-{domain}"),
        "domain": DOMAINS[domain],
        "region": "sierra",
        "callers_listen": port(0),
        "peers_listen": port(1),
        "control_listen": port(2),
        "platform_url": format!("http://{platform}"),
        "operators": { "listen": "127.0.0.1:0" },
    });
    serde_json::from_value(value).expect("settings")
}

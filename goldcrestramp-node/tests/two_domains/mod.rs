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
/// Enough keys that each domain holds some.
const KEYS: usize = 24;
/// Longer than any wait in these tests; only a failed test reaches it.
const TIMEOUT: Duration = Duration::from_mins(1);
const POLL_INTERVAL: Duration = Duration::from_millis(50);

/// The running daemons, servers and platform.
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
    /// `test_id`: below `TEST_IDS` and unique among the tests of the process.
    pub(crate) async fn spawn(test_id: u16) -> Self {
        let platform =
            PlatformStandin::bind(loopback()).await.expect("address binds");
        let store =
            PlatformClient::open(&format!("http://{}", platform.address()));
        let settings =
            [0, 1].map(|n| settings(test_id, n, platform.address()));
        platform.set_vms(settings.iter().map(live_entry).collect());
        let mut two = Self {
            store: store.expect("URL is valid"),
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

    /// Starts a domain's daemon, with its first settings.
    pub(crate) async fn start_node(&mut self, domain: usize) {
        let settings = self.settings[domain].clone();
        let node = NodeHandle::spawn(settings).await.expect("daemon starts");
        self.nodes[domain] = Some(node);
    }

    /// Starts a new server for a domain at `address`.
    pub(crate) async fn start_server(
        &mut self,
        domain: usize,
        address: SocketAddr,
    ) {
        let behaviour = ServerBehaviour::default();
        let server = ServerStandin::bind(address, behaviour).await;
        self.servers[domain] = Some(server.expect("address binds"));
    }

    /// Pauses a domain's daemon, or resumes it.
    pub(crate) fn pause_node(&self, domain: usize, paused: bool) {
        let node = self.nodes[domain].as_ref().expect("daemon runs");
        node.context().faults.pause(paused);
    }

    /// Waits until the platform has served `more` further reads.
    pub(crate) async fn wait_for_reads(&self, more: u64) {
        let until = self.platform.counts().reads + more;
        let waiting = async {
            while self.platform.counts().reads < until {
                tokio::time::sleep(POLL_INTERVAL).await;
            }
        };
        tokio::time::timeout(TIMEOUT, waiting)
            .await
            .expect("condition is met in time");
    }

    /// Stops a domain's daemon and server; returns the server's address.
    pub(crate) fn stop_domain(&mut self, domain: usize) -> SocketAddr {
        self.nodes[domain] = None;
        let server = self.servers[domain].take().expect("server runs");
        server.address()
    }

    /// Declares a domain lost or back, as ticket `number` would.
    pub(crate) async fn put_lost(
        &self,
        number: u64,
        domain: usize,
        lost: bool,
    ) {
        let entity = EntityId::new(EntityKind::Domain, DOMAINS[domain]);
        let edit = |state: &mut serde_json::Value| {
            state["domains"][domain]["lost"] = json!(lost);
            state["tickets"]["last"][entity.to_string()] =
                json!(EntityRevision(number, 0));
        };
        self.put_config(number, edit).await;
    }

    /// Drains a domain's server or ends the drain, as ticket `number` would.
    pub(crate) async fn put_drain(
        &self,
        number: u64,
        domain: usize,
        drain: bool,
    ) {
        let name = format!("{}-server", DOMAINS[domain]);
        let entity = EntityId::new(EntityKind::Server, &name);
        let edit = |state: &mut serde_json::Value| {
            state["servers"][domain]["drain"] = json!(drain);
            state["tickets"]["last"][entity.to_string()] =
                json!(EntityRevision(number, 0));
        };
        self.put_config(number, edit).await;
    }

    /// Writes the configuration with this version, changed by `edit`.
    pub(crate) async fn put_config(
        &self,
        version: u64,
        edit: impl FnOnce(&mut serde_json::Value),
    ) {
        let stored =
            self.store.get(keys::CONFIG).await.expect("store is readable");
        let (condition, mut state) = match stored {
            None => (PutCondition::Absent, self.initial_state()),
            Some(stored) => {
                let state = serde_json::from_slice(&stored.value);
                let condition = PutCondition::Version(stored.version);
                (condition, state.expect("configuration is valid"))
            }
        };
        state["version"] = json!(version);
        edit(&mut state);
        let value = Bytes::from(state.to_string());
        let put = self.store.put(keys::CONFIG, condition, value, None);
        put.await.expect("write succeeds");
    }

    /// A domain's record, joined from its shards.
    pub(crate) async fn domain_record(
        &self,
        domain: &DomainName,
    ) -> Option<DomainRecord> {
        let read = async |key: String| {
            let stored =
                self.store.get(&key).await.expect("store is readable");
            stored.map(|stored| stored.value)
        };
        let head = read(keys::domain_head(domain)).await?;
        let head = DomainHead::decode(&head).expect("head decodes");
        let mut shards = Vec::new();
        for reference in &head.shards {
            let key = keys::domain_shard(
                domain,
                &reference.service,
                reference.shard,
            );
            let value = read(key).await.expect("shard decodes");
            shards.push(DomainShard::decode(&value).expect("shard decodes"));
        }
        Some(head.join(&shards).expect("shards are complete"))
    }

    /// Waits until the servers on a domain's record hold `count` slices.
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
                tokio::time::sleep(POLL_INTERVAL).await;
            }
        };
        tokio::time::timeout(TIMEOUT, waiting)
            .await
            .expect("condition is met in time")
    }

    /// Whether the logs of both servers show a slice that each of them held,
    /// and none that they held at the same time.
    pub(crate) fn moved_without_overlap(&self) -> bool {
        let holds = |server: usize| {
            let server = self.servers[server].as_ref();
            server.expect("server runs").log().holds
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

    /// Waits until a domain reports no service without a usable server.
    pub(crate) async fn wait_for_usable(&self, domain: &DomainName) {
        let waiting = async {
            loop {
                let record = self.domain_record(domain).await;
                if record.is_some_and(|r| r.stranded.is_empty()) {
                    return;
                }
                tokio::time::sleep(POLL_INTERVAL).await;
            }
        };
        tokio::time::timeout(TIMEOUT, waiting)
            .await
            .expect("condition is met in time");
    }

    /// Looks up keys one after another through domain 0 while `act` runs;
    /// returns the number of lookups that failed.
    pub(crate) async fn lookups_failed_during(
        &self,
        act: impl AsyncFnOnce(),
    ) -> usize {
        let mut failed = 0;
        let lookups = async {
            for key in (0..KEYS).cycle() {
                failed += usize::from(!self.lookup(0, key).await);
            }
        };
        tokio::select! {
            () = act() => {}
            () = lookups => {}
        }
        failed
    }

    /// The service's record in the store, which divides its slices among the
    /// domains.
    pub(crate) async fn division(&self) -> Option<ServiceRecord> {
        let service = ServiceName::new("stock").expect("name is valid");
        let stored = self.store.get(&keys::slices(&service)).await;
        let stored = stored.expect("store is readable")?;
        ServiceRecord::decode(&stored.value).ok()
    }

    /// Restores the platform from its snapshot; returns the service's record
    /// in it, as the daemons write the newer one again at once.
    pub(crate) fn restore(&self) -> Option<ServiceRecord> {
        let service = ServiceName::new("stock").expect("name is valid");
        let value = self.platform.restore_and_read(&keys::slices(&service))?;
        ServiceRecord::decode(&value).ok()
    }

    /// Waits until the service's record satisfies `wanted`.
    pub(crate) async fn wait_for_division(
        &self,
        wanted: impl Fn(&ServiceRecord) -> bool,
    ) {
        let waiting = async {
            while !self.division().await.is_some_and(|r| wanted(&r)) {
                tokio::time::sleep(POLL_INTERVAL).await;
            }
        };
        tokio::time::timeout(TIMEOUT, waiting)
            .await
            .expect("condition is met in time");
    }

    /// Waits until every key is served through a domain's daemon.
    pub(crate) async fn wait_until_served(&self, domain: usize) {
        let polling = async {
            for key in 0..KEYS {
                while !self.lookup(domain, key).await {
                    tokio::time::sleep(POLL_INTERVAL).await;
                }
            }
        };
        tokio::time::timeout(TIMEOUT, polling)
            .await
            .expect("keys are served in time");
    }

    /// Looks up a key; returns whether it was served.
    async fn lookup(&self, domain: usize, key: usize) -> bool {
        let node = self.nodes[domain].as_ref().expect("daemon runs");
        let callers = node.addresses().callers;
        let url = format!("http://{callers}/v1/stock/key-{key}");
        let lookup = self
            .http
            .get(url)
            .header("goldcrestramp-caller", "test")
            .header("goldcrestramp-deadline-ms", 2_000)
            .send();
        lookup.await.is_ok_and(|response| response.status().is_success())
    }

    fn initial_state(&self) -> serde_json::Value {
        let domains =
            DOMAINS.map(|name| json!({ "name": name, "region": "sierra" }));
        let servers =
            self.servers.iter().zip(DOMAINS).map(|(server, domain)| {
                json!({
                    "name": format!("{domain}-server"),
                    "service": "stock",
                    "domain": domain,
                    "address": server.as_ref().expect("server runs").address(),
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
    "127.0.0.1:0".parse().expect("address is valid")
}

/// The lowest port; all ports are below the ephemeral ones, so that no other
/// test is given one before its daemon binds it.
const PORT_BASE: u32 = 20_000;
/// Sets of ports; the process id chooses one, so that concurrent processes
/// seldom share ports.
const PORT_SETS: u32 = 360;
const TEST_IDS: u32 = 5;
const PORTS: u32 = 6;

fn settings(
    test_id: u16,
    domain: usize,
    platform: SocketAddr,
) -> NodeSettings {
    let position =
        std::process::id() % PORT_SETS * TEST_IDS + u32::from(test_id);
    let half =
        u32::try_from(domain).expect("there are two domains") * PORTS / 2;
    let first = PORT_BASE + position * PORTS + half;
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
    serde_json::from_value(value).expect("settings are valid")
}

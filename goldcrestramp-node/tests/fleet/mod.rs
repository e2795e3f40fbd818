//! Several failure domains of daemons without servers, in this process.

use std::{
    net::{Ipv4Addr, SocketAddr, TcpListener},
    time::Duration,
};

use goldcrestramp_config::{
    AcceptOutcome, DeploymentState, NodeSettings, accept_ticket, parse_ticket,
};
use goldcrestramp_node::{NodeHandle, StatusReport, TicketAnswer};
use goldcrestramp_ownership::VoterRoster;
use goldcrestramp_platform::{
    PlatformClient, PutCondition, StoreAccess,
    records::{StoreRecord, keys},
};
use goldcrestramp_standins::platform::{PlatformStandin, live_entry};
use goldcrestramp_types::DomainName;
use serde::de::DeserializeOwned;
use serde_json::{Value, json};

/// The failure domains.
const DOMAINS: [&str; 3] = ["sierra-a", "sierra-b", "costa-a"];
/// VMs in each: one is steward, the others follow its stream.
const VMS_A_DOMAIN: usize = 3;
/// Callers that the first configuration names, so that it is large beside
/// a ticket.
pub(crate) const CALLERS: usize = 400;
/// Longer than anything here takes; only a failed test sees it.
const LIMIT: Duration = Duration::from_mins(1);
const PAUSE: Duration = Duration::from_millis(20);

/// What a test talks to.
pub(crate) struct VmFleet {
    pub(crate) platform: PlatformStandin,
    pub(crate) nodes: Vec<NodeHandle>,
    store: PlatformClient,
    http: reqwest::Client,
}

impl VmFleet {
    /// Starts everything and waits until ticket 1 is in force on all VMs
    /// and all of them are voters.
    ///
    /// A new domain's first VM is its only voter until it has led for a
    /// while: were it stopped then, nobody could lead.
    ///
    /// `seat`: another number for each test of the process.
    pub(crate) async fn spawn(seat: u8) -> Self {
        let vms = DOMAINS.len() * VMS_A_DOMAIN;
        let domain_of = |vm| DOMAINS[vm / VMS_A_DOMAIN];
        let fleet = Self::start(seat, vms, false, domain_of).await;
        fleet.apply(0, &first_ticket()).await;
        fleet.wait_for_weight(0, 1).await;
        for domain in DOMAINS {
            wait_until(async || fleet.voters(domain).await == VMS_A_DOMAIN)
                .await;
        }
        fleet
    }

    /// Starts so many VMs of one failure domain, whose configuration is in
    /// the store already.
    pub(crate) async fn spawn_one_domain(seat: u8, vms: usize) -> Self {
        Self::start(seat, vms, true, |_| DOMAINS[0]).await
    }

    async fn start(
        seat: u8,
        vms: usize,
        configured: bool,
        domain_of: impl Fn(usize) -> &'static str,
    ) -> Self {
        let platform = PlatformStandin::bind(loopback()).await.expect("bound");
        let all: Vec<_> = (0..vms)
            .map(|vm| settings(seat, vm, domain_of(vm), platform.address()))
            .collect();
        platform.set_vms(all.iter().map(live_entry).collect());
        let http = reqwest::Client::new();
        let store =
            PlatformClient::open(&format!("http://{}", platform.address()));
        let store = store.expect("a client");
        let mut fleet = Self { platform, nodes: Vec::new(), store, http };
        if configured {
            fleet.put_config().await;
        }
        for settings in all {
            let node = NodeHandle::spawn(settings).await.expect("started");
            fleet.nodes.push(node);
        }
        fleet
    }

    async fn put_config(&self) {
        let text = first_ticket().to_string();
        let ticket = parse_ticket("first", &text).expect("a ticket").ticket;
        let empty = DeploymentState::default();
        let accepted = accept_ticket(&empty, &ticket);
        let AcceptOutcome::Accepted(state) = accepted else {
            panic!("{accepted:?}");
        };
        let value = state.encode().expect("JSON");
        let absent = PutCondition::Absent;
        let put = self.store.put(keys::CONFIG, absent, value, None);
        put.await.expect("written");
    }

    /// How many voters the store's roster of a domain has.
    async fn voters(&self, domain: &str) -> usize {
        let domain = DomainName::new(domain).expect("a name");
        let stored = self.store.get(&keys::roster(&domain)).await;
        let Some(stored) = stored.expect("a read") else {
            return 0;
        };
        VoterRoster::decode(&stored.value).expect("a roster").voters.len()
    }

    /// Applies a ticket at a VM until it is accepted; gives the version.
    pub(crate) async fn apply(&self, vm: usize, ticket: &Value) -> u64 {
        let url = self.url(vm, "/tickets");
        let applying = async {
            loop {
                let sent = self
                    .http
                    .post(&url)
                    .header("content-type", "application/json")
                    .body(ticket.to_string())
                    .send();
                let answer = sent.await.expect("an answer");
                let answer: TicketAnswer = answer.json().await.expect("JSON");
                if let Some(version) = answer.version {
                    return version;
                }
                tokio::time::sleep(PAUSE).await;
            }
        };
        tokio::time::timeout(LIMIT, applying).await.expect("accepted")
    }

    /// Waits until on every VM this caller has this weight.
    pub(crate) async fn wait_for_weight(&self, caller: usize, weight: u32) {
        for vm in 0..self.nodes.len() {
            let has = async || {
                let state = self.config(vm).await;
                weight_of(&state, caller) == Some(weight)
            };
            wait_until(has).await;
        }
    }

    /// The configuration in force on a VM.
    pub(crate) async fn config(&self, vm: usize) -> DeploymentState {
        self.get(vm, "/config").await
    }

    /// What a VM shows.
    pub(crate) async fn status(&self, vm: usize) -> StatusReport {
        self.get(vm, "/status").await
    }

    async fn get<T: DeserializeOwned>(&self, vm: usize, path: &str) -> T {
        let answer = self.http.get(self.url(vm, path)).send().await;
        answer.expect("an answer").json().await.expect("JSON")
    }

    fn url(&self, vm: usize, path: &str) -> String {
        format!("http://{}{path}", self.nodes[vm].addresses().operators)
    }
}

/// Waits until `reached`.
pub(crate) async fn wait_until(reached: impl AsyncFn() -> bool) {
    let waiting = async {
        while !reached().await {
            tokio::time::sleep(PAUSE).await;
        }
    };
    tokio::time::timeout(LIMIT, waiting).await.expect("in time");
}

/// A ticket that gives one caller a weight.
pub(crate) fn weight_ticket(number: u64, caller: usize, weight: u32) -> Value {
    json!({ "ticket": number, "callers": [rules(caller, weight)] })
}

/// The weight that a configuration gives a caller.
pub(crate) fn weight_of(
    state: &DeploymentState,
    caller: usize,
) -> Option<u32> {
    let name = caller_name(caller);
    let mut callers = state.callers.iter();
    callers.find(|rules| rules.name.as_str() == name).map(|r| r.weight)
}

fn first_ticket() -> Value {
    let domains =
        DOMAINS.map(|name| json!({ "name": name, "region": "sierra" }));
    let callers: Vec<_> = (0..CALLERS).map(|n| rules(n, 1)).collect();
    json!({ "ticket": 1, "domains": domains, "callers": callers })
}

fn rules(caller: usize, weight: u32) -> Value {
    json!({ "name": caller_name(caller), "weight": weight })
}

fn caller_name(number: usize) -> String {
    format!("caller-{number:04}")
}

fn loopback() -> SocketAddr {
    SocketAddr::from((Ipv4Addr::LOCALHOST, 0))
}

fn settings(
    seat: u8,
    vm: usize,
    domain: &str,
    platform: SocketAddr,
) -> NodeSettings {
    // A host of the VM's own: no connection or other listener takes a
    // drawn port before the daemon binds it.
    let [_, _, high, low] = std::process::id().to_be_bytes();
    let last = seat * 20 + u8::try_from(vm).expect("few") + 1;
    let host = Ipv4Addr::new(127, 128 + (high & 0x3f), low, last);
    let drawn: [TcpListener; 4] =
        std::array::from_fn(|_| TcpListener::bind((host, 0)).expect("a port"));
    let listen = drawn.each_ref().map(|one| one.local_addr().expect("bound"));
    let value = json!({
        "deployment": "fleet",
        "vm": format!("vm-{vm}"),
        "domain": domain,
        "region": "sierra",
        "callers_listen": listen[0],
        "peers_listen": listen[1],
        "control_listen": listen[2],
        "platform_url": format!("http://{platform}"),
        "operators": { "listen": listen[3] },
    });
    serde_json::from_value(value).expect("settings")
}

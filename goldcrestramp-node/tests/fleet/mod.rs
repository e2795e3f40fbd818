//! Daemons of several failure domains, without servers, in this process.

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
/// VMs in each domain: one is steward, the others follow its stream.
const VMS_PER_DOMAIN: usize = 3;
/// Callers in the first configuration: it is large compared to a ticket.
pub(crate) const CALLERS: usize = 400;
/// Longer than any wait in these tests; only a failed test reaches it.
const TIMEOUT: Duration = Duration::from_mins(1);
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// The running daemons and platform.
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
    /// The first VM of a new domain is its only voter until it has led for a
    /// while; if it stopped before that, no VM could lead.
    ///
    /// `test_id`: unique among the tests of the process.
    pub(crate) async fn spawn(test_id: u8) -> Self {
        let vms = DOMAINS.len() * VMS_PER_DOMAIN;
        let domain_of = |vm| DOMAINS[vm / VMS_PER_DOMAIN];
        let fleet = Self::start(test_id, vms, false, domain_of).await;
        fleet.apply(0, &first_ticket()).await;
        fleet.wait_for_weight(0, 1).await;
        for domain in DOMAINS {
            wait_until(async || fleet.voters(domain).await == VMS_PER_DOMAIN)
                .await;
        }
        fleet
    }

    /// Starts `vms` VMs of one failure domain, whose configuration is already
    /// in the store.
    pub(crate) async fn spawn_one_domain(test_id: u8, vms: usize) -> Self {
        Self::start(test_id, vms, true, |_| DOMAINS[0]).await
    }

    async fn start(
        test_id: u8,
        vms: usize,
        is_configured: bool,
        domain_of: impl Fn(usize) -> &'static str,
    ) -> Self {
        let platform =
            PlatformStandin::bind(loopback()).await.expect("address binds");
        let all: Vec<_> = (0..vms)
            .map(|vm| settings(test_id, vm, domain_of(vm), platform.address()))
            .collect();
        platform.set_vms(all.iter().map(live_entry).collect());
        let http = reqwest::Client::new();
        let store =
            PlatformClient::open(&format!("http://{}", platform.address()));
        let store = store.expect("URL is valid");
        let mut fleet = Self { platform, nodes: Vec::new(), store, http };
        if is_configured {
            fleet.put_config().await;
        }
        for settings in all {
            let node =
                NodeHandle::spawn(settings).await.expect("daemon starts");
            fleet.nodes.push(node);
        }
        fleet
    }

    async fn put_config(&self) {
        let text = first_ticket().to_string();
        let ticket =
            parse_ticket("first", &text).expect("ticket is valid").ticket;
        let empty = DeploymentState::default();
        let accepted = accept_ticket(&empty, &ticket);
        let AcceptOutcome::Accepted(state) = accepted else {
            panic!("{accepted:?}");
        };
        let value = state.encode().expect("JSON is valid");
        let absent = PutCondition::Absent;
        let put = self.store.put(keys::CONFIG, absent, value, None);
        put.await.expect("write succeeds");
    }

    /// The number of voters in a domain's roster in the store.
    async fn voters(&self, domain: &str) -> usize {
        let domain = DomainName::new(domain).expect("name is valid");
        let stored = self.store.get(&keys::roster(&domain)).await;
        let Some(stored) = stored.expect("store is readable") else {
            return 0;
        };
        VoterRoster::decode(&stored.value)
            .expect("roster is valid")
            .voters
            .len()
    }

    /// Applies a ticket at a VM until it is accepted; returns the version of
    /// the configuration.
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
                let response = sent.await.expect("request gets a response");
                let response: TicketAnswer =
                    response.json().await.expect("JSON is valid");
                if let Some(version) = response.version {
                    return version;
                }
                tokio::time::sleep(POLL_INTERVAL).await;
            }
        };
        tokio::time::timeout(TIMEOUT, applying)
            .await
            .expect("ticket is accepted")
    }

    /// Waits until `caller` has `weight` on every VM.
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

    /// The status report of a VM.
    pub(crate) async fn status(&self, vm: usize) -> StatusReport {
        self.get(vm, "/status").await
    }

    async fn get<T: DeserializeOwned>(&self, vm: usize, path: &str) -> T {
        let response = self.http.get(self.url(vm, path)).send().await;
        response
            .expect("request gets a response")
            .json()
            .await
            .expect("JSON is valid")
    }

    fn url(&self, vm: usize, path: &str) -> String {
        format!("http://{}{path}", self.nodes[vm].addresses().operators)
    }
}

/// Waits until `reached` returns true.
pub(crate) async fn wait_until(reached: impl AsyncFn() -> bool) {
    let waiting = async {
        while !reached().await {
            tokio::time::sleep(POLL_INTERVAL).await;
        }
    };
    tokio::time::timeout(TIMEOUT, waiting)
        .await
        .expect("condition is met in time");
}

/// A ticket that sets the weight of one caller.
pub(crate) fn weight_ticket(number: u64, caller: usize, weight: u32) -> Value {
    json!({ "ticket": number, "callers": [rules(caller, weight)] })
}

/// The weight of a caller in a configuration.
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
    test_id: u8,
    vm: usize,
    domain: &str,
    platform: SocketAddr,
) -> NodeSettings {
    // A loopback host of this VM alone: no connection or other listener
    // takes a port before the daemon binds it.
    let [_, _, high, low] = std::process::id().to_be_bytes();
    let last = test_id * 20 + u8::try_from(vm).expect("number is small") + 1;
    let host = Ipv4Addr::new(127, 128 + (high & 0x3f), low, last);
    let listeners: [TcpListener; 4] = std::array::from_fn(|_| {
        TcpListener::bind((host, 0)).expect("port is free")
    });
    let listen = listeners
        .each_ref()
        .map(|one| one.local_addr().expect("address binds"));
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
    serde_json::from_value(value).expect("settings are valid")
}

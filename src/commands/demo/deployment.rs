//! A deployment on loopback, in one process.

use std::{
    collections::BTreeMap,
    net::{Ipv4Addr, SocketAddr, TcpListener},
    time::Duration,
};

use eyre::{bail, eyre};
use goldcrestramp_config::{
    DeploymentState, ExampleDeployment, NodeSettings, ServerRules, TrafficMix,
};
use goldcrestramp_node::{ApplyOutcome, NodeHandle, apply_ticket};
use goldcrestramp_platform::PlatformClient;
use goldcrestramp_standins::{
    MachineTime,
    platform::{PlatformFaults, PlatformStandin, live_entry},
    server::{
        KeyStorage, ServerBehaviour, ServerLog, ServerStandin, WorkTimes,
    },
};
use goldcrestramp_types::RequestClass;
use serde_json::json;

/// How long the deployment may take until every slice has an owner.
const READY_TIMEOUT: Duration = Duration::from_mins(1);
/// The interval at which readiness is checked.
const READY_POLL_INTERVAL: Duration = Duration::from_millis(100);
/// The lag of the platform's VM list, in milliseconds.
const VM_LIST_LAG_MS: u64 = 2_000;

/// A running daemon of the demo.
#[derive(Debug)]
pub(super) struct DemoNode {
    pub(super) settings: NodeSettings,
    /// Absent once the VM is lost or drained.
    pub(super) handle: Option<NodeHandle>,
}

/// A running server of the demo.
#[derive(Debug)]
pub(super) struct DemoServer {
    pub(super) rules: ServerRules,
    pub(super) standin: ServerStandin,
}

/// All parts of the demo.
#[derive(Debug)]
pub(super) struct DemoDeployment {
    pub(super) platform: PlatformStandin,
    pub(super) servers: Vec<DemoServer>,
    pub(super) nodes: Vec<DemoNode>,
    pub(super) state: DeploymentState,
    pub(super) store: PlatformClient,
}

impl DemoDeployment {
    /// Starts platform, servers and daemons, and applies the first ticket.
    pub(super) async fn spawn(
        example: &ExampleDeployment,
        scale_factor: f64,
        seed: u64,
    ) -> eyre::Result<Self> {
        let host = loopback_host();
        let any = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
        let platform = PlatformStandin::bind(any).await?;
        let faults = PlatformFaults {
            vm_lag_ms: VM_LIST_LAG_MS,
            ..PlatformFaults::default()
        };
        platform.set_faults(faults);
        let servers = spawn_servers(example, scale_factor, seed).await?;
        let store =
            PlatformClient::open(&format!("http://{}", platform.address()))
                .map_err(|error| eyre!("{error}"))?;
        let state = apply_first_ticket(&store, example, &servers).await?;
        let settings = node_settings(example, host, &platform)?;
        platform.set_vms(settings.iter().map(live_entry).collect());
        let mut nodes = Vec::new();
        for settings in settings {
            let handle = NodeHandle::spawn(settings.clone()).await?;
            nodes.push(DemoNode { settings, handle: Some(handle) });
        }
        Ok(Self { platform, servers, nodes, state, store })
    }

    /// Waits until every slice of every service has an owner and every
    /// gateway knows the configuration and all failure domains' tables.
    pub(super) async fn wait_ready(&self) -> eyre::Result<()> {
        let limit = tokio::time::Instant::now() + READY_TIMEOUT;
        while !(self.is_owned() && self.is_configured().await) {
            if tokio::time::Instant::now() > limit {
                bail!("not every slice got an owner: {:?}", self.held());
            }
            tokio::time::sleep(READY_POLL_INTERVAL).await;
        }
        Ok(())
    }

    /// Whether every gateway knows the configuration and all tables.
    async fn is_configured(&self) -> bool {
        for node in &self.nodes {
            let Some(handle) = &node.handle else {
                continue;
            };
            let Some(status) = handle.status().await else {
                return false;
            };
            let config = status.config.map(|config| config.version);
            let tables = status.tables.len();
            let known = config == Some(self.state.version)
                && tables == self.state.domains.len();
            if !known {
                return false;
            }
        }
        true
    }

    fn is_owned(&self) -> bool {
        let held = self.held();
        self.state.services.iter().all(|service| {
            let count = held.get(service.name.as_str()).copied();
            count == usize::try_from(service.slices.get()).ok()
        })
    }

    /// The number of slices of each service that are held now.
    fn held(&self) -> BTreeMap<String, usize> {
        let now = MachineTime::now();
        let mut held = BTreeMap::new();
        for server in &self.servers {
            let log = server.standin.log();
            let last = log.holds.last().filter(|hold| hold.until > now);
            let count = last.map_or(0, |hold| hold.slices.len());
            let service = server.rules.service.as_str().to_owned();
            *held.entry(service).or_default() += count;
        }
        held
    }

    /// The addresses at which callers are served.
    pub(super) fn gateways(&self) -> Vec<SocketAddr> {
        self.nodes.iter().map(|node| node.settings.callers_listen).collect()
    }

    /// The logs of all servers.
    pub(super) fn log(&self) -> ServerLog {
        let mut log = ServerLog::default();
        for server in &self.servers {
            log.append(server.standin.log());
        }
        log
    }

    /// The number of servers of each service.
    pub(super) fn servers_by_service(&self) -> BTreeMap<String, usize> {
        let mut counts = BTreeMap::new();
        for server in &self.servers {
            let service = server.rules.service.as_str().to_owned();
            *counts.entry(service).or_default() += 1;
        }
        counts
    }
}

/// Scales `count` by `scale_factor`, to one at least.
#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_precision_loss,
    clippy::cast_sign_loss,
    reason = "counts of servers are small"
)]
fn scaled(count: usize, scale_factor: f64) -> usize {
    ((count as f64 * scale_factor).ceil() as usize).clamp(1, count)
}

async fn spawn_servers(
    example: &ExampleDeployment,
    scale_factor: f64,
    seed: u64,
) -> eyre::Result<Vec<DemoServer>> {
    let any = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
    let storage = KeyStorage::default();
    let mut servers = Vec::new();
    for service in &example.ticket.services {
        let all = example.ticket.servers.iter();
        let all: Vec<_> =
            all.filter(|rules| rules.service == service.name).collect();
        for rules in &all[..scaled(all.len(), scale_factor)] {
            let mut rules = (*rules).clone();
            let behaviour = behaviour(&rules, &example.traffic, seed);
            let storage = storage.clone();
            let standin =
                ServerStandin::bind_with(any, behaviour, storage, None);
            let standin = standin.await?;
            rules.address = standin.address();
            servers.push(DemoServer { rules, standin });
        }
    }
    Ok(servers)
}

/// The behaviour of a server of the example.
fn behaviour(
    rules: &ServerRules,
    traffic: &[TrafficMix],
    seed: u64,
) -> ServerBehaviour {
    let mut behaviour = ServerBehaviour {
        domain: rules.domain.to_string(),
        name: rules.name.as_str().to_owned(),
        checks_fence: rules.checks_fence,
        slots: usize::try_from(rules.slots).unwrap_or(1),
        seed,
        work: WorkTimes::default(),
        ..ServerBehaviour::default()
    };
    let own = traffic.iter().filter(|mix| mix.service == rules.service);
    for mix in own {
        let work = f64::from(u32::try_from(mix.work_ms).unwrap_or(u32::MAX));
        let bytes = usize::try_from(mix.answer_bytes).unwrap_or(0);
        match mix.class {
            RequestClass::Lookup => behaviour.work.lookup_ms = work,
            RequestClass::Order => behaviour.work.order_ms = work,
            RequestClass::Long => behaviour.work.long_ms = work,
        }
        match mix.class {
            RequestClass::Long => behaviour.long_bytes = bytes,
            _ => behaviour.short_bytes = bytes,
        }
    }
    behaviour
}

/// Applies the example's ticket, with the servers' actual addresses.
async fn apply_first_ticket(
    store: &PlatformClient,
    example: &ExampleDeployment,
    servers: &[DemoServer],
) -> eyre::Result<DeploymentState> {
    let mut ticket = example.ticket.clone();
    ticket.servers = servers.iter().map(|s| s.rules.clone()).collect();
    let empty = DeploymentState::default();
    match apply_ticket(store, &empty, &ticket).await {
        ApplyOutcome::Accepted(state) => Ok(*state),
        other => bail!("the first ticket was not accepted: {other:?}"),
    }
}

/// The settings of the example's VMs, each with its own ports.
fn node_settings(
    example: &ExampleDeployment,
    host: Ipv4Addr,
    platform: &PlatformStandin,
) -> eyre::Result<Vec<NodeSettings>> {
    let mut all = Vec::new();
    let mut held = Vec::new();
    for domain in &example.ticket.domains {
        let vms = example.vms.iter().filter(|vm| vm.domain == domain.name);
        // The number of VMs is not scaled: a domain of two VMs ends its grants
        // when it loses one, and VMs cost little.
        for vm in vms {
            let [callers, peers, control] = free_addresses(host, &mut held)?;
            let settings = json!({
                "deployment": example.deployment,
                "vm": vm.name,
                "domain": vm.domain,
                "region": domain.region,
                "callers_listen": callers,
                "peers_listen": peers,
                "control_listen": control,
                "platform_url": format!("http://{}", platform.address()),
                "operators": { "listen": "127.0.0.1:0" },
            });
            all.push(serde_json::from_value(settings)?);
        }
    }
    Ok(all)
}

/// Returns a loopback address that only this process uses, so that a port that
/// was free stays free until a daemon binds it.
fn loopback_host() -> Ipv4Addr {
    let [_, _, high, low] = std::process::id().to_be_bytes();
    Ipv4Addr::new(127, 128 | (high & 0x3f), low, 1)
}

/// Returns addresses on which nothing listens; `held` keeps a port from being
/// returned twice.
fn free_addresses<const N: usize>(
    host: Ipv4Addr,
    held: &mut Vec<TcpListener>,
) -> std::io::Result<[SocketAddr; N]> {
    let mut addresses = [SocketAddr::from((host, 0)); N];
    for address in &mut addresses {
        let listener = TcpListener::bind((host, 0))?;
        *address = listener.local_addr()?;
        held.push(listener);
    }
    Ok(addresses)
}

//! Injects the planned faults of a demo at their times.

use std::{collections::BTreeSet, fmt, str::FromStr, time::Duration};

use eyre::bail;
use goldcrestramp_config::ChangeTicket;
use goldcrestramp_node::{ApplyOutcome, apply_ticket};
use goldcrestramp_platform::VmState;
use goldcrestramp_standins::platform::{
    OutageKind, PlatformFaults, live_entry,
};
use rand::{Rng, SeedableRng, rngs::StdRng};
use tokio::{task::JoinHandle, time::Instant};

use super::deployment::DemoDeployment;

/// The duration of a fault that ends by itself.
const FAULT_DURATION: Duration = Duration::from_secs(4);
/// The maximum attempts to apply a drain while the store is unavailable, and
/// the delay between them. Together they last longer than [`FAULT_DURATION`].
const MAX_DRAIN_ATTEMPTS: u32 = 50;
const DRAIN_RETRY_DELAY: Duration = Duration::from_millis(200);
/// The number of writes whose responses are lost.
const LOST_RESPONSES: u32 = 3;

macro_rules! fault_names {
    ($($(#[$doc:meta])* $variant:ident => $code:literal,)*) => {
        /// A fault by its name on the command line.
        #[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
        pub(super) enum FaultName {
            $($(#[$doc])* $variant,)*
        }

        impl FaultName {
            const ALL: &'static [Self] = &[$(Self::$variant,)*];

            pub(super) const fn code(self) -> &'static str {
                match self { $(Self::$variant => $code,)* }
            }
        }
    };
}

fault_names! {
    /// A server is lost permanently.
    ServerLoss => "server-loss",
    /// A server is frozen for four seconds.
    ServerFreeze => "server-freeze",
    /// An entry VM is lost permanently.
    VmLoss => "vm-loss",
    /// The VM of a failure domain's steward is lost permanently.
    StewardLoss => "steward-loss",
    /// An entry VM is frozen for four seconds.
    VmPause => "vm-pause",
    /// The key-value service is down for four seconds.
    StoreDown => "store-down",
    /// Responses of the key-value service are lost after the write.
    StoreLostAnswer => "store-lost-answer",
    /// A failure domain is cut off for four seconds.
    DomainCut => "domain-cut",
    /// A ticket drains a server.
    ServerDrain => "server-drain",
    /// An entry VM is stopped gracefully.
    VmDrain => "vm-drain",
}

/// A fault and the second of its start: `NAME@SECOND`.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) struct PlannedFault {
    pub(super) name: FaultName,
    pub(super) second: u64,
}

/// Why a text can't be parsed as a planned fault.
#[derive(Clone, Debug)]
pub(super) struct FaultError(String);

impl fmt::Display for FaultError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

impl std::error::Error for FaultError {}

impl FromStr for PlannedFault {
    type Err = FaultError;

    fn from_str(text: &str) -> Result<Self, FaultError> {
        let (name, second) = text
            .split_once('@')
            .ok_or_else(|| FaultError("NAME@SECOND is expected".to_owned()))?;
        let known = FaultName::ALL.iter().copied();
        let found = known.clone().find(|fault| fault.code() == name);
        let name = found.ok_or_else(|| {
            let names: Vec<_> = known.map(FaultName::code).collect();
            FaultError(format!("no such fault; one of {}", names.join(", ")))
        })?;
        let second = second
            .parse()
            .map_err(|error| FaultError(format!("the second: {error}")))?;
        Ok(Self { name, second })
    }
}

/// What a fault affects, so that the fault can be ended.
#[derive(Clone, Copy, Debug)]
enum FaultTarget {
    Server(usize),
    Node(usize),
    Platform,
    Network,
}

/// Starts and ends the planned faults.
#[derive(Debug)]
pub(super) struct FaultRunner {
    random: StdRng,
    ends: Vec<(Instant, FaultTarget)>,
    /// Servers that had a reason to release slices.
    pub(super) leaving: BTreeSet<String>,
    drains: Vec<JoinHandle<()>>,
}

impl FaultRunner {
    pub(super) fn new(seed: u64) -> Self {
        Self {
            random: StdRng::seed_from_u64(seed),
            ends: Vec::new(),
            leaving: BTreeSet::new(),
            drains: Vec::new(),
        }
    }

    /// Starts every fault when it is due, and ends those that end by
    /// themselves.
    pub(super) async fn run(
        &mut self,
        deployment: &mut DemoDeployment,
        faults: &[PlannedFault],
    ) -> eyre::Result<()> {
        let start = Instant::now();
        let mut faults = faults.to_vec();
        faults.sort_by_key(|fault| fault.second);
        for fault in faults {
            let due = start + Duration::from_secs(fault.second);
            self.end_until(deployment, due).await;
            tokio::time::sleep_until(due).await;
            eprintln!("fault: {}", fault.name.code());
            self.begin(deployment, fault.name).await?;
        }
        let last = self.ends.iter().map(|(at, _)| *at).max();
        self.end_until(deployment, last.unwrap_or(start)).await;
        for drain in self.drains.drain(..) {
            drain.await?;
        }
        Ok(())
    }

    /// Ends the faults that are due to end by `due`.
    async fn end_until(&mut self, deployment: &DemoDeployment, due: Instant) {
        self.ends.sort_by_key(|(at, _)| *at);
        while let Some((at, target)) = self.ends.first().copied() {
            if at > due {
                return;
            }
            tokio::time::sleep_until(at).await;
            self.ends.remove(0);
            end(deployment, target);
        }
    }

    /// Applies a ticket that drains a server.
    ///
    /// Another fault may affect the store. Resending the same ticket is safe,
    /// and reports the outcome of the first attempt. Faults that are due to
    /// end meanwhile end on time; faults that are due to start meanwhile start
    /// late.
    async fn drain_server(
        &mut self,
        deployment: &mut DemoDeployment,
        index: usize,
    ) -> eyre::Result<()> {
        let mut rules = deployment.servers[index].rules.clone();
        rules.drain = true;
        let ticket = ChangeTicket {
            ticket: deployment.state.version + 1,
            servers: vec![rules],
            ..ChangeTicket::default()
        };
        for _ in 0..MAX_DRAIN_ATTEMPTS {
            let (store, held) = (&deployment.store, &deployment.state);
            match apply_ticket(store, held, &ticket).await {
                ApplyOutcome::Accepted(state)
                | ApplyOutcome::AcceptedAlready(state) => {
                    deployment.state = *state;
                    return Ok(());
                }
                refused @ ApplyOutcome::Refused { .. } => {
                    bail!("the drain was not accepted: {refused:?}");
                }
                ApplyOutcome::NotApplied(_) | ApplyOutcome::Unknown(_) => {
                    let next = Instant::now() + DRAIN_RETRY_DELAY;
                    self.end_until(deployment, next).await;
                    tokio::time::sleep_until(next).await;
                }
            }
        }
        bail!("the drain was not accepted: the store stayed away");
    }

    async fn begin(
        &mut self,
        deployment: &mut DemoDeployment,
        name: FaultName,
    ) -> eyre::Result<()> {
        match name {
            FaultName::ServerLoss => {
                let index = self.pick_server(deployment);
                deployment.servers[index].standin.lose();
            }
            FaultName::ServerFreeze => {
                let index = self.pick_server(deployment);
                deployment.servers[index].standin.freeze();
                self.schedule_end(FaultTarget::Server(index));
            }
            FaultName::ServerDrain => {
                let index = self.pick_server(deployment);
                self.drain_server(deployment, index).await?;
            }
            FaultName::VmLoss => {
                let index = self.pick_node(deployment)?;
                lose_node(deployment, index);
            }
            FaultName::StewardLoss => {
                let index = steward_node(deployment).await?;
                lose_node(deployment, index);
            }
            FaultName::VmPause => {
                let index = self.pick_node(deployment)?;
                pause_node(deployment, index, true);
                self.schedule_end(FaultTarget::Node(index));
            }
            FaultName::VmDrain => {
                let index = self.pick_node(deployment)?;
                self.drain_node(deployment, index);
            }
            FaultName::StoreDown => {
                set_outage(deployment, OutageKind::Refuse);
                self.schedule_end(FaultTarget::Platform);
            }
            FaultName::StoreLostAnswer => {
                let faults = PlatformFaults {
                    lose_answers: LOST_RESPONSES,
                    ..deployment.platform.faults()
                };
                deployment.platform.set_faults(faults);
            }
            FaultName::DomainCut => {
                self.cut_domain(deployment);
                self.schedule_end(FaultTarget::Network);
            }
        }
        Ok(())
    }

    fn schedule_end(&mut self, target: FaultTarget) {
        self.ends.push((Instant::now() + FAULT_DURATION, target));
    }

    fn pick_server(&mut self, deployment: &DemoDeployment) -> usize {
        let index = self.random.random_range(0..deployment.servers.len());
        let name = deployment.servers[index].rules.name.as_str().to_owned();
        eprintln!("fault: it strikes the server {name}");
        self.leaving.insert(name);
        index
    }

    /// Picks a running VM that is not the last one.
    fn pick_node(
        &mut self,
        deployment: &DemoDeployment,
    ) -> eyre::Result<usize> {
        let alive: Vec<usize> = alive_nodes(deployment);
        if alive.len() < 2 {
            bail!("no VM is left to strike");
        }
        let index = alive[self.random.random_range(0..alive.len())];
        let vm = &deployment.nodes[index].settings.vm;
        eprintln!("fault: it strikes the VM {vm}");
        Ok(index)
    }

    /// Stops a VM gracefully in the background.
    fn drain_node(&mut self, deployment: &mut DemoDeployment, index: usize) {
        let Some(mut handle) = deployment.nodes[index].handle.take() else {
            return;
        };
        list_vms(deployment, Some(index));
        self.drains.push(tokio::spawn(async move {
            handle.drain().await;
            drop(handle);
        }));
    }

    /// Disconnects a failure domain from all others and from the platform.
    fn cut_domain(&mut self, deployment: &DemoDeployment) {
        let domains = &deployment.state.domains;
        let domain = &domains[self.random.random_range(0..domains.len())];
        eprintln!("fault: it strikes the failure domain {}", domain.name);
        let platform = deployment.platform.address().to_string();
        for node in &deployment.nodes {
            let inside = node.settings.domain == domain.name;
            let nodes = deployment.nodes.iter();
            let remote = nodes.filter(|other| {
                (other.settings.domain == domain.name) != inside
            });
            let mut cut: Vec<String> = remote
                .flat_map(|other| {
                    let settings = &other.settings;
                    [settings.peers_listen, settings.control_listen]
                })
                .map(|address| address.to_string())
                .collect();
            let servers = deployment.servers.iter();
            let remote = servers.filter(|server| {
                (server.rules.domain == domain.name) != inside
            });
            cut.extend(remote.map(|server| server.rules.address.to_string()));
            if inside {
                cut.push(platform.clone());
            }
            if let Some(handle) = &node.handle {
                handle.context().faults.cut(cut);
            }
        }
    }
}

/// Ends a fault.
fn end(deployment: &DemoDeployment, target: FaultTarget) {
    eprintln!("fault: one has ended");
    match target {
        FaultTarget::Server(index) => deployment.servers[index].standin.thaw(),
        FaultTarget::Node(index) => pause_node(deployment, index, false),
        FaultTarget::Platform => set_outage(deployment, OutageKind::None),
        FaultTarget::Network => {
            for node in &deployment.nodes {
                if let Some(handle) = &node.handle {
                    handle.context().faults.cut([]);
                }
            }
        }
    }
}

fn alive_nodes(deployment: &DemoDeployment) -> Vec<usize> {
    let nodes = deployment.nodes.iter().enumerate();
    nodes.filter(|(_, n)| n.handle.is_some()).map(|(i, _)| i).collect()
}

/// Finds a VM that is its failure domain's steward.
async fn steward_node(deployment: &DemoDeployment) -> eyre::Result<usize> {
    for (index, node) in deployment.nodes.iter().enumerate() {
        let Some(handle) = &node.handle else {
            continue;
        };
        let status = handle.status().await;
        if status.is_some_and(|status| status.steward.leading) {
            eprintln!("fault: it strikes the VM {}", node.settings.vm);
            return Ok(index);
        }
    }
    bail!("no VM is a steward")
}

fn lose_node(deployment: &mut DemoDeployment, index: usize) {
    deployment.nodes[index].handle = None;
    list_vms(deployment, None);
}

fn pause_node(deployment: &DemoDeployment, index: usize, paused: bool) {
    if let Some(handle) = &deployment.nodes[index].handle {
        handle.context().faults.pause(paused);
    }
}

/// Updates the platform's VM list; `leaving` is the VM that is being drained.
fn list_vms(deployment: &DemoDeployment, leaving: Option<usize>) {
    let nodes = deployment.nodes.iter().enumerate();
    let entries = nodes.filter_map(|(index, node)| {
        let mut entry = live_entry(&node.settings);
        if leaving == Some(index) {
            entry.state = VmState::Leaving;
            return Some(entry);
        }
        node.handle.as_ref().map(|_| entry)
    });
    deployment.platform.set_vms(entries.collect());
}

fn set_outage(deployment: &DemoDeployment, outage: OutageKind) {
    let faults = PlatformFaults { outage, ..deployment.platform.faults() };
    deployment.platform.set_faults(faults);
}

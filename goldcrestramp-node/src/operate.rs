//! The daemon as its operators' listener sees it.

use std::sync::Arc;

use goldcrestramp_config::{ChangeTicket, DeploymentState};
use goldcrestramp_ownership::DomainTable;
use goldcrestramp_platform::PlatformClient;
use goldcrestramp_types::{
    LocalTime, ServiceName, SliceIndex, VmName, slice_of,
};
use xtra::Address;

use crate::{
    context::NodeContext,
    control::{ConfigNotice, ControlActor, ControlStatus, StatusAsk},
    operators::{
        ApplyOutcome, DomainReport, ExplainReport, KeepReport, MoveReport,
        OperatorControl, OperatorRefusal, ServerReport, StatusReport,
        StewardReport, apply_ticket,
    },
    routing::RouteTarget,
};

/// Answers operators from the control thread and the shared snapshots.
#[derive(Clone, Debug)]
pub(crate) struct DaemonControl {
    pub(crate) context: Arc<NodeContext>,
    pub(crate) actor: Address<ControlActor>,
    pub(crate) store: PlatformClient,
}

impl DaemonControl {
    async fn control(&self) -> Option<ControlStatus> {
        self.actor.send(StatusAsk).await.ok()
    }

    fn left_ms(&self, until: LocalTime) -> u64 {
        until.since(self.context.now()).as_millis()
    }

    fn steward(&self, control: &ControlStatus) -> StewardReport {
        let steward = &control.steward;
        let left = self.left_ms(steward.until);
        let moves = MoveReport {
            may_move: steward.may_move,
            moving: steward.moving as u64,
            moved: steward.moved,
        };
        let here = steward.leading;
        let seen = control.steward_seen.as_ref();
        let vm = if here {
            Some(self.context.vm().to_string())
        } else {
            seen.map(|(vm, _)| vm.clone())
        };
        StewardReport {
            vm,
            here,
            term: steward.term,
            deadline_left_ms: here.then_some(left),
            moves: here.then_some(moves),
        }
    }

    fn keeps(&self, control: &ControlStatus) -> Vec<KeepReport> {
        let keeps = control.keeps.iter().map(|(server, until)| KeepReport {
            server: server.clone(),
            permit_left_ms: self.left_ms(*until),
        });
        let mut keeps: Vec<_> = keeps.collect();
        keeps.sort_by(|left, right| left.server.cmp(&right.server));
        keeps
    }

    fn explanation(
        &self,
        control: &ControlStatus,
        service: &ServiceName,
        key: &str,
    ) -> Option<ExplainReport> {
        let table = self.context.table.load_full();
        let routes = table.service(service)?;
        let slice = slice_of(key.as_bytes(), routes.count);
        let target = routes.target(slice).cloned();
        let domain = target.as_ref().map(|target| target.domain.clone());
        let tables = &control.tables;
        let of_domain = domain.as_ref().and_then(|name| tables.get(name));
        let now = self.context.now();
        let kept = self.context.view.load().find(now, service, slice);
        let why = self.why(target.as_ref(), control, slice);
        Some(ExplainReport {
            vm: self.context.vm().clone(),
            age_ms: now.since(control.taken).as_millis(),
            service: service.clone(),
            key: key.to_owned(),
            slice: u32::from(slice.get()),
            slices: routes.count.get(),
            domain,
            server: target.as_ref().map(|t| t.server.clone()),
            keeper: target.as_ref().map(|t| t.keeper.clone()),
            token: kept.map(|kept| kept.pass.token),
            table: of_domain.map(|table| table.version),
            why,
        })
    }

    /// Short sentences on why the slice is where it is.
    fn why(
        &self,
        target: Option<&RouteTarget>,
        control: &ControlStatus,
        slice: SliceIndex,
    ) -> Vec<String> {
        let slice = slice.get();
        let Some(target) = target else {
            return vec![format!(
                "No failure domain's table gives slice {slice} an owner."
            )];
        };
        let mut why = vec![format!(
            "The table of {} gives slice {slice} to {}.",
            target.domain, target.server
        )];
        why.push(format!("{} sends to it.", target.keeper));
        let config = control.config.as_ref();
        let rules = config.and_then(|c| c.server(&target.server));
        match rules {
            Some(rules) if rules.drain => {
                why.push("It is draining: its slices move away.".into());
            }
            Some(_) => {}
            None => why.push("The configuration here lacks it.".into()),
        }
        if target.domain != *self.context.domain() {
            why.push("This VM has that table from other VMs.".into());
        }
        why
    }
}

impl OperatorControl for DaemonControl {
    async fn status(&self) -> Option<StatusReport> {
        let control = self.control().await?;
        let settings = &self.context.settings;
        let config = control.config.as_deref();
        let age = self.context.now().since(control.taken);
        Some(StatusReport {
            deployment: settings.deployment.clone(),
            vm: settings.vm.clone(),
            domain: settings.domain.clone(),
            region: settings.region.clone(),
            age_ms: age.as_millis(),
            leaving: self.context.leaving(),
            requests: self.context.requests() as u64,
            config_version: config.map_or(0, |config| config.version),
            last_ticket: config.and_then(last_ticket),
            steward: self.steward(&control),
            domains: domains(&control),
            keeps: self.keeps(&control),
            servers: servers(&control),
            refused: self.context.metrics.refused(),
        })
    }

    async fn explain(
        &self,
        service: &ServiceName,
        key: &str,
    ) -> Option<ExplainReport> {
        let control = self.control().await?;
        self.explanation(&control, service, key)
    }

    async fn apply(&self, ticket: ChangeTicket) -> ApplyOutcome {
        let Some(control) = self.control().await else {
            let ended = "the control thread has ended".to_owned();
            return ApplyOutcome::NotApplied(ended);
        };
        let held = control.config;
        let held = held.as_deref().cloned().unwrap_or_default();
        let outcome = apply_ticket(&self.store, &held, &ticket).await;
        if let ApplyOutcome::Accepted(state)
        | ApplyOutcome::AcceptedAlready(state) = &outcome
        {
            let state = Arc::new(state.as_ref().clone());
            drop(self.actor.send(ConfigNotice(state)).await);
        }
        outcome
    }

    fn metrics(&self) -> String {
        self.context.metrics.encode().unwrap_or_default()
    }

    fn readiness(&self) -> Result<(), &'static str> {
        if self.context.leaving() {
            return Err("stopping");
        }
        if self.context.table.load().is_empty() {
            return Err("no routing table yet");
        }
        Ok(())
    }

    fn count_refusal(&self, refusal: OperatorRefusal) {
        self.context.metrics.count_operator_refusal(refusal.code());
    }
}

/// The highest accepted ticket that is remembered.
fn last_ticket(state: &DeploymentState) -> Option<u64> {
    state.tickets.recent.keys().next_back().copied()
}

fn domains(control: &ControlStatus) -> Vec<DomainReport> {
    let config = control.config.as_deref();
    let rules = config.map(|config| config.domains.as_slice());
    let reports = rules.unwrap_or_default().iter().map(|rules| {
        let table = control.tables.get(&rules.name);
        DomainReport {
            domain: rules.name.clone(),
            lost: rules.lost,
            table: table.map(|table| table.version),
            owned_slices: table.map_or(0, |table| owned_slices(table)),
        }
    });
    reports.collect()
}

fn owned_slices(table: &DomainTable) -> u64 {
    let owners = table.services.iter().flat_map(|s| &s.owners);
    owners.flatten().count() as u64
}

fn servers(control: &ControlStatus) -> Vec<ServerReport> {
    let steward = &control.steward;
    let keeper =
        |server| -> Option<VmName> { steward.keepers.get(server).cloned() };
    let reports = steward.holders.iter().map(|(server, slices)| {
        let keeper = keeper(server);
        let slices = slices.len() as u64;
        ServerReport { server: server.clone(), keeper, slices }
    });
    let mut reports: Vec<_> = reports.collect();
    reports.sort_by(|left, right| left.server.cmp(&right.server));
    reports
}

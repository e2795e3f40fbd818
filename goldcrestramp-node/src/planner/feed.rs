//! Plans moves within a failure domain from the keepers' reports.

use goldcrestramp_config::{DeploymentState, ServerRules, ServiceRules};
use goldcrestramp_decisions::{
    LoadEstimate, PlacementPlanner, PlacementSettings, PlannedMove,
    TargetReport, TargetView,
};
use goldcrestramp_ownership::{KeeperReport, SliceMove, StewardStatus};
use goldcrestramp_types::{
    DomainName, FastMap, LocalTime, ServerName, ServiceName, SliceCount,
    SliceIndex, TimeSpan,
};

/// The interval between rounds of planning.
///
/// A report covers about 300 ms, which is too short to distinguish a hot
/// slice from a burst.
const ROUND_INTERVAL: TimeSpan = TimeSpan::from_millis(5_000);

/// The slot time of one server since the last round.
#[derive(Debug, Default)]
struct LoadSum {
    busy_micros: u64,
    slice_micros: FastMap<SliceIndex, u64>,
}

/// The load estimate and the planner of one service.
#[derive(Debug)]
struct ServicePlacement {
    estimate: LoadEstimate,
    planner: PlacementPlanner,
}

/// Collects reports and plans moves while this VM is the steward.
#[derive(Debug, Default)]
pub(crate) struct PlacementFeed {
    started_at: LocalTime,
    sums: FastMap<ServerName, LoadSum>,
    services: FastMap<ServiceName, ServicePlacement>,
    imbalances: FastMap<ServiceName, f64>,
}

impl PlacementFeed {
    /// The imbalance of each service in the last round: the slot time of
    /// its busiest server in this domain over the mean. 1 is balanced.
    pub(crate) fn imbalances(
        &self,
    ) -> impl Iterator<Item = (&ServiceName, &f64)> {
        self.imbalances.iter()
    }

    /// Adds the load in a keeper's report to the current round.
    pub(crate) fn record_report(
        &mut self,
        now: LocalTime,
        report: &KeeperReport,
    ) {
        if self.sums.is_empty() {
            self.started_at = now;
        }
        for server in &report.servers {
            let sum = self.sums.entry(server.server.clone()).or_default();
            sum.busy_micros += server.busy.as_micros();
            for load in &server.loads {
                let slice = sum.slice_micros.entry(load.slice).or_default();
                *slice += load.busy.as_micros();
            }
        }
    }

    /// Whether the reports cover a full round.
    pub(crate) fn is_due(&self, now: LocalTime) -> bool {
        !self.sums.is_empty() && now.since(self.started_at) >= ROUND_INTERVAL
    }

    /// Removes everything, because this VM is not the steward.
    pub(crate) fn clear(&mut self) {
        *self = Self::default();
    }

    /// Ends a round and returns the moves to request from the steward.
    ///
    /// Returns none while earlier moves are in flight, since their load
    /// would be counted at the server that they leave.
    pub(crate) fn plan_moves(
        &mut self,
        now: LocalTime,
        config: &DeploymentState,
        domain: &DomainName,
        status: &StewardStatus,
    ) -> Vec<SliceMove> {
        let span = now.since(self.started_at);
        let sums = std::mem::take(&mut self.sums);
        self.imbalances = imbalances(config, domain, &sums);
        if !status.may_move || status.moving > 0 {
            return Vec::new();
        }
        let mut moves = Vec::new();
        for service in &config.services {
            let servers = servers_of(config, domain, &service.name);
            let targets: Vec<TargetView> = servers
                .iter()
                .map(|rules| target_view(config, service, rules, status))
                .collect();
            let reports: Vec<TargetReport> = servers
                .iter()
                .zip(&targets)
                .map(|(rules, target)| (sums.get(&rules.name), target))
                .map(|(sum, target)| target_report(sum, target, span))
                .collect();
            let planned = self
                .placement(service)
                .plan(now, &targets, &reports)
                .into_iter();
            moves.extend(planned.map(|planned| SliceMove {
                service: service.name.clone(),
                slice: planned.slice,
                target: servers[planned.target].name.clone(),
            }));
        }
        moves
    }

    fn placement(&mut self, service: &ServiceRules) -> &mut ServicePlacement {
        let entry = self.services.entry(service.name.clone());
        entry.or_insert_with(|| ServicePlacement::new(service.slices))
    }
}

#[expect(clippy::cast_precision_loss, reason = "spans of seconds")]
fn imbalances(
    config: &DeploymentState,
    domain: &DomainName,
    sums: &FastMap<ServerName, LoadSum>,
) -> FastMap<ServiceName, f64> {
    let services = config.services.iter().map(|service| {
        let servers = servers_of(config, domain, &service.name);
        let busy = servers.iter().map(|rules| {
            sums.get(&rules.name).map_or(0.0, |sum| sum.busy_micros as f64)
        });
        let busy: Vec<f64> = busy.collect();
        let max = busy.iter().copied().fold(0.0, f64::max);
        let mean = busy.iter().sum::<f64>() / busy.len().max(1) as f64;
        let ratio = if mean > 0.0 { max / mean } else { 1.0 };
        (service.name.clone(), ratio)
    });
    services.collect()
}

/// The domain's servers of a service, in the order of the configuration.
fn servers_of<'a>(
    config: &'a DeploymentState,
    domain: &DomainName,
    service: &ServiceName,
) -> Vec<&'a ServerRules> {
    let servers = config.servers.iter();
    servers
        .filter(|rules| rules.domain == *domain && rules.service == *service)
        .collect()
}

/// A server as a target of placement. A server without a keeper accepts
/// no slices.
fn target_view(
    config: &DeploymentState,
    service: &ServiceRules,
    rules: &ServerRules,
    status: &StewardStatus,
) -> TargetView {
    let kept = status.keepers.contains_key(&rules.name);
    TargetView {
        slots: rules.slots,
        accepts_slices: kept && config.may_own(service, rules),
        held: status.holders.get(&rules.name).cloned().unwrap_or_default(),
        ..TargetView::default()
    }
}

impl ServicePlacement {
    fn new(count: SliceCount) -> Self {
        let settings = PlacementSettings::within_domain();
        Self {
            estimate: LoadEstimate::new(count, settings.half_life),
            planner: PlacementPlanner::new(settings),
        }
    }

    fn plan(
        &mut self,
        now: LocalTime,
        targets: &[TargetView],
        reports: &[TargetReport],
    ) -> Vec<PlannedMove> {
        self.estimate.observe(now, targets.iter().zip(reports));
        self.planner.decide(now, targets, &self.estimate)
    }
}

/// Converts slot time over a span to slots in use, and leaves out slices
/// that the server no longer holds.
fn target_report(
    sum: Option<&LoadSum>,
    target: &TargetView,
    span: TimeSpan,
) -> TargetReport {
    let Some(sum) = sum else {
        return TargetReport::default();
    };
    let held =
        sum.slice_micros.iter().filter(|(s, _)| target.held.contains(**s));
    let mut heavy: Vec<(SliceIndex, f64)> = held
        .map(|(slice, busy)| (*slice, slots_in_use(*busy, span)))
        .collect();
    heavy.sort_unstable_by_key(|(slice, _)| *slice);
    TargetReport { busy: slots_in_use(sum.busy_micros, span), heavy }
}

#[expect(clippy::cast_precision_loss, reason = "spans of seconds")]
fn slots_in_use(busy_micros: u64, span: TimeSpan) -> f64 {
    busy_micros as f64 / span.as_micros().max(1) as f64
}

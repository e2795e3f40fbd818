//! From keepers' reports to moves within a failure domain.

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

/// How often moves are weighed.
///
/// A report covers about 300 ms, too little to tell a hot slice from a
/// burst.
const WEIGH_EVERY: TimeSpan = TimeSpan::from_millis(5_000);

/// Slot time since the last round, of one server.
#[derive(Debug, Default)]
struct LoadSum {
    busy_micros: u64,
    slice_micros: FastMap<SliceIndex, u64>,
}

/// What placement knows of one service.
#[derive(Debug)]
struct ServicePlacement {
    estimate: LoadEstimate,
    planner: PlacementPlanner,
}

/// Gathers reports while this VM leads, and weighs moves.
#[derive(Debug, Default)]
pub(crate) struct PlacementFeed {
    began: LocalTime,
    sums: FastMap<ServerName, LoadSum>,
    services: FastMap<ServiceName, ServicePlacement>,
    imbalances: FastMap<ServiceName, f64>,
}

impl PlacementFeed {
    /// The slot time of the busiest server over the mean of the service's
    /// servers in this domain, in the last round; 1 is even.
    pub(crate) fn imbalances(
        &self,
    ) -> impl Iterator<Item = (&ServiceName, &f64)> {
        self.imbalances.iter()
    }

    /// Takes a keeper's report.
    pub(crate) fn take(&mut self, now: LocalTime, report: &KeeperReport) {
        if self.sums.is_empty() {
            self.began = now;
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

    /// Whether reports of a whole round have come in.
    pub(crate) fn due(&self, now: LocalTime) -> bool {
        !self.sums.is_empty() && now.since(self.began) >= WEIGH_EVERY
    }

    /// Forgets everything: this VM does not lead.
    pub(crate) fn clear(&mut self) {
        *self = Self::default();
    }

    /// The moves to ask of the steward.
    ///
    /// Nothing is asked while earlier moves are under way: their load would
    /// be counted where it still is.
    pub(crate) fn weigh(
        &mut self,
        now: LocalTime,
        config: &DeploymentState,
        domain: &DomainName,
        status: &StewardStatus,
    ) -> Vec<SliceMove> {
        let span = now.since(self.began);
        let sums = std::mem::take(&mut self.sums);
        self.imbalances = imbalances(config, domain, &sums);
        if !status.may_move || status.moving > 0 {
            return Vec::new();
        }
        let mut moves = Vec::new();
        for service in &config.services {
            let servers = servers_of(config, domain, &service.name);
            let places: Vec<TargetView> = servers
                .iter()
                .map(|rules| place_view(config, service, rules, status))
                .collect();
            let reports: Vec<TargetReport> = servers
                .iter()
                .zip(&places)
                .map(|(rules, place)| (sums.get(&rules.name), place))
                .map(|(sum, place)| place_report(sum, place, span))
                .collect();
            let planned = self
                .placement(service)
                .weigh(now, &places, &reports)
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
        let most = busy.iter().copied().fold(0.0, f64::max);
        let mean = busy.iter().sum::<f64>() / busy.len().max(1) as f64;
        let ratio = if mean > 0.0 { most / mean } else { 1.0 };
        (service.name.clone(), ratio)
    });
    services.collect()
}

/// The domain's servers of a service, in the configuration's order.
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

/// A server as placement sees it; one without a keeper gets nothing.
fn place_view(
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

    fn weigh(
        &mut self,
        now: LocalTime,
        places: &[TargetView],
        reports: &[TargetReport],
    ) -> Vec<PlannedMove> {
        self.estimate.observe(now, places.iter().zip(reports));
        self.planner.decide(now, places, &self.estimate)
    }
}

/// Slot time over a span as slots in use; of slices that it still holds.
fn place_report(
    sum: Option<&LoadSum>,
    place: &TargetView,
    span: TimeSpan,
) -> TargetReport {
    let Some(sum) = sum else {
        return TargetReport::default();
    };
    let held =
        sum.slice_micros.iter().filter(|(s, _)| place.held.contains(**s));
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

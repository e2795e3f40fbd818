//! Plans the assignments of one sharded service.

use std::sync::Arc;

use goldcrestramp_adapter::ServerEntry;
use goldcrestramp_assignment::{
    AssignmentPhase, AssignmentTable, HolderStatus, MoveRequest,
    PlannerTiming, ServerInstance, TablePlanner,
};
use goldcrestramp_decisions::{
    BackoffReports, PlacedRange, RangeLoad, RangeMove, RateLedger,
    RebalanceSettings, TargetLoad, least_loaded_target, rebalancing_moves,
    target_utilization,
};
use goldcrestramp_types::{FastMap, LocalTime, SliceRange, TimeSpan};

use crate::{
    control::{
        admission::KeyLimits, load::ServiceLoad, pace::CommitPace,
        speed::SpeedEstimates,
    },
    notices::InstanceKey,
    view::instance_of,
};

/// How long a grant is valid. A server that has ended and cannot be reached
/// leaves its keys without an owner for this long. A lost planner is replaced
/// within 3.5 s, and its servers must keep their grants until then.
pub(crate) const GRANT_DURATION: TimeSpan = TimeSpan::from_millis(5_500);

/// The percentage of its duration after which a grant is renewed: 1.5 s, so
/// that at least 4 s of a grant remain at any time.
const RENEW_PERCENT: u64 = 27;

/// How soon an order without a response is retried.
const RETRY_DELAY: TimeSpan = TimeSpan::from_millis(250);

/// How often moves are considered. Every VM sends a report within this time.
const REBALANCE_INTERVAL: TimeSpan = TimeSpan::from_millis(500);

/// How long a range that moved must stay where it is; otherwise noise would
/// move it back and forth.
const MOVE_COOLDOWN: TimeSpan = TimeSpan::from_millis(800);

/// What servers have stated of the requests that they accept.
pub(crate) struct CapacityReports<'a> {
    pub(crate) rates: &'a RateLedger<ServerInstance>,
    pub(crate) backoffs: &'a BackoffReports<InstanceKey>,
    /// The number of VMs.
    pub(crate) vms: usize,
}

impl CapacityReports<'_> {
    /// The work of a request at a server, in seconds, where it takes `work_s`
    /// if the server accepts all requests.
    pub(super) fn work_s(
        &self,
        now: LocalTime,
        instance: &ServerInstance,
        slots: u32,
        work_s: f32,
    ) -> f32 {
        let limited = work_at_rate(self.rates.limit_of(instance), slots);
        let key = InstanceKey::from(instance);
        let factor = self.backoffs.work_factor(now, &key, self.vms);
        limited.max(work_s) * factor
    }
}

/// The plan of one service while this VM plans.
#[derive(Debug)]
pub(crate) struct ServicePlan {
    pub(crate) planner: TablePlanner,
    /// The committed table's revision, which is a condition of the next
    /// commit.
    pub(crate) revision: u64,
    pace: CommitPace,
    pub(super) load: RangeLoad,
    pub(super) speeds: SpeedEstimates,
    rebalance_at: LocalTime,
    /// When the rates and the estimates were updated last.
    pub(super) rated_at: Option<LocalTime>,
    pub(super) limits: KeyLimits,
    /// The ranges that moved, each with the end of its cooldown.
    cooling_down: Vec<(SliceRange, LocalTime)>,
}

impl ServicePlan {
    pub(crate) fn open(
        now: LocalTime,
        table: AssignmentTable,
        revision: u64,
        grant_duration: TimeSpan,
        last_grant_at: LocalTime,
    ) -> Self {
        let timing = PlannerTiming {
            grant_duration,
            renew_interval: grant_duration.percent(RENEW_PERCENT),
            retry_delay: RETRY_DELAY,
        };
        Self {
            planner: TablePlanner::open(timing, table, last_grant_at),
            revision,
            pace: CommitPace::open(now),
            load: RangeLoad::open(now),
            speeds: SpeedEstimates::default(),
            rebalance_at: now + REBALANCE_INTERVAL,
            rated_at: None,
            limits: KeyLimits::default(),
            cooling_down: Vec::new(),
        }
    }

    /// Records the load that a VM reported.
    pub(crate) fn record_load(&mut self, now: LocalTime, load: &ServiceLoad) {
        self.limits.record_report(now);
        for (key, requests) in &load.keys {
            self.load.record((*key).into(), *requests);
        }
        for (server, totals) in &load.servers {
            self.speeds.record(now, server, *totals);
        }
    }

    /// Records a table that was committed.
    pub(crate) fn committed(
        &mut self,
        now: LocalTime,
        table: AssignmentTable,
        revision: u64,
    ) {
        self.pace.end();
        if revision < self.revision {
            return;
        }
        for assigned in table.ranges() {
            if assigned.phase == AssignmentPhase::Releasing {
                self.cooling_down.push((assigned.range, now + MOVE_COOLDOWN));
            }
        }
        self.revision = revision;
        self.planner.committed(table);
    }

    /// Records that a commit of the next table begins.
    pub(crate) fn begin_commit(&mut self, now: LocalTime) {
        self.pace.begin(now);
    }

    /// The next table, if anything must change and a commit is due.
    pub(crate) fn plan(
        &mut self,
        now: LocalTime,
        status_of: impl Fn(&ServerInstance) -> HolderStatus,
        ready: &[Arc<ServerEntry>],
        capacity: &CapacityReports<'_>,
    ) -> Option<AssignmentTable> {
        if !self.pace.is_due(now) {
            return None;
        }
        self.cooling_down.retain(|(_range, until)| *until > now);
        let rebalance = now >= self.rebalance_at;
        if rebalance {
            self.rebalance_at = now + REBALANCE_INTERVAL;
            self.load.decay(now);
            self.speeds.decay(now, ready);
            self.rated_at = Some(now);
        }
        let inputs = PlacementInputs::new(self, now, ready, capacity);
        let move_requests =
            if rebalance { self.move_requests(&inputs) } else { Vec::new() };
        let mut placed = Vec::new();
        let load = &self.load;
        let target = |range| {
            let (ranges, targets) = (&inputs.ranges, &inputs.targets);
            let target = least_loaded_target(
                ranges,
                targets,
                load,
                &mut placed,
                range,
            )?;
            Some(inputs.instances[target].clone())
        };
        self.planner.plan(now, status_of, &move_requests, target)
    }

    fn move_requests(&self, inputs: &PlacementInputs) -> Vec<MoveRequest> {
        let settings = RebalanceSettings::for_servers(inputs.targets.len());
        let moves = rebalancing_moves(
            &inputs.ranges,
            &inputs.targets,
            &self.load,
            &settings,
        );
        if !moves.is_empty() {
            let utilization = target_utilization(
                &inputs.ranges,
                &inputs.targets,
                &self.load,
            );
            let highest = utilization.iter().copied().fold(0.0, f32::max);
            let slices: u32 = moves.iter().map(|m| m.range.slices()).sum();
            log::info!(
                "[planner] {} ranges with {slices} keys will move; the \
                 busiest server uses {highest:.2} of its slots.",
                moves.len()
            );
        }
        let request = |chosen: &RangeMove| MoveRequest {
            range: chosen.range,
            target: inputs.instances[chosen.target].clone(),
        };
        moves.iter().map(request).collect()
    }
}

/// The work per request, in seconds, at which `slots` slots complete `per_s`
/// requests per second; 0 if no rate is stated.
#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_precision_loss,
    reason = "small counts"
)]
fn work_at_rate(per_s: Option<f64>, slots: u32) -> f32 {
    per_s.map_or(0.0, |per_s| slots as f32 / per_s as f32)
}

/// The servers and ranges of a service, as input to the rebalancing.
pub(super) struct PlacementInputs {
    pub(super) instances: Vec<ServerInstance>,
    /// The ready servers in their order, then the holders that are not ready.
    pub(super) targets: Vec<TargetLoad>,
    pub(super) ranges: Vec<PlacedRange>,
}

impl PlacementInputs {
    pub(super) fn new(
        plan: &ServicePlan,
        now: LocalTime,
        ready: &[Arc<ServerEntry>],
        capacity: &CapacityReports<'_>,
    ) -> Self {
        let speeds = &plan.speeds;
        let typical = speeds.typical_work_s(ready);
        let mut instances: Vec<ServerInstance> =
            ready.iter().map(|entry| instance_of(entry)).collect();
        let pairs = ready.iter().zip(&instances);
        let mut targets: Vec<TargetLoad> = pairs
            .map(|(entry, instance)| TargetLoad {
                slots: entry.slots,
                work_s: capacity.work_s(
                    now,
                    instance,
                    entry.slots,
                    speeds.work_s(entry, typical),
                ),
                accepts_keys: true,
            })
            .collect();
        let table = plan.planner.table();
        // Holders that are no longer ready are appended and accept no keys.
        let ready = instances.iter().cloned().zip(0..);
        let ready: FastMap<ServerInstance, usize> = ready.collect();
        let mut positions = FastMap::default();
        for (key, instance) in table.instances() {
            let known = ready.get(instance).copied();
            positions.insert(key, known.unwrap_or(instances.len()));
            if known.is_none() {
                instances.push(instance.clone());
                let closed = TargetLoad {
                    slots: 1,
                    work_s: typical,
                    accepts_keys: false,
                };
                targets.push(closed);
            }
        }
        let ranges = table.ranges().iter().map(|assigned| PlacedRange {
            range: assigned.range,
            target: positions[&assigned.instance],
            movable: assigned.phase == AssignmentPhase::Granted
                && targets[positions[&assigned.instance]].accepts_keys
                && !plan.cooling_down.iter().any(|(range, _until)| {
                    range.covers(assigned.range)
                        || assigned.range.covers(*range)
                }),
        });
        let ranges = ranges.collect();
        Self { instances, targets, ranges }
    }
}

//! The plan of one divided service.

use std::sync::Arc;

use goldcrestramp_adapter::ServerEntry;
use goldcrestramp_assignment::{
    AssignmentPhase, AssignmentTable, HolderStatus, MoveRequest,
    PlannerTiming, ServerInstance, TablePlanner,
};
use goldcrestramp_decisions::{
    PlacedRange, RangeLoad, RangeMove, RateLedger, RebalanceSettings,
    TargetLoad, least_loaded_target, rebalancing_moves, target_utilization,
};
use goldcrestramp_types::{FastMap, LocalTime, SliceRange, TimeSpan};

use crate::control::{
    load::ServiceLoad, speed::SpeedEstimates, term::instance_of,
};

/// How long a grant holds. A server that can't be reached and is gone
/// leaves its keys without an owner for this long; a planner that is lost
/// is replaced within 3.5 s, and its servers must hold on until then.
pub(crate) const HOLD: TimeSpan = TimeSpan::from_millis(5_500);

/// After which part of its hold a grant is renewed: 1.5 s, so that 4 s of a
/// hold are left at any moment.
const RENEW_PERCENT: u64 = 27;

/// How soon an order without an answer is sent again.
const RETRY_AFTER: TimeSpan = TimeSpan::from_millis(250);

/// How often moves are weighed: a report of every VM comes in between.
const WEIGH_PAUSE: TimeSpan = TimeSpan::from_millis(500);

/// A run that moved stays for so long, or noise would send it to and fro.
const REST: TimeSpan = TimeSpan::from_millis(800);

/// The plan of one service while this VM plans.
#[derive(Debug)]
pub(crate) struct ServicePlan {
    pub(crate) planner: TablePlanner,
    /// The committed table's revision: a condition of the next commit.
    pub(crate) revision: u64,
    /// Whether a commit is on its way.
    pub(crate) committing: bool,
    load: RangeLoad,
    speeds: SpeedEstimates,
    weigh_at: LocalTime,
    resting: Vec<(SliceRange, LocalTime)>,
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
            retry_delay: RETRY_AFTER,
        };
        Self {
            planner: TablePlanner::open(timing, table, last_grant_at),
            revision,
            committing: false,
            load: RangeLoad::open(now),
            speeds: SpeedEstimates::default(),
            weigh_at: now + WEIGH_PAUSE,
            resting: Vec::new(),
        }
    }

    /// Takes what a VM was asked for.
    pub(crate) fn take_load(&mut self, now: LocalTime, load: &ServiceLoad) {
        for (key, requests) in &load.keys {
            self.load.record((*key).into(), *requests);
        }
        for (server, sum) in &load.servers {
            self.speeds.record(now, server, *sum);
        }
    }

    /// Takes a table that was committed.
    pub(crate) fn committed(
        &mut self,
        now: LocalTime,
        table: AssignmentTable,
        revision: u64,
    ) {
        self.committing = false;
        if revision < self.revision {
            return;
        }
        for run in table.ranges() {
            if run.phase == AssignmentPhase::Releasing {
                self.resting.push((run.range, now + REST));
            }
        }
        self.revision = revision;
        self.planner.committed(table);
    }

    /// The next table, if something is to change.
    pub(crate) fn plan(
        &mut self,
        now: LocalTime,
        fate: impl Fn(&ServerInstance) -> HolderStatus,
        ready: &[Arc<ServerEntry>],
        rates: &RateLedger<ServerInstance>,
    ) -> Option<AssignmentTable> {
        if self.committing {
            return None;
        }
        self.resting.retain(|(_range, until)| *until > now);
        let weigh = now >= self.weigh_at;
        if weigh {
            self.weigh_at = now + WEIGH_PAUSE;
            self.load.decay(now);
            self.speeds.decay(now, ready);
        }
        let board = PlaceBoard::new(self, ready, rates);
        let wishes = if weigh { self.wishes(&board) } else { Vec::new() };
        let mut given = Vec::new();
        let load = &self.load;
        let place = |range| {
            let (runs, places) = (&board.runs, &board.places);
            let place =
                least_loaded_target(runs, places, load, &mut given, range)?;
            Some(board.instances[place].clone())
        };
        self.planner.plan(now, fate, &wishes, place)
    }

    fn wishes(&self, board: &PlaceBoard) -> Vec<MoveRequest> {
        let settings = RebalanceSettings::for_servers(board.places.len());
        let moves = rebalancing_moves(
            &board.runs,
            &board.places,
            &self.load,
            &settings,
        );
        if !moves.is_empty() {
            let uses =
                target_utilization(&board.runs, &board.places, &self.load);
            let most = uses.iter().copied().fold(0.0, f32::max);
            let slices: u32 = moves.iter().map(|m| m.range.slices()).sum();
            log::info!(
                "[planner] {} runs of {slices} keys are to move; the \
                 fullest server uses {most:.2} of its slots.",
                moves.len()
            );
        }
        let wish = |chosen: &RangeMove| MoveRequest {
            range: chosen.range,
            target: board.instances[chosen.target].clone(),
        };
        moves.iter().map(wish).collect()
    }
}

/// The work of each request, in seconds, with which so many slots do what a
/// server takes.
#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_precision_loss,
    reason = "small counts"
)]
fn work_within(per_s: Option<f64>, slots: u32) -> f32 {
    per_s.map_or(0.0, |per_s| slots as f32 / per_s as f32)
}

/// The servers and runs of a service as the rebalancing sees them.
struct PlaceBoard {
    instances: Vec<ServerInstance>,
    places: Vec<TargetLoad>,
    runs: Vec<PlacedRange>,
}

impl PlaceBoard {
    fn new(
        plan: &ServicePlan,
        ready: &[Arc<ServerEntry>],
        rates: &RateLedger<ServerInstance>,
    ) -> Self {
        let speeds = &plan.speeds;
        let usual = speeds.usual_work_s(ready);
        let mut instances: Vec<ServerInstance> =
            ready.iter().map(|entry| instance_of(entry)).collect();
        let pairs = ready.iter().zip(&instances);
        let mut places: Vec<TargetLoad> = pairs
            .map(|(entry, instance)| TargetLoad {
                slots: entry.slots,
                work_s: speeds
                    .work_s(entry, usual)
                    .max(work_within(rates.limit_of(instance), entry.slots)),
                accepts_keys: true,
            })
            .collect();
        let table = plan.planner.table();
        // Holders that are no longer ready stand behind, closed.
        let ready = instances.iter().cloned().zip(0..);
        let ready: FastMap<ServerInstance, usize> = ready.collect();
        let mut positions = FastMap::default();
        for (key, instance) in table.instances() {
            let known = ready.get(instance).copied();
            positions.insert(key, known.unwrap_or(instances.len()));
            if known.is_none() {
                instances.push(instance.clone());
                let gone = TargetLoad {
                    slots: 1,
                    work_s: usual,
                    accepts_keys: false,
                };
                places.push(gone);
            }
        }
        let runs = table.ranges().iter().map(|run| PlacedRange {
            range: run.range,
            target: positions[&run.instance],
            movable: run.phase == AssignmentPhase::Granted
                && places[positions[&run.instance]].accepts_keys
                && !plan.resting.iter().any(|(range, _until)| {
                    range.covers(run.range) || run.range.covers(*range)
                }),
        });
        let runs = runs.collect();
        Self { instances, places, runs }
    }
}

//! A simulated deployment in which placements are compared.
//!
//! Each step is five seconds, the interval at which placement decides. The
//! load of keys follows Zipf's law. Twelve keys are hot, and every few minutes
//! different ones are. A slice that moves is without an owner for a while, and
//! a slice of a lost server for longer.

use std::collections::BTreeMap;

use goldcrestramp_decisions::{
    LoadEstimate, PlacementPlanner, PlacementSettings, PlannedMove,
    TargetReport, TargetView, assign_orphans, greedy_moves, hash_placement,
};
use goldcrestramp_types::{
    LocalTime, SliceCount, SliceIndex, SliceSet, slice_of,
};
use proptest::prelude::Rng;
use proptest::test_runner::{RngAlgorithm, TestRng};

const KEYS: u32 = 20_000;
const HOT_KEYS: usize = 12;
/// The fraction of all load for the hot keys.
const HOT_SHARE: f64 = 0.25;
/// Seconds without an owner after a planned move, and after a loss.
const MOVE_GAP_S: f64 = 0.6;
const FAILURE_GAP_S: f64 = 2.0;
/// Requests wait for long at a server above this utilization.
const FULL_UTILIZATION: f64 = 0.95;
const MAX_HEAVY_SLICES: usize = 32;
const STEP_S: usize = 5;

/// The placement that decides.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum PlacementKind {
    /// By the slice's number alone.
    Hash,
    /// Moves without regard to cost.
    Greedy,
    /// The planner in use.
    Planner,
}

/// A change of a server.
#[derive(Clone, Copy, Debug)]
pub enum SimulationEvent {
    /// It fails without a drain.
    Fail(usize),
    /// It accepts slices (again).
    Open(usize),
    /// It drains for a planned stop.
    Drain(usize),
}

/// A case in which the placements are compared.
#[derive(Clone, Debug)]
pub struct SimulationCase {
    pub servers: usize,
    pub slots: u32,
    /// The mean utilization of the servers that accept slices at the start.
    pub mean_utilization: f64,
    /// The interval in seconds after which other keys are hot. Zero: never.
    pub hot_interval_s: u64,
    pub events: Vec<(u64, SimulationEvent)>,
    pub seconds: u64,
    /// The number of servers that accept no slices at the start.
    pub closed: usize,
}

/// The result of a placement.
#[derive(Clone, Copy, Debug, Default)]
pub struct SimulationScore {
    /// The utilization of the busiest server over the mean, averaged over
    /// time.
    pub imbalance: f64,
    /// Moved slices a minute, including the moves of lost and drained servers.
    pub churn: f64,
    /// The load that finds a slice without an owner, in millionths of all
    /// load.
    pub unavailable: f64,
    /// The load that reaches a server above [`FULL_UTILIZATION`], in
    /// millionths of all load.
    pub late: f64,
}

/// Runs one case under one placement.
pub fn run(case: &SimulationCase, kind: PlacementKind) -> SimulationScore {
    let mut simulation = Simulation::new(case, kind);
    for second in (0..case.seconds).step_by(STEP_S) {
        simulation.step(second);
    }
    simulation.score()
}

#[derive(Debug)]
struct Simulation<'a> {
    case: &'a SimulationCase,
    kind: PlacementKind,
    random: TestRng,
    targets: Vec<TargetView>,
    load: Vec<f64>,
    total: f64,
    estimate: LoadEstimate,
    planner: PlacementPlanner,
    gaps: f64,
    late: f64,
    ratios: f64,
    moves: usize,
}

impl<'a> Simulation<'a> {
    fn new(case: &'a SimulationCase, kind: PlacementKind) -> Self {
        let count = SliceCount::DEFAULT;
        let settings = PlacementSettings::within_domain();
        let open = case.servers - case.closed;
        let targets = (0..case.servers).map(|index| TargetView {
            slots: case.slots,
            accepts_slices: index < open,
            ..TargetView::default()
        });
        let slots = u32::try_from(open).expect("few") * case.slots;
        let mut simulation = Self {
            case,
            kind,
            random: TestRng::deterministic_rng(RngAlgorithm::ChaCha),
            targets: targets.collect(),
            load: Vec::new(),
            total: f64::from(slots) * case.mean_utilization,
            estimate: LoadEstimate::new(count, settings.half_life),
            planner: PlacementPlanner::new(settings),
            gaps: 0.0,
            late: 0.0,
            ratios: 0.0,
            moves: 0,
        };
        simulation.draw_load();
        simulation.place_initially(count);
        simulation
    }

    /// The initial placement: by hash, or evenly if load decides later.
    fn place_initially(&mut self, count: SliceCount) {
        if self.kind == PlacementKind::Hash {
            let held = hash_placement(count, &self.targets);
            for (view, held) in self.targets.iter_mut().zip(held) {
                view.held = held;
            }
            return;
        }
        let all: SliceSet = count.indices().collect();
        let no_source = self.targets.len();
        let moves =
            assign_orphans(no_source, &all, &self.targets, &self.estimate);
        for planned in moves {
            self.targets[planned.target].held.insert(planned.slice);
        }
    }

    fn step(&mut self, second: u64) {
        let interval = self.case.hot_interval_s;
        if interval > 0 && second > 0 && second.is_multiple_of(interval) {
            self.draw_load();
        }
        let due = self.case.events.iter().filter(|(at, _)| *at == second);
        for (_, event) in due.copied().collect::<Vec<_>>() {
            self.apply_event(event);
        }
        self.observe(second);
        self.decide(second);
        self.measure();
    }

    /// Draws the load of keys: Zipf's law with exponent 1 over all keys, and
    /// twelve hot ones.
    fn draw_load(&mut self) {
        let count = SliceCount::DEFAULT;
        let mut load = vec![0.0; count.get() as usize];
        let harmonic: f64 = (1..=KEYS).map(|rank| 1.0 / f64::from(rank)).sum();
        let base = self.total * (1.0 - HOT_SHARE) / harmonic;
        for rank in 1..=KEYS {
            let slice = slice_of(&rank.to_le_bytes(), count);
            // The head of the distribution is truncated: the hot keys
            // replace it.
            let drawn = f64::from(rank.max(50));
            load[slice.position()] += base / drawn;
        }
        let sum: f64 = load.iter().sum();
        let scale = self.total * (1.0 - HOT_SHARE) / sum;
        for load in &mut load {
            *load *= scale;
        }
        let hot = self.total * HOT_SHARE / 12.0;
        for _ in 0..HOT_KEYS {
            let key = self.random.next_u32() % KEYS;
            let slice = slice_of(&key.to_le_bytes(), count);
            load[slice.position()] += hot;
        }
        self.load = load;
    }

    fn apply_event(&mut self, event: SimulationEvent) {
        let (index, open, gap) = match event {
            SimulationEvent::Fail(index) => (index, false, FAILURE_GAP_S),
            SimulationEvent::Drain(index) => (index, false, MOVE_GAP_S),
            SimulationEvent::Open(index) => (index, true, MOVE_GAP_S),
        };
        self.targets[index].accepts_slices = open;
        if self.kind == PlacementKind::Hash {
            self.rehash(gap);
        } else if !open {
            let orphans = self.targets[index].held.clone();
            let moves =
                assign_orphans(index, &orphans, &self.targets, &self.estimate);
            self.apply(&moves, gap);
        }
    }

    fn rehash(&mut self, gap: f64) {
        let held = hash_placement(SliceCount::DEFAULT, &self.targets);
        let mut moves = Vec::new();
        for (target, wanted) in held.iter().enumerate() {
            for (source, view) in self.targets.iter().enumerate() {
                let mut moving = view.held.clone();
                moving.intersect_with(wanted);
                if source != target {
                    moves.extend(moving.iter().map(|slice| PlannedMove {
                        slice,
                        source,
                        target,
                    }));
                }
            }
        }
        self.apply(&moves, gap);
    }

    fn apply(&mut self, moves: &[PlannedMove], gap: f64) {
        for planned in moves {
            self.targets[planned.source].held.remove(planned.slice);
            self.targets[planned.target].held.insert(planned.slice);
            self.gaps += self.load[planned.slice.position()] * gap;
        }
        self.moves += moves.len();
    }

    fn observe(&mut self, second: u64) {
        let now = LocalTime::from_micros(second * 1_000_000);
        let reports: Vec<TargetReport> =
            self.targets.iter().map(|view| self.report(view)).collect();
        let pairs = self.targets.iter().zip(&reports);
        self.estimate.observe(now, pairs);
    }

    /// The report of a keeper: the slots in use, and the heaviest slices only.
    fn report(&self, view: &TargetView) -> TargetReport {
        let mut heavy: Vec<(SliceIndex, f64)> = view
            .held
            .iter()
            .map(|slice| (slice, self.load[slice.position()]))
            .collect();
        let busy = heavy.iter().map(|(_, load)| load).sum();
        heavy.sort_by(|a, b| b.1.total_cmp(&a.1).then(a.0.cmp(&b.0)));
        heavy.truncate(MAX_HEAVY_SLICES);
        TargetReport { busy, heavy }
    }

    fn decide(&mut self, second: u64) {
        let now = LocalTime::from_micros(second * 1_000_000);
        let moves = match self.kind {
            PlacementKind::Hash => Vec::new(),
            PlacementKind::Greedy => {
                greedy_moves(&self.targets, &self.estimate, 10_000)
            }
            PlacementKind::Planner => {
                self.planner.decide(now, &self.targets, &self.estimate)
            }
        };
        self.apply(&moves, MOVE_GAP_S);
    }

    fn measure(&mut self) {
        let mut max: f64 = 0.0;
        let mut slots = 0.0;
        for view in self.targets.iter().filter(|view| view.accepts_slices) {
            let load: f64 = view
                .held
                .iter()
                .map(|slice| self.load[slice.position()])
                .sum();
            let used = load / f64::from(view.slots);
            max = max.max(used);
            slots += f64::from(view.slots);
            if used > FULL_UTILIZATION {
                self.late += load;
            }
        }
        self.ratios += max / (self.total / slots);
    }

    #[expect(clippy::cast_precision_loss, reason = "small numbers")]
    fn score(&self) -> SimulationScore {
        let seconds = self.case.seconds as f64;
        let step = STEP_S as f64;
        let offered = self.total * seconds;
        SimulationScore {
            imbalance: self.ratios * step / seconds,
            churn: self.moves as f64 * 60.0 / seconds,
            unavailable: self.gaps / offered * 1e6,
            late: self.late * step / offered * 1e6,
        }
    }
}

/// The cases by name, each for the deployments of both users.
pub fn cases() -> BTreeMap<String, SimulationCase> {
    let mut cases = BTreeMap::new();
    for (user, servers, slots) in [("stock", 18, 4), ("catalogue", 20, 2)] {
        let base = SimulationCase {
            servers,
            slots,
            mean_utilization: 0.6,
            hot_interval_s: 0,
            events: Vec::new(),
            seconds: 300,
            closed: 0,
        };
        let with = |events: &[(u64, SimulationEvent)]| SimulationCase {
            events: events.to_vec(),
            ..base.clone()
        };
        let named = [
            ("steady", base.clone()),
            ("hot", SimulationCase { hot_interval_s: 120, ..base.clone() }),
            (
                "loss",
                with(&[
                    (75, SimulationEvent::Fail(3)),
                    (150, SimulationEvent::Open(3)),
                ]),
            ),
            (
                "drain",
                with(&[
                    (75, SimulationEvent::Drain(5)),
                    (150, SimulationEvent::Open(5)),
                ]),
            ),
            (
                "growth",
                SimulationCase {
                    closed: 1,
                    ..with(&[(75, SimulationEvent::Open(servers - 1))])
                },
            ),
        ];
        for (name, case) in named {
            cases.insert(format!("{user}-{name}"), case);
        }
    }
    cases
}

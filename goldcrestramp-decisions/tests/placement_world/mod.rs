//! A virtual deployment in which placements are compared.
//!
//! Each step is five seconds, as often as placement decides. Keys draw load by Zipf's law; twelve of them are
//! hot, and others are every few minutes. A slice that moves is without an
//! owner for a while, one of a lost server for longer.

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
/// The part of all load that hot keys draw.
const HOT_SHARE: f64 = 0.25;
/// Seconds without an owner after a planned move, and after a loss.
const MOVE_GAP: f64 = 0.6;
const LOSS_GAP: f64 = 2.0;
/// A server fuller than this lets requests wait for long.
const FULL: f64 = 0.95;
const HEAVY_LIMIT: usize = 32;
const STEP_S: usize = 5;

/// Which placement decides.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum PlacementKind {
    /// By the slice's number alone.
    Hash,
    /// Moves without regard to cost.
    Greedy,
    /// The one in use.
    Planner,
}

/// What happens to a server.
#[derive(Clone, Copy, Debug)]
pub enum WorldEvent {
    /// It is gone at once.
    Lose(usize),
    /// It may be used (again).
    Open(usize),
    /// It leaves on a plan.
    Drain(usize),
}

/// One comparison.
#[derive(Clone, Debug)]
pub struct WorldCase {
    pub servers: usize,
    pub slots: u32,
    /// Mean use of the servers that are open at the start.
    pub mean_use: f64,
    /// Seconds after which other keys are hot; zero: never.
    pub hot_every: u64,
    pub events: Vec<(u64, WorldEvent)>,
    pub seconds: u64,
    /// Servers that are closed at first.
    pub closed: usize,
}

/// What a placement came to.
#[derive(Clone, Copy, Debug, Default)]
pub struct WorldScore {
    /// The fullest server's use over the mean, averaged over time.
    pub imbalance: f64,
    /// Moved slices a minute, forced ones included.
    pub churn: f64,
    /// Parts in a million of all load that met a slice without an owner.
    pub unavailable: f64,
    /// Parts in a million of all load that met a full server.
    pub late: f64,
}

/// Runs one case under one placement.
pub fn run(case: &WorldCase, kind: PlacementKind) -> WorldScore {
    let mut world = World::new(case, kind);
    for second in (0..case.seconds).step_by(STEP_S) {
        world.step(second);
    }
    world.score()
}

#[derive(Debug)]
struct World<'a> {
    case: &'a WorldCase,
    kind: PlacementKind,
    random: TestRng,
    places: Vec<TargetView>,
    load: Vec<f64>,
    total: f64,
    estimate: LoadEstimate,
    planner: PlacementPlanner,
    gaps: f64,
    late: f64,
    ratios: f64,
    moves: usize,
}

impl<'a> World<'a> {
    fn new(case: &'a WorldCase, kind: PlacementKind) -> Self {
        let count = SliceCount::DEFAULT;
        let settings = PlacementSettings::within_domain();
        let open = case.servers - case.closed;
        let places = (0..case.servers).map(|place| TargetView {
            slots: case.slots,
            accepts_slices: place < open,
            ..TargetView::default()
        });
        let slots = u32::try_from(open).expect("few") * case.slots;
        let mut world = Self {
            case,
            kind,
            random: TestRng::deterministic_rng(RngAlgorithm::ChaCha),
            places: places.collect(),
            load: Vec::new(),
            total: f64::from(slots) * case.mean_use,
            estimate: LoadEstimate::new(count, settings.half_life),
            planner: PlacementPlanner::new(settings),
            gaps: 0.0,
            late: 0.0,
            ratios: 0.0,
            moves: 0,
        };
        world.draw_load();
        world.place_first(count);
        world
    }

    /// The first placement: by hash, or evenly where load decides later.
    fn place_first(&mut self, count: SliceCount) {
        if self.kind == PlacementKind::Hash {
            let held = hash_placement(count, &self.places);
            for (place, held) in self.places.iter_mut().zip(held) {
                place.held = held;
            }
            return;
        }
        let all: SliceSet = count.indices().collect();
        let nobody = self.places.len();
        let moves = assign_orphans(nobody, &all, &self.places, &self.estimate);
        for planned in moves {
            self.places[planned.target].held.insert(planned.slice);
        }
    }

    fn step(&mut self, second: u64) {
        let every = self.case.hot_every;
        if every > 0 && second > 0 && second.is_multiple_of(every) {
            self.draw_load();
        }
        let due = self.case.events.iter().filter(|(at, _)| *at == second);
        for (_, event) in due.copied().collect::<Vec<_>>() {
            self.happen(event);
        }
        self.observe(second);
        self.decide(second);
        self.measure();
    }

    /// Zipf's law with exponent 1 over all keys, and twelve hot ones.
    fn draw_load(&mut self) {
        let count = SliceCount::DEFAULT;
        let mut load = vec![0.0; count.get() as usize];
        let harmonic: f64 = (1..=KEYS).map(|rank| 1.0 / f64::from(rank)).sum();
        let base = self.total * (1.0 - HOT_SHARE) / harmonic;
        for rank in 1..=KEYS {
            let slice = slice_of(&rank.to_le_bytes(), count);
            // The head of the law is cut: those keys are the hot ones.
            let drawn = f64::from(rank.max(50));
            load[slice.position()] += base / drawn;
        }
        let cut: f64 = load.iter().sum();
        let scale = self.total * (1.0 - HOT_SHARE) / cut;
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

    fn happen(&mut self, event: WorldEvent) {
        let (place, open, gap) = match event {
            WorldEvent::Lose(place) => (place, false, LOSS_GAP),
            WorldEvent::Drain(place) => (place, false, MOVE_GAP),
            WorldEvent::Open(place) => (place, true, MOVE_GAP),
        };
        self.places[place].accepts_slices = open;
        if self.kind == PlacementKind::Hash {
            self.rehash(gap);
        } else if !open {
            let orphans = self.places[place].held.clone();
            let moves =
                assign_orphans(place, &orphans, &self.places, &self.estimate);
            self.apply(&moves, gap);
        }
    }

    fn rehash(&mut self, gap: f64) {
        let held = hash_placement(SliceCount::DEFAULT, &self.places);
        let mut moves = Vec::new();
        for (target, wanted) in held.iter().enumerate() {
            for (source, place) in self.places.iter().enumerate() {
                let mut moving = place.held.clone();
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
            self.places[planned.source].held.remove(planned.slice);
            self.places[planned.target].held.insert(planned.slice);
            self.gaps += self.load[planned.slice.position()] * gap;
        }
        self.moves += moves.len();
    }

    fn observe(&mut self, second: u64) {
        let now = LocalTime::from_micros(second * 1_000_000);
        let reports: Vec<TargetReport> =
            self.places.iter().map(|place| self.report(place)).collect();
        let pairs = self.places.iter().zip(&reports);
        self.estimate.observe(now, pairs);
    }

    /// What a keeper sees: no more than the slots in use, and the heaviest
    /// slices only.
    fn report(&self, place: &TargetView) -> TargetReport {
        let mut heavy: Vec<(SliceIndex, f64)> = place
            .held
            .iter()
            .map(|slice| (slice, self.load[slice.position()]))
            .collect();
        let busy = heavy.iter().map(|(_, load)| load).sum();
        heavy.sort_by(|a, b| b.1.total_cmp(&a.1).then(a.0.cmp(&b.0)));
        heavy.truncate(HEAVY_LIMIT);
        TargetReport { busy, heavy }
    }

    fn decide(&mut self, second: u64) {
        let now = LocalTime::from_micros(second * 1_000_000);
        let moves = match self.kind {
            PlacementKind::Hash => Vec::new(),
            PlacementKind::Greedy => {
                greedy_moves(&self.places, &self.estimate, 10_000)
            }
            PlacementKind::Planner => {
                self.planner.decide(now, &self.places, &self.estimate)
            }
        };
        self.apply(&moves, MOVE_GAP);
    }

    fn measure(&mut self) {
        let mut most: f64 = 0.0;
        let mut slots = 0.0;
        for place in self.places.iter().filter(|place| place.accepts_slices) {
            let load: f64 = place
                .held
                .iter()
                .map(|slice| self.load[slice.position()])
                .sum();
            let used = load / f64::from(place.slots);
            most = most.max(used);
            slots += f64::from(place.slots);
            if used > FULL {
                self.late += load;
            }
        }
        self.ratios += most / (self.total / slots);
    }

    #[expect(clippy::cast_precision_loss, reason = "small numbers")]
    fn score(&self) -> WorldScore {
        let seconds = self.case.seconds as f64;
        let step = STEP_S as f64;
        let offered = self.total * seconds;
        WorldScore {
            imbalance: self.ratios * step / seconds,
            churn: self.moves as f64 * 60.0 / seconds,
            unavailable: self.gaps / offered * 1e6,
            late: self.late * step / offered * 1e6,
        }
    }
}

/// The cases by name, each for both users' deployments.
pub fn cases() -> BTreeMap<String, WorldCase> {
    let mut cases = BTreeMap::new();
    for (user, servers, slots) in [("stock", 18, 4), ("catalogue", 20, 2)] {
        let base = WorldCase {
            servers,
            slots,
            mean_use: 0.6,
            hot_every: 0,
            events: Vec::new(),
            seconds: 300,
            closed: 0,
        };
        let with = |events: &[(u64, WorldEvent)]| WorldCase {
            events: events.to_vec(),
            ..base.clone()
        };
        let named = [
            ("steady", base.clone()),
            ("hot", WorldCase { hot_every: 120, ..base.clone() }),
            (
                "loss",
                with(&[(75, WorldEvent::Lose(3)), (150, WorldEvent::Open(3))]),
            ),
            (
                "drain",
                with(&[
                    (75, WorldEvent::Drain(5)),
                    (150, WorldEvent::Open(5)),
                ]),
            ),
            (
                "growth",
                WorldCase {
                    closed: 1,
                    ..with(&[(75, WorldEvent::Open(servers - 1))])
                },
            ),
        ];
        for (name, case) in named {
            cases.insert(format!("{user}-{name}"), case);
        }
    }
    cases
}

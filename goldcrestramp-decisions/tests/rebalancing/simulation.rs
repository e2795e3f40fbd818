//! A simulation of servers of different speed, with queues, in virtual time.

use std::collections::VecDeque;

use goldcrestramp_decisions::{
    PlacedRange, RangeLoad, RangeMove, RebalanceSettings, TargetLoad,
    WorkEstimate, rebalancing_moves,
};
use goldcrestramp_types::{LocalTime, SliceIndex, SliceRange, TimeSpan};

const SLOTS: u32 = 4;
/// The length of a server's queue. Requests beyond it are refused.
const QUEUE_LENGTH: usize = 16;
const STEP_MS: u64 = 5;
const ROUND_MS: u64 = 500;

/// The load of the callers.
#[derive(Clone, Copy, Debug)]
pub struct LoadShape {
    pub requests_per_s: f64,
    /// The fraction of the requests that is for two hundred adjacent keys.
    pub hot_part: f64,
    pub work_ms: f64,
}

/// The totals of the callers' responses.
#[derive(Clone, Copy, Debug, Default)]
pub struct CallerTotals {
    pub requests: u32,
    pub in_time: u32,
    pub late: u32,
    pub refused: u32,
    pub keys_moved: u32,
}

#[derive(Debug)]
struct Job {
    arrived: u64,
    remaining_ms: f64,
}

#[derive(Debug)]
struct Server {
    speed: f64,
    running: Vec<Job>,
    waiting: VecDeque<Job>,
    work: WorkEstimate,
}

/// Servers with the ranges of keys that they hold.
#[derive(Debug)]
pub struct ServerSimulation {
    servers: Vec<Server>,
    ranges: Vec<PlacedRange>,
    load: RangeLoad,
    random: u64,
    now: u64,
    target_ms: u64,
    settings: RebalanceSettings,
    pub totals: CallerTotals,
}

fn at(millis: u64) -> LocalTime {
    LocalTime::from_micros(0) + TimeSpan::from_millis(millis)
}

impl ServerSimulation {
    /// Opens with eight ranges for each server, assigned by round robin.
    pub fn open(speeds: &[f64], target_ms: u64) -> Self {
        let servers = speeds.iter().map(|speed| Server {
            speed: *speed,
            running: Vec::new(),
            waiting: VecDeque::new(),
            work: WorkEstimate::open(at(0)),
        });
        let count = speeds.len() * 8;
        let size = 65_536 / count;
        let ranges = (0..count).map(|number| {
            let first = number * size;
            let last =
                if number + 1 == count { 65_535 } else { first + size - 1 };
            let slice = |key: usize| {
                SliceIndex::from(u16::try_from(key).expect("fits in a key"))
            };
            let range = SliceRange { first: slice(first), last: slice(last) };
            PlacedRange { range, target: number % speeds.len(), movable: true }
        });
        Self {
            servers: servers.collect(),
            ranges: ranges.collect(),
            load: RangeLoad::open(at(0)),
            random: 0x9E37_79B9_7F4A_7C15,
            now: 0,
            target_ms,
            settings: RebalanceSettings::for_servers(speeds.len()),
            totals: CallerTotals::default(),
        }
    }

    /// Simulates a load. `moves` is whether keys are moved.
    pub fn simulate(&mut self, seconds: u64, shape: LoadShape, moves: bool) {
        let end = self.now + seconds * 1_000;
        let per_step = shape.requests_per_s * STEP_MS as f64 / 1_000.0;
        let mut arrivals_due = 0.0;
        while self.now < end {
            arrivals_due += per_step;
            while arrivals_due >= self.uniform() {
                arrivals_due -= 1.0;
                self.arrive(shape);
            }
            self.advance();
            self.now += STEP_MS;
            if self.now.is_multiple_of(ROUND_MS) {
                self.rebalance(moves);
            }
        }
    }

    /// The responses a second that the servers can give.
    pub fn capacity(&self, work_ms: f64) -> f64 {
        let speeds = self.servers.iter().map(|server| server.speed);
        speeds.sum::<f64>() * f64::from(SLOTS) * 1_000.0 / work_ms
    }

    fn arrive(&mut self, shape: LoadShape) {
        let hot = self.uniform() < shape.hot_part;
        let spread = if hot { 200.0 } else { 65_536.0 };
        let first = if hot { 30_000.0 } else { 0.0 };
        let key = first + self.uniform() * spread;
        let key = SliceIndex::from(key.min(65_535.0) as u16);
        self.load.record(key, 1);
        self.totals.requests += 1;
        let alone = SliceRange { first: key, last: key };
        let placed =
            self.ranges.iter().find(|placed| placed.range.covers(alone));
        let index = placed.expect("each key is in a range").target;
        let work = -shape.work_ms * 0.5 * self.uniform().max(1e-9).ln();
        let remaining_ms = shape.work_ms * 0.5 + work;
        let server = &mut self.servers[index];
        if server.waiting.len() >= QUEUE_LENGTH {
            self.totals.refused += 1;
            return;
        }
        server.waiting.push_back(Job { arrived: self.now, remaining_ms });
    }

    fn advance(&mut self) {
        for server in &mut self.servers {
            while server.running.len() < SLOTS as usize {
                let Some(job) = server.waiting.pop_front() else { break };
                server.running.push(job);
            }
            for job in &mut server.running {
                job.remaining_ms -= STEP_MS as f64 * server.speed;
            }
            let now = self.now + STEP_MS;
            for job in
                server.running.extract_if(.., |job| job.remaining_ms <= 0.0)
            {
                let elapsed = now - job.arrived;
                server.work.record(1, elapsed as f32 / 1_000.0);
                if elapsed <= self.target_ms {
                    self.totals.in_time += 1;
                } else {
                    self.totals.late += 1;
                }
            }
        }
    }

    fn rebalance(&mut self, moves: bool) {
        self.load.decay(at(self.now));
        for server in &mut self.servers {
            server.work.decay(at(self.now));
        }
        if !moves {
            return;
        }
        let targets: Vec<TargetLoad> = self
            .servers
            .iter()
            .map(|server| TargetLoad {
                slots: SLOTS,
                work_s: server.work.seconds(SLOTS).unwrap_or(0.12),
                accepts_keys: true,
            })
            .collect();
        let moves = rebalancing_moves(
            &self.ranges,
            &targets,
            &self.load,
            &self.settings,
        );
        for chosen in moves {
            self.apply_move(chosen);
        }
    }

    fn apply_move(&mut self, chosen: RangeMove) {
        let RangeMove { range, target } = chosen;
        self.totals.keys_moved += range.slices();
        let source =
            self.ranges.iter().position(|placed| placed.range.covers(range));
        let source =
            self.ranges.swap_remove(source.expect("one range covers it"));
        if source.range.first < range.first {
            let last = SliceIndex::from(range.first.get() - 1);
            let range = SliceRange { first: source.range.first, last };
            self.ranges.push(PlacedRange { range, ..source });
        }
        if range.last < source.range.last {
            let first = SliceIndex::from(range.last.get() + 1);
            let range = SliceRange { first, last: source.range.last };
            self.ranges.push(PlacedRange { range, ..source });
        }
        self.ranges.push(PlacedRange { range, target, movable: true });
    }

    /// A uniform number from 0 to 1, the same in every run.
    fn uniform(&mut self) -> f64 {
        self.random ^= self.random << 13;
        self.random ^= self.random >> 7;
        self.random ^= self.random << 17;
        (self.random >> 11) as f64 / (1_u64 << 53) as f64
    }
}

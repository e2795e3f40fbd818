//! Servers of different speed, with queues, in virtual time.

use std::collections::VecDeque;

use goldcrestramp_decisions::{
    PlacedRange, RangeLoad, RangeMove, RebalanceSettings, TargetLoad,
    WorkEstimate, rebalancing_moves,
};
use goldcrestramp_types::{LocalTime, SliceIndex, SliceRange, TimeSpan};

const SLOTS: u32 = 4;
/// Requests beyond these are turned away.
const QUEUE: usize = 16;
const STEP_MS: u64 = 5;
const ROUND_MS: u64 = 500;

/// What callers ask for.
#[derive(Clone, Copy, Debug)]
pub struct LoadShape {
    pub requests_per_s: f64,
    /// The part of them that goes to two hundred keys side by side.
    pub hot_part: f64,
    pub work_ms: f64,
}

/// What callers got.
#[derive(Clone, Copy, Debug, Default)]
pub struct CallerSum {
    pub asked: u32,
    pub in_time: u32,
    pub late: u32,
    pub refused: u32,
    pub keys_moved: u32,
}

#[derive(Debug)]
struct Job {
    arrived: u64,
    left_ms: f64,
}

#[derive(Debug)]
struct Server {
    speed: f64,
    running: Vec<Job>,
    waiting: VecDeque<Job>,
    work: WorkEstimate,
}

/// Servers with the runs of keys that they hold.
#[derive(Debug)]
pub struct ServerWorld {
    servers: Vec<Server>,
    runs: Vec<PlacedRange>,
    load: RangeLoad,
    random: u64,
    now: u64,
    target_ms: u64,
    settings: RebalanceSettings,
    pub sum: CallerSum,
}

fn at(millis: u64) -> LocalTime {
    LocalTime::from_micros(0) + TimeSpan::from_millis(millis)
}

impl ServerWorld {
    /// Opens with eight runs a server, dealt in turn.
    pub fn open(speeds: &[f64], target_ms: u64) -> Self {
        let servers = speeds.iter().map(|speed| Server {
            speed: *speed,
            running: Vec::new(),
            waiting: VecDeque::new(),
            work: WorkEstimate::open(at(0)),
        });
        let count = speeds.len() * 8;
        let size = 65_536 / count;
        let runs = (0..count).map(|number| {
            let first = number * size;
            let last =
                if number + 1 == count { 65_535 } else { first + size - 1 };
            let slice = |key: usize| {
                SliceIndex::from(u16::try_from(key).expect("a key"))
            };
            let range = SliceRange { first: slice(first), last: slice(last) };
            PlacedRange { range, target: number % speeds.len(), movable: true }
        });
        Self {
            servers: servers.collect(),
            runs: runs.collect(),
            load: RangeLoad::open(at(0)),
            random: 0x9E37_79B9_7F4A_7C15,
            now: 0,
            target_ms,
            settings: RebalanceSettings::for_servers(speeds.len()),
            sum: CallerSum::default(),
        }
    }

    /// Plays a load; whether keys are moved.
    pub fn play(&mut self, seconds: u64, shape: LoadShape, moves: bool) {
        let end = self.now + seconds * 1_000;
        let per_step = shape.requests_per_s * STEP_MS as f64 / 1_000.0;
        let mut due = 0.0;
        while self.now < end {
            due += per_step;
            while due >= self.unit() {
                due -= 1.0;
                self.arrive(shape);
            }
            self.work_step();
            self.now += STEP_MS;
            if self.now.is_multiple_of(ROUND_MS) {
                self.round(moves);
            }
        }
    }

    /// The answers a second that the servers can give.
    pub fn capacity(&self, work_ms: f64) -> f64 {
        let speeds = self.servers.iter().map(|server| server.speed);
        speeds.sum::<f64>() * f64::from(SLOTS) * 1_000.0 / work_ms
    }

    fn arrive(&mut self, shape: LoadShape) {
        let hot = self.unit() < shape.hot_part;
        let spread = if hot { 200.0 } else { 65_536.0 };
        let first = if hot { 30_000.0 } else { 0.0 };
        let key = first + self.unit() * spread;
        let key = SliceIndex::from(key.min(65_535.0) as u16);
        self.load.record(key, 1);
        self.sum.asked += 1;
        let alone = SliceRange { first: key, last: key };
        let run = self.runs.iter().find(|run| run.range.covers(alone));
        let place = run.expect("each key has a run").target;
        let work = -shape.work_ms * 0.5 * self.unit().max(1e-9).ln();
        let left_ms = shape.work_ms * 0.5 + work;
        let server = &mut self.servers[place];
        if server.waiting.len() >= QUEUE {
            self.sum.refused += 1;
            return;
        }
        server.waiting.push_back(Job { arrived: self.now, left_ms });
    }

    fn work_step(&mut self) {
        for server in &mut self.servers {
            while server.running.len() < SLOTS as usize {
                let Some(job) = server.waiting.pop_front() else { break };
                server.running.push(job);
            }
            for job in &mut server.running {
                job.left_ms -= STEP_MS as f64 * server.speed;
            }
            let now = self.now + STEP_MS;
            for job in server.running.extract_if(.., |job| job.left_ms <= 0.0)
            {
                let took = now - job.arrived;
                server.work.record(1, took as f32 / 1_000.0);
                if took <= self.target_ms {
                    self.sum.in_time += 1;
                } else {
                    self.sum.late += 1;
                }
            }
        }
    }

    fn round(&mut self, moves: bool) {
        self.load.decay(at(self.now));
        for server in &mut self.servers {
            server.work.decay(at(self.now));
        }
        if !moves {
            return;
        }
        let places: Vec<TargetLoad> = self
            .servers
            .iter()
            .map(|server| TargetLoad {
                slots: SLOTS,
                work_s: server.work.seconds(SLOTS).unwrap_or(0.12),
                accepts_keys: true,
            })
            .collect();
        let moves =
            rebalancing_moves(&self.runs, &places, &self.load, &self.settings);
        for chosen in moves {
            self.follow(chosen);
        }
    }

    fn follow(&mut self, chosen: RangeMove) {
        let RangeMove { range, target } = chosen;
        self.sum.keys_moved += range.slices();
        let whole = self.runs.iter().position(|run| run.range.covers(range));
        let whole = self.runs.swap_remove(whole.expect("one run"));
        if whole.range.first < range.first {
            let last = SliceIndex::from(range.first.get() - 1);
            let range = SliceRange { first: whole.range.first, last };
            self.runs.push(PlacedRange { range, ..whole });
        }
        if range.last < whole.range.last {
            let first = SliceIndex::from(range.last.get() + 1);
            let range = SliceRange { first, last: whole.range.last };
            self.runs.push(PlacedRange { range, ..whole });
        }
        self.runs.push(PlacedRange { range, target, movable: true });
    }

    /// A number from 0 to 1, the same in every run.
    fn unit(&mut self) -> f64 {
        self.random ^= self.random << 13;
        self.random ^= self.random >> 7;
        self.random ^= self.random << 17;
        (self.random >> 11) as f64 / (1_u64 << 53) as f64
    }
}

//! A simulation of VMs, a planner and one owner of keys, in virtual time.

use std::collections::VecDeque;

use goldcrestramp_decisions::{
    LimitedKey, OwnerWork, RangeLoad, WorkEstimate, limited_keys,
    owner_capacity, published_keys,
};
use goldcrestramp_types::{LocalTime, SliceIndex, SliceRange, TimeSpan};

pub const SLOTS: u32 = 4;
/// The owner completes 15 requests a second.
pub const FULL_RATE: f64 = 15.0;
pub const TARGET: TimeSpan = TimeSpan::from_millis(800);
const VMS: usize = 20;
const REPORT_MS: u64 = 400;
const ROUND_MS: u64 = 500;
const SHARE_TTL_MS: u64 = 1_000;
/// The requests that one VM holds while another one of its own is at the
/// owner, and how long it holds them.
const HELD: usize = 4;
const HOLD_MS: u64 = 600;

/// The keys with their requests a second.
pub type KeyRates = Vec<(u16, f64)>;

/// What callers got in a part of the simulation.
#[derive(Clone, Debug, Default)]
pub struct CallerTotals {
    pub asked: u32,
    /// Refused before anything was sent.
    pub refused_at_once: u32,
    /// Refused after a wait in a queue.
    pub refused_late: u32,
    pub in_time: u32,
    pub completed: u32,
}

/// What happened in a part of the simulation.
#[derive(Clone, Debug, Default)]
pub struct Observed {
    pub hot: CallerTotals,
    pub others: CallerTotals,
    /// The requests that the VMs sent to the owner.
    pub offered: u32,
    /// The shares of the hot key by round; 1000 where it was not limited.
    pub shares: Vec<u16>,
    /// The estimates of the owner's capacity by round.
    pub capacities: Vec<f32>,
}

#[derive(Clone, Copy, Debug)]
struct Job {
    key: u16,
    vm: usize,
    arrived: u64,
    sent: u64,
    work_ms: u64,
}

#[derive(Debug, Default)]
struct Vm {
    counts: Vec<(u16, u32)>,
    responses: u32,
    millis: u64,
    limits: Vec<LimitedKey>,
    valid_until: u64,
    held: VecDeque<Job>,
    sent_at: Option<u64>,
}

/// VMs that report to a planner, and the owner of all keys.
#[derive(Debug)]
pub struct AdmissionSimulation {
    pub is_admission_on: bool,
    /// Whether the planner responds to reports.
    pub is_planner_up: bool,
    /// How long VMs wait for a response.
    pub give_up_ms: u64,
    pub rates: KeyRates,
    pub hot: u16,
    pub observed: Observed,
    vms: Vec<Vm>,
    running: Vec<(u64, Job)>,
    waiting: VecDeque<Job>,
    load: RangeLoad,
    work: WorkEstimate,
    owner: Option<OwnerWork>,
    limits: Vec<LimitedKey>,
    now: u64,
    random: u64,
}

impl AdmissionSimulation {
    pub fn open(seed: u64) -> Self {
        let start = time(0);
        Self {
            is_admission_on: true,
            is_planner_up: true,
            give_up_ms: u64::MAX,
            rates: Vec::new(),
            hot: 0,
            observed: Observed::default(),
            vms: (0..VMS).map(|_vm| Vm::default()).collect(),
            running: Vec::new(),
            waiting: VecDeque::new(),
            load: RangeLoad::open(start),
            work: WorkEstimate::open(start),
            owner: None,
            limits: Vec::new(),
            now: 0,
            random: seed,
        }
    }

    /// Runs for some time and returns what happened in it.
    pub fn run(&mut self, millis: u64) -> Observed {
        self.observed = Observed::default();
        for _millisecond in 0..millis {
            self.step();
        }
        std::mem::take(&mut self.observed)
    }

    fn step(&mut self) {
        self.now += 1;
        for position in 0..self.rates.len() {
            let (key, rate) = self.rates[position];
            if self.draw() < rate / 1_000.0 {
                self.arrive(key);
            }
        }
        self.serve();
        for vm in 0..VMS {
            if (self.now + 37 * vm as u64).is_multiple_of(REPORT_MS) {
                self.report(vm);
            }
        }
        if self.now.is_multiple_of(ROUND_MS) {
            self.plan();
        }
    }

    fn arrive(&mut self, key: u16) {
        let vm = self.below(VMS);
        count(&mut self.vms[vm].counts, key);
        self.totals(key).asked += 1;
        if !self.is_admitted(vm, key) {
            self.totals(key).refused_at_once += 1;
            return;
        }
        if self.vms[vm].held.len() >= HELD {
            self.totals(key).refused_at_once += 1;
            return;
        }
        let mean_ms = 1_000.0 * f64::from(SLOTS) / FULL_RATE;
        let work_ms = (mean_ms * (0.5 + self.draw())) as u64;
        self.vms[vm].held.push_back(Job {
            key,
            vm,
            arrived: self.now,
            sent: 0,
            work_ms,
        });
    }

    fn is_admitted(&mut self, vm: usize, key: u16) -> bool {
        let drawn = self.below(1_000);
        let now = self.now;
        let vm = &self.vms[vm];
        let mut limits = vm.limits.iter().filter(|_| vm.valid_until > now);
        let limit = limits.find(|limit| limit.slice.get() == key);
        limit.is_none_or(|limit| drawn < usize::from(limit.per_mille))
    }

    fn serve(&mut self) {
        let now = self.now;
        let (ended, running) =
            self.running.iter().copied().partition(|(end, _)| *end <= now);
        self.running = running;
        let ended: Vec<(u64, Job)> = ended;
        for (_end, job) in ended {
            let took = now - job.arrived;
            let in_time = took <= TARGET.as_millis();
            let served = now - job.sent;
            if served > self.give_up_ms {
                continue;
            }
            let vm = &mut self.vms[job.vm];
            vm.sent_at = None;
            vm.responses += 1;
            vm.millis += served;
            let totals = self.totals(job.key);
            totals.completed += 1;
            totals.in_time += u32::from(in_time);
        }
        for vm in 0..VMS {
            self.send(vm);
        }
        while self.running.len() < SLOTS as usize {
            let Some(job) = self.waiting.pop_front() else { return };
            self.running.push((now + job.work_ms, job));
        }
    }

    /// Sends the first of the requests that a VM holds, and refuses those that
    /// have waited for too long.
    fn send(&mut self, vm: usize) {
        let now = self.now;
        let is_late = |job: &Job| now - job.arrived > HOLD_MS;
        while let Some(late) = self.vms[vm].held.pop_front_if(|j| is_late(j)) {
            self.totals(late.key).refused_late += 1;
        }
        let sent_at = self.vms[vm].sent_at;
        if sent_at.is_some_and(|sent| now - sent <= self.give_up_ms) {
            return;
        }
        if let Some(job) = self.vms[vm].held.pop_front() {
            self.vms[vm].sent_at = Some(now);
            self.observed.offered += 1;
            self.waiting.push_back(Job { sent: now, ..job });
        }
    }

    fn report(&mut self, vm: usize) {
        let now = self.now;
        let vm = &mut self.vms[vm];
        let counts = std::mem::take(&mut vm.counts);
        let responses = std::mem::take(&mut vm.responses);
        let millis = std::mem::take(&mut vm.millis);
        if !self.is_planner_up {
            return;
        }
        for (key, requests) in counts {
            self.load.record(key.into(), requests);
        }
        self.work.record(responses, millis as f32 / 1_000.0);
        vm.limits.clone_from(&self.limits);
        vm.valid_until = now + SHARE_TTL_MS;
    }

    fn plan(&mut self) {
        let now = time(self.now);
        self.load.decay(now);
        self.work.decay(now);
        let estimate = self.work.seconds(SLOTS);
        self.owner = self.owner.or(estimate.map(OwnerWork::open));
        let work = self.owner.as_mut().map(|owner| owner.follow(estimate));
        self.limits = match work.filter(|_work| self.is_admission_on) {
            Some(work) => {
                let capacity = owner_capacity(SLOTS, work, TARGET);
                self.observed.capacities.push(capacity);
                let rates = self.load.key_rates(all_keys()).collect();
                published_keys(limited_keys(rates, capacity))
            }
            None => Vec::new(),
        };
        let mut limits = self.limits.iter();
        let hot = limits.find(|limit| limit.slice.get() == self.hot);
        let share = hot.map_or(1_000, |limit| limit.per_mille);
        self.observed.shares.push(share);
    }

    fn totals(&mut self, key: u16) -> &mut CallerTotals {
        let Observed { hot, others, .. } = &mut self.observed;
        if key == self.hot { hot } else { others }
    }

    fn below(&mut self, end: usize) -> usize {
        (self.draw() * end as f64) as usize
    }

    /// A random number from 0 to 1 (xorshift).
    fn draw(&mut self) -> f64 {
        self.random ^= self.random << 13;
        self.random ^= self.random >> 7;
        self.random ^= self.random << 17;
        (self.random >> 11) as f64 / (1_u64 << 53) as f64
    }
}

pub fn time(millis: u64) -> LocalTime {
    LocalTime::from_micros(millis * 1_000)
}

fn all_keys() -> SliceRange {
    let (first, last) = (0_u16.into(), u16::MAX.into());
    SliceRange { first, last }
}

fn count(counts: &mut Vec<(u16, u32)>, key: u16) {
    match counts.iter_mut().find(|(known, _)| *known == key) {
        Some((_, requests)) => *requests += 1,
        None => counts.push((key, 1)),
    }
}

/// A key with its requests a second.
pub fn rate(key: u16, per_s: f32) -> (SliceIndex, f32) {
    (key.into(), per_s)
}

//! A fleet keeps to the rate that a server takes from all VMs.

use std::collections::VecDeque;

use goldcrestramp_decisions::{
    FleetPosition, PermitGrant, PermitRequest, RateAllowance, RateLedger,
};
use goldcrestramp_types::{LocalTime, TimeSpan};

const SERVER: &str = "server";

/// From one VM to another and from a VM to the server.
const WAY_MS: u64 = 15;

/// How long the server works on a request.
const WORK_MS: u64 = 120;

/// How often a VM asks for permits.
const ASK_MS: u64 = 100;

/// How long a request waits for a permit.
const WAIT_MS: u64 = 500;

fn at(millis: u64) -> LocalTime {
    LocalTime::from_micros(1_000_000_000) + TimeSpan::from_millis(millis)
}

/// What is played.
#[derive(Clone, Copy, Debug)]
struct RatePlay {
    vms: usize,
    /// Requests a second for the server's keys.
    demand: u64,
    /// What the server names, by the time in milliseconds.
    limit: fn(u64) -> Option<f64>,
    /// When no VM keeps the accounts; after it a new one does.
    unkept: (u64, u64),
    /// When a tenth of the VMs have restarted.
    restart_ms: u64,
    length_ms: u64,
}

impl RatePlay {
    fn usual(vms: usize, demand: u64) -> Self {
        Self {
            vms,
            demand,
            limit: |_millis| Some(3.0),
            unkept: (0, 0),
            restart_ms: u64::MAX,
            length_ms: 40_000,
        }
    }
}

#[derive(Clone, Debug, Default)]
struct SimulatedVm {
    allowance: RateAllowance,
    waiting: VecDeque<u64>,
    told_at: Option<u64>,
}

/// What happens at a moment.
#[derive(Clone, Copy, Debug)]
enum PlayEvent {
    /// A request reaches the server.
    Arrives(usize),
    /// Its answer reaches the VM.
    Answered(usize, Option<f64>),
    /// A VM's question reaches the issuer.
    Asked(usize, PermitRequest),
    /// The issuer's answer reaches the VM.
    Granted(usize, PermitGrant),
}

/// The moments at which requests came to the server from VMs that it had
/// told of a limit half a second before, and those of all requests.
struct PlayedArrivals {
    told: Vec<u64>,
    all: Vec<u64>,
}

impl PlayedArrivals {
    /// The most from told VMs in any 4 s from `from_ms` on.
    fn most_in_window(&self, from_ms: u64) -> usize {
        const WINDOW_MS: u64 = 4_000;
        let came = || self.told.iter().filter(|moment| **moment >= from_ms);
        let within = |begin: &u64| {
            let window = *begin..*begin + WINDOW_MS;
            came().filter(|moment| window.contains(moment)).count()
        };
        came().map(within).max().unwrap_or(0)
    }

    fn between(&self, from_ms: u64, to_ms: u64) -> usize {
        let window = from_ms..to_ms;
        self.all.iter().filter(|moment| window.contains(moment)).count()
    }
}

/// Pseudo-random numbers, the same in each run.
fn next_number(state: &mut u64) -> u64 {
    *state = state.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1);
    *state >> 33
}

fn play(plan: RatePlay) -> PlayedArrivals {
    let mut vms = vec![SimulatedVm::default(); plan.vms];
    let mut ledger = RateLedger::default();
    let mut events: Vec<Vec<PlayEvent>> = Vec::new();
    events.resize(
        usize::try_from(plan.length_ms).expect("small") + 1_000,
        Vec::new(),
    );
    let mut arrivals = PlayedArrivals { told: Vec::new(), all: Vec::new() };
    let mut random = 17;
    for millis in 0..plan.length_ms {
        let now = at(millis);
        let kept = !(plan.unkept.0..plan.unkept.1).contains(&millis);
        if millis == plan.unkept.1 {
            ledger = RateLedger::default();
        }
        if millis == plan.restart_ms {
            for vm in vms.iter_mut().step_by(10) {
                *vm = SimulatedVm::default();
            }
        }
        let position = usize::try_from(millis).expect("small");
        let mut later = Vec::new();
        for event in std::mem::take(&mut events[position]) {
            match event {
                PlayEvent::Arrives(vm) => {
                    let told = vms[vm].told_at;
                    if told.is_some_and(|told| told + 500 <= millis) {
                        arrivals.told.push(millis);
                    }
                    arrivals.all.push(millis);
                    let limit = (plan.limit)(millis);
                    let answered = PlayEvent::Answered(vm, limit);
                    later.push((WORK_MS + WAY_MS, answered));
                }
                PlayEvent::Answered(number, limit) => {
                    let vm = &mut vms[number];
                    if vm.allowance.record_limit(now, limit) {
                        let request = vm.allowance.permit_request(now, 0);
                        let asked = PlayEvent::Asked(number, request);
                        later.push((ASK_MS / 2 + WAY_MS, asked));
                    }
                    if limit.is_some() {
                        vm.told_at.get_or_insert(millis);
                    }
                }
                PlayEvent::Asked(vm, request) if kept => {
                    let grant = ledger.request_permits(now, &SERVER, request);
                    later.push((WAY_MS, PlayEvent::Granted(vm, grant)));
                }
                PlayEvent::Asked(..) => {}
                PlayEvent::Granted(vm, grant) => {
                    vms[vm].allowance.record_grant(now, grant);
                }
            }
        }
        let chance = next_number(&mut random) % 1_000;
        if chance < plan.demand {
            let vm = next_number(&mut random);
            let vm = usize::try_from(vm).expect("small") % plan.vms;
            vms[vm].waiting.push_back(millis);
        }
        for (number, vm) in vms.iter_mut().enumerate() {
            while vm.waiting.front().is_some_and(|t| t + WAIT_MS < millis) {
                vm.waiting.pop_front();
            }
            if vm.waiting.is_empty() {
                continue;
            }
            let place = FleetPosition { vms: plan.vms, rank: number };
            if vm.allowance.try_take(now, place) {
                vm.waiting.pop_front();
                later.push((WAY_MS, PlayEvent::Arrives(number)));
            } else if (millis + number as u64).is_multiple_of(ASK_MS) {
                let wanted = u32::try_from(vm.waiting.len()).expect("small");
                let request = vm.allowance.permit_request(now, wanted);
                later.push((WAY_MS, PlayEvent::Asked(number, request)));
            }
        }
        for (after, event) in later {
            events[position + usize::try_from(after).expect("small")]
                .push(event);
        }
    }
    arrivals
}

/// One and a half times what the limit allows in 4 s, and 5.
fn allowed(per_s: u32) -> usize {
    per_s as usize * 6 + 5
}

/// Guards against VMs that each send what a server takes from all.
#[test]
fn fleets_of_any_size_keep_to_a_server_s_rate() {
    for vms in [1, 3, 10, 91, 195, 640] {
        for demand in [2, 13, 60, 400] {
            let arrivals = play(RatePlay::usual(vms, demand));

            let most = arrivals.most_in_window(3_000);
            assert!(most <= allowed(3), "{vms} VMs, {demand}/s: {most}");
        }
    }
}

/// Guards against a bound that is kept by leaving the server idle.
#[test]
fn what_a_server_takes_is_used() {
    for vms in [1, 10, 91, 640] {
        let arrivals = play(RatePlay::usual(vms, 60));

        let used = arrivals.between(10_000, 40_000);
        assert!(used >= 60, "{vms} VMs: {used} requests in 30 s at 3/s");
    }
}

/// Guards against a fleet that never learns that a limit has ended.
#[test]
fn the_end_of_a_limit_is_learnt_within_seconds() {
    for vms in [10, 91] {
        let limit: fn(u64) -> Option<f64> =
            |millis| (millis < 15_000).then_some(0.0);
        let arrivals = play(RatePlay { limit, ..RatePlay::usual(vms, 60) });

        let most = arrivals
            .most_in_window(3_000)
            .min(arrivals.between(8_000, 12_000));
        assert!(most <= allowed(0), "{vms} VMs: {most}");
        let after = arrivals.between(25_000, 35_000);
        assert!(after >= 500, "{vms} VMs: {after} requests in 10 s at 60/s");
    }
}

/// Guards against a new issuer that gives out what the former one did.
#[test]
fn a_new_issuer_and_restarted_vms_keep_to_the_rate() {
    for vms in [10, 91, 640] {
        let arrivals = play(RatePlay {
            unkept: (12_000, 15_500),
            restart_ms: 20_000,
            ..RatePlay::usual(vms, 60)
        });

        let most = arrivals.most_in_window(3_000);
        assert!(most <= allowed(3), "{vms} VMs: {most}");
    }
}

/// Guards against VMs that all use what they have saved up in an outage.
#[test]
fn vms_without_an_issuer_keep_to_the_rate() {
    for vms in [3, 10, 91, 640] {
        let arrivals = play(RatePlay {
            unkept: (5_000, 120_000),
            length_ms: 120_000,
            ..RatePlay::usual(vms, 60)
        });

        let most = arrivals.most_in_window(3_000);
        assert!(most <= allowed(3), "{vms} VMs: {most}");
    }
}

/// Guards against permits that VMs keep and use all at once.
#[test]
fn a_permit_that_was_not_used_lapses() {
    let place = FleetPosition { vms: 91, rank: 40 };
    let mut allowance = RateAllowance::default();
    allowance.record_limit(at(0), Some(3.0));

    allowance.record_grant(at(0), PermitGrant::Permits(5));

    assert!(allowance.try_take(at(700), place));
    assert!(!allowance.try_take(at(1_000), place));
}

/// Guards against an old answer that ends a limit named since.
#[test]
fn an_answer_from_before_a_statement_ends_no_limit() {
    let place = FleetPosition { vms: 91, rank: 40 };
    let mut allowance = RateAllowance::default();
    allowance.record_limit(at(500), Some(3.0));

    allowance.record_grant(at(400), PermitGrant::Unlimited);

    assert!(!allowance.has_permit(at(600), place));
}

/// Guards against a limit below one that keeps a server from all requests.
#[test]
fn a_limit_below_one_a_second_is_used() {
    let limit: fn(u64) -> Option<f64> = |_millis| Some(0.5);
    let arrivals = play(RatePlay { limit, ..RatePlay::usual(10, 60) });

    assert!(arrivals.most_in_window(3_000) <= 8);
    assert!(arrivals.between(10_000, 40_000) >= 10);
}

//! A fleet keeps to the rate that a server accepts from all VMs.

mod random;

use std::collections::VecDeque;

use goldcrestramp_decisions::{
    FleetPosition, PermitGrant, PermitRequest, RateAllowance, RateLedger,
};
use goldcrestramp_types::{LocalTime, TimeSpan};

use crate::random::next_number;

const SERVER: &str = "server";

/// The latency from one VM to another and from a VM to the server.
const ONE_WAY_MS: u64 = 15;

/// The service time of a request.
const WORK_MS: u64 = 120;

/// The interval at which a VM requests permits.
const PERMIT_INTERVAL_MS: u64 = 100;

/// How long a request waits for a permit before it is dropped.
const MAX_WAIT_MS: u64 = 500;

fn at(millis: u64) -> LocalTime {
    LocalTime::from_micros(1_000_000_000) + TimeSpan::from_millis(millis)
}

/// A simulated scenario.
#[derive(Clone, Copy, Debug)]
struct RateScenario {
    vms: usize,
    /// Requests a second for the server's keys.
    demand: u64,
    /// The limit that the server states, by the time in milliseconds.
    limit: fn(u64) -> Option<f64>,
    /// The period in milliseconds without an issuer. After it there is a new
    /// one.
    issuer_down: (u64, u64),
    /// When a tenth of the VMs restart.
    restart_ms: u64,
    length_ms: u64,
}

impl RateScenario {
    fn typical(vms: usize, demand: u64) -> Self {
        Self {
            vms,
            demand,
            limit: |_millis| Some(3.0),
            issuer_down: (0, 0),
            restart_ms: u64::MAX,
            length_ms: 40_000,
        }
    }
}

#[derive(Clone, Debug, Default)]
struct SimVm {
    allowance: RateAllowance,
    waiting: VecDeque<u64>,
    informed_at: Option<u64>,
}

/// An event of the simulation.
#[derive(Clone, Copy, Debug)]
enum SimEvent {
    /// A request reaches the server.
    Arrived(usize),
    /// The response reaches the VM.
    Responded(usize, Option<f64>),
    /// A VM's request for permits reaches the issuer.
    Requested(usize, PermitRequest),
    /// The issuer's grant reaches the VM.
    Granted(usize, PermitGrant),
}

/// The times at which requests arrived at the server: those from VMs that it
/// had informed of a limit at least half a second before, and those of all
/// requests.
struct SimArrivals {
    informed: Vec<u64>,
    all: Vec<u64>,
}

impl SimArrivals {
    /// The most requests from informed VMs in any 4 s from `from_ms` on.
    fn max_in_window(&self, from_ms: u64) -> usize {
        const WINDOW_MS: u64 = 4_000;
        let arrivals =
            || self.informed.iter().filter(|moment| **moment >= from_ms);
        let within = |begin: &u64| {
            let window = *begin..*begin + WINDOW_MS;
            arrivals().filter(|moment| window.contains(moment)).count()
        };
        arrivals().map(within).max().unwrap_or(0)
    }

    fn between(&self, from_ms: u64, to_ms: u64) -> usize {
        let window = from_ms..to_ms;
        self.all.iter().filter(|moment| window.contains(moment)).count()
    }
}

fn simulate(scenario: RateScenario) -> SimArrivals {
    let mut vms = vec![SimVm::default(); scenario.vms];
    let mut ledger = RateLedger::default();
    let mut events: Vec<Vec<SimEvent>> = Vec::new();
    events.resize(
        usize::try_from(scenario.length_ms).expect("small") + 1_000,
        Vec::new(),
    );
    let mut arrivals = SimArrivals { informed: Vec::new(), all: Vec::new() };
    let mut random = 17;
    for millis in 0..scenario.length_ms {
        let now = at(millis);
        let has_issuer = !(scenario.issuer_down.0..scenario.issuer_down.1)
            .contains(&millis);
        if millis == scenario.issuer_down.1 {
            ledger = RateLedger::default();
        }
        if millis == scenario.restart_ms {
            for vm in vms.iter_mut().step_by(10) {
                *vm = SimVm::default();
            }
        }
        let position = usize::try_from(millis).expect("small");
        let mut scheduled = Vec::new();
        for event in std::mem::take(&mut events[position]) {
            match event {
                SimEvent::Arrived(vm) => {
                    let informed = vms[vm].informed_at;
                    if informed
                        .is_some_and(|informed| informed + 500 <= millis)
                    {
                        arrivals.informed.push(millis);
                    }
                    arrivals.all.push(millis);
                    let limit = (scenario.limit)(millis);
                    let responded = SimEvent::Responded(vm, limit);
                    scheduled.push((WORK_MS + ONE_WAY_MS, responded));
                }
                SimEvent::Responded(number, limit) => {
                    let vm = &mut vms[number];
                    if vm.allowance.record_limit(now, limit) {
                        let request = vm.allowance.permit_request(now, 0);
                        let requested = SimEvent::Requested(number, request);
                        scheduled.push((
                            PERMIT_INTERVAL_MS / 2 + ONE_WAY_MS,
                            requested,
                        ));
                    }
                    if limit.is_some() {
                        vm.informed_at.get_or_insert(millis);
                    }
                }
                SimEvent::Requested(vm, request) if has_issuer => {
                    let grant = ledger.request_permits(now, &SERVER, request);
                    scheduled.push((ONE_WAY_MS, SimEvent::Granted(vm, grant)));
                }
                SimEvent::Requested(..) => {}
                SimEvent::Granted(vm, grant) => {
                    vms[vm].allowance.record_grant(now, grant);
                }
            }
        }
        let draw = next_number(&mut random) % 1_000;
        if draw < scenario.demand {
            let vm = next_number(&mut random);
            let vm = usize::try_from(vm).expect("small") % scenario.vms;
            vms[vm].waiting.push_back(millis);
        }
        for (number, vm) in vms.iter_mut().enumerate() {
            while vm.waiting.front().is_some_and(|t| t + MAX_WAIT_MS < millis)
            {
                vm.waiting.pop_front();
            }
            if vm.waiting.is_empty() {
                continue;
            }
            let fleet = FleetPosition { vms: scenario.vms, rank: number };
            if vm.allowance.try_take(now, fleet) {
                vm.waiting.pop_front();
                scheduled.push((ONE_WAY_MS, SimEvent::Arrived(number)));
            } else if (millis + number as u64)
                .is_multiple_of(PERMIT_INTERVAL_MS)
            {
                let wanted = u32::try_from(vm.waiting.len()).expect("small");
                let request = vm.allowance.permit_request(now, wanted);
                scheduled
                    .push((ONE_WAY_MS, SimEvent::Requested(number, request)));
            }
        }
        for (delay, event) in scheduled {
            events[position + usize::try_from(delay).expect("small")]
                .push(event);
        }
    }
    arrivals
}

/// The most requests allowed in 4 s: one and a half times the limit, and 5.
fn allowed(per_s: u32) -> usize {
    per_s as usize * 6 + 5
}

/// Guards against VMs that each send the full rate of a server.
#[test]
fn fleets_of_any_size_keep_to_the_rate_of_a_server() {
    for vms in [1, 3, 10, 91, 195, 640] {
        for demand in [2, 13, 60, 400] {
            let arrivals = simulate(RateScenario::typical(vms, demand));

            let max = arrivals.max_in_window(3_000);
            assert!(max <= allowed(3), "{vms} VMs, {demand}/s: {max}");
        }
    }
}

/// Guards against a bound that is kept by leaving the server idle.
#[test]
fn the_rate_of_a_server_is_used() {
    for vms in [1, 10, 91, 640] {
        let arrivals = simulate(RateScenario::typical(vms, 60));

        let used = arrivals.between(10_000, 40_000);
        assert!(used >= 60, "{vms} VMs: {used} requests in 30 s at 3/s");
    }
}

/// Guards against a fleet that never learns that a limit has ended.
#[test]
fn the_end_of_a_limit_is_learned_within_seconds() {
    for vms in [10, 91] {
        let limit: fn(u64) -> Option<f64> =
            |millis| (millis < 15_000).then_some(0.0);
        let arrivals =
            simulate(RateScenario { limit, ..RateScenario::typical(vms, 60) });

        let max =
            arrivals.max_in_window(3_000).min(arrivals.between(8_000, 12_000));
        assert!(max <= allowed(0), "{vms} VMs: {max}");
        let after = arrivals.between(25_000, 35_000);
        assert!(after >= 500, "{vms} VMs: {after} requests in 10 s at 60/s");
    }
}

/// Guards against a new issuer that grants again what the previous one did.
#[test]
fn a_new_issuer_and_restarted_vms_keep_to_the_rate() {
    for vms in [10, 91, 640] {
        let arrivals = simulate(RateScenario {
            issuer_down: (12_000, 15_500),
            restart_ms: 20_000,
            ..RateScenario::typical(vms, 60)
        });

        let max = arrivals.max_in_window(3_000);
        assert!(max <= allowed(3), "{vms} VMs: {max}");
    }
}

/// Guards against VMs that all use at once what they have saved up in an
/// outage.
#[test]
fn vms_without_an_issuer_keep_to_the_rate() {
    for vms in [3, 10, 91, 640] {
        let arrivals = simulate(RateScenario {
            issuer_down: (5_000, 120_000),
            length_ms: 120_000,
            ..RateScenario::typical(vms, 60)
        });

        let max = arrivals.max_in_window(3_000);
        assert!(max <= allowed(3), "{vms} VMs: {max}");
    }
}

/// Guards against permits that VMs keep and then use all at once.
#[test]
fn an_unused_permit_expires() {
    let fleet = FleetPosition { vms: 91, rank: 40 };
    let mut allowance = RateAllowance::default();
    allowance.record_limit(at(0), Some(3.0));

    allowance.record_grant(at(0), PermitGrant::Permits(5));

    assert!(allowance.try_take(at(700), fleet));
    assert!(!allowance.try_take(at(1_000), fleet));
}

/// Guards against an old grant that ends a limit stated since.
#[test]
fn a_grant_older_than_the_stated_limit_does_not_end_it() {
    let fleet = FleetPosition { vms: 91, rank: 40 };
    let mut allowance = RateAllowance::default();
    allowance.record_limit(at(500), Some(3.0));

    allowance.record_grant(at(400), PermitGrant::Unlimited);

    assert!(!allowance.has_permit(at(600), fleet));
}

/// Guards against a limit below one that blocks all requests to a server.
#[test]
fn a_limit_below_one_a_second_is_used() {
    let limit: fn(u64) -> Option<f64> = |_millis| Some(0.5);
    let arrivals =
        simulate(RateScenario { limit, ..RateScenario::typical(10, 60) });

    assert!(arrivals.max_in_window(3_000) <= 8);
    assert!(arrivals.between(10_000, 40_000) >= 10);
}

//! A fleet keeps to what a cold server accepts from all VMs.

mod random;

use goldcrestramp_decisions::{
    ColdAllowance, FleetPosition, PermitGrant, PermitRequest, RateAllowance,
    RateLedger,
};
use goldcrestramp_types::{LocalTime, TimeSpan};

use crate::random::next_number;

/// The requests per second that the server accepts while it is cold.
const PER_S: f64 = 3.3;

/// The most requests that may arrive within one second: 1.5 times the rate,
/// and 8 more.
const MAX_IN_SECOND: usize = 12;

/// How long the server is cold.
const COLD_MS: u64 = 20_000;

/// The longest delay of a request on its way to the server.
const MAX_DELAY_MS: u64 = 400;

fn at(millis: u64) -> LocalTime {
    LocalTime::from_micros(1_000_000_000) + TimeSpan::from_millis(millis)
}

/// A policy by which the VMs of a fleet send to a cold server.
trait SendPolicy {
    /// Whether a VM sends a request now.
    fn try_send(&mut self, millis: u64, vm: usize) -> bool;
}

/// The policy of the daemon: a few VMs are chosen.
struct ChosenSenders {
    allowances: Vec<ColdAllowance>,
    /// When each VM was started.
    started_ms: Vec<u64>,
    /// The numbers of the VMs that each VM knows.
    known: Vec<Vec<usize>>,
}

impl ChosenSenders {
    fn of(vms: usize) -> Self {
        Self {
            allowances: vec![ColdAllowance::default(); vms],
            started_ms: vec![0; vms],
            known: vec![(0..vms).collect(); vms],
        }
    }
}

/// The time at which a test begins to send, after the uptime that a VM needs.
const BEGIN_MS: u64 = 5_000;

impl SendPolicy for ChosenSenders {
    fn try_send(&mut self, millis: u64, vm: usize) -> bool {
        let known = &self.known[vm];
        let rank = known.iter().filter(|other| **other < vm).count();
        let position = FleetPosition { vms: known.len(), rank };
        let started = at(self.started_ms[vm]);
        let allowance = &mut self.allowances[vm];
        if !allowance.may_send(at(millis), started, position, PER_S) {
            return false;
        }
        allowance.record_send(at(millis), position, PER_S);
        true
    }
}

/// Each VM sends its equal part of the rate, and at least one request.
struct EqualParts {
    next_ms: Vec<u64>,
}

impl SendPolicy for EqualParts {
    fn try_send(&mut self, millis: u64, vm: usize) -> bool {
        if millis < self.next_ms[vm] {
            return false;
        }
        #[expect(
            clippy::cast_possible_truncation,
            clippy::cast_precision_loss,
            clippy::cast_sign_loss,
            reason = "small counts"
        )]
        let interval_ms = (self.next_ms.len() as f64 * 1_000.0 / PER_S) as u64;
        self.next_ms[vm] = millis + interval_ms;
        true
    }
}

/// One VM issues permits, which the others request.
struct IssuedPermits {
    ledger: RateLedger<&'static str>,
    allowances: Vec<RateAllowance>,
    requests: usize,
}

impl SendPolicy for IssuedPermits {
    fn try_send(&mut self, millis: u64, vm: usize) -> bool {
        let now = at(millis);
        let position = FleetPosition { vms: self.allowances.len(), rank: vm };
        let allowance = &mut self.allowances[vm];
        if allowance.limit().is_none() {
            allowance.record_limit(now, Some(PER_S));
        }
        if allowance.try_take(now, position) {
            return true;
        }
        self.requests += 1;
        let request = PermitRequest {
            per_s: Some(PER_S),
            age: TimeSpan::ZERO,
            wanted: 1,
        };
        let grant = self.ledger.request_permits(now, &"server", request);
        if grant != PermitGrant::Permits(0) {
            allowance.record_grant(now, grant);
        }
        allowance.try_take(now, position)
    }
}

/// The requests that arrive while each VM has one to send every 100 ms.
struct SimResult {
    arrivals_ms: Vec<u64>,
}

impl SimResult {
    fn max_in_second(&self) -> usize {
        let within = |begin: &u64| {
            let window = *begin..*begin + 1_000;
            self.arrivals_ms.iter().filter(|ms| window.contains(ms)).count()
        };
        self.arrivals_ms.iter().map(within).max().unwrap_or(0)
    }
}

fn simulate(policy: &mut impl SendPolicy, vms: usize) -> SimResult {
    let mut random = 7;
    let mut arrivals_ms = Vec::new();
    for millis in (BEGIN_MS..BEGIN_MS + COLD_MS).step_by(10) {
        for vm in 0..vms {
            let has_request = next_number(&mut random).is_multiple_of(10);
            if has_request && policy.try_send(millis, vm) {
                let delay_ms = next_number(&mut random) % MAX_DELAY_MS;
                arrivals_ms.push(millis + delay_ms);
            }
        }
    }
    SimResult { arrivals_ms }
}

/// The requests that a server accepts while it is cold.
const ACCEPTED: usize = 66;

/// Guards against a fleet whose VMs all send to a server that has just
/// started: it crashes.
#[test]
fn a_fleet_of_any_size_keeps_a_cold_server_s_limit() {
    for vms in [1, 2, 3, 4, 5, 10, 22, 88, 195, 640] {
        let mut senders = ChosenSenders::of(vms);

        let result = simulate(&mut senders, vms);

        let max = result.max_in_second();
        assert!(max <= MAX_IN_SECOND, "{vms} VMs: {max} in a second");
        let sent = result.arrivals_ms.len();
        assert!(sent * 10 >= ACCEPTED * 7, "{vms} VMs: only {sent} sent");
    }
}

/// Guards against VMs that start at the same time and each take themselves
/// for a chosen sender, because they know no others yet.
#[test]
fn vms_that_have_just_started_send_nothing_to_a_cold_server() {
    const SYNC_TIME_MS: u64 = 2_000;
    let vms = 88;
    let mut senders = ChosenSenders::of(vms);
    senders.started_ms = vec![BEGIN_MS; vms];
    senders.known = (0..vms).map(|vm| vec![vm]).collect();

    let sent = (BEGIN_MS..BEGIN_MS + SYNC_TIME_MS)
        .step_by(10)
        .any(|millis| (0..vms).any(|vm| senders.try_send(millis, vm)));

    assert!(!sent);
}

/// Guards against a burst at a cold server while VMs disagree about who is in
/// the fleet: a tenth of them knows no others than these, so that some of them
/// take themselves for chosen senders beside the ones that all others know.
#[test]
fn vms_that_disagree_about_the_fleet_keep_a_cold_server_s_limit() {
    let vms = 88;
    let mut senders = ChosenSenders::of(vms);
    let apart: Vec<usize> = (5..vms).step_by(10).collect();
    for vm in &apart {
        senders.known[*vm].clone_from(&apart);
    }

    let result = simulate(&mut senders, vms);

    let max = result.max_in_second();
    assert!(max <= MAX_IN_SECOND, "{max} in a second");
}

/// Guards against a burst at a cold server that two halves of the fleet reach
/// while they are cut off from each other.
#[test]
fn halves_that_are_cut_off_keep_a_cold_server_s_limit() {
    let vms = 88;
    let mut senders = ChosenSenders::of(vms);
    for vm in 0..vms {
        senders.known[vm].retain(|other| other % 2 == vm % 2);
    }

    let result = simulate(&mut senders, vms);

    let max = result.max_in_second();
    assert!(max <= MAX_IN_SECOND, "{max} in a second");
}

/// The ways that were compared for a cold server: with equal parts each VM
/// saves up one request and all send at once, and permits keep the limit with
/// a call to the issuing VM for each request that is not sent.
#[test]
fn chosen_senders_need_no_calls_and_equal_parts_break_the_limit() {
    let vms = 88;
    let mut parts = EqualParts { next_ms: vec![0; vms] };
    let mut permits = IssuedPermits {
        ledger: RateLedger::default(),
        allowances: vec![RateAllowance::default(); vms],
        requests: 0,
    };

    let with_parts = simulate(&mut parts, vms).max_in_second();
    let with_permits = simulate(&mut permits, vms).max_in_second();

    assert!(with_parts > MAX_IN_SECOND, "{with_parts} in a second");
    assert!(with_permits <= MAX_IN_SECOND, "{with_permits} in a second");
    let calls_per_s = permits.requests as u64 * 1_000 / COLD_MS;
    assert!(calls_per_s > 500, "{calls_per_s} calls per second");
}

/// Guards against requests to a server that accepts none while it is cold.
#[test]
fn a_cold_server_that_accepts_nothing_gets_nothing() {
    let allowance = ColdAllowance::default();
    let position = FleetPosition { vms: 10, rank: 0 };

    assert!(!allowance.may_send(at(BEGIN_MS), at(0), position, 0.0));
}

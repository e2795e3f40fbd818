//! Plays a fleet of many VMs that send to servers with few slots.
//!
//! A server runs as many requests as it has slots, queues four more for each
//! slot, and never responds to any beyond that. VMs see only the responses to
//! their own requests.

mod random;

use std::{cmp::Reverse, collections::BinaryHeap};

use goldcrestramp_decisions::{
    FleetPosition, PoolCandidate, PoolChoice, ServerProximity, ServerWindow,
    choose_server,
};
use goldcrestramp_types::TimeSpan;

use crate::random::next_number;

const SLOTS: usize = 2;
const QUEUE: usize = 4 * SLOTS;

/// The durations of work, relative to the mean: servers differ in speed.
const SPEED_PERCENTS: [u64; 3] = [70, 70, 160];

const DEADLINE_MS: u64 = 3_000;
const TARGET_MS: u64 = 1_200;
const LENGTH_MS: u64 = 20_000;

/// How VMs choose among the servers.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum ChoicePolicy {
    /// Among all, in the same order at each VM.
    AllInOrder,
    /// Among all, each time from another one on.
    AllRotated,
    /// Among the window of the VM, each time from another one on.
    Window,
}

/// The load and the size of a fleet.
#[derive(Clone, Copy, Debug)]
struct FleetScenario {
    vms: usize,
    servers: usize,
    work_ms: u64,
    per_s: u64,
}

/// What the callers got.
#[derive(Clone, Copy, Debug, Default)]
struct CallerCounts {
    in_time: usize,
    late: usize,
    refused: usize,
    unanswered: usize,
}

#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
enum SimEvent {
    Arrival,
    /// A server completes a request of a VM that arrived at this time.
    Completion {
        server: usize,
        vm: usize,
        arrived: u64,
    },
    /// A VM gives a request up to which a server does not respond.
    GivenUp {
        server: usize,
        vm: usize,
    },
}

#[derive(Clone, Debug, Default)]
struct SimServer {
    running: usize,
    waiting: Vec<(usize, u64)>,
}

#[derive(Clone, Debug)]
struct SimVm {
    in_flight: Vec<usize>,
    latency_ms: Vec<u64>,
    sent_at: Vec<u64>,
    waiting: Vec<u64>,
}

struct FleetSim {
    scenario: FleetScenario,
    policy: ChoicePolicy,
    random: u64,
    events: BinaryHeap<Reverse<(u64, SimEvent)>>,
    servers: Vec<SimServer>,
    vms: Vec<SimVm>,
    counts: CallerCounts,
}

impl FleetSim {
    fn open(scenario: FleetScenario, policy: ChoicePolicy) -> Self {
        let FleetScenario { vms, servers, work_ms, .. } = scenario;
        let vm = SimVm {
            in_flight: vec![0; servers],
            latency_ms: vec![work_ms; servers],
            sent_at: vec![0; servers],
            waiting: Vec::new(),
        };
        Self {
            scenario,
            policy,
            random: 11,
            events: BinaryHeap::from([Reverse((0, SimEvent::Arrival))]),
            servers: vec![SimServer::default(); servers],
            vms: vec![vm; vms],
            counts: CallerCounts::default(),
        }
    }

    /// A pseudo-random number below `end`, the same in each run.
    fn random(&mut self, end: u64) -> u64 {
        next_number(&mut self.random) % end
    }

    fn run(mut self) -> CallerCounts {
        while let Some(Reverse((now, event))) = self.events.pop() {
            match event {
                SimEvent::Arrival => self.arrive(now),
                SimEvent::Completion { server, vm, arrived } => {
                    self.complete(now, server, vm, arrived);
                }
                SimEvent::GivenUp { server, vm } => {
                    self.vms[vm].in_flight[server] -= 1;
                    self.counts.unanswered += 1;
                    self.send_waiting(now, vm);
                }
            }
        }
        self.counts
    }

    fn push(&mut self, at: u64, event: SimEvent) {
        self.events.push(Reverse((at, event)));
    }

    fn arrive(&mut self, now: u64) {
        if now < LENGTH_MS {
            let gap = self.random(2_000 / self.scenario.per_s + 1);
            self.push(now + gap, SimEvent::Arrival);
        }
        let vm = usize::try_from(self.random(self.vms.len() as u64));
        self.send(now, vm.expect("a small number"), now);
    }

    /// The servers among which a VM chooses.
    fn servers_of(&mut self, vm: usize) -> Vec<usize> {
        let servers = self.servers.len();
        let position = FleetPosition { vms: self.vms.len(), rank: vm };
        let mut chosen: Vec<usize> = match self.policy {
            ChoicePolicy::AllInOrder => return (0..servers).collect(),
            ChoicePolicy::AllRotated => (0..servers).collect(),
            ChoicePolicy::Window => {
                ServerWindow::of(position, servers, 2 * SLOTS, 1)
                    .positions()
                    .collect()
            }
        };
        let start = usize::try_from(self.random(chosen.len() as u64));
        chosen.rotate_left(start.expect("a small number"));
        chosen
    }

    fn send(&mut self, now: u64, vm: usize, arrived: u64) {
        let servers = self.servers_of(vm);
        let state = &self.vms[vm];
        let candidate = |server: &usize| PoolCandidate {
            proximity: ServerProximity::SameDomain,
            limit: 1,
            in_flight: state.in_flight[*server],
            latency: TimeSpan::from_millis(state.latency_ms[*server]),
        };
        let candidates: Vec<_> = servers.iter().map(candidate).collect();
        let remaining = (arrived + DEADLINE_MS).saturating_sub(now);
        let remaining = TimeSpan::from_millis(remaining);
        let target = TimeSpan::from_millis(TARGET_MS);
        match choose_server(&candidates, remaining, target, 1_500) {
            PoolChoice::Send(position) => {
                self.reach(now, servers[position], vm, arrived);
            }
            // At most one request waits for each server that the VM uses.
            PoolChoice::Full if state.waiting.len() < servers.len() => {
                self.vms[vm].waiting.push(arrived);
            }
            PoolChoice::Full | PoolChoice::TooLate => {
                self.counts.refused += 1;
            }
        }
    }

    fn reach(&mut self, now: u64, server: usize, vm: usize, arrived: u64) {
        self.vms[vm].in_flight[server] += 1;
        self.vms[vm].sent_at[server] = now;
        let state = &mut self.servers[server];
        if state.running < SLOTS {
            state.running += 1;
            self.start(now, server, vm, arrived);
        } else if state.waiting.len() < QUEUE {
            state.waiting.push((vm, arrived));
        } else {
            let event = SimEvent::GivenUp { server, vm };
            self.push(arrived + DEADLINE_MS, event);
        }
    }

    fn start(&mut self, now: u64, server: usize, vm: usize, arrived: u64) {
        let speed = SPEED_PERCENTS[server % SPEED_PERCENTS.len()];
        let work = self.scenario.work_ms * speed / 100;
        let work = work / 2 + self.random(work + 1);
        let event = SimEvent::Completion { server, vm, arrived };
        self.push(now + work, event);
    }

    fn complete(&mut self, now: u64, server: usize, vm: usize, arrived: u64) {
        let took = now - arrived;
        match took {
            0..=TARGET_MS => self.counts.in_time += 1,
            _ => self.counts.late += 1,
        }
        let state = &mut self.vms[vm];
        state.in_flight[server] -= 1;
        let latency = &mut state.latency_ms[server];
        let sample = now - state.sent_at[server];
        *latency = (*latency * 5 + sample) / 6;
        self.servers[server].running -= 1;
        if !self.servers[server].waiting.is_empty() {
            let (vm, arrived) = self.servers[server].waiting.remove(0);
            self.servers[server].running += 1;
            self.start(now, server, vm, arrived);
        }
        self.send_waiting(now, vm);
    }

    fn send_waiting(&mut self, now: u64, vm: usize) {
        if !self.vms[vm].waiting.is_empty() {
            let arrived = self.vms[vm].waiting.remove(0);
            self.send(now, vm, arrived);
        }
    }
}

/// The load of a fleet whose 156 slots are nearly all in use.
const HEAVY: FleetScenario =
    FleetScenario { vms: 88, servers: 78, work_ms: 210, per_s: 620 };

fn play(scenario: FleetScenario, policy: ChoicePolicy) -> CallerCounts {
    FleetSim::open(scenario, policy).run()
}

/// Guards against VMs that all choose the same servers, whose queues overflow
/// while others are idle: their callers get no response at all.
#[test]
fn windows_leave_no_caller_without_a_response() {
    let in_order = play(HEAVY, ChoicePolicy::AllInOrder);
    let rotated = play(HEAVY, ChoicePolicy::AllRotated);
    let window = play(HEAVY, ChoicePolicy::Window);

    assert!(in_order.unanswered > 500, "{in_order:?}");
    assert!(rotated.unanswered < in_order.unanswered, "{rotated:?}");
    assert_eq!(window.unanswered, 0, "{window:?}");
    assert!(window.in_time > in_order.in_time, "{window:?}, {in_order:?}");
}

/// The gain does not depend on the exact figures of the load.
#[test]
fn windows_help_with_a_third_more_or_less_of_each_figure() {
    let varied = [
        FleetScenario { vms: 59, ..HEAVY },
        FleetScenario { vms: 117, ..HEAVY },
        FleetScenario { servers: 104, ..HEAVY },
        FleetScenario { work_ms: 140, per_s: 930, ..HEAVY },
        FleetScenario { work_ms: 280, per_s: 465, ..HEAVY },
        FleetScenario { per_s: 820, ..HEAVY },
    ];
    for scenario in varied {
        let in_order = play(scenario, ChoicePolicy::AllInOrder);
        let window = play(scenario, ChoicePolicy::Window);

        assert_eq!(window.unanswered, 0, "{scenario:?} {window:?}");
        assert!(
            window.in_time >= in_order.in_time,
            "{scenario:?} {window:?} {in_order:?}"
        );
    }
}

/// Guards against servers that no VM sends to, and against servers that more
/// VMs send to than others.
#[test]
fn every_server_is_in_as_many_windows_as_any_other() {
    for vms in [1, 3, 10, 75, 88, 195, 640] {
        for servers in [1, 2, 12, 37, 78, 479] {
            let mut senders = vec![0_usize; servers];
            for rank in 0..vms {
                let position = FleetPosition { vms, rank };
                let window = ServerWindow::of(position, servers, 4, 1);
                for server in window.positions() {
                    senders[server] += 1;
                }
                assert!(window.positions().count() >= 1);
            }
            let least = senders.iter().min().expect("there is a server");
            let most = senders.iter().max().expect("there is a server");
            let window = ServerWindow::of(
                FleetPosition { vms, rank: 0 },
                servers,
                4,
                1,
            );
            assert!(*least >= vms.min(4), "{vms} {servers}: {least}");
            assert!(
                *most <= window.senders() + 1,
                "{vms} {servers}: {most} of {}",
                window.senders()
            );
        }
    }
}

/// A VM that joins shifts each window by a part of its length, so that few
/// connections are opened anew.
#[test]
fn windows_change_little_when_a_vm_joins() {
    let servers = 78;
    let mut kept = 0;
    let mut all = 0;
    for rank in 0..88 {
        let before =
            ServerWindow::of(FleetPosition { vms: 88, rank }, servers, 4, 1);
        let after =
            ServerWindow::of(FleetPosition { vms: 89, rank }, servers, 4, 1);
        let after: Vec<usize> = after.positions().collect();
        all += before.positions().count();
        kept += before.positions().filter(|s| after.contains(s)).count();
    }

    assert!(kept * 10 >= all * 7, "{kept} of {all}");
}

#[test]
fn a_window_of_no_servers_is_empty() {
    let window = ServerWindow::of(FleetPosition { vms: 0, rank: 0 }, 0, 4, 1);

    assert_eq!(window.positions().count(), 0);
    assert_eq!(window.senders(), 0);
}

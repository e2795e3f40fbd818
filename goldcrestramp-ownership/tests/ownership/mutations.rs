//! Each safeguard is needed: a test fails without it.
//!
//! Every test runs one scenario twice. With all safeguards there is no
//! violation; without the named one the oracle finds a violation.

use std::sync::Arc;

use goldcrestramp_ownership::{
    ConfirmAnswer, ConfirmAsk, GrantHolder, Safeguard, Safeguards, TermTiming,
    VoterState,
};
use goldcrestramp_types::{
    FenceToken, LocalTime, ServerTime, SliceIndex, SliceSet, TermId, TimeSpan,
    VmName,
};
use goldcrestramp_wire::server::GrantOrder;

use crate::{cluster::SimulatedCluster, fault::Fault, nodes::domain_name};

/// Runs a scenario in several phases, and returns the first violation.
fn first_violation(
    phases: u64,
    scenario: impl Fn(u64) -> SimulatedCluster,
) -> Option<String> {
    (0..phases).find_map(|phase| scenario(phase).violations.first().cloned())
}

fn assert_required(
    safeguard: Safeguard,
    phases: u64,
    scenario: impl Fn(Safeguards, u64) -> SimulatedCluster,
) {
    let with = first_violation(phases, |p| scenario(Safeguards::default(), p));
    let off = Safeguards::without(safeguard);
    let without = first_violation(phases, |p| scenario(off, p));
    assert_eq!(with, None, "with all safeguards");
    assert!(without.is_some(), "nothing is wrong without {safeguard:?}");
}

fn started_cluster(
    safeguards: Safeguards,
    checks: &[bool],
    phase: u64,
) -> SimulatedCluster {
    let mut cluster = SimulatedCluster::new(4, checks, safeguards);
    cluster.run(8_000);
    cluster.fault(&Fault::Run { millis: 13 * phase, seed: phase });
    cluster
}

/// Finds a server whose keeper is, or is not, the steward's own VM.
fn find_server(cluster: &SimulatedCluster, by_leader: bool) -> usize {
    let leader = cluster.leader();
    let mut servers = 0..cluster.servers.len();
    let found =
        servers.find(|s| (cluster.keeper_of(*s) == leader) == by_leader);
    found.expect("servers are spread over VMs")
}

fn isolate_vm(cluster: &mut SimulatedCluster, vm: usize) {
    for other in 0..cluster.vms.len() {
        cluster.fault(&Fault::CutVms(vm, other));
    }
}

// A keeper is paused and its server checks no fences. Without the wait the
// next keeper starts while the first one may still resume and send.
#[test]
fn a_server_without_fences_waits_for_its_previous_keeper() {
    assert_required(Safeguard::KeeperWait, 4, |safeguards, phase| {
        let mut cluster = started_cluster(safeguards, &[false; 4], phase);
        let server = find_server(&cluster, false);
        let keeper = cluster.keeper_of(server).expect("server has a keeper");
        cluster.fault(&Fault::PauseVm(keeper));
        cluster.run(3_000);
        cluster
    });
}

// A keeper is cut off from its steward and its last order is late. The next
// keeper has raised the fence; without it the late order is accepted.
#[test]
fn a_server_refuses_the_orders_of_its_previous_keeper() {
    assert_required(Safeguard::FenceCheck, 20, |safeguards, phase| {
        let mut cluster = started_cluster(safeguards, &[true; 4], phase);
        let server = find_server(&cluster, false);
        let keeper = cluster.keeper_of(server).expect("server has a keeper");
        let leader = cluster.leader().expect("a steward leads");
        cluster.fault(&Fault::SlowServer(keeper, server, 450));
        cluster.fault(&Fault::CutVms(keeper, leader));
        cluster.run(3_000);
        cluster
    });
}

// A server without fences is granted slices and releases one at once, while a
// duplicate of the grant is still in flight. If it accepted the duplicate, it
// would own that slice again, although another server owns it by then.
#[test]
fn a_duplicate_of_an_acknowledged_grant_restores_nothing() {
    assert_required(Safeguard::GrantCopy, 200, |safeguards, phase| {
        let mut cluster = started_cluster(safeguards, &[false, false], phase);
        cluster.fault(&Fault::Network { loss: 0, duplicate: 100, delay: 300 });
        for (slice, server) in [(0, 1), (0, 0), (1, 1), (1, 0)] {
            cluster.fault(&Fault::Move(slice, server));
            cluster.run(150);
        }
        cluster
    });
}

// A server that checks fences has a new keeper and has released a slice when
// it restarts and loses its fence. The previous keeper, cut off only from the
// steward, sees the new instance. It must not grant the outdated set of
// slices.
#[test]
fn a_restarted_server_gets_no_grant_of_its_previous_keeper() {
    assert_required(Safeguard::RunPermit, 40, |safeguards, phase| {
        let mut cluster = started_cluster(safeguards, &[true; 4], phase);
        let server = find_server(&cluster, false);
        let keeper = cluster.keeper_of(server).expect("server has a keeper");
        let leader = cluster.leader().expect("a steward leads");
        let slice = (0..16).find(|s| cluster.owner(*s) == Some(server));
        cluster.fault(&Fault::CutVms(keeper, leader));
        cluster.run(500);
        let slice = slice.expect("server owns a slice");
        cluster.fault(&Fault::Move(slice, (server + 1) % 4));
        cluster.run(150);
        cluster.fault(&Fault::StartServer(server));
        cluster.run(2_000);
        cluster
    });
}

// The steward has written a roster with a second voter, and is cut off from
// that voter and from the store before the voter confirms. The steward
// continues alone by the previous roster. If the second voter could remove the
// steward from the new roster, it would lead alone too.
#[test]
fn only_an_adopted_roster_is_reduced() {
    assert_required(Safeguard::RosterAdopted, 100, |safeguards, phase| {
        let mut cluster =
            SimulatedCluster::new(2, &[false, false], safeguards);
        cluster.run(2_200 + 2 * phase);
        if let Some(leader) = cluster.leader() {
            cluster.fault(&Fault::CutVms(0, 1));
            cluster.fault(&Fault::CutStore(leader));
        }
        cluster.run(4_000);
        cluster
    });
}

/// The steward's VM is cut off together with the servers that it keeps.
fn isolated_steward(safeguards: Safeguards, phase: u64) -> SimulatedCluster {
    let mut cluster = started_cluster(safeguards, &[false; 4], phase);
    let leader = cluster.leader().expect("a steward leads");
    isolate_vm(&mut cluster, leader);
    cluster.run(4_000);
    cluster
}

// A steward is cut off and permits its own keeper until its time ends. Without
// the wait the next steward assigns the server another keeper at once.
#[test]
fn a_new_steward_waits_until_the_previous_ones_time_has_ended() {
    assert_required(Safeguard::MoveWait, 40, isolated_steward);
}

// As above, but the steward gives permits beyond the end of its own time.
#[test]
fn a_permit_ends_with_its_steward() {
    assert_required(Safeguard::PermitBound, 40, isolated_steward);
}

// A server is cut off only from its keeper and continues to execute. Without
// the wait for the end of its grant its slices are granted to others.
#[test]
fn slices_of_a_lost_server_wait_for_the_end_of_its_grant() {
    assert_required(Safeguard::LossWait, 20, |safeguards, phase| {
        let mut cluster =
            started_cluster(safeguards, &[true, false, true, false], phase);
        let keeper = cluster.keeper_of(0).expect("server has a keeper");
        cluster.fault(&Fault::CutServer(keeper, 0));
        cluster.run(3_000);
        cluster
    });
}

// A server restarts, and with it its clock, while a grant for its previous
// instance waits in a socket and its keeper is cut off. On the new clock that
// grant would last for seconds, long after its slices have moved to others.
#[test]
fn a_grant_for_a_previous_instance_is_refused() {
    assert_required(Safeguard::RunNumber, 60, |safeguards, phase| {
        let mut cluster =
            started_cluster(safeguards, &[true, false, true, false], 0);
        let keeper = cluster.keeper_of(1).expect("server has a keeper");
        cluster.fault(&Fault::SlowServer(keeper, 1, 100));
        cluster.fault(&Fault::Move(0, 1));
        cluster.run(10 * phase);
        cluster.fault(&Fault::StartServer(1));
        cluster.fault(&Fault::CutServer(keeper, 1));
        cluster.run(4_000);
        cluster
    });
}

fn ask(number: u64, roster: u64) -> ConfirmAsk {
    let vm = VmName::new(&format!("vm-{number}")).expect("name is valid");
    ConfirmAsk {
        domain: domain_name(),
        address: Arc::from("10.0.0.1:1"),
        term: TermId::new(number, &vm, 1),
        vm,
        roster,
        established: false,
        counted: 0,
        plan: 1,
        floor: 0,
    }
}

fn local(millis: u64) -> LocalTime {
    LocalTime::from_micros(millis * 1_000)
}

// A VM confirms a steward and is replaced at once. Its new process does not
// know of that confirmation. If it voted now, it could complete the majority
// of a second steward within the first one's time.
#[test]
fn a_voter_is_silent_after_its_start() {
    for (safeguards, answer) in [
        (Safeguards::default(), ConfirmAnswer::Silent),
        (
            Safeguards::without(Safeguard::SilentStart),
            ConfirmAnswer::Confirmed,
        ),
    ] {
        let timing = TermTiming { safeguards, ..TermTiming::default() };
        let mut voter = VoterState::new(local(5_000), timing);
        voter.learn_roster(1);
        assert_eq!(voter.confirm(local(5_010), &ask(2, 1)), answer);
    }
}

// A candidate that was paused during two roster changes sends requests with
// the roster before them. Its majority need not overlap the current one.
#[test]
fn a_voter_refuses_an_old_roster() {
    for (safeguards, confirms) in [
        (Safeguards::default(), false),
        (Safeguards::without(Safeguard::RosterStep), true),
    ] {
        let timing = TermTiming { safeguards, ..TermTiming::default() };
        let mut voter = VoterState::new(local(0), timing);
        voter.learn_roster(3);
        voter.confirm(local(5_000), &ask(1, 3));
        let answer = voter.confirm(local(9_000), &ask(2, 1));
        assert_eq!(answer == ConfirmAnswer::Confirmed, confirms);
    }
}

// A keeper with a slow clock is cut off from a steward with a fast one. Its
// permit lasts 4% longer on its own clock than on the steward's.
#[test]
fn a_permit_ends_in_time_on_a_slow_clock() {
    assert_required(Safeguard::DriftAllowance, 30, |safeguards, phase| {
        let lease = TimeSpan::from_millis(3_000);
        let timing = TermTiming { lease, safeguards, ..TermTiming::default() };
        let mut cluster =
            SimulatedCluster::with_timing(4, &[false; 4], timing);
        cluster.run(20_000);
        cluster.fault(&Fault::Run { millis: 13 * phase, seed: phase });
        let leader = cluster.leader().expect("a steward leads");
        let server = find_server(&cluster, false);
        let keeper = cluster.keeper_of(server).expect("server has a keeper");
        let now = cluster.now;
        cluster.vms[leader].clock.set_rate(now, 1_020);
        cluster.vms[keeper].clock.set_rate(now, 980);
        cluster.run(2_000);
        isolate_vm(&mut cluster, keeper);
        cluster.run(12_000);
        cluster
    });
}

fn token(sequence: u64) -> FenceToken {
    let term = TermId { number: 1, vm: 1, start: 1 };
    FenceToken { term, sequence }
}

fn slice(number: u32) -> SliceIndex {
    SliceIndex::new(number).expect("slice is in range")
}

fn grant(sequence: u64, number: u32, deadline: u64) -> GrantOrder {
    GrantOrder {
        token: token(sequence),
        slices: Some(SliceSet::from_iter([slice(number)])),
        deadline: ServerTime::from_micros(deadline),
        run: 7,
        ..GrantOrder::default()
    }
}

const fn at(micros: u64) -> ServerTime {
    ServerTime::from_micros(micros)
}

// A grant lapses, and another server may own its slice by now. Then an
// extension arrives that waited in a socket. The server must not execute.
#[test]
fn a_late_extension_revives_no_grant() {
    for (safeguards, revived) in [
        (Safeguards::default(), false),
        (Safeguards::without(Safeguard::AcceptBy), true),
    ] {
        let mut holder = GrantHolder::with_safeguards(7, true, safeguards);
        holder.apply(at(0), &grant(1, 3, 1_000));
        let extension = GrantOrder {
            slices: None,
            accept_by: Some(at(1_000)),
            ..grant(1, 3, 2_000)
        };
        holder.apply(at(1_500), &extension);
        assert_eq!(holder.may_start(at(1_600), slice(3), token(1)), revived);
    }
}

// A server without fences was frozen. An order from before its current grant
// arrives after the order's own deadline. If accepted, it would end that
// grant.
#[test]
fn a_late_order_is_refused() {
    for (safeguards, serves) in [
        (Safeguards::default(), true),
        (Safeguards::without(Safeguard::LateOrder), false),
    ] {
        let mut holder = GrantHolder::with_safeguards(7, false, safeguards);
        holder.apply(at(0), &grant(2, 3, 3_000));
        holder.apply(at(1_500), &grant(1, 4, 1_000));
        assert_eq!(holder.may_start(at(1_600), slice(3), token(2)), serves);
    }
}

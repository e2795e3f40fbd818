//! Each safeguard taken out makes a test fail.
//!
//! Every test runs one story twice: with all safeguards nothing is wrong,
//! without the one that it names the oracle objects.

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

use crate::{fault::Fault, standin::domain_name, world::World};

/// Runs a story in many phases; what the oracle first objects to.
fn first_wrong(phases: u64, story: impl Fn(u64) -> World) -> Option<String> {
    (0..phases).find_map(|phase| story(phase).violations.first().cloned())
}

fn assert_needed(
    safeguard: Safeguard,
    phases: u64,
    story: impl Fn(Safeguards, u64) -> World,
) {
    let with = first_wrong(phases, |p| story(Safeguards::default(), p));
    let off = Safeguards::without(safeguard);
    let without = first_wrong(phases, |p| story(off, p));
    assert_eq!(with, None, "with all safeguards");
    assert!(without.is_some(), "nothing is wrong without {safeguard:?}");
}

fn started(safeguards: Safeguards, checks: &[bool], phase: u64) -> World {
    let mut world = World::new(4, checks, safeguards);
    world.run(8_000);
    world.fault(&Fault::Run { millis: 13 * phase, seed: phase });
    world
}

/// A server whose keeper is, or is not, the steward's own VM.
fn server_kept(world: &World, by_leader: bool) -> usize {
    let leader = world.leader();
    let mut servers = 0..world.servers.len();
    let found = servers.find(|s| (world.keeper_of(*s) == leader) == by_leader);
    found.expect("servers are spread over VMs")
}

fn cut_off(world: &mut World, vm: usize) {
    for other in 0..world.vms.len() {
        world.fault(&Fault::CutVms(vm, other));
    }
}

// A keeper is paused and its server checks no fence. Without the wait the
// next keeper begins while the first may wake and send.
#[test]
fn a_server_without_fences_waits_for_its_former_keeper() {
    assert_needed(Safeguard::KeeperWait, 4, |safeguards, phase| {
        let mut world = started(safeguards, &[false; 4], phase);
        let server = server_kept(&world, false);
        let keeper = world.keeper_of(server).expect("it is kept");
        world.fault(&Fault::PauseVm(keeper));
        world.run(3_000);
        world
    });
}

// A keeper is cut off from its steward and its last order is late. The next
// keeper has raised the fence; without it the late order is taken.
#[test]
fn a_server_refuses_the_orders_of_its_former_keeper() {
    assert_needed(Safeguard::FenceCheck, 20, |safeguards, phase| {
        let mut world = started(safeguards, &[true; 4], phase);
        let server = server_kept(&world, false);
        let keeper = world.keeper_of(server).expect("it is kept");
        let leader = world.leader().expect("one leads");
        world.fault(&Fault::SlowServer(keeper, server, 450));
        world.fault(&Fault::CutVms(keeper, leader));
        world.run(3_000);
        world
    });
}

// A server without fences is granted slices and gives one up at once, while
// a second copy of the grant is still on its way. Taken, it would make the
// server own that slice again, which is another's by then.
#[test]
fn a_copy_of_an_answered_grant_takes_nothing_back() {
    assert_needed(Safeguard::GrantCopy, 200, |safeguards, phase| {
        let mut world = started(safeguards, &[false, false], phase);
        world.fault(&Fault::Weather { loss: 0, double: 100, late: 300 });
        for (slice, server) in [(0, 1), (0, 0), (1, 1), (1, 0)] {
            world.fault(&Fault::Move(slice, server));
            world.run(150);
        }
        world
    });
}

// A server that checks fences has got a new keeper, and a slice has left it,
// when it restarts and forgets its fence. The former keeper, cut off from
// the steward alone, sees the new run: it must not grant what it knows.
#[test]
fn a_restarted_server_takes_no_grant_of_its_former_keeper() {
    assert_needed(Safeguard::RunPermit, 40, |safeguards, phase| {
        let mut world = started(safeguards, &[true; 4], phase);
        let server = server_kept(&world, false);
        let keeper = world.keeper_of(server).expect("it is kept");
        let leader = world.leader().expect("one leads");
        let slice = (0..16).find(|s| world.owner(*s) == Some(server));
        world.fault(&Fault::CutVms(keeper, leader));
        world.run(500);
        let slice = slice.expect("it holds some");
        world.fault(&Fault::Move(slice, (server + 1) % 4));
        world.run(150);
        world.fault(&Fault::StartServer(server));
        world.run(2_000);
        world
    });
}

// The steward has written a roster with a second voter, and is cut off from
// it and from the store before that one confirmed. By the roster before it
// goes on alone; were the second one to take it out, that one would too.
#[test]
fn only_a_roster_that_was_adopted_is_reduced() {
    assert_needed(Safeguard::RosterAdopted, 100, |safeguards, phase| {
        let mut world = World::new(2, &[false, false], safeguards);
        world.run(2_200 + 2 * phase);
        if let Some(leader) = world.leader() {
            world.fault(&Fault::CutVms(0, 1));
            world.fault(&Fault::CutStore(leader));
        }
        world.run(4_000);
        world
    });
}

/// The steward's VM is cut off with the servers that it keeps.
fn steward_cut_off(safeguards: Safeguards, phase: u64) -> World {
    let mut world = started(safeguards, &[false; 4], phase);
    let leader = world.leader().expect("one leads");
    cut_off(&mut world, leader);
    world.run(4_000);
    world
}

// A steward is cut off and permits its own keeper to the last. Without the
// wait the next one gives the server another keeper at once.
#[test]
fn a_new_steward_waits_until_the_former_one_is_over() {
    assert_needed(Safeguard::MoveWait, 40, steward_cut_off);
}

// The same, but it permits for longer than it may act itself.
#[test]
fn a_permit_ends_with_its_steward() {
    assert_needed(Safeguard::PermitBound, 40, steward_cut_off);
}

// A server is cut off from its keeper alone and goes on executing. Without
// the wait for its grant's end its slices are granted to others.
#[test]
fn a_lost_server_is_waited_for() {
    assert_needed(Safeguard::LossWait, 20, |safeguards, phase| {
        let mut world =
            started(safeguards, &[true, false, true, false], phase);
        let keeper = world.keeper_of(0).expect("it is kept");
        world.fault(&Fault::CutServer(keeper, 0));
        world.run(3_000);
        world
    });
}

// A server restarts, its clock anew, while a grant for its former run sits
// in a socket, and its keeper loses it. By the new clock that grant would
// last for seconds, long after its slices went to others.
#[test]
fn a_grant_for_a_former_run_is_refused() {
    assert_needed(Safeguard::RunNumber, 60, |safeguards, phase| {
        let mut world = started(safeguards, &[true, false, true, false], 0);
        let keeper = world.keeper_of(1).expect("it is kept");
        world.fault(&Fault::SlowServer(keeper, 1, 100));
        world.fault(&Fault::Move(0, 1));
        world.run(10 * phase);
        world.fault(&Fault::StartServer(1));
        world.fault(&Fault::CutServer(keeper, 1));
        world.run(4_000);
        world
    });
}

fn ask(number: u64, roster: u64) -> ConfirmAsk {
    let vm = VmName::new(&format!("vm-{number}")).expect("a name");
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

// A VM confirms a steward and is replaced at once. Its new process knows
// nothing of that: voting now, it would help a second one to a majority
// within the first one's time.
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

// A candidate that slept through two roster changes asks with the roster
// before them. Its majority need not meet the present one.
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

// A keeper with a slow clock is cut off from a steward with a fast one: by
// the keeper's clock its permit lasts 4% longer than by the steward's.
#[test]
fn clocks_may_differ_in_rate() {
    assert_needed(Safeguard::DriftAllowance, 30, |safeguards, phase| {
        let lease = TimeSpan::from_millis(3_000);
        let timing = TermTiming { lease, safeguards, ..TermTiming::default() };
        let mut world = World::with_timing(4, &[false; 4], timing);
        world.run(20_000);
        world.fault(&Fault::Run { millis: 13 * phase, seed: phase });
        let leader = world.leader().expect("one leads");
        let server = server_kept(&world, false);
        let keeper = world.keeper_of(server).expect("it is kept");
        let now = world.now;
        world.vms[leader].clock.set_rate(now, 1_020);
        world.vms[keeper].clock.set_rate(now, 980);
        world.run(2_000);
        cut_off(&mut world, keeper);
        world.run(12_000);
        world
    });
}

fn token(sequence: u64) -> FenceToken {
    let term = TermId { number: 1, vm: 1, start: 1 };
    FenceToken { term, sequence }
}

fn slice(number: u32) -> SliceIndex {
    SliceIndex::new(number).expect("in range")
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

// A grant lapses, and its slice may be another server's by now. Then an
// extension arrives that sat in a socket: the server must not execute.
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

// A server without fences was frozen; an order from before its present
// grant arrives after its own deadline. Taken, it would end that grant.
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

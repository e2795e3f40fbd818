//! Failures one by one, as a caller sees them.

use goldcrestramp_ownership::Safeguards;

use crate::{fault::Fault, world::World};

/// A key is to be served again within this after a loss.
const AGAIN_WITHIN: u64 = 2_000;

/// A domain that serves everything, some time after its start; the moment
/// differs with the phase.
fn settled(vms: usize, checks: &[bool], phase: u64) -> World {
    let mut world = World::new(vms, checks, Safeguards::default());
    world.run(8_000);
    world.fault(&Fault::Run { millis: 17 * phase, seed: phase });
    assert_eq!(world.served(), world.expected(), "serves before the failure");
    world
}

fn assert_recovered(world: &World) {
    assert!(world.violations.is_empty(), "{:?}", world.violations);
    assert_eq!(world.served(), world.expected());
}

// All VMs and servers start at once with an empty store. The first VM makes
// the roster, wins, waits until a former steward's time would be over, and
// places the slices: callers are served, each key by one server.
#[test]
fn a_cold_start_serves_everything() {
    for (vms, checks) in
        [(1, &[true][..]), (2, &[false, true]), (4, &[true, false, true])]
    {
        let world = settled(vms, checks, 0);
        assert_recovered(&world);
    }
}

// A server stops answering for good. Callers of its keys wait until its
// grant has surely lapsed, then others own them; no other key waits.
#[test]
fn a_lost_server_costs_less_than_two_seconds() {
    for phase in 0..20 {
        let mut world = settled(3, &[true, true, true], phase);
        world.fault(&Fault::KillServer(0));
        let gap = world.worst_gap(4_000);
        assert!(gap < AGAIN_WITHIN, "{gap} ms in phase {phase}");
        assert_recovered(&world);
    }
}

// The VM that leads is lost, and with it the keeper of some servers. Keys
// of other keepers go on; those of this one wait for the next steward.
#[test]
fn a_lost_steward_costs_its_own_keys_less_than_two_seconds() {
    for phase in 0..20 {
        let mut world = settled(4, &[true, true, true, true], phase);
        let leader = world.leader().expect("one leads");
        let others = world.slices_kept_by_others(leader);
        world.fault(&Fault::KillVm(leader));
        let mut untouched = others.clone();
        for _ in 0..400 {
            world.run(10);
            untouched.intersect_with(&world.served());
        }
        assert_eq!(untouched, others, "phase {phase}");
        let gap = world.worst_gap(10);
        assert!(gap == 0, "not served after 4 s in phase {phase}");
        assert_recovered(&world);
    }
}

// A VM that keeps servers is lost while another leads. Their keys wait
// until it is missed, then another VM sends to the same servers.
#[test]
fn a_lost_keeper_costs_less_than_two_seconds() {
    for checks in [true, false] {
        for phase in 0..20 {
            let mut world = settled(4, &[checks; 4], phase);
            let keeper = world.keeper_of(0).expect("it is kept");
            world.fault(&Fault::KillVm(keeper));
            let gap = world.worst_gap(5_000);
            assert!(gap < AGAIN_WITHIN, "{gap} ms, {checks} {phase}");
            assert_recovered(&world);
        }
    }
}

// A rack goes: steward, keeper and server at once. The next steward waits
// until the former one's time is over, asks every server, and places what
// the lost one held with the others.
#[test]
fn a_lost_rack_costs_less_than_two_seconds() {
    for phase in 0..20 {
        let mut world = settled(4, &[true, false, true, true], phase);
        let leader = world.leader().expect("one leads");
        world.fault(&Fault::KillVm(leader));
        world.fault(&Fault::KillServer(1));
        let gap = world.worst_gap(5_000);
        assert!(gap < AGAIN_WITHIN, "{gap} ms in phase {phase}");
        assert_recovered(&world);
    }
}

// A server is drained: its keys move while it still serves the others, and
// each waits only between its release and its grant.
#[test]
fn a_drained_server_gets_no_work_after_a_moment() {
    for phase in 0..20 {
        let mut world = settled(3, &[true, true, false], phase);
        world.fault(&Fault::Drain(0, true));
        let gap = world.worst_gap(4_000);
        assert!(gap < 500, "{gap} ms in phase {phase}");
        assert!((0..16).all(|slice| world.owner(slice) != Some(0)));
        assert_recovered(&world);
    }
}

// A VM leaves: its servers get other keepers and lose no slice.
#[test]
fn a_leaving_vm_keeps_nothing_and_moves_nothing() {
    for phase in 0..20 {
        let mut world = settled(3, &[true, false, false], phase);
        let keeper = world.keeper_of(1).expect("it is kept");
        let owners: Vec<_> = (0..16).map(|slice| world.owner(slice)).collect();
        world.fault(&Fault::LeavingVm(keeper, true));
        let gap = world.worst_gap(4_000);
        assert!(gap < 500, "{gap} ms in phase {phase}");
        assert!((0..3).all(|s| world.keeper_of(s) != Some(keeper)));
        let after: Vec<_> = (0..16).map(|slice| world.owner(slice)).collect();
        assert_eq!(owners, after);
        assert_recovered(&world);
    }
}

// The store goes away and a server is lost meanwhile. The majority still
// confirms, so the domain goes on and its other servers take the keys over.
#[test]
fn a_server_is_lost_while_the_store_is_down() {
    let mut world = settled(3, &[true, false, true], 1);
    world.fault(&Fault::StoreDown);
    let quiet = world.worst_gap(5_000);
    world.fault(&Fault::KillServer(0));
    let gap = world.worst_gap(4_000);
    assert_eq!(quiet, 0, "an outage of the store alone costs nothing");
    assert!(gap < AGAIN_WITHIN, "{gap} ms");
    assert_recovered(&world);
    world.fault(&Fault::StoreUp);
    world.run(4_000);
    assert_eq!(world.recorded(), world.expected(), "written afterwards");
}

// A server freezes past its grant and comes back with old messages in its
// sockets. Its keys have moved: it must not serve one, whatever it reads.
#[test]
fn a_frozen_server_wakes_after_its_grant() {
    for checks in [true, false] {
        let mut world = settled(3, &[checks, true, true], 2);
        world.fault(&Fault::PauseServer(0));
        world.run(5_000);
        let moved = world.owner(0).expect("it moved");
        world.fault(&Fault::ResumeServer(0));
        world.run(3_000);
        assert_ne!(moved, 0);
        assert_eq!(world.owner(0), Some(moved), "nothing moves back");
        assert_recovered(&world);
    }
}

// The steward is paused with a move half done: a slice is released and not
// yet granted. Another leads and places it; the first wakes and must not.
#[test]
fn a_steward_wakes_with_a_move_half_done() {
    for after in [1, 5, 20, 60, 150] {
        let mut world = settled(4, &[false, true, false, true], after);
        let leader = world.leader().expect("one leads");
        world.fault(&Fault::Move(0, 3));
        world.run(after);
        world.fault(&Fault::PauseVm(leader));
        world.run(5_000);
        world.fault(&Fault::ResumeVm(leader));
        world.run(5_000);
        assert_recovered(&world);
    }
}

// A keeper reaches its server and not its steward. Its callers are served
// until its permit ends, then by the server's next keeper.
#[test]
fn a_keeper_is_cut_off_from_its_steward_alone() {
    for server in 0..4 {
        let mut world = settled(4, &[false, true, false, true], 3);
        let leader = world.leader().expect("one leads");
        let keeper = world.keeper_of(server).expect("it is kept");
        world.fault(&Fault::CutVms(keeper, leader));
        world.run(5_000);
        assert!(world.violations.is_empty(), "{:?}", world.violations);
        world.fault(&Fault::HealLinks);
        world.run(5_000);
        assert_recovered(&world);
    }
}

// Every VM is replaced under its old address, one after another; the new
// process knows nothing. No slice changes its server.
#[test]
fn every_vm_is_replaced_in_turn() {
    let mut world = settled(4, &[true, false, true, false], 4);
    let owners: Vec<_> = (0..16).map(|slice| world.owner(slice)).collect();
    for vm in 0..4 {
        world.fault(&Fault::StartVm(vm));
        let gap = world.worst_gap(6_000);
        assert!(gap < AGAIN_WITHIN, "{gap} ms after vm-{vm}");
    }
    let after: Vec<_> = (0..16).map(|slice| world.owner(slice)).collect();
    assert_eq!(owners, after);
    assert_recovered(&world);
}

// The domain splits in two halves, each with a would-be steward, while its
// roster grows from three to four. At most one half decides.
#[test]
fn two_candidates_while_the_roster_changes() {
    for phase in 0..20 {
        let mut world =
            World::new(4, &[true, false, true, false], Safeguards::default());
        world.fault(&Fault::Run { millis: 2_500 + 40 * phase, seed: phase });
        for (a, b) in [(0, 2), (0, 3), (1, 2), (1, 3)] {
            world.fault(&Fault::CutVms(a, b));
        }
        world.run(6_000);
        assert!(world.violations.is_empty(), "{:?}", world.violations);
        world.fault(&Fault::HealLinks);
        world.run(8_000);
        assert_recovered(&world);
    }
}

// A whole domain is cut off from the store for long and healed: nothing
// changes for its callers at any time.
#[test]
fn a_domain_is_cut_off_and_healed() {
    let mut world = settled(3, &[true, false, true], 5);
    (0..3).for_each(|vm| world.fault(&Fault::CutStore(vm)));
    let away = world.worst_gap(20_000);
    world.fault(&Fault::HealLinks);
    let back = world.worst_gap(5_000);
    assert_eq!((away, back), (0, 0));
    assert_recovered(&world);
}

// The store comes back with an older record than was acknowledged, then
// every VM is replaced at once. The newer decision was written again.
#[test]
fn an_acknowledged_record_outlives_older_data() {
    let mut world = settled(3, &[true, true], 6);
    world.fault(&Fault::Move(0, 1));
    world.run(3_000);
    let owners: Vec<_> = (0..16).map(|slice| world.owner(slice)).collect();
    world.fault(&Fault::StoreOld);
    let leader = world.leader().expect("one leads");
    world.fault(&Fault::KillVm(leader));
    world.run(5_000);
    (0..3).for_each(|vm| world.fault(&Fault::StartVm(vm)));
    (0..2).for_each(|server| world.fault(&Fault::StartServer(server)));
    world.run(8_000);
    let after: Vec<_> = (0..16).map(|slice| world.owner(slice)).collect();
    assert_eq!(owners, after);
    assert_recovered(&world);
}

// A domain of two VMs, as some of today's are, loses one for good while the
// store is there. The one that is left has no majority of two; it takes the
// other out of the roster and leads alone, so callers wait less than two
// seconds. Nobody else can have done so: the store takes one change.
#[test]
fn a_domain_of_two_outlives_the_loss_of_either() {
    for phase in 0..20 {
        for lost in 0..2 {
            let mut world = settled(2, &[true, true, true], phase);
            world.fault(&Fault::KillVm(lost));
            let gap = world.worst_gap(6_000);
            assert!(gap < AGAIN_WITHIN, "{gap} ms in phase {phase}");
            assert_recovered(&world);
        }
    }
}

// A slice moves, and soon after it another from the same server, which
// checks no fences. A copy of its grant could still take the second slice
// back; its callers are served by it until that is over.
#[test]
fn a_second_move_waits_for_copies_and_callers_do_not() {
    for checks in [false, true] {
        for phase in 0..20 {
            let mut world = settled(2, &[checks, checks], phase);
            world.fault(&Fault::Move(0, 1));
            let first = world.worst_gap(150);
            world.fault(&Fault::Move(1, 1));
            let second = world.worst_gap(2_000);
            let worst = first.max(second);
            assert!(worst < 250, "{worst} ms, {checks} {phase}");
            assert_eq!(world.owner(1), Some(1));
            assert_recovered(&world);
        }
    }
}

// One of two VMs is stopped on a plan, be it the steward or not. It hands
// its servers over and is taken out of the roster while both are there;
// when it is gone the other has a majority, and callers notice nothing.
#[test]
fn a_planned_stop_of_one_of_two_loses_no_service() {
    for (checks, most) in [(true, 100), (false, 500)] {
        for (phase, leaving) in (0..40).zip([0, 1].into_iter().cycle()) {
            let mut world = settled(2, &[checks; 3], phase);
            world.fault(&Fault::LeavingVm(leaving, true));
            let handing = world.worst_gap(1_500);
            assert!(handing < most, "{handing} ms in phase {phase}");
            assert!(!world.votes(leaving), "still votes in phase {phase}");
            assert!((0..3).all(|s| world.keeper_of(s) != Some(leaving)));
            world.fault(&Fault::KillVm(leaving));
            let gone = world.worst_gap(4_000);
            assert_eq!(gone, 0, "phase {phase}");
            assert_recovered(&world);
        }
    }
}

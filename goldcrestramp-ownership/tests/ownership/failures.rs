//! Failures one by one, as a caller sees them.

use goldcrestramp_ownership::Safeguards;

use crate::{fault::Fault, world::World};

fn settled(vms: usize, checks: &[bool]) -> World {
    let mut world = World::new(vms, checks, Safeguards::default());
    world.run(8_000);
    assert_eq!(world.served(), world.expected(), "serves before the failure");
    world
}

#[test]
fn a_cold_start_serves_everything() {
    let world = settled(3, &[true, false, true]);
    assert!(world.violations.is_empty(), "{:?}", world.violations);
}

#[test]
fn a_lone_vm_serves_everything() {
    let world = settled(1, &[true]);
    assert!(world.violations.is_empty(), "{:?}", world.violations);
}

#[test]
fn a_lost_server_costs_less_than_two_seconds() {
    let mut world = settled(3, &[true, true, true]);
    world.fault(&Fault::KillServer(0));
    let gap = world.worst_gap(4_000);
    assert!(gap < 2_000, "{gap} ms");
    assert_eq!(world.served(), world.expected());
}

#[test]
fn a_drained_server_costs_little() {
    let mut world = settled(3, &[true, true, true]);
    world.fault(&Fault::Drain(0, true));
    let gap = world.worst_gap(4_000);
    assert!(gap < 200, "{gap} ms");
    assert_eq!(world.owner(0).map(|o| o == 0), Some(false));
}

#[test]
fn a_lost_keeper_costs_less_than_two_seconds() {
    let mut world = settled(3, &[true, true, true]);
    let leader = world.keeper_of(0).expect("it is kept");
    world.fault(&Fault::KillVm(leader));
    let gap = world.worst_gap(5_000);
    assert!(gap < 2_000, "{gap} ms");
    assert_eq!(world.served(), world.expected());
}

#[test]
fn a_lost_steward_costs_less_than_two_seconds() {
    let mut world = settled(3, &[true, true, true]);
    let leader = world.leader().expect("one leads");
    world.fault(&Fault::KillVm(leader));
    let gap = world.worst_gap(5_000);
    assert!(gap < 2_000, "{gap} ms");
    assert_eq!(world.served(), world.expected());
}

//! Single failures, and their effect on callers.

use goldcrestramp_ownership::Safeguards;

use crate::{cluster::SimulatedCluster, fault::Fault};

/// A key must be served again within this time after a loss, in ms.
const MAX_RECOVERY_MS: u64 = 2_000;

/// Starts a domain and waits until it serves everything. The time waited
/// depends on the phase.
fn stable_cluster(
    vms: usize,
    checks: &[bool],
    phase: u64,
) -> SimulatedCluster {
    let mut cluster =
        SimulatedCluster::new(vms, checks, Safeguards::default());
    cluster.run(8_000);
    cluster.fault(&Fault::Run { millis: 17 * phase, seed: phase });
    assert_eq!(
        cluster.served(),
        cluster.expected(),
        "all slices are served before the failure"
    );
    cluster
}

fn assert_recovered(cluster: &SimulatedCluster) {
    assert!(cluster.violations.is_empty(), "{:?}", cluster.violations);
    assert_eq!(cluster.served(), cluster.expected());
}

// All VMs and servers start at once with an empty store. The first VM creates
// the roster, is elected, waits until a previous steward's time would have
// ended, and places the slices. Each key is then served by one server.
#[test]
fn a_cold_start_serves_everything() {
    for (vms, checks) in
        [(1, &[true][..]), (2, &[false, true]), (4, &[true, false, true])]
    {
        let cluster = stable_cluster(vms, checks, 0);
        assert_recovered(&cluster);
    }
}

// A server stops responding permanently. Callers of its keys wait until its
// grant has certainly lapsed and other servers own them. No other key waits.
#[test]
fn keys_of_a_lost_server_are_served_within_two_seconds() {
    for phase in 0..20 {
        let mut cluster = stable_cluster(3, &[true, true, true], phase);
        cluster.fault(&Fault::KillServer(0));
        let gap = cluster.longest_gap(4_000);
        assert!(gap < MAX_RECOVERY_MS, "{gap} ms in phase {phase}");
        assert_recovered(&cluster);
    }
}

// The leading VM is lost, and with it the keeper of some servers. Keys of
// other keepers are served without a gap; those of this one wait for the next
// steward.
#[test]
fn a_lost_steward_interrupts_only_its_own_keys() {
    for phase in 0..20 {
        let mut cluster = stable_cluster(4, &[true, true, true, true], phase);
        let leader = cluster.leader().expect("a steward leads");
        let others = cluster.slices_kept_by_others(leader);
        cluster.fault(&Fault::KillVm(leader));
        let mut untouched = others.clone();
        for _ in 0..400 {
            cluster.run(10);
            untouched.intersect_with(&cluster.served());
        }
        assert_eq!(untouched, others, "phase {phase}");
        let gap = cluster.longest_gap(10);
        assert!(gap == 0, "not served after 4 s in phase {phase}");
        assert_recovered(&cluster);
    }
}

// A VM that keeps servers is lost while another VM leads. Their keys wait
// until the loss is detected, then another VM sends to the same servers.
#[test]
fn keys_of_a_lost_keeper_are_served_within_two_seconds() {
    for checks in [true, false] {
        for phase in 0..20 {
            let mut cluster = stable_cluster(4, &[checks; 4], phase);
            let keeper = cluster.keeper_of(0).expect("server has a keeper");
            cluster.fault(&Fault::KillVm(keeper));
            let gap = cluster.longest_gap(5_000);
            assert!(gap < MAX_RECOVERY_MS, "{gap} ms, {checks} {phase}");
            assert_recovered(&cluster);
        }
    }
}

// A rack is lost: steward, keeper and server at once. The next steward waits
// until the previous one's time has ended, queries every server, and places
// the slices of the lost server on the others.
#[test]
fn keys_of_a_lost_rack_are_served_within_two_seconds() {
    for phase in 0..20 {
        let mut cluster = stable_cluster(4, &[true, false, true, true], phase);
        let leader = cluster.leader().expect("a steward leads");
        cluster.fault(&Fault::KillVm(leader));
        cluster.fault(&Fault::KillServer(1));
        let gap = cluster.longest_gap(5_000);
        assert!(gap < MAX_RECOVERY_MS, "{gap} ms in phase {phase}");
        assert_recovered(&cluster);
    }
}

// A server is drained. Its keys move one after another while it still serves
// the others, and each waits only between its release and its grant.
#[test]
fn a_drained_server_soon_owns_no_slice() {
    for phase in 0..20 {
        let mut cluster = stable_cluster(3, &[true, true, false], phase);
        cluster.fault(&Fault::Drain(0, true));
        let gap = cluster.longest_gap(4_000);
        assert!(gap < 500, "{gap} ms in phase {phase}");
        assert!((0..16).all(|slice| cluster.owner(slice) != Some(0)));
        assert_recovered(&cluster);
    }
}

// A VM leaves. Its servers get other keepers and lose no slice.
#[test]
fn a_leaving_vm_keeps_nothing_and_moves_nothing() {
    for phase in 0..20 {
        let mut cluster = stable_cluster(3, &[true, false, false], phase);
        let keeper = cluster.keeper_of(1).expect("server has a keeper");
        let owners: Vec<_> =
            (0..16).map(|slice| cluster.owner(slice)).collect();
        cluster.fault(&Fault::LeavingVm(keeper, true));
        let gap = cluster.longest_gap(4_000);
        assert!(gap < 500, "{gap} ms in phase {phase}");
        assert!((0..3).all(|s| cluster.keeper_of(s) != Some(keeper)));
        let after: Vec<_> =
            (0..16).map(|slice| cluster.owner(slice)).collect();
        assert_eq!(owners, after);
        assert_recovered(&cluster);
    }
}

// A server is lost during an outage of the store. The majority still confirms,
// so the domain continues and its other servers take over the keys.
#[test]
fn a_lost_server_is_replaced_while_the_store_is_down() {
    let mut cluster = stable_cluster(3, &[true, false, true], 1);
    cluster.fault(&Fault::StoreDown);
    let quiet = cluster.longest_gap(5_000);
    cluster.fault(&Fault::KillServer(0));
    let gap = cluster.longest_gap(4_000);
    assert_eq!(quiet, 0, "an outage of the store alone interrupts nothing");
    assert!(gap < MAX_RECOVERY_MS, "{gap} ms");
    assert_recovered(&cluster);
    cluster.fault(&Fault::StoreUp);
    cluster.run(4_000);
    assert_eq!(
        cluster.recorded(),
        cluster.expected(),
        "the record is written after the outage"
    );
}

// A server freezes past the end of its grant and resumes with old messages in
// its sockets. Its keys have moved, so it must not serve any of them, whatever
// these messages contain.
#[test]
fn a_server_frozen_past_its_grant_serves_no_moved_slice() {
    for checks in [true, false] {
        let mut cluster = stable_cluster(3, &[checks, true, true], 2);
        cluster.fault(&Fault::PauseServer(0));
        cluster.run(5_000);
        let moved = cluster.owner(0).expect("slice has moved");
        cluster.fault(&Fault::ResumeServer(0));
        cluster.run(3_000);
        assert_ne!(moved, 0);
        assert_eq!(cluster.owner(0), Some(moved), "nothing moves back");
        assert_recovered(&cluster);
    }
}

// The steward is paused in the middle of a move, when a slice is released and
// not yet granted. Another steward places the slice, and the first one must
// not place it when it resumes.
#[test]
fn a_paused_steward_does_not_finish_its_move() {
    for after in [1, 5, 20, 60, 150] {
        let mut cluster =
            stable_cluster(4, &[false, true, false, true], after);
        let leader = cluster.leader().expect("a steward leads");
        cluster.fault(&Fault::Move(0, 3));
        cluster.run(after);
        cluster.fault(&Fault::PauseVm(leader));
        cluster.run(5_000);
        cluster.fault(&Fault::ResumeVm(leader));
        cluster.run(5_000);
        assert_recovered(&cluster);
    }
}

// A keeper reaches its server but not its steward. It serves its callers until
// its permit ends, then the server's next keeper does.
#[test]
fn a_keeper_cut_off_from_its_steward_is_replaced() {
    for server in 0..4 {
        let mut cluster = stable_cluster(4, &[false, true, false, true], 3);
        let leader = cluster.leader().expect("a steward leads");
        let keeper = cluster.keeper_of(server).expect("server has a keeper");
        cluster.fault(&Fault::CutVms(keeper, leader));
        cluster.run(5_000);
        assert!(cluster.violations.is_empty(), "{:?}", cluster.violations);
        cluster.fault(&Fault::HealLinks);
        cluster.run(5_000);
        assert_recovered(&cluster);
    }
}

// Every VM is replaced in turn under its old address by a process without any
// state. No slice changes its server.
#[test]
fn replacing_every_vm_in_turn_moves_no_slice() {
    let mut cluster = stable_cluster(4, &[true, false, true, false], 4);
    let owners: Vec<_> = (0..16).map(|slice| cluster.owner(slice)).collect();
    for vm in 0..4 {
        cluster.fault(&Fault::StartVm(vm));
        let gap = cluster.longest_gap(6_000);
        assert!(gap < MAX_RECOVERY_MS, "{gap} ms after vm-{vm}");
    }
    let after: Vec<_> = (0..16).map(|slice| cluster.owner(slice)).collect();
    assert_eq!(owners, after);
    assert_recovered(&cluster);
}

// The domain is partitioned into two halves, each with a candidate, while its
// roster grows from three to four. At most one half may elect a steward.
#[test]
fn two_candidates_during_a_roster_change_elect_one_steward() {
    for phase in 0..20 {
        let mut cluster = SimulatedCluster::new(
            4,
            &[true, false, true, false],
            Safeguards::default(),
        );
        cluster.fault(&Fault::Run { millis: 2_500 + 40 * phase, seed: phase });
        for (a, b) in [(0, 2), (0, 3), (1, 2), (1, 3)] {
            cluster.fault(&Fault::CutVms(a, b));
        }
        cluster.run(6_000);
        assert!(cluster.violations.is_empty(), "{:?}", cluster.violations);
        cluster.fault(&Fault::HealLinks);
        cluster.run(8_000);
        assert_recovered(&cluster);
    }
}

// A whole domain is cut off from the store for a long time and reconnected.
// Its callers notice nothing at any time.
#[test]
fn a_domain_cut_off_from_the_store_serves_without_a_gap() {
    let mut cluster = stable_cluster(3, &[true, false, true], 5);
    (0..3).for_each(|vm| cluster.fault(&Fault::CutStore(vm)));
    let away = cluster.longest_gap(20_000);
    cluster.fault(&Fault::HealLinks);
    let back = cluster.longest_gap(5_000);
    assert_eq!((away, back), (0, 0));
    assert_recovered(&cluster);
}

// The store is restored with a record older than the acknowledged one, then
// every VM is replaced at once. The newer decision must have been written
// again by then.
#[test]
fn an_acknowledged_record_survives_a_restored_store() {
    let mut cluster = stable_cluster(3, &[true, true], 6);
    cluster.fault(&Fault::Move(0, 1));
    cluster.run(3_000);
    let owners: Vec<_> = (0..16).map(|slice| cluster.owner(slice)).collect();
    cluster.fault(&Fault::StoreRestored);
    let leader = cluster.leader().expect("a steward leads");
    cluster.fault(&Fault::KillVm(leader));
    cluster.run(5_000);
    (0..3).for_each(|vm| cluster.fault(&Fault::StartVm(vm)));
    (0..2).for_each(|server| cluster.fault(&Fault::StartServer(server)));
    cluster.run(8_000);
    let after: Vec<_> = (0..16).map(|slice| cluster.owner(slice)).collect();
    assert_eq!(owners, after);
    assert_recovered(&cluster);
}

// A domain of two VMs permanently loses one while the store is available. The
// remaining VM has no majority of two, so it removes the other from the roster
// and leads alone, and callers wait less than two seconds. The other VM cannot
// have done the same, because the store accepts only one change.
#[test]
fn a_domain_of_two_survives_the_loss_of_either_vm() {
    for phase in 0..20 {
        for lost in 0..2 {
            let mut cluster = stable_cluster(2, &[true, true, true], phase);
            cluster.fault(&Fault::KillVm(lost));
            let gap = cluster.longest_gap(6_000);
            assert!(gap < MAX_RECOVERY_MS, "{gap} ms in phase {phase}");
            assert_recovered(&cluster);
        }
    }
}

// A slice moves, and soon afterwards another one from the same server, which
// checks no fences. A duplicate of that server's grant could still restore the
// second slice there, so the server serves it until no duplicate can arrive.
#[test]
fn a_second_move_waits_for_duplicates_while_served() {
    for checks in [false, true] {
        for phase in 0..20 {
            let mut cluster = stable_cluster(2, &[checks, checks], phase);
            cluster.fault(&Fault::Move(0, 1));
            let first = cluster.longest_gap(150);
            cluster.fault(&Fault::Move(1, 1));
            let second = cluster.longest_gap(2_000);
            let worst = first.max(second);
            assert!(worst < 250, "{worst} ms, {checks} {phase}");
            assert_eq!(cluster.owner(1), Some(1));
            assert_recovered(&cluster);
        }
    }
}

// One of two VMs, the steward or the other one, is stopped as planned. While
// both run, it hands over its servers and is removed from the roster. After
// the stop the other VM has a majority, and callers notice nothing.
#[test]
fn a_planned_stop_of_one_of_two_keeps_a_majority() {
    for (checks, max_gap) in [(true, 100), (false, 500)] {
        for (phase, leaving) in (0..40).zip([0, 1].into_iter().cycle()) {
            let mut cluster = stable_cluster(2, &[checks; 3], phase);
            cluster.fault(&Fault::LeavingVm(leaving, true));
            let handing = cluster.longest_gap(1_500);
            assert!(handing < max_gap, "{handing} ms in phase {phase}");
            assert!(!cluster.votes(leaving), "still votes in phase {phase}");
            assert!((0..3).all(|s| cluster.keeper_of(s) != Some(leaving)));
            cluster.fault(&Fault::KillVm(leaving));
            let gone = cluster.longest_gap(4_000);
            assert_eq!(gone, 0, "phase {phase}");
            assert_recovered(&cluster);
        }
    }
}

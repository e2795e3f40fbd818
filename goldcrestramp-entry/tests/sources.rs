//! Which VM follows which, by capacity and failure domain.

use goldcrestramp_entry::{
    control::{claim_delay, fallback_vms, is_large, neighbor_vms, source_vms},
    records::VmInstance,
};
use goldcrestramp_types::TimeSpan;

const LARGE: u32 = 50;
const SMALL: u32 = 10;

fn vm(name: &str, domain: &str, capacity: u32) -> VmInstance {
    VmInstance {
        vm: name.into(),
        start: 1,
        domain: domain.into(),
        address: ([10, 0, 0, 1], 7_540).into(),
        capacity,
        relay_address: None,
    }
}

/// The VMs that `me` may follow; the region of a domain is the first 5 bytes
/// of its name.
fn sources_of<'a>(
    me: &VmInstance,
    vms: &'a [VmInstance],
) -> Vec<&'a VmInstance> {
    let region = &me.domain[..5];
    source_vms(me, vms, |domain| domain.starts_with(region))
}

/// Two large VMs and four small ones in each failure domain: two domains in
/// the north, one in the south.
fn fleet() -> Vec<VmInstance> {
    let mut vms = Vec::new();
    for domain in ["north-a", "north-b", "south-a"] {
        for number in 0..6 {
            let capacity = if number < 2 { LARGE } else { SMALL };
            vms.push(vm(&format!("{domain}-{number}"), domain, capacity));
        }
    }
    vms
}

fn sources<'a>(vms: &'a [VmInstance], name: &str) -> Vec<&'a VmInstance> {
    let me = vm(name, &name[..name.len() - 2], SMALL);
    let known = vms.iter().find(|vm| &*vm.vm == name);
    sources_of(known.unwrap_or(&me), vms)
}

#[test]
fn a_small_vm_follows_the_large_vms_of_its_domain_first() {
    let vms = fleet();

    let sources = sources(&vms, "north-a-4");

    let domains: Vec<&str> = sources.iter().map(|vm| &*vm.domain).collect();
    assert_eq!(domains, ["north-a", "north-a", "north-b"]);
    assert!(sources.iter().all(|vm| vm.capacity == LARGE));
}

/// Guards against narrow links that are filled by the store's updates, if
/// small VMs follow the store.
#[test]
fn without_a_large_vm_a_domain_follows_large_vms_of_others() {
    let mut vms = fleet();
    vms.retain(|vm| &*vm.domain != "north-a" || vm.capacity == SMALL);

    for number in 2..6 {
        let sources = sources(&vms, &format!("north-a-{number}"));

        let domains: Vec<&str> =
            sources.iter().map(|vm| &*vm.domain).collect();
        assert_eq!(domains, ["north-b", "south-a"]);
    }
}

/// Guards against chains of sources, in which a source follows another source.
#[test]
fn the_first_source_follows_the_store() {
    for lost in 0..fleet().len() {
        let mut vms = fleet();
        vms.remove(lost);
        for me in &vms {
            let Some(first) = sources_of(me, &vms).first().copied() else {
                continue;
            };
            assert!(sources_of(first, &vms).is_empty());
        }
    }
}

/// Guards against a large VM that follows a VM of another domain while others
/// count on it to replace the first.
#[test]
fn the_second_large_vm_follows_the_first() {
    let vms = fleet();
    let small = sources(&vms, "north-a-4");
    let [first, second] = [small[0], small[1]];

    assert_eq!(sources_of(second, &vms), [first]);
}

#[test]
fn among_equal_vms_one_of_each_domain_follows_the_store() {
    let mut vms = fleet();
    for vm in &mut vms {
        vm.capacity = LARGE;
    }

    let followers = vms.iter().filter(|vm| sources_of(vm, &vms).is_empty());

    assert_eq!(followers.count(), 3);
}

/// Guards against unresponsive sources that use up the time within which a
/// change must be known.
#[test]
fn a_vm_has_at_most_three_sources() {
    let vms = fleet();

    for me in &vms {
        assert!(sources_of(me, &vms).len() <= 3);
    }
}

/// Guards against querying a VM whose updates come from the source that
/// failed.
#[test]
fn a_vm_whose_sources_fail_queries_large_vms() {
    let vms = fleet();
    for me in &vms {
        let fallback = fallback_vms(me, &vms);

        assert!(fallback.iter().all(|vm| vm.capacity == LARGE));
        assert!(fallback.iter().all(|vm| vm.vm != me.vm));
        assert_eq!(fallback.len(), if is_large(me, &vms) { 5 } else { 6 });
    }
}

#[test]
fn without_large_vms_all_vms_may_be_queried() {
    let mut vms = fleet();
    vms.retain(|vm| vm.capacity == SMALL);

    assert!(vms.iter().all(|vm| is_large(vm, &vms)));
    assert_eq!(fallback_vms(&vms[0], &vms).len(), vms.len() - 1);
}

/// Guards against keys whose grants expire because most VMs of a large fleet
/// are lost or partitioned, and the next one waits for each of them.
#[test]
fn a_claim_waits_two_seconds_at_most() {
    let delays: Vec<TimeSpan> = (0..640).map(claim_delay).collect();

    assert_eq!(delays[0], TimeSpan::ZERO);
    assert_eq!(delays[1], TimeSpan::from_millis(150));
    assert!(delays.is_sorted());
    assert!(delays[639] <= TimeSpan::from_millis(2_000), "{delays:?}");
}

/// Guards against questions that cross the link between regions, and that go
/// to VMs which do not follow the store.
#[test]
fn neighbors_are_of_the_own_region_and_follow_the_store_first() {
    let vms = fleet();
    let me = vms.iter().find(|vm| &*vm.vm == "north-a-4");
    let me = me.expect("the fleet has the VM");

    let neighbors = neighbor_vms(me, &vms, |d| d.starts_with("north"));

    let domains: Vec<&str> = neighbors.iter().map(|vm| &*vm.domain).collect();
    assert_eq!(domains, ["north-b", "north-a", "north-a"]);
    assert!(neighbors.iter().all(|vm| vm.capacity == LARGE));
}

/// Guards against two VMs that ask each other and wait for the store's changes
/// forever.
#[test]
fn a_vm_asks_no_worse_ranked_vm_of_its_failure_domain() {
    let vms = fleet();
    let in_domain = vms.iter().filter(|vm| &*vm.domain == "north-a");
    let first = in_domain.max_by_key(|vm| vm.duty_rank());
    let first = first.expect("the failure domain has VMs");

    let neighbors = neighbor_vms(first, &vms, |d| d.starts_with("north"));

    assert!(neighbors.iter().all(|vm| &*vm.domain == "north-b"));
}

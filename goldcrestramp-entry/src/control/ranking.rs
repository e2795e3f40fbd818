//! Which VMs follow the store, and which VM follows which.
//!
//! One VM of each failure domain follows the store for the others. Where VMs
//! differ, only large ones do: each change of the configuration and each
//! heartbeat crosses the link of a VM that follows the store.

use std::cmp::Reverse;

use goldcrestramp_types::FastMap;

use crate::records::VmInstance;

/// The VMs of its own failure domain that a VM may follow.
const MAX_SOURCES_IN_DOMAIN: usize = 2;

/// The VMs that a VM may follow, in all. Each that is silent costs a part of
/// the time in which a change has to be known.
const MAX_SOURCES: usize = 3;

/// A VM is large if it has at least this part of what the largest has.
const LARGE_PERCENT: u64 = 50;

/// Whether a VM may plan and be followed while others like it are there.
#[must_use]
pub fn is_large(me: &VmInstance, vms: &[VmInstance]) -> bool {
    has_large_capacity(me, largest_of(me, vms))
}

/// The largest capacity there is.
fn largest_of(me: &VmInstance, vms: &[VmInstance]) -> u32 {
    let others = vms.iter().map(|vm| vm.capacity).max();
    others.unwrap_or(0).max(me.capacity)
}

fn has_large_capacity(vm: &VmInstance, largest: u32) -> bool {
    u64::from(vm.capacity) * 100 >= u64::from(largest) * LARGE_PERCENT
}

/// The VMs that `me` may follow, best first; none: it follows the store.
/// `is_near` tells the failure domains of its own region.
///
/// A large VM follows those of its own failure domain alone, so that it
/// takes the place of one that fails. For a small one those of other failure
/// domains come last, the ones of its own region before the others.
///
/// Small VMs are no sources: heartbeats and whole configurations from the
/// store would fill their links, and callers' requests wait behind them.
#[must_use]
pub fn source_vms<'a>(
    me: &VmInstance,
    vms: &'a [VmInstance],
    is_near: impl Fn(&str) -> bool,
) -> Vec<&'a VmInstance> {
    let largest = largest_of(me, vms);
    let is_large = |vm: &VmInstance| has_large_capacity(vm, largest);
    let large: Vec<&VmInstance> =
        vms.iter().filter(|vm| is_large(vm)).collect();
    let mut sources = large.clone();
    sources.retain(|vm| {
        vm.domain == me.domain
            && (!is_large(me) || vm.duty_rank() > me.duty_rank())
    });
    sources.sort_unstable_by_key(|vm| Reverse(vm.duty_rank()));
    sources.truncate(MAX_SOURCES_IN_DOMAIN);
    if is_large(me) {
        return sources;
    }
    let mut leaders = domain_leaders(large);
    leaders.retain(|vm| vm.domain != me.domain);
    leaders.sort_unstable_by_key(|vm| {
        Reverse((is_near(&vm.domain), vm.duty_rank()))
    });
    sources.extend(leaders);
    sources.truncate(MAX_SOURCES);
    sources
}

/// The VMs that `me` may ask when its own sources fail: the other large
/// ones, whose news come from the store or from one VM that follows it.
#[must_use]
pub fn fallback_vms<'a>(
    me: &VmInstance,
    vms: &'a [VmInstance],
) -> Vec<&'a VmInstance> {
    let largest = largest_of(me, vms);
    let others = || vms.iter().filter(|vm| vm.vm != me.vm);
    let large: Vec<&VmInstance> =
        others().filter(|vm| has_large_capacity(vm, largest)).collect();
    if large.is_empty() { others().collect() } else { large }
}

/// The best ranked VM of each failure domain.
fn domain_leaders(vms: Vec<&VmInstance>) -> Vec<&VmInstance> {
    let mut leaders: FastMap<&str, &VmInstance> = FastMap::default();
    for vm in vms {
        let head = leaders.entry(&vm.domain).or_insert(vm);
        if vm.duty_rank() > head.duty_rank() {
            *head = vm;
        }
    }
    leaders.into_values().collect()
}

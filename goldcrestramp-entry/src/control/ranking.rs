//! Which VMs follow the store, and which VM follows which.
//!
//! One VM of each failure domain follows the store for the others. Where VMs
//! differ, only large ones do: each change of the configuration and each
//! heartbeat crosses the link of a VM that follows the store.

use std::cmp::Reverse;

use goldcrestramp_types::FastMap;

use crate::records::VmRun;

/// The VMs of its own failure domain that a VM may follow.
const INSIDE_MOST: usize = 2;

/// The VMs that a VM may follow, in all. Each that is silent costs a part of
/// the time in which a change has to be known.
const SOURCES_MOST: usize = 3;

/// A VM is large if it has at least this part of what the largest has.
const LARGE_PERCENT: u64 = 50;

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
    me: &VmRun,
    vms: &'a [VmRun],
    is_near: impl Fn(&str) -> bool,
) -> Vec<&'a VmRun> {
    let largest = vms.iter().map(|vm| vm.capacity).max();
    let largest = largest.unwrap_or(0).max(me.capacity);
    let is_large = |vm: &VmRun| {
        u64::from(vm.capacity) * 100 >= u64::from(largest) * LARGE_PERCENT
    };
    let large: Vec<&VmRun> = vms.iter().filter(|vm| is_large(vm)).collect();
    let mut sources = large.clone();
    sources.retain(|vm| {
        vm.domain == me.domain
            && (!is_large(me) || vm.duty_rank() > me.duty_rank())
    });
    sources.sort_unstable_by_key(|vm| Reverse(vm.duty_rank()));
    sources.truncate(INSIDE_MOST);
    if is_large(me) {
        return sources;
    }
    let mut heads = domain_heads(large);
    heads.retain(|vm| vm.domain != me.domain);
    heads.sort_unstable_by_key(|vm| {
        Reverse((is_near(&vm.domain), vm.duty_rank()))
    });
    sources.extend(heads);
    sources.truncate(SOURCES_MOST);
    sources
}

/// The best ranked VM of each failure domain.
fn domain_heads(vms: Vec<&VmRun>) -> Vec<&VmRun> {
    let mut heads: FastMap<&str, &VmRun> = FastMap::default();
    for vm in vms {
        let head = heads.entry(&vm.domain).or_insert(vm);
        if vm.duty_rank() > head.duty_rank() {
            *head = vm;
        }
    }
    heads.into_values().collect()
}

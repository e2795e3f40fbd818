//! Decides which VMs follow the store, and which VM follows which.
//!
//! One VM of each failure domain follows the store for the others. Where VMs
//! differ in capacity, only large ones follow it: each change of the
//! configuration and each heartbeat crosses the link of a VM that follows the
//! store.

use std::cmp::Reverse;

use goldcrestramp_types::{FastMap, TimeSpan};

use crate::records::VmInstance;

/// The maximum number of VMs of its own failure domain that a VM may follow.
const MAX_SOURCES_IN_DOMAIN: usize = 2;

/// The maximum number of VMs that a VM may follow in total. Each that does not
/// respond costs a part of the time within which a change must be known.
const MAX_SOURCES: usize = 3;

/// The maximum number of VMs that a VM asks when its sources fail. Each that
/// does not respond costs 0.6 s.
const MAX_NEIGHBORS: usize = 4;

/// A VM is large if it has at least this percentage of the largest VM's
/// capacity.
const LARGE_PERCENT: u64 = 50;

/// How long a VM waits for each of the first VMs of a better rank before it
/// claims to be the planner. The best-ranked live VM has finished its claim by
/// then, so no two VMs write.
const RANK_DELAY: TimeSpan = TimeSpan::from_millis(150);

/// The ranks up to which the delay grows by the same step. Most VMs of a fleet
/// may be lost or partitioned at once, and grants last for seconds, so from
/// then on each step doubles the rank.
const LINEAR_RANKS: u64 = 6;

/// How long a VM waits before it claims to be the planner, if `rank` VMs rank
/// before it.
#[must_use]
pub fn claim_delay(rank: usize) -> TimeSpan {
    let rank = u64::try_from(rank).unwrap_or(u64::MAX);
    let Some(doublings) = (rank / LINEAR_RANKS).checked_ilog2() else {
        return RANK_DELAY.percent(100 * rank);
    };
    let base = LINEAR_RANKS << doublings;
    let fraction = 100 * (rank - base) / base;
    let steps = LINEAR_RANKS + u64::from(doublings);
    RANK_DELAY.percent(100 * steps + fraction)
}

/// Whether a VM is large, so that it may plan and be followed while `vms` are
/// present.
#[must_use]
pub fn is_large(me: &VmInstance, vms: &[VmInstance]) -> bool {
    has_large_capacity(me, largest_of(me, vms))
}

/// The largest capacity of any VM, this one included.
fn largest_of(me: &VmInstance, vms: &[VmInstance]) -> u32 {
    let others = vms.iter().map(|vm| vm.capacity).max();
    others.unwrap_or(0).max(me.capacity)
}

fn has_large_capacity(vm: &VmInstance, largest: u32) -> bool {
    u64::from(vm.capacity) * 100 >= u64::from(largest) * LARGE_PERCENT
}

/// The VMs that `me` may follow, best first; if there are none, it follows the
/// store. `is_near` says whether a failure domain is in the region of `me`.
///
/// A large VM follows only large VMs of its own failure domain, so that it can
/// replace one that fails. For a small VM, those of other failure domains come
/// last, the ones of its own region before the others.
///
/// Small VMs are never sources: heartbeats and full configurations from the
/// store would fill their links, and callers' requests would wait behind them.
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

/// The VMs that may hand the store's contents to `me` while it starts, best
/// first: the better-ranked ones of its failure domain, the only ones that it
/// knows then.
#[must_use]
pub fn starting_vms<'a>(
    me: &VmInstance,
    vms: &'a [VmInstance],
) -> Vec<&'a VmInstance> {
    let is_better = |vm: &&VmInstance| {
        vm.domain == me.domain && vm.duty_rank() > me.duty_rank()
    };
    let mut better: Vec<&VmInstance> = vms.iter().filter(is_better).collect();
    better.sort_unstable_by_key(|vm| Reverse(vm.duty_rank()));
    better
}

/// The VMs that `me` may query when its own sources fail: the other large
/// ones, whose updates come from the store or from one VM that follows it. If
/// there are none, all other VMs.
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

/// The VMs of its own region that `me` asks for changes when its sources fail
/// and load control is on, best first: those that follow the store for the
/// other failure domains, then the better-ranked ones of its own.
#[must_use]
pub fn neighbor_vms<'a>(
    me: &VmInstance,
    vms: &'a [VmInstance],
    is_near: impl Fn(&str) -> bool,
) -> Vec<&'a VmInstance> {
    let largest = largest_of(me, vms);
    let is_large = |vm: &&VmInstance| has_large_capacity(vm, largest);
    let large: Vec<&VmInstance> = vms.iter().filter(is_large).collect();
    let mut neighbors = domain_leaders(large.clone());
    neighbors.retain(|vm| vm.domain != me.domain && is_near(&vm.domain));
    neighbors.sort_unstable_by_key(|vm| Reverse(vm.duty_rank()));
    let mut own = large;
    own.retain(|vm| vm.domain == me.domain && vm.duty_rank() > me.duty_rank());
    own.sort_unstable_by_key(|vm| Reverse(vm.duty_rank()));
    neighbors.extend(own);
    neighbors.truncate(MAX_NEIGHBORS);
    neighbors
}

/// The best-ranked VM of each failure domain.
fn domain_leaders(vms: Vec<&VmInstance>) -> Vec<&VmInstance> {
    let mut leaders: FastMap<&str, &VmInstance> = FastMap::default();
    for vm in vms {
        let leader = leaders.entry(&vm.domain).or_insert(vm);
        if vm.duty_rank() > leader.duty_rank() {
            *leader = vm;
        }
    }
    leaders.into_values().collect()
}

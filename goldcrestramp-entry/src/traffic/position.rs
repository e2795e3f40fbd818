//! The position of a VM in an order on which all VMs agree.

use goldcrestramp_decisions::FleetPosition;
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// The position of `vm` among `vms`. Each seed gives another order.
pub(super) fn position_among<'a>(
    vm: &str,
    vms: impl Iterator<Item = &'a str>,
    seed: u64,
) -> FleetPosition {
    let weight = |vm: &str| xxh3_64_with_seed(vm.as_bytes(), seed);
    let own = weight(vm);
    let mut position = FleetPosition { vms: 0, rank: 0 };
    for other in vms {
        position.vms += 1;
        position.rank += usize::from(weight(other) < own);
    }
    position
}

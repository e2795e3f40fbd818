//! Chooses the VM to which a VM that reaches no server passes a request.
//!
//! Several VMs may be partitioned at once, most of a failure domain or of the
//! fleet, and they pass on all their requests. Each chooses by its own
//! requests in flight, so that the load spreads over the VMs that are left
//! instead of filling the nearest one. VMs that have served requests are
//! preferred: in a large fleet most attempts at others would find VMs that
//! reach no server either.

use crate::pool::ServerProximity;

/// Another VM with this VM's measurements.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct RelayCandidate {
    /// How close the VM is.
    pub proximity: ServerProximity,
    /// How many of this VM's requests may be in flight through it; 0 if none
    /// may be sent.
    pub limit: usize,
    /// How many of this VM's requests are in flight through it.
    pub in_flight: usize,
    /// Whether it has served a request for this VM recently.
    pub is_proven: bool,
}

impl RelayCandidate {
    /// The requests in flight that a nearer VM may have more than this one
    /// before this one is chosen. Volume between failure domains is paid for,
    /// and the link between regions is narrow.
    const fn handicap(self) -> usize {
        let distance = match self.proximity {
            ServerProximity::SameDomain => 0,
            ServerProximity::SameRegion => 2,
            ServerProximity::Remote => 16,
        };
        let doubt = if self.is_proven { 0 } else { 4 };
        distance + doubt
    }
}

/// Chooses the VM to pass a request to; of equal ones the first. `None` if
/// none may be sent one.
///
/// # Example
///
/// ```
/// use goldcrestramp_decisions::{
///     RelayCandidate, ServerProximity, choose_relay,
/// };
///
/// let near = RelayCandidate {
///     proximity: ServerProximity::SameDomain,
///     limit: 64,
///     in_flight: 1,
///     is_proven: true,
/// };
/// let proximity = ServerProximity::SameRegion;
/// let next = RelayCandidate { proximity, in_flight: 0, ..near };
/// assert_eq!(choose_relay(&[next, near]), Some(1));
/// let busy = RelayCandidate { in_flight: 5, ..near };
/// assert_eq!(choose_relay(&[next, busy]), Some(0));
/// ```
#[must_use]
pub fn choose_relay(candidates: &[RelayCandidate]) -> Option<usize> {
    let usable = candidates
        .iter()
        .enumerate()
        .filter(|(_position, vm)| vm.in_flight < vm.limit);
    let best = usable.min_by_key(|(_position, vm)| {
        (vm.in_flight + vm.handicap(), vm.proximity)
    });
    best.map(|(position, _vm)| position)
}

//! Bounds the requests that one VM may have in flight to a server.
//!
//! A hot key is requested at every VM, while its owner runs a few requests at
//! once and queues some more. VMs can't see each other's requests in flight.
//! If each may send two, a fleet with more VMs than the server has capacity
//! fills its queue twice over, and a server that doesn't respond to requests
//! beyond its queue leaves the rest waiting until their deadlines.

use goldcrestramp_types::TimeSpan;

/// The requests of all VMs in flight to a server, for each of its slots: one
/// runs and one waits, so that no slot is idle during a round trip.
const FLEET_DEPTH: usize = 2;

/// The requests that a server accepts for each of its slots: one runs, the
/// others are queued.
const CAPACITY_PER_SLOT: usize = 5;

/// The share of the target latency up to which responses show that a server
/// has room.
const ROOM_PERCENT: u64 = 50;

/// The requests that a VM may have in flight to a server of its window, whose
/// responses take `latency`: a second one while they come well before the
/// target, or a VM with more callers than others would refuse some while its
/// servers are idle.
#[must_use]
pub fn window_share(
    slots: usize,
    senders: usize,
    latency: TimeSpan,
    target: TimeSpan,
) -> usize {
    let fits = !is_crowded(slots, 2 * senders);
    if fits && latency <= target.percent(ROOM_PERCENT) { 2 } else { 1 }
}

/// Whether one request from each of `senders` VMs is more than a server with
/// `slots` slots accepts.
#[must_use]
pub const fn is_crowded(slots: usize, senders: usize) -> bool {
    senders > slots * CAPACITY_PER_SLOT
}

/// The requests that a VM may have in flight to a server with `slots` slots,
/// to which `senders` VMs send.
///
/// # Example
///
/// ```
/// use goldcrestramp_decisions::server_share;
///
/// assert_eq!(server_share(4, 1), 4);
/// assert_eq!(server_share(4, 12), 2);
/// assert_eq!(server_share(4, 200), 1);
/// ```
#[must_use]
pub fn server_share(slots: usize, senders: usize) -> usize {
    let min_share = if is_crowded(slots, senders) { 1 } else { 2 };
    let share = (FLEET_DEPTH * slots).div_ceil(senders.max(1));
    share.clamp(min_share, slots.max(min_share))
}

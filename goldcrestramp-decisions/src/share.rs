//! What one VM may have under way at a server.
//!
//! The load: a key that every VM is asked for, while its owner runs a few
//! requests at once and queues some more. VMs can't see what the others have
//! sent. If each of them may send two, a fleet with more VMs than the server
//! has places fills the queue twice over, and a server that answers nothing
//! beyond its queue leaves the rest of them waiting until their deadlines.

/// What all VMs together may have under way at a server, for each of its
/// slots: as much again as it can run waits there, so that no slot is idle
/// for the time of a round trip.
const SHARED_DEPTH: usize = 2;

/// The requests that a server takes for each of its slots: one runs, the
/// others are queued.
const PLACES_PER_SLOT: usize = 5;

/// What a VM may have under way at a server of so many slots, to which so
/// many VMs send.
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
pub fn server_share(slots: usize, sharers: usize) -> usize {
    let is_crowded = sharers > slots * PLACES_PER_SLOT;
    let least = if is_crowded { 1 } else { 2 };
    let share = (SHARED_DEPTH * slots).div_ceil(sharers.max(1));
    share.clamp(least, slots.max(least))
}

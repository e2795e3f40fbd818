/*!
How long a stalled reader may hold a slot of a server.

A phone on a bad network, or a caller that disappeared without closing its
connection, stops reading a download. Backpressure reaches the server, and its
slot is held by a response that makes no progress. Two such responses block a
server of two slots forever.

A response without progress is aborted after a timeout, which its reader sees
as a truncated response. The timeout is short while other requests wait for a
slot. Otherwise it is long, since the stall harms nobody and a phone that
reconnects can continue its download.
*/

use goldcrestramp_types::{LocalTime, TimeSpan};

/// The longest stall while other requests wait: a phone that switches networks
/// is back within a few seconds.
const MAX_STALL_CONTENDED: TimeSpan = TimeSpan::from_millis(5_000);

/// The longest stall while none waits: even after a minute, TCP has mostly not
/// detected a lost peer, so the slot must be freed without it.
const MAX_STALL_UNCONTENDED: TimeSpan = TimeSpan::from_millis(60_000);

/// Whether to abort a response of which the reader has taken nothing since
/// `stalled_since`.
///
/// # Example
///
/// ```
/// use goldcrestramp_decisions::is_reader_stalled;
/// use goldcrestramp_types::LocalTime;
///
/// let since = LocalTime::from_micros(0);
/// let now = LocalTime::from_micros(6_000_000);
/// assert!(is_reader_stalled(now, since, true));
/// assert!(!is_reader_stalled(now, since, false));
/// ```
#[must_use]
pub fn is_reader_stalled(
    now: LocalTime,
    stalled_since: LocalTime,
    others_wait: bool,
) -> bool {
    let limit =
        if others_wait { MAX_STALL_CONTENDED } else { MAX_STALL_UNCONTENDED };
    now.since(stalled_since) >= limit
}

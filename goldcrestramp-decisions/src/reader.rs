/*!
How long a reader that takes nothing may hold a server's slot.

The load: a phone on a bad network, or a caller that was closed without a
word, stops reading a download. Back pressure reaches the server, whose slot
is then held by an answer that does not move; two of those hold a server of
two slots for good.

An answer that has not moved for a while is broken off, which its reader
sees as an answer that is not whole. While others wait for a slot the while
is short; while none does, nobody is hurt, and a phone that comes back finds
its download going on.
*/

use goldcrestramp_types::{LocalTime, TimeSpan};

/// The longest stall while others wait: a phone that changes between two
/// networks is back within some seconds.
const STALL_WANTED: TimeSpan = TimeSpan::from_millis(5_000);

/// The longest stall while nobody waits: after a minute a TCP connection
/// that lost its peer has mostly not noticed yet, and must not hold on.
const STALL_UNWANTED: TimeSpan = TimeSpan::from_millis(60_000);

/// Whether an answer is to be broken off, of which nothing was taken since
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
    let limit = if others_wait { STALL_WANTED } else { STALL_UNWANTED };
    now.since(stalled_since) >= limit
}

//! Deadlines that cross from one process to the next.
//!
//! Clocks of two machines are never compared, so a request carries the time
//! that is left and the receiver makes a deadline of it again. The time on
//! the way is not in either clock. If it were not taken off, each hop would
//! lengthen the deadline: with 12 ms between regions and two hops, a server
//! could start a request 24 ms after its caller has given it up.

use goldcrestramp_types::{LocalTime, TimeSpan};

/// The time left to send with a request, or nothing if it would be over on
/// arrival.
///
/// `transit` is the usual time of one way to the receiver.
///
/// # Example
///
/// ```
/// use goldcrestramp_decisions::span_to_send;
/// use goldcrestramp_types::{LocalTime, TimeSpan};
///
/// let deadline = LocalTime::from_micros(50_000);
/// let now = LocalTime::from_micros(30_000);
/// let left = span_to_send(now, deadline, TimeSpan::from_millis(12));
/// assert_eq!(left, Some(TimeSpan::from_millis(8)));
/// ```
#[must_use]
pub fn span_to_send(
    now: LocalTime,
    deadline: LocalTime,
    transit: TimeSpan,
) -> Option<TimeSpan> {
    let left = deadline.since(now + transit);
    (left > TimeSpan::ZERO).then_some(left)
}

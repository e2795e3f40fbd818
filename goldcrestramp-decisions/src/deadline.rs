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
/// use goldcrestramp_decisions::timeout_to_forward;
/// use goldcrestramp_types::{LocalTime, TimeSpan};
///
/// let deadline = LocalTime::from_micros(50_000);
/// let now = LocalTime::from_micros(30_000);
/// let left = timeout_to_forward(now, deadline, TimeSpan::from_millis(12));
/// assert_eq!(left, Some(TimeSpan::from_millis(8)));
/// ```
#[must_use]
pub fn timeout_to_forward(
    now: LocalTime,
    deadline: LocalTime,
    transit: TimeSpan,
) -> Option<TimeSpan> {
    let left = deadline.since(now + transit);
    (left > TimeSpan::ZERO).then_some(left)
}

/// Round trips before the way is known: one alone may have met a pause.
const MIN_ROUND_TRIPS: u32 = 3;

/// The way is forgotten when no answer came for so long.
///
/// A wrong estimate refuses requests that would correct it: without an end
/// callers with short deadlines would be turned away for good.
const TRIP_KEPT: TimeSpan = TimeSpan::from_millis(5_000);

/// A longer trip than the estimate moves it by this part of the difference.
const RISE_PART: u64 = 64;

/// The usual time of one way to a peer.
///
/// It follows the shortest round trips, as the longer ones hold waits that
/// the next request need not meet.
///
/// # Example
///
/// ```
/// use goldcrestramp_decisions::TransitEstimate;
/// use goldcrestramp_types::{LocalTime, TimeSpan};
///
/// let now = LocalTime::from_micros(0);
/// let mut transit = TransitEstimate::default();
/// for millis in [30, 24, 90] {
///     transit.record(now, TimeSpan::from_millis(millis));
/// }
/// let one_way = transit.one_way(now);
/// assert!(one_way >= TimeSpan::from_millis(12));
/// assert!(one_way < TimeSpan::from_millis(13));
/// ```
#[derive(Clone, Copy, Debug, Default)]
pub struct TransitEstimate {
    trip: TimeSpan,
    trips: u32,
    seen: LocalTime,
}

impl TransitEstimate {
    /// Takes a round trip, without the time spent at the peer.
    pub fn record(&mut self, now: LocalTime, trip: TimeSpan) {
        if now.since(self.seen) > TRIP_KEPT {
            self.trips = 0;
        }
        let rise = trip.minus(self.trip).as_micros() / RISE_PART;
        self.trip = if self.trips == 0 || trip < self.trip {
            trip
        } else {
            self.trip.plus(TimeSpan::from_micros(rise))
        };
        self.trips = self.trips.saturating_add(1);
        self.seen = now;
    }

    /// The time of one way; zero while it is not known.
    #[must_use]
    pub fn one_way(&self, now: LocalTime) -> TimeSpan {
        let known = self.trips >= MIN_ROUND_TRIPS;
        if known && now.since(self.seen) <= TRIP_KEPT {
            return self.trip.percent(50);
        }
        TimeSpan::ZERO
    }
}

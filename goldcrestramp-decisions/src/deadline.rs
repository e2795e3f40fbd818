//! Deadlines that are forwarded from one process to the next.
//!
//! Clocks of two machines are never compared. A request carries its remaining
//! time, and the receiver converts it to a deadline. Neither clock measures
//! the time in transit. If it were not subtracted, each hop would extend the
//! deadline: with 12 ms between regions and two hops, a server could start a
//! request 24 ms after its caller has given up.

use goldcrestramp_types::{LocalTime, TimeSpan};

/// The remaining time to forward with a request, or `None` if the deadline
/// would have passed on arrival.
///
/// `transit` is the typical one-way time to the receiver.
///
/// # Example
///
/// ```
/// use goldcrestramp_decisions::timeout_to_forward;
/// use goldcrestramp_types::{LocalTime, TimeSpan};
///
/// let deadline = LocalTime::from_micros(50_000);
/// let now = LocalTime::from_micros(30_000);
/// let remaining =
///     timeout_to_forward(now, deadline, TimeSpan::from_millis(12));
/// assert_eq!(remaining, Some(TimeSpan::from_millis(8)));
/// ```
#[must_use]
pub fn timeout_to_forward(
    now: LocalTime,
    deadline: LocalTime,
    transit: TimeSpan,
) -> Option<TimeSpan> {
    let remaining = deadline.since(now + transit);
    (remaining > TimeSpan::ZERO).then_some(remaining)
}

/// Round trips needed before the estimate is used: a single one may include a
/// pause.
const MIN_ROUND_TRIPS: u32 = 3;

/// The estimate expires when no response came for this long.
///
/// A wrong estimate refuses the requests that would correct it. Without an
/// expiry, callers with short deadlines would be refused forever.
const ESTIMATE_TTL: TimeSpan = TimeSpan::from_millis(5_000);

/// A round trip above the estimate raises it by this fraction of the
/// difference.
const RISE_DIVISOR: u64 = 64;

/// Estimates the one-way time to a peer.
///
/// The estimate follows the shortest round trips. Longer ones include waits
/// that the next request may not have.
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
    round_trip: TimeSpan,
    samples: u32,
    updated_at: LocalTime,
}

impl TransitEstimate {
    /// Records a round trip, without the time spent at the peer.
    pub fn record(&mut self, now: LocalTime, round_trip: TimeSpan) {
        if now.since(self.updated_at) > ESTIMATE_TTL {
            self.samples = 0;
        }
        let rise =
            round_trip.minus(self.round_trip).as_micros() / RISE_DIVISOR;
        self.round_trip = if self.samples == 0 || round_trip < self.round_trip
        {
            round_trip
        } else {
            self.round_trip.plus(TimeSpan::from_micros(rise))
        };
        self.samples = self.samples.saturating_add(1);
        self.updated_at = now;
    }

    /// The one-way time; zero while it is unknown.
    #[must_use]
    pub fn one_way(&self, now: LocalTime) -> TimeSpan {
        let known = self.samples >= MIN_ROUND_TRIPS;
        if known && now.since(self.updated_at) <= ESTIMATE_TTL {
            return self.round_trip.percent(50);
        }
        TimeSpan::ZERO
    }
}

//! The timing from which all deadlines of a failure domain are derived.

use goldcrestramp_types::TimeSpan;

use crate::safeguard::{Safeguard, Safeguards};

/// The timing of a failure domain, equal on all of its VMs.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct TermTiming {
    /// How long a confirmation is valid, from when it was requested.
    ///
    /// A key must be served again within 2 s of a loss, including the loss
    /// of a rack (steward, keeper and server at once). Recovery takes the
    /// detection of the steward's loss, a lease until the new steward may
    /// move slices, and round trips to voters, keepers and servers. With a
    /// lease of 1.5 s it took 2.4 s.
    pub lease: TimeSpan,
    /// The interval at which a steward requests confirmation from its
    /// voters.
    ///
    /// A permit ends with the confirmation that it is based on, so the age
    /// of that confirmation shortens the time that a keeper has left when
    /// the steward is lost. With 200 ms, permits could end before the next
    /// steward was elected.
    pub confirm_interval: TimeSpan,
    /// The interval at which a keeper contacts its steward and its servers.
    ///
    /// This is 1/5 of the lease, so four consecutive messages may be lost.
    pub renew_interval: TimeSpan,
    /// The silence after which a steward, keeper or server counts as lost.
    ///
    /// A voter that has received no request for this long may confirm
    /// another steward.
    pub missed_after: TimeSpan,
    /// The interval at which a keeper reports while slices of its servers
    /// are moving.
    ///
    /// A slice is unserved between its release and its grant. That gap
    /// takes about two of these intervals.
    pub moving_interval: TimeSpan,
    /// The maximum deviation of a clock's rate, in percent.
    pub drift_percent: u64,
    /// The active safeguards: all of them, unless a test disables one.
    #[doc(hidden)]
    pub safeguards: Safeguards,
}

impl Default for TermTiming {
    fn default() -> Self {
        Self {
            lease: TimeSpan::from_millis(1_000),
            confirm_interval: TimeSpan::from_millis(100),
            renew_interval: TimeSpan::from_millis(200),
            missed_after: TimeSpan::from_millis(350),
            moving_interval: TimeSpan::from_millis(20),
            drift_percent: 2,
            safeguards: Safeguards::default(),
        }
    }
}

impl TermTiming {
    /// Returns a span that certainly ends within `span` of another clock.
    ///
    /// One clock may be fast while the other is slow, so this subtracts
    /// twice the drift: 0.98 / 1.02 is 0.9608, above 0.96.
    #[must_use]
    pub const fn shortened(&self, span: TimeSpan) -> TimeSpan {
        if !self.safeguards.has(Safeguard::DriftAllowance) {
            return span;
        }
        span.percent(100 - 2 * self.drift_percent)
    }

    /// Returns a span in which `span` has certainly passed on another clock.
    ///
    /// 1.02 / 0.98 is 1.0409, slightly more than twice the drift, so this
    /// adds one more percent.
    #[must_use]
    pub const fn lengthened(&self, span: TimeSpan) -> TimeSpan {
        if !self.safeguards.has(Safeguard::DriftAllowance) {
            return span;
        }
        span.percent(100 + 2 * self.drift_percent + 1)
    }
}

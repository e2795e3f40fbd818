//! The times on which the chain of deadlines rests.

use goldcrestramp_types::TimeSpan;

use crate::safeguard::{Safeguard, Safeguards};

/// The times of a failure domain, the same on all of its VMs.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct TermTiming {
    /// How long a confirmation lasts, from when it was asked for.
    ///
    /// A key is to be served again within 2 s of a loss, also of a rack:
    /// the steward, the keeper and the server at once. That takes the
    /// steward's detection, a lease until the new one may move slices, and
    /// rounds to voters, keepers and servers. With 1.5 s it took 2.4 s.
    pub lease: TimeSpan,
    /// How often a steward asks its voters.
    ///
    /// Whatever a permit is older than this confirmation is lost to the
    /// keeper when the steward dies; with 200 ms, permits could end before
    /// the next steward was there.
    pub confirm_interval: TimeSpan,
    /// How often a keeper asks its steward, and its servers.
    ///
    /// A fifth of the lease: four messages in a row may be lost.
    pub renew_interval: TimeSpan,
    /// A voter that has not been asked for so long may confirm another.
    pub missed_after: TimeSpan,
    /// How soon a keeper asks again while something of it is moving.
    ///
    /// A slice is unserved between its release and its grant; that gap is
    /// about two of these.
    pub moving_interval: TimeSpan,
    /// By how much a clock may run faster or slower, in percent.
    pub drift_percent: u64,
    /// What a test may take out; everything is on otherwise.
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
    /// A span that is surely no longer than `span` on another clock.
    ///
    /// One clock may be fast while the other is slow, so twice the drift
    /// is taken off: 0.98 / 1.02 is 0.9608, above 0.96.
    #[must_use]
    pub const fn shortened(&self, span: TimeSpan) -> TimeSpan {
        if !self.safeguards.has(Safeguard::DriftAllowance) {
            return span;
        }
        span.percent(100 - 2 * self.drift_percent)
    }

    /// A span in which `span` has surely passed on another clock.
    ///
    /// 1.02 / 0.98 is 1.0409, a little more than twice the drift, hence
    /// one percent on top.
    #[must_use]
    pub const fn lengthened(&self, span: TimeSpan) -> TimeSpan {
        if !self.safeguards.has(Safeguard::DriftAllowance) {
            return span;
        }
        span.percent(100 + 2 * self.drift_percent + 1)
    }
}

//! The times on which the chain of deadlines rests.

use goldcrestramp_types::TimeSpan;

/// The times of a failure domain, the same on all of its VMs.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct TermTiming {
    /// How long a confirmation lasts, from when it was asked for.
    ///
    /// A key is to be served again within 2 s of a loss; what remains of
    /// that after the lease is detection, one round to the voters and one
    /// to the server.
    pub lease: TimeSpan,
    /// How often a steward asks its voters, and a keeper its steward.
    ///
    /// A fifth of the lease: four messages in a row may be lost.
    pub renew_every: TimeSpan,
    /// A voter that has not been asked for so long may confirm another.
    pub missed_after: TimeSpan,
    /// By how much a clock may run faster or slower, in percent.
    pub drift_percent: u64,
}

impl Default for TermTiming {
    fn default() -> Self {
        Self {
            lease: TimeSpan::from_millis(1_500),
            renew_every: TimeSpan::from_millis(300),
            missed_after: TimeSpan::from_millis(600),
            drift_percent: 2,
        }
    }
}

impl TermTiming {
    /// A span that is surely no longer than `span` on another clock.
    #[must_use]
    pub const fn shortened(&self, span: TimeSpan) -> TimeSpan {
        span.percent(100 - self.drift_percent)
    }

    /// A span in which `span` has surely passed on another clock.
    #[must_use]
    pub const fn lengthened(&self, span: TimeSpan) -> TimeSpan {
        span.percent(100 + 2 * self.drift_percent)
    }
}

//! Backoff with jitter between retries of failed calls.

use goldcrestramp_types::{LocalTime, TimeSpan};

/// The bounds of a caller's backoff delays.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct BackoffRange {
    /// The maximum delay after the first failure.
    pub base: TimeSpan,
    /// The maximum delay after any number of failures.
    pub cap: TimeSpan,
}

impl Default for BackoffRange {
    /// 50 ms to 4 s.
    ///
    /// With a base of 50 ms, a short failure is retried without a noticeable
    /// delay. With a cap of 4 s, 640 nodes that return after a long outage
    /// make about 320 calls per second, a sixth of the 2,000 reads per second
    /// that the service accepts, and a change is still in force within its
    /// 8 s.
    fn default() -> Self {
        Self {
            base: TimeSpan::from_millis(50),
            cap: TimeSpan::from_millis(4_000),
        }
    }
}

/// The delay before the next retry: uniformly distributed between zero and a
/// bound that doubles with each failure ("full jitter").
///
/// `random` is a uniformly distributed `u64`. Without jitter all nodes would
/// call at the same times after an outage, be refused together and retry
/// together.
#[must_use]
pub fn full_jitter(
    range: BackoffRange,
    failures: u32,
    random: u64,
) -> TimeSpan {
    let doublings = failures.saturating_sub(1).min(u64::BITS - 1);
    let factor = 1_u64 << doublings;
    let bound = range.base.as_micros().saturating_mul(factor);
    let bound = bound.min(range.cap.as_micros());
    let scaled = u128::from(random) * (u128::from(bound) + 1);
    let micros = u64::try_from(scaled >> u64::BITS).unwrap_or(bound);
    TimeSpan::from_micros(micros)
}

/// A caller's consecutive failures, and when it may retry.
#[derive(Clone, Copy, Debug)]
pub struct RetryBackoff {
    range: BackoffRange,
    failures: u32,
    until: LocalTime,
}

impl RetryBackoff {
    /// Creates the state of a caller without failures.
    #[must_use]
    pub fn new(range: BackoffRange) -> Self {
        Self { range, failures: 0, until: LocalTime::default() }
    }

    /// Records a failure at `now`; returns when the caller may retry.
    pub fn record_failure(
        &mut self,
        now: LocalTime,
        random: u64,
    ) -> LocalTime {
        self.failures = self.failures.saturating_add(1);
        self.until = now + full_jitter(self.range, self.failures, random);
        self.until
    }

    /// Records a success, which resets the backoff.
    pub fn record_success(&mut self) {
        self.failures = 0;
        self.until = LocalTime::default();
    }

    /// Whether the backoff delay is over at `now`.
    #[must_use]
    pub fn may_call(&self, now: LocalTime) -> bool {
        now >= self.until
    }

    /// The number of failures since the last success.
    #[must_use]
    pub const fn failures(&self) -> u32 {
        self.failures
    }
}

//! When to call again after a call has failed.

use goldcrestramp_types::{LocalTime, TimeSpan};

/// Between which pauses a caller backs off.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct BackoffRange {
    /// The longest pause after the first failure.
    pub base: TimeSpan,
    /// The longest pause at all.
    pub cap: TimeSpan,
}

impl Default for BackoffRange {
    /// 50 ms to 4 s.
    ///
    /// 50 ms: a slow moment passes unnoticed. 4 s: 640 nodes that return
    /// after a long outage call about 320 times a second, a sixth of the
    /// 2,000 reads that the service takes, and a change is still in force
    /// within its 8 s.
    fn default() -> Self {
        Self {
            base: TimeSpan::from_millis(50),
            cap: TimeSpan::from_millis(4_000),
        }
    }
}

/// The pause before the next try: evenly spread between zero and a bound
/// that doubles with each failure ("full jitter").
///
/// `random` is any number drawn evenly from all of `u64`. Without the
/// spread all nodes would call at the same moments after an outage, be
/// refused together and come back together.
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

/// A caller's failures in a row, and when it may call again.
#[derive(Clone, Copy, Debug)]
pub struct RetryBackoff {
    range: BackoffRange,
    failures: u32,
    until: LocalTime,
}

impl RetryBackoff {
    /// A caller that has not failed yet.
    #[must_use]
    pub fn new(range: BackoffRange) -> Self {
        Self { range, failures: 0, until: LocalTime::default() }
    }

    /// Notes a failure at `now`; tells when to call again.
    pub fn record_failure(
        &mut self,
        now: LocalTime,
        random: u64,
    ) -> LocalTime {
        self.failures = self.failures.saturating_add(1);
        self.until = now + full_jitter(self.range, self.failures, random);
        self.until
    }

    /// Notes a success.
    pub fn record_success(&mut self) {
        self.failures = 0;
        self.until = LocalTime::default();
    }

    /// Whether the caller may call at `now`.
    #[must_use]
    pub fn may_call(&self, now: LocalTime) -> bool {
        now >= self.until
    }

    /// Failures since the last success.
    #[must_use]
    pub const fn failures(&self) -> u32 {
        self.failures
    }
}

//! Backoff between failed calls to the store.

use goldcrestramp_platform::{BackoffRange, RetryBackoff};
use goldcrestramp_types::{ClockSource, MonotonicClock};

/// Exponential backoff with jitter of one caller of the store.
#[derive(Debug)]
pub(crate) struct StoreBackoff(RetryBackoff);

impl StoreBackoff {
    /// A backoff that no failure has lengthened yet.
    pub(crate) fn new() -> Self {
        Self(RetryBackoff::new(BackoffRange::default()))
    }

    /// Records a success: the next wait is the shortest again.
    pub(crate) fn reset(&mut self) {
        self.0.record_success();
    }

    /// Records a failure and waits. Each wait is at most twice as long as
    /// the one before.
    pub(crate) async fn wait(&mut self) {
        let now = MonotonicClock.now();
        let until = self.0.record_failure(now, rand::random());
        tokio::time::sleep(until.since(now).to_std()).await;
    }
}

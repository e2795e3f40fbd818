//! Waits after failed calls.

use goldcrestramp_platform::{BackoffRange, RetryBackoff};
use goldcrestramp_types::{ClockSource, MonotonicClock};

/// Waits between calls to the store that fail.
#[derive(Debug)]
pub(crate) struct StorePause(RetryBackoff);

impl StorePause {
    /// No call has failed yet.
    pub(crate) fn new() -> Self {
        Self(RetryBackoff::new(BackoffRange::default()))
    }

    /// Notes a success: the next wait is short again.
    pub(crate) fn reset(&mut self) {
        self.0.record_success();
    }

    /// Waits after a failure, each time up to twice as long.
    pub(crate) async fn wait(&mut self) {
        let now = MonotonicClock.now();
        let until = self.0.record_failure(now, rand::random());
        tokio::time::sleep(until.since(now).to_std()).await;
    }
}

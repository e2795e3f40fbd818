//! Waits after failed calls.

use goldcrestramp_platform::{BackoffRange, RetryPause};
use goldcrestramp_types::{ClockSource, MonotonicClock};

/// Waits between calls to the store that fail.
#[derive(Debug)]
pub(crate) struct StorePause(RetryPause);

impl StorePause {
    /// No call has failed yet.
    pub(crate) fn new() -> Self {
        Self(RetryPause::new(BackoffRange::default()))
    }

    /// Notes a success: the next wait is short again.
    pub(crate) fn reset(&mut self) {
        self.0.succeeded();
    }

    /// Waits after a failure, each time up to twice as long.
    pub(crate) async fn wait(&mut self) {
        let now = MonotonicClock.now();
        let until = self.0.failed(now, rand::random());
        tokio::time::sleep(until.since(now).to_std()).await;
    }
}

//! How long a service has been short of retries.
//!
//! In an overload of seconds, most requests that are refused for lack of
//! retries return as told. With a fixed delay they return while the shortage
//! lasts, and are refused again. How long it lasts is not known; the best
//! estimate is that it goes on for as long as it has lasted.

use goldcrestramp_types::{LocalTime, TimeSpan};

/// A shortage ends when no retry was denied for this long. A VM of a large
/// fleet denies only a few a second.
const QUIET_TIME: TimeSpan = TimeSpan::from_millis(2_000);

/// The shortest delay that is stated: that of other refusals.
const MIN_DELAY: TimeSpan = TimeSpan::from_millis(250);

/// The longest delay that is stated, as for queues. Few callers have three
/// times as long left.
const MAX_DELAY: TimeSpan = TimeSpan::from_millis(2_000);

/// Callers wait for a third of the time that they have left at most.
const USABLE_PERCENT: u64 = 33;

/// Callers are spread over this much more than the stated delay, in percent.
const SPREAD_PERCENT: u64 = 100;

/// A change of the state of a service.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ShortageChange {
    /// Retries are denied from now on.
    Began,
    /// Retries have no longer been denied; the shortage lasted for this long.
    Ended(TimeSpan),
}

/// The shortage of retries of one service at one VM.
#[derive(Clone, Copy, Debug, Default)]
pub struct RetryShortage {
    /// When retries were first and last denied; `None` without a shortage.
    denials: Option<(LocalTime, LocalTime)>,
}

impl RetryShortage {
    /// Records that a retry was denied.
    pub fn record_denial(&mut self, now: LocalTime) -> Option<ShortageChange> {
        let first = self.denials.map_or(now, |(first, _last)| first);
        let began = self.denials.replace((first, now)).is_none();
        began.then_some(ShortageChange::Began)
    }

    /// Ends the shortage if retries have not been denied for some time.
    pub fn check(&mut self, now: LocalTime) -> Option<ShortageChange> {
        let ended =
            self.denials.filter(|(_, last)| now.since(*last) >= QUIET_TIME);
        let (first, last) = ended?;
        self.denials = None;
        Some(ShortageChange::Ended(last.since(first)))
    }

    /// The delay after which a refused caller, which has `remaining` left, is
    /// asked to return. `random_percent` is at most 100 and spreads callers.
    #[must_use]
    pub fn retry_after(
        &self,
        now: LocalTime,
        remaining: TimeSpan,
        random_percent: u64,
    ) -> TimeSpan {
        let lasted = self.denials.map(|(first, _last)| now.since(first));
        let estimate = lasted.unwrap_or_default().clamp(MIN_DELAY, MAX_DELAY);
        let spread = SPREAD_PERCENT * random_percent.min(100) / 100;
        // The cap applies before the spread, or all callers with the same time
        // left would return together.
        let usable =
            remaining.percent(USABLE_PERCENT * 100 / (100 + SPREAD_PERCENT));
        estimate.min(usable).percent(100 + spread)
    }
}

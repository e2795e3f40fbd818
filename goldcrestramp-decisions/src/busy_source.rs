//! How long a VM waits for changes from a VM that is busy.
//!
//! A VM that reads or builds a large change responds to no call for changes
//! meanwhile. If its followers gave it up like a lost one, each of them would
//! read the full change from the store over its own link. So before a VM gives
//! its source up, it asks another thread of the source whether it is busy. A
//! VM that is lost, frozen or cut off does not respond to that either, and is
//! given up as soon as without the question.

use goldcrestramp_types::{LocalTime, TimeSpan};

/// The question is first asked this long before the call would be given up:
/// ten round trips between regions.
const QUESTION_LEAD: TimeSpan = TimeSpan::from_millis(300);

/// The time between two questions.
const QUESTION_INTERVAL: TimeSpan = TimeSpan::from_millis(100);

/// A question that is asked this much later than planned shows that this VM
/// itself did not run meanwhile. Timers are late by a few milliseconds.
const MIN_STALL: TimeSpan = TimeSpan::from_millis(50);

/// How long a source that was busy at a time may take to respond from then on:
/// it has to build the response, on a fraction of a core.
const RESPONSE_TIME: TimeSpan = TimeSpan::from_millis(500);

/// The maximum time for which a busy source is waited for. A VM that reads a
/// change from the store itself takes as long as the source does, and starts
/// later, so a shorter limit gains little. The limit bounds the loss if one
/// thread of the source is stuck while another still responds.
const MAX_BUSY_TIME: TimeSpan = TimeSpan::from_millis(2_000);

/// The maximum time for which a source that responds to the question, and is
/// not busy, is waited for: the link on which its response is to arrive is
/// slow. The next source is asked as well from then on.
const MAX_SLOW_TIME: TimeSpan = TimeSpan::from_millis(1_200);

/// The wait for a response that has not begun.
///
/// # Example
///
/// ```
/// use goldcrestramp_decisions::BusyWait;
/// use goldcrestramp_types::{LocalTime, TimeSpan};
///
/// let at = |millis: u64| LocalTime::from_micros(millis * 1_000);
/// let mut wait = BusyWait::begin(at(0), TimeSpan::from_millis(800));
/// assert_eq!(wait.question_at(), at(500));
/// wait.record_busy(at(510));
/// assert_eq!(wait.give_up_at(), at(1_010));
/// ```
#[derive(Clone, Copy, Debug)]
pub struct BusyWait {
    question_at: LocalTime,
    give_up_at: LocalTime,
    /// The latest end if the source responds to the question.
    slow_end: LocalTime,
    /// The latest end if the source is busy.
    last_end: LocalTime,
}

impl BusyWait {
    /// The wait for a response whose call was sent at `now`, and which is to
    /// begin within `limit` if its sender is not busy.
    #[must_use]
    pub fn begin(now: LocalTime, limit: TimeSpan) -> Self {
        Self {
            question_at: now + limit.minus(QUESTION_LEAD),
            give_up_at: now + limit,
            slow_end: now + limit.max(MAX_SLOW_TIME),
            last_end: now + limit.max(MAX_BUSY_TIME),
        }
    }

    /// Records that the source has just stated that it is busy.
    pub fn record_busy(&mut self, now: LocalTime) {
        let extended = self.last_end.min(now + RESPONSE_TIME);
        self.give_up_at = self.give_up_at.max(extended);
    }

    /// Records that the source has just stated that it is not busy.
    pub fn record_idle(&mut self, now: LocalTime) {
        let extended = self.slow_end.min(now + RESPONSE_TIME);
        self.give_up_at = self.give_up_at.max(extended);
    }

    /// Records that a question was asked at `now`, and was to be asked at
    /// `planned_at`. The time for which this VM itself did not run proves
    /// nothing about the source.
    pub fn record_question(&mut self, now: LocalTime, planned_at: LocalTime) {
        self.question_at = now + QUESTION_INTERVAL;
        let late = now.since(planned_at);
        if late >= MIN_STALL {
            self.give_up_at = self.last_end.min(self.give_up_at + late);
        }
    }

    /// When to ask next, if the wait has not ended by then.
    #[must_use]
    pub const fn question_at(&self) -> LocalTime {
        self.question_at
    }

    /// When the source is given up.
    #[must_use]
    pub const fn give_up_at(&self) -> LocalTime {
        self.give_up_at
    }
}

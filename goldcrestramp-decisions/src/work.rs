//! How long a server works on a request, apart from how long requests wait.
//!
//! The load: servers of one service that differ in speed by two to three
//! times, some of them full. The time of an answer holds the wait for a
//! slot. Taken for the server's speed, a full server looks slow and a slow
//! one that is idle looks fast; keys then leave servers that only had many,
//! and slow servers are given as much as fast ones.
//!
//! By Little's law the answers a second times their mean time is the number
//! of requests that are at the server. Part of them wait; what a queue with
//! so many slots would hold at each use tells how many are at work, and that
//! over the answers a second is the time of the work.

use goldcrestramp_types::{LocalTime, TimeSpan};

use crate::queueing::busy_slots;

/// Half of what is known is replaced in this time: single answers differ
/// too much to go by fewer of them, and a server that turns slow is to show
/// within seconds.
const HALF_LIFE: TimeSpan = TimeSpan::from_millis(2_500);

/// Answers before the work is told: the time of single requests differs by
/// half and more.
const MIN_RESPONSES: f32 = 6.0;

/// What was seen of one server's answers.
///
/// # Example
///
/// ```
/// use goldcrestramp_decisions::WorkEstimate;
/// use goldcrestramp_types::{LocalTime, TimeSpan};
///
/// let start = LocalTime::from_micros(0);
/// let mut work = WorkEstimate::open(start);
/// // A server of four slots with twenty requests at any time: its answers
/// // take 500 ms, four fifths of which they wait.
/// work.record(40, 20.0);
/// work.decay(start + TimeSpan::from_millis(1_000));
/// let seconds = work.seconds(4).expect("it has answered");
/// assert!((0.09..0.11).contains(&seconds));
/// ```
#[derive(Clone, Debug)]
pub struct WorkEstimate {
    since: LocalTime,
    answers: f32,
    seconds: f32,
    /// The seconds in which they came, less what is forgotten.
    span: f32,
    fresh_answers: f32,
    fresh_seconds: f32,
}

impl WorkEstimate {
    /// Opens with nothing known.
    #[must_use]
    pub const fn open(now: LocalTime) -> Self {
        Self {
            since: now,
            answers: 0.0,
            seconds: 0.0,
            span: 0.0,
            fresh_answers: 0.0,
            fresh_seconds: 0.0,
        }
    }

    /// Counts answers with the sum of their times.
    pub fn record(&mut self, answers: u32, seconds: f32) {
        #[expect(clippy::cast_precision_loss, reason = "small counts")]
        let answers = answers as f32;
        self.fresh_answers += answers;
        self.fresh_seconds += seconds;
    }

    /// Takes what was counted since the last call.
    pub fn decay(&mut self, now: LocalTime) {
        let passed = now.since(self.since).to_std().as_secs_f32();
        let half_life = HALF_LIFE.to_std().as_secs_f32();
        let kept = 0.5_f32.powf(passed / half_life);
        self.answers = self.answers * kept + self.fresh_answers;
        self.seconds = self.seconds * kept + self.fresh_seconds;
        self.span = self.span * kept + passed;
        self.fresh_answers = 0.0;
        self.fresh_seconds = 0.0;
        self.since = now;
    }

    /// The seconds of work of a request, if enough were answered.
    #[must_use]
    pub fn seconds(&self, slots: u32) -> Option<f32> {
        if self.answers < MIN_RESPONSES || self.span <= 0.0 {
            return None;
        }
        let rate = self.answers / self.span;
        let present = self.seconds / self.span;
        Some(busy_slots(present, slots) / rate)
    }
}

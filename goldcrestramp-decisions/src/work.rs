//! Estimates the service time of a request, without the time that it waits for
//! a slot.
//!
//! Servers of one service differ in speed by two to three times, and some are
//! at capacity. A response time includes the wait for a slot. If it were taken
//! for the server's speed, a full server would look slow and a slow but idle
//! one fast. Keys would then leave servers that only had many of them, and
//! slow servers would be given as much load as fast ones.
//!
//! By Little's law the responses a second times their mean time is the number
//! of requests at the server, and some of these wait. A queueing formula gives
//! the number of busy slots for that number of requests. Divided by the
//! responses a second, it is the service time.

use goldcrestramp_types::{LocalTime, TimeSpan};

use crate::queueing::busy_slots;

/// The half-life of the averages. Single responses differ too much to use
/// fewer of them, and a server that becomes slow must show within seconds.
const HALF_LIFE: TimeSpan = TimeSpan::from_millis(2_500);

/// The responses needed for an estimate: the times of single requests differ
/// by half and more.
const MIN_RESPONSES: f32 = 6.0;

/// The estimate for one server.
///
/// # Example
///
/// ```
/// use goldcrestramp_decisions::WorkEstimate;
/// use goldcrestramp_types::{LocalTime, TimeSpan};
///
/// let start = LocalTime::from_micros(0);
/// let mut work = WorkEstimate::open(start);
/// // A server of four slots with twenty requests at any time: its responses
/// // take 500 ms, four fifths of which they wait.
/// work.record(40, 20.0);
/// work.decay(start + TimeSpan::from_millis(1_000));
/// let seconds = work.seconds(4).expect("the server has responded");
/// assert!((0.09..0.11).contains(&seconds));
/// ```
#[derive(Clone, Debug)]
pub struct WorkEstimate {
    since: LocalTime,
    responses: f32,
    /// The sum of their response times.
    seconds: f32,
    /// The seconds in which they were received, decayed like them.
    span: f32,
    fresh_responses: f32,
    fresh_seconds: f32,
}

impl WorkEstimate {
    /// Creates an estimate without data.
    #[must_use]
    pub const fn open(now: LocalTime) -> Self {
        Self {
            since: now,
            responses: 0.0,
            seconds: 0.0,
            span: 0.0,
            fresh_responses: 0.0,
            fresh_seconds: 0.0,
        }
    }

    /// Records responses with the sum of their times in seconds.
    pub fn record(&mut self, responses: u32, seconds: f32) {
        #[expect(clippy::cast_precision_loss, reason = "small counts")]
        let responses = responses as f32;
        self.fresh_responses += responses;
        self.fresh_seconds += seconds;
    }

    /// Decays the averages and adds what was recorded since the last call.
    pub fn decay(&mut self, now: LocalTime) {
        let elapsed = now.since(self.since).to_std().as_secs_f32();
        let half_life = HALF_LIFE.to_std().as_secs_f32();
        let factor = 0.5_f32.powf(elapsed / half_life);
        self.responses = self.responses * factor + self.fresh_responses;
        self.seconds = self.seconds * factor + self.fresh_seconds;
        self.span = self.span * factor + elapsed;
        self.fresh_responses = 0.0;
        self.fresh_seconds = 0.0;
        self.since = now;
    }

    /// The service time of a request in seconds, if there were enough
    /// responses. `slots` is the number of requests that the server runs at
    /// once.
    #[must_use]
    pub fn seconds(&self, slots: u32) -> Option<f32> {
        if self.responses < MIN_RESPONSES || self.span <= 0.0 {
            return None;
        }
        let rate = self.responses / self.span;
        let present = self.seconds / self.span;
        Some(busy_slots(present, slots) / rate)
    }
}

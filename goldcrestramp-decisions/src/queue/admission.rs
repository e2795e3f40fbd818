/*!
Whether a request may wait, and when a refused caller should retry.

More requests may arrive than the server can run, for a moment or for hours. An
unbounded queue would then serve every request late. A queue bounded only in
length would keep each request for that length and then let it fail.

A request is refused on arrival when its position in the fair order is too late
for its deadline. In a burst it may spend all of its time waiting. When
something has waited without a break for [`STANDING_AFTER`], the queue is a
standing queue. Waiting then no longer serves more requests and only delays
each of them. So a request may spend only a quarter of its time waiting, except
for a caller's first few requests, which fair shares need.
*/

use goldcrestramp_types::{LocalTime, NotRunReason, TimeSpan};

use crate::queue::request::QueueRefusal;

/// A queue that lasts longer than this is standing. This is about 50 times the
/// slot time of a lookup. A burst that can be served within the typical
/// deadline of 200 ms and more has ended by then.
const STANDING_AFTER: TimeSpan = TimeSpan::from_millis(250);

/// The percentage of its time that a request may wait in a standing queue.
const STANDING_PERCENT: u64 = 25;

/// A standing queue may always be this many slot times long: one request for
/// each slot, or slots would idle between an end and the next arrival.
const STANDING_SLOT_TIMES: u64 = 1;

/// A forecast is scaled by this percentage before it is compared with the
/// deadline.
///
/// In the first 150 ms of a burst, a forecast is too low by up to half: later
/// requests of flows that requested less are served first. With 125, the mean
/// error, requests of that time were refused after 190 ms of waiting instead
/// of on arrival.
const MARGIN_PERCENT: u64 = 200;

/// A caller may always have this many requests waiting, even in a standing
/// queue. One whose turn it is, and one behind it, keep its share in use.
pub(crate) const MIN_CALLER_WAITING: usize = 2;

/// The bounds of the time after which a refused caller should retry.
const MIN_RETRY_AFTER: TimeSpan = TimeSpan::from_millis(10);
const MAX_RETRY_AFTER: TimeSpan = TimeSpan::from_millis(30_000);

/// What is known of a request's position when it arrives.
#[derive(Clone, Copy, Debug)]
pub(crate) struct WaitForecast {
    /// The expected wait, computed from what waits now.
    pub(crate) expected: TimeSpan,
    /// The expected wait, corrected by the error of earlier ones.
    pub(crate) wait: TimeSpan,
    /// The part of it until a suspended server is probed, which is certain.
    pub(crate) suspended: TimeSpan,
    /// The longest wait after which it can still end in time.
    pub(crate) budget: TimeSpan,
    /// The expected slot time of its class.
    pub(crate) service: TimeSpan,
    /// Since when something has waited without a break. `None` for long
    /// responses, whose callers wait anyway and whose slots never idle.
    pub(crate) busy_since: Option<LocalTime>,
    /// The number of waiting requests of its caller.
    pub(crate) caller_waiting: usize,
}

/// The result of a forecast.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum WaitVerdict {
    /// It may wait.
    Admit,
    /// Its turn comes too late for its deadline.
    TooLate,
    /// Its turn comes in time, but the queue is standing.
    Standing,
}

impl WaitForecast {
    /// Whether the request may wait.
    pub(crate) fn judge(&self, now: LocalTime) -> WaitVerdict {
        let uncertain =
            self.wait.minus(self.suspended).percent(MARGIN_PERCENT);
        if self.suspended.plus(uncertain) > self.budget {
            return WaitVerdict::TooLate;
        }
        let standing = self
            .busy_since
            .is_some_and(|since| now.since(since) > STANDING_AFTER);
        if !standing || self.caller_waiting < MIN_CALLER_WAITING {
            return WaitVerdict::Admit;
        }
        let minimum = self.service.percent(100 * STANDING_SLOT_TIMES);
        let maximum = self.budget.percent(STANDING_PERCENT).max(minimum);
        if self.wait > maximum {
            return WaitVerdict::Standing;
        }
        WaitVerdict::Admit
    }

    /// The refusal for `reason`. Its retry time is the wait that the current
    /// queue needs, and up to the same again by `random`.
    ///
    /// Without the jitter, all requests refused in one burst would return as
    /// one burst.
    pub(crate) fn refusal(
        &self,
        reason: NotRunReason,
        random: u64,
    ) -> QueueRefusal {
        let minimum = self.wait.max(self.service).max(MIN_RETRY_AFTER);
        let minimum = minimum.min(MAX_RETRY_AFTER).as_micros();
        let jitter = random % (minimum + 1);
        let retry_after = TimeSpan::from_micros(minimum + jitter);
        QueueRefusal { reason, retry_after }
    }
}

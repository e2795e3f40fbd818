/*!
Whether a request may wait, and when a refused caller should come back.

The load: more arrives than the server can do, for a moment or for hours.
An unbounded queue then serves every request late, and a queue bounded in
length alone keeps each request for that length and then lets it fail.

A request is refused on arrival when its place in the fair order comes too
late for its deadline. In a burst the whole of its time may be spent in
waiting. When something has waited without a break for [`STANDING_AFTER`],
the queue is a standing one, and waiting no longer serves more requests, it
only makes each of them later: then a quarter of the time is all that may be
spent, except for a caller's first few, which fair shares need.
*/

use goldcrestramp_types::{LocalTime, NotRunReason, TimeSpan};

use crate::queue::request::QueueRefusal;

/// A queue that lasts longer than this stands: some 50 times the slot time
/// of a lookup. A burst that can be worked off in the usual deadline, 200 ms
/// and more, is over by then.
const STANDING_AFTER: TimeSpan = TimeSpan::from_millis(250);

/// The part of its time that a request may wait in a standing queue.
const STANDING_PERCENT: u64 = 25;

/// A standing queue is still as long as so many slot times: one request for
/// each slot, or slots would run dry between an end and the next arrival.
const STANDING_SLOT_TIMES: u64 = 1;

/// A forecast may be short by this part before the deadline is missed.
///
/// In the first 150 ms of a rush it is short by up to half: who comes later
/// and has asked for less goes before. At 125, the mean error, those that
/// came then were told after 190 ms of waiting what could be told at once.
const MARGIN_PERCENT: u64 = 200;

/// A caller may have this many waiting whatever the standing queue: one
/// whose turn it is, and one behind it, keep its share in use.
pub(crate) const CALLER_MINIMUM: usize = 2;

/// A refused caller is told at least and at most this.
const MIN_RETRY_AFTER: TimeSpan = TimeSpan::from_millis(10);
const MAX_RETRY_AFTER: TimeSpan = TimeSpan::from_millis(30_000);

/// What is known of a request's place when it arrives.
#[derive(Clone, Copy, Debug)]
pub(crate) struct WaitForecast {
    /// The wait for its turn that follows from what waits now.
    pub(crate) expected: TimeSpan,
    /// The same, corrected by how such expectations turned out.
    pub(crate) wait: TimeSpan,
    /// The part of it until a held server is probed, which is certain.
    pub(crate) held: TimeSpan,
    /// The wait after which it could not end in time.
    pub(crate) budget: TimeSpan,
    /// The expected slot time of its class.
    pub(crate) service: TimeSpan,
    /// Since when something has waited without a break; nothing for long
    /// answers, whose callers wait anyway and whose slots never run dry.
    pub(crate) busy_since: Option<LocalTime>,
    /// What its caller has waiting.
    pub(crate) caller_waiting: usize,
}

/// How a forecast is judged.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum WaitVerdict {
    /// It may wait.
    Admit,
    /// Its turn comes too late for its deadline.
    TooLate,
    /// Its turn comes in time, but the queue stands.
    Standing,
}

impl WaitForecast {
    /// Whether the request may wait.
    pub(crate) fn judge(&self, now: LocalTime) -> WaitVerdict {
        let uncertain = self.wait.minus(self.held).percent(MARGIN_PERCENT);
        if self.held.plus(uncertain) > self.budget {
            return WaitVerdict::TooLate;
        }
        let standing = self
            .busy_since
            .is_some_and(|since| now.since(since) > STANDING_AFTER);
        if !standing || self.caller_waiting < CALLER_MINIMUM {
            return WaitVerdict::Admit;
        }
        let least = self.service.percent(100 * STANDING_SLOT_TIMES);
        let most = self.budget.percent(STANDING_PERCENT).max(least);
        if self.wait > most {
            return WaitVerdict::Standing;
        }
        WaitVerdict::Admit
    }

    /// The refusal for `reason`, with the time until the wait that stands
    /// now has been worked off, and up to as long again by `random`.
    ///
    /// Without the jitter, all who were refused in one burst would come
    /// back as one burst.
    pub(crate) fn refusal(
        &self,
        reason: NotRunReason,
        random: u64,
    ) -> QueueRefusal {
        let least = self.wait.max(self.service).max(MIN_RETRY_AFTER);
        let least = least.min(MAX_RETRY_AFTER).as_micros();
        let jitter = random % (least + 1);
        let retry_after = TimeSpan::from_micros(least + jitter);
        QueueRefusal { reason, retry_after }
    }
}

//! The order in which waiting requests get a free slot.
//!
//! For a moment there may be more requests than slots. If all of them are
//! woken at once, whichever runs first takes the slot and an old request can
//! starve. If age alone decides, a request of low priority is served before
//! one of high priority. Here priority decides first, then the order of
//! arrival. A request that was woken but got no slot keeps its position.

use std::collections::BTreeMap;

use goldcrestramp_types::{LocalTime, TimeSpan};

/// A queue is standing once requests have waited in it for this long: the load
/// exceeds the capacity, and not only in a short burst.
const STANDING_AFTER: TimeSpan = TimeSpan::from_millis(300);

/// In a standing queue, a request is admitted if it is expected to be served
/// within this share of its target latency. Half of those that are expected
/// just in time are late, and each delays all behind it.
const ADMISSION_PERCENT: u64 = 60;

/// The position of a request, the same in every queue that it joins.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct QueuePosition {
    /// The priority; 0 is served first.
    pub priority: u8,
    /// The order of arrival, unique for each request.
    pub sequence: u64,
}

/// Requests that wait for the same resource, each with its waker.
///
/// # Example
///
/// ```
/// use goldcrestramp_decisions::{QueuePosition, AdmissionQueue};
///
/// let mut queue = AdmissionQueue::default();
/// queue.join(QueuePosition { priority: 2, sequence: 1 }, "lookup");
/// queue.join(QueuePosition { priority: 1, sequence: 2 }, "order");
/// assert_eq!(queue.wake(), Some("order"));
/// ```
#[derive(Debug)]
pub struct AdmissionQueue<Waker> {
    waiting: BTreeMap<QueuePosition, Waker>,
    /// When the current period of waiting began.
    waiting_since: Option<LocalTime>,
}

impl<Waker> Default for AdmissionQueue<Waker> {
    fn default() -> Self {
        Self { waiting: BTreeMap::new(), waiting_since: None }
    }
}

impl<Waker> AdmissionQueue<Waker> {
    /// Adds a waiter at a position.
    pub fn join(&mut self, position: QueuePosition, waker: Waker) {
        self.waiting.insert(position, waker);
    }

    /// Records that a request has to wait, and returns whether the queue is
    /// standing.
    ///
    /// In a standing queue, a request that can only be served late should be
    /// refused at once. If it were admitted, every request would be late,
    /// since each one waits for those before it until the end of its deadline.
    fn is_standing(&mut self, now: LocalTime) -> bool {
        now.since(*self.waiting_since.get_or_insert(now)) >= STANDING_AFTER
    }

    /// The time within which a request that has to wait must be expected to be
    /// served, or it is refused; `target` is what remains of its target
    /// latency, and `remaining` of its deadline.
    pub fn admission_time(
        &mut self,
        now: LocalTime,
        target: TimeSpan,
        remaining: TimeSpan,
    ) -> TimeSpan {
        if self.is_standing(now) {
            remaining.min(target.percent(ADMISSION_PERCENT))
        } else {
            remaining
        }
    }

    /// Records that a request did not have to wait.
    pub const fn record_progress(&mut self) {
        self.waiting_since = None;
    }

    /// Removes a waiter.
    pub fn leave(&mut self, position: QueuePosition) {
        self.waiting.remove(&position);
    }

    /// Removes the first waiter and returns its waker.
    pub fn wake(&mut self) -> Option<Waker> {
        self.waiting.pop_first().map(|(_position, waker)| waker)
    }

    /// Removes all waiters and returns their wakers in order.
    pub fn wake_all(&mut self) -> impl Iterator<Item = Waker> {
        std::mem::take(&mut self.waiting).into_values()
    }

    /// The number of waiters before this position.
    #[must_use]
    pub fn ahead_of(&self, position: QueuePosition) -> usize {
        self.waiting.range(..position).count()
    }

    /// The number of waiters.
    #[must_use]
    pub fn len(&self) -> usize {
        self.waiting.len()
    }

    /// Whether the queue has no waiters.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }
}

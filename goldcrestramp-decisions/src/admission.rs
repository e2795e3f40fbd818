//! Who is next when a slot becomes free.
//!
//! The load: more requests than slots for a moment. Woken all at once, the
//! luckiest takes the slot and an old request can wait for ever; woken by
//! age alone, a request of low rank is served before one of high rank.
//! Here the rank decides, then the arrival; one that was woken in vain
//! keeps its place.

use std::collections::BTreeMap;

use goldcrestramp_types::{LocalTime, TimeSpan};

/// A queue in which somebody has waited for so long stands: more comes than
/// can be served, and it is no burst that passes.
const STANDING: TimeSpan = TimeSpan::from_millis(300);

/// The place of a request in any queue it comes to wait in.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct QueuePosition {
    /// The rank, 0 first.
    pub priority: u8,
    /// The order of arrival; no two requests have the same.
    pub sequence: u64,
}

/// Requests that wait for the same thing, each with what wakes it.
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
    /// Since when somebody has had to wait.
    since: Option<LocalTime>,
}

impl<Waker> Default for AdmissionQueue<Waker> {
    fn default() -> Self {
        Self { waiting: BTreeMap::new(), since: None }
    }
}

impl<Waker> AdmissionQueue<Waker> {
    /// Waits at a place.
    pub fn join(&mut self, place: QueuePosition, waker: Waker) {
        self.waiting.insert(place, waker);
    }

    /// Notes that somebody has to wait; whether the queue stands.
    ///
    /// While it does, one that could only be answered late is better told
    /// so at once: let in, every request is late, as each waits for those
    /// before it until the last moment of its deadline.
    pub fn is_standing(&mut self, now: LocalTime) -> bool {
        now.since(*self.since.get_or_insert(now)) >= STANDING
    }

    /// Notes that a request did not have to wait.
    pub const fn record_progress(&mut self) {
        self.since = None;
    }

    /// Leaves the queue.
    pub fn leave(&mut self, place: QueuePosition) {
        self.waiting.remove(&place);
    }

    /// Takes the first of the queue.
    pub fn wake(&mut self) -> Option<Waker> {
        self.waiting.pop_first().map(|(_place, waker)| waker)
    }

    /// Takes everyone, in order.
    pub fn wake_all(&mut self) -> impl Iterator<Item = Waker> {
        std::mem::take(&mut self.waiting).into_values()
    }

    /// How many wait before this place.
    #[must_use]
    pub fn ahead_of(&self, place: QueuePosition) -> usize {
        self.waiting.range(..place).count()
    }

    /// How many wait.
    #[must_use]
    pub fn len(&self) -> usize {
        self.waiting.len()
    }

    /// Whether nobody waits.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }
}

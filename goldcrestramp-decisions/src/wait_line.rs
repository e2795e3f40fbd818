//! Who is next when a slot becomes free.
//!
//! The load: more requests than slots for a moment. Woken all at once, the
//! luckiest takes the slot and an old request can wait for ever; woken by
//! age alone, a request of low rank is served before one of high rank.
//! Here the rank decides, then the arrival; one that was woken in vain
//! keeps its place.

use std::collections::BTreeMap;

/// The place of a request in any line it comes to wait in.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct LinePlace {
    /// The rank, 0 first.
    pub priority: u8,
    /// The order of arrival; no two requests have the same.
    pub turn: u64,
}

/// Requests that wait for the same thing, each with what wakes it.
///
/// # Example
///
/// ```
/// use goldcrestramp_decisions::{LinePlace, WaitLine};
///
/// let mut line = WaitLine::default();
/// line.join(LinePlace { priority: 2, turn: 1 }, "lookup");
/// line.join(LinePlace { priority: 1, turn: 2 }, "order");
/// assert_eq!(line.wake(), Some("order"));
/// ```
#[derive(Debug)]
pub struct WaitLine<Waker> {
    waiting: BTreeMap<LinePlace, Waker>,
}

impl<Waker> Default for WaitLine<Waker> {
    fn default() -> Self {
        Self { waiting: BTreeMap::new() }
    }
}

impl<Waker> WaitLine<Waker> {
    /// Waits at a place.
    pub fn join(&mut self, place: LinePlace, waker: Waker) {
        self.waiting.insert(place, waker);
    }

    /// Leaves the line.
    pub fn leave(&mut self, place: LinePlace) {
        self.waiting.remove(&place);
    }

    /// Takes the first of the line.
    pub fn wake(&mut self) -> Option<Waker> {
        self.waiting.pop_first().map(|(_place, waker)| waker)
    }

    /// Takes everyone, in order.
    pub fn wake_all(&mut self) -> impl Iterator<Item = Waker> {
        std::mem::take(&mut self.waiting).into_values()
    }

    /// How many wait before this place.
    #[must_use]
    pub fn ahead_of(&self, place: LinePlace) -> usize {
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

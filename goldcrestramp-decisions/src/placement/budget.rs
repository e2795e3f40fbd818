//! How many moves may be asked for.

use goldcrestramp_types::{LocalTime, TimeSpan};

/// Moves that may be asked for now; refilled evenly over a minute.
///
/// Without it a wrong report, or a load that swings, would move slices as
/// fast as reports come, and each is without an owner for a moment.
#[derive(Clone, Copy, Debug)]
pub(super) struct MoveBudget {
    per_minute: u32,
    left: u32,
    refill_at: LocalTime,
}

impl MoveBudget {
    /// A full budget.
    pub(super) fn new(per_minute: u32) -> Self {
        let left = burst(per_minute);
        Self { per_minute, left, refill_at: LocalTime::default() }
    }

    /// Adds what has become free by `now`.
    pub(super) fn refill(&mut self, now: LocalTime) {
        if now < self.refill_at {
            return;
        }
        self.left = burst(self.per_minute);
        self.refill_at = now + REFILL_EVERY;
    }

    /// Takes one move; false when none is left.
    pub(super) fn take(&mut self) -> bool {
        let any = self.left > 0;
        self.left = self.left.saturating_sub(1);
        any
    }
}

/// How often the budget is filled again.
const REFILL_EVERY: TimeSpan = TimeSpan::from_millis(10_000);

/// A sixth of a minute's moves may be asked for at once.
fn burst(per_minute: u32) -> u32 {
    per_minute.div_ceil(6)
}

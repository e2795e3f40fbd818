//! A budget of moves.

use goldcrestramp_types::{LocalTime, TimeSpan};

/// The moves that may be planned now, refilled in even steps over a minute.
///
/// Without it a wrong report or an oscillating load would move slices as often
/// as reports arrive, and each moved slice is without an owner for a moment.
#[derive(Clone, Copy, Debug)]
pub(super) struct MoveBudget {
    per_minute: u32,
    remaining: u32,
    refill_at: LocalTime,
}

impl MoveBudget {
    /// Creates a full budget.
    pub(super) fn new(per_minute: u32) -> Self {
        let remaining = burst(per_minute);
        Self { per_minute, remaining, refill_at: LocalTime::default() }
    }

    /// Refills the budget if it is due at `now`.
    pub(super) fn refill(&mut self, now: LocalTime) {
        if now < self.refill_at {
            return;
        }
        self.remaining = burst(self.per_minute);
        self.refill_at = now + REFILL_INTERVAL;
    }

    /// Takes one move. Returns false if none remains.
    pub(super) fn take(&mut self) -> bool {
        let is_available = self.remaining > 0;
        self.remaining = self.remaining.saturating_sub(1);
        is_available
    }
}

/// The interval between refills.
const REFILL_INTERVAL: TimeSpan = TimeSpan::from_millis(10_000);

/// The moves of one refill interval: a sixth of a minute's moves.
fn burst(per_minute: u32) -> u32 {
    per_minute.div_ceil(6)
}

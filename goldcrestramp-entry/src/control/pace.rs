//! When the tables of a service are committed.

use goldcrestramp_types::{LocalTime, TimeSpan};

/// The minimum time between the starts of two commits of a table: short beside
/// the time that callers wait for a key that moves.
const MIN_COMMIT_INTERVAL: TimeSpan = TimeSpan::from_millis(150);

/// The pace of the commits of one table.
///
/// A key moves in steps, each of which is committed. While many keys move, as
/// when others become busy, some step ends every few milliseconds. Each commit
/// is a call to the store and is sent to all VMs, so the steps that end within
/// a short time share one. A step that follows none is committed at once.
#[derive(Debug)]
pub struct CommitPace {
    in_flight: bool,
    next_at: LocalTime,
}

impl CommitPace {
    /// The pace of a table that may be committed at once.
    #[must_use]
    pub const fn open(now: LocalTime) -> Self {
        Self { in_flight: false, next_at: now }
    }

    /// Whether a commit may begin now.
    #[must_use]
    pub fn is_due(&self, now: LocalTime) -> bool {
        !self.in_flight && now >= self.next_at
    }

    /// Records that a commit begins.
    pub fn begin(&mut self, now: LocalTime) {
        self.in_flight = true;
        self.next_at = now + MIN_COMMIT_INTERVAL;
    }

    /// Records that the commit in flight has ended and its outcome is known.
    pub const fn end(&mut self) {
        self.in_flight = false;
    }
}

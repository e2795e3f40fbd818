//! What a VM may have under way at the only server that holds a key.
//!
//! The load: more requests for a server's keys than its slots can run, from
//! many VMs that do not know of one another. With one request of each of
//! twelve VMs the queue of a server of four slots is three times as long as
//! what runs, and every answer is late; nobody else can serve its keys. So
//! a VM whose answers are nearly late sends less than one at a time: it
//! pauses after each answer. What is in the queue then is answered in time,
//! and the rest is told at once.
//!
//! Each answer is a sign of its own, as a VM has a few a second from each
//! server: a late one takes a part of the share, one in time adds a little.

use goldcrestramp_types::{LocalTime, TimeSpan};

/// The part of the target at which answers are nearly late.
const NEARLY_LATE_PERCENT: u64 = 70;

/// What is left of the share after an answer that was nearly late.
const SHRUNK_PERCENT: u64 = 90;

/// What one in time adds, in hundredths of a request. Slow servers answer
/// one in five late without any queue, and keep their share.
const GROWN: u64 = 6;

/// The least share, in hundredths of a request: a server that is well again
/// shows by its answers.
const SHARE_LEAST: u64 = 20;

/// One request at a time.
const ONE: u64 = 100;

/// The share of one VM at one server.
///
/// # Example
///
/// ```
/// use goldcrestramp_decisions::OwnerShare;
/// use goldcrestramp_types::{LocalTime, TimeSpan};
///
/// let (now, target) =
///     (LocalTime::from_micros(0), TimeSpan::from_millis(400));
/// let mut share = OwnerShare::open(2);
/// assert_eq!(share.limit(now), 2);
/// for _ in 0..20 {
///     share.answered(now, TimeSpan::from_millis(600), target, 2);
/// }
/// assert_eq!(share.limit(now), 0);
/// assert!(share.free_at() > now);
/// ```
#[derive(Clone, Copy, Debug)]
pub struct OwnerShare {
    /// Requests under way, in hundredths.
    share: u64,
    free_at: LocalTime,
}

impl OwnerShare {
    /// Opens with all that the VM may have under way.
    #[must_use]
    pub const fn open(most: usize) -> Self {
        let free_at = LocalTime::from_micros(0);
        Self { share: ONE * most as u64, free_at }
    }

    /// Takes an answer that took `span`, on a route with a target; `most`
    /// is what the VM may have under way there at the most.
    pub fn answered(
        &mut self,
        now: LocalTime,
        span: TimeSpan,
        target: TimeSpan,
        most: usize,
    ) {
        if span > target.percent(NEARLY_LATE_PERCENT) {
            self.share = self.share * SHRUNK_PERCENT / 100;
        } else {
            self.share += GROWN;
        }
        let most = (ONE * most as u64).max(SHARE_LEAST);
        self.share = self.share.clamp(SHARE_LEAST, most);
        if self.share < ONE {
            self.free_at = now + self.interval(span).minus(span);
        }
    }

    /// What may be under way now.
    #[must_use]
    pub fn limit(&self, now: LocalTime) -> usize {
        if self.share < ONE {
            return usize::from(now >= self.free_at);
        }
        usize::try_from(self.share / ONE).unwrap_or(usize::MAX)
    }

    /// When the pause after the last answer ends.
    #[must_use]
    pub const fn free_at(&self) -> LocalTime {
        self.free_at
    }

    /// The time between two requests if each takes `span`.
    #[must_use]
    pub const fn interval(&self, span: TimeSpan) -> TimeSpan {
        span.percent(ONE * 100 / self.share)
    }
}

//! Whether the control thread is busy.
//!
//! A control thread that reads or builds a large change responds to no call
//! until it is done. The traffic thread responds for it, so that the VMs which
//! follow this one can tell a busy VM from a lost one.

use std::sync::{
    Arc,
    atomic::{AtomicU64, Ordering},
};

use goldcrestramp_types::{LocalTime, TimeSpan};

/// The control thread counts as busy when its last sign is older than this:
/// two of its ticks.
const MAX_SIGN_AGE: TimeSpan = TimeSpan::from_millis(200);

/// The last sign of the control thread; shared with the traffic thread.
#[derive(Clone, Debug, Default)]
pub struct ControlActivity(Arc<AtomicU64>);

impl ControlActivity {
    /// Records that the control thread has handled all messages sent until
    /// `now`.
    pub fn record_sign(&self, now: LocalTime) {
        self.0.store(now.as_micros(), Ordering::Relaxed);
    }

    /// Whether the control thread is busy; a thread that has not started yet
    /// is not.
    #[must_use]
    pub fn is_busy(&self, now: LocalTime) -> bool {
        let signed_at = LocalTime::from_micros(self.0.load(Ordering::Relaxed));
        let started = signed_at > LocalTime::default();
        started && now.since(signed_at) > MAX_SIGN_AGE
    }
}

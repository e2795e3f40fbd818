//! What the backoffs of all VMs tell about a server.
//!
//! A server asks each VM by itself for a backoff. One VM can't tell a server
//! that sheds a little from one that refuses everything. The VM that plans
//! can: the share of the fleet that is in a backoff is the share of requests
//! that the server does not accept. Its keys move to servers with room.

use std::{hash::Hash, sync::Arc};

use goldcrestramp_types::{FastMap, LocalTime, TimeSpan};

/// How long a backoff counts after its end. Without it all keys would return
/// to a server at once, which may still refuse them.
const RETENTION: TimeSpan = TimeSpan::from_millis(3_000);

/// The largest share of the fleet that counts: some keys stay with a server
/// that refuses everything, and show when it accepts requests again.
const MAX_SHARE: f32 = 0.9;

/// The backoffs that the VMs of a fleet report, by server.
///
/// # Example
///
/// ```
/// use goldcrestramp_decisions::BackoffReports;
/// use goldcrestramp_types::{LocalTime, TimeSpan};
///
/// let start = LocalTime::from_micros(0);
/// let until = start + TimeSpan::from_millis(3_000);
/// let mut reports = BackoffReports::default();
/// reports.record("server", "vm-1".into(), until);
/// // Half of the fleet is refused, so each request costs twice as much.
/// assert_eq!(reports.work_factor(start, &"server", 2), 2.0);
/// assert_eq!(reports.work_factor(start, &"other", 2), 1.0);
/// ```
#[derive(Clone, Debug)]
pub struct BackoffReports<Key>(FastMap<Key, FastMap<Arc<str>, LocalTime>>);

impl<Key> Default for BackoffReports<Key> {
    fn default() -> Self {
        Self(FastMap::default())
    }
}

impl<Key: Eq + Hash> BackoffReports<Key> {
    /// Records that a server wants no requests from a VM until `until`.
    pub fn record(&mut self, server: Key, vm: Arc<str>, until: LocalTime) {
        self.0.entry(server).or_default().insert(vm, until);
    }

    /// By how much more work a request is at a server than usually, as it
    /// accepts none from a part of `vms` VMs.
    pub fn work_factor(
        &self,
        now: LocalTime,
        server: &Key,
        vms: usize,
    ) -> f32 {
        let Some(ends) = self.0.get(server) else { return 1.0 };
        let refused = ends.values().filter(|end| counts(now, **end)).count();
        #[expect(clippy::cast_precision_loss, reason = "small counts")]
        let share = refused as f32 / vms.max(1) as f32;
        1.0 / (1.0 - share.min(MAX_SHARE))
    }

    /// Removes backoffs that no longer count.
    pub fn retain(&mut self, now: LocalTime) {
        self.0.retain(|_server, ends| {
            ends.retain(|_vm, end| counts(now, *end));
            !ends.is_empty()
        });
    }
}

fn counts(now: LocalTime, end: LocalTime) -> bool {
    now < end + RETENTION
}

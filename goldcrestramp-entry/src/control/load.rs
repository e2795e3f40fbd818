//! The load of a VM, reported to the planning VM.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use goldcrestramp_types::{FastMap, SliceIndex, TimeSpan};
use serde::{Deserialize, Serialize};

/// The responses of one server.
#[derive(Clone, Copy, Debug, Default, Serialize, Deserialize)]
pub struct ResponseTotals {
    /// The number of responses.
    pub responses: u32,
    /// The sum of their response times, in milliseconds.
    pub millis: u32,
}

/// The load of one sharded service since the last report.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct ServiceLoad {
    /// The number of requests by key.
    pub keys: FastMap<u16, u32>,
    /// The responses by server id.
    pub servers: FastMap<Arc<str>, ResponseTotals>,
}

/// The load of one VM since its last report, by service.
pub type LoadReport = FastMap<Arc<str>, ServiceLoad>;

/// Load counters, written by the traffic thread and read by the control
/// thread.
#[derive(Clone, Debug, Default)]
pub struct LoadRecorder(Arc<Mutex<LoadReport>>);

impl LoadRecorder {
    /// Counts a request for a key.
    pub fn record_request(&self, service: &Arc<str>, slice: SliceIndex) {
        let mut report = self.lock();
        let load = report.entry(Arc::clone(service)).or_default();
        *load.keys.entry(slice.get()).or_default() += 1;
    }

    /// Counts a response of a server and adds its response time, `span`.
    pub fn record_response(
        &self,
        service: &Arc<str>,
        server: &Arc<str>,
        span: TimeSpan,
    ) {
        let mut report = self.lock();
        let load = report.entry(Arc::clone(service)).or_default();
        let totals = load.servers.entry(Arc::clone(server)).or_default();
        let millis = u32::try_from(span.as_millis()).unwrap_or(u32::MAX);
        totals.responses += 1;
        totals.millis = totals.millis.saturating_add(millis);
    }

    /// Takes the counts and resets them.
    #[must_use]
    pub fn take(&self) -> LoadReport {
        std::mem::take(&mut *self.lock())
    }

    fn lock(&self) -> MutexGuard<'_, LoadReport> {
        // Counts remain valid if a thread panicked while it held the lock.
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

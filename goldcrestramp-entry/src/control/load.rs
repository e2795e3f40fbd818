//! What was asked for, told to the planning VM.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use goldcrestramp_types::{FastMap, SliceIndex, TimeSpan};
use serde::{Deserialize, Serialize};

/// The answers of one server.
#[derive(Clone, Copy, Debug, Default, Serialize, Deserialize)]
pub struct ResponseTotals {
    /// How many came.
    pub responses: u32,
    /// The time that they took, in milliseconds.
    pub millis: u32,
}

/// What one divided service was asked since the last report.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct ServiceLoad {
    /// Requests by key.
    pub keys: FastMap<u16, u32>,
    /// Answers by server id.
    pub servers: FastMap<Arc<str>, ResponseTotals>,
}

/// What one VM was asked since its last report, by service.
pub type LoadReport = FastMap<Arc<str>, ServiceLoad>;

/// Counts on the traffic thread, read on the control thread.
#[derive(Clone, Debug, Default)]
pub struct LoadRecorder(Arc<Mutex<LoadReport>>);

impl LoadRecorder {
    /// Counts a request for a key.
    pub fn record_request(&self, service: &Arc<str>, slice: SliceIndex) {
        let mut report = self.lock();
        let load = report.entry(Arc::clone(service)).or_default();
        *load.keys.entry(slice.get()).or_default() += 1;
    }

    /// Counts an answer of a server.
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

    /// Takes what was counted.
    #[must_use]
    pub fn take(&self) -> LoadReport {
        std::mem::take(&mut *self.lock())
    }

    fn lock(&self) -> MutexGuard<'_, LoadReport> {
        // Counts are valid whatever happened to their holder.
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

//! Non-idempotent requests in flight, by server and slice.

use std::sync::{Arc, Mutex, PoisonError};

use goldcrestramp_types::{FastMap, ServerName, SliceIndex, SliceSet};

/// Counts of requests in flight by slice, one map for each server.
type SliceCounts = FastMap<ServerName, FastMap<SliceIndex, u32>>;

/// Requests that must end before their slice may be reported as released.
#[derive(Clone, Debug, Default)]
pub(crate) struct RunningWork {
    counts: Arc<Mutex<SliceCounts>>,
}

impl RunningWork {
    /// Counts one request as in flight until the guard is dropped.
    pub(crate) fn start(
        &self,
        server: &ServerName,
        slice: SliceIndex,
    ) -> RunningGuard {
        let mut counts =
            self.counts.lock().unwrap_or_else(PoisonError::into_inner);
        let slices = counts.entry(server.clone()).or_default();
        *slices.entry(slice).or_default() += 1;
        RunningGuard { work: self.clone(), server: server.clone(), slice }
    }

    /// The slices of a server that have requests in flight.
    pub(crate) fn slices(&self, server: &ServerName) -> SliceSet {
        let counts =
            self.counts.lock().unwrap_or_else(PoisonError::into_inner);
        let slices = counts.get(server);
        slices.into_iter().flat_map(|s| s.keys().copied()).collect()
    }

    fn end(&self, server: &ServerName, slice: SliceIndex) {
        let mut counts =
            self.counts.lock().unwrap_or_else(PoisonError::into_inner);
        let Some(slices) = counts.get_mut(server) else {
            return;
        };
        if let Some(count) = slices.get_mut(&slice) {
            *count -= 1;
            if *count == 0 {
                slices.remove(&slice);
            }
        }
    }
}

/// Counts one request as in flight until it is dropped.
#[derive(Debug)]
pub(crate) struct RunningGuard {
    work: RunningWork,
    server: ServerName,
    slice: SliceIndex,
}

impl Drop for RunningGuard {
    fn drop(&mut self) {
        self.work.end(&self.server, self.slice);
    }
}

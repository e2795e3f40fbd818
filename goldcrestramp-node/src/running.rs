//! Non-idempotent work under way, by server and slice.

use std::sync::{Arc, Mutex, PoisonError};

use goldcrestramp_types::{FastMap, ServerName, SliceIndex, SliceSet};

/// Counts of running work by slice, one map a server.
type SliceCounts = FastMap<ServerName, FastMap<SliceIndex, u32>>;

/// Work that must end before its slice may be reported as released.
#[derive(Clone, Debug, Default)]
pub(crate) struct RunningWork {
    counts: Arc<Mutex<SliceCounts>>,
}

impl RunningWork {
    /// Counts one request until the guard is dropped.
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

    /// The slices of a server on which work is under way.
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

/// Marks one request as under way.
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

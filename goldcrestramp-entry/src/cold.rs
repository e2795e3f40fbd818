//! Tracks which servers are cold, and until when.

use std::sync::Arc;

use goldcrestramp_adapter::ServerEntry;
use goldcrestramp_types::{FastMap, LocalTime, TimeSpan};

/// A server that is cold or was until a short time ago.
#[derive(Clone, Copy, Debug)]
struct ColdServer {
    /// The start time of its instance, in Unix milliseconds.
    started_ms: u64,
    /// The remaining time that its entry states.
    stated: TimeSpan,
    until: LocalTime,
}

/// The servers that are cold: they say so themselves, or the evacuation of
/// their failure domain has ended.
#[derive(Debug, Default)]
pub(crate) struct ColdTracker(FastMap<Arc<str>, ColdServer>);

impl ColdTracker {
    /// Records the entry of a server as known at `now`.
    pub(crate) fn record_entry(
        &mut self,
        now: LocalTime,
        entry: &ServerEntry,
    ) {
        let stated = entry.warmup_remaining;
        let started_ms = entry.started_ms;
        let known = self.0.get(&entry.id);
        let is_same = known.is_some_and(|known| {
            known.started_ms == started_ms && known.stated == stated
        });
        if is_same || known.is_none() && stated == TimeSpan::ZERO {
            return;
        }
        let server = ColdServer { started_ms, stated, until: now + stated };
        self.0.insert(Arc::clone(&entry.id), server);
    }

    /// Records that requests may be sent to a server again after the
    /// evacuation of its failure domain. It may be cold for `duration`, also
    /// if its entry does not say so yet.
    pub(crate) fn record_return(
        &mut self,
        now: LocalTime,
        entry: &ServerEntry,
        duration: TimeSpan,
    ) {
        let server = ColdServer {
            started_ms: entry.started_ms,
            stated: entry.warmup_remaining,
            until: now + duration.max(entry.warmup_remaining),
        };
        self.0.insert(Arc::clone(&entry.id), server);
    }

    /// Removes the servers that are warm by now or have no entry.
    pub(crate) fn retain(
        &mut self,
        now: LocalTime,
        is_present: impl Fn(&str) -> bool,
    ) {
        self.0.retain(|id, server| server.until > now && is_present(id));
    }

    /// The cold servers, each with the time until which it is cold.
    pub(crate) fn deadlines(&self) -> FastMap<Arc<str>, LocalTime> {
        let servers = self.0.iter();
        servers.map(|(id, server)| (Arc::clone(id), server.until)).collect()
    }
}

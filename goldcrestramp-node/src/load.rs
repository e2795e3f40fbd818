//! Slot time used at the servers whose keeper this VM is.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use goldcrestramp_decisions::{LoadReport, ServerLoad};
use goldcrestramp_types::{
    FastMap, LocalTime, ServerName, SliceIndex, TimeSpan,
};

/// Slot time by server. The traffic threads record it; the control thread
/// reads it for its reports.
#[derive(Clone, Debug, Default)]
pub(crate) struct ServerLoads {
    loads: Arc<Mutex<FastMap<ServerName, ServerLoad>>>,
}

impl ServerLoads {
    /// Adds `span`, the slot time of a request that has ended.
    pub(crate) fn record(
        &self,
        server: &ServerName,
        slice: SliceIndex,
        span: TimeSpan,
    ) {
        let mut loads = self.lock();
        if let Some(load) = loads.get_mut(server) {
            load.record(slice, span);
            return;
        }
        loads.entry(server.clone()).or_default().record(slice, span);
    }

    /// Records that a server, which has `slots` slots, is slow or not
    /// responding, so that it counts as full.
    pub(crate) fn set_full(
        &self,
        now: LocalTime,
        server: &ServerName,
        slots: usize,
    ) {
        let mut loads = self.lock();
        let load = loads.entry(server.clone()).or_default();
        load.set_full(now, slots);
    }

    /// Returns and resets the load of a server since the last call.
    pub(crate) fn take(
        &self,
        now: LocalTime,
        server: &ServerName,
    ) -> LoadReport {
        let mut loads = self.lock();
        let load = loads.get_mut(server);
        load.map(|load| load.take_report(now)).unwrap_or_default()
    }

    fn lock(&self) -> MutexGuard<'_, FastMap<ServerName, ServerLoad>> {
        self.loads.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

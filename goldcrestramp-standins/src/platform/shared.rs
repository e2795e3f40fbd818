//! State that all calls of a stand-in platform share.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use bytes::Bytes;
use goldcrestramp_platform::VmEntry;
use tokio::sync::watch;

use super::{
    faults::{OutageKind, PlatformFaults},
    proxy::{ConnectionCutter, cutter},
    state::PlatformState,
};

/// The platform's state and the channels that announce its changes.
#[derive(Clone, Debug)]
pub(super) struct PlatformShared {
    state: Arc<Mutex<PlatformState>>,
    pub(super) changes: watch::Sender<u64>,
    pub(super) outage: watch::Sender<OutageKind>,
    pub(super) cutter: ConnectionCutter,
}

impl PlatformShared {
    pub(super) fn new() -> Self {
        Self {
            state: Arc::default(),
            changes: watch::Sender::new(0),
            outage: watch::Sender::new(OutageKind::None),
            cutter: cutter(),
        }
    }

    /// Locks the state; a poisoned lock still holds usable state.
    pub(super) fn state(&self) -> MutexGuard<'_, PlatformState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    pub(super) fn set_vms(&self, vms: Vec<VmEntry>) {
        self.state().set_vms(vms);
        self.changed();
    }

    pub(super) fn set_faults(&self, faults: PlatformFaults) {
        let outage = faults.outage;
        self.state().faults = faults;
        // Notifies only of a change, because every notification ends
        // connections.
        self.outage.send_if_modified(|kind| {
            let changed = *kind != outage;
            *kind = outage;
            changed
        });
    }

    pub(super) fn restore(&self) {
        self.state().restore();
        self.changed();
    }

    /// Restores the saved copy and returns the value of `key` in it.
    pub(super) fn restore_and_read(&self, key: &str) -> Option<Bytes> {
        let value = {
            let mut state = self.state();
            state.restore();
            state.read(key).map(|entry| entry.value.clone())
        };
        self.changed();
        value
    }

    /// Wakes the watches.
    pub(super) fn changed(&self) {
        self.changes.send_modify(|count| *count += 1);
    }
}

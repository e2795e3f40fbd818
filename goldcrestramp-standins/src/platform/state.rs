//! The stored state of a stand-in platform.

use std::{
    collections::BTreeMap,
    time::{Duration, Instant},
};

use bytes::Bytes;
use goldcrestramp_platform::VmEntry;
use goldcrestramp_types::FastMap;

use super::{
    faults::PlatformFaults,
    rates::{CallTally, RateWindow},
};

/// How long past VM lists are kept, which bounds the lag that can be
/// simulated.
const MAX_LAG: Duration = Duration::from_mins(10);

/// A stored value.
#[derive(Clone, Debug)]
pub(super) struct StoredEntry {
    pub(super) version: u64,
    pub(super) value: Bytes,
    pub(super) lease: Option<u64>,
}

/// All values and the number of the last write, at one time.
#[derive(Clone, Debug, Default)]
struct StoreSnapshot {
    revision: u64,
    entries: BTreeMap<String, StoredEntry>,
}

/// The complete state of the platform.
#[derive(Debug, Default)]
pub(super) struct PlatformState {
    store: StoreSnapshot,
    saved: StoreSnapshot,
    leases: FastMap<u64, (Instant, Duration)>,
    granted: u64,
    vms: Vec<(Instant, Vec<VmEntry>)>,
    pub(super) faults: PlatformFaults,
    pub(super) rates: RateWindow,
    pub(super) tally: CallTally,
}

impl PlatformState {
    /// Reads a key.
    pub(super) fn read(&mut self, key: &str) -> Option<&StoredEntry> {
        self.expire();
        self.store.entries.get(key)
    }

    /// The version of a key; zero if it has no value.
    pub(super) fn version(&mut self, key: &str) -> u64 {
        self.read(key).map_or(0, |entry| entry.version)
    }

    /// Writes a key if its version is `expected` (zero: no value) and the
    /// lease, if any, has not ended.
    pub(super) fn write(
        &mut self,
        key: &str,
        expected: u64,
        value: Bytes,
        lease: Option<u64>,
    ) -> Option<u64> {
        if self.version(key) != expected {
            return None;
        }
        if lease.is_some_and(|lease| !self.leases.contains_key(&lease)) {
            return None;
        }
        self.store.revision += 1;
        let version = self.store.revision;
        let entry = StoredEntry { version, value, lease };
        self.store.entries.insert(key.to_owned(), entry);
        Some(version)
    }

    /// Grants a lease.
    pub(super) fn grant(&mut self, ttl: Duration) -> u64 {
        // Lease ids don't use the store's revision, which decreases when the
        // store is restored.
        self.granted += 1;
        let lease = self.granted;
        self.leases.insert(lease, (Instant::now() + ttl, ttl));
        lease
    }

    /// Renews a lease; false when it has ended.
    pub(super) fn renew(&mut self, lease: u64) -> bool {
        self.expire();
        let Some((until, ttl)) = self.leases.get_mut(&lease) else {
            return false;
        };
        *until = Instant::now() + *ttl;
        true
    }

    /// Ends a lease and removes the values tied to it.
    pub(super) fn end(&mut self, lease: u64) {
        self.leases.remove(&lease);
        self.expire();
    }

    /// Saves a copy of all values.
    pub(super) fn save(&mut self) {
        self.saved = self.store.clone();
    }

    /// Restores the saved copy: values and versions are the older ones.
    pub(super) fn restore(&mut self) {
        self.store = self.saved.clone();
    }

    /// Replaces the true VM list.
    pub(super) fn set_vms(&mut self, vms: Vec<VmEntry>) {
        let now = Instant::now();
        let oldest = now.checked_sub(MAX_LAG);
        self.vms.retain(|(at, _)| oldest.is_none_or(|oldest| *at > oldest));
        self.vms.push((now, vms));
    }

    /// The VM list as callers see it: lagging, and with its wrong entries.
    pub(super) fn shown_vms(&self) -> Vec<VmEntry> {
        let lag = Duration::from_millis(self.faults.vm_lag_ms);
        let now = Instant::now();
        let seen = self.vms.iter().rev().find(|(at, _)| *at + lag <= now);
        let mut vms = seen.map_or_else(Vec::new, |(_, vms)| vms.clone());
        let wrong = &self.faults.vm_wrong;
        let hidden = &self.faults.vm_hidden;
        vms.retain(|vm| wrong.iter().all(|entry| entry.name != vm.name));
        vms.extend(wrong.iter().cloned());
        vms.retain(|vm| !hidden.contains(&vm.name));
        vms
    }

    /// Removes expired leases and the values tied to them.
    fn expire(&mut self) {
        let now = Instant::now();
        self.leases.retain(|_, (until, _)| *until > now);
        let leases = &self.leases;
        self.store.entries.retain(|_, entry| {
            entry.lease.is_none_or(|lease| leases.contains_key(&lease))
        });
    }
}

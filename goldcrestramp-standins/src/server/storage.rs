//! Values of keys: stored for all servers, cached by the owner.

use std::sync::{Arc, Mutex, PoisonError};

use goldcrestramp_types::{FastMap, SliceIndex, SliceSet};

/// The stored values, shared by the servers of one process.
///
/// A server reads a key once after it gained the key's slice and then works
/// from its cache, as an owner may. Two concurrent owners lose each other's
/// writes, which the check of histories detects.
#[derive(Clone, Debug, Default)]
pub struct KeyStorage {
    values: Arc<Mutex<FastMap<Arc<str>, u64>>>,
}

impl KeyStorage {
    fn read(&self, key: &str) -> u64 {
        let values = self.values.lock();
        let values = values.unwrap_or_else(PoisonError::into_inner);
        values.get(key).copied().unwrap_or(0)
    }

    fn write(&self, key: &Arc<str>, value: u64) {
        let values = self.values.lock();
        let mut values = values.unwrap_or_else(PoisonError::into_inner);
        values.insert(Arc::clone(key), value);
    }
}

/// One server's cache of the keys that it owns.
#[derive(Debug, Default)]
pub(super) struct KeyCache {
    storage: KeyStorage,
    slices: FastMap<SliceIndex, FastMap<Arc<str>, u64>>,
}

impl KeyCache {
    pub(super) fn new(storage: KeyStorage) -> Self {
        Self { storage, slices: FastMap::default() }
    }

    /// The value of a key.
    pub(super) fn value(&mut self, slice: SliceIndex, key: &Arc<str>) -> u64 {
        *self.entry(slice, key)
    }

    /// Increments the value of a key; returns the new value.
    pub(super) fn increment(
        &mut self,
        slice: SliceIndex,
        key: &Arc<str>,
    ) -> u64 {
        let value = self.entry(slice, key);
        *value += 1;
        let value = *value;
        self.storage.write(key, value);
        value
    }

    /// Evicts the keys of every slice that is not held.
    pub(super) fn keep_only(&mut self, held: &SliceSet) {
        self.slices.retain(|slice, _| held.contains(*slice));
    }

    /// Evicts every key.
    pub(super) fn clear(&mut self) {
        self.slices.clear();
    }

    fn entry(&mut self, slice: SliceIndex, key: &Arc<str>) -> &mut u64 {
        let keys = self.slices.entry(slice).or_default();
        let storage = &self.storage;
        keys.entry(Arc::clone(key)).or_insert_with(|| storage.read(key))
    }
}

//! This VM's copy of the store.

use std::{
    collections::{BTreeMap, VecDeque},
    ops::Bound,
    sync::Arc,
};

use bytes::Bytes;
use goldcrestramp_adapter::{
    SERVER_PREFIX, ServerEntry, StoreEvent, StoreItem,
};
use serde::{Deserialize, Serialize};

use crate::records::TABLE_PREFIX;

/// A value with the revision of its last change.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct MirrorValue {
    /// The value's bytes.
    pub value: Vec<u8>,
    /// The store's revision of the last write.
    pub revision: u64,
    /// The revision of the last write that carried new information.
    pub changed: u64,
}

/// The number of removals that are kept, so that another VM can be sent only
/// the changes. This is enough for a full fleet of servers that leaves within
/// a second.
const MAX_REMOVALS: usize = 512;

/// The changes of the store since a revision.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct MirrorDelta {
    items: Vec<(Arc<str>, MirrorValue)>,
    removed: Vec<(Arc<str>, u64)>,
    revision: u64,
}

/// A copy of the store that never reverts to an older state.
///
/// Changes come from a watch, from full reads, from the responses to own
/// writes and from other VMs, in any order and more than once. The revision of
/// an item decides which value is newer.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct StoreMirror {
    items: BTreeMap<Arc<str>, MirrorValue>,
    /// The revision up to which all changes are known.
    revision: u64,
    /// The revision up to which all changes were known when new information
    /// last arrived.
    last_change_revision: u64,
    /// The last removals, oldest first.
    removed: VecDeque<(Arc<str>, u64)>,
    /// All removals after this revision are in `removed`.
    removed_since: u64,
}

impl StoreMirror {
    /// The revision up to which all changes are known; 0 if none are.
    #[must_use]
    pub const fn revision(&self) -> u64 {
        self.revision
    }

    /// The revision up to which all changes were known when new information
    /// last arrived.
    #[must_use]
    pub const fn last_change_revision(&self) -> u64 {
        self.last_change_revision
    }

    /// The value of a key.
    #[must_use]
    pub fn get(&self, key: &str) -> Option<&MirrorValue> {
        self.items.get(key)
    }

    /// Removes and returns an item that is kept elsewhere.
    pub fn extract(&mut self, key: &str) -> Option<MirrorValue> {
        self.items.remove(key)
    }

    /// The items whose keys begin with `prefix`, in key order.
    pub fn range<'a>(
        &'a self,
        prefix: &'a str,
    ) -> impl Iterator<Item = (&'a Arc<str>, &'a MirrorValue)> {
        self.items
            .range::<str, _>((Bound::Included(prefix), Bound::Unbounded))
            .take_while(move |(key, _)| key.starts_with(prefix))
    }

    /// Applies all changes up to `revision`, in order; returns whether any
    /// carries new information.
    ///
    /// Servers write a heartbeat each second, which changes nothing that a VM
    /// uses. Passed on, the heartbeats of hundreds of servers fill a narrow
    /// link as soon as some VMs follow this one. So they are applied here, but
    /// do not count as changes for other VMs.
    pub fn apply(&mut self, events: Vec<StoreEvent>, revision: u64) -> bool {
        let mut changed_any = false;
        for event in events {
            match event {
                StoreEvent::Written(item) => {
                    let known = self.items.get(&item.key);
                    let same =
                        known.filter(|known| is_equivalent(known, &item));
                    changed_any |= same.is_none();
                    let changed = same.map_or(item.revision, |k| k.changed);
                    self.write_if_newer(item, changed);
                }
                StoreEvent::Removed { key, revision } => {
                    changed_any = true;
                    self.remove(&key, revision);
                }
            }
        }
        self.advance(revision, changed_any);
        changed_any
    }

    /// Records up to which revision all changes are known.
    fn advance(&mut self, revision: u64, has_changes: bool) {
        self.revision = self.revision.max(revision);
        if has_changes {
            self.last_change_revision = self.revision;
        }
    }

    /// Records a change of data that is kept elsewhere.
    pub fn record_change(&mut self) {
        self.last_change_revision = self.revision;
    }

    /// Writes one item; changes before it may be missing.
    pub fn write(&mut self, item: StoreItem) {
        // There may have been another value between the known one and this
        // one, and a VM that has it must be sent the change.
        let changed = item.revision;
        self.write_if_newer(item, changed);
    }

    fn write_if_newer(&mut self, item: StoreItem, changed: u64) {
        let known = self.items.get(&item.key);
        if known.is_some_and(|known| known.revision >= item.revision) {
            return;
        }
        let value = MirrorValue {
            value: Vec::from(Bytes::clone(&item.value)),
            revision: item.revision,
            changed,
        };
        self.items.insert(item.key, value);
    }

    fn remove(&mut self, key: &str, revision: u64) {
        let known = self.items.get(key);
        if known.is_some_and(|known| known.revision < revision) {
            self.items.remove(key);
        }
        if self.removed.len() >= MAX_REMOVALS
            && let Some((_key, oldest)) = self.removed.pop_front()
        {
            self.removed_since = self.removed_since.max(oldest);
        }
        self.removed.push_back((key.into(), revision));
    }

    /// The changes since a revision, without tables; `None` if removals since
    /// then are no longer kept.
    #[must_use]
    pub fn delta_since(&self, revision: u64) -> Option<MirrorDelta> {
        (revision >= self.removed_since).then_some(())?;
        let items = self.items.iter();
        let removed = self.removed.iter();
        Some(MirrorDelta {
            items: items
                .filter(|(_key, value)| value.changed > revision)
                .filter(|(key, _value)| !key.starts_with(TABLE_PREFIX))
                .map(|(key, value)| (Arc::clone(key), value.clone()))
                .collect(),
            removed: removed
                .filter(|(_key, at)| *at > revision)
                .cloned()
                .collect(),
            revision: self.revision,
        })
    }

    /// Applies another VM's changes; returns whether there were any. They are
    /// `complete` if the tables of that time are known as well.
    pub fn apply_delta(&mut self, delta: MirrorDelta, complete: bool) -> bool {
        let changed_any = !delta.items.is_empty() || !delta.removed.is_empty();
        for (key, revision) in delta.removed {
            self.remove(&key, revision);
        }
        for (key, MirrorValue { value, revision, .. }) in delta.items {
            self.write(StoreItem { key, value: value.into(), revision });
        }
        let revision = if complete { delta.revision } else { self.revision };
        self.advance(revision, changed_any);
        changed_any
    }

    /// Replaces the contents by a read of the full store that began at
    /// `revision`. A read that is older than the known revision is ignored.
    pub fn replace(&mut self, items: Vec<StoreItem>, revision: u64) -> bool {
        if revision < self.revision {
            return false;
        }
        // Own writes may be newer than the start of the read.
        let newer = |value: &MirrorValue| value.revision > revision;
        self.items.retain(|_key, value| newer(value));
        for item in items {
            self.write(item);
        }
        self.advance(revision, true);
        self.removed.clear();
        self.removed_since = revision;
        true
    }

    /// A copy for another VM, without tables: those are sent as patches.
    #[must_use]
    pub fn without_tables(&self) -> Self {
        let mut copy = self.clone();
        copy.items.retain(|key, _value| !key.starts_with(TABLE_PREFIX));
        copy
    }

    /// Replaces the contents by another VM's copy if it is newer; tables stay
    /// as they are.
    pub fn adopt(&mut self, other: Self) -> bool {
        if other.revision <= self.revision {
            return false;
        }
        let since = other.revision;
        let own = std::mem::replace(self, other);
        for (key, value) in own.items {
            if value.revision > since || key.starts_with(TABLE_PREFIX) {
                let known = self.items.get(&key).map(|v| v.revision);
                if known.is_none_or(|known| known < value.revision) {
                    self.items.insert(key, value);
                }
            }
        }
        true
    }
}

/// Whether an item carries no more information than the known value.
fn is_equivalent(known: &MirrorValue, item: &StoreItem) -> bool {
    let parse = |value: &[u8]| ServerEntry::parse(&item.key, value);
    // A value that was known ahead of other changes still counts as a change
    // for the VMs that follow this one.
    known.revision < item.revision
        && item.key.starts_with(SERVER_PREFIX)
        && parse(&known.value) == parse(&item.value)
}

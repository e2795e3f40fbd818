//! The recent versions of the assignment tables.
//!
//! A commit changes a few of some hundred ranges. A VM that replicates it
//! sends the changes since the version that the other VM has, so recent
//! versions are kept.

use std::{collections::VecDeque, sync::Arc};

use goldcrestramp_assignment::{AssignmentTable, TableError, TablePatch};
use goldcrestramp_types::FastMap;
use serde::{Deserialize, Serialize};

use crate::{mirror::StoreMirror, records::TABLE_PREFIX};

/// The number of versions kept of each table. 4 commits per second is a high
/// rate, so a VM that is 4 s behind is sent the full table.
const MAX_VERSIONS: usize = 16;

/// Identifies a version of a table.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct TableRevision {
    /// The table's key in the store.
    pub key: Arc<str>,
    /// The store's revision of its commit.
    pub revision: u64,
}

/// A newer version of a table.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct TableUpdate {
    /// The version that the table has with this update.
    pub version: TableRevision,
    /// The contents.
    pub payload: TablePayload,
}

/// The contents of a newer version.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum TablePayload {
    /// The changes since the version of revision `base`.
    Patch {
        /// The revision of the version that the patch applies to.
        base: u64,
        /// The changes.
        patch: TablePatch,
    },
    /// The full table.
    Full(AssignmentTable),
}

#[derive(Debug)]
struct TableVersion {
    revision: u64,
    table: Arc<AssignmentTable>,
}

/// The recent versions of every table that a VM has seen.
#[derive(Debug, Default)]
pub struct TableHistory {
    versions: FastMap<Arc<str>, VecDeque<TableVersion>>,
}

impl TableHistory {
    /// Records the tables that are in the mirror; returns whether any is new.
    pub fn record(&mut self, mirror: &StoreMirror) -> bool {
        let mut any = false;
        for (key, item) in mirror.range(TABLE_PREFIX) {
            let versions = self.versions.entry(Arc::clone(key)).or_default();
            let known = versions.back().map_or(0, |last| last.revision);
            if item.revision <= known {
                continue;
            }
            let Ok(table) = AssignmentTable::decode(&item.value) else {
                continue;
            };
            if versions.len() >= MAX_VERSIONS {
                versions.pop_front();
            }
            let table = Arc::new(table);
            versions
                .push_back(TableVersion { revision: item.revision, table });
            any = true;
        }
        any
    }

    /// The newest version of each table.
    #[must_use]
    pub fn known_revisions(&self) -> Vec<TableRevision> {
        let newest = |(key, versions): (&Arc<str>, &VecDeque<_>)| {
            let last: &TableVersion = versions.back()?;
            let key = Arc::clone(key);
            Some(TableRevision { key, revision: last.revision })
        };
        self.versions.iter().filter_map(newest).collect()
    }

    /// The updates for a VM that has the `known` versions.
    #[must_use]
    pub fn update_for(&self, known: &[TableRevision]) -> Vec<TableUpdate> {
        let mut updates = Vec::new();
        for (key, versions) in &self.versions {
            let Some(last) = versions.back() else { continue };
            let base = known.iter().find(|version| version.key == *key);
            let base = base.map_or(0, |version| version.revision);
            if base >= last.revision {
                continue;
            }
            let base_version = versions.iter().find(|v| v.revision == base);
            let payload = match base_version {
                Some(base_version) => TablePayload::Patch {
                    base,
                    patch: last.table.patch_from(&base_version.table),
                },
                None => TablePayload::Full((*last.table).clone()),
            };
            let key = Arc::clone(key);
            let version = TableRevision { key, revision: last.revision };
            updates.push(TableUpdate { version, payload });
        }
        updates
    }

    /// The table that results from an update of the known version; `None` if
    /// the known version is at least as new.
    ///
    /// # Errors
    ///
    /// [`TableError`] if the update is a patch for another version.
    pub fn resolve(
        &self,
        update: TableUpdate,
    ) -> Result<Option<AssignmentTable>, TableError> {
        let versions = self.versions.get(&update.version.key);
        let last = versions.and_then(VecDeque::back);
        if last.is_some_and(|last| last.revision >= update.version.revision) {
            return Ok(None);
        }
        match update.payload {
            TablePayload::Full(table) => Ok(Some(table)),
            TablePayload::Patch { base, patch } => last
                .filter(|last| last.revision == base)
                .ok_or(TableError)
                .and_then(|last| last.table.patched(&patch).map(Some)),
        }
    }
}

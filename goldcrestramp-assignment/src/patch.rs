//! What has changed between two tables.
//!
//! A move changes one run of some hundreds. Told whole to every VM several
//! times a second, tables fill the links of a fleet; what has changed is a
//! small part of them.

use serde::{Deserialize, Serialize};

use crate::table::{
    AssignedRange, AssignmentTable, ServerInstance, TableError,
};

/// A run that is not the same in the older table, with its holder.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
struct PatchRange {
    run: AssignedRange,
    instance: ServerInstance,
}

/// What makes a newer table of an older one.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct TablePatch {
    highest_token: u64,
    /// In the order of their keys.
    ranges: Vec<PatchRange>,
}

impl AssignmentTable {
    /// What makes this table of an older one.
    #[must_use]
    pub fn patch_from(&self, older: &Self) -> TablePatch {
        let changed = |run: &&AssignedRange| {
            let known = older.find(run.range.first);
            let same =
                AssignedRange { instance: run.instance, ..known.clone() };
            same != **run
                || older.instance(known.instance)
                    != self.instance(run.instance)
        };
        let ranges =
            self.ranges.iter().filter(changed).map(|run| PatchRange {
                run: run.clone(),
                instance: self.instance(run.instance).clone(),
            });
        TablePatch {
            highest_token: self.highest_token,
            ranges: ranges.collect(),
        }
    }

    /// The newer table: this one with the patch that was made from it.
    ///
    /// Runs that both tables have cover the same keys in both, so what is
    /// left of this one is replaced by the patch key by key.
    ///
    /// # Errors
    ///
    /// [`TableError`] if the patch was made from another table.
    pub fn patched(&self, patch: &TablePatch) -> Result<Self, TableError> {
        let replaced = |run: &AssignedRange| {
            let next = patch
                .ranges
                .partition_point(|p| p.run.range.last < run.range.first);
            let next = patch.ranges.get(next);
            next.is_some_and(|p| p.run.range.first <= run.range.last)
        };
        let mut table = self.clone();
        table.ranges.retain(|run| !replaced(run));
        table.highest_token = patch.highest_token;
        for PatchRange { run, instance } in &patch.ranges {
            let instance = table.place_of(instance).ok_or(TableError)?;
            table.ranges.push(AssignedRange { instance, ..run.clone() });
        }
        table.ranges.sort_by_key(|run| run.range.first);
        table.forget_unused();
        if table.is_whole() { Ok(table) } else { Err(TableError) }
    }
}

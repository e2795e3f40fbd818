//! The difference between two tables.
//!
//! A move changes one range among hundreds. Full tables, sent to every VM
//! several times a second, would saturate the links of a fleet; the changed
//! ranges are a small part of a table.

use serde::{Deserialize, Serialize};

use crate::table::{
    AssignedRange, AssignmentTable, ServerInstance, TableError,
};

/// An assigned range that differs from the older table, with its holder.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
struct PatchRange {
    run: AssignedRange,
    instance: ServerInstance,
}

/// The ranges that turn an older table into a newer one.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct TablePatch {
    highest_token: u64,
    /// Ordered by key.
    ranges: Vec<PatchRange>,
}

impl AssignmentTable {
    /// The patch that turns `older` into this table.
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

    /// Applies a patch that was made from this table, and returns the newer
    /// table.
    ///
    /// A range that both tables have covers the same keys in both. So every
    /// range of this table either stays or overlaps the patch and is
    /// replaced by it.
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
            let instance = table.instance_key(instance).ok_or(TableError)?;
            table.ranges.push(AssignedRange { instance, ..run.clone() });
        }
        table.ranges.sort_by_key(|run| run.range.first);
        table.remove_unused_instances();
        if table.is_valid() { Ok(table) } else { Err(TableError) }
    }
}

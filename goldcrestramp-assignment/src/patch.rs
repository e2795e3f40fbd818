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
    assigned: AssignedRange,
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
        let changed = |assigned: &&AssignedRange| {
            let known = older.find(assigned.range.first);
            let same =
                AssignedRange { instance: assigned.instance, ..known.clone() };
            same != **assigned
                || older.instance(known.instance)
                    != self.instance(assigned.instance)
        };
        let ranges =
            self.ranges.iter().filter(changed).map(|assigned| PatchRange {
                assigned: assigned.clone(),
                instance: self.instance(assigned.instance).clone(),
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
        let replaced = |assigned: &AssignedRange| {
            let next = patch.ranges.partition_point(|p| {
                p.assigned.range.last < assigned.range.first
            });
            let next = patch.ranges.get(next);
            next.is_some_and(|p| p.assigned.range.first <= assigned.range.last)
        };
        let mut table = self.clone();
        table.ranges.retain(|assigned| !replaced(assigned));
        table.highest_token = patch.highest_token;
        for PatchRange { assigned, instance } in &patch.ranges {
            let instance = table.instance_key(instance).ok_or(TableError)?;
            table.ranges.push(AssignedRange { instance, ..assigned.clone() });
        }
        table.ranges.sort_by_key(|assigned| assigned.range.first);
        table.remove_unused_instances();
        if table.is_valid() { Ok(table) } else { Err(TableError) }
    }
}

//! Edits of a table that compute its next version.

use goldcrestramp_types::{SliceIndex, SliceRange};

use crate::table::{
    AssignedRange, AssignmentTable, InstanceKey, ServerInstance,
};

impl AssignmentTable {
    /// Returns a token above every one that was written for the service.
    pub(crate) const fn next_token(&mut self) -> u64 {
        self.highest_token += 1;
        self.highest_token
    }

    /// The key of a server instance, which is added if it is missing.
    /// `None` if all keys are in use.
    pub(crate) fn instance_key(
        &mut self,
        instance: &ServerInstance,
    ) -> Option<InstanceKey> {
        let known = self.instances.iter().position(|other| other == instance);
        let position = known.unwrap_or(self.instances.len());
        let key = u16::try_from(position).ok().map(InstanceKey)?;
        if known.is_none() {
            self.instances.push(instance.clone());
        }
        Some(key)
    }

    /// Splits the assigned range that covers `range`, so that one of the
    /// pieces is exactly `range`, and returns that piece's position.
    ///
    /// The pieces keep holder, token, phase and handover. `None`, without
    /// a split, if no single assigned range covers `range`.
    pub(crate) fn isolate(&mut self, range: SliceRange) -> Option<usize> {
        let covers = |assigned: &AssignedRange| assigned.range.covers(range);
        let position = self.ranges.iter().position(covers)?;
        let source = self.ranges[position].clone();
        let part = |first: SliceIndex, last: SliceIndex| AssignedRange {
            range: SliceRange { first, last },
            ..source.clone()
        };
        let mut pieces = Vec::with_capacity(3);
        if let Some(last) = before(range.first)
            && source.range.first < range.first
        {
            pieces.push(part(source.range.first, last));
        }
        let isolated = position + pieces.len();
        pieces.push(part(range.first, range.last));
        if let Some(first) = after(range.last)
            && range.last < source.range.last
        {
            pieces.push(part(first, source.range.last));
        }
        self.ranges.splice(position..=position, pieces);
        Some(isolated)
    }

    /// Removes server instances without keys, so that the table does not
    /// grow with every instance that ever existed.
    pub(crate) fn remove_unused_instances(&mut self) {
        let mut new_positions = vec![None; self.instances.len()];
        let mut used = Vec::new();
        for assigned in &mut self.ranges {
            let old = usize::from(assigned.instance.0);
            let new = *new_positions[old].get_or_insert_with(|| {
                used.push(self.instances[old].clone());
                used.len() - 1
            });
            assigned.instance =
                InstanceKey(u16::try_from(new).unwrap_or(u16::MAX));
        }
        self.instances = used;
    }
}

fn before(slice: SliceIndex) -> Option<SliceIndex> {
    slice.get().checked_sub(1).map(SliceIndex::from)
}

fn after(slice: SliceIndex) -> Option<SliceIndex> {
    slice.get().checked_add(1).map(SliceIndex::from)
}

//! A table while its next version is worked out.

use goldcrestramp_types::{SliceIndex, SliceRange};

use crate::table::{
    AssignedRange, AssignmentTable, InstanceKey, ServerInstance,
};

impl AssignmentTable {
    /// A token above every one that was written for the service.
    pub(crate) const fn next_token(&mut self) -> u64 {
        self.highest_token += 1;
        self.highest_token
    }

    /// The place of a server, made if it has none; nothing if all places
    /// are taken.
    pub(crate) fn place_of(
        &mut self,
        instance: &ServerInstance,
    ) -> Option<InstanceKey> {
        let known = self.instances.iter().position(|other| other == instance);
        let place = known.unwrap_or(self.instances.len());
        let key = u16::try_from(place).ok().map(InstanceKey)?;
        if known.is_none() {
            self.instances.push(instance.clone());
        }
        Some(key)
    }

    /// Cuts runs so that one run is exactly `range`; the pieces keep what
    /// they had. Nothing is cut if no single run covers `range`.
    pub(crate) fn carve(&mut self, range: SliceRange) -> Option<usize> {
        let covers = |run: &AssignedRange| run.range.covers(range);
        let position = self.ranges.iter().position(covers)?;
        let whole = self.ranges[position].clone();
        let part = |first: SliceIndex, last: SliceIndex| AssignedRange {
            range: SliceRange { first, last },
            ..whole.clone()
        };
        let mut pieces = Vec::with_capacity(3);
        if let Some(last) = before(range.first)
            && whole.range.first < range.first
        {
            pieces.push(part(whole.range.first, last));
        }
        let carved = position + pieces.len();
        pieces.push(part(range.first, range.last));
        if let Some(first) = after(range.last)
            && range.last < whole.range.last
        {
            pieces.push(part(first, whole.range.last));
        }
        self.ranges.splice(position..=position, pieces);
        Some(carved)
    }

    /// Leaves out servers that hold nothing, so that the table does not
    /// grow with every server that ever was.
    pub(crate) fn forget_unused(&mut self) {
        let mut places = vec![None; self.instances.len()];
        let mut kept = Vec::new();
        for run in &mut self.ranges {
            let old = usize::from(run.instance.0);
            let new = *places[old].get_or_insert_with(|| {
                kept.push(self.instances[old].clone());
                kept.len() - 1
            });
            run.instance = InstanceKey(u16::try_from(new).unwrap_or(u16::MAX));
        }
        self.instances = kept;
    }
}

fn before(slice: SliceIndex) -> Option<SliceIndex> {
    slice.get().checked_sub(1).map(SliceIndex::from)
}

fn after(slice: SliceIndex) -> Option<SliceIndex> {
    slice.get().checked_add(1).map(SliceIndex::from)
}

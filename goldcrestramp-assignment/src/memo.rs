//! What became of the orders of each run.

use std::sync::Arc;

use goldcrestramp_types::{FastMap, LocalTime, SliceIndex};

use crate::table::AssignedRun;

/// An order of one run, as far as it is known.
#[derive(Clone, Debug, Default)]
pub(crate) struct RunMemo {
    /// When the next order is due; the start of the clock: at once.
    pub(crate) due: LocalTime,
    /// Whether one is on its way.
    pub(crate) in_flight: bool,
    /// Whether the server has taken the grant.
    pub(crate) granted: bool,
    /// Whether the server has said that it has seen a higher token.
    pub(crate) outdated: bool,
    /// What the holder left, once it has released the run.
    pub(crate) released: Option<Option<Arc<str>>>,
}

/// Memos by the first key and the token of a run: a change of either is a
/// new order.
#[derive(Clone, Debug, Default)]
pub(crate) struct MemoBook(FastMap<(SliceIndex, u64), RunMemo>);

impl MemoBook {
    pub(crate) fn get(&self, run: &AssignedRun) -> Option<&RunMemo> {
        self.0.get(&(run.range.first, run.token))
    }

    pub(crate) fn entry(&mut self, run: &AssignedRun) -> &mut RunMemo {
        self.0.entry((run.range.first, run.token)).or_default()
    }

    /// Leaves out what belongs to no run of the table.
    pub(crate) fn retain(&mut self, runs: &[AssignedRun]) {
        let kept = runs.iter().filter_map(|run| {
            let key = (run.range.first, run.token);
            Some((key, self.0.remove(&key)?))
        });
        self.0 = kept.collect();
    }
}

//! What became of the orders of each run.

use std::sync::Arc;

use goldcrestramp_types::{FastMap, LocalTime, SliceIndex};

use crate::table::AssignedRange;

/// What the server has said to the order of a run.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub(crate) enum RunAnswer {
    /// Nothing yet.
    #[default]
    None,
    /// It holds the keys.
    Granted,
    /// It has seen a higher token on one of them.
    Outdated,
    /// It has stopped, and left this for the next holder.
    Released(Option<Arc<str>>),
}

/// An order of one run, as far as it is known.
#[derive(Clone, Debug, Default)]
pub(crate) struct RunMemo {
    /// When the next order is due; the start of the clock: at once.
    pub(crate) due: LocalTime,
    /// Whether one is on its way.
    pub(crate) in_flight: bool,
    /// What was said to the last one that was answered.
    pub(crate) answer: RunAnswer,
}

impl RunMemo {
    /// Whether an order is wanted, now or later.
    pub(crate) const fn waits(&self) -> bool {
        let done = matches!(
            self.answer,
            RunAnswer::Outdated | RunAnswer::Released(_)
        );
        !self.in_flight && !done
    }
}

/// Memos by the first key and the token of a run: a change of either is a
/// new order.
#[derive(Clone, Debug, Default)]
pub(crate) struct MemoBook(FastMap<(SliceIndex, u64), RunMemo>);

impl MemoBook {
    pub(crate) fn get(&self, run: &AssignedRange) -> Option<&RunMemo> {
        self.0.get(&(run.range.first, run.token))
    }

    pub(crate) fn entry(&mut self, run: &AssignedRange) -> &mut RunMemo {
        self.0.entry((run.range.first, run.token)).or_default()
    }

    /// Leaves out what belongs to no run of the table.
    pub(crate) fn retain(&mut self, ranges: &[AssignedRange]) {
        let kept = ranges.iter().filter_map(|run| {
            let key = (run.range.first, run.token);
            Some((key, self.0.remove(&key)?))
        });
        self.0 = kept.collect();
    }
}

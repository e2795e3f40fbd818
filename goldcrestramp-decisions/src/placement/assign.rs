//! Assigns slices that need a new target.

use goldcrestramp_types::{SliceIndex, SliceSet};

use super::{
    load::LoadEstimate,
    view::{PlannedMove, TargetView},
};

/// Spreads the slices of a target that is lost or drains over the targets that
/// accept slices: heaviest first, each to the target with the lowest
/// utilization.
///
/// `source` is the position of the previous target. No slice is assigned while
/// no target accepts slices.
#[must_use]
pub fn assign_orphans(
    source: usize,
    orphans: &SliceSet,
    targets: &[TargetView],
    loads: &LoadEstimate,
) -> Vec<PlannedMove> {
    let mut shares: Vec<TargetShare> = targets
        .iter()
        .enumerate()
        .filter(|(index, view)| view.accepts_slices && *index != source)
        .map(|(index, view)| TargetShare::of(index, view, loads))
        .collect();
    let mut slices: Vec<SliceIndex> = orphans.iter().collect();
    slices.sort_by(|a, b| {
        let heavier = loads.of(*b).total_cmp(&loads.of(*a));
        heavier.then(a.cmp(b))
    });
    let mut moves = Vec::with_capacity(slices.len());
    for slice in slices {
        let load = loads.of(slice);
        let lightest = shares.iter_mut().min_by(|a, b| {
            let lighter =
                a.utilization_with(load).total_cmp(&b.utilization_with(load));
            lighter.then(a.held.total_cmp(&b.held))
        });
        let Some(share) = lightest else {
            break;
        };
        share.used += load;
        share.held += 1.0 / share.slots;
        moves.push(PlannedMove { slice, source, target: share.index });
    }
    moves
}

/// A target while slices are assigned to it.
#[derive(Debug)]
struct TargetShare {
    index: usize,
    slots: f64,
    used: f64,
    /// Held slices per slot. It breaks ties of equal load, for example at a
    /// start, when no load is known.
    held: f64,
}

impl TargetShare {
    fn of(index: usize, view: &TargetView, loads: &LoadEstimate) -> Self {
        let slots = f64::from(view.slots.max(1));
        let used = loads.of_target(view);
        let held = u32::try_from(view.held.len()).unwrap_or(u32::MAX);
        Self { index, slots, used, held: f64::from(held) / slots }
    }

    fn utilization_with(&self, load: f64) -> f64 {
        (self.used + load) / self.slots
    }
}

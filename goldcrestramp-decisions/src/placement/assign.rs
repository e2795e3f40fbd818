//! Slices that have to find a new place.

use goldcrestramp_types::{SliceIndex, SliceSet};

use super::{
    load::LoadEstimate,
    view::{PlannedMove, TargetView},
};

/// Spreads the slices of a place that is lost or drains over the open
/// ones: heaviest first, each to where the use is then lowest.
///
/// `source` is the place's position. Nothing is given out while no place
/// is open.
#[must_use]
pub fn assign_orphans(
    source: usize,
    orphans: &SliceSet,
    places: &[TargetView],
    loads: &LoadEstimate,
) -> Vec<PlannedMove> {
    let mut shares: Vec<PlaceShare> = places
        .iter()
        .enumerate()
        .filter(|(place, view)| view.open && *place != source)
        .map(|(place, view)| PlaceShare::of(place, view, loads))
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
            let lighter = a.use_with(load).total_cmp(&b.use_with(load));
            lighter.then(a.held.total_cmp(&b.held))
        });
        let Some(share) = lightest else {
            break;
        };
        share.used += load;
        share.held += 1.0 / share.slots;
        moves.push(PlannedMove { slice, source, target: share.place });
    }
    moves
}

/// A place while slices are given out.
#[derive(Debug)]
struct PlaceShare {
    place: usize,
    slots: f64,
    used: f64,
    /// Slices held a slot: decides where the load is equal, as at a start
    /// when none is known.
    held: f64,
}

impl PlaceShare {
    fn of(place: usize, view: &TargetView, loads: &LoadEstimate) -> Self {
        let slots = f64::from(view.slots.max(1));
        let used = loads.of_place(view);
        let held = u32::try_from(view.held.len()).unwrap_or(u32::MAX);
        Self { place, slots, used, held: f64::from(held) / slots }
    }

    fn use_with(&self, load: f64) -> f64 {
        (self.used + load) / self.slots
    }
}

//! Simpler placements, to judge the one in use against.

use goldcrestramp_types::{SliceCount, SliceIndex, SliceSet};

use super::{
    load::LoadEstimate,
    view::{PlannedMove, TargetView},
};

/// Places a slice by its number alone: rendezvous hashing, each place's
/// chance in proportion to its slots.
///
/// Slices move only when a place comes or goes, and no load is seen.
#[must_use]
pub fn hash_placement(
    count: SliceCount,
    places: &[TargetView],
) -> Vec<SliceSet> {
    let mut held = vec![SliceSet::new(); places.len()];
    for slice in count.indices() {
        let open = (0..places.len()).filter(|place| places[*place].open);
        let best = open.max_by(|a, b| {
            let left = score(slice, *a, places[*a].slots);
            left.total_cmp(&score(slice, *b, places[*b].slots))
        });
        if let Some(place) = best {
            held[place].insert(slice);
        }
    }
    held
}

/// Moves the heaviest slice that fits from the fullest place to the
/// emptiest, until no such move brings them closer.
///
/// Every round, with no regard to cost, rest or budget.
#[must_use]
pub fn greedy_moves(
    places: &[TargetView],
    loads: &LoadEstimate,
    limit: usize,
) -> Vec<PlannedMove> {
    let mut used: Vec<f64> =
        places.iter().map(|place| loads.of_place(place)).collect();
    let mut held: Vec<SliceSet> =
        places.iter().map(|place| place.held.clone()).collect();
    let mut moves = Vec::new();
    while moves.len() < limit {
        let Some(chosen) = greedy_move(places, loads, &used, &held) else {
            break;
        };
        let load = loads.of(chosen.slice);
        used[chosen.source] -= load;
        used[chosen.target] += load;
        held[chosen.source].remove(chosen.slice);
        held[chosen.target].insert(chosen.slice);
        moves.push(chosen);
    }
    moves
}

fn greedy_move(
    places: &[TargetView],
    loads: &LoadEstimate,
    used: &[f64],
    held: &[SliceSet],
) -> Option<PlannedMove> {
    let use_of =
        |place: usize| used[place] / f64::from(places[place].slots.max(1));
    let open = || (0..places.len()).filter(|place| places[*place].open);
    let by_use = |a: &usize, b: &usize| use_of(*a).total_cmp(&use_of(*b));
    let source = open().max_by(by_use)?;
    let target = open().min_by(by_use)?;
    let half = (used[source] - used[target]) / 2.0;
    let fits = held[source].iter().filter(|slice| {
        let load = loads.of(*slice);
        load > 0.0 && load <= half
    });
    let heaviest = fits
        .max_by(|a, b| loads.of(*a).total_cmp(&loads.of(*b)).then(b.cmp(a)))?;
    // A gap of a hundredth of a slot is even enough.
    let closer = half > 0.005;
    closer.then_some(PlannedMove { slice: heaviest, source, target })
}

/// The slice's score at a place: `-slots / ln(h)` with `h` evenly spread
/// in (0, 1) gives each place its share.
fn score(slice: SliceIndex, place: usize, slots: u32) -> f64 {
    let place = u64::try_from(place).unwrap_or(u64::MAX);
    let mixed = mix(u64::from(slice.get()) << 32 | place);
    #[expect(clippy::cast_precision_loss, reason = "52 bits are enough")]
    let spread = ((mixed >> 12) as f64 + 0.5) / (1_u64 << 52) as f64;
    -f64::from(slots) / spread.ln()
}

/// The finalizer of `SplitMix64`: each bit of the result depends on all
/// bits of the number.
const fn mix(number: u64) -> u64 {
    let number = number.wrapping_add(0x9e37_79b9_7f4a_7c15);
    let number = (number ^ (number >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let number = (number ^ (number >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    number ^ (number >> 31)
}

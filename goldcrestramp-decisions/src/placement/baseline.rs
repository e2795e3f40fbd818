//! Simpler placements, baselines for the one in use.

use goldcrestramp_types::{SliceCount, SliceIndex, SliceSet};

use super::{
    load::LoadEstimate,
    view::{PlannedMove, TargetView},
};

/// Places slices by their numbers alone: rendezvous hashing, where each
/// target's chance is proportional to its slots.
///
/// Slices move only when the set of targets that accept slices changes, and
/// load is ignored.
#[must_use]
pub fn hash_placement(
    count: SliceCount,
    targets: &[TargetView],
) -> Vec<SliceSet> {
    let mut held = vec![SliceSet::new(); targets.len()];
    for slice in count.indices() {
        let accepting =
            (0..targets.len()).filter(|index| targets[*index].accepts_slices);
        let best = accepting.max_by(|a, b| {
            let own_score = score(slice, *a, targets[*a].slots);
            own_score.total_cmp(&score(slice, *b, targets[*b].slots))
        });
        if let Some(index) = best {
            held[index].insert(slice);
        }
    }
    held
}

/// Moves the heaviest slice that fits from the most to the least utilized
/// target, until no such move brings them closer.
///
/// It runs every round and ignores cost, cooldown and budget.
#[must_use]
pub fn greedy_moves(
    targets: &[TargetView],
    loads: &LoadEstimate,
    limit: usize,
) -> Vec<PlannedMove> {
    let mut used: Vec<f64> =
        targets.iter().map(|view| loads.of_target(view)).collect();
    let mut held: Vec<SliceSet> =
        targets.iter().map(|view| view.held.clone()).collect();
    let mut moves = Vec::new();
    while moves.len() < limit {
        let Some(chosen) = greedy_move(targets, loads, &used, &held) else {
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
    targets: &[TargetView],
    loads: &LoadEstimate,
    used: &[f64],
    held: &[SliceSet],
) -> Option<PlannedMove> {
    let utilization_of =
        |index: usize| used[index] / f64::from(targets[index].slots.max(1));
    let accepting =
        || (0..targets.len()).filter(|index| targets[*index].accepts_slices);
    let by_utilization = |a: &usize, b: &usize| {
        utilization_of(*a).total_cmp(&utilization_of(*b))
    };
    let source = accepting().max_by(by_utilization)?;
    let target = accepting().min_by(by_utilization)?;
    let half = (used[source] - used[target]) / 2.0;
    let fits = held[source].iter().filter(|slice| {
        let load = loads.of(*slice);
        load > 0.0 && load <= half
    });
    let heaviest = fits
        .max_by(|a, b| loads.of(*a).total_cmp(&loads.of(*b)).then(b.cmp(a)))?;
    // Targets within a hundredth of a slot count as balanced.
    let brings_closer = half > 0.005;
    brings_closer.then_some(PlannedMove { slice: heaviest, source, target })
}

/// The slice's score at a target: `-slots / ln(h)` with `h` uniform in (0, 1)
/// gives each target its share.
fn score(slice: SliceIndex, index: usize, slots: u32) -> f64 {
    let index = u64::try_from(index).unwrap_or(u64::MAX);
    let mixed = mix(u64::from(slice.get()) << 32 | index);
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

//! The servers that hold keys, and how much they are used.

use goldcrestramp_types::SliceRange;

use crate::{
    queueing::{DelayCurve, bisect, slot_count},
    rebalancing::load::RangeLoad,
};

/// A server that may hold keys.
#[derive(Clone, Copy, Debug)]
pub struct TargetLoad {
    /// The requests that it runs at once.
    pub slots: u32,
    /// Its work on a request, in seconds.
    pub work_s: f32,
    /// Whether it may be given keys.
    pub accepts_keys: bool,
}

/// A run of keys with the position of its holder.
#[derive(Clone, Copy, Debug)]
pub struct PlacedRange {
    /// The keys.
    pub range: SliceRange,
    /// The holder's position among the places.
    pub target: usize,
    /// Whether it may move now.
    pub movable: bool,
}

/// The use of each place: slots busy for each slot it has.
#[must_use]
pub fn target_utilization(
    runs: &[PlacedRange],
    places: &[TargetLoad],
    load: &RangeLoad,
) -> Vec<f32> {
    let mut uses = vec![0.0; places.len()];
    for run in runs {
        uses[run.target] += places[run.target].use_by(load.load_of(run.range));
    }
    uses
}

impl TargetLoad {
    /// The use that so many requests a second make.
    pub(super) fn use_by(&self, rate: f32) -> f32 {
        rate * self.work_s / slot_count(self.slots)
    }

    /// The requests a second that make such a use.
    pub(super) fn rate_by(&self, used: f32) -> f32 {
        used / self.use_by(1.0).max(f32::MIN_POSITIVE)
    }

    /// How long its callers wait, by its use.
    pub(super) const fn delay(&self) -> DelayCurve {
        DelayCurve { slots: self.slots, work_s: self.work_s }
    }
}

/// The open place where one more request costs callers least, for keys that
/// have no holder.
///
/// `given` counts what was placed in this round already.
#[must_use]
pub fn least_loaded_target(
    runs: &[PlacedRange],
    places: &[TargetLoad],
    load: &RangeLoad,
    given: &mut Vec<(usize, f32)>,
    range: SliceRange,
) -> Option<usize> {
    let mut uses = target_utilization(runs, places, load);
    for (place, rate) in given.iter() {
        uses[*place] += places[*place].use_by(*rate);
    }
    let rate = load.load_of(range);
    let cost = |place: usize| {
        let to = &places[place];
        to.delay().marginal(uses[place] + to.use_by(rate))
    };
    let chosen = (0..places.len())
        .filter(|place| places[*place].accepts_keys)
        .min_by(|a, b| cost(*a).total_cmp(&cost(*b)))?;
    given.push((chosen, rate));
    Some(chosen)
}

/// What one more request costs at each place if all of them are used so
/// that it costs the same everywhere, in seconds.
pub(super) fn common_level(places: &[TargetLoad], uses: &[f32]) -> f32 {
    /// More than a request costs at a server that is asked for thrice what
    /// it can do.
    const MAX_LEVEL: f32 = 32.0;
    let rates = places.iter().zip(uses);
    let asked: f32 = rates.map(|(place, used)| place.rate_by(*used)).sum();
    let open = || places.iter().filter(|place| place.accepts_keys);
    bisect(MAX_LEVEL, |level| {
        let served =
            open().map(|place| place.rate_by(place.delay().use_at(level)));
        served.sum::<f32>() < asked
    })
}

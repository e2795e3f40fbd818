//! The servers that hold keys, and their utilization.

use goldcrestramp_types::SliceRange;

use crate::{
    queueing::{DelayCurve, bisect, slot_count},
    rebalancing::load::RangeLoad,
};

/// A server that may hold keys.
#[derive(Clone, Copy, Debug)]
pub struct TargetLoad {
    /// The number of requests that it runs at once.
    pub slots: u32,
    /// Its service time of a request, in seconds.
    pub work_s: f32,
    /// Whether keys may be assigned to it.
    pub accepts_keys: bool,
}

/// A range of keys with the position of its holder.
#[derive(Clone, Copy, Debug)]
pub struct PlacedRange {
    /// The keys.
    pub range: SliceRange,
    /// The holder's position among the targets.
    pub target: usize,
    /// Whether the range may be moved now.
    pub movable: bool,
}

/// The utilization of each target: busy slots for each slot that it has.
#[must_use]
pub fn target_utilization(
    ranges: &[PlacedRange],
    targets: &[TargetLoad],
    load: &RangeLoad,
) -> Vec<f32> {
    let mut utilizations = vec![0.0; targets.len()];
    for placed in ranges {
        utilizations[placed.target] +=
            targets[placed.target].utilization_by(load.load_of(placed.range));
    }
    utilizations
}

impl TargetLoad {
    /// The utilization from `rate` requests a second.
    pub(super) fn utilization_by(&self, rate: f32) -> f32 {
        rate * self.work_s / slot_count(self.slots)
    }

    /// The requests a second that cause the utilization `used`.
    pub(super) fn rate_by(&self, used: f32) -> f32 {
        used / self.utilization_by(1.0).max(f32::MIN_POSITIVE)
    }

    /// The time that its callers wait as a function of its utilization.
    pub(super) const fn delay(&self) -> DelayCurve {
        DelayCurve { slots: self.slots, work_s: self.work_s }
    }
}

/// The target that accepts keys and where one more request costs callers
/// least, for keys that have no holder.
///
/// `given` holds the targets and rates assigned in this round already. The
/// chosen one is added.
#[must_use]
pub fn least_loaded_target(
    ranges: &[PlacedRange],
    targets: &[TargetLoad],
    load: &RangeLoad,
    given: &mut Vec<(usize, f32)>,
    range: SliceRange,
) -> Option<usize> {
    let mut utilizations = target_utilization(ranges, targets, load);
    for (index, rate) in given.iter() {
        utilizations[*index] += targets[*index].utilization_by(*rate);
    }
    let rate = load.load_of(range);
    let cost = |index: usize| {
        let to = &targets[index];
        to.delay().marginal(utilizations[index] + to.utilization_by(rate))
    };
    let chosen = (0..targets.len())
        .filter(|index| targets[*index].accepts_keys)
        .min_by(|a, b| cost(*a).total_cmp(&cost(*b)))?;
    given.push((chosen, rate));
    Some(chosen)
}

/// The marginal cost if all targets are used so that it is the same
/// everywhere, in seconds.
pub(super) fn common_marginal(
    targets: &[TargetLoad],
    utilizations: &[f32],
) -> f32 {
    /// In seconds; more than a request costs at a server that gets three times
    /// the requests that it can handle.
    const MAX_LEVEL: f32 = 32.0;
    let rates = targets.iter().zip(utilizations);
    let total_rate: f32 =
        rates.map(|(target, used)| target.rate_by(*used)).sum();
    let accepting = || targets.iter().filter(|target| target.accepts_keys);
    bisect(MAX_LEVEL, |level| {
        let served = accepting().map(|target| {
            target.rate_by(target.delay().utilization_at(level))
        });
        served.sum::<f32>() < total_rate
    })
}

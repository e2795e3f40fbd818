//! Queueing formulas for a server with several slots.
//!
//! They compare servers that differ in speed, at any utilization. A server of
//! four slots at half utilization responds almost like an idle one. At nine
//! tenths its requests wait for longer than they run. Compared by utilization
//! alone, a slow server looks as good as a fast one, though its callers wait
//! twice as long.

/// Above this utilization responses are nearly late, and any added load is
/// lost. All servers count alike there: the marginal cost of a request grows
/// by `OVERLOAD_GROWTH` seconds per unit of utilization.
const HIGH_UTILIZATION: f32 = 0.8;
const OVERLOAD_GROWTH: f32 = 10.0;

/// The weight of a mild preference for the less utilized server, so that idle
/// servers of the same speed share the load.
const SHARING_WEIGHT: f32 = 0.2;

/// Bisection steps, which narrow the result to a fraction of a thousandth of
/// the range.
const BISECTION_STEPS: u32 = 14;

/// The mean number of waiting requests at a utilization below 1, by
/// Sakasegawa's formula.
pub(crate) fn waiting_at(used: f32, slots: f32) -> f32 {
    used.powf(power(slots)) / (1.0 - used).max(f32::EPSILON)
}

/// The slope of [`waiting_at`].
fn waiting_slope(used: f32, slots: f32) -> f32 {
    let (power, free) = (power(slots), 1.0 - used);
    used.powf(power - 1.0) * (power * free + used) / (free * free)
}

fn power(slots: f32) -> f32 {
    (2.0 * (slots + 1.0)).sqrt()
}

/// The mean number of busy slots of a server that holds `present` requests,
/// running or waiting.
pub(crate) fn busy_slots(present: f32, slots: u32) -> f32 {
    let slots = slot_count(slots);
    let present_at = |used: f32| slots * used + waiting_at(used, slots);
    slots * bisect(1.0, |used| present_at(used) < present)
}

/// The highest value up to `max` below which `is_low` holds.
pub(crate) fn bisect(max: f32, is_low: impl Fn(f32) -> bool) -> f32 {
    let (mut low, mut high) = (0.0, max);
    for _step in 0..BISECTION_STEPS {
        let middle = f32::midpoint(low, high);
        if is_low(middle) {
            low = middle;
        } else {
            high = middle;
        }
    }
    high
}

/// The time that callers wait at a server as a function of its utilization.
#[derive(Clone, Copy, Debug)]
pub(crate) struct DelayCurve {
    pub(crate) slots: u32,
    /// The service time of a request, in seconds.
    pub(crate) work_s: f32,
}

impl DelayCurve {
    /// The waiting of all callers together, as the mean number of requests at
    /// the server, at a utilization that may be above 1.
    pub(crate) fn cost(self, used: f32) -> f32 {
        let slots = slot_count(self.slots);
        let base = used.min(HIGH_UTILIZATION);
        let excess = used - base;
        let shared = SHARING_WEIGHT * slots * base * base / 2.0;
        let rate = slots / self.work_s;
        slots * base
            + shared
            + waiting_at(base, slots)
            + rate * excess * self.base_marginal(HIGH_UTILIZATION)
            + rate * OVERLOAD_GROWTH * excess * excess / 2.0
    }

    /// The marginal cost: what one more request costs all callers, in seconds.
    pub(crate) fn marginal(self, used: f32) -> f32 {
        let base = used.min(HIGH_UTILIZATION);
        self.base_marginal(base) + OVERLOAD_GROWTH * (used - base)
    }

    /// The utilization at which the marginal cost reaches `marginal` seconds.
    pub(crate) fn utilization_at(self, marginal: f32) -> f32 {
        /// Far above the utilization that any server is assigned on purpose.
        const MAX_UTILIZATION: f32 = 4.0;
        bisect(MAX_UTILIZATION, |used| self.marginal(used) < marginal)
    }

    fn base_marginal(self, used: f32) -> f32 {
        let slots = slot_count(self.slots);
        let waiting = waiting_slope(used, slots) / slots;
        self.work_s * (1.0 + SHARING_WEIGHT * used + waiting)
    }
}

pub(crate) fn slot_count(slots: u32) -> f32 {
    #[expect(clippy::cast_precision_loss, reason = "a few slots")]
    let slots = slots.max(1) as f32;
    slots
}

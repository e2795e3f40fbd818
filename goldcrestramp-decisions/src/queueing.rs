//! What queueing theory says of a server with several slots.
//!
//! The load: servers that differ in speed, at any use. A server of four
//! slots that is half used answers almost as an idle one; at nine tenths
//! its requests wait for longer than they run. Compared by their use
//! alone, a slow server looks as good as a fast one, though its callers
//! wait for twice as long.

/// Above this use requests are nearly late, and a little more load is what
/// is lost. There every server counts alike: what one more request costs
/// grows by this many seconds for each use of all slots.
const HIGH_UTILIZATION: f32 = 0.8;
const OVERLOAD_GROWTH: f32 = 10.0;

/// A mild preference for the server that is used less, so that idle servers
/// of one speed share what comes.
const SHARING: f32 = 0.2;

/// Steps of a bisection: the result is then known to a small part of a
/// thousandth of the range.
const BISECTIONS: u32 = 14;

/// The requests that wait at a use below 1: Sakasegawa's formula.
fn waiting_at(used: f32, slots: f32) -> f32 {
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

/// The slots at work of a server at which so many requests are.
pub(crate) fn busy_slots(present: f32, slots: u32) -> f32 {
    let slots = slot_count(slots);
    let present_at = |used: f32| slots * used + waiting_at(used, slots);
    slots * bisect(1.0, |used| present_at(used) < present)
}

/// The highest value up to `most` below which `is_low` holds.
pub(crate) fn bisect(most: f32, is_low: impl Fn(f32) -> bool) -> f32 {
    let (mut low, mut high) = (0.0, most);
    for _step in 0..BISECTIONS {
        let middle = f32::midpoint(low, high);
        if is_low(middle) {
            low = middle;
        } else {
            high = middle;
        }
    }
    high
}

/// How long callers wait at a server, by its use.
#[derive(Clone, Copy, Debug)]
pub(crate) struct DelayCurve {
    pub(crate) slots: u32,
    /// Its work on a request, in seconds.
    pub(crate) work_s: f32,
}

impl DelayCurve {
    /// What all callers together wait, in requests that are there at any
    /// moment, at a use that may be above 1.
    pub(crate) fn cost(self, used: f32) -> f32 {
        let slots = slot_count(self.slots);
        let inner = used.min(HIGH_UTILIZATION);
        let over = used - inner;
        let shared = SHARING * slots * inner * inner / 2.0;
        let rate = slots / self.work_s;
        slots * inner
            + shared
            + waiting_at(inner, slots)
            + rate * over * self.inner_marginal(HIGH_UTILIZATION)
            + rate * OVERLOAD_GROWTH * over * over / 2.0
    }

    /// What one more request costs all callers, in seconds.
    pub(crate) fn marginal(self, used: f32) -> f32 {
        let inner = used.min(HIGH_UTILIZATION);
        self.inner_marginal(inner) + OVERLOAD_GROWTH * (used - inner)
    }

    /// The use at which one more request costs so many seconds.
    pub(crate) fn use_at(self, marginal: f32) -> f32 {
        /// Far above what anybody is given on purpose.
        const MAX_UTILIZATION: f32 = 4.0;
        bisect(MAX_UTILIZATION, |used| self.marginal(used) < marginal)
    }

    fn inner_marginal(self, used: f32) -> f32 {
        let slots = slot_count(self.slots);
        let waiting = waiting_slope(used, slots) / slots;
        self.work_s * (1.0 + SHARING * used + waiting)
    }
}

pub(crate) fn slot_count(slots: u32) -> f32 {
    #[expect(clippy::cast_precision_loss, reason = "a few slots")]
    let slots = slots.max(1) as f32;
    slots
}

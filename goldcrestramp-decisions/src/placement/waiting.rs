//! How many requests wait where slots are so much in use.

/// From this use on the curve goes on as a straight line: the estimate of
/// a standing queue has no meaning near full use, but more use is worse.
const STEEP_USE: f64 = 0.95;

/// The mean number of requests that wait at `slots` slots of which the
/// part `used` is in use.
///
/// Sakasegawa's approximation of a queue with several servers and random
/// arrivals, `u^sqrt(2(c+1)) / (1 - u)`: exact enough to compare two
/// states of one server, which is all that it is used for.
#[must_use]
pub fn waiting_requests(used: f64, slots: u32) -> f64 {
    let used = used.max(0.0);
    if used <= STEEP_USE {
        return curve(used, slots);
    }
    let step = 0.001;
    let rise = curve(STEEP_USE, slots) - curve(STEEP_USE - step, slots);
    curve(STEEP_USE, slots) + (used - STEEP_USE) * rise / step
}

fn curve(used: f64, slots: u32) -> f64 {
    let exponent = (2.0 * (f64::from(slots) + 1.0)).sqrt();
    used.powf(exponent) / (1.0 - used)
}

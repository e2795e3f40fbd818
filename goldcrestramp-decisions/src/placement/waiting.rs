//! The mean number of waiting requests at a utilization.

/// From this utilization on the curve is extended as a straight line: the
/// estimate for a stable queue has no meaning near full utilization, but a
/// higher utilization must still be worse.
const LINEAR_FROM: f64 = 0.95;

/// The mean number of requests that wait at `slots` slots, of which the
/// fraction `used` is in use.
///
/// It is Sakasegawa's approximation of a queue with several servers and random
/// arrivals, `u^sqrt(2(c+1)) / (1 - u)`. It is exact enough to compare two
/// states of one server, its only use.
#[must_use]
pub fn waiting_requests(used: f64, slots: u32) -> f64 {
    let used = used.max(0.0);
    if used <= LINEAR_FROM {
        return curve(used, slots);
    }
    let step = 0.001;
    let increase =
        curve(LINEAR_FROM, slots) - curve(LINEAR_FROM - step, slots);
    curve(LINEAR_FROM, slots) + (used - LINEAR_FROM) * increase / step
}

fn curve(used: f64, slots: u32) -> f64 {
    let exponent = (2.0 * (f64::from(slots) + 1.0)).sqrt();
    used.powf(exponent) / (1.0 - used)
}

//! Divides the capacity of an overloaded owner among its keys.
//!
//! Each key has one owner. If one key gets 270 requests a second and its owner
//! completes 15, the owner's other keys wait in the same queue, and most
//! requests are refused after they have waited. No VM can tell by itself: of
//! 77 VMs each gets a response from that owner once in five seconds. The
//! planner knows the rates of all keys. It divides the capacity by max-min
//! fairness: a key below the fair level is not limited, and any other gets the
//! level.
//!
//! The rates count what callers ask for, also what is then refused. Counted
//! by what is admitted, a limited key would look idle, its limit would end, and
//! the share would oscillate.

use goldcrestramp_types::{SliceIndex, TimeSpan};

use crate::queueing::{bisect, slot_count, waiting_at};

/// The part of the target latency that requests may wait for a slot on
/// average. The slowest tenth waits more than twice as long.
const WAIT_PERCENT: u64 = 20;

/// The utilization up to which an owner is loaded: below `MIN_UTILIZATION`
/// waiting is short whatever the target, above `MAX_UTILIZATION` the queue
/// grows by the noise of a second's arrivals.
const MIN_UTILIZATION: f32 = 0.5;
const MAX_UTILIZATION: f32 = 0.9;

/// The factors by which the work per request of an owner changes at most in a
/// round. VMs give up most responses of a saturated owner, which then looks
/// two to five times as slow within a few seconds, while it works as before. A
/// server that has really become slow counts as such some seconds later.
const MAX_WORK_GROWTH: f32 = 1.03;
const MAX_WORK_FALL: f32 = 0.9;

/// The limited keys that are published of one service: a few keys cause a
/// shortage, and every VM receives them with each report.
pub const MAX_LIMITED_KEYS: usize = 64;

/// The shortest delay after which callers are asked to retry, as a part of the
/// longest; they return spread over the time between.
const MIN_RETRY_FRACTION: f64 = 0.25;

/// The expected duration of a shortage that has just begun.
const MIN_SHORTAGE: TimeSpan = TimeSpan::from_millis(500);

/// A key whose requests are limited.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LimitedKey {
    /// The key.
    pub slice: SliceIndex,
    /// The admitted requests of each thousand.
    pub per_mille: u16,
    /// The requests a second that are refused.
    pub excess_per_s: f32,
}

/// The work per request by which an owner is limited, in seconds.
#[derive(Clone, Copy, Debug)]
pub struct OwnerWork(f32);

impl OwnerWork {
    /// Starts from the first estimate.
    #[must_use]
    pub const fn open(work_s: f32) -> Self {
        Self(work_s)
    }

    /// Follows the estimate of a round, and returns the new work. Without an
    /// estimate it stays: an owner may be too busy to respond in time.
    pub fn follow(&mut self, work_s: Option<f32>) -> f32 {
        let work_s = work_s.unwrap_or(self.0);
        let (low, high) = (self.0 * MAX_WORK_FALL, self.0 * MAX_WORK_GROWTH);
        self.0 = work_s.max(low).min(high);
        self.0
    }

    /// The work per request in seconds.
    #[must_use]
    pub const fn seconds(self) -> f32 {
        self.0
    }
}

/// The requests a second that an owner completes while they wait for a short
/// part of the target latency. `work_s` is its work per request in seconds.
#[must_use]
pub fn owner_capacity(
    slots: u32,
    work_s: f32,
    target_latency: TimeSpan,
) -> f32 {
    let slots = slot_count(slots);
    let full_rate = slots / work_s.max(f32::MIN_POSITIVE);
    let max_wait = target_latency.percent(WAIT_PERCENT).to_std().as_secs_f32();
    let wait_at = |used: f32| waiting_at(used, slots) / (used * full_rate);
    let used = bisect(MAX_UTILIZATION, |used| wait_at(used) < max_wait);
    full_rate * used.max(MIN_UTILIZATION)
}

/// The keys of one owner that exceed their fair part of its capacity, by the
/// requests a second of its keys; none if the owner is not overloaded.
#[must_use]
pub fn limited_keys(
    mut rates: Vec<(SliceIndex, f32)>,
    capacity_per_s: f32,
) -> Vec<LimitedKey> {
    let total: f32 = rates.iter().map(|(_key, rate)| rate).sum();
    if total <= capacity_per_s {
        return Vec::new();
    }
    rates.sort_by(|a, b| a.1.total_cmp(&b.1));
    let mut left = capacity_per_s.max(0.0);
    let mut sharing = slot_count(u32::try_from(rates.len()).unwrap_or(1));
    let mut unlimited = 0;
    for (_key, rate) in &rates {
        if *rate > left / sharing {
            break;
        }
        left -= rate;
        sharing -= 1.0;
        unlimited += 1;
    }
    let level = left / sharing.max(1.0);
    let limited = rates[unlimited..].iter();
    limited.map(|(slice, rate)| limit(*slice, *rate, level)).collect()
}

/// The keys with the most refused requests, as many as are published, in
/// ascending order.
#[must_use]
pub fn published_keys(mut limited: Vec<LimitedKey>) -> Vec<LimitedKey> {
    limited.sort_by(|a, b| b.excess_per_s.total_cmp(&a.excess_per_s));
    limited.truncate(MAX_LIMITED_KEYS);
    limited.sort_by_key(|key| key.slice);
    limited
}

/// The delay after which a refused caller should retry.
///
/// A shortage that has lasted for `lasted` is expected to last as long again.
/// Callers wait no longer than `usable`. `random` is from 0 to 1.
#[must_use]
pub fn shortage_retry_after(
    lasted: TimeSpan,
    usable: TimeSpan,
    random: f64,
) -> TimeSpan {
    let longest = lasted.max(MIN_SHORTAGE).min(usable).to_std();
    let part = MIN_RETRY_FRACTION + (1.0 - MIN_RETRY_FRACTION) * random;
    let delay = longest.mul_f64(part.clamp(0.0, 1.0));
    TimeSpan::from_micros(u64::try_from(delay.as_micros()).unwrap_or(0))
}

fn limit(slice: SliceIndex, rate: f32, level: f32) -> LimitedKey {
    /// A key that got nothing would have no response to estimate its owner's
    /// work by.
    const MIN_PER_MILLE: f32 = 1.0;
    let per_mille = (1_000.0 * level / rate).clamp(MIN_PER_MILLE, 999.0);
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "from 1 to 999"
    )]
    let per_mille = per_mille as u16;
    LimitedKey { slice, per_mille, excess_per_s: rate - level }
}

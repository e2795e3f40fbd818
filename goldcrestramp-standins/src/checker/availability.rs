//! How long a slice was served by nobody.

use goldcrestramp_types::FastMap;
use serde::{Deserialize, Serialize};

use crate::records::{AnswerCheck, CallEntry, CallOutcome, MachineTime};

/// How long keys were not served, in milliseconds.
#[derive(
    Clone, Copy, Debug, Default, Eq, PartialEq, Serialize, Deserialize,
)]
pub struct UnavailableTime {
    /// The longest single time, over all keys.
    pub longest: u64,
    /// The sum of such times, over all keys.
    pub total: u64,
}

/// Finds how long each key was not served, from what callers received.
///
/// A key is unavailable from when a caller meant to send a request that
/// then failed, until the next answer for that key came whole, or until
/// the last that was heard of it. Requests that were refused because the
/// system was full or because they were malformed are none of this.
#[must_use]
pub fn unavailable_time(calls: &[CallEntry]) -> UnavailableTime {
    let mut by_key: FastMap<(&str, &str), Vec<&CallEntry>> =
        FastMap::default();
    for call in calls {
        by_key.entry((&call.service, &call.key)).or_default().push(call);
    }
    let mut time = UnavailableTime::default();
    for calls in by_key.values_mut() {
        calls.sort_by_key(|call| call.ended);
        for gap in gaps(calls) {
            time.longest = time.longest.max(gap);
            time.total += gap;
        }
    }
    time
}

/// The times in which one key was not served, in milliseconds.
fn gaps(calls: &[&CallEntry]) -> Vec<u64> {
    let mut gaps = Vec::new();
    let mut since: Option<MachineTime> = None;
    for call in calls {
        let began = since.unwrap_or(call.intended).min(call.intended);
        match judge(&call.outcome) {
            CallVerdict::Failed => since = Some(began),
            CallVerdict::Served => {
                let began = since.take();
                gaps.extend(began.map(|began| call.ended.millis_since(began)));
            }
            CallVerdict::Neither => {}
        }
    }
    let last = calls.last().map(|call| call.ended);
    if let (Some(began), Some(last)) = (since, last) {
        gaps.push(last.millis_since(began));
    }
    gaps
}

/// What one call says of its key.
#[derive(Clone, Copy, Debug)]
enum CallVerdict {
    Served,
    Failed,
    Neither,
}

/// Reasons that say nothing of whether the key's owner is there.
const LOAD_REASONS: [&str; 7] = [
    "bad-request",
    "unknown-service",
    "queue-full",
    "caller-over-share",
    "key-over-share",
    "gateway-full",
    "link-full",
];

fn judge(outcome: &CallOutcome) -> CallVerdict {
    match outcome {
        CallOutcome::Done { answer: AnswerCheck::Whole { .. } } => {
            CallVerdict::Served
        }
        CallOutcome::NotRun { reason }
            if LOAD_REASONS.contains(&&**reason) =>
        {
            CallVerdict::Neither
        }
        _ => CallVerdict::Failed,
    }
}

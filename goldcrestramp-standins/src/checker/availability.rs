//! Computes how long keys were unavailable.

use goldcrestramp_types::FastMap;
use serde::{Deserialize, Serialize};

use crate::records::{AnswerCheck, CallEntry, CallOutcome, MachineTime};

/// How long keys were unavailable, in milliseconds.
#[derive(
    Clone, Copy, Debug, Default, Eq, PartialEq, Serialize, Deserialize,
)]
pub struct UnavailableTime {
    /// The longest single gap, over all keys.
    pub longest: u64,
    /// The sum of the gaps, over all keys.
    pub total: u64,
}

/// Computes how long each key was unavailable, from the callers' records.
///
/// A key becomes unavailable when a caller intended to send a request that
/// then failed. It stays so until the next complete response for that key, or
/// until the last record of the key. Requests that were refused as malformed
/// or because of overload don't count.
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

/// The gaps of one key, in milliseconds.
fn gaps(calls: &[&CallEntry]) -> Vec<u64> {
    let mut gaps = Vec::new();
    let mut since: Option<MachineTime> = None;
    for call in calls {
        let start = since.unwrap_or(call.intended).min(call.intended);
        match classify(&call.outcome) {
            CallVerdict::Failed => since = Some(start),
            CallVerdict::Served => {
                let start = since.take();
                gaps.extend(start.map(|start| call.ended.millis_since(start)));
            }
            CallVerdict::Neither => {}
        }
    }
    let last = calls.last().map(|call| call.ended);
    if let (Some(start), Some(last)) = (since, last) {
        gaps.push(last.millis_since(start));
    }
    gaps
}

/// What one call shows about its key.
#[derive(Clone, Copy, Debug)]
enum CallVerdict {
    Served,
    Failed,
    Neither,
}

/// Reasons that don't show whether the key's owner is available.
const LOAD_REASONS: [&str; 7] = [
    "bad-request",
    "unknown-service",
    "queue-full",
    "caller-over-share",
    "key-over-share",
    "gateway-full",
    "link-full",
];

fn classify(outcome: &CallOutcome) -> CallVerdict {
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

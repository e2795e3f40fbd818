//! Guarantees about single requests: at most one execution, correct denials,
//! complete responses.

use goldcrestramp_types::{FastMap, FastSet, RequestClass};

use crate::records::{
    AnswerCheck, CallEntry, CallOutcome, ExecutionEntry, MachineTime,
};

/// Counts of responses that violate a guarantee.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct BadResponses {
    pub(super) wrong: u64,
    pub(super) cut: u64,
}

/// Counts the orders that were executed more than once, anywhere.
pub(super) fn count_doubled(executions: &[ExecutionEntry]) -> u64 {
    let mut times: FastMap<&str, u64> = FastMap::default();
    for entry in executions {
        if entry.class == RequestClass::Order {
            *times.entry(&entry.request).or_default() += 1;
        }
    }
    to_count(times.values().filter(|times| **times > 1).count())
}

/// The outcomes that callers received for one request id.
#[derive(Clone, Copy, Debug)]
struct RequestOutcomes {
    /// When an attempt last ended with "not run".
    denied_at: Option<MachineTime>,
    /// Whether an attempt ended with another outcome.
    was_not_denied: bool,
}

/// The requests that ran though their caller received "not run".
///
/// An execution that started before the caller received "not run" makes that
/// outcome false, even if it belongs to another attempt: the caller of a
/// resend asks for the outcome of its order. An execution that starts later
/// may belong to an attempt that was not denied, if there was one.
pub(super) fn false_not_run<'a>(
    executions: &'a [ExecutionEntry],
    calls: &[CallEntry],
) -> FastSet<&'a str> {
    let mut requests: FastMap<&str, RequestOutcomes> = FastMap::default();
    for call in calls {
        let new = RequestOutcomes { denied_at: None, was_not_denied: false };
        let outcomes = requests.entry(&call.request).or_insert(new);
        if matches!(call.outcome, CallOutcome::NotRun { .. }) {
            outcomes.denied_at = outcomes.denied_at.max(Some(call.ended));
        } else {
            outcomes.was_not_denied = true;
        }
    }
    let denied = executions.iter().filter(|entry| {
        let outcomes = requests.get(&*entry.request);
        outcomes.is_some_and(|outcomes| {
            let before =
                outcomes.denied_at.is_some_and(|at| entry.started < at);
            before || !outcomes.was_not_denied
        })
    });
    denied.map(|entry| &*entry.request).collect()
}

/// Counts the responses that were delivered as complete but are not the
/// complete response to the request.
pub(super) fn count_answers(calls: &[CallEntry]) -> BadResponses {
    let mut bad = BadResponses::default();
    for call in calls {
        match call.outcome {
            CallOutcome::Done { answer: AnswerCheck::Wrong } => bad.wrong += 1,
            CallOutcome::Done { answer: AnswerCheck::Cut } => bad.cut += 1,
            _ => {}
        }
    }
    bad
}

pub(super) fn to_count(count: usize) -> u64 {
    u64::try_from(count).unwrap_or(u64::MAX)
}

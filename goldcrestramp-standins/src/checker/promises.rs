//! Promises about single requests: at most once, true refusals, whole
//! answers.

use goldcrestramp_types::{FastMap, FastSet, RequestClass};

use crate::records::{AnswerCheck, CallEntry, CallOutcome, ExecutionEntry};

/// Answers that broke a promise.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct BadAnswers {
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

/// The requests that ran though their caller was told they had not.
///
/// A request that was sent again under the same id counts only if every
/// attempt was answered "not run": the execution may be another attempt's.
pub(super) fn false_not_run<'a>(
    executions: &[ExecutionEntry],
    calls: &'a [CallEntry],
) -> Vec<&'a str> {
    let mut not_run: FastMap<&str, bool> = FastMap::default();
    for call in calls {
        let told = matches!(call.outcome, CallOutcome::NotRun { .. });
        *not_run.entry(&call.request).or_insert(true) &= told;
    }
    let ran: FastSet<&str> =
        executions.iter().map(|entry| &*entry.request).collect();
    let denied = not_run.into_iter().filter(|(_, told)| *told);
    denied.map(|(id, _)| id).filter(|id| ran.contains(id)).collect()
}

/// Counts the answers that were presented as whole and are not the whole
/// answer to the request.
pub(super) fn count_answers(calls: &[CallEntry]) -> BadAnswers {
    let mut bad = BadAnswers::default();
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

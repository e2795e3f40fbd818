//! Promises about single requests: at most once, true refusals, whole
//! answers.

use goldcrestramp_types::{FastMap, FastSet, RequestClass};

use crate::records::{
    AnswerCheck, CallEntry, CallOutcome, ExecutionEntry, MachineTime,
};

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

/// What callers were told of one request under its id.
#[derive(Clone, Copy, Debug)]
struct ToldRequest {
    /// When an attempt was last told "not run".
    denied_at: Option<MachineTime>,
    /// Whether an attempt ended otherwise.
    is_open: bool,
}

/// The requests that ran though their caller was told they had not.
///
/// Any that started before the caller was told makes the answer false, also
/// when it was another attempt's: the caller of a resend asks what became
/// of its order. One that starts later may belong to an attempt that was
/// not denied, if there was one.
pub(super) fn false_not_run<'a>(
    executions: &'a [ExecutionEntry],
    calls: &[CallEntry],
) -> FastSet<&'a str> {
    let mut requests: FastMap<&str, ToldRequest> = FastMap::default();
    for call in calls {
        let new = ToldRequest { denied_at: None, is_open: false };
        let told = requests.entry(&call.request).or_insert(new);
        if matches!(call.outcome, CallOutcome::NotRun { .. }) {
            told.denied_at = told.denied_at.max(Some(call.ended));
        } else {
            told.is_open = true;
        }
    }
    let denied = executions.iter().filter(|entry| {
        let told = requests.get(&*entry.request);
        told.is_some_and(|told| {
            let before = told.denied_at.is_some_and(|at| entry.started < at);
            before || !told.is_open
        })
    });
    denied.map(|entry| &*entry.request).collect()
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

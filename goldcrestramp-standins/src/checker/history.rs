//! Whether each key's history could be that of one register.

use goldcrestramp_types::{FastMap, RequestClass};
use todc_utils::{Action, History, Specification, WGLChecker};

use crate::records::{AnswerCheck, CallEntry, CallOutcome, MachineTime};

/// A key's value: orders add one and tell the result, lookups read.
#[derive(Debug)]
struct KeyRegister;

/// What one call did to a key, as far as its caller was told.
#[derive(Clone, Copy, Debug)]
enum KeyOperation {
    /// It read this value.
    Read(u64),
    /// It added one and was told the result.
    Added(u64),
    /// It added one at some time after it was sent, or never.
    MayHaveAdded,
}

impl Specification for KeyRegister {
    type State = u64;
    type Operation = KeyOperation;

    fn init() -> u64 {
        0
    }

    fn apply(op: &KeyOperation, state: &u64) -> (bool, u64) {
        match op {
            KeyOperation::Read(value) => (value == state, *state),
            KeyOperation::Added(value) => (*value == state + 1, state + 1),
            KeyOperation::MayHaveAdded => (true, state + 1),
        }
    }
}

/// The keys whose history no single owner could have produced.
///
/// An order of unknown outcome stays open to the end of the history: taking
/// effect after everything else is the same as never. Requests that were
/// told "not run" have no place in a history, so one that ran shows as a
/// value that nobody wrote.
#[must_use]
pub fn unlinearizable_keys(calls: &[CallEntry]) -> Vec<String> {
    let mut by_key: FastMap<(&str, &str), Vec<&CallEntry>> =
        FastMap::default();
    for call in calls {
        by_key.entry((&call.service, &call.key)).or_default().push(call);
    }
    let wrong = by_key.iter().filter(|(_, calls)| !is_linearizable(calls));
    let mut names: Vec<String> =
        wrong.map(|((service, key), _)| format!("{service}/{key}")).collect();
    names.sort_unstable();
    names
}

fn is_linearizable(calls: &[&CallEntry]) -> bool {
    let mut actions = Vec::new();
    let mut processes = 0;
    for call in calls {
        let Some(operation) = operation_of(call) else {
            continue;
        };
        let open = matches!(operation, KeyOperation::MayHaveAdded);
        let end = if open { LAST_MOMENT } else { call.ended };
        let process = processes;
        processes += 1;
        actions.push((call.sent, process, Action::Call(operation)));
        actions.push((end, process, Action::Response(operation)));
    }
    actions.sort_by_key(|(at, _, action)| {
        (*at, matches!(action, Action::Response(_)))
    });
    let actions: Vec<_> = actions
        .into_iter()
        .map(|(_, process, action)| (process, action))
        .collect();
    actions.is_empty()
        || WGLChecker::<KeyRegister>::is_linearizable(History::from_actions(
            actions,
        ))
}

/// After everything that a run can hold.
const LAST_MOMENT: MachineTime = MachineTime::from_micros(u64::MAX);

/// What a call did; `None` if it has no place in the history.
fn operation_of(call: &CallEntry) -> Option<KeyOperation> {
    let order = call.class == RequestClass::Order;
    match call.outcome {
        CallOutcome::Done { answer: AnswerCheck::Whole { value } } => {
            Some(if order {
                KeyOperation::Added(value)
            } else {
                KeyOperation::Read(value)
            })
        }
        CallOutcome::NotRun { .. } => None,
        CallOutcome::Done { .. } | CallOutcome::Unknown { .. } => {
            order.then_some(KeyOperation::MayHaveAdded)
        }
    }
}

//! Compares the check of histories with a search over all orders of the calls.

use std::sync::Arc;

use goldcrestramp_standins::{
    AnswerCheck, CallEntry, CallOutcome, MachineTime,
    checker::unlinearizable_keys,
};
use goldcrestramp_types::RequestClass;
use proptest::{prelude::*, test_runner::RngSeed};
use todc_utils::{Action, History, Specification, WGLChecker};

/// The sequential model of a key: orders increment and return the result,
/// lookups read.
#[derive(Debug)]
struct KeyRegister;

/// The effect of one call on a key, as far as its caller knows.
#[derive(Clone, Copy, Debug)]
enum KeyOperation {
    Read(u64),
    Added(u64),
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

/// One random call: its effect, send time and duration.
type RandomCall = (KeyOperation, u64, u64);

fn random_call() -> impl Strategy<Value = RandomCall> {
    let operation = prop_oneof![
        (0_u64..4).prop_map(KeyOperation::Read),
        (0_u64..5).prop_map(KeyOperation::Added),
        Just(KeyOperation::MayHaveAdded),
    ];
    (operation, 0_u64..20, 0_u64..12)
}

fn entry(number: usize, (operation, sent, span): RandomCall) -> CallEntry {
    let complete =
        |value| CallOutcome::Done { answer: AnswerCheck::Whole { value } };
    let (class, outcome) = match operation {
        KeyOperation::Read(value) => (RequestClass::Lookup, complete(value)),
        KeyOperation::Added(value) => (RequestClass::Order, complete(value)),
        KeyOperation::MayHaveAdded => {
            let reason = Arc::from("server-lost");
            (RequestClass::Order, CallOutcome::Unknown { reason })
        }
    };
    let sent = MachineTime::from_micros(sent);
    CallEntry {
        request: Arc::from(format!("a/{number}")),
        service: Arc::from("stock"),
        key: Arc::from("k"),
        class,
        intended: sent,
        sent,
        ended: MachineTime::from_micros(sent.as_micros() + span),
        outcome,
        error: None,
    }
}

/// Whether some order of the calls within their intervals is linearizable.
fn search(calls: &[RandomCall]) -> bool {
    let mut actions = Vec::new();
    for (number, (operation, sent, span)) in calls.iter().enumerate() {
        let open = matches!(operation, KeyOperation::MayHaveAdded);
        let end = if open { u64::MAX } else { sent + span };
        actions.push((*sent, number, Action::Call(*operation)));
        actions.push((end, number, Action::Response(*operation)));
    }
    actions.sort_by_key(|(at, _, action)| {
        (*at, matches!(action, Action::Response(_)))
    });
    let actions = actions.into_iter().map(|(_, n, action)| (n, action));
    let history = History::from_actions(actions.collect());
    WGLChecker::<KeyRegister>::is_linearizable(history)
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 20_000,
        rng_seed: RngSeed::Fixed(3),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn the_check_agrees_with_a_search(
        calls in prop::collection::vec(random_call(), 1..7),
    ) {
        let entries: Vec<_> =
            calls.iter().copied().enumerate().map(|(n, c)| entry(n, c)).collect();

        let broken = unlinearizable_keys(&entries);

        prop_assert_eq!(broken.is_empty(), search(&calls));
    }
}

/// The response to an order is lost, another order follows, and the first one
/// is resent: its caller receives the first result, which is not a second
/// order. If the resend were counted as an order, the other order's value
/// would be missing.
#[test]
fn attempts_of_one_order_are_one_operation() {
    let second = KeyOperation::Added(2);
    let first = entry(1, (KeyOperation::MayHaveAdded, 0, 5));
    let resend = entry(1, (KeyOperation::Added(1), 20, 5));
    let second_run = entry(1, (KeyOperation::Added(3), 20, 5));
    let other = entry(2, (second, 10, 5));

    let once = unlinearizable_keys(&[first.clone(), other.clone(), resend]);
    let doubled = unlinearizable_keys(&[first, other, second_run]);

    assert_eq!(once, Vec::<String>::new());
    assert_eq!(doubled, ["stock/k"]);
}

/// Guards against exponential time: hundreds of calls of one key, most without
/// an outcome, and a read of a value that nobody can have written.
#[test]
fn a_long_broken_history_is_checked_quickly() {
    let open = (0..400).map(|n| (KeyOperation::MayHaveAdded, n, 300));
    let read = (KeyOperation::Read(401), 500, 1);
    let calls = open.chain([read]).enumerate();
    let entries: Vec<_> = calls.map(|(n, call)| entry(n, call)).collect();

    assert_eq!(unlinearizable_keys(&entries), ["stock/k"]);
}

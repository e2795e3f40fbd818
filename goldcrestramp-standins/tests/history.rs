//! The check of histories against a search over all orders of the calls.

use std::sync::Arc;

use goldcrestramp_standins::{
    AnswerCheck, CallEntry, CallOutcome, MachineTime,
    checker::unlinearizable_keys,
};
use goldcrestramp_types::RequestClass;
use proptest::{prelude::*, test_runner::RngSeed};
use todc_utils::{Action, History, Specification, WGLChecker};

/// A key's value: orders add one and tell the result, lookups read.
#[derive(Debug)]
struct KeyRegister;

/// What one call did to a key, as far as its caller was told.
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

/// One drawn call: what it did, when it was sent, how long it took.
type DrawnCall = (KeyOperation, u64, u64);

fn drawn_call() -> impl Strategy<Value = DrawnCall> {
    let operation = prop_oneof![
        (0_u64..4).prop_map(KeyOperation::Read),
        (0_u64..5).prop_map(KeyOperation::Added),
        Just(KeyOperation::MayHaveAdded),
    ];
    (operation, 0_u64..20, 0_u64..12)
}

fn entry(number: usize, (operation, sent, span): DrawnCall) -> CallEntry {
    let whole =
        |value| CallOutcome::Done { answer: AnswerCheck::Whole { value } };
    let (class, outcome) = match operation {
        KeyOperation::Read(value) => (RequestClass::Lookup, whole(value)),
        KeyOperation::Added(value) => (RequestClass::Order, whole(value)),
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
    }
}

/// Whether any order of the calls within their times is one register's.
fn search(calls: &[DrawnCall]) -> bool {
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
    fn the_pass_finds_what_a_search_finds(
        calls in prop::collection::vec(drawn_call(), 1..7),
    ) {
        let entries: Vec<_> =
            calls.iter().copied().enumerate().map(|(n, c)| entry(n, c)).collect();

        let broken = unlinearizable_keys(&entries);

        prop_assert_eq!(broken.is_empty(), search(&calls));
    }
}

/// An order's answer is lost, another order follows, and the first is sent
/// again: its caller is told the result that it had, which is no second
/// order. Were it one, the value of the other would have been skipped.
#[test]
fn attempts_of_one_order_are_one_operation() {
    let second = KeyOperation::Added(2);
    let first = entry(1, (KeyOperation::MayHaveAdded, 0, 5));
    let again = entry(1, (KeyOperation::Added(1), 20, 5));
    let twice = entry(1, (KeyOperation::Added(3), 20, 5));
    let other = entry(2, (second, 10, 5));

    let once = unlinearizable_keys(&[first.clone(), other.clone(), again]);
    let doubled = unlinearizable_keys(&[first, other, twice]);

    assert_eq!(once, Vec::<String>::new());
    assert_eq!(doubled, ["stock/k"]);
}

/// Hundreds of calls of one key, most of them without an outcome, and a
/// read that nobody can have written: the verdict comes at once.
#[test]
fn a_long_broken_history_is_judged_at_once() {
    let open = (0..400).map(|n| (KeyOperation::MayHaveAdded, n, 300));
    let read = (KeyOperation::Read(401), 500, 1);
    let calls = open.chain([read]).enumerate();
    let entries: Vec<_> = calls.map(|(n, call)| entry(n, call)).collect();

    assert_eq!(unlinearizable_keys(&entries), ["stock/k"]);
}

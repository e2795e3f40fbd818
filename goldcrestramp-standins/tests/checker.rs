//! Tests that every check detects violations, on hand-written logs that each
//! violate one guarantee.

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
};

use goldcrestramp_standins::{
    AnswerCheck, CallEntry, CallOutcome, ExecutionEntry, GrantEntry,
    MachineTime,
    checker::{
        GuaranteeViolations, MoveCount, UnavailableTime, count_moves,
        imbalance, unavailable_time, unlinearizable_keys,
    },
    server::ServerLog,
};
use goldcrestramp_types::{FenceToken, RequestClass, SliceIndex, TermId};

const COMPLETE: CallOutcome =
    CallOutcome::Done { answer: AnswerCheck::Whole { value: 1 } };

fn at(millis: u64) -> MachineTime {
    MachineTime::from_micros(millis * 1_000)
}

fn text(text: &str) -> Arc<str> {
    Arc::from(text)
}

fn token(sequence: u64) -> FenceToken {
    FenceToken { term: TermId::default(), sequence }
}

fn slice() -> SliceIndex {
    SliceIndex::new(7).expect("index is in range")
}

fn execution(server: &str, request: &str, start: u64) -> ExecutionEntry {
    ExecutionEntry {
        server: text(server),
        domain: text("d"),
        run: 1,
        request: text(request),
        service: text("stock"),
        key: text("k"),
        slice: slice(),
        class: RequestClass::Order,
        token: token(1),
        started: at(start),
        ended: Some(at(start + 10)),
    }
}

fn grant(server: &str, from: u64, until: u64) -> GrantEntry {
    GrantEntry {
        server: text(server),
        service: text("stock"),
        slices: std::iter::once(slice()).collect(),
        token: token(1),
        from: at(from),
        until: at(until),
    }
}

fn call(request: &str, sent: u64, outcome: CallOutcome) -> CallEntry {
    CallEntry {
        request: text(request),
        service: text("stock"),
        key: text("k"),
        class: RequestClass::Order,
        intended: at(sent),
        sent: at(sent),
        ended: at(sent + 5),
        outcome,
        error: None,
    }
}

fn denied(reason: &str) -> CallOutcome {
    CallOutcome::NotRun { reason: text(reason) }
}

fn unknown() -> CallOutcome {
    CallOutcome::Unknown { reason: text("server-lost") }
}

fn done(value: u64) -> CallOutcome {
    CallOutcome::Done { answer: AnswerCheck::Whole { value } }
}

fn log(executions: Vec<ExecutionEntry>, holds: Vec<GrantEntry>) -> ServerLog {
    ServerLog { executions, holds }
}

#[test]
fn a_correct_run_has_no_violations() {
    let servers = log(
        vec![execution("s1", "a/1", 10), execution("s2", "a/2", 60)],
        vec![grant("s1", 0, 50), grant("s2", 50, 100)],
    );
    let calls = [
        call("a/1", 5, COMPLETE),
        call("a/2", 55, unknown()),
        call("a/3", 56, denied("no-owner")),
    ];

    let violations = GuaranteeViolations::count(&servers, &calls);

    assert!(violations.is_empty(), "{violations:?}");
}

#[test]
fn an_order_that_ran_twice_counts_and_a_lookup_does_not() {
    let mut lookup = execution("s1", "a/2", 30);
    lookup.class = RequestClass::Lookup;
    let twice = vec![
        execution("s1", "a/1", 10),
        execution("s2", "a/1", 20),
        lookup.clone(),
        lookup,
    ];

    let violations = GuaranteeViolations::count(&log(twice, vec![]), &[]);

    assert_eq!(violations.doubled, 1);
}

// A caller that resends asks for the outcome of its order: "not run" is false
// for the second attempt if the first has run. It is true for a first attempt
// if only a later one runs, and always false if there is no other attempt.
#[test]
fn a_denied_request_that_ran_counts() {
    let ids = [("a/1", 10), ("a/2", 20), ("a/3", 90), ("a/4", 90)];
    let ran = ids.map(|(id, start)| execution("s1", id, start)).to_vec();
    let calls = [
        call("a/1", 5, denied("queue-full")),
        call("a/2", 5, unknown()),
        call("a/2", 25, denied("queue-full")),
        call("a/3", 5, denied("queue-full")),
        call("a/3", 80, unknown()),
        call("a/4", 5, denied("queue-full")),
    ];

    let violations = GuaranteeViolations::count(&log(ran, vec![]), &calls);

    assert_eq!(violations.not_run_but_ran, 3);
}

#[test]
fn overlapping_owners_count() {
    let mut stale = execution("s1", "a/2", 60);
    stale.token = token(0);
    let mut elsewhere = stale.clone();
    elsewhere.domain = text("e");
    let cases = [
        ("two hold", vec![], vec![grant("s1", 0, 50), grant("s2", 49, 90)], 1),
        ("in turn", vec![], vec![grant("s1", 0, 50), grant("s2", 50, 90)], 0),
        (
            "work on another's slice",
            vec![execution("s1", "a/1", 60)],
            vec![grant("s1", 0, 50), grant("s2", 50, 90)],
            1,
        ),
        (
            "work under an older token",
            vec![execution("s2", "a/1", 50), stale],
            vec![],
            1,
        ),
        (
            "work in another domain, whose terms count by themselves",
            vec![execution("s2", "a/1", 50), elsewhere],
            vec![],
            0,
        ),
        (
            "a hold again",
            vec![],
            vec![grant("s1", 0, 9), grant("s1", 5, 9)],
            0,
        ),
    ];
    for (name, executions, holds, expected) in cases {
        let violations =
            GuaranteeViolations::count(&log(executions, holds), &[]);

        assert_eq!(violations.owner_overlaps, expected, "{name}");
    }
}

#[test]
fn wrong_and_cut_responses_count() {
    let answer = |answer| CallOutcome::Done { answer };
    let calls = [
        call("a/1", 0, answer(AnswerCheck::Wrong)),
        call("a/2", 0, answer(AnswerCheck::Cut)),
        call("a/3", 0, answer(AnswerCheck::Cut)),
    ];

    let violations = GuaranteeViolations::count(&ServerLog::default(), &calls);

    assert_eq!((violations.wrong_answers, violations.cut_answers), (1, 2));
}

#[test]
fn a_key_is_unavailable_from_the_first_failure_to_the_next_response() {
    let calls = [
        call("a/1", 0, done(1)),
        call("a/2", 100, denied("no-owner")),
        call("a/3", 200, unknown()),
        call("a/4", 300, denied("queue-full")),
        call("a/5", 400, done(2)),
        call("a/6", 500, denied("no-owner")),
        call("a/7", 600, denied("no-owner")),
    ];

    let time = unavailable_time(&calls);

    assert_eq!(time, UnavailableTime { longest: 305, total: 410 });
}

#[test]
fn moves_are_counted_and_moves_back_are_needless() {
    let holds =
        vec![grant("s1", 0, 50), grant("s2", 50, 90), grant("s1", 90, 120)];
    let drained: BTreeSet<String> = ["s1".to_owned()].into_iter().collect();
    let log = log(vec![], holds);

    let all = count_moves(&log, at(1), &BTreeSet::new());
    let later = count_moves(&log, at(60), &drained);

    assert_eq!(all, MoveCount { moved: 2, needless: 1 });
    assert_eq!(later, MoveCount { moved: 1, needless: 0 });
}

#[test]
fn imbalance_counts_idle_servers() {
    let work = [execution("s1", "a/1", 0), execution("s1", "a/2", 20)];
    let servers: BTreeMap<String, usize> =
        [("stock".to_owned(), 4)].into_iter().collect();

    let ratio = imbalance(&work, &servers);

    assert!((ratio - 4.0).abs() < 1e-9, "{ratio}");
}

// Two concurrent owners work from their own caches: both increment the same
// value and return the same result. An order with an unknown outcome may have
// run, early or late.
#[test]
fn a_history_that_no_single_owner_produces_is_found() {
    let add = |id, sent, value| call(id, sent, done(value));
    let mut read = call("a/9", 90, done(2));
    read.class = RequestClass::Lookup;
    let cases = [
        ("in turn", vec![add("a/1", 0, 1), add("a/2", 10, 2)], true),
        ("lost", vec![add("a/1", 0, 1), add("a/2", 10, 1)], false),
        ("never seen", vec![add("a/1", 0, 1), read.clone()], false),
        (
            "the unknown one ran",
            vec![add("a/1", 0, 1), call("a/2", 10, unknown()), read.clone()],
            true,
        ),
        (
            "the unknown one did not run",
            vec![call("a/1", 0, unknown()), add("a/2", 10, 1)],
            true,
        ),
        (
            "the denied one ran",
            vec![add("a/1", 0, 1), call("a/2", 5, denied("x")), read],
            false,
        ),
    ];
    for (name, calls, linearizable) in cases {
        let wrong = unlinearizable_keys(&calls);

        assert_eq!(wrong.is_empty(), linearizable, "{name}");
    }
}

//! Every check can fail: made-up logs that each break one promise.

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

const WHOLE: CallOutcome =
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
    SliceIndex::new(7).expect("an index")
}

fn executed(server: &str, request: &str, start: u64) -> ExecutionEntry {
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

fn held(server: &str, from: u64, until: u64) -> GrantEntry {
    GrantEntry {
        server: text(server),
        service: text("stock"),
        slices: std::iter::once(slice()).collect(),
        token: token(1),
        from: at(from),
        until: at(until),
    }
}

fn called(request: &str, sent: u64, outcome: CallOutcome) -> CallEntry {
    CallEntry {
        request: text(request),
        service: text("stock"),
        key: text("k"),
        class: RequestClass::Order,
        intended: at(sent),
        sent: at(sent),
        ended: at(sent + 5),
        outcome,
    }
}

fn not_run(reason: &str) -> CallOutcome {
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
fn a_run_that_keeps_every_promise_has_no_figure() {
    let servers = log(
        vec![executed("s1", "a/1", 10), executed("s2", "a/2", 60)],
        vec![held("s1", 0, 50), held("s2", 50, 100)],
    );
    let calls = [
        called("a/1", 5, WHOLE),
        called("a/2", 55, unknown()),
        called("a/3", 56, not_run("no-owner")),
    ];

    let figures = GuaranteeViolations::count(&servers, &calls);

    assert!(figures.is_empty(), "{figures:?}");
}

#[test]
fn an_order_that_ran_twice_counts_and_a_lookup_does_not() {
    let mut lookup = executed("s1", "a/2", 30);
    lookup.class = RequestClass::Lookup;
    let twice = vec![
        executed("s1", "a/1", 10),
        executed("s2", "a/1", 20),
        lookup.clone(),
        lookup,
    ];

    let figures = GuaranteeViolations::count(&log(twice, vec![]), &[]);

    assert_eq!(figures.doubled, 1);
}

// A caller that resends asks what became of its order: "not run" is false
// of the second attempt when the first has run. It is true of a first
// attempt when only a later one runs, and never when there is none.
#[test]
fn a_denied_request_that_ran_counts() {
    let ids = [("a/1", 10), ("a/2", 20), ("a/3", 90), ("a/4", 90)];
    let ran = ids.map(|(id, start)| executed("s1", id, start)).to_vec();
    let calls = [
        called("a/1", 5, not_run("queue-full")),
        called("a/2", 5, unknown()),
        called("a/2", 25, not_run("queue-full")),
        called("a/3", 5, not_run("queue-full")),
        called("a/3", 80, unknown()),
        called("a/4", 5, not_run("queue-full")),
    ];

    let figures = GuaranteeViolations::count(&log(ran, vec![]), &calls);

    assert_eq!(figures.not_run_but_ran, 3);
}

#[test]
fn overlapping_owners_count() {
    let mut stale = executed("s1", "a/2", 60);
    stale.token = token(0);
    let mut elsewhere = stale.clone();
    elsewhere.domain = text("e");
    let cases = [
        ("two hold", vec![], vec![held("s1", 0, 50), held("s2", 49, 90)], 1),
        ("in turn", vec![], vec![held("s1", 0, 50), held("s2", 50, 90)], 0),
        (
            "work on another's slice",
            vec![executed("s1", "a/1", 60)],
            vec![held("s1", 0, 50), held("s2", 50, 90)],
            1,
        ),
        (
            "work under an older token",
            vec![executed("s2", "a/1", 50), stale],
            vec![],
            1,
        ),
        (
            "work in another domain, whose terms count by themselves",
            vec![executed("s2", "a/1", 50), elsewhere],
            vec![],
            0,
        ),
        ("a hold again", vec![], vec![held("s1", 0, 9), held("s1", 5, 9)], 0),
    ];
    for (name, executions, holds, expected) in cases {
        let figures = GuaranteeViolations::count(&log(executions, holds), &[]);

        assert_eq!(figures.owner_overlaps, expected, "{name}");
    }
}

#[test]
fn wrong_and_cut_answers_count() {
    let answer = |answer| CallOutcome::Done { answer };
    let calls = [
        called("a/1", 0, answer(AnswerCheck::Wrong)),
        called("a/2", 0, answer(AnswerCheck::Cut)),
        called("a/3", 0, answer(AnswerCheck::Cut)),
    ];

    let figures = GuaranteeViolations::count(&ServerLog::default(), &calls);

    assert_eq!((figures.wrong_answers, figures.cut_answers), (1, 2));
}

#[test]
fn a_key_is_unavailable_from_the_first_failure_to_the_next_answer() {
    let calls = [
        called("a/1", 0, done(1)),
        called("a/2", 100, not_run("no-owner")),
        called("a/3", 200, unknown()),
        called("a/4", 300, not_run("queue-full")),
        called("a/5", 400, done(2)),
        called("a/6", 500, not_run("no-owner")),
        called("a/7", 600, not_run("no-owner")),
    ];

    let time = unavailable_time(&calls);

    assert_eq!(time, UnavailableTime { longest: 305, total: 410 });
}

#[test]
fn moves_are_counted_and_moves_back_are_needless() {
    let holds =
        vec![held("s1", 0, 50), held("s2", 50, 90), held("s1", 90, 120)];
    let drained: BTreeSet<String> = ["s1".to_owned()].into_iter().collect();
    let log = log(vec![], holds);

    let all = count_moves(&log, at(1), &BTreeSet::new());
    let later = count_moves(&log, at(60), &drained);

    assert_eq!(all, MoveCount { moved: 2, needless: 1 });
    assert_eq!(later, MoveCount { moved: 1, needless: 0 });
}

#[test]
fn imbalance_counts_idle_servers() {
    let work = [executed("s1", "a/1", 0), executed("s1", "a/2", 20)];
    let servers: BTreeMap<String, usize> =
        [("stock".to_owned(), 4)].into_iter().collect();

    let ratio = imbalance(&work, &servers);

    assert!((ratio - 4.0).abs() < 1e-9, "{ratio}");
}

// Two owners at once work from caches of their own: both add one to the
// same value, and both tell the same result. Where one outcome is unknown,
// the order may have run, early or late.
#[test]
fn a_history_that_no_single_owner_produces_is_found() {
    let add = |id, sent, value| called(id, sent, done(value));
    let mut read = called("a/9", 90, done(2));
    read.class = RequestClass::Lookup;
    let cases = [
        ("in turn", vec![add("a/1", 0, 1), add("a/2", 10, 2)], true),
        ("lost", vec![add("a/1", 0, 1), add("a/2", 10, 1)], false),
        ("never seen", vec![add("a/1", 0, 1), read.clone()], false),
        (
            "the unknown one ran",
            vec![add("a/1", 0, 1), called("a/2", 10, unknown()), read.clone()],
            true,
        ),
        (
            "the unknown one did not run",
            vec![called("a/1", 0, unknown()), add("a/2", 10, 1)],
            true,
        ),
        (
            "the denied one ran",
            vec![add("a/1", 0, 1), called("a/2", 5, not_run("x")), read],
            false,
        ),
    ];
    for (name, calls, linearizable) in cases {
        let wrong = unlinearizable_keys(&calls);

        assert_eq!(wrong.is_empty(), linearizable, "{name}");
    }
}

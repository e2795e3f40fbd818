//! A resent order in all orders of events.

use std::sync::Arc;

use goldcrestramp_decisions::{
    AttemptArrival, AttemptId, AttemptMemory, AttemptOutcome, AttemptVerdict,
    MAX_ANSWER_BYTES, MemorySettings, StoredAnswer,
};
use goldcrestramp_types::{
    CallerName, LocalTime, NotRunReason, RequestName, SliceIndex, TimeSpan,
};

const MAX_TIMEOUT: TimeSpan = TimeSpan::from_millis(30_000);

fn at(millis: u64) -> LocalTime {
    LocalTime::from_micros(millis * 1_000)
}

fn id(request: &str) -> AttemptId {
    let caller = CallerName::new("tienda-4").expect("name is valid");
    let request = RequestName::new(request).expect("name is valid");
    AttemptId { caller, request }
}

fn slice() -> SliceIndex {
    SliceIndex::new(7).expect("index is in range")
}

/// A memory of ten ids that covers one slice since this time.
fn memory_since(millis: u64) -> AttemptMemory {
    let settings = MemorySettings {
        id_limit: 10,
        max_stored_bytes: 2 * MAX_ANSWER_BYTES,
        max_timeout: MAX_TIMEOUT,
    };
    let mut memory = AttemptMemory::open(settings);
    memory.cover_slice(at(millis), slice());
    memory
}

/// A memory that covers the slice since the clock's start.
fn memory() -> AttemptMemory {
    memory_since(0)
}

/// The address of the server that the first keeper sends to.
fn server() -> Arc<str> {
    Arc::from("10.0.0.7:80")
}

fn begin(
    memory: &mut AttemptMemory,
    now: u64,
    name: &str,
    deadline: u64,
    is_resend: bool,
) -> AttemptVerdict {
    let arrival = AttemptArrival {
        id: &id(name),
        slice: slice(),
        deadline: at(deadline),
        is_resend,
        server: &server(),
    };
    memory.begin(at(now), arrival)
}

fn done(length: usize) -> AttemptOutcome {
    let body = Some(Arc::from(vec![b'x'; length]));
    let content_type = Arc::from("text/plain");
    AttemptOutcome::Done(StoredAnswer { status: 201, content_type, body })
}

#[test]
fn a_resend_gets_the_outcome_of_the_first_attempt() {
    let mut memory = memory();
    let mut verdicts = vec![begin(&mut memory, 0, "a", 10_000, false)];
    verdicts.push(begin(&mut memory, 5, "a", 10_000, true));
    memory.finish(&id("a"), done(3));
    verdicts.push(begin(&mut memory, 10, "a", 10_000, true));
    let expected = [
        AttemptVerdict::Start,
        AttemptVerdict::InProgress,
        AttemptVerdict::Known(done(3)),
    ];
    assert_eq!(verdicts, expected);
}

#[test]
fn only_an_attempt_that_did_not_run_may_be_sent_again() {
    let mut memory = memory();
    begin(&mut memory, 0, "a", 10_000, false);
    let reason = NotRunReason::ServerRefused;
    memory.finish(&id("a"), AttemptOutcome::NotRun(reason));
    let again = begin(&mut memory, 5, "a", 10_000, false);
    memory.finish(&id("a"), AttemptOutcome::Unknown);
    let after = begin(&mut memory, 10, "a", 10_000, true);
    assert_eq!(again, AttemptVerdict::Start);
    assert_eq!(after, AttemptVerdict::Known(AttemptOutcome::Unknown));
}

/// A late resend, even with a new deadline, learns the outcome of the first
/// attempt. Once the id has expired, the old deadline lets nothing start, and
/// the response must not be "not run".
#[test]
fn an_id_is_remembered_for_the_longest_deadline_after_its_own() {
    let mut memory = memory();
    begin(&mut memory, 0, "a", 100, false);
    memory.finish(&id("a"), done(3));
    let late = begin(&mut memory, 101, "a", 100, true);
    let renewed = begin(&mut memory, 30_100, "a", 60_000, false);
    let forgotten = begin(&mut memory, 30_101, "a", 100, true);
    let later = begin(&mut memory, 90_000, "a", 100, true);
    assert_eq!(late, AttemptVerdict::Known(done(3)));
    assert_eq!(renewed, AttemptVerdict::Known(done(3)));
    assert_eq!(forgotten, AttemptVerdict::TooYoung);
    assert_eq!(later, AttemptVerdict::TooYoung, "\"not run\" would be a lie");
    assert!(memory.is_empty());
}

#[test]
fn an_attempt_running_past_its_deadline_is_remembered() {
    let mut memory = memory();
    begin(&mut memory, 0, "a", 100, false);
    let late = begin(&mut memory, 200, "a", 100, true);
    assert_eq!(late, AttemptVerdict::InProgress);
}

#[test]
fn a_full_memory_refuses_and_forgets_nothing() {
    let mut memory = memory();
    for number in 0..10 {
        begin(&mut memory, 0, &format!("n{number}"), 10_000, false);
    }
    let reason = NotRunReason::QueueFull;
    let full = begin(&mut memory, 1, "a", 10_000, false);
    assert_eq!(full, AttemptVerdict::Refused(reason));
    let first = begin(&mut memory, 1, "n0", 10_000, true);
    assert_eq!(first, AttemptVerdict::InProgress);
}

/// A keeper is lost while an order runs, and its caller resends the order to
/// the next keeper, which cannot know of it. Once every id from before that
/// keeper's time would have expired, a resend is new, whatever its deadline.
#[test]
fn a_resend_to_a_young_memory_is_too_young() {
    let mut memory = memory_since(1_000);
    let cases = [
        (1_000, 20_000, true, AttemptVerdict::TooYoung),
        (1_000, 20_001, false, AttemptVerdict::Start),
        (31_000, 61_000, true, AttemptVerdict::TooYoung),
        (60_999, 90_000, true, AttemptVerdict::TooYoung),
        (61_000, 61_001, true, AttemptVerdict::Start),
    ];
    for (now, deadline, is_resend, expected) in cases {
        let name = format!("a{now}-{deadline}");
        let verdict = begin(&mut memory, now, &name, deadline, is_resend);
        assert_eq!(verdict, expected, "{name}");
    }
}

#[test]
fn an_uncovered_slice_is_too_young() {
    let mut memory = memory();
    memory.reset_slices();
    let verdict = begin(&mut memory, 90_000, "a", 120_000, true);
    assert_eq!(verdict, AttemptVerdict::TooYoung);
}

/// Guards against a planned move that loses the memory. The new keeper's clock
/// differs. A resend gets the first outcome there; without a record it is *too
/// young*, since another keeper may have had the slice in between.
#[test]
fn a_move_hands_over_the_memory() {
    let mut old = memory();
    for name in ["a", "b", "d"] {
        begin(&mut old, 40_000, name, 60_000, false);
    }
    old.finish(&id("a"), done(3));
    old.finish(&id("b"), AttemptOutcome::Unknown);
    let keeper = Arc::from("vm-2");
    let pending = old.pending_records(at(41_000), |_| Some(&keeper), 10_000);
    let (to, records) = pending.expect("two attempts have completed");
    assert_eq!(to, keeper);
    old.mark_received(&to, &records);
    assert_eq!(
        old.pending_records(at(41_000), |_| Some(&keeper), 10_000),
        None
    );
    let mut new = memory_since(500_000);
    for record in records {
        new.import(at(500_000), record);
    }
    let verdicts = ["a", "b", "c", "d"]
        .map(|name| begin(&mut new, 500_100, name, 519_000, true));
    let expected = [
        AttemptVerdict::Known(done(3)),
        AttemptVerdict::Known(AttemptOutcome::Unknown),
        AttemptVerdict::TooYoung,
        AttemptVerdict::TooYoung,
    ];
    assert_eq!(verdicts, expected);
    let sent = new.sent(&id("b")).expect("attempt is remembered");
    assert_eq!((&sent.server, sent.arrived_at), (&server(), None));
    let after = begin(&mut new, 549_000, "a", 519_000, true);
    let forgotten = begin(&mut new, 549_001, "a", 519_000, true);
    assert_eq!(after, AttemptVerdict::Known(done(3)));
    assert_eq!(forgotten, AttemptVerdict::TooYoung);
}

/// The order was sent again without being marked as a resend, then a record
/// arrives late. It must not replace the entry of this keeper.
#[test]
fn a_late_record_replaces_nothing() {
    let mut old = memory();
    begin(&mut old, 0, "a", 10_000, false);
    old.finish(&id("a"), AttemptOutcome::Unknown);
    let keeper = Arc::from("vm-2");
    let pending = old.pending_records(at(1_000), |_| Some(&keeper), 10_000);
    let (_, records) = pending.expect("one attempt has completed");
    let mut new = memory_since(1_000);
    begin(&mut new, 1_000, "a", 10_000, false);
    for record in records {
        new.import(at(1_500), record);
    }
    let running = begin(&mut new, 2_000, "a", 10_000, true);
    assert_eq!(running, AttemptVerdict::InProgress);
}

/// A slice moves to a second keeper, back, and on to a third: each new keeper
/// must receive the records, in batches of a bounded size.
#[test]
fn each_new_keeper_receives_the_records_in_batches() {
    let mut memory = memory();
    for number in 0..5 {
        let name = format!("n{number}");
        begin(&mut memory, 0, &name, 10_000, false);
        memory.finish(&id(&name), done(3));
    }
    let mut deliver = |keeper: Option<&str>| {
        let keeper = keeper.map(Arc::from);
        let mut batches = Vec::new();
        while let Some((to, records)) =
            memory.pending_records(at(1), |_| keeper.as_ref(), 600)
        {
            memory.mark_received(&to, &records);
            batches.push(records.len());
        }
        batches
    };
    assert_eq!(deliver(Some("vm-2")), [2, 2, 1]);
    assert_eq!(deliver(Some("vm-2")), []);
    assert_eq!(deliver(None), []);
    assert_eq!(deliver(Some("vm-2")), [2, 2, 1]);
    assert_eq!(deliver(Some("vm-3")), [2, 2, 1]);
}

/// The stored bodies must stay within a total bound, and the bytes of expired
/// ones must be freed.
#[test]
fn stored_bodies_stay_within_a_bound() {
    let mut memory = memory();
    for (name, now) in [("a", 0), ("b", 0), ("c", 0), ("d", 40_000)] {
        begin(&mut memory, now, name, now + 100, false);
        memory.finish(&id(name), done(MAX_ANSWER_BYTES));
        let known = begin(&mut memory, now, name, now + 100, true);
        let AttemptVerdict::Known(AttemptOutcome::Done(answer)) = known else {
            panic!("{known:?}");
        };
        assert_eq!(answer.body.is_some(), name != "c", "{name}");
    }
}

#[test]
fn a_long_response_is_stored_without_its_body() {
    let mut memory = memory();
    begin(&mut memory, 0, "a", 10_000, false);
    memory.finish(&id("a"), done(MAX_ANSWER_BYTES + 1));
    let content_type = Arc::from("text/plain");
    let answer = StoredAnswer { status: 201, content_type, body: None };
    let expected = AttemptVerdict::Known(AttemptOutcome::Done(answer));
    assert_eq!(begin(&mut memory, 5, "a", 10_000, true), expected);
}

/// An order ran at a keeper that was lost, and its caller resends it with
/// little time left. "Deadline passed, not run" would be false.
#[test]
fn a_late_resend_to_a_young_memory_is_not_called_not_run() {
    let mut memory = memory_since(1_000);
    let verdict = begin(&mut memory, 1_500, "a", 1_500, true);
    assert_eq!(verdict, AttemptVerdict::TooYoung);
}

/// A caller sends its remaining time with each attempt, so a resend has a
/// later deadline than the first attempt. A distant deadline does not prove
/// that the first one came after the memory began.
#[test]
fn a_renewed_deadline_proves_nothing() {
    // The order ran at 0, at another keeper, with a deadline of 30,000.
    let mut memory = memory_since(1_000);
    let verdict = begin(&mut memory, 29_000, "a", 59_000, true);
    assert_eq!(verdict, AttemptVerdict::TooYoung);
}

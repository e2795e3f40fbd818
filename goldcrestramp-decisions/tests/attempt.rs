//! The same order sent twice, in every way that it can happen.

use std::sync::Arc;

use goldcrestramp_decisions::{
    AttemptArrival, AttemptId, AttemptMemory, AttemptOutcome, AttemptVerdict,
    MAX_ANSWER_BYTES, MemorySettings, StoredAnswer,
};
use goldcrestramp_types::{
    CallerName, LocalTime, NotRunReason, RequestName, SliceIndex, TimeSpan,
};

const LONGEST: TimeSpan = TimeSpan::from_millis(30_000);

fn at(millis: u64) -> LocalTime {
    LocalTime::from_micros(millis * 1_000)
}

fn id(request: &str) -> AttemptId {
    let caller = CallerName::new("tienda-4").expect("a valid name");
    let request = RequestName::new(request).expect("a valid name");
    AttemptId { caller, request }
}

fn slice() -> SliceIndex {
    SliceIndex::new(7).expect("a small number")
}

/// A memory of ten ids that keeps one slice since this time.
fn memory_since(millis: u64) -> AttemptMemory {
    let settings = MemorySettings {
        id_limit: 10,
        answer_bytes: 2 * MAX_ANSWER_BYTES,
        longest: LONGEST,
    };
    let mut memory = AttemptMemory::open(settings);
    memory.begin_slice(at(millis), slice());
    memory
}

/// One that keeps it since the clock's start.
fn memory() -> AttemptMemory {
    memory_since(0)
}

/// Where the server listens that the first keeper sends to.
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
fn a_resend_meets_the_first_one() {
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
fn what_did_not_run_may_be_sent_again_and_what_may_have_may_not() {
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

/// A resend that comes late, even with a new deadline, learns how the first
/// one ended; once the id is forgotten, the old deadline lets nothing start,
/// and nobody says any more that it did not run.
#[test]
fn after_its_deadline_an_id_is_known_for_the_longest_deadline() {
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
fn one_that_still_runs_past_its_deadline_is_not_forgotten() {
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

/// A keeper is lost while an order runs; its caller sends the order again,
/// to the next keeper, which cannot know. Once every id of the time before
/// it would be forgotten anyway, a resend is new, whatever its deadline.
#[test]
fn a_young_memory_says_so() {
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
fn an_unknown_slice_is_young_too() {
    let mut memory = memory();
    memory.begin_anew();
    let verdict = begin(&mut memory, 90_000, "a", 120_000, true);
    assert_eq!(verdict, AttemptVerdict::TooYoung);
}

/// A planned move: the old keeper tells the new one, whose clock reads
/// differently. A resend meets the first one's end there; one of which
/// nothing was told is *too young*, since another keeper may have had the
/// slice in between.
#[test]
fn a_move_takes_the_memory_along() {
    let mut old = memory();
    for name in ["a", "b", "d"] {
        begin(&mut old, 40_000, name, 60_000, false);
    }
    old.finish(&id("a"), done(3));
    old.finish(&id("b"), AttemptOutcome::Unknown);
    let keeper = Arc::from("vm-2");
    let told = old.untold(at(41_000), |_| Some(&keeper), 10_000);
    let (to, records) = told.expect("two have ended");
    assert_eq!(to, keeper);
    old.told(&to, &records);
    assert_eq!(old.untold(at(41_000), |_| Some(&keeper), 10_000), None);
    let mut new = memory_since(500_000);
    for record in records {
        new.take(at(500_000), record);
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
    let sent = new.sent(&id("b")).expect("it is remembered");
    assert_eq!((&sent.server, sent.begun), (&server(), None));
    let after = begin(&mut new, 549_000, "a", 519_000, true);
    let forgotten = begin(&mut new, 549_001, "a", 519_000, true);
    assert_eq!(after, AttemptVerdict::Known(done(3)));
    assert_eq!(forgotten, AttemptVerdict::TooYoung);
}

/// A record that comes late, after the order was sent again without a word
/// of being a resend, does not take the place of what is known first hand.
#[test]
fn a_late_record_replaces_nothing() {
    let mut old = memory();
    begin(&mut old, 0, "a", 10_000, false);
    old.finish(&id("a"), AttemptOutcome::Unknown);
    let keeper = Arc::from("vm-2");
    let told = old.untold(at(1_000), |_| Some(&keeper), 10_000);
    let (_, records) = told.expect("one has ended");
    let mut new = memory_since(1_000);
    begin(&mut new, 1_000, "a", 10_000, false);
    for record in records {
        new.take(at(1_500), record);
    }
    let running = begin(&mut new, 2_000, "a", 10_000, true);
    assert_eq!(running, AttemptVerdict::InProgress);
}

/// A slice moves to a second keeper, back, and on to a third: each new
/// keeper is told, in parts of a bounded size.
#[test]
fn each_next_keeper_is_told_in_parts() {
    let mut memory = memory();
    for number in 0..5 {
        let name = format!("n{number}");
        begin(&mut memory, 0, &name, 10_000, false);
        memory.finish(&id(&name), done(3));
    }
    let mut tell = |keeper: Option<&str>| {
        let keeper = keeper.map(Arc::from);
        let mut parts = Vec::new();
        while let Some((to, records)) =
            memory.untold(at(1), |_| keeper.as_ref(), 600)
        {
            memory.told(&to, &records);
            parts.push(records.len());
        }
        parts
    };
    assert_eq!(tell(Some("vm-2")), [2, 2, 1]);
    assert_eq!(tell(Some("vm-2")), []);
    assert_eq!(tell(None), []);
    assert_eq!(tell(Some("vm-2")), [2, 2, 1]);
    assert_eq!(tell(Some("vm-3")), [2, 2, 1]);
}

/// Answers are kept within a bound in all; those beyond it, and what a
/// forgotten one gave free, are counted right.
#[test]
fn answers_are_kept_within_a_bound() {
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
fn a_long_answer_is_known_without_its_body() {
    let mut memory = memory();
    begin(&mut memory, 0, "a", 10_000, false);
    memory.finish(&id("a"), done(MAX_ANSWER_BYTES + 1));
    let content_type = Arc::from("text/plain");
    let answer = StoredAnswer { status: 201, content_type, body: None };
    let expected = AttemptVerdict::Known(AttemptOutcome::Done(answer));
    assert_eq!(begin(&mut memory, 5, "a", 10_000, true), expected);
}

/// An order ran at a keeper that was lost. Its caller sends it again, with
/// little time: "its deadline passed, not run" would be a lie.
#[test]
fn a_late_resend_to_a_young_memory_is_not_called_not_run() {
    let mut memory = memory_since(1_000);
    let verdict = begin(&mut memory, 1_500, "a", 1_500, true);
    assert_eq!(verdict, AttemptVerdict::TooYoung);
}

/// A caller says with each try how long it waits, so a resend has a later
/// deadline than its first try: a far deadline does not prove that the
/// first one came after the memory began.
#[test]
fn a_renewed_deadline_proves_nothing() {
    // The order ran at 0, at another keeper, with a deadline of 30,000.
    let mut memory = memory_since(1_000);
    let verdict = begin(&mut memory, 29_000, "a", 59_000, true);
    assert_eq!(verdict, AttemptVerdict::TooYoung);
}

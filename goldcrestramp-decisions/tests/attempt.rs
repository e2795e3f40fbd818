//! The same order sent twice, in every way that it can happen.

use std::sync::Arc;

use goldcrestramp_decisions::{
    ANSWER_LIMIT, AttemptId, AttemptMemory, AttemptOutcome, AttemptVerdict,
    MemorySettings, StoredAnswer,
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

/// A memory of ten ids that keeps one slice since the clock's start.
fn memory() -> AttemptMemory {
    let settings = MemorySettings { id_limit: 10, longest: LONGEST };
    let mut memory = AttemptMemory::open(settings);
    memory.begin_slice(at(0), slice());
    memory
}

fn begin(
    memory: &mut AttemptMemory,
    now: u64,
    name: &str,
    deadline: u64,
    is_resend: bool,
) -> AttemptVerdict {
    let deadline = at(deadline);
    memory.begin(at(now), &id(name), slice(), deadline, is_resend)
}

fn done(length: usize) -> AttemptOutcome {
    let body = Some(Arc::from(vec![b'x'; length]));
    AttemptOutcome::Done(StoredAnswer { status: 201, body })
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
/// one ended; once the id is forgotten, the old deadline lets nothing start.
#[test]
fn after_its_deadline_an_id_is_known_for_the_longest_deadline() {
    let mut memory = memory();
    begin(&mut memory, 0, "a", 100, false);
    memory.finish(&id("a"), done(3));
    let late = begin(&mut memory, 101, "a", 100, true);
    let renewed = begin(&mut memory, 30_100, "a", 60_000, false);
    let forgotten = begin(&mut memory, 30_101, "a", 100, true);
    let reason = NotRunReason::DeadlinePassed;
    assert_eq!(late, AttemptVerdict::Known(done(3)));
    assert_eq!(renewed, AttemptVerdict::Known(done(3)));
    assert_eq!(forgotten, AttemptVerdict::Refused(reason));
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
/// to the next keeper, which cannot know. Once every request of the time
/// before it must be past its deadline, a resend is new.
#[test]
fn a_young_memory_says_so() {
    let settings = MemorySettings { id_limit: 10, longest: LONGEST };
    let mut memory = AttemptMemory::open(settings);
    memory.begin_slice(at(1_000), slice());
    let cases = [
        (1_000, 20_000, true, AttemptVerdict::TooYoung),
        (1_000, 20_001, false, AttemptVerdict::Start),
        (20_000, 30_999, true, AttemptVerdict::TooYoung),
        (20_000, 31_000, true, AttemptVerdict::Start),
    ];
    for (now, deadline, is_resend, expected) in cases {
        let name = format!("a{now}-{deadline}");
        let verdict = begin(&mut memory, now, &name, deadline, is_resend);
        assert_eq!(verdict, expected, "{name}");
    }
}

#[test]
fn an_unknown_slice_is_young_too() {
    let settings = MemorySettings { id_limit: 10, longest: LONGEST };
    let mut memory = AttemptMemory::open(settings);
    let verdict = begin(&mut memory, 90_000, "a", 120_000, true);
    assert_eq!(verdict, AttemptVerdict::TooYoung);
}

/// A planned move: the old keeper hands its memory to the new one, whose
/// clock reads differently. The resend meets the first one there.
#[test]
fn a_release_takes_the_memory_along() {
    let mut old = memory();
    begin(&mut old, 40_000, "a", 60_000, false);
    old.finish(&id("a"), done(3));
    begin(&mut old, 40_000, "b", 60_000, false);
    let passed_on = old.release(at(41_000), slice());
    assert!(old.is_empty());
    let settings = MemorySettings { id_limit: 10, longest: LONGEST };
    let mut new = AttemptMemory::open(settings);
    new.take_over(at(500_000), slice(), passed_on);
    let verdicts = ["a", "b", "c"]
        .map(|name| begin(&mut new, 500_100, name, 519_000, true));
    let expected = [
        AttemptVerdict::Known(done(3)),
        AttemptVerdict::Known(AttemptOutcome::Unknown),
        AttemptVerdict::Start,
    ];
    assert_eq!(verdicts, expected);
    let after = begin(&mut new, 549_000, "a", 519_000, true);
    let forgotten = begin(&mut new, 549_001, "a", 519_000, true);
    let reason = NotRunReason::DeadlinePassed;
    assert_eq!(after, AttemptVerdict::Known(done(3)));
    assert_eq!(forgotten, AttemptVerdict::Refused(reason));
}

#[test]
fn a_long_answer_is_known_without_its_body() {
    let mut memory = memory();
    begin(&mut memory, 0, "a", 10_000, false);
    memory.finish(&id("a"), done(ANSWER_LIMIT + 1));
    let answer = StoredAnswer { status: 201, body: None };
    let expected = AttemptVerdict::Known(AttemptOutcome::Done(answer));
    assert_eq!(begin(&mut memory, 5, "a", 10_000, true), expected);
}

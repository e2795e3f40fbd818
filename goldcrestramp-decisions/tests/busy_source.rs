//! Waiting for changes from VMs that are busy, lost or stuck.

use goldcrestramp_decisions::BusyWait;
use goldcrestramp_types::{LocalTime, TimeSpan};

const LIMIT: TimeSpan = TimeSpan::from_millis(800);

fn at(millis: u64) -> LocalTime {
    LocalTime::from_micros(millis * 1_000)
}

/// Asks a source that is busy until `busy_until` and responds to questions
/// until `alive_until`; returns the milliseconds after which it is given up.
fn given_up_after(busy_until: u64, alive_until: u64) -> u64 {
    let mut wait = BusyWait::begin(at(0), LIMIT);
    while wait.question_at() < wait.give_up_at() {
        let now = wait.question_at();
        wait.record_question(now, now);
        if now < at(busy_until) {
            wait.record_busy(now);
        } else if now < at(alive_until) {
            wait.record_idle(now);
        }
    }
    wait.give_up_at().since(at(0)).as_millis()
}

/// Guards against a lost or frozen source that is replaced later because VMs
/// ask whether it is busy.
#[test]
fn a_source_that_does_not_respond_is_given_up_after_the_limit() {
    assert_eq!(given_up_after(0, 0), 800);
}

/// Guards against reads of the full store while the source builds a change.
#[test]
fn a_source_that_was_just_busy_may_build_its_response() {
    let given_up = given_up_after(1_000, 0);

    assert!((1_300..=1_500).contains(&given_up), "{given_up} ms");
}

/// Guards against a source that is given up because its follower did not run:
/// the response may wait in the follower's socket.
#[test]
fn a_follower_that_did_not_run_waits_longer() {
    let mut wait = BusyWait::begin(at(0), LIMIT);
    let planned_at = wait.question_at();

    wait.record_question(at(1_100), planned_at);

    assert_eq!(planned_at, at(500));
    assert_eq!(wait.give_up_at(), at(1_400));
}

/// Guards against followers that wait forever for a VM whose thread is stuck.
#[test]
fn a_stuck_source_is_given_up() {
    assert_eq!(given_up_after(60_000, 0), 2_000);
}

/// Guards against reads of the full store because the link to the source is
/// slow, and against a wait as long as for a busy one.
#[test]
fn a_source_that_is_not_busy_may_have_a_slow_link() {
    assert_eq!(given_up_after(0, 60_000), 1_200);
}

/// Guards against a limit for busy VMs that shortens a longer limit.
#[test]
fn a_longer_limit_is_kept() {
    let limit = TimeSpan::from_millis(4_000);
    let mut wait = BusyWait::begin(at(0), limit);

    wait.record_busy(at(100));

    assert_eq!(wait.give_up_at(), at(4_000));
}

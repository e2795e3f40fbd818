//! What a keeper sends to servers that are not well.

use goldcrestramp_decisions::{
    LimitVerdict, OwnerAdvice, ServerLimit, ServerSignal,
};
use goldcrestramp_types::{LocalTime, RequestClass, TimeSpan};

fn at(millis: u64) -> LocalTime {
    LocalTime::from_micros(millis * 1_000)
}

fn answered(millis: u64) -> ServerSignal {
    ServerSignal::Answered(RequestClass::Lookup, TimeSpan::from_millis(millis))
}

/// Sends one request at `now` that ends with `sign` after `millis`.
fn run(limit: &mut ServerLimit, now: u64, millis: u64, sign: ServerSignal) {
    limit.started(at(now), RequestClass::Lookup);
    limit.replied(at(now + millis));
    limit.finished(at(now + millis), sign, 0);
}

/// A server of four slots that has answered for a second.
fn warm() -> ServerLimit {
    let mut limit = ServerLimit::open(at(0), 4);
    for turn in 0..200 {
        run(&mut limit, turn * 5, 5, answered(5));
    }
    limit
}

#[test]
fn a_cold_server_is_given_more_by_degrees() {
    let mut limit = ServerLimit::open(at(0), 4);
    let mut seen = Vec::new();
    for turn in 0..14 {
        seen.push(limit.verdict(at(turn * 5)));
        run(&mut limit, turn * 5, 5, answered(5));
    }
    let slots = [1, 1, 2, 2, 2, 2, 3, 3, 3, 3, 3, 3, 4, 4];
    assert_eq!(seen, slots.map(LimitVerdict::Allowed));
}

/// All VMs have lost power and start again among servers that have been at
/// work all the while. Given one request at a time, such a server would be
/// idle but for one slot while callers are refused.
#[test]
fn a_server_that_is_warm_is_given_its_slots_at_once() {
    let limit = ServerLimit::warm(at(0), 4);

    assert_eq!(limit.verdict(at(0)), LimitVerdict::Allowed(4));
}

#[test]
fn a_download_at_a_cold_server_does_not_keep_it_cold() {
    let mut limit = ServerLimit::open(at(0), 2);
    limit.started(at(0), RequestClass::Long);
    limit.progressed(at(10));
    limit.progressed(at(20));
    assert_eq!(limit.verdict(at(20)), LimitVerdict::Allowed(2));
}

#[test]
fn a_shedding_server_is_given_half_once_a_burst() {
    let mut limit = warm();
    for _ in 0..4 {
        limit.started(at(2_000), RequestClass::Lookup);
    }
    for _ in 0..4 {
        limit.replied(at(2_001));
        limit.finished(at(2_001), ServerSignal::Refused, 0);
    }
    assert_eq!(limit.verdict(at(2_001)), LimitVerdict::Allowed(2));
    run(&mut limit, 2_050, 1, ServerSignal::Refused);
    assert_eq!(limit.verdict(at(2_051)), LimitVerdict::Allowed(1));
}

/// A server turns a part of its requests away whatever its load; each key
/// has this server alone. Held back after a few refusals in a row, it is
/// idle while its callers are refused here: of a hundred requests a second
/// nearly all are to reach it.
#[test]
fn a_server_that_sheds_at_random_is_not_held_back() {
    let mut limit = warm();
    let mut random = 12_345_u32;
    let mut sent = 0;
    for turn in 0..1_000 {
        let now = 2_000 + turn * 10;
        limit.tick(at(now), 0);
        if matches!(limit.verdict(at(now)), LimitVerdict::Suspended(_)) {
            continue;
        }
        sent += 1;
        random = random.wrapping_mul(1_664_525).wrapping_add(1_013_904_223);
        let sheds = random >> 16 < 0x8CCC;
        let sign = if sheds { ServerSignal::Refused } else { answered(5) };
        run(&mut limit, now, 5, sign);
    }

    assert!(sent > 950, "{sent} of 1000 were sent");
}

/// A server that refuses everything is asked now and then only.
#[test]
fn a_server_that_refuses_everything_is_held() {
    let mut limit = warm();
    let mut sent = 0;
    for turn in 0..1_000 {
        let now = 2_000 + turn * 10;
        if matches!(limit.verdict(at(now)), LimitVerdict::Allowed(_)) {
            sent += 1;
            run(&mut limit, now, 5, ServerSignal::Refused);
        }
    }

    assert!(sent < 50, "{sent} of 1000 were sent");
}

/// Every request sent to a frozen server is held until it wakes. The keeper
/// sends none until a probe is due; each failed probe doubles the time.
#[test]
fn a_frozen_server_is_held_and_probed() {
    let mut limit = warm();
    for _ in 0..4 {
        limit.started(at(2_000), RequestClass::Lookup);
    }
    let silent = limit.wake_at(at(2_000)).expect("requests run");
    assert_eq!(silent, at(2_300), "300 ms is the least silence");
    limit.tick(silent, 0);
    assert_eq!(limit.verdict(silent), LimitVerdict::Suspended(at(2_400)));
    assert_eq!(limit.verdict(at(2_400)), LimitVerdict::Allowed(1));
    limit.started(at(2_400), RequestClass::Lookup);
    limit.tick(at(2_700), 0);
    assert_eq!(limit.verdict(at(2_700)), LimitVerdict::Suspended(at(2_900)));
    assert_eq!(limit.advice(at(3_299)), OwnerAdvice::Keep);
    assert_eq!(limit.advice(at(3_300)), OwnerAdvice::MoveAway);
}

/// A server is lost, and its slices have gone to others: nothing waits for
/// it any more. Its hold ends, and there is nothing to wake up for until
/// a request comes.
#[test]
fn an_ended_hold_wakes_nobody() {
    let mut limit = warm();
    for _ in 0..3 {
        run(&mut limit, 2_000, 50, ServerSignal::Unreachable);
    }
    let LimitVerdict::Suspended(until) = limit.verdict(at(2_050)) else {
        panic!("three failures hold it");
    };
    assert_eq!(limit.wake_at(at(2_050)), Some(until));
    assert_eq!(limit.wake_at(until), None);
}

/// A phone stops reading a download that has begun: the server is not taken
/// for frozen.
#[test]
fn an_answer_that_has_begun_is_no_silence() {
    let mut limit = warm();
    limit.started(at(2_000), RequestClass::Long);
    assert_eq!(limit.wake_at(at(2_000)), Some(at(12_000)));
    limit.replied(at(2_100));
    assert_eq!(limit.wake_at(at(2_100)), None);
}

#[test]
fn a_server_that_is_back_is_trusted_by_degrees() {
    let mut limit = warm();
    for turn in 0..3 {
        run(&mut limit, 2_000 + turn, 1, ServerSignal::Unreachable);
    }
    assert!(matches!(limit.verdict(at(2_003)), LimitVerdict::Suspended(_)));
    run(&mut limit, 2_200, 5, answered(5));
    assert_eq!(limit.verdict(at(2_205)), LimitVerdict::Allowed(1));
    run(&mut limit, 2_205, 5, answered(5));
    assert_eq!(limit.verdict(at(2_210)), LimitVerdict::Allowed(2));
    assert_eq!(limit.advice(at(9_000)), OwnerAdvice::Keep);
}

#[test]
fn a_slow_server_keeps_its_slots_and_its_owner_should_change() {
    let mut limit = warm();
    for turn in 0..40 {
        run(&mut limit, 2_000 + turn * 50, 50, answered(50));
    }
    assert_eq!(limit.verdict(at(4_000)), LimitVerdict::Allowed(4));
    assert_eq!(limit.advice(at(4_000)), OwnerAdvice::MoveAway);
}

#[test]
fn a_new_run_of_a_server_is_cold() {
    let mut limit = warm();
    limit.restarted(at(2_000));
    assert_eq!(limit.verdict(at(2_000)), LimitVerdict::Allowed(1));
}

//! The concurrency limit of servers that fail, refuse or are slow.

use goldcrestramp_decisions::{
    LimitVerdict, OwnerAdvice, ServerLimit, ServerSignal,
};
use goldcrestramp_types::{LocalTime, RequestClass, TimeSpan};

fn at(millis: u64) -> LocalTime {
    LocalTime::from_micros(millis * 1_000)
}

fn answered(millis: u64) -> ServerSignal {
    ServerSignal::Responded(
        RequestClass::Lookup,
        TimeSpan::from_millis(millis),
    )
}

/// Sends one request at `now` that ends with `signal` after `millis`.
fn run(limit: &mut ServerLimit, now: u64, millis: u64, signal: ServerSignal) {
    limit.started(at(now), RequestClass::Lookup);
    limit.replied(at(now + millis));
    limit.finished(at(now + millis), signal, 0);
}

/// A server of four slots that has responded for a second.
fn warm() -> ServerLimit {
    let mut limit = ServerLimit::open(at(0), 4);
    for turn in 0..200 {
        run(&mut limit, turn * 5, 5, answered(5));
    }
    limit
}

#[test]
fn the_limit_of_a_cold_server_grows_step_by_step() {
    let mut limit = ServerLimit::open(at(0), 4);
    let mut seen = Vec::new();
    for turn in 0..14 {
        seen.push(limit.verdict(at(turn * 5)));
        run(&mut limit, turn * 5, 5, answered(5));
    }
    let slots = [1, 1, 2, 2, 2, 2, 3, 3, 3, 3, 3, 3, 4, 4];
    assert_eq!(seen, slots.map(LimitVerdict::Allowed));
}

/// All VMs lost power and start again while the servers kept running. Limited
/// to one request at a time, such a server would idle on its other slots while
/// callers are refused.
#[test]
fn a_warm_server_may_use_all_slots_at_once() {
    let limit = ServerLimit::warm(at(0), 4);

    assert_eq!(limit.verdict(at(0)), LimitVerdict::Allowed(4));
}

/// Guards against a VM that gets one request at a time after a silence, or
/// fewer for what its servers refuse.
#[test]
fn a_vm_gets_as_many_requests_as_before_once_it_responds() {
    let mut limit = ServerLimit::relay(at(0), 64);
    for _ in 0..16 {
        limit.started(at(0), RequestClass::Lookup);
    }

    limit.tick(at(900), 0);
    let slow = limit.verdict(at(900));
    limit.tick(at(1_000), 0);
    let silent = limit.verdict(at(1_000));
    limit.replied(at(1_050));
    limit.finished(at(1_050), answered(1_050), 0);
    let alive = limit.verdict(at(1_050));
    run(&mut limit, 1_060, 5, ServerSignal::Refused);

    assert_eq!(slow, LimitVerdict::Allowed(64));
    assert!(matches!(silent, LimitVerdict::Suspended(_)));
    assert_eq!(alive, LimitVerdict::Allowed(64));
    assert_eq!(limit.verdict(at(1_065)), LimitVerdict::Allowed(64));
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
fn the_limit_of_an_overloaded_server_is_halved_once_per_burst() {
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

/// A server refuses a part of its requests whatever its load, and each key has
/// this server only. Suspended after a few consecutive refusals, it would idle
/// while its callers are refused. Of 100 requests a second, nearly all must
/// reach it.
#[test]
fn a_server_that_refuses_at_random_is_not_suspended() {
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
        let refuses = random >> 16 < 0x8CCC;
        let signal = if refuses { ServerSignal::Refused } else { answered(5) };
        run(&mut limit, now, 5, signal);
    }

    assert!(sent > 950, "{sent} of 1000 were sent");
}

/// A server that refuses everything is only probed.
#[test]
fn a_server_that_refuses_everything_is_suspended() {
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

/// Every request sent to a frozen server is stuck until it wakes. The keeper
/// sends none until a probe is due, and each failed probe doubles the time.
#[test]
fn a_frozen_server_is_suspended_and_probed() {
    let mut limit = warm();
    for _ in 0..4 {
        limit.started(at(2_000), RequestClass::Lookup);
    }
    let silent = limit.wake_at(at(2_000)).expect("requests are running");
    assert_eq!(silent, at(2_300), "300 ms is the minimum silence");
    limit.tick(silent, 0);
    assert_eq!(limit.verdict(silent), LimitVerdict::Suspended(at(2_400)));
    assert_eq!(limit.verdict(at(2_400)), LimitVerdict::Allowed(1));
    limit.started(at(2_400), RequestClass::Lookup);
    limit.tick(at(2_700), 0);
    assert_eq!(limit.verdict(at(2_700)), LimitVerdict::Suspended(at(2_900)));
    assert_eq!(limit.advice(at(3_299)), OwnerAdvice::Keep);
    assert_eq!(limit.advice(at(3_300)), OwnerAdvice::MoveAway);
}

/// A server is lost and its slices have moved, so nothing waits for it. Once
/// its suspension has ended, there must be no wake-up until a request arrives.
#[test]
fn an_ended_suspension_causes_no_wake_up() {
    let mut limit = warm();
    for _ in 0..3 {
        run(&mut limit, 2_000, 50, ServerSignal::Unreachable);
    }
    let LimitVerdict::Suspended(until) = limit.verdict(at(2_050)) else {
        panic!("three failures suspend the server");
    };
    assert_eq!(limit.wake_at(at(2_050)), Some(until));
    assert_eq!(limit.wake_at(until), None);
}

/// A phone stops reading a download that has begun. The server must not be
/// taken for frozen.
#[test]
fn a_response_that_has_begun_is_not_silence() {
    let mut limit = warm();
    limit.started(at(2_000), RequestClass::Long);
    assert_eq!(limit.wake_at(at(2_000)), Some(at(12_000)));
    limit.replied(at(2_100));
    assert_eq!(limit.wake_at(at(2_100)), None);
}

#[test]
fn the_limit_of_a_recovered_server_grows_step_by_step() {
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
fn a_new_instance_of_a_server_is_cold() {
    let mut limit = warm();
    limit.restarted(at(2_000));
    assert_eq!(limit.verdict(at(2_000)), LimitVerdict::Allowed(1));
}

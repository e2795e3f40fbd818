//! What follows an attempt without a response.

use goldcrestramp_decisions::{
    AttemptStart, FailedAttempt, MAX_REDIRECTS, RefusalProof, RefusedBy,
    RetryDecision, RetryPolicy, TransitEstimate, timeout_to_forward,
};
use goldcrestramp_types::{
    CallerName, LocalTime, NotRunReason, RequestEffect, RetryReason,
    ServiceName, TimeSpan, UnknownReason,
};

const REFUSAL: NotRunReason = NotRunReason::ServerRefused;

fn at(millis: u64) -> LocalTime {
    LocalTime::from_micros(millis * 1_000)
}

fn names() -> (CallerName, ServiceName) {
    let caller = CallerName::new("shop-17").expect("name is valid");
    (caller, ServiceName::new("stock").expect("name is valid"))
}

fn failed(names: &(CallerName, ServiceName)) -> FailedAttempt<'_> {
    FailedAttempt {
        caller: &names.0,
        service: &names.1,
        effect: RequestEffect::Idempotent,
        start: AttemptStart::NotStarted,
        reason: RetryReason::ServerRefused,
        refusal: REFUSAL,
        redirects: 0,
        retries: 0,
        deadline: at(1_000),
        typical: TimeSpan::from_millis(5),
    }
}

#[test]
fn outcome_and_effect_decide() {
    use AttemptStart::{MayHaveRun, NotStarted};
    use RequestEffect::{Idempotent, NonIdempotent};
    let again = RetryDecision::Retry(at(0), RetryReason::ServerRefused);
    let cases = [
        (Idempotent, NotStarted, again),
        (Idempotent, MayHaveRun, again),
        (NonIdempotent, NotStarted, again),
        (NonIdempotent, MayHaveRun, RetryDecision::Unknown),
    ];
    let names = names();
    for (effect, start, expected) in cases {
        let attempt = FailedAttempt { effect, start, ..failed(&names) };
        let decision = RetryPolicy::new().decide(at(0), &attempt, 0);
        assert_eq!(decision, expected, "{effect:?}, {start:?}");
    }
}

#[test]
fn a_retry_that_could_not_end_in_time_is_not_made() {
    let names = names();
    let deadline = at(4);
    let attempt = FailedAttempt { deadline, ..failed(&names) };
    let decision = RetryPolicy::new().decide(at(0), &attempt, 0);
    let reason = NotRunReason::DeadlineTooShort;
    assert_eq!(decision, RetryDecision::NotRun(reason));
}

#[test]
fn the_delay_is_within_a_window_that_doubles() {
    let names = names();
    let mut policy = RetryPolicy::new();
    for _ in 0..100 {
        policy.record_attempt(&names.0, &names.1);
    }
    for (retries, window) in [(0, 10_000), (1, 20_000)] {
        let attempt = FailedAttempt { retries, ..failed(&names) };
        let decision = policy.decide(at(0), &attempt, window);
        let latest = LocalTime::from_micros(window);
        let reason = RetryReason::ServerRefused;
        assert_eq!(decision, RetryDecision::Retry(latest, reason));
    }
    let attempt = FailedAttempt { retries: 2, ..failed(&names) };
    let decision = policy.decide(at(0), &attempt, 0);
    assert_eq!(decision, RetryDecision::NotRun(REFUSAL));
}

/// A server fails for a while, and each of 10,000 requests fails with it.
/// Without a budget each would be sent three times.
#[test]
fn retries_add_at_most_a_tenth_to_the_load() {
    let names = names();
    let mut policy = RetryPolicy::new();
    let mut retries = 0;
    for _ in 0..10_000 {
        policy.record_attempt(&names.0, &names.1);
        let decision = policy.decide(at(0), &failed(&names), 0);
        retries += u32::from(matches!(decision, RetryDecision::Retry(..)));
    }
    assert!((990..=1_001).contains(&retries), "{retries} retries");
}

/// Many callers with one retry each would still cause a retry storm together.
#[test]
fn the_service_budget_limits_many_callers() {
    let mut policy = RetryPolicy::new();
    let mut retries = 0;
    for number in 0..10_000 {
        let caller = CallerName::new(&format!("c{number}"));
        let names = (caller.expect("name is valid"), names().1);
        policy.record_attempt(&names.0, &names.1);
        let decision = policy.decide(at(0), &failed(&names), 0);
        retries += u32::from(matches!(decision, RetryDecision::Retry(..)));
    }
    assert!((990..=1_001).contains(&retries), "{retries} retries");
}

#[test]
fn redirects_take_no_budget_and_are_limited() {
    let names = names();
    let mut policy = RetryPolicy::new();
    let reason = RetryReason::Redirected;
    for redirects in 0..MAX_REDIRECTS {
        let attempt = FailedAttempt { reason, redirects, ..failed(&names) };
        let decision = policy.decide(at(7), &attempt, 99);
        assert_eq!(decision, RetryDecision::Retry(at(7), reason));
    }
    let attempt = FailedAttempt {
        reason,
        redirects: MAX_REDIRECTS,
        refusal: NotRunReason::OwnerMoved,
        ..failed(&names)
    };
    let decision = policy.decide(at(7), &attempt, 0);
    assert_eq!(decision, RetryDecision::NotRun(NotRunReason::OwnerMoved));
}

#[test]
fn an_exhausted_budget_is_reported_truthfully() {
    let names = names();
    let mut policy = RetryPolicy::new();
    policy.decide(at(0), &failed(&names), 0);
    let spent = policy.decide(at(0), &failed(&names), 0);
    assert_eq!(spent, RetryDecision::NotRun(NotRunReason::RetryBudget));
    let start = AttemptStart::MayHaveRun;
    let attempt = FailedAttempt { start, ..failed(&names) };
    let unknown = policy.decide(at(0), &attempt, 0);
    assert_eq!(unknown, RetryDecision::Unknown);
}

#[test]
fn forwarding_subtracts_the_transit_time() {
    let transit = TimeSpan::from_millis(12);
    let remaining = |now| timeout_to_forward(at(now), at(100), transit);
    assert_eq!(remaining(50), Some(TimeSpan::from_millis(38)));
    assert_eq!(remaining(88), None);
    assert_eq!(remaining(200), None);
}

/// An estimate is used after three round trips. A wrong one would refuse the
/// very requests that could correct it, so it expires after a while.
#[test]
fn the_transit_estimate_follows_the_shortest_round_trips_and_expires() {
    let span = TimeSpan::from_millis;
    let mut transit = TransitEstimate::default();
    transit.record(at(0), span(400));
    transit.record(at(1), span(300));
    let early = transit.one_way(at(1));
    transit.record(at(2), span(24));
    let known = transit.one_way(at(5_002));
    for _ in 0..64 {
        transit.record(at(5_002), span(200));
    }
    let risen = transit.one_way(at(5_002));
    assert_eq!(early, TimeSpan::ZERO);
    assert_eq!(known, span(12));
    assert!(risen > span(50) && risen < span(100), "{risen:?}");
    assert_eq!(transit.one_way(at(10_003)), TimeSpan::ZERO);
    transit.record(at(10_003), span(24));
    assert_eq!(transit.one_way(at(10_003)), TimeSpan::ZERO);
}

/// A request is refused after other attempts. The refusal may be passed on as
/// "not run" only if whoever refused it knows of all of them.
#[test]
fn a_refusal_does_not_hide_an_attempt_that_may_have_run() {
    use RefusedBy::{Gateway, Keeper};
    use RequestEffect::{Idempotent, NonIdempotent};
    use UnknownReason::{KeeperLost, ResendRefused};
    let cases = [
        (Idempotent, false, None, Gateway, Ok(REFUSAL)),
        (Idempotent, false, Some(KeeperLost), Keeper, Err(KeeperLost)),
        (Idempotent, true, None, Keeper, Err(ResendRefused)),
        (NonIdempotent, false, None, Gateway, Ok(REFUSAL)),
        (NonIdempotent, true, None, Keeper, Ok(REFUSAL)),
        (NonIdempotent, true, None, Gateway, Err(ResendRefused)),
        (NonIdempotent, true, Some(KeeperLost), Keeper, Err(KeeperLost)),
    ];
    for (effect, is_resend, earlier, by, expected) in cases {
        let mut proof = RefusalProof::new(effect, is_resend);
        if let Some(reason) = earlier {
            proof.may_have_run(reason);
        }
        let verdict = proof.judge(REFUSAL, by);
        assert_eq!(verdict, expected, "{effect:?}, {is_resend}, {by:?}");
    }
}

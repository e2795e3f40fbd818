//! What follows an attempt that brought no answer.

use goldcrestramp_decisions::{
    AttemptStart, FailedAttempt, REDIRECT_LIMIT, RefusalProof, RefusedBy,
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
    let caller = CallerName::new("shop-17").expect("a valid name");
    (caller, ServiceName::new("stock").expect("a valid name"))
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
        usual: TimeSpan::from_millis(5),
    }
}

#[test]
fn outcome_and_effect_decide() {
    use AttemptStart::{MayHaveRun, NotStarted};
    use RequestEffect::{Idempotent, NonIdempotent};
    let again = RetryDecision::Again(at(0), RetryReason::ServerRefused);
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
fn the_wait_lies_in_a_window_that_doubles() {
    let names = names();
    let mut policy = RetryPolicy::new();
    for _ in 0..100 {
        policy.attempted(&names.0, &names.1);
    }
    for (retries, window) in [(0, 10_000), (1, 20_000)] {
        let attempt = FailedAttempt { retries, ..failed(&names) };
        let decision = policy.decide(at(0), &attempt, window);
        let latest = LocalTime::from_micros(window);
        let reason = RetryReason::ServerRefused;
        assert_eq!(decision, RetryDecision::Again(latest, reason));
    }
    let attempt = FailedAttempt { retries: 2, ..failed(&names) };
    let decision = policy.decide(at(0), &attempt, 0);
    assert_eq!(decision, RetryDecision::NotRun(REFUSAL));
}

/// A server fails for a while, and each of 10,000 requests fails with it.
/// Without a budget each would be sent three times.
#[test]
fn a_failing_server_draws_a_tenth_more_at_most() {
    let names = names();
    let mut policy = RetryPolicy::new();
    let mut retries = 0;
    for _ in 0..10_000 {
        policy.attempted(&names.0, &names.1);
        let decision = policy.decide(at(0), &failed(&names), 0);
        retries += u32::from(matches!(decision, RetryDecision::Again(..)));
    }
    assert!((990..=1_001).contains(&retries), "{retries} retries");
}

/// Many callers with a retry each would still be a storm together.
#[test]
fn the_services_budget_bounds_many_callers() {
    let mut policy = RetryPolicy::new();
    let mut retries = 0;
    for number in 0..10_000 {
        let caller = CallerName::new(&format!("c{number}"));
        let names = (caller.expect("a valid name"), names().1);
        policy.attempted(&names.0, &names.1);
        let decision = policy.decide(at(0), &failed(&names), 0);
        retries += u32::from(matches!(decision, RetryDecision::Again(..)));
    }
    assert!((990..=1_001).contains(&retries), "{retries} retries");
}

#[test]
fn redirects_take_no_budget_and_end() {
    let names = names();
    let mut policy = RetryPolicy::new();
    let reason = RetryReason::Redirected;
    for redirects in 0..REDIRECT_LIMIT {
        let attempt = FailedAttempt { reason, redirects, ..failed(&names) };
        let decision = policy.decide(at(7), &attempt, 99);
        assert_eq!(decision, RetryDecision::Again(at(7), reason));
    }
    let attempt = FailedAttempt {
        reason,
        redirects: REDIRECT_LIMIT,
        refusal: NotRunReason::OwnerMoved,
        ..failed(&names)
    };
    let decision = policy.decide(at(7), &attempt, 0);
    assert_eq!(decision, RetryDecision::NotRun(NotRunReason::OwnerMoved));
}

#[test]
fn a_budget_that_is_used_up_is_told_truly() {
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
fn a_hop_takes_its_own_time_off_the_deadline() {
    let transit = TimeSpan::from_millis(12);
    let left = |now| timeout_to_forward(at(now), at(100), transit);
    assert_eq!(left(50), Some(TimeSpan::from_millis(38)));
    assert_eq!(left(88), None);
    assert_eq!(left(200), None);
}

/// A way is believed after three trips. A wrong estimate would refuse just
/// the requests that could correct it, so it is forgotten after a while.
#[test]
fn a_way_is_learned_from_the_shortest_trips_and_forgotten() {
    let trip = TimeSpan::from_millis;
    let mut transit = TransitEstimate::default();
    transit.record(at(0), trip(400));
    transit.record(at(1), trip(300));
    let early = transit.one_way(at(1));
    transit.record(at(2), trip(24));
    let known = transit.one_way(at(5_002));
    for _ in 0..64 {
        transit.record(at(5_002), trip(200));
    }
    let risen = transit.one_way(at(5_002));
    assert_eq!(early, TimeSpan::ZERO);
    assert_eq!(known, trip(12));
    assert!(risen > trip(50) && risen < trip(100), "{risen:?}");
    assert_eq!(transit.one_way(at(10_003)), TimeSpan::ZERO);
    transit.record(at(10_003), trip(24));
    assert_eq!(transit.one_way(at(10_003)), TimeSpan::ZERO);
}

/// A request is refused after other tries of it. The refusal is passed on as
/// "not run" only if whoever refused knows of all of them.
#[test]
fn a_refusal_denies_no_try_that_may_have_run() {
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
        let told = proof.judge(REFUSAL, by);
        assert_eq!(told, expected, "{effect:?}, {is_resend}, {by:?}");
    }
}

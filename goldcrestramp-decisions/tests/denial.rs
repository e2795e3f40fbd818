//! Owners that deny a key are not retried over and over.

use goldcrestramp_decisions::{DenialAction, OwnerDenial, denial_action};
use goldcrestramp_types::{LocalTime, TimeSpan};

fn at(millis: u64) -> LocalTime {
    LocalTime::from_micros(1_000_000_000) + TimeSpan::from_millis(millis)
}

/// Counts the attempts of one request whose owner always denies its key. Its
/// assignment has been known for `known_ms` when the request starts.
fn attempts_in_two_seconds(known_ms: u64) -> u32 {
    const RETRY_INTERVAL_MS: usize = 100;
    let known_since = at(10_000 - known_ms);
    let mut denial = None;
    let mut attempts = 0;
    for millis in (10_000..12_000).step_by(RETRY_INTERVAL_MS) {
        if denial_action(denial, 7, known_since, at(millis))
            == DenialAction::Retry
        {
            attempts += 1;
            denial = Some(OwnerDenial { token: 7, denied_at: at(millis) });
        }
    }
    attempts
}

#[test]
fn an_owner_is_tried_once_when_its_grant_must_have_arrived() {
    assert_eq!(attempts_in_two_seconds(5_000), 1);
}

#[test]
fn an_owner_whose_grant_may_be_in_flight_is_retried() {
    let attempts = attempts_in_two_seconds(200);

    assert!((2..=10).contains(&attempts), "{attempts}");
}

#[test]
fn another_assignment_ends_the_wait() {
    let denial = OwnerDenial { token: 7, denied_at: at(5_000) };

    let action = denial_action(Some(denial), 8, at(5_100), at(5_100));

    assert_eq!(action, DenialAction::Retry);
}

#[test]
fn the_wait_is_counted_from_the_denial() {
    let denial = OwnerDenial { token: 7, denied_at: at(5_000) };

    let action = denial_action(Some(denial), 7, at(0), at(5_300));

    let denied_for = TimeSpan::from_millis(300);
    assert_eq!(action, DenialAction::AwaitChange { denied_for });
}

//! Owners that deny a key are not asked for it over and over.

use goldcrestramp_decisions::{DenialAction, OwnerDenial, denial_action};
use goldcrestramp_types::{LocalTime, TimeSpan};

fn at(millis: u64) -> LocalTime {
    LocalTime::from_micros(1_000_000_000) + TimeSpan::from_millis(millis)
}

/// Sends of one request whose owner always denies its key; its assignment is
/// known since `known_ms`, and the request comes at 0.
fn sends_in_two_seconds(known_ms: u64) -> u32 {
    const PAUSE_MS: usize = 100;
    let known_since = at(10_000 - known_ms);
    let mut denial = None;
    let mut sends = 0;
    for millis in (10_000..12_000).step_by(PAUSE_MS) {
        if denial_action(denial, 7, known_since, at(millis))
            == DenialAction::Retry
        {
            sends += 1;
            denial = Some(OwnerDenial { token: 7, denied_at: at(millis) });
        }
    }
    sends
}

#[test]
fn the_owner_of_a_settled_assignment_is_asked_once() {
    assert_eq!(sends_in_two_seconds(5_000), 1);
}

#[test]
fn an_owner_whose_grant_may_be_on_its_way_is_asked_again() {
    let sends = sends_in_two_seconds(200);

    assert!((2..=10).contains(&sends), "{sends}");
}

#[test]
fn another_assignment_ends_the_wait() {
    let denial = OwnerDenial { token: 7, denied_at: at(5_000) };

    let step = denial_action(Some(denial), 8, at(5_100), at(5_100));

    assert_eq!(step, DenialAction::Retry);
}

#[test]
fn the_wait_counts_from_the_denial() {
    let denial = OwnerDenial { token: 7, denied_at: at(5_000) };

    let step = denial_action(Some(denial), 7, at(0), at(5_300));

    let denied_for = TimeSpan::from_millis(300);
    assert_eq!(step, DenialAction::AwaitChange { denied_for });
}

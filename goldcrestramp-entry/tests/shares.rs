//! Tests the shares that the planning VM allots to a VM.

use std::sync::Arc;

use goldcrestramp_entry::control::{FleetShares, KeyShare, ShareBoard};
use goldcrestramp_types::{LocalTime, TimeSpan};

/// A board with a share for the keys 10 to 12 and a loan of one retry, stored
/// at the start of the clock.
fn board() -> ShareBoard {
    let service: Arc<str> = "stock".into();
    let mut shares = FleetShares::default();
    let share = KeyShare { first: 10, last: 12, per_mille: 250 };
    shares.keys.insert(Arc::clone(&service), vec![share]);
    shares.loans.insert(service, 1);
    let board = ShareBoard::default();
    board.store(LocalTime::default(), LocalTime::default(), shares);
    board
}

/// Guards against limits on keys that have none.
#[test]
fn only_the_keys_of_a_share_are_limited() {
    let board = board();
    let now = LocalTime::default();

    let share = |key: u16| board.key_share(now, "stock", key.into());

    assert_eq!([9, 10, 12, 13].map(share), [None, Some(250), Some(250), None]);
    assert_eq!(board.key_share(now, "orders", 10_u16.into()), None);
}

/// Guards against limits and loans that outlive the planning VM.
#[test]
fn shares_and_loans_expire_without_the_planning_vm() {
    let board = board();
    let later = LocalTime::default() + TimeSpan::from_millis(1_000);

    assert_eq!(board.key_share(later, "stock", 10_u16.into()), None);
    assert!(!board.take_loan(later, "stock"));
}

/// Guards against a loan that is used more than once.
#[test]
fn a_loan_is_used_once() {
    let board = board();
    let now = LocalTime::default();

    let taken = [(); 3].map(|()| board.take_loan(now, "stock"));

    assert_eq!(taken, [true, false, false]);
}

/// Guards against loans of a late reply: the VM that gave up the retries
/// counts them as used for a limited time only.
#[test]
fn a_loan_is_valid_for_a_second_after_the_report() {
    let at = |millis| LocalTime::default() + TimeSpan::from_millis(millis);
    let board = ShareBoard::default();
    let lend = |loan: u32| {
        let mut shares = FleetShares::default();
        shares.loans.insert("stock".into(), loan);
        shares
    };
    board.store(at(900), at(0), lend(2));
    board.store(at(950), at(400), lend(1));

    assert_eq!(board.loans_left(at(999), "stock"), 3);
    assert_eq!(board.loans_left(at(1_000), "stock"), 1);
    assert!(board.take_loan(at(1_399), "stock"));
    assert!(!board.take_loan(at(1_399), "stock"));

    board.store(at(2_100), at(1_000), lend(5));
    assert!(!board.take_loan(at(2_100), "stock"));
}

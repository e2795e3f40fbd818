//! Tests the shares that the planning VM allots to a VM.

use std::sync::Arc;

use goldcrestramp_decisions::LimitedKey;
use goldcrestramp_entry::control::{
    FleetShares, KeyLimits, KeyShare, ShareBoard,
};
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

/// Some milliseconds after the start of the clock.
fn at(millis: u64) -> LocalTime {
    LocalTime::default() + TimeSpan::from_millis(millis)
}

/// Shares that limit the key 10.
fn one_key() -> FleetShares {
    let mut shares = FleetShares::default();
    let share = KeyShare { first: 10, last: 10, per_mille: 100 };
    shares.keys.insert("stock".into(), vec![share]);
    shares
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

/// Guards against a shortage that seems to begin anew with each reply, after
/// which callers would be told to return too early.
#[test]
fn a_limit_is_known_since_the_first_reply_with_it() {
    let board = ShareBoard::default();
    let since = |now: LocalTime| {
        let limit = board.key_limit(now, "stock", 10_u16.into());
        limit.expect("the key is limited").since
    };

    board.store(at(0), at(0), one_key());
    board.store(at(400), at(400), one_key());
    let continued = since(at(500));
    board.store(at(1_500), at(1_500), one_key());
    let begun_again = since(at(1_600));

    assert_eq!([continued, begun_again], [at(0), at(1_500)]);
}

/// Guards against a VM that counts expired shares as known.
#[test]
fn expired_shares_are_not_counted() {
    let board = ShareBoard::default();
    assert!(!board.is_valid(at(0)));

    board.store(at(0), at(0), one_key());

    assert!(board.is_valid(at(999)));
    assert_eq!(board.limited_keys(at(999)), 1);
    assert!(!board.is_valid(at(1_000)));
    assert_eq!(board.limited_keys(at(1_000)), 0);
}

/// Guards against limits by the rates that a new planner half knows.
#[test]
fn a_planner_limits_no_key_before_reports_arrived_for_a_second() {
    let mut limits = KeyLimits::default();

    assert!(!limits.is_known(at(5_000)));
    limits.record_report(at(5_000));
    limits.record_report(at(5_400));

    assert!(!limits.is_known(at(5_999)));
    assert!(limits.is_known(at(6_000)));
}

/// Guards against limits that stay published while rounds are held up, as by
/// a commit that does not end.
#[test]
fn limits_of_an_old_round_are_not_published() {
    let mut limits = KeyLimits::default();
    let key = LimitedKey {
        slice: 10_u16.into(),
        per_mille: 100,
        excess_per_s: 90.0,
    };

    limits.store(at(0), &[key]);

    let published = limits.published(at(1_499)).expect("round is new");
    let share = KeyShare { first: 10, last: 10, per_mille: 100 };
    assert_eq!(*published, [share]);
    assert_eq!(limits.published(at(1_500)), None);
}

/// Guards against malformed shares of another VM, by which keys would be
/// looked up in the wrong order.
#[test]
fn malformed_shares_are_not_valid() {
    let share = |first, last, per_mille| KeyShare { first, last, per_mille };
    let is_valid = |keys: Vec<KeyShare>| {
        let mut shares = FleetShares::default();
        shares.keys.insert("stock".into(), keys);
        shares.has_valid_keys()
    };

    assert!(is_valid(vec![share(1, 3, 0), share(4, 4, 1_000)]));
    assert!(!is_valid(vec![share(3, 1, 100)]));
    assert!(!is_valid(vec![share(1, 1, 1_001)]));
    assert!(!is_valid(vec![share(4, 4, 100), share(1, 1, 100)]));
    assert!(!is_valid(vec![share(1, 4, 100), share(4, 5, 100)]));
    assert!(!is_valid((0..65).map(|key| share(key, key, 100)).collect()));
}

/// Guards against loans of a late reply: the VM that gave up the retries
/// counts them as used for a limited time only.
#[test]
fn a_loan_is_valid_for_a_second_after_the_report() {
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

//! Who holds the places of a gateway.

use goldcrestramp_decisions::GatewayLimit;
use goldcrestramp_types::{CallerName, NotRunReason};

fn caller(number: usize) -> CallerName {
    CallerName::new(&format!("c{number}")).expect("a valid name")
}

/// All callers try in turn until none gets in; tells what each holds.
fn fill(limit: &mut GatewayLimit, callers: usize) -> Vec<usize> {
    let mut held = vec![0; callers];
    loop {
        let mut entered = false;
        for (number, held) in held.iter_mut().enumerate() {
            if limit.enter(&caller(number)).is_ok() {
                *held += 1;
                entered = true;
            }
        }
        if !entered {
            return held;
        }
    }
}

#[test]
fn hot_callers_hold_equal_parts_and_leave_some() {
    for callers in [1, 2, 5, 20] {
        let mut limit = GatewayLimit::new(1_000);
        let held = fill(&mut limit, callers);
        let (least, most) = (held.iter().min(), held.iter().max());
        let spread = most.expect("some") - least.expect("some");
        assert!(spread <= 1, "{callers} callers: {held:?}");
        assert!(limit.under_way() >= 800, "{callers} callers: {held:?}");
        assert!(limit.under_way() < 1_000, "{callers} callers");
    }
}

#[test]
fn a_full_gateway_says_so_and_recovers() {
    let mut limit = GatewayLimit::new(2);
    let entered = [0, 1, 2].map(|number| limit.enter(&caller(number)));
    assert_eq!(entered, [Ok(()), Ok(()), Err(NotRunReason::GatewayFull)]);
    limit.leave(&caller(0));
    assert_eq!(limit.enter(&caller(2)), Ok(()));
    limit.leave(&caller(7));
    assert_eq!(limit.under_way(), 2, "one that never entered");
}

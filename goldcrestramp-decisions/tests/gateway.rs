//! How callers share the limit of a gateway.

use goldcrestramp_decisions::GatewayLimit;
use goldcrestramp_types::{CallerName, NotRunReason};

fn caller(number: usize) -> CallerName {
    CallerName::new(&format!("c{number}")).expect("name is valid")
}

/// All callers try in turn until none is admitted; returns the requests of
/// each.
fn fill(limit: &mut GatewayLimit, callers: usize) -> Vec<usize> {
    let mut admitted = vec![0; callers];
    loop {
        let mut entered = false;
        for (number, admitted) in admitted.iter_mut().enumerate() {
            if limit.enter(&caller(number)).is_ok() {
                *admitted += 1;
                entered = true;
            }
        }
        if !entered {
            return admitted;
        }
    }
}

#[test]
fn busy_callers_get_equal_parts_and_leave_some() {
    for callers in [1, 2, 5, 20] {
        let mut limit = GatewayLimit::new(1_000);
        let admitted = fill(&mut limit, callers);
        let (minimum, maximum) =
            (admitted.iter().min(), admitted.iter().max());
        let spread =
            maximum.expect("callers exist") - minimum.expect("callers exist");
        assert!(spread <= 1, "{callers} callers: {admitted:?}");
        assert!(limit.in_flight() >= 800, "{callers} callers: {admitted:?}");
        assert!(limit.in_flight() < 1_000, "{callers} callers");
    }
}

#[test]
fn a_full_gateway_refuses_and_recovers() {
    let mut limit = GatewayLimit::new(2);
    let entered = [0, 1, 2].map(|number| limit.enter(&caller(number)));
    assert_eq!(entered, [Ok(()), Ok(()), Err(NotRunReason::GatewayFull)]);
    limit.leave(&caller(0));
    assert_eq!(limit.enter(&caller(2)), Ok(()));
    limit.leave(&caller(7));
    assert_eq!(limit.in_flight(), 2, "one that never entered");
}

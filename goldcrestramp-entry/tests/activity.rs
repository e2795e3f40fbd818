//! Whether the control thread counts as busy.

use goldcrestramp_entry::control::ControlActivity;
use goldcrestramp_types::LocalTime;

fn at(millis: u64) -> LocalTime {
    LocalTime::from_micros(millis * 1_000)
}

/// Guards against a VM that states that it is busy between two ticks, or that
/// it is not while its control thread reads a change.
#[test]
fn a_thread_without_a_recent_sign_is_busy() {
    let activity = ControlActivity::default();
    activity.record_sign(at(1_000));

    assert!(!activity.is_busy(at(1_150)));
    assert!(activity.is_busy(at(1_250)));
}

/// Guards against followers that wait for a control thread that has not
/// started.
#[test]
fn a_thread_that_has_not_started_is_not_busy() {
    assert!(!ControlActivity::default().is_busy(at(1_000)));
}

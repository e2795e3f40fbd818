//! A server counts as slower while VMs of the fleet are in a backoff.

use goldcrestramp_decisions::BackoffReports;
use goldcrestramp_types::{LocalTime, TimeSpan};

fn at(millis: u64) -> LocalTime {
    LocalTime::from_micros(1_000_000_000) + TimeSpan::from_millis(millis)
}

fn reports(vms: usize) -> BackoffReports<&'static str> {
    let mut reports = BackoffReports::default();
    for vm in 0..vms {
        reports.record("server", format!("vm-{vm}").into(), at(3_000));
    }
    reports
}

fn rounded(factor: f32) -> String {
    format!("{factor:.1}")
}

#[test]
fn work_grows_with_the_share_of_vms_in_a_backoff() {
    let factor = |vms| reports(vms).work_factor(at(0), &"server", 10);

    assert_eq!([0, 5, 8].map(factor).map(rounded), ["1.0", "2.0", "5.0"]);
}

/// Guards against a server that refuses everything and is never asked again.
#[test]
fn a_server_that_refuses_all_vms_is_not_given_up() {
    let factor = reports(10).work_factor(at(0), &"server", 10);

    assert_eq!(rounded(factor), "10.0");
}

/// Guards against keys that return to a server as soon as a backoff ends.
#[test]
fn a_backoff_counts_for_a_while_after_its_end() {
    let mut reports = reports(5);

    reports.retain(at(5_900));
    assert_eq!(rounded(reports.work_factor(at(5_900), &"server", 10)), "2.0");
    reports.retain(at(6_000));

    assert_eq!(rounded(reports.work_factor(at(6_000), &"server", 10)), "1.0");
}

//! What servers have stated is remembered for as long as it binds a VM.

use goldcrestramp_decisions::ServerNotices;
use goldcrestramp_types::{LocalTime, TimeSpan};

fn at(millis: u64) -> LocalTime {
    LocalTime::from_micros(1_000_000_000) + TimeSpan::from_millis(millis)
}

fn seconds(count: u64) -> TimeSpan {
    TimeSpan::from_millis(count * 1_000)
}

/// Guards against a second refusal that ends the backoff of the first early.
#[test]
fn a_shorter_backoff_does_not_end_a_longer_one() {
    let mut notices = ServerNotices::default();
    notices.record_backoff(at(0), "a", seconds(3));

    let begins = notices.record_backoff(at(100), "a", seconds(1));

    assert!(!begins);
    assert_eq!(notices.backoff_until(at(2_999), &"a"), Some(at(3_000)));
}

#[test]
fn a_longer_backoff_extends_one() {
    let mut notices = ServerNotices::default();
    notices.record_backoff(at(0), "a", seconds(1));

    notices.record_backoff(at(100), "a", seconds(3));

    assert_eq!(notices.backoff_until(at(1_000), &"a"), Some(at(3_100)));
}

#[test]
fn a_backoff_of_no_time_is_none() {
    let mut notices = ServerNotices::default();

    assert!(!notices.record_backoff(at(0), "a", TimeSpan::ZERO));

    assert_eq!(notices.backoff_until(at(0), &"a"), None);
}

#[test]
fn a_backoff_binds_for_one_instance() {
    let mut notices = ServerNotices::default();

    notices.record_backoff(at(0), ("a", 1), seconds(3));

    assert_eq!(notices.backoff_until(at(1), &("a", 2)), None);
}

#[test]
fn ended_backoffs_are_removed() {
    let mut notices = ServerNotices::default();
    notices.record_backoff(at(0), "a", seconds(3));

    notices.retain(at(2_000), |_key| true);
    assert!(!notices.is_empty());
    notices.retain(at(3_000), |_key| true);

    assert!(notices.is_empty());
}

/// Guards against a later response that starts the time of leaving anew.
#[test]
fn leaving_counts_from_the_first_response() {
    let mut notices = ServerNotices::default();

    assert!(notices.record_leaving(at(0), "a"));
    assert!(!notices.record_leaving(at(1_500), "a"));

    assert_eq!(notices.leaving_since(&"a"), Some(at(0)));
    assert_eq!(notices.leaving_since(&"b"), None);
}

/// Guards against a leaving server that is forgotten while its entry, or a
/// late copy of it, still says that it is ready.
#[test]
fn a_leaving_server_is_remembered_while_it_is_listed() {
    let hour = at(0) + seconds(3_600);
    let mut notices = ServerNotices::default();
    notices.record_leaving(at(0), "a");
    notices.record_leaving(at(0), "b");

    notices.retain(hour, |key| *key == "a");

    assert_eq!(notices.leaving().collect::<Vec<_>>(), [&"a"]);
}

/// Guards against a leaving server that is forgotten when its entry lapses.
#[test]
fn a_leaving_server_without_an_entry_is_remembered_for_a_while() {
    let mut notices = ServerNotices::default();
    notices.record_leaving(at(0), "a");

    notices.retain(at(0) + seconds(300), |_key| false);

    assert!(notices.leaving_since(&"a").is_some());
}

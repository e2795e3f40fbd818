//! Permits are passed between the threads of a VM.

use goldcrestramp_assignment::ServerInstance;
use goldcrestramp_decisions::{PermitGrant, PermitRequest};
use goldcrestramp_entry::control::PermitMailbox;
use goldcrestramp_types::{LocalTime, TimeSpan};

fn at(millis: u64) -> LocalTime {
    LocalTime::from_micros(1_000_000_000) + TimeSpan::from_millis(millis)
}

fn server() -> ServerInstance {
    let address = ([10, 0, 0, 9], 80).into();
    ServerInstance { id: "server".into(), started_ms: 5, address }
}

fn request(wanted: u32) -> PermitRequest {
    let age = TimeSpan::from_millis(100);
    PermitRequest { per_s: Some(3.0), age, wanted }
}

/// Guards against permits that expire later because the traffic thread takes
/// them later.
#[test]
fn permit_lifetime_counts_from_arrival() {
    let mailbox = PermitMailbox::default();
    mailbox.request(at(0), &server(), request(1));
    let _sent = mailbox.begin(at(0));

    mailbox.finish(at(50), vec![(server(), PermitGrant::Permits(1))]);

    let grants = mailbox.take_grants();
    assert_eq!(grants.len(), 1);
    assert_eq!(grants[0].0, at(50));
}

/// Guards against old rate statements that count as new ones.
#[test]
fn a_request_ages_while_it_is_queued() {
    let mailbox = PermitMailbox::default();
    mailbox.request(at(0), &server(), request(1));

    let sent = mailbox.begin(at(70)).expect("a request is queued");

    assert_eq!(sent[0].1.age, TimeSpan::from_millis(170));
}

#[test]
fn one_call_is_in_flight_at_a_time() {
    let mailbox = PermitMailbox::default();
    mailbox.request(at(0), &server(), request(1));
    let first = mailbox.begin(at(0));
    mailbox.request(at(10), &server(), request(2));

    let second = mailbox.begin(at(10));

    assert!(first.is_some());
    assert!(second.is_none());
    mailbox.finish(at(20), Vec::new());
    assert!(mailbox.begin(at(20)).is_some());
}

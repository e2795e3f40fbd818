//! Responses without end are given up, and slow ones that end are not.

use goldcrestramp_decisions::LateResponse;
use goldcrestramp_types::{LocalTime, TimeSpan};

const MEBIBYTE: u64 = 1_024 * 1_024;

fn at(millis: u64) -> LocalTime {
    LocalTime::from_micros(1_000_000_000) + TimeSpan::from_millis(millis)
}

/// A response to a request whose deadline is at one second.
fn response(length: Option<u64>) -> LateResponse {
    LateResponse::open(at(1_000), length, at(0))
}

/// Plays a body that arrives in pieces at these intervals, to a caller that
/// reads each for `read_ms`; returns when it is given up, if within a minute.
fn given_up(
    length: Option<u64>,
    piece: u64,
    interval_ms: u64,
    read_ms: u64,
) -> Option<u64> {
    let mut response = response(length);
    let mut now = 0;
    while now < 60_000 {
        response.record_demand(at(now));
        now += interval_ms;
        if at(now) >= response.given_up_at()
            || !response.record_bytes(at(now), piece)
        {
            return Some(now);
        }
        response.record_offer(at(now));
        now += read_ms;
    }
    None
}

/// Guards against a body without end that its server sends at full speed.
#[test]
fn a_fast_response_without_end_is_given_up_at_the_deadline() {
    for length in [None, Some(1 << 60)] {
        let end = given_up(length, MEBIBYTE, 1, 0).expect("it is given up");

        assert!((1_000..1_100).contains(&end), "{length:?}: {end} ms");
    }
}

/// Guards against a body without end that comes a few bytes at a time.
#[test]
fn a_response_that_drips_is_given_up_after_the_late_wait() {
    for length in [None, Some(MEBIBYTE)] {
        let end = given_up(length, 1, 50, 0).expect("it is given up");

        assert_eq!(end, 6_000, "{length:?}");
    }
}

/// Guards against a silent server, which sends no bytes to be counted.
#[test]
fn a_response_without_bytes_is_given_up_after_the_late_wait() {
    let mut response = response(Some(MEBIBYTE));

    response.record_demand(at(300));

    assert_eq!(response.given_up_at(), at(6_000));
}

/// Guards against breaking off a body with a length that its caller reads
/// slowly, however long that takes.
#[test]
fn a_response_with_a_length_may_be_read_slowly() {
    let length = Some(1_024 * MEBIBYTE);

    assert_eq!(given_up(length, MEBIBYTE, 1, 50), None);
}

/// Guards against breaking off a body without a length that its caller reads
/// slowly: what was on its way at the deadline still arrives.
#[test]
fn a_response_without_a_length_may_be_read_slowly() {
    assert_eq!(given_up(None, 16 * 1_024, 1, 100), None);
}

/// Guards against time before the deadline that counts as late.
#[test]
fn a_response_may_take_any_time_before_its_deadline() {
    let mut response = LateResponse::open(at(50_000), None, at(0));
    response.record_demand(at(10));

    assert!(response.record_bytes(at(49_000), 1_000 * MEBIBYTE));

    response.record_offer(at(49_000));
    response.record_demand(at(49_900));
    assert_eq!(response.given_up_at(), at(55_000));
}

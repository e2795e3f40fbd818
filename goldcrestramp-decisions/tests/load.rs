//! The reported load of a server, and stalled readers.

use goldcrestramp_decisions::{
    REPORTED_SLICES, ServerLoad, is_reader_stalled,
};
use goldcrestramp_types::{LocalTime, SliceIndex, TimeSpan};

fn slice(number: u32) -> SliceIndex {
    SliceIndex::new(number).expect("index is in range")
}

#[test]
fn the_heaviest_slices_are_reported_and_all_are_counted() {
    let mut load = ServerLoad::default();
    for number in 0..1_000 {
        let span = TimeSpan::from_micros(u64::from(number));
        load.record(slice(number), span);
        load.record(slice(3), TimeSpan::from_micros(2));
    }
    let report = load.take_report(LocalTime::from_micros(0));
    assert_eq!(report.busy, TimeSpan::from_micros(499_500 + 2_000));
    assert_eq!(report.slices.len(), REPORTED_SLICES);
    let first = (slice(3), TimeSpan::from_micros(2_003));
    assert_eq!(report.slices[0], first);
    let second = (slice(999), TimeSpan::from_micros(999));
    assert_eq!(report.slices[1], second);
}

/// A frozen server ends no request, so by its slot time it would look idle. It
/// is reported as full until it has not been seen frozen for a while.
#[test]
fn a_slow_or_silent_server_is_reported_as_full() {
    let at = |millis: u64| LocalTime::from_micros(millis * 1_000);
    let mut load = ServerLoad::default();
    load.record(slice(3), TimeSpan::from_millis(1));
    load.take_report(at(1_000));
    load.set_full(at(1_100), 4);
    load.record(slice(3), TimeSpan::from_millis(1));
    load.record(slice(4), TimeSpan::from_millis(3));
    let full = load.take_report(at(1_300));
    let still = load.take_report(at(11_100));
    let later = load.take_report(at(11_400));
    assert_eq!(full.busy, TimeSpan::from_millis(4 * 300));
    let parts = [(slice(4), 900), (slice(3), 300)];
    let parts = parts.map(|(s, millis)| (s, TimeSpan::from_millis(millis)));
    assert_eq!(full.slices, parts, "in proportion to their use");
    assert_eq!(still.busy, TimeSpan::from_millis(4 * 9_800));
    assert_eq!(later.busy, TimeSpan::ZERO);
}

#[test]
fn a_reader_that_stalls_is_cut_off_sooner_when_others_wait() {
    let cases = [
        (4_999, true, false),
        (5_000, true, true),
        (59_999, false, false),
        (60_000, false, true),
    ];
    for (millis, others_wait, expected) in cases {
        let since = LocalTime::from_micros(1);
        let now = since + TimeSpan::from_millis(millis);
        let stalled = is_reader_stalled(now, since, others_wait);
        assert_eq!(stalled, expected, "{millis} ms, others {others_wait}");
    }
}

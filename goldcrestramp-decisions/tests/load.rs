//! What is reported of a server's slots, and who may hold them.

use goldcrestramp_decisions::{REPORTED_SLICES, ServerLoad, is_reader_lost};
use goldcrestramp_types::{LocalTime, SliceIndex, TimeSpan};

fn slice(number: u32) -> SliceIndex {
    SliceIndex::new(number).expect("a small number")
}

#[test]
fn the_heaviest_slices_are_reported_and_all_are_counted() {
    let mut load = ServerLoad::default();
    for number in 0..1_000 {
        let span = TimeSpan::from_micros(u64::from(number));
        load.record(slice(number), span);
        load.record(slice(3), TimeSpan::from_micros(2));
    }
    let reading = load.take();
    assert_eq!(reading.busy, TimeSpan::from_micros(499_500 + 2_000));
    assert_eq!(reading.slices.len(), REPORTED_SLICES);
    let first = (slice(3), TimeSpan::from_micros(2_003));
    assert_eq!(reading.slices[0], first);
    let second = (slice(999), TimeSpan::from_micros(999));
    assert_eq!(reading.slices[1], second);
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
        let lost = is_reader_lost(now, since, others_wait);
        assert_eq!(lost, expected, "{millis} ms, others {others_wait}");
    }
}

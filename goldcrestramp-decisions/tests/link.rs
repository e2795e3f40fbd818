//! Long and short responses on one slow link.

use goldcrestramp_decisions::{
    LINK_CHUNK_BYTES, LinkFlow, LinkSettings, LinkShare, LinkVolume,
};
use goldcrestramp_types::{
    CallerName, FastMap, LocalTime, NotRunReason, ServiceName,
};

/// 30 Mbit/s.
const RATE_BYTES_PER_S: u64 = 3_750_000;

fn at(millis: u64) -> LocalTime {
    LocalTime::from_micros(millis * 1_000)
}

fn link() -> LinkShare {
    let settings =
        LinkSettings { bytes_per_second: RATE_BYTES_PER_S, flow_limit: 3 };
    LinkShare::open(at(0), settings)
}

fn caller(name: &str) -> CallerName {
    CallerName::new(name).expect("name is valid")
}

fn open(link: &mut LinkShare, name: &str) -> LinkFlow {
    let flow = link.open_flow(at(0), &caller(name), 0, at(1_000));
    flow.expect("link has room")
}

/// Lets flows send as they may for a second, with a short response of `short`
/// bytes each millisecond; returns the bytes of each flow.
fn run_second(
    link: &mut LinkShare,
    flows: &[LinkFlow],
    short: u64,
) -> FastMap<LinkFlow, u64> {
    let mut sent = FastMap::default();
    for millis in 0..1_000 {
        if short > 0 {
            link.record_short(at(millis), short);
        }
        for flow in flows {
            link.offer_chunk(*flow, LINK_CHUNK_BYTES);
        }
        let next = at(millis + 1);
        while let Some(wake) = link.wake_at().filter(|wake| *wake < next)
            && let Some(flow) = link.poll(wake.max(at(millis)))
        {
            *sent.entry(flow).or_default() += LINK_CHUNK_BYTES;
            link.offer_chunk(flow, LINK_CHUNK_BYTES);
        }
    }
    sent
}

#[test]
fn a_single_long_response_uses_the_full_link() {
    let mut link = link();
    let flow = open(&mut link, "a");
    let sent = run_second(&mut link, &[flow], 0)[&flow];
    assert!(
        (RATE_BYTES_PER_S * 85 / 100..=RATE_BYTES_PER_S + LINK_CHUNK_BYTES)
            .contains(&sent),
        "{sent}"
    );
}

#[test]
fn long_responses_yield_to_short_ones() {
    let cases = [(10, 75), (1_875, 50), (3_000, 20), (3_750, 0)];
    for (short, percent) in cases {
        let mut link = link();
        let flow = open(&mut link, "a");
        let sent = run_second(&mut link, &[flow], short);
        let sent = sent.get(&flow).copied().unwrap_or(0);
        let maximum = RATE_BYTES_PER_S * percent / 100 + 2 * LINK_CHUNK_BYTES;
        assert!(sent <= maximum, "{short} short bytes a ms: {sent}");
        let minimum = maximum.saturating_sub(
            RATE_BYTES_PER_S * 15 / 100 + 3 * LINK_CHUNK_BYTES,
        );
        assert!(sent >= minimum, "{short} short bytes a ms: {sent}");
    }
}

#[test]
fn the_link_is_shared_by_caller_and_not_by_flow() {
    let mut link = link();
    let flows = ["a", "a", "b"].map(|name| open(&mut link, name));
    let sent = run_second(&mut link, &flows, 0);
    let [first, second, other] = flows.map(|flow| sent[&flow]);
    let both = first + second;
    assert!(
        both.abs_diff(other) <= 2 * LINK_CHUNK_BYTES,
        "{both} and {other}"
    );
    assert!(first.abs_diff(second) <= 2 * LINK_CHUNK_BYTES);
}

#[test]
fn a_response_too_large_for_the_link_is_refused_before_it_starts() {
    let mut link = link();
    let late =
        link.open_flow(at(0), &caller("a"), 2 * RATE_BYTES_PER_S, at(1_000));
    assert_eq!(late, Err(NotRunReason::LinkFull));
    for _ in 0..3 {
        open(&mut link, "a");
    }
    let full = link.open_flow(at(0), &caller("b"), 0, at(1_000));
    assert_eq!(full, Err(NotRunReason::LinkFull));
}

#[test]
fn a_closed_flow_leaves_its_part_to_the_others() {
    let mut link = link();
    let flows = ["a", "b"].map(|name| open(&mut link, name));
    link.offer_chunk(flows[0], LINK_CHUNK_BYTES);
    link.close_flow(flows[0]);
    let sent = run_second(&mut link, &flows[1..], 0);
    assert_eq!(sent.len(), 1);
    assert!(sent[&flows[1]] >= RATE_BYTES_PER_S * 85 / 100);
}

#[test]
fn every_byte_is_counted_even_if_the_table_is_full() {
    let service = ServiceName::new("export").expect("name is valid");
    let mut volume = LinkVolume::default();
    for number in 0..5_000 {
        volume.add(&service, &caller(&format!("c{number}")), 10);
        volume.add(&service, &caller("c0"), 1);
    }
    let total: u64 = volume.totals().map(|(_, _, bytes)| bytes).sum();
    let first = volume.totals().find(|(_, c, _)| *c == Some(&caller("c0")));
    assert_eq!(total, 55_000);
    assert_eq!(first.map(|(_, _, bytes)| bytes), Some(5_010));
    assert!(volume.totals().count() <= 4_097);
}

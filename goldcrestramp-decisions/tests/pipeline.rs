//! When the responses to pipelined requests are sent.

use goldcrestramp_decisions::{PipelineEffect, PipelineGate, PipelineStart};

const LOOKUP: PipelineEffect = PipelineEffect::Independent;
const ORDER: PipelineEffect = PipelineEffect::Ordered;

/// When the responses to requests that arrive together are sent, if each takes
/// the given time and responses keep the order of the requests.
fn response_times(requests: &[(PipelineEffect, u64)]) -> Vec<u64> {
    let mut gate = PipelineGate::default();
    let starts: Vec<PipelineStart> =
        requests.iter().map(|(effect, _)| gate.arrived(*effect)).collect();
    let mut last = 0;
    let pairs = requests.iter().zip(starts);
    pairs
        .map(|((_, work), start)| {
            let begin = if start == PipelineStart::Now { 0 } else { last };
            last = last.max(begin + work);
            last
        })
        .collect()
}

/// A caller sends four lookups of 120 ms at once. One after the other, the
/// last response arrives after 480 ms, past its target of 400 ms.
#[test]
fn pipelined_lookups_do_not_wait_for_one_another() {
    let times = response_times(&[(LOOKUP, 120); 4]);

    assert_eq!(times, [120, 120, 120, 120]);
}

/// A caller sends a lookup, an order and a lookup. The order would run twice
/// if the first response closed the connection, and the second lookup could
/// miss the order: both wait for their turn.
#[test]
fn an_order_is_served_alone() {
    let times = response_times(&[(LOOKUP, 100), (ORDER, 100), (LOOKUP, 100)]);

    assert_eq!(times, [100, 200, 300]);
}

/// Once the order has its response, lookups behind it run at once again.
#[test]
fn a_completed_order_delays_nothing() {
    let mut gate = PipelineGate::default();
    gate.arrived(ORDER);
    gate.record_response();
    gate.arrived(LOOKUP);

    assert_eq!(gate.arrived(LOOKUP), PipelineStart::Now);
}

/// One connection sends a hundred lookups. Without a limit it would fill the
/// slots that all callers share.
#[test]
fn one_connection_uses_few_slots() {
    let mut gate = PipelineGate::default();
    let starts = (0..100).map(|_| gate.arrived(LOOKUP));

    let at_once = starts.filter(|start| *start == PipelineStart::Now).count();

    assert!(at_once < 10);
}

//! Pipelined requests, judged by when each caller has its answer.

use goldcrestramp_decisions::{PipelineEffect, PipelineGate, PipelineStart};

const LOOKUP: PipelineEffect = PipelineEffect::Independent;
const ORDER: PipelineEffect = PipelineEffect::Ordered;

/// When the answers of requests that come at once go out, if each takes so
/// long and answers keep the order of the requests.
fn answer_times(requests: &[(PipelineEffect, u64)]) -> Vec<u64> {
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

/// A caller sends four lookups of 120 ms at once. Served one after the
/// other the last one is answered after 480 ms, past its target of 400 ms.
#[test]
fn pipelined_lookups_do_not_wait_for_one_another() {
    let times = answer_times(&[(LOOKUP, 120); 4]);

    assert_eq!(times, [120, 120, 120, 120]);
}

/// A caller sends a lookup, an order and a lookup. The order would run twice
/// if the first answer closed the connection, and the second lookup could
/// miss the order: both wait for their turn.
#[test]
fn an_order_is_served_alone() {
    let times = answer_times(&[(LOOKUP, 100), (ORDER, 100), (LOOKUP, 100)]);

    assert_eq!(times, [100, 200, 300]);
}

/// Once the order is answered, lookups behind it are served at once again.
#[test]
fn an_answered_order_holds_nothing_back() {
    let mut gate = PipelineGate::default();
    gate.arrived(ORDER);
    gate.answered();
    gate.arrived(LOOKUP);

    assert_eq!(gate.arrived(LOOKUP), PipelineStart::Now);
}

/// One connection sends a hundred lookups. It gets a few slots of servers
/// at a time, or it alone would fill those that all callers share.
#[test]
fn one_connection_holds_few_slots() {
    let mut gate = PipelineGate::default();
    let starts = (0..100).map(|_| gate.arrived(LOOKUP));

    let at_once = starts.filter(|start| *start == PipelineStart::Now).count();

    assert!(at_once < 10);
}

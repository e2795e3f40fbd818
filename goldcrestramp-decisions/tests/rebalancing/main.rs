//! Rebalancing, judged by the responses that callers receive.
#![allow(
    clippy::cast_possible_truncation,
    clippy::cast_precision_loss,
    clippy::cast_sign_loss,
    reason = "a simulation of a few thousand requests"
)]

mod simulation;

use simulation::{CallerTotals, LoadShape, ServerSimulation};

/// Relative speeds of the servers: three kinds, bought in three years.
const SPEEDS: [f64; 12] =
    [0.6, 1.0, 1.4, 0.6, 1.0, 1.4, 0.6, 1.0, 1.4, 0.6, 1.0, 1.4];
const TARGET_LATENCY_MS: u64 = 400;
const WORK_MS: f64 = 120.0;

/// Simulates a load at the fraction `used` of what the servers can handle, and
/// returns the callers' totals.
fn simulate(used: f64, hot_part: f64, moves: bool) -> CallerTotals {
    let mut simulation = ServerSimulation::open(&SPEEDS, TARGET_LATENCY_MS);
    let requests_per_s = simulation.capacity(WORK_MS) * used;
    let shape = LoadShape { requests_per_s, hot_part, work_ms: WORK_MS };
    simulation.simulate(30, shape, moves);
    simulation.totals
}

/// Servers differ in speed, at seven tenths of their capacity. With equally
/// many keys on each, a slow server is overloaded and its callers wait or are
/// refused, while fast ones are half idle.
#[test]
fn slow_servers_get_the_load_that_they_can_serve_in_time() {
    let moved = simulate(0.7, 0.0, true);
    let unmoved = simulate(0.7, 0.0, false);

    let lost = |totals: CallerTotals| totals.requests - totals.in_time;
    assert!(lost(unmoved) > unmoved.requests / 5, "{unmoved:?}");
    assert!(lost(moved) < lost(unmoved) / 3, "{moved:?} {unmoved:?}");
}

/// A third of all requests is for two hundred adjacent keys, held by one
/// server. They are spread over as many servers as needed.
#[test]
fn a_hot_range_is_served_in_time_by_many_servers() {
    let moved = simulate(0.6, 0.3, true);
    let unmoved = simulate(0.6, 0.3, false);

    let lost = |totals: CallerTotals| totals.requests - totals.in_time;
    assert!(lost(moved) < lost(unmoved) / 3, "{moved:?} {unmoved:?}");
}

/// A third more requests arrive than the servers can handle. Only that third
/// is lost: no server is idle while another refuses requests.
#[test]
fn an_overloaded_service_uses_all_its_slots() {
    let moved = simulate(1.33, 0.0, true);

    let responses = f64::from(moved.in_time + moved.late);
    let capacity = f64::from(moved.requests) / 1.33;
    assert!(responses > capacity * 0.95, "{moved:?}");
}

/// Keys don't move while servers are evenly used: each move makes callers
/// wait, and a random burst is no reason to move.
#[test]
fn an_even_load_stays_in_place() {
    let mut simulation = ServerSimulation::open(&[1.0; 12], TARGET_LATENCY_MS);
    let requests_per_s = simulation.capacity(WORK_MS) * 0.5;
    let shape = LoadShape { requests_per_s, hot_part: 0.0, work_ms: WORK_MS };

    simulation.simulate(30, shape, true);

    assert!(
        simulation.totals.keys_moved < 65_536 / 4,
        "{:?}",
        simulation.totals
    );
}

//! Where keys are placed, judged by what callers get.
#![allow(
    clippy::cast_possible_truncation,
    clippy::cast_precision_loss,
    clippy::cast_sign_loss,
    reason = "a played world of a few thousand requests"
)]

mod world;

use world::{CallerSum, LoadShape, ServerWorld};

/// Three kinds of servers, as bought in three years.
const SPEEDS: [f64; 12] =
    [0.6, 1.0, 1.4, 0.6, 1.0, 1.4, 0.6, 1.0, 1.4, 0.6, 1.0, 1.4];
const TARGET_MS: u64 = 400;
const WORK_MS: f64 = 120.0;

/// What callers get of a load that is so much of what the servers can do.
fn play(used: f64, hot_part: f64, moves: bool) -> CallerSum {
    let mut world = ServerWorld::open(&SPEEDS, TARGET_MS);
    let requests_per_s = world.capacity(WORK_MS) * used;
    let shape = LoadShape { requests_per_s, hot_part, work_ms: WORK_MS };
    world.play(30, shape, moves);
    world.sum
}

/// Servers differ in speed and are used to seven tenths. With as many keys
/// on each, a slow server has more than it can do and its callers wait or
/// are turned away, while fast ones are half idle.
#[test]
fn slow_servers_get_what_they_can_answer_in_time() {
    let moved = play(0.7, 0.0, true);
    let still = play(0.7, 0.0, false);

    let lost = |sum: CallerSum| sum.asked - sum.in_time;
    assert!(lost(still) > still.asked / 5, "{still:?}");
    assert!(lost(moved) < lost(still) / 3, "{moved:?} {still:?}");
}

/// A third of all requests goes to two hundred keys side by side, held by
/// one server. They are spread over as many as they need.
#[test]
fn a_hot_run_is_served_in_time_by_many() {
    let moved = play(0.6, 0.3, true);
    let still = play(0.6, 0.3, false);

    let lost = |sum: CallerSum| sum.asked - sum.in_time;
    assert!(lost(moved) < lost(still) / 3, "{moved:?} {still:?}");
}

/// A third more comes than the servers can do. What is lost is that third:
/// no server is idle while another turns requests away.
#[test]
fn an_overloaded_service_answers_what_its_slots_can_do() {
    let moved = play(1.33, 0.0, true);

    let answered = f64::from(moved.in_time + moved.late);
    let possible = f64::from(moved.asked) / 1.33;
    assert!(answered > possible * 0.95, "{moved:?}");
}

/// Keys stay where they are once servers are used as they should be: each
/// move has callers wait, and a random rush is none of a server's.
#[test]
fn an_even_load_keeps_its_place() {
    let mut world = ServerWorld::open(&[1.0; 12], TARGET_MS);
    let requests_per_s = world.capacity(WORK_MS) * 0.5;
    let shape = LoadShape { requests_per_s, hot_part: 0.0, work_ms: WORK_MS };

    world.play(30, shape, true);

    assert!(world.sum.keys_moved < 65_536 / 4, "{:?}", world.sum);
}

//! Tests the limits of keys whose owner is overloaded.
#![expect(
    clippy::cast_possible_truncation,
    clippy::cast_precision_loss,
    clippy::cast_sign_loss,
    reason = "a simulation with small numbers"
)]

mod simulation;

use goldcrestramp_decisions::{
    LimitedKey, MAX_LIMITED_KEYS, limited_keys, owner_capacity,
    published_keys, shortage_retry_after,
};
use goldcrestramp_types::TimeSpan;

use crate::simulation::{
    AdmissionSimulation, FULL_RATE, KeyRates, SLOTS, rate,
};

const HOT: u16 = 7;
const SEEDS: [u64; 4] = [11, 23, 59, 104_729];

/// Eight keys with one request a second each, and none that is hot.
fn usual_rates() -> KeyRates {
    (100..108).map(|key| (key, 1.0)).collect()
}

/// The same with a key that gets 270 requests a second.
fn burst_rates() -> KeyRates {
    let mut rates = usual_rates();
    rates.push((HOT, 270.0));
    rates
}

/// A simulation after three usual seconds.
fn simulation(seed: u64) -> AdmissionSimulation {
    let mut simulation = AdmissionSimulation::open(seed);
    simulation.hot = HOT;
    simulation.rates = usual_rates();
    let _usual = simulation.run(3_000);
    simulation.rates = burst_rates();
    simulation
}

fn shares(limited: &[LimitedKey]) -> Vec<(u16, u16)> {
    limited.iter().map(|key| (key.slice.get(), key.per_mille)).collect()
}

/// Guards against limits on keys below the fair level.
#[test]
fn only_keys_above_the_fair_level_are_limited() {
    let rates = vec![rate(1, 2.0), rate(2, 40.0), rate(3, 3.0), rate(4, 10.0)];

    let limited = limited_keys(rates, 15.0);

    assert_eq!(shares(&limited), [(4, 500), (2, 125)]);
}

/// Guards against limits while the owner has capacity left.
#[test]
fn no_key_is_limited_below_the_capacity() {
    let limited = limited_keys(vec![rate(1, 7.0), rate(2, 8.0)], 15.0);

    assert_eq!(limited, []);
}

/// Guards against a share of nothing or of everything, and against a division
/// by zero for an owner without capacity.
#[test]
fn a_limited_key_gets_at_least_one_request_of_a_thousand() {
    let limited = limited_keys(vec![rate(1, 50.0)], 0.0);

    assert_eq!(shares(&limited), [(1, 1)]);
    assert_eq!(limited_keys(Vec::new(), 0.0), []);
}

/// Guards against replies that grow with the number of busy keys.
#[test]
fn the_keys_with_the_most_refused_requests_are_published() {
    let rates = (0..200).map(|key| rate(key, 10.0 + f32::from(key)));

    let published = published_keys(limited_keys(rates.collect(), 100.0));

    let keys: Vec<u16> = published.iter().map(|k| k.slice.get()).collect();
    let expected: Vec<u16> = (136..200).collect();
    assert_eq!(published.len(), MAX_LIMITED_KEYS);
    assert_eq!(keys, expected);
}

/// Guards against a long queue at an owner with little time, and against an
/// owner that is left idle.
#[test]
fn the_capacity_grows_with_the_target_latency() {
    let capacity = |millis| {
        let target = TimeSpan::from_millis(millis);
        owner_capacity(SLOTS, SLOTS as f32 / FULL_RATE as f32, target)
    };

    let capacities = [0, 400, 1_000, 4_000, 60_000].map(capacity);

    assert!(capacities.is_sorted(), "{capacities:?}");
    assert!((7.4..7.6).contains(&capacities[0]), "{capacities:?}");
    assert!((13.4..13.6).contains(&capacities[4]), "{capacities:?}");
}

/// Guards against callers that all return at once, and against delays that
/// callers can't use.
#[test]
fn callers_return_spread_over_the_time_that_they_can_use() {
    let span = TimeSpan::from_millis;
    let delay =
        |random| shortage_retry_after(span(4_000), span(1_000), random);

    assert_eq!(delay(0.0), span(250));
    assert_eq!(delay(1.0), span(1_000));
    assert_eq!(shortage_retry_after(span(0), span(9_000), 1.0), span(500));
}

/// Guards against callers of other keys that wait behind those of a hot key,
/// against an owner that is offered more than it completes, and against a
/// share that follows the admitted requests and so oscillates.
#[test]
fn a_hot_key_gets_what_other_keys_of_its_owner_leave() {
    for seed in SEEDS {
        let mut simulation = simulation(seed);

        let _onset = simulation.run(3_000);
        let burst = simulation.run(20_000);

        let highest = burst.shares.iter().max().expect("there were rounds");
        let others = &burst.others;
        assert_eq!(others.refused_at_once, 0, "seed {seed}");
        // A VM has one request at the owner. A few others wait behind it.
        assert!(others.refused_late * 25 < others.asked, "seed {seed}");
        assert!(burst.offered <= 20 * 15, "seed {seed}: {}", burst.offered);
        assert!(burst.offered >= 20 * 9, "seed {seed}: {}", burst.offered);
        // 50 of 1000 are 13.5 requests a second.
        assert!(*highest < 50, "seed {seed}: {:?}", burst.shares);
    }
}

/// Guards against a limit that begins only when a burst of five seconds is
/// nearly over, and against one that outlasts it for long.
#[test]
fn limits_begin_and_end_with_a_burst() {
    for seed in SEEDS {
        let mut simulation = simulation(seed);

        let onset = simulation.run(1_500);
        let _burst = simulation.run(3_500);
        simulation.rates = usual_rates();
        let _end = simulation.run(2_000);
        let after = simulation.run(3_000);

        assert!(onset.shares[2] < 100, "seed {seed}: {:?}", onset.shares);
        assert_eq!(after.shares, [1_000; 6], "seed {seed}");
    }
}

/// Guards against a saturated owner that is taken for a slow one: its
/// responses wait for most of their time.
#[test]
fn the_capacity_of_a_saturated_owner_is_not_underestimated() {
    for seed in SEEDS {
        let mut simulation = simulation(seed);
        simulation.is_admission_on = false;
        let _saturated = simulation.run(8_000);
        simulation.is_admission_on = true;

        let first = simulation.run(500);

        assert!(first.capacities[0] > 10.0, "{:?}", first.capacities);
        assert!(first.capacities[0] < 15.0, "{:?}", first.capacities);
    }
}

/// Guards against an owner that is limited to a part of its capacity, or not
/// any more: while it is saturated, VMs give up most of its responses or all,
/// so it looks slow or unknown.
#[test]
fn the_capacity_of_an_owner_with_lost_responses_is_kept() {
    for (seed, give_up_ms) in SEEDS.into_iter().zip([400, 800, 1_100, 1_300]) {
        let mut simulation = simulation(seed);
        simulation.give_up_ms = give_up_ms;

        let capacities = simulation.run(5_000).capacities;

        assert_eq!(capacities.len(), 10, "seed {seed}");
        let lowest = capacities.iter().copied().fold(f32::INFINITY, f32::min);
        assert!(lowest > 8.0, "seed {seed}: {capacities:?}");
    }
}

/// Guards against limits that stay in force without a planner.
#[test]
fn everything_is_admitted_after_the_planner_stops_replying() {
    let mut simulation = simulation(SEEDS[0]);
    let _burst = simulation.run(4_000);
    simulation.rates = vec![(HOT, 12.0)];

    simulation.is_planner_up = false;
    let _last_shares = simulation.run(1_000);
    let alone = simulation.run(5_000);

    assert_eq!(alone.hot.refused_at_once, 0, "{alone:?}");
    assert!(alone.hot.asked > 40, "{alone:?}");
}

/// Guards against admission that costs callers more than it gives them.
#[test]
fn fewer_callers_wait_and_are_refused_late_than_without_limits() {
    for seed in SEEDS {
        let mut with = simulation(seed);
        let mut without = simulation(seed);
        without.is_admission_on = false;

        let with = with.run(5_000);
        let without = without.run(5_000);

        let late = |totals: &simulation::Observed| {
            totals.hot.refused_late + totals.others.refused_late
        };
        assert!(late(&with) * 2 < late(&without), "seed {seed}");
        assert!(with.others.in_time > without.others.in_time);
        assert!(
            with.hot.in_time + with.others.in_time
                > without.hot.in_time + without.others.in_time,
            "seed {seed}"
        );
    }
}

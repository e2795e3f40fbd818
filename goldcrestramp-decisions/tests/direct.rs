//! Decisions of a VM that sends directly to servers.

use std::sync::Arc;

use goldcrestramp_decisions::{
    AdmissionQueue, AttemptBudget, BudgetSettings, PlacedRange, PoolCandidate,
    PoolChoice, QueuePosition, RangeLoad, RebalanceSettings, ResponseTimes,
    ServerProximity, TargetLoad, TimeoutInputs, WeightedRoundRobin,
    attempt_timeout, choose_server, rebalancing_moves, target_utilization,
};
use goldcrestramp_types::{LocalTime, SliceIndex, SliceRange, TimeSpan};

const SECOND: TimeSpan = TimeSpan::from_millis(1_000);

/// The target latency of the requests.
const TARGET: TimeSpan = TimeSpan::from_millis(400);

fn at(millis: u64) -> LocalTime {
    LocalTime::from_micros(0) + TimeSpan::from_millis(millis)
}

fn candidate(
    proximity: ServerProximity,
    in_flight: usize,
    millis: u64,
) -> PoolCandidate {
    let latency = TimeSpan::from_millis(millis);
    PoolCandidate { proximity, limit: 4, in_flight, latency }
}

#[test]
fn a_faster_server_is_preferred_until_it_is_busier() {
    let slow = candidate(ServerProximity::SameDomain, 0, 160);
    let fast =
        |in_flight| candidate(ServerProximity::SameDomain, in_flight, 80);
    let choose = |a, b| choose_server(&[a, b], SECOND, TARGET, 1_000);

    assert_eq!(choose(slow, fast(0)), PoolChoice::Send(1));
    assert_eq!(choose(slow, fast(3)), PoolChoice::Send(1));
    let full = PoolCandidate { in_flight: 7, ..fast(0) };
    assert_eq!(choose(slow, full), PoolChoice::Send(0));
}

/// A download of 90 kB and a server of this failure domain with requests in
/// flight: another failure domain would respond a little sooner, but volume to
/// it is paid for by the kilobyte. An order of 3 kB is sent there.
#[test]
fn large_responses_stay_in_the_domain_and_small_ones_may_leave_it() {
    let near = candidate(ServerProximity::SameDomain, 3, 100);
    let other = candidate(ServerProximity::SameRegion, 0, 100);
    let choose = |bytes| choose_server(&[near, other], SECOND, TARGET, bytes);

    assert_eq!(choose(90_000), PoolChoice::Send(0));
    assert_eq!(choose(3_000), PoolChoice::Send(1));
}

/// Guards against requests without a server while the nearby servers are
/// suspended: a server of another region is better than none.
#[test]
fn a_remote_server_serves_when_no_other_can() {
    let suspended = PoolCandidate {
        limit: 0,
        ..candidate(ServerProximity::SameDomain, 0, 100)
    };
    let remote = candidate(ServerProximity::Remote, 0, 100);

    let choice = choose_server(&[suspended, remote], SECOND, TARGET, 90_000);

    assert_eq!(choice, PoolChoice::Send(1));
}

#[test]
fn a_deadline_that_no_server_can_meet_is_too_late() {
    let slow = candidate(ServerProximity::SameDomain, 0, 400);
    let remaining = TimeSpan::from_millis(300);

    let choice = choose_server(&[slow], remaining, TARGET, 1);

    assert_eq!(choice, PoolChoice::TooLate);
}

/// Guards against downloads that cross the narrow link between regions while
/// they would be early next to their callers. A target that is near lets them
/// leave.
#[test]
fn a_download_waits_in_its_region_while_it_is_early() {
    let near = candidate(ServerProximity::SameDomain, 8, 400);
    let remote = candidate(ServerProximity::Remote, 0, 400);
    let choose = |target_ms| {
        let target = TimeSpan::from_millis(target_ms);
        let remaining = TimeSpan::from_millis(5_000);
        choose_server(&[near, remote], remaining, target, 90_000)
    };

    assert_eq!(choose(4_000), PoolChoice::Full);
    assert_eq!(choose(400), PoolChoice::Send(1));
}

/// Every server fails for a minute, and each request would be retried by each
/// of 10 VMs. All of them together stay within the operators' bound without
/// coordination.
#[test]
fn vms_together_stay_within_the_retry_budget() {
    const VMS: usize = 10;
    let span = TimeSpan::from_millis(10_000);
    let settings =
        BudgetSettings { window: span, per_mille: 200, constant: 60 };
    let mut budgets = vec![AttemptBudget::new(settings); VMS];
    let mut sent = Vec::new();
    let mut received = Vec::new();
    for millis in (0..60_000).step_by(10) {
        let vm = usize::try_from(millis / 10).expect("small") % VMS;
        budgets[vm].record_request(at(millis));
        received.push(millis);
        if budgets[vm].try_take(at(millis), VMS) {
            sent.push(millis);
        }
    }

    for begin in (0..50_000).step_by(500) {
        let count_in = |list: &[u64]| {
            list.iter()
                .filter(|t| (begin..begin + 10_000).contains(*t))
                .count()
        };
        assert!(
            count_in(&sent) <= count_in(&received) / 5 + 60,
            "from {begin} ms"
        );
    }
    assert!(sent.len() > 600, "some retries are made: {}", sent.len());
}

/// The retries of a fleet of 90 VMs in the worst window of 10 s, with the
/// retries allowed in it, while every attempt fails. `known` is the number of
/// VMs that one of them knows at a time.
fn max_retries(known: impl Fn(u64) -> usize) -> (usize, usize) {
    const VMS: usize = 90;
    const WINDOW_MS: u64 = 10_000;
    const END_MS: u64 = 40_000;
    let span = TimeSpan::from_millis(WINDOW_MS);
    let settings =
        BudgetSettings { window: span, per_mille: 200, constant: 222 };
    let fresh = AttemptBudget::new(settings).with_start(at(0));
    let mut budgets = vec![fresh; VMS];
    let mut sent = Vec::new();
    let mut received = Vec::new();
    for millis in 0..END_MS {
        let vm = usize::try_from(millis).expect("small") % VMS;
        budgets[vm].record_request(at(millis));
        received.push(millis);
        let retries =
            (0..5).filter(|_| budgets[vm].try_take(at(millis), known(millis)));
        sent.extend(retries.map(|_| millis));
    }
    let count_in = |list: &[u64], begin: u64| {
        let window = begin..begin + WINDOW_MS;
        list.iter().filter(|moment| window.contains(moment)).count()
    };
    let windows = (0..=END_MS - WINDOW_MS).step_by(500);
    windows
        .map(|from| {
            (count_in(&sent, from), count_in(&received, from) / 5 + 222)
        })
        .max()
        .expect("there is a window")
}

/// Guards against VMs that each take the full constant while they start.
#[test]
fn starting_vms_stay_within_the_retry_budget() {
    let (sent, allowed) =
        max_retries(|millis| if millis < 2_000 { 1 } else { 90 });

    assert!(sent <= allowed, "{sent} retries, {allowed} allowed");
}

/// Guards against larger shares of the constant while a part of the fleet is
/// believed to be lost.
#[test]
fn vms_that_believe_others_lost_stay_within_the_retry_budget() {
    let (sent, allowed) =
        max_retries(
            |millis| {
                if (15_000..23_000).contains(&millis) { 10 } else { 90 }
            },
        );

    assert!(sent <= allowed, "{sent} retries, {allowed} allowed");
}

fn timeout_inputs() -> TimeoutInputs {
    TimeoutInputs {
        typical: Some(TimeSpan::from_millis(250)),
        target_latency: TimeSpan::from_millis(1_200),
        remaining: TimeSpan::from_millis(3_000),
        replaceable: true,
    }
}

/// Guards against work that is done twice because a VM has just started and
/// knows no response times. An export takes 400 ms of work: with a timeout of
/// 350 ms it runs twice or, without a retry budget, fails while its server is
/// at work.
#[test]
fn a_server_without_responses_gets_the_target_latency() {
    let inputs = TimeoutInputs { typical: None, ..timeout_inputs() };

    assert_eq!(attempt_timeout(inputs), TimeSpan::from_millis(1_200));
}

/// No other server may be tried, so the response that the server works on is
/// the only one that can arrive.
#[test]
fn irreplaceable_work_is_waited_for_until_the_deadline() {
    let inputs = TimeoutInputs { replaceable: false, ..timeout_inputs() };

    assert_eq!(attempt_timeout(inputs), TimeSpan::from_millis(3_000));
}

/// A silent server delays a lookup by a few typical response times, not until
/// the deadline, and never for longer than the remaining time.
#[test]
fn a_silent_server_times_out_after_a_few_typical_times() {
    let late = TimeoutInputs {
        remaining: TimeSpan::from_millis(300),
        ..timeout_inputs()
    };

    assert_eq!(attempt_timeout(timeout_inputs()), TimeSpan::from_millis(875));
    assert_eq!(attempt_timeout(late), TimeSpan::from_millis(300));
}

/// A server responds to lookups in 50 ms and to checks in 300 ms, and nine of
/// ten requests are lookups. A check that takes 400 ms would time out and run
/// twice if the average over all routes were used. A lookup that was sent to a
/// silent server is retried long before that.
#[test]
fn long_work_gets_the_timeout_of_its_own_route() {
    let (lookup, check) = (Arc::from("lookup"), Arc::from("check"));
    let mut times = ResponseTimes::default();
    for number in 0..200 {
        let is_long = number % 10 == 0;
        let (route, millis) =
            if is_long { (&check, 300) } else { (&lookup, 50) };
        times.record(route, TimeSpan::from_millis(millis));
    }
    let wait = |route: &str| {
        attempt_timeout(TimeoutInputs {
            typical: times.typical_for(route),
            ..timeout_inputs()
        })
    };

    assert!(wait("check") > TimeSpan::from_millis(900));
    assert!(wait("lookup") <= TimeSpan::from_millis(250));
    let together =
        TimeoutInputs { typical: Some(times.mean()), ..timeout_inputs() };
    assert!(attempt_timeout(together) < TimeSpan::from_millis(400));
}

/// Guards against checks that use up the budget.
#[test]
fn checking_the_budget_takes_no_retry() {
    let span = TimeSpan::from_millis(10_000);
    let settings =
        BudgetSettings { window: span, per_mille: 200, constant: 10 };
    let mut budget = AttemptBudget::new(settings);
    let checks = (0..50).filter(|_| budget.has_remaining(at(0), 1)).count();
    let taken = (0..50).filter(|_| budget.try_take(at(0), 1)).count();

    assert_eq!((checks, taken), (50, 7));
    assert!(!budget.has_remaining(at(0), 1));
}

#[test]
fn round_robin_keeps_to_weights_after_any_number_of_requests() {
    let mut round_robin = WeightedRoundRobin::default();
    let weights = [70, 25, 5, 0];
    let mut counts = [0_u32; 4];
    for request in 1..=500_u32 {
        counts[round_robin.next(&weights).expect("there is a target")] += 1;
        for (count, weight) in counts.iter().zip(weights) {
            let expected = request * weight;
            assert!((count * 100).abs_diff(expected) <= 200);
        }
    }
    assert_eq!(round_robin.next(&[0, 0]), None);
}

/// A request of low priority waits first. One of high priority arrives later
/// and is served before it. One that was woken in vain keeps its position.
#[test]
fn priority_precedes_arrival_and_a_position_is_kept() {
    let mut queue = AdmissionQueue::default();
    let low = QueuePosition { priority: 2, sequence: 1 };
    let high = QueuePosition { priority: 1, sequence: 2 };
    queue.join(low, "low");
    queue.join(high, "high");

    assert_eq!(queue.wake(), Some("high"));
    queue.join(high, "high again");

    assert_eq!(queue.ahead_of(low), 1);
    assert_eq!(queue.wake(), Some("high again"));
    assert_eq!(queue.wake(), Some("low"));
    assert!(queue.is_empty());
}

const SETTINGS: RebalanceSettings = RebalanceSettings::for_servers(20);

fn targets(servers: usize) -> Vec<TargetLoad> {
    vec![TargetLoad { slots: 2, work_s: 0.1, accepts_keys: true }; servers]
}

/// One range for each server, in order.
fn even_ranges(servers: u16) -> Vec<PlacedRange> {
    let size = u16::MAX / servers;
    (0..servers)
        .map(|index| {
            let first = index * size;
            let last =
                if index + 1 == servers { u16::MAX } else { first + size - 1 };
            let range = SliceRange { first: first.into(), last: last.into() };
            PlacedRange { range, target: usize::from(index), movable: true }
        })
        .collect()
}

/// Applies moves as the servers would.
fn apply_moves(ranges: &mut Vec<PlacedRange>, moves: &[(SliceRange, usize)]) {
    for (range, target) in moves {
        let source =
            ranges.iter().position(|placed| placed.range.covers(*range));
        let source = ranges.swap_remove(source.expect("one range covers it"));
        let (first, last) = (range.first.get(), range.last.get());
        if source.range.first.get() < first {
            let last = SliceIndex::from(first - 1);
            let range = SliceRange { first: source.range.first, last };
            ranges.push(PlacedRange { range, ..source });
        }
        if last < source.range.last.get() {
            let first = SliceIndex::from(last + 1);
            let range = SliceRange { first, last: source.range.last };
            ranges.push(PlacedRange { range, ..source });
        }
        ranges.push(PlacedRange {
            range: *range,
            target: *target,
            movable: true,
        });
    }
}

/// Sixty adjacent keys get sixty requests a second, three times what their one
/// server can handle. After some rounds of half a second no server gets more
/// than its slots can handle, and nine keys of ten have not moved. Equal
/// ranges that never move leave that server at three times its capacity.
#[test]
fn a_hot_range_is_spread_and_few_keys_move() {
    let targets = targets(20);
    let mut ranges = even_ranges(20);
    let mut load = RangeLoad::open(at(0));
    let hot = 10_000_u16..10_060;
    let mut keys_moved = 0;
    let mut now = 0;
    for _round in 0..8 {
        now += 500;
        let others = (0..u16::MAX).step_by(1_000);
        for key in others.chain(hot.clone().step_by(2)) {
            load.record(key.into(), 1);
        }
        load.decay(at(now));
        let moves = rebalancing_moves(&ranges, &targets, &load, &SETTINGS);
        let chosen: Vec<_> =
            moves.iter().map(|m| (m.range, m.target)).collect();
        keys_moved +=
            chosen.iter().map(|(range, _)| range.slices()).sum::<u32>();
        apply_moves(&mut ranges, &chosen);
    }

    let utilizations = target_utilization(&ranges, &targets, &load);
    let max = utilizations.iter().copied().fold(0.0, f32::max);
    let initial = target_utilization(&even_ranges(20), &targets, &load);
    let unmoved = initial.iter().copied().fold(0.0, f32::max);
    assert!(max < 1.0, "busiest {max}");
    assert!(unmoved > 2.0, "without moves {unmoved}");
    assert!(keys_moved < 65_536 / 10, "{keys_moved} keys moved");
}

/// Of sixty busy adjacent keys eight get half of the requests, more than one
/// server can handle. Split key by key, no server is over its capacity. A move
/// of the complete range would only overload another server.
#[test]
fn the_busiest_adjacent_keys_are_split_key_by_key() {
    let targets = targets(20);
    let mut ranges = even_ranges(20);
    let mut load = RangeLoad::open(at(0));
    for round in 1..=8 {
        for rank in 0..60_u16 {
            let requests = 12 / (u32::from(rank) / 2 + 1);
            load.record((10_000 + rank).into(), requests.max(1));
        }
        load.decay(at(round * 1_000));
        let moves = rebalancing_moves(&ranges, &targets, &load, &SETTINGS);
        let chosen: Vec<_> =
            moves.iter().map(|m| (m.range, m.target)).collect();
        apply_moves(&mut ranges, &chosen);
    }

    let utilizations = target_utilization(&ranges, &targets, &load);
    let max = utilizations.iter().copied().fold(0.0, f32::max);
    assert!(max < 1.0, "busiest {max}");
}

#[test]
fn a_server_that_joins_gets_its_share() {
    let targets = targets(5);
    let ranges = even_ranges(4);
    let mut load = RangeLoad::open(at(0));
    for key in (0..u16::MAX).step_by(64) {
        load.record(key.into(), 1);
    }
    load.decay(at(60_000));

    let moves = rebalancing_moves(&ranges, &targets, &load, &SETTINGS);

    assert!(moves.iter().any(|chosen| chosen.target == 4));
}

/// Guards against tables that fill the VMs' links, so that configurations
/// arrive late. A service of two hundred servers is rebalanced twice a second
/// while its servers are replaced. Every VM gets each move twice, in about a
/// hundred bytes. A VM may get 16 KB a second of control traffic, and half of
/// that is left for the rest.
#[test]
fn a_large_fleet_gets_few_moves_a_second() {
    const BYTES_PER_CHANGE: usize = 100;
    const CHANGES_PER_MOVE: usize = 2;
    const ROUNDS_PER_SECOND: usize = 2;

    let moves = RebalanceSettings::for_servers(208).max_moves;

    let sent = moves * CHANGES_PER_MOVE * ROUNDS_PER_SECOND * BYTES_PER_CHANGE;
    assert!(sent <= 16_000 / 2, "{sent} bytes a second");
}

#[test]
fn an_even_load_moves_nothing() {
    let targets = targets(4);
    let ranges = even_ranges(4);
    let mut load = RangeLoad::open(at(0));
    for key in (0..u16::MAX).step_by(8) {
        load.record(key.into(), 1);
    }
    load.decay(at(2_000));

    assert_eq!(rebalancing_moves(&ranges, &targets, &load, &SETTINGS), []);
}

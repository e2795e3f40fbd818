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
    let choose = |a, b| choose_server(&[a, b], SECOND, 1_000);

    assert_eq!(choose(slow, fast(0)), PoolChoice::Send(1));
    assert_eq!(choose(slow, fast(3)), PoolChoice::Send(1));
    let full = PoolCandidate { in_flight: 7, ..fast(0) };
    assert_eq!(choose(slow, full), PoolChoice::Send(0));
}

/// A download of 90 kB and a near server with a request under way: next
/// door it would be answered a little sooner, and its volume is paid for
/// by the kilobyte. An order of 3 kB goes next door.
#[test]
fn large_answers_stay_near_and_small_ones_go_next_door() {
    let near = candidate(ServerProximity::SameDomain, 3, 100);
    let next = candidate(ServerProximity::SameRegion, 0, 100);
    let choose = |bytes| choose_server(&[near, next], SECOND, bytes);

    assert_eq!(choose(90_000), PoolChoice::Send(0));
    assert_eq!(choose(3_000), PoolChoice::Send(1));
}

/// Nobody near takes requests at all: the far server is better than none.
#[test]
fn a_far_server_serves_when_no_other_can() {
    let held = PoolCandidate {
        limit: 0,
        ..candidate(ServerProximity::SameDomain, 0, 100)
    };
    let far = candidate(ServerProximity::Remote, 0, 100);

    let choice = choose_server(&[held, far], SECOND, 90_000);

    assert_eq!(choice, PoolChoice::Send(1));
}

#[test]
fn what_no_server_can_answer_in_time_is_known_at_once() {
    let slow = candidate(ServerProximity::SameDomain, 0, 400);
    let left = TimeSpan::from_millis(300);

    assert_eq!(choose_server(&[slow], left, 1), PoolChoice::TooLate);
}

/// Every server fails for a minute and each request would be sent again by
/// each of 10 VMs. All of them together stay within what the operators
/// allow, without asking one another.
#[test]
fn vms_together_stay_within_the_budget_of_repeats() {
    const VMS: usize = 10;
    let span = TimeSpan::from_millis(10_000);
    let settings =
        BudgetSettings { window: span, per_mille: 200, constant: 60 };
    let mut windows = vec![AttemptBudget::new(settings); VMS];
    let mut sent = Vec::new();
    let mut asked = Vec::new();
    for millis in (0..60_000).step_by(10) {
        let vm = usize::try_from(millis / 10).expect("small") % VMS;
        windows[vm].record_request(at(millis));
        asked.push(millis);
        if windows[vm].try_take(at(millis), VMS) {
            sent.push(millis);
        }
    }

    for begin in (0..50_000).step_by(500) {
        let inside = |list: &[u64]| {
            list.iter()
                .filter(|t| (begin..begin + 10_000).contains(*t))
                .count()
        };
        assert!(inside(&sent) <= inside(&asked) / 5 + 60, "from {begin} ms");
    }
    assert!(sent.len() > 600, "some repeats are made: {}", sent.len());
}

/// What a fleet of 90 VMs sends beyond the first while every send fails, in
/// any 10 s; `known` are the VMs that one of them knows at a time.
fn most_repeats(known: impl Fn(u64) -> usize) -> (usize, usize) {
    const VMS: usize = 90;
    const WINDOW_MS: u64 = 10_000;
    const END_MS: u64 = 40_000;
    let span = TimeSpan::from_millis(WINDOW_MS);
    let settings =
        BudgetSettings { window: span, per_mille: 200, constant: 222 };
    let fresh = AttemptBudget::new(settings).with_start(at(0));
    let mut windows = vec![fresh; VMS];
    let mut sent = Vec::new();
    let mut asked = Vec::new();
    for millis in 0..END_MS {
        let vm = usize::try_from(millis).expect("small") % VMS;
        windows[vm].record_request(at(millis));
        asked.push(millis);
        let repeats =
            (0..5).filter(|_| windows[vm].try_take(at(millis), known(millis)));
        sent.extend(repeats.map(|_| millis));
    }
    let inside = |list: &[u64], begin: u64| {
        let window = begin..begin + WINDOW_MS;
        list.iter().filter(|moment| window.contains(moment)).count()
    };
    let windows = (0..=END_MS - WINDOW_MS).step_by(500);
    windows
        .map(|from| (inside(&sent, from), inside(&asked, from) / 5 + 222))
        .max()
        .expect("some window")
}

/// Guards against VMs that each take the whole constant while they start.
#[test]
fn vms_that_know_no_others_yet_stay_within_the_budget() {
    let (sent, allowed) =
        most_repeats(|millis| if millis < 2_000 { 1 } else { 90 });

    assert!(sent <= allowed, "{sent} repeats, {allowed} allowed");
}

/// Guards against larger parts of the constant while a part of the fleet is
/// thought lost.
#[test]
fn vms_that_think_others_lost_stay_within_the_budget() {
    let (sent, allowed) =
        most_repeats(
            |millis| {
                if (15_000..23_000).contains(&millis) { 10 } else { 90 }
            },
        );

    assert!(sent <= allowed, "{sent} repeats, {allowed} allowed");
}

fn timeout_sight() -> TimeoutInputs {
    TimeoutInputs {
        typical: Some(TimeSpan::from_millis(250)),
        target_latency: TimeSpan::from_millis(1_200),
        remaining: TimeSpan::from_millis(3_000),
        replaceable: true,
    }
}

/// A VM has just started and knows none of its servers. An export takes
/// 400 ms of work; given up after 350, it is done twice or, without a
/// budget, answered as a failure while its server is at work.
#[test]
fn a_server_that_has_not_answered_yet_gets_the_time_of_its_route() {
    let sight = TimeoutInputs { typical: None, ..timeout_sight() };

    assert_eq!(attempt_timeout(sight), TimeSpan::from_millis(1_200));
}

/// Nobody else may be asked. The answer that the server works on is the
/// only one that can come.
#[test]
fn work_that_can_t_be_replaced_is_waited_for_to_the_end() {
    let sight = TimeoutInputs { replaceable: false, ..timeout_sight() };

    assert_eq!(attempt_timeout(sight), TimeSpan::from_millis(3_000));
}

/// A silent server costs a lookup a few usual times and not its deadline,
/// and never more than what is left.
#[test]
fn a_silent_server_is_left_after_a_few_usual_times() {
    let late = TimeoutInputs {
        remaining: TimeSpan::from_millis(300),
        ..timeout_sight()
    };

    assert_eq!(attempt_timeout(timeout_sight()), TimeSpan::from_millis(875));
    assert_eq!(attempt_timeout(late), TimeSpan::from_millis(300));
}

/// A server answers lookups in 50 ms and checks in 300 ms, and nine of ten
/// requests are lookups. A check is at work for 400 ms: given up by the
/// time of all answers it would run twice. A lookup that a silent server
/// has is asked for elsewhere long before that.
#[test]
fn long_work_among_short_is_waited_for_by_its_own_time() {
    let (lookup, check) = (Arc::from("lookup"), Arc::from("check"));
    let mut times = ResponseTimes::default();
    for turn in 0..200 {
        let long = turn % 10 == 0;
        let (route, millis) = if long { (&check, 300) } else { (&lookup, 50) };
        times.record(route, TimeSpan::from_millis(millis));
    }
    let wait = |route: &str| {
        attempt_timeout(TimeoutInputs {
            typical: times.typical_for(route),
            ..timeout_sight()
        })
    };

    assert!(wait("check") > TimeSpan::from_millis(900));
    assert!(wait("lookup") <= TimeSpan::from_millis(250));
    let together =
        TimeoutInputs { typical: Some(times.mean()), ..timeout_sight() };
    assert!(attempt_timeout(together) < TimeSpan::from_millis(400));
}

/// Asking whether a repeat is left takes none.
#[test]
fn looking_at_the_budget_uses_nothing_of_it() {
    let span = TimeSpan::from_millis(10_000);
    let settings =
        BudgetSettings { window: span, per_mille: 200, constant: 10 };
    let mut window = AttemptBudget::new(settings);
    let looks = (0..50).filter(|_| window.has_remaining(at(0), 1)).count();
    let taken = (0..50).filter(|_| window.try_take(at(0), 1)).count();

    assert_eq!((looks, taken), (50, 7));
    assert!(!window.has_remaining(at(0), 1));
}

#[test]
fn turns_keep_to_weights_after_any_number_of_requests() {
    let mut turns = WeightedRoundRobin::default();
    let weights = [70, 25, 5, 0];
    let mut counts = [0_u32; 4];
    for request in 1..=500_u32 {
        counts[turns.next(&weights).expect("a target")] += 1;
        for (count, weight) in counts.iter().zip(weights) {
            let due = request * weight;
            assert!((count * 100).abs_diff(due) <= 200);
        }
    }
    assert_eq!(turns.next(&[0, 0]), None);
}

/// A request of low rank waits first; one of high rank comes later and is
/// served before it. One that was woken in vain keeps its place.
#[test]
fn rank_goes_before_arrival_and_a_place_is_kept() {
    let mut line = AdmissionQueue::default();
    let low = QueuePosition { priority: 2, sequence: 1 };
    let high = QueuePosition { priority: 1, sequence: 2 };
    line.join(low, "low");
    line.join(high, "high");

    assert_eq!(line.wake(), Some("high"));
    line.join(high, "high again");

    assert_eq!(line.ahead_of(low), 1);
    assert_eq!(line.wake(), Some("high again"));
    assert_eq!(line.wake(), Some("low"));
    assert!(line.is_empty());
}

const SETTINGS: RebalanceSettings = RebalanceSettings::for_servers(20);

fn places(servers: usize) -> Vec<TargetLoad> {
    vec![TargetLoad { slots: 2, work_s: 0.1, accepts_keys: true }; servers]
}

/// One run a server, in order.
fn even_runs(servers: u16) -> Vec<PlacedRange> {
    let size = u16::MAX / servers;
    (0..servers)
        .map(|place| {
            let first = place * size;
            let last =
                if place + 1 == servers { u16::MAX } else { first + size - 1 };
            let range = SliceRange { first: first.into(), last: last.into() };
            PlacedRange { range, target: usize::from(place), movable: true }
        })
        .collect()
}

/// Applies moves as the servers would follow them.
fn follow(runs: &mut Vec<PlacedRange>, moves: &[(SliceRange, usize)]) {
    for (range, target) in moves {
        let whole = runs.iter().position(|run| run.range.covers(*range));
        let whole = runs.swap_remove(whole.expect("one run"));
        let (first, last) = (range.first.get(), range.last.get());
        if whole.range.first.get() < first {
            let last = SliceIndex::from(first - 1);
            let range = SliceRange { first: whole.range.first, last };
            runs.push(PlacedRange { range, ..whole });
        }
        if last < whole.range.last.get() {
            let first = SliceIndex::from(last + 1);
            let range = SliceRange { first, last: whole.range.last };
            runs.push(PlacedRange { range, ..whole });
        }
        runs.push(PlacedRange {
            range: *range,
            target: *target,
            movable: true,
        });
    }
}

/// Sixty keys side by side get sixty requests a second, three times what
/// their one server can do. After some rounds of half a second no server is
/// asked for more than its slots, and nine keys of ten have not moved. Even
/// runs that never move leave that server three times over its slots.
#[test]
fn a_hot_run_is_spread_and_few_keys_move() {
    let places = places(20);
    let mut runs = even_runs(20);
    let mut load = RangeLoad::open(at(0));
    let hot = 10_000_u16..10_060;
    let mut keys_moved = 0;
    let mut now = 0;
    for _round in 0..8 {
        now += 500;
        let usual = (0..u16::MAX).step_by(1_000);
        for key in usual.chain(hot.clone().step_by(2)) {
            load.record(key.into(), 1);
        }
        load.decay(at(now));
        let moves = rebalancing_moves(&runs, &places, &load, &SETTINGS);
        let chosen: Vec<_> =
            moves.iter().map(|m| (m.range, m.target)).collect();
        keys_moved +=
            chosen.iter().map(|(range, _)| range.slices()).sum::<u32>();
        follow(&mut runs, &chosen);
    }

    let uses = target_utilization(&runs, &places, &load);
    let most = uses.iter().copied().fold(0.0, f32::max);
    let still = target_utilization(&even_runs(20), &places, &load);
    let unmoved = still.iter().copied().fold(0.0, f32::max);
    assert!(most < 1.0, "busiest {most}");
    assert!(unmoved > 2.0, "without moves {unmoved}");
    assert!(keys_moved < 65_536 / 10, "{keys_moved} keys moved");
}

/// Of sixty busy neighbours eight have half of the requests, more than one
/// server can do. Split key by key, no server is over its slots; a move of
/// the whole run would only make another server the full one.
#[test]
fn the_busiest_neighbours_are_parted_key_by_key() {
    let places = places(20);
    let mut runs = even_runs(20);
    let mut load = RangeLoad::open(at(0));
    for round in 1..=8 {
        for rank in 0..60_u16 {
            let requests = 12 / (u32::from(rank) / 2 + 1);
            load.record((10_000 + rank).into(), requests.max(1));
        }
        load.decay(at(round * 1_000));
        let moves = rebalancing_moves(&runs, &places, &load, &SETTINGS);
        let chosen: Vec<_> =
            moves.iter().map(|m| (m.range, m.target)).collect();
        follow(&mut runs, &chosen);
    }

    let uses = target_utilization(&runs, &places, &load);
    let most = uses.iter().copied().fold(0.0, f32::max);
    assert!(most < 1.0, "busiest {most}");
}

#[test]
fn a_server_that_joins_gets_its_part() {
    let places = places(5);
    let runs = even_runs(4);
    let mut load = RangeLoad::open(at(0));
    for key in (0..u16::MAX).step_by(64) {
        load.record(key.into(), 1);
    }
    load.decay(at(60_000));

    let moves = rebalancing_moves(&runs, &places, &load, &SETTINGS);

    assert!(moves.iter().any(|chosen| chosen.target == 4));
}

/// A service of two hundred servers is rebalanced twice a second while its
/// servers are replaced. Every VM is told of each move twice, in about a
/// hundred bytes; a VM may get 16 KB a second for all of its control, and
/// half of that is left to the rest. With more, tables fill its link, and
/// configurations come late.
#[test]
fn a_large_fleet_is_told_of_few_moves_a_second() {
    const BYTES_A_CHANGE: usize = 100;
    const CHANGES_A_MOVE: usize = 2;
    const ROUNDS_A_SECOND: usize = 2;

    let moves = RebalanceSettings::for_servers(208).max_moves;

    let told = moves * CHANGES_A_MOVE * ROUNDS_A_SECOND * BYTES_A_CHANGE;
    assert!(told <= 16_000 / 2, "{told} bytes a second");
}

#[test]
fn an_even_load_moves_nothing() {
    let places = places(4);
    let runs = even_runs(4);
    let mut load = RangeLoad::open(at(0));
    for key in (0..u16::MAX).step_by(8) {
        load.record(key.into(), 1);
    }
    load.decay(at(2_000));

    assert_eq!(rebalancing_moves(&runs, &places, &load, &SETTINGS), []);
}

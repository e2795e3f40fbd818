//! Partitions from all servers, and failures that only look like one.

use goldcrestramp_decisions::{
    LimitVerdict, PlannerReach, ReachEvent, ReachMonitor, ReachRule,
    RelayCandidate, ServerLimit, ServerProximity, ServerSignal, choose_relay,
};
use goldcrestramp_types::{LocalTime, RequestClass};

const SERVERS: usize = 8;

fn at(millis: u64) -> LocalTime {
    LocalTime::from_micros(millis * 1_000)
}

/// A monitor of a VM that has sent a request to each of the servers at `now`.
fn sent_to_all(now: u64) -> ReachMonitor<usize> {
    let mut monitor = ReachMonitor::default();
    for server in 0..SERVERS {
        monitor.record(at(now), server, ReachEvent::Started);
    }
    monitor
}

/// A monitor of a VM that is partitioned since `now`.
fn partitioned(now: u64) -> ReachMonitor<usize> {
    let mut monitor = ReachMonitor::default();
    for server in 0..SERVERS {
        monitor.record(at(now), server, ReachEvent::Unconnected);
    }
    assert!(monitor.try_probe(at(now), SERVERS));
    assert!(monitor.record_probes(at(now), false));
    monitor
}

/// Guards against requests that wait for their deadlines at servers that are
/// silent to this VM.
#[test]
fn silence_of_all_servers_calls_for_probes() {
    let mut monitor = sent_to_all(1_000);

    assert!(!monitor.try_probe(at(1_200), SERVERS));
    assert!(monitor.try_probe(at(1_300), SERVERS));
}

/// Guards against probes while servers are only slow.
#[test]
fn a_response_of_any_server_clears_the_silence() {
    let mut monitor = sent_to_all(1_000);
    monitor.record(at(1_290), 0, ReachEvent::Responded);

    assert!(!monitor.try_probe(at(1_500), SERVERS));
}

/// Guards against a VM that counts as partitioned when a server is lost.
#[test]
fn failures_of_one_server_call_for_no_probes() {
    let mut monitor = ReachMonitor::default();
    for millis in 0..100 {
        monitor.record(at(millis), 0, ReachEvent::Unconnected);
        monitor.record(at(millis), 0, ReachEvent::Broken);
    }

    assert!(!monitor.try_probe(at(1_000), SERVERS));
}

/// Guards against a VM that passes on requests because its servers reset
/// connections over their limit: they accept new ones.
#[test]
fn overloaded_servers_are_no_partition() {
    let mut monitor = ReachMonitor::default();
    for server in 0..SERVERS {
        monitor.record(at(0), server, ReachEvent::Broken);
    }
    assert!(monitor.try_probe(at(0), SERVERS));

    let changed = monitor.record_probes(at(10), true);

    assert!(!changed);
    assert_eq!(monitor.partitioned_since(), None);
}

/// Guards against a stream of probes to servers that stay overloaded.
#[test]
fn probes_that_succeed_are_not_repeated_at_once() {
    let mut monitor = sent_to_all(0);
    assert!(monitor.try_probe(at(300), SERVERS));
    monitor.record_probes(at(310), true);
    for server in 0..SERVERS {
        monitor.record(at(320), server, ReachEvent::Broken);
    }

    assert!(!monitor.try_probe(at(1_300), SERVERS));
    assert!(monitor.try_probe(at(1_310), SERVERS));
}

/// Guards against refused connections that go unnoticed because responses
/// arrive on open ones.
#[test]
fn responses_do_not_hide_that_connections_are_refused() {
    let mut monitor = ReachMonitor::default();
    for server in 0..3 {
        monitor.record(at(10), server, ReachEvent::Unconnected);
        monitor.record(at(11), server, ReachEvent::Responded);
    }

    assert!(monitor.try_probe(at(12), SERVERS));
}

/// Guards against requests that alternate between a broken way and a working
/// one: what was sent before the cut may still end during it.
#[test]
fn only_probes_end_a_partition() {
    let mut monitor = partitioned(0);
    monitor.record(at(50), 1, ReachEvent::Responded);
    monitor.record(at(60), 2, ReachEvent::Connected);
    assert_eq!(monitor.partitioned_since(), Some(at(0)));

    assert!(!monitor.record_probes(at(400), false));
    assert_eq!(monitor.partitioned_since(), Some(at(0)));
    assert!(monitor.record_probes(at(800), true));

    assert_eq!(monitor.partitioned_since(), None);
}

/// Guards against a second loop of probes for the same partition.
#[test]
fn a_partition_is_probed_by_one_caller() {
    let mut monitor = partitioned(0);
    for server in 0..SERVERS {
        monitor.record(at(10), server, ReachEvent::Unconnected);
    }

    assert!(!monitor.try_probe(at(2_000), SERVERS));
    assert!(!monitor.begin_probe(at(2_000)));
}

/// Guards against a planner that gives up its role, and the next one after
/// it, when the only server of a service is lost.
#[test]
fn the_loss_of_the_only_server_is_no_partition() {
    let mut monitor = ReachMonitor::default();
    monitor.record(at(0), 0, ReachEvent::Unconnected);

    assert!(!monitor.try_probe(at(10), 1));
}

/// Guards against a server that stays suspended when the VM's own links are
/// back.
#[test]
fn a_suspension_ends_with_the_partition() {
    let mut limit = ServerLimit::warm(at(0), 4);
    for millis in 0..3 {
        limit.started(at(millis), RequestClass::Lookup);
        limit.finished(at(millis), ServerSignal::Unreachable, 0);
    }
    assert!(matches!(limit.verdict(at(10)), LimitVerdict::Suspended(_)));

    limit.links_restored(at(10));

    assert_eq!(limit.verdict(at(10)), LimitVerdict::Allowed(4));
}

/// Guards against one VM that gets the requests of all that are partitioned.
#[test]
fn requests_spread_over_the_vms_that_are_left() {
    let relay = |proximity| RelayCandidate {
        proximity,
        limit: 64,
        in_flight: 0,
        is_proven: true,
    };
    let mut relays = vec![
        relay(ServerProximity::SameDomain),
        relay(ServerProximity::SameRegion),
        relay(ServerProximity::SameRegion),
        relay(ServerProximity::Remote),
    ];

    for _ in 0..100 {
        let chosen = choose_relay(&relays).expect("a VM has room");
        relays[chosen].in_flight += 1;
    }

    let in_flight: Vec<usize> = relays.iter().map(|r| r.in_flight).collect();
    assert_eq!(in_flight, [30, 28, 28, 14]);
}

/// Guards against requests that are sent to a VM without room, or to one that
/// reaches no server either.
#[test]
fn a_vm_without_room_is_not_chosen() {
    let full = RelayCandidate {
        proximity: ServerProximity::SameDomain,
        limit: 2,
        in_flight: 2,
        is_proven: true,
    };
    let closed = RelayCandidate { limit: 0, in_flight: 0, ..full };

    assert_eq!(choose_relay(&[full, closed]), None);
}

/// Guards against a fleet in which most attempts to pass a request on find
/// VMs that are partitioned, too.
#[test]
fn vms_that_have_served_requests_are_preferred() {
    let unknown = RelayCandidate {
        proximity: ServerProximity::SameDomain,
        limit: 64,
        in_flight: 0,
        is_proven: false,
    };
    let proximity = ServerProximity::SameRegion;
    let proven = RelayCandidate { proximity, is_proven: true, ..unknown };
    let busy = RelayCandidate { in_flight: 3, ..proven };

    assert_eq!(choose_relay(&[unknown, proven]), Some(1));
    assert_eq!(choose_relay(&[unknown, busy]), Some(0));
}

/// How long a round of probes lasts if no server refuses a connection.
const ROUND_MS: u64 = 250;

/// A monitor with the rule that counts responses, of a VM that begins to probe
/// at `now` because no connection could be opened.
fn probing(now: u64) -> ReachMonitor<usize> {
    let mut monitor = ReachMonitor::with_rule(ReachRule::ProbesAndResponses);
    for server in 0..SERVERS {
        monitor.record(at(now), server, ReachEvent::Unconnected);
    }
    assert!(monitor.try_probe(at(now), SERVERS));
    monitor
}

/// Ends rounds of probes that all fail, while responses arrive at the times
/// `responses`; returns when the VM counts as partitioned.
fn partitioned_at(
    monitor: &mut ReachMonitor<usize>,
    begin: u64,
    end: u64,
    responses: impl Iterator<Item = u64>,
) -> Option<u64> {
    let mut responses = responses.peekable();
    let mut round = begin;
    while round < end {
        monitor.begin_round(at(round));
        round += ROUND_MS;
        while let Some(millis) = responses.next_if(|at| *at <= round) {
            monitor.record(at(millis), 0, ReachEvent::Responded);
        }
        if monitor.record_probes(at(round), false) {
            return Some(round);
        }
    }
    None
}

/// Guards against a VM that takes a full link for a cut: connections take over
/// a second, and responses arrive all the time.
#[test]
fn a_full_link_is_no_partition_while_responses_arrive() {
    let mut monitor = probing(1_000);
    let responses = (1_000..6_000).step_by(180);

    let found = partitioned_at(&mut monitor, 1_000, 5_000, responses);

    assert_eq!(found, None);
}

/// Guards against probes that no longer end once the link is free again.
#[test]
fn a_slow_connection_ends_the_probes() {
    let mut monitor = probing(1_000);
    monitor.record(at(1_200), 0, ReachEvent::Responded);
    assert!(!monitor.record_probes(at(1_250), false));

    let changed = monitor.record_probes(at(2_300), true);

    assert!(!changed);
    assert!(!monitor.begin_probe(at(2_400)));
    assert!(monitor.begin_probe(at(3_300)));
}

/// Guards against a rule that delays the discovery of a real cut.
#[test]
fn a_cut_is_found_in_the_first_round() {
    let mut monitor = probing(1_000);
    monitor.record(at(1_000), 0, ReachEvent::Responded);

    let found = partitioned_at(&mut monitor, 1_000, 5_000, std::iter::empty());

    assert_eq!(found, Some(1_000 + ROUND_MS));
}

/// Guards against a cut that is found later because its connections are
/// refused while responses arrive that were sent before it.
#[test]
fn refused_connections_are_a_partition_at_once() {
    let mut monitor = probing(1_000);
    monitor.record(at(1_012), 0, ReachEvent::Responded);

    assert!(monitor.record_probes(at(1_015), false));
}

/// Guards against responses that were in flight when the cut began, and that
/// would prove the link for as long as they arrive.
#[test]
fn responses_in_flight_delay_a_partition_by_one_round_at_most() {
    let short = (1_000..1_045).step_by(5);
    let queued = (1_000..1_200).step_by(5);

    let after_short = partitioned_at(&mut probing(1_000), 1_000, 5_000, short);
    let after_queued =
        partitioned_at(&mut probing(1_000), 1_000, 5_000, queued);

    assert_eq!(after_short, Some(1_250));
    assert_eq!(after_queued, Some(1_500));
}

/// Guards against a cut in one direction that stays unknown: requests leave,
/// and neither their responses nor those to probes arrive.
#[test]
fn a_cut_in_one_direction_is_a_partition() {
    let mut monitor = ReachMonitor::with_rule(ReachRule::ProbesAndResponses);
    for server in 0..SERVERS {
        monitor.record(at(1_000), server, ReachEvent::Started);
        monitor.record(at(1_000), server, ReachEvent::Connected);
    }
    assert!(monitor.try_probe(at(1_300), SERVERS));

    for server in 0..SERVERS {
        monitor.record(at(1_400), server, ReachEvent::Started);
    }

    assert!(monitor.record_probes(at(1_550), false));
}

/// Guards against a partition while only the open connections are silent: new
/// ones work.
#[test]
fn silent_connections_are_no_partition() {
    let mut monitor = ReachMonitor::with_rule(ReachRule::ProbesAndResponses);
    for server in 0..SERVERS {
        monitor.record(at(1_000), server, ReachEvent::Started);
    }
    assert!(monitor.try_probe(at(1_300), SERVERS));

    assert!(!monitor.record_probes(at(1_310), true));
    assert_eq!(monitor.partitioned_since(), None);
}

/// Guards against responses that end a partition: open connections may work
/// while new ones are refused.
#[test]
fn a_response_ends_no_partition() {
    let mut monitor = probing(1_000);
    assert!(monitor.record_probes(at(1_250), false));

    monitor.record(at(1_400), 0, ReachEvent::Responded);
    monitor.begin_round(at(1_300));

    assert!(!monitor.record_probes(at(1_550), false));
    assert_eq!(monitor.partitioned_since(), Some(at(1_000)));
}

/// Guards against another rule where load control is off.
#[test]
fn responses_do_not_count_by_default() {
    let mut monitor = sent_to_all(1_000);
    assert!(monitor.try_probe(at(1_300), SERVERS));

    monitor.record(at(1_500), 0, ReachEvent::Responded);

    assert!(monitor.record_probes(at(1_550), false));
}

/// Guards against a planner that gives up its role while servers answer its
/// orders, and against one that keeps it after the last answer.
#[test]
fn a_planner_whose_orders_are_answered_keeps_its_role() {
    let rule = ReachRule::ProbesAndResponses;
    let mut reach = PlannerReach::default();
    reach.record_answer(at(1_300));

    assert!(!reach.gives_up(at(1_690), at(1_000), rule));
    assert!(reach.gives_up(at(1_700), at(1_000), rule));
}

/// Guards against a planner that keeps its role for longer because of orders
/// that were answered before the cut, or where load control is off.
#[test]
fn a_planner_without_answers_gives_up_as_before() {
    let mut reach = PlannerReach::default();
    reach.record_answer(at(900));

    assert!(reach.gives_up(
        at(1_400),
        at(1_000),
        ReachRule::ProbesAndResponses
    ));
    reach.record_answer(at(1_300));
    assert!(reach.gives_up(at(1_400), at(1_000), ReachRule::Probes));
    assert!(!reach.gives_up(at(1_390), at(1_000), ReachRule::Probes));
}

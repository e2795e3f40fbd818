//! Partitions from all servers, and failures that only look like one.

use goldcrestramp_decisions::{
    LimitVerdict, ReachEvent, ReachMonitor, RelayCandidate, ServerLimit,
    ServerProximity, ServerSignal, choose_relay,
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

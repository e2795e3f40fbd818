//! The requests that all VMs together send to one server.

use std::collections::VecDeque;

use goldcrestramp_decisions::{server_share, window_share};
use goldcrestramp_types::TimeSpan;

/// The server: the requests that it runs at once, the length of its queue, and
/// its service time. It never responds to requests beyond the queue.
const SLOTS: usize = 4;
const QUEUE_LENGTH: usize = 16;
const WORK_MS: u64 = 420;

/// How long a VM waits for a response.
const TIMEOUT_MS: u64 = 2_500;

/// The interval between requests for one key, and for how long they arrive.
const ARRIVAL_INTERVAL_MS: usize = 2;
const DURATION_MS: u64 = 2_400;

/// The outcomes of the requests.
#[derive(Debug, Default)]
struct Outcome {
    answered: usize,
    unanswered: usize,
}

/// Simulates requests that arrive at `vms` VMs in turn for a key of one
/// server, where each VM has up to `share` requests in flight.
fn simulate(vms: usize, share: usize) -> Outcome {
    let mut outcome = Outcome::default();
    let mut in_flight = vec![0; vms];
    let mut running: Vec<(u64, usize)> = Vec::new();
    let mut queue: VecDeque<usize> = VecDeque::new();
    let mut timing_out: VecDeque<(u64, usize)> = VecDeque::new();
    let mut next_vm = (0..vms).cycle();
    for now in 0..DURATION_MS {
        let (ended, still_running): (Vec<_>, Vec<_>) =
            running.into_iter().partition(|(until, _vm)| *until <= now);
        running = still_running;
        for (_until, vm) in ended {
            outcome.answered += 1;
            in_flight[vm] -= 1;
        }
        while timing_out.front().is_some_and(|(until, _vm)| *until <= now) {
            let (_until, vm) =
                timing_out.pop_front().expect("the queue is not empty");
            in_flight[vm] -= 1;
        }
        if now.is_multiple_of(ARRIVAL_INTERVAL_MS as u64) {
            let vm = next_vm.next().expect("there are VMs");
            if in_flight[vm] < share {
                in_flight[vm] += 1;
                if queue.len() < QUEUE_LENGTH {
                    queue.push_back(vm);
                } else {
                    outcome.unanswered += 1;
                    timing_out.push_back((now + TIMEOUT_MS, vm));
                }
            }
        }
        while running.len() < SLOTS {
            let Some(vm) = queue.pop_front() else { break };
            running.push((now + WORK_MS, vm));
        }
    }
    outcome
}

/// Guards against a fleet that fills a server's queue many times over.
#[test]
fn a_hot_key_leaves_few_requests_unanswered() {
    for vms in [75, 195, 640] {
        let share = server_share(SLOTS, vms);

        let (within_share, doubled) =
            (simulate(vms, share), simulate(vms, 2 * share));

        assert_eq!(within_share.answered, doubled.answered);
        assert!(within_share.unanswered <= vms, "{within_share:?}");
        assert!(within_share.unanswered <= doubled.unanswered);
    }
    let (one, two) =
        (simulate(195, server_share(SLOTS, 195)), simulate(195, 2));
    assert!(one.unanswered * 3 < two.unanswered * 2, "{one:?} {two:?}");
}

#[test]
fn few_vms_keep_all_slots_busy() {
    for vms in 1..=20 {
        assert!(server_share(SLOTS, vms) * vms >= SLOTS);
    }
}

/// Guards against a VM that refuses callers while the servers of its window are
/// idle, and against senders that together overflow a server's queue.
#[test]
fn a_second_request_in_a_window_needs_early_responses_and_room() {
    let share = |senders, latency_ms| {
        let latency = TimeSpan::from_millis(latency_ms);
        window_share(2, senders, latency, TimeSpan::from_millis(1_200))
    };

    assert_eq!(share(5, 400), 2);
    assert_eq!(share(5, 700), 1);
    assert_eq!(share(6, 400), 1);
}

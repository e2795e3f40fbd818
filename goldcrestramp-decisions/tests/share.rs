//! What all VMs together send to one server.

use std::collections::VecDeque;

use goldcrestramp_decisions::server_share;

/// The server: requests that run, and that wait for them, and the time that
/// one takes. What comes beyond them is never answered.
const SLOTS: usize = 4;
const QUEUED: usize = 16;
const WORK_MS: u64 = 420;

/// How long a VM waits for an answer.
const TIMEOUT_MS: u64 = 2_500;

/// Requests for one key, one each so many milliseconds for this long.
const ARRIVAL_MS: usize = 2;
const LASTING_MS: u64 = 2_400;

/// What came of the requests.
#[derive(Debug, Default)]
struct Outcome {
    answered: usize,
    unanswered: usize,
}

/// Plays requests that arrive at so many VMs in turn for a key of one server,
/// where each VM has up to `share` under way.
fn play(vms: usize, share: usize) -> Outcome {
    let mut outcome = Outcome::default();
    let mut under_way = vec![0; vms];
    let mut running: Vec<(u64, usize)> = Vec::new();
    let mut queue: VecDeque<usize> = VecDeque::new();
    let mut silent: VecDeque<(u64, usize)> = VecDeque::new();
    let mut next_vm = (0..vms).cycle();
    for now in 0..LASTING_MS {
        let (ended, left): (Vec<_>, Vec<_>) =
            running.into_iter().partition(|(until, _vm)| *until <= now);
        running = left;
        for (_until, vm) in ended {
            outcome.answered += 1;
            under_way[vm] -= 1;
        }
        while silent.front().is_some_and(|(until, _vm)| *until <= now) {
            let (_until, vm) = silent.pop_front().expect("it is there");
            under_way[vm] -= 1;
        }
        if now.is_multiple_of(ARRIVAL_MS as u64) {
            let vm = next_vm.next().expect("VMs");
            if under_way[vm] < share {
                under_way[vm] += 1;
                if queue.len() < QUEUED {
                    queue.push_back(vm);
                } else {
                    outcome.unanswered += 1;
                    silent.push_back((now + TIMEOUT_MS, vm));
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
fn a_hot_key_leaves_few_requests_without_an_answer() {
    for vms in [75, 195, 640] {
        let share = server_share(SLOTS, vms);

        let (played, doubled) = (play(vms, share), play(vms, 2 * share));

        assert_eq!(played.answered, doubled.answered);
        assert!(played.unanswered <= vms, "{played:?}");
        assert!(played.unanswered <= doubled.unanswered);
    }
    let (one, two) = (play(195, server_share(SLOTS, 195)), play(195, 2));
    assert!(one.unanswered * 3 < two.unanswered * 2, "{one:?} {two:?}");
}

#[test]
fn few_vms_keep_all_slots_at_work() {
    for vms in 1..=20 {
        assert!(server_share(SLOTS, vms) * vms >= SLOTS);
    }
}

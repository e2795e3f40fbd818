//! How often tables are committed.

use goldcrestramp_entry::control::CommitPace;
use goldcrestramp_types::{LocalTime, TimeSpan};

fn at(millis: u64) -> LocalTime {
    LocalTime::from_micros(1_000_000_000) + TimeSpan::from_millis(millis)
}

/// Plays steps of moves that end at these times, in milliseconds, with
/// commits that take `commit_ms`; returns when commits begin. A step that
/// can't be committed at once is found by a check every 100 ms.
fn commits(steps: &[u64], commit_ms: u64, end: u64) -> Vec<u64> {
    let mut pace = CommitPace::open(at(0));
    let mut begun = Vec::new();
    let mut pending = false;
    for now in 0..end {
        if begun.last().is_some_and(|begin| begin + commit_ms == now) {
            pace.end();
        }
        let ended = steps.contains(&now);
        pending |= ended;
        let checked = ended || now % 100 == 0;
        if pending && checked && pace.is_due(at(now)) {
            pace.begin(at(now));
            begun.push(now);
            pending = false;
        }
    }
    begun
}

/// Guards against a call to the store, and a message to every VM, for each of
/// the steps in which many keys move at once.
#[test]
fn steps_of_many_moves_share_a_commit() {
    let steps: Vec<u64> = (0..100).map(|step| step * 10).collect();

    let begun = commits(&steps, 5, 1_200);

    assert!(begun.len() <= 8, "commits at {begun:?}");
    assert!(*begun.last().expect("commits begin") >= 990, "none is lost");
}

/// Guards against keys without an owner that wait for the next commit although
/// nothing else is committed.
#[test]
fn a_single_step_is_committed_at_once() {
    assert_eq!(commits(&[7, 333], 5, 600), [7, 333]);
}

#[test]
fn a_slow_commit_delays_the_next() {
    assert_eq!(commits(&[10, 20], 400, 1_000), [10, 500]);
}

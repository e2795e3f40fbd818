//! Callers that failed together do not retry together.

use goldcrestramp_platform::{BackoffRange, RetryBackoff, full_jitter};
use goldcrestramp_types::{LocalTime, TimeSpan};
use proptest::prelude::*;
use proptest::test_runner::{RngAlgorithm, TestRng};

const NODES: usize = 640;
const OUTAGE_MS: u64 = 60_000;

/// The number of calls in each 100 ms after the outage, until all nodes have
/// returned.
fn returns_after_an_outage(range: BackoffRange) -> Vec<usize> {
    let mut random = TestRng::deterministic_rng(RngAlgorithm::ChaCha);
    let mut backoffs = vec![RetryBackoff::new(range); NODES];
    let mut next = vec![LocalTime::default(); NODES];
    let mut returned = vec![false; NODES];
    let mut counts = Vec::new();
    for millis in 0.. {
        let now = LocalTime::from_micros(millis * 1_000);
        if millis >= OUTAGE_MS && millis % 100 == 0 {
            if returned.iter().all(|done| *done) {
                break;
            }
            counts.push(0);
        }
        for node in 0..NODES {
            if returned[node] || now < next[node] {
                continue;
            }
            if millis >= OUTAGE_MS {
                returned[node] = true;
                *counts.last_mut().expect("an interval has begun") += 1;
            } else {
                next[node] =
                    backoffs[node].record_failure(now, random.next_u64());
            }
        }
    }
    counts
}

/// After an outage of a minute, 640 nodes that retry at the same time would
/// overload the store again. With jitter the worst second takes a fraction of
/// the service's 2,000 reads, and the last node returns within the cap.
#[test]
fn nodes_return_spread_out_after_an_outage() {
    let range = BackoffRange::default();

    let counts = returns_after_an_outage(range);

    let worst: usize = counts
        .windows(10)
        .map(|second| second.iter().sum())
        .max()
        .expect("at least a second passes");
    let cap = usize::try_from(range.cap.as_millis()).expect("cap fits") / 100;
    assert!(worst <= 500, "{worst} nodes return in one second");
    assert!(counts.len() <= cap + 1, "the last returns after {counts:?}");
}

#[test]
fn a_success_resets_the_backoff() {
    let now = LocalTime::from_micros(5);
    let mut backoff = RetryBackoff::new(BackoffRange::default());
    let until = backoff.record_failure(now, u64::MAX);
    assert!(!backoff.may_call(now));
    assert!(backoff.may_call(until));

    backoff.record_success();

    assert!(backoff.may_call(now));
    assert_eq!(backoff.failures(), 0);
}

proptest! {
    #[test]
    fn a_delay_stays_within_its_doubling_bound(
        failures in 0_u32..200, random in any::<u64>(),
    ) {
        let range = BackoffRange::default();
        let delay = full_jitter(range, failures, random);
        let bound = 50_u64
            .checked_shl(failures.saturating_sub(1).min(20))
            .unwrap_or(u64::MAX);
        prop_assert!(delay <= range.cap);
        prop_assert!(delay <= TimeSpan::from_millis(bound));
        prop_assert_eq!(full_jitter(range, failures, 0), TimeSpan::ZERO);
    }
}

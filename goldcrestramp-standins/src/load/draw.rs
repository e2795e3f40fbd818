//! Draws arrivals, callers and keys from a seed.

use std::time::Duration;

use rand::{Rng, SeedableRng, rngs::StdRng};

use crate::load::plan::LoadStream;

/// How long the set of hot keys stays the same.
const HOT_PERIOD: Duration = Duration::from_secs(10);

/// One request to send.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) struct DrawnRequest {
    /// Its time, from the start of the run.
    pub(super) at: Duration,
    /// The caller's number.
    pub(super) caller: usize,
    /// The key's number.
    pub(super) key: usize,
}

/// Draws the requests of one stream, in order of arrival.
#[derive(Debug)]
pub(super) struct StreamDraw {
    source: StdRng,
    /// The cumulative probability of each rank, up to 1; rank 0 is the
    /// hottest.
    ranks: Vec<f64>,
    callers: usize,
    hot_keys: usize,
    rate: f64,
    at: Duration,
}

impl StreamDraw {
    pub(super) fn new(stream: &LoadStream, seed: u64) -> Self {
        Self {
            source: StdRng::seed_from_u64(seed),
            ranks: zipf_ranks(stream.keys, stream.zipf_exponent),
            callers: stream.callers,
            hot_keys: stream.hot_keys.min(stream.keys),
            rate: stream.requests_per_s,
            at: Duration::ZERO,
        }
    }

    /// Draws the next request; arrivals are a Poisson process.
    pub(super) fn next(&mut self) -> DrawnRequest {
        let uniform: f64 = self.source.random_range(f64::MIN_POSITIVE..1.0);
        self.at += Duration::from_secs_f64(-uniform.ln() / self.rate);
        let chance: f64 = self.source.random();
        let rank = self.ranks.partition_point(|upto| *upto < chance);
        let rank = rank.min(self.ranks.len() - 1);
        let caller = self.source.random_range(0..self.callers);
        DrawnRequest { at: self.at, caller, key: self.key_of(rank) }
    }

    /// Returns the key that has this rank now.
    ///
    /// The hottest ranks move to other keys every ten seconds, as when another
    /// shop opens or a new title arrives.
    fn key_of(&self, rank: usize) -> usize {
        if rank >= self.hot_keys {
            return rank;
        }
        let period = self.at.as_secs() / HOT_PERIOD.as_secs();
        let period = usize::try_from(period).unwrap_or(0);
        (rank + period * self.hot_keys) % self.ranks.len()
    }
}

/// The cumulative probabilities of `count` ranks under Zipf's law.
#[expect(
    clippy::cast_precision_loss,
    reason = "there are at most a million ranks"
)]
fn zipf_ranks(count: usize, exponent: f64) -> Vec<f64> {
    let weights = (1..=count).map(|rank| (rank as f64).powf(-exponent));
    let mut sum = 0.0;
    let mut ranks: Vec<f64> = weights
        .map(|weight| {
            sum += weight;
            sum
        })
        .collect();
    for rank in &mut ranks {
        *rank /= sum;
    }
    ranks
}

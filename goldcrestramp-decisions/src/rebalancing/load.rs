//! The requests a second of each key.
//!
//! Loads are kept key by key: of 60 busy neighbours the busiest eight have
//! half of the requests, more than one server can do. That takes 512 KiB a
//! service on the planning VM, whatever callers ask for.

use goldcrestramp_types::{LocalTime, SliceIndex, SliceRange, TimeSpan};

/// Every key there can be.
const KEYS: usize = 65_536;

/// A dense part grows by so many keys at a time: between busy keys lie some
/// that nobody has asked for within the last second.
const GROWTH: usize = 4;

/// Half of what is known is replaced in this time: a run that became busy
/// shows within a second, the noise of ten requests does not.
const HALF_LIFE: TimeSpan = TimeSpan::from_millis(1_000);

/// What an unasked key counts for, in requests a second, so that keys of
/// which nothing is known yet are dealt out evenly.
const RATE_FLOOR: f32 = 0.000_01;

/// Keys move along with a busy neighbour if they have at least this part
/// of what is to move, or half of their run's average. Cold ones would
/// move for nothing.
const DENSE_PART: f32 = 0.02;

/// A key that has more than so many times what is to move is left out.
const HOT_FACTOR: f32 = 1.5;

/// The requests a second of each key.
#[derive(Clone, Debug)]
pub struct RangeLoad {
    rates: Vec<f32>,
    counted: Vec<u32>,
    since: LocalTime,
    /// The part of the rates that rests on what was counted; the rest is
    /// the zero that they began with.
    known: f32,
}

impl RangeLoad {
    /// Opens with no load known.
    #[must_use]
    pub fn open(now: LocalTime) -> Self {
        let (rates, counted) = (vec![0.0; KEYS], vec![0; KEYS]);
        Self { rates, counted, since: now, known: 0.0 }
    }

    /// Counts requests for a key.
    pub fn record(&mut self, slice: SliceIndex, requests: u32) {
        self.counted[slice.position()] += requests;
    }

    /// Takes what was counted into the rates.
    ///
    /// A planner that has just begun knows nothing. Blended with the zero
    /// that it began with, the first counts would make a full server look
    /// idle, and its keys would stay with it.
    pub fn decay(&mut self, now: LocalTime) {
        let passed = seconds(now.since(self.since));
        if passed <= 0.0 {
            return;
        }
        let kept = 0.5_f32.powf(passed / seconds(HALF_LIFE));
        self.known = 1.0 - (1.0 - self.known) * kept;
        let gain = (1.0 - kept) / self.known;
        for (rate, counted) in self.rates.iter_mut().zip(&mut self.counted) {
            #[expect(clippy::cast_precision_loss, reason = "small counts")]
            let fresh = *counted as f32 / passed;
            *rate += gain * (fresh - *rate);
            *counted = 0;
        }
        self.since = now;
    }

    /// The requests a second of a run.
    #[must_use]
    pub fn load_of(&self, range: SliceRange) -> f32 {
        let (first, last) = (range.first.position(), range.last.position());
        let rates = &self.rates[first..=last];
        rates.iter().sum::<f32>() + RATE_FLOOR * count(rates.len())
    }

    /// The part of a run with about `wanted` requests a second; nothing if
    /// its busiest key alone has far more.
    pub(super) fn part(
        &self,
        range: SliceRange,
        wanted: f32,
    ) -> Option<SliceRange> {
        let (begin, end) = (range.first.position(), range.last.position());
        let busiest = self.busiest(range);
        if self.rates[busiest] > wanted * HOT_FACTOR {
            return None;
        }
        let average = self.load_of(range) / count(end - begin + 1);
        let cold = (wanted * DENSE_PART).min(average * count(GROWTH) / 2.0);
        let (first, last) =
            self.dense_part((begin, end), busiest, cold, wanted);
        Some(keys(first, last))
    }

    /// The begin of a run with about `wanted` requests a second; nothing
    /// if the run has less.
    pub(super) fn piece(
        &self,
        range: SliceRange,
        wanted: f32,
    ) -> Option<SliceRange> {
        let (begin, end) = (range.first.position(), range.last.position());
        let mut sum = 0.0;
        let last = (begin..=end).find(|key| {
            sum += self.rates[*key];
            sum >= wanted
        });
        last.map(|last| keys(begin, last))
    }

    /// The busiest key of a run, if it alone has more than is wanted.
    pub(super) fn hot_key(
        &self,
        range: SliceRange,
        wanted: f32,
    ) -> Option<SliceRange> {
        let busiest = self.busiest(range);
        (self.rates[busiest] > wanted).then(|| keys(busiest, busiest))
    }

    /// The position of the busiest key of a run.
    fn busiest(&self, range: SliceRange) -> usize {
        let (begin, end) = (range.first.position(), range.last.position());
        let rates = &self.rates;
        let busiest =
            (begin..=end).max_by(|a, b| rates[*a].total_cmp(&rates[*b]));
        busiest.unwrap_or(begin)
    }

    /// The keys around the busiest one that are not cold.
    fn dense_part(
        &self,
        (begin, end): (usize, usize),
        busiest: usize,
        cold: f32,
        wanted: f32,
    ) -> (usize, usize) {
        let (mut first, mut last) = (busiest, busiest);
        let mut sum = self.rates[busiest];
        loop {
            let lower = first.saturating_sub(GROWTH).max(begin);
            let upper = (last + GROWTH).min(end);
            let left: f32 = self.rates[lower..first].iter().sum();
            let right: f32 = self.rates[last + 1..=upper].iter().sum();
            let next = left.max(right);
            if next <= cold || sum + next > wanted {
                return (first, last);
            }
            sum += next;
            if left >= right {
                first = lower;
            } else {
                last = upper;
            }
        }
    }
}

/// A run of keys by their positions.
fn keys(first: usize, last: usize) -> SliceRange {
    let slice = |position: usize| {
        SliceIndex::from(u16::try_from(position).unwrap_or(u16::MAX))
    };
    SliceRange { first: slice(first), last: slice(last) }
}

pub(super) fn count(number: usize) -> f32 {
    #[expect(clippy::cast_precision_loss, reason = "a few thousand")]
    let number = number as f32;
    number
}

fn seconds(span: TimeSpan) -> f32 {
    span.to_std().as_secs_f32()
}

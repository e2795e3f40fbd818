//! The requests a second of each key.
//!
//! Loads are kept for each key: of 60 busy adjacent keys the busiest eight may
//! get half of the requests, more than one server can handle. A service takes
//! 512 KiB on the planning VM, whatever callers request.

use goldcrestramp_types::{
    FastMap, LocalTime, SliceIndex, SliceRange, TimeSpan,
};

/// One key for each slice index.
const KEYS: usize = 65_536;

/// The keys by which a dense part grows at a time: between busy keys there are
/// some that were not requested within the last second.
const GROWTH_STEP: usize = 4;

/// The half-life of the rates: a range that becomes busy shows within a
/// second, and the noise of ten requests doesn't.
const HALF_LIFE: TimeSpan = TimeSpan::from_millis(1_000);

/// The rate that each key counts for in addition, in requests a second, so
/// that keys without known load are spread evenly.
const BASE_KEY_RATE: f32 = 0.000_01;

/// Keys move with a busy adjacent key if they get at least this part of the
/// rate to move, or half of their range's average. Moving colder keys gains
/// nothing.
const COLD_FRACTION: f32 = 0.02;

/// A rate that differs from its average by this factor has changed, if either
/// is based on at least `MIN_CHANGED_REQUESTS` requests. Reports of every
/// 400 ms counted in rounds of 500 ms differ by less than this factor.
const CHANGED_FACTOR: f32 = 1.5;
const MIN_CHANGED_REQUESTS: f32 = 16.0;

/// A changed rate is kept apart until its average is this near, or both are
/// below `MIN_CHANGED_RATE`.
const SAME_FACTOR: f32 = 1.1;
const MIN_CHANGED_RATE: f32 = 1.0;

/// Keys with a lower rate are left out of the rates by key: an average never
/// becomes exactly zero.
const MIN_KEY_RATE: f32 = 0.01;

/// A key with more than this many times the rate to move is left out.
const HOT_FACTOR: f32 = 1.5;

/// The requests a second of each key.
#[derive(Clone, Debug)]
pub struct RangeLoad {
    rates: Vec<f32>,
    counted: Vec<u32>,
    since: LocalTime,
    /// The part of the rates that is based on counts, from 0 to 1. The rest is
    /// the zero at which they started.
    known: f32,
    /// The averages since the last sudden change of a key's rate, by position,
    /// until the averages in `rates` have followed.
    changed: FastMap<usize, f32>,
}

impl RangeLoad {
    /// Creates a table without load.
    #[must_use]
    pub fn open(now: LocalTime) -> Self {
        let (rates, counted) = (vec![0.0; KEYS], vec![0; KEYS]);
        Self {
            rates,
            counted,
            since: now,
            known: 0.0,
            changed: FastMap::default(),
        }
    }

    /// Records requests for a key.
    pub fn record(&mut self, slice: SliceIndex, requests: u32) {
        let counted = &mut self.counted[slice.position()];
        *counted = counted.saturating_add(requests);
    }

    /// Applies what was recorded since the last call to the rates.
    ///
    /// A planner that has just started knows no loads. Averaged with the
    /// initial zero, the first counts would make a full server look idle, and
    /// its keys would stay there. So the rates are corrected for the part that
    /// is known.
    pub fn decay(&mut self, now: LocalTime) {
        let elapsed = seconds(now.since(self.since));
        if elapsed <= 0.0 {
            return;
        }
        let factor = 0.5_f32.powf(elapsed / seconds(HALF_LIFE));
        self.known = 1.0 - (1.0 - self.known) * factor;
        let gain = (1.0 - factor) / self.known;
        self.decay_changed(elapsed, gain);
        let pairs = self.rates.iter_mut().zip(&mut self.counted);
        for (position, (rate, counted)) in pairs.enumerate() {
            #[expect(clippy::cast_precision_loss, reason = "small counts")]
            let new_rate = *counted as f32 / elapsed;
            *rate += gain * (new_rate - *rate);
            *counted = 0;
            if has_changed(*rate, new_rate, elapsed) {
                self.changed.entry(position).or_insert(new_rate);
            }
        }
        self.since = now;
    }

    /// Updates the averages of the keys whose rates have changed, and drops
    /// those that `rates` has reached.
    fn decay_changed(&mut self, elapsed: f32, gain: f32) {
        let (rates, counted) = (&self.rates, &self.counted);
        self.changed.retain(|position, rate| {
            #[expect(clippy::cast_precision_loss, reason = "small counts")]
            let new_rate = counted[*position] as f32 / elapsed;
            let gain =
                if has_changed(*rate, new_rate, elapsed) { 1.0 } else { gain };
            *rate += gain * (new_rate - *rate);
            let average = rates[*position];
            let (low, high) = (average.min(*rate), average.max(*rate));
            high > low * SAME_FACTOR && high >= MIN_CHANGED_RATE
        });
    }

    /// The requests a second of a range.
    #[must_use]
    pub fn load_of(&self, range: SliceRange) -> f32 {
        let (first, last) = (range.first.position(), range.last.position());
        let rates = &self.rates[first..=last];
        rates.iter().sum::<f32>() + BASE_KEY_RATE * count(rates.len())
    }

    /// The requests a second of each requested key of a range. Where a rate
    /// has changed suddenly, only the time since then counts: the average of a
    /// key with 270 requests a second would exceed 15 for four seconds after
    /// the last one.
    pub fn key_rates(
        &self,
        range: SliceRange,
    ) -> impl Iterator<Item = (SliceIndex, f32)> + '_ {
        let positions = range.first.position()..=range.last.position();
        positions.filter_map(|position| {
            let average = self.rates[position];
            let changed = self.changed.get(&position).copied();
            let rate = changed.unwrap_or(average);
            (rate >= MIN_KEY_RATE).then(|| (slice_at(position), rate))
        })
    }

    /// The dense part of a range with about `wanted` requests a second. `None`
    /// if its busiest key alone has far more.
    pub(super) fn dense_range(
        &self,
        range: SliceRange,
        wanted: f32,
    ) -> Option<SliceRange> {
        let (start, end) = (range.first.position(), range.last.position());
        let busiest = self.busiest(range);
        if self.rates[busiest] > wanted * HOT_FACTOR {
            return None;
        }
        let average = self.load_of(range) / count(end - start + 1);
        let cold =
            (wanted * COLD_FRACTION).min(average * count(GROWTH_STEP) / 2.0);
        let (first, last) =
            self.dense_part((start, end), busiest, cold, wanted);
        Some(keys(first, last))
    }

    /// The start of a range with about `wanted` requests a second. `None` if
    /// the range has less.
    pub(super) fn prefix(
        &self,
        range: SliceRange,
        wanted: f32,
    ) -> Option<SliceRange> {
        let (start, end) = (range.first.position(), range.last.position());
        let mut sum = 0.0;
        let last = (start..=end).find(|key| {
            sum += self.rates[*key];
            sum >= wanted
        });
        last.map(|last| keys(start, last))
    }

    /// The busiest key of a range, if it alone has more than `wanted`.
    pub(super) fn hot_key(
        &self,
        range: SliceRange,
        wanted: f32,
    ) -> Option<SliceRange> {
        let busiest = self.busiest(range);
        (self.rates[busiest] > wanted).then(|| keys(busiest, busiest))
    }

    /// The position of the busiest key of a range.
    fn busiest(&self, range: SliceRange) -> usize {
        let (start, end) = (range.first.position(), range.last.position());
        let rates = &self.rates;
        let busiest =
            (start..=end).max_by(|a, b| rates[*a].total_cmp(&rates[*b]));
        busiest.unwrap_or(start)
    }

    /// The keys around the busiest one that are not cold.
    fn dense_part(
        &self,
        (start, end): (usize, usize),
        busiest: usize,
        cold: f32,
        wanted: f32,
    ) -> (usize, usize) {
        let (mut first, mut last) = (busiest, busiest);
        let mut sum = self.rates[busiest];
        loop {
            let lower = first.saturating_sub(GROWTH_STEP).max(start);
            let upper = (last + GROWTH_STEP).min(end);
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

/// The range of keys between two positions.
fn keys(first: usize, last: usize) -> SliceRange {
    SliceRange { first: slice_at(first), last: slice_at(last) }
}

fn slice_at(position: usize) -> SliceIndex {
    SliceIndex::from(u16::try_from(position).unwrap_or(u16::MAX))
}

/// Whether the rate of a key differs from its average by more than noise.
fn has_changed(average: f32, rate: f32, elapsed: f32) -> bool {
    let (low, high) = (average.min(rate), average.max(rate));
    high > low * CHANGED_FACTOR && high * elapsed >= MIN_CHANGED_REQUESTS
}

pub(super) fn count(number: usize) -> f32 {
    #[expect(clippy::cast_precision_loss, reason = "a few thousand")]
    let number = number as f32;
    number
}

fn seconds(span: TimeSpan) -> f32 {
    span.to_std().as_secs_f32()
}

//! Which runs of keys move between servers, and when.
//!
//! The load: a few busy keys lie side by side and others become busy
//! within a second, while each key has one owner. A server that holds the
//! busy run is asked several times what it can do, and its neighbours are
//! idle. Moving keys costs the callers of these keys a short wait and
//! nothing to the others, so few busy keys are moved and many cold ones
//! are left where they are.
//!
//! Loads are kept by granule of [`GRANULE_SLICES`] keys, which bounds the
//! memory at 32 KiB a service whatever callers ask for; within a granule
//! the error is its whole load.

use goldcrestramp_types::{LocalTime, SliceIndex, SliceRange, TimeSpan};

/// Keys of one granule. A run of 60 busy keys is eight granules: enough to
/// spread it over eight servers.
pub const GRANULE_SLICES: u16 = 8;

const GRANULES: usize = 65_536 / GRANULE_SLICES as usize;

/// Half of what is known is replaced in this time: a run that became busy
/// shows within a second, the noise of ten requests does not.
const HALF_LIFE: TimeSpan = TimeSpan::from_millis(700);

/// What an unasked granule counts for, in requests a second, so that keys
/// of which nothing is known yet are dealt out evenly.
const RATE_FLOOR: f32 = 0.000_1;

/// A granule moves along with a busy neighbour if it has at least this
/// part of what is to move, or half of its run's average. Cold ones would
/// move for nothing: a third of all keys moved for 60 busy ones before.
const DENSE_PART: f32 = 0.02;

/// A dense part is moved if it has this part of what is to move; a run
/// that has more is moved whole before.
const DENSE_LEAST: f32 = 0.5;

/// Of a whole run the dense part alone is moved if it has this part of the
/// run's load: the cold rest stays.
const TRIMMED_LEAST: f32 = 0.8;

/// A move has to carry this part of what should move, or callers of these
/// keys wait for nothing.
const WORTH_PART: f32 = 0.1;

/// The figures that decide when keys move.
#[derive(Clone, Copy, Debug)]
pub struct SpreadSettings {
    /// A server is relieved when its use is this far above the mean.
    pub band: f32,
    /// Below this use of its slots a server is never relieved: its
    /// requests hardly wait.
    pub busy_from: f32,
    /// The most moves of one round.
    pub moves: usize,
    /// The most runs of a service: each is renewed on its own.
    pub runs_most: usize,
}

/// The requests a second of each granule.
#[derive(Clone, Debug)]
pub struct RangeLoad {
    rates: Vec<f32>,
    counted: Vec<u32>,
    since: LocalTime,
}

impl RangeLoad {
    /// Opens with no load known.
    #[must_use]
    pub fn open(now: LocalTime) -> Self {
        Self {
            rates: vec![0.0; GRANULES],
            counted: vec![0; GRANULES],
            since: now,
        }
    }

    /// The granule of a key.
    #[must_use]
    pub const fn granule(slice: SliceIndex) -> u16 {
        slice.get() / GRANULE_SLICES
    }

    /// Counts requests of a granule.
    pub fn count(&mut self, granule: u16, requests: u32) {
        if let Some(counted) = self.counted.get_mut(usize::from(granule)) {
            *counted += requests;
        }
    }

    /// Takes what was counted into the rates.
    pub fn settle(&mut self, now: LocalTime) {
        let passed = seconds(now.since(self.since));
        if passed <= 0.0 {
            return;
        }
        let kept = 0.5_f32.powf(passed / seconds(HALF_LIFE));
        for (rate, counted) in self.rates.iter_mut().zip(&mut self.counted) {
            #[expect(clippy::cast_precision_loss, reason = "small counts")]
            let fresh = *counted as f32 / passed;
            *rate = *rate * kept + fresh * (1.0 - kept);
            *counted = 0;
        }
        self.since = now;
    }

    /// The requests a second of a run.
    #[must_use]
    pub fn of(&self, range: SliceRange) -> f32 {
        let first = usize::from(Self::granule(range.first));
        let last = usize::from(Self::granule(range.last));
        self.rates[first..=last].iter().map(|rate| rate + RATE_FLOOR).sum()
    }

    /// The part of a run with about `wanted` requests a second; nothing if
    /// its busiest granule alone has far more.
    fn part(&self, range: SliceRange, wanted: f32) -> Option<SliceRange> {
        let begin = usize::from(Self::granule(range.first));
        let end = usize::from(Self::granule(range.last));
        let rates = &self.rates;
        let busiest =
            (begin..=end).max_by(|a, b| rates[*a].total_cmp(&rates[*b]))?;
        if rates[busiest] > wanted * 1.5 {
            return None;
        }
        let average = self.of(range) / count(end - begin + 1);
        let cold = (wanted * DENSE_PART).min(average / 2.0);
        let (first, last) =
            self.dense_part((begin, end), busiest, cold, wanted);
        Some(within(range, first, last))
    }

    /// The begin of a run with about `wanted` requests a second; nothing
    /// if the run has less.
    fn piece(&self, range: SliceRange, wanted: f32) -> Option<SliceRange> {
        let begin = usize::from(Self::granule(range.first));
        let end = usize::from(Self::granule(range.last));
        let mut sum = 0.0;
        let last = (begin..=end).find(|granule| {
            sum += self.rates[*granule];
            sum >= wanted
        });
        last.map(|last| within(range, begin, last))
    }

    /// The granules around the busiest one that are not cold.
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
            let left = (first > begin).then(|| self.rates[first - 1]);
            let right = (last < end).then(|| self.rates[last + 1]);
            let (left, right) = (left.unwrap_or(-1.0), right.unwrap_or(-1.0));
            let next = left.max(right);
            if next < cold || sum + next > wanted {
                return (first, last);
            }
            sum += next;
            if left >= right {
                first -= 1;
            } else {
                last += 1;
            }
        }
    }
}

/// The keys of some granules that lie in a run.
fn within(range: SliceRange, first: usize, last: usize) -> SliceRange {
    let first = edge(first, 0).max(range.first);
    let last = edge(last, GRANULE_SLICES - 1).min(range.last);
    SliceRange { first, last }
}

/// A key of a granule.
fn edge(granule: usize, offset: u16) -> SliceIndex {
    let granule = u16::try_from(granule).unwrap_or(u16::MAX);
    granule.saturating_mul(GRANULE_SLICES).saturating_add(offset).into()
}

fn count(number: usize) -> f32 {
    #[expect(clippy::cast_precision_loss, reason = "a few thousand")]
    let number = number as f32;
    number
}

fn seconds(span: TimeSpan) -> f32 {
    span.to_std().as_secs_f32()
}

/// A server that may hold keys.
#[derive(Clone, Copy, Debug)]
pub struct PlaceLoad {
    /// The requests that it runs at once.
    pub slots: u32,
    /// The usual time of an answer, in seconds.
    pub answer_s: f32,
    /// Whether it may be given keys.
    pub open: bool,
}

/// A run of keys with the position of its holder.
#[derive(Clone, Copy, Debug)]
pub struct PlacedRun {
    /// The keys.
    pub range: SliceRange,
    /// The holder's position among the places.
    pub place: usize,
    /// Whether it may move now.
    pub movable: bool,
}

/// A move from one place to another.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct RangeMove {
    /// The keys; they lie in one run.
    pub range: SliceRange,
    /// The position of the new holder.
    pub target: usize,
}

/// The use of each place: slots busy for each slot it has.
#[must_use]
pub fn place_uses(
    runs: &[PlacedRun],
    places: &[PlaceLoad],
    load: &RangeLoad,
) -> Vec<f32> {
    let mut uses = vec![0.0; places.len()];
    for run in runs {
        uses[run.place] += places[run.place].use_by(load.of(run.range));
    }
    uses
}

impl PlaceLoad {
    /// The use that so many requests a second make.
    fn use_by(&self, rate: f32) -> f32 {
        #[expect(clippy::cast_precision_loss, reason = "a few slots")]
        let slots = self.slots.max(1) as f32;
        rate * self.answer_s / slots
    }

    /// The requests a second that make such a use.
    fn rate_by(&self, used: f32) -> f32 {
        used / self.use_by(1.0).max(f32::MIN_POSITIVE)
    }
}

/// The open place that is used least, for keys that have no holder.
///
/// `given` counts what was placed in this round already.
#[must_use]
pub fn lightest_place(
    runs: &[PlacedRun],
    places: &[PlaceLoad],
    load: &RangeLoad,
    given: &mut Vec<(usize, f32)>,
    range: SliceRange,
) -> Option<usize> {
    let mut uses = place_uses(runs, places, load);
    for (place, rate) in given.iter() {
        uses[*place] += places[*place].use_by(*rate);
    }
    let rate = load.of(range);
    let after = |place: usize| uses[place] + places[place].use_by(rate);
    let chosen = (0..places.len())
        .filter(|place| places[*place].open)
        .min_by(|a, b| after(*a).total_cmp(&after(*b)))?;
    given.push((chosen, rate));
    Some(chosen)
}

/// The moves to begin now, most useful first.
#[must_use]
pub fn spread_moves(
    runs: &[PlacedRun],
    places: &[PlaceLoad],
    load: &RangeLoad,
    settings: &SpreadSettings,
) -> Vec<RangeMove> {
    let mut round = SpreadRound::new(runs, places, load, settings);
    let mut moves = Vec::new();
    while moves.len() < settings.moves {
        let Some(chosen) = round.next_move() else { break };
        moves.push(chosen);
    }
    moves
}

/// The loads while moves are chosen.
struct SpreadRound<'a> {
    runs: Vec<PlacedRun>,
    places: &'a [PlaceLoad],
    load: &'a RangeLoad,
    settings: &'a SpreadSettings,
    uses: Vec<f32>,
    mean: f32,
    /// Places that have nothing to give in this round.
    spent: Vec<bool>,
}

impl<'a> SpreadRound<'a> {
    fn new(
        runs: &[PlacedRun],
        places: &'a [PlaceLoad],
        load: &'a RangeLoad,
        settings: &'a SpreadSettings,
    ) -> Self {
        let uses = place_uses(runs, places, load);
        let open = places.iter().filter(|place| place.open).count();
        #[expect(clippy::cast_precision_loss, reason = "a few servers")]
        let mean = uses.iter().sum::<f32>() / open.max(1) as f32;
        Self {
            runs: runs.to_vec(),
            places,
            load,
            settings,
            uses,
            mean,
            spent: vec![false; places.len()],
        }
    }

    fn next_move(&mut self) -> Option<RangeMove> {
        loop {
            let source = self.fullest()?;
            let target = self.lightest()?;
            if source == target || !self.is_worth_it(source, target) {
                return None;
            }
            if let Some(chosen) = self.move_between(source, target) {
                return Some(chosen);
            }
            self.spent[source] = true;
        }
    }

    fn fullest(&self) -> Option<usize> {
        (0..self.places.len())
            .filter(|place| !self.spent[*place])
            .max_by(|a, b| self.uses[*a].total_cmp(&self.uses[*b]))
    }

    fn lightest(&self) -> Option<usize> {
        (0..self.places.len())
            .filter(|place| self.places[*place].open)
            .min_by(|a, b| self.uses[*a].total_cmp(&self.uses[*b]))
    }

    /// A server that has joined gets its part also when nobody is busy; a
    /// busy one is relieved when others are clearly less so.
    fn is_worth_it(&self, source: usize, target: usize) -> bool {
        let joined = self.uses[target] < self.mean / 4.0
            && self.uses[source] > self.mean / 2.0;
        let busy = self.uses[source] > self.settings.busy_from
            && self.uses[source] > self.mean + self.settings.band
            && self.uses[target] < self.mean;
        joined || busy
    }

    fn move_between(
        &mut self,
        source: usize,
        target: usize,
    ) -> Option<RangeMove> {
        let gap = (self.uses[source] - self.uses[target]) / 2.0;
        let surplus = (self.uses[source] - self.mean).max(gap / 2.0);
        let wanted = self.places[source].rate_by(gap.min(surplus));
        let (position, range) = self.best_part(source, wanted)?;
        let rate = self.load.of(range);
        self.uses[source] -= self.places[source].use_by(rate);
        self.uses[target] += self.places[target].use_by(rate);
        self.cut(position, range, target);
        Some(RangeMove { range, target })
    }

    /// The part to move: a dense one of the busiest run, as it moves much
    /// load with few keys; else a whole run that fits; else a piece of the
    /// busiest run, whose load lies all over it.
    fn best_part(
        &self,
        source: usize,
        wanted: f32,
    ) -> Option<(usize, SliceRange)> {
        let rated = || {
            let runs = self.runs.iter().enumerate();
            runs.filter(|(_, run)| run.place == source && run.movable)
                .map(|(position, run)| (position, self.load.of(run.range)))
        };
        let busiest = rated().max_by(|a, b| a.1.total_cmp(&b.1))?.0;
        let range = self.runs[busiest].range;
        let least = wanted * WORTH_PART;
        let room = self.runs.len() + 2 <= self.settings.runs_most;
        let dense = self
            .load
            .part(range, wanted)
            .filter(|part| room && self.load.of(*part) > wanted * DENSE_LEAST);
        if let Some(part) = dense {
            return Some((busiest, part));
        }
        let whole = rated()
            .filter(|(_, rate)| *rate <= wanted && *rate > least)
            .max_by(|a, b| a.1.total_cmp(&b.1));
        if let Some((position, rate)) = whole {
            let range = self.runs[position].range;
            let trimmed = self.load.part(range, wanted).filter(|part| {
                room && self.load.of(*part) > rate * TRIMMED_LEAST
            });
            return Some((position, trimmed.unwrap_or(range)));
        }
        let piece = self.load.piece(range, wanted).filter(|_| room)?;
        Some((busiest, piece))
    }

    /// Notes a move among the runs.
    fn cut(&mut self, position: usize, range: SliceRange, target: usize) {
        let whole = self.runs[position];
        self.runs[position] =
            PlacedRun { range, place: target, movable: false };
        if whole.range.first < range.first {
            let last = SliceIndex::from(range.first.get() - 1);
            let first = whole.range.first;
            let range = SliceRange { first, last };
            self.runs.push(PlacedRun { range, ..whole });
        }
        if range.last < whole.range.last {
            let first = SliceIndex::from(range.last.get() + 1);
            let last = whole.range.last;
            let range = SliceRange { first, last };
            self.runs.push(PlacedRun { range, ..whole });
        }
    }
}

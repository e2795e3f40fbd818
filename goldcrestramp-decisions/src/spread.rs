//! Which runs of keys move between servers, and when.
//!
//! The load: a few busy keys lie side by side and others become busy
//! within a second, while each key has one owner. A server that holds the
//! busy run is asked several times what it can do, and its neighbours are
//! idle. Moving keys costs the callers of these keys a short wait and
//! nothing to the others, so few busy keys are moved and many cold ones
//! are left where they are.
//!
//! Loads are kept key by key: of 60 busy neighbours the busiest eight have
//! half of the requests, more than one server can do. That takes 512 KiB a
//! service on the planning VM, whatever callers ask for.

use goldcrestramp_types::{LocalTime, SliceIndex, SliceRange, TimeSpan};

use crate::queueing::{DelayCurve, bisect, slot_count};

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
const WORTH_PART: f32 = 0.03;

/// A move has to save this part of what the moved keys have at a server:
/// their callers wait for about a tenth of a second while it lasts, and the
/// load of single keys is not known better.
const GAIN_PART: f32 = 0.1;

/// What a moved key costs, in the unit of what a move saves: of two parts
/// that save nearly as much the one with fewer keys moves.
const KEY_COST: f32 = 0.001;

/// A server that has joined is given keys while it has less than this part
/// of the mean use, by servers that have more than the second part.
const JOINED_PART: f32 = 0.25;
const GIVING_PART: f32 = 0.5;

/// The figures that decide when keys move.
#[derive(Clone, Copy, Debug)]
pub struct SpreadSettings {
    /// A move has to save the callers so much: requests that are at the
    /// servers at any moment.
    pub gain_least: f32,
    /// The most moves of one round.
    pub moves: usize,
    /// The most runs of a service: each is renewed on its own.
    pub runs_most: usize,
}

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
    pub fn count(&mut self, slice: SliceIndex, requests: u32) {
        self.counted[slice.position()] += requests;
    }

    /// Takes what was counted into the rates.
    ///
    /// A planner that has just begun knows nothing. Blended with the zero
    /// that it began with, the first counts made a full server look idle
    /// for two seconds, and its keys stayed with it.
    pub fn settle(&mut self, now: LocalTime) {
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
    pub fn of(&self, range: SliceRange) -> f32 {
        let (first, last) = (range.first.position(), range.last.position());
        let rates = &self.rates[first..=last];
        rates.iter().sum::<f32>() + RATE_FLOOR * count(rates.len())
    }

    /// The part of a run with about `wanted` requests a second; nothing if
    /// its busiest key alone has far more.
    fn part(&self, range: SliceRange, wanted: f32) -> Option<SliceRange> {
        let (begin, end) = (range.first.position(), range.last.position());
        let rates = &self.rates;
        let busiest =
            (begin..=end).max_by(|a, b| rates[*a].total_cmp(&rates[*b]))?;
        if rates[busiest] > wanted * 1.5 {
            return None;
        }
        let average = self.of(range) / count(end - begin + 1);
        let cold = (wanted * DENSE_PART).min(average * count(GROWTH) / 2.0);
        let (first, last) =
            self.dense_part((begin, end), busiest, cold, wanted);
        Some(keys(first, last))
    }

    /// The begin of a run with about `wanted` requests a second; nothing
    /// if the run has less.
    fn piece(&self, range: SliceRange, wanted: f32) -> Option<SliceRange> {
        let (begin, end) = (range.first.position(), range.last.position());
        let mut sum = 0.0;
        let last = (begin..=end).find(|key| {
            sum += self.rates[*key];
            sum >= wanted
        });
        last.map(|last| keys(begin, last))
    }

    /// The busiest key of a run, if it alone has more than is wanted.
    fn hot_key(&self, range: SliceRange, wanted: f32) -> Option<SliceRange> {
        let (begin, end) = (range.first.position(), range.last.position());
        let rates = &self.rates;
        let busiest =
            (begin..=end).max_by(|a, b| rates[*a].total_cmp(&rates[*b]))?;
        (rates[busiest] > wanted).then(|| keys(busiest, busiest))
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
    /// Its work on a request, in seconds.
    pub work_s: f32,
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
        rate * self.work_s / slot_count(self.slots)
    }

    /// The requests a second that make such a use.
    fn rate_by(&self, used: f32) -> f32 {
        used / self.use_by(1.0).max(f32::MIN_POSITIVE)
    }

    const fn delay(&self) -> DelayCurve {
        DelayCurve { slots: self.slots, work_s: self.work_s }
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
    let cost = |place: usize| {
        let to = &places[place];
        to.delay().marginal(uses[place] + to.use_by(rate))
    };
    let chosen = (0..places.len())
        .filter(|place| places[*place].open)
        .min_by(|a, b| cost(*a).total_cmp(&cost(*b)))?;
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

/// What one more request costs at each place if all of them are used so
/// that it costs the same everywhere, in seconds.
fn common_level(places: &[PlaceLoad], uses: &[f32]) -> f32 {
    /// More than a request costs at a server that is asked for thrice what
    /// it can do.
    const LEVEL_MOST: f32 = 32.0;
    let rates = places.iter().zip(uses);
    let asked: f32 = rates.map(|(place, used)| place.rate_by(*used)).sum();
    let open = || places.iter().filter(|place| place.open);
    bisect(LEVEL_MOST, |level| {
        let served =
            open().map(|place| place.rate_by(place.delay().use_at(level)));
        served.sum::<f32>() < asked
    })
}

/// The loads while moves are chosen.
struct SpreadRound<'a> {
    runs: Vec<PlacedRun>,
    places: &'a [PlaceLoad],
    load: &'a RangeLoad,
    settings: &'a SpreadSettings,
    uses: Vec<f32>,
    mean: f32,
    /// What one more request would cost anywhere if loads could be dealt
    /// out as finely as one likes, in seconds.
    level: f32,
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
        let level = common_level(places, &uses);
        Self {
            runs: runs.to_vec(),
            places,
            load,
            settings,
            uses,
            mean,
            level,
            spent: vec![false; places.len()],
        }
    }

    fn next_move(&mut self) -> Option<RangeMove> {
        loop {
            let source = self.fullest()?;
            if let Some(chosen) = self.move_from(source) {
                return Some(chosen);
            }
            self.spent[source] = true;
        }
    }

    fn marginal(&self, place: usize) -> f32 {
        self.places[place].delay().marginal(self.uses[place])
    }

    /// The place whose callers wait most for one another.
    fn fullest(&self) -> Option<usize> {
        (0..self.places.len())
            .filter(|place| !self.spent[*place])
            .max_by(|a, b| self.marginal(*a).total_cmp(&self.marginal(*b)))
    }

    fn lightest(&self) -> Option<usize> {
        (0..self.places.len())
            .filter(|place| self.places[*place].open)
            .min_by(|a, b| self.marginal(*a).total_cmp(&self.marginal(*b)))
    }

    /// Moves the part of the source that saves callers most.
    fn move_from(&mut self, source: usize) -> Option<RangeMove> {
        let target = self.lightest().filter(|target| *target != source)?;
        let wanted = self.wanted(source, target);
        let parts = self.parts(source, wanted);
        let (_gain, position, range, target) = parts
            .into_iter()
            .filter_map(|(position, range)| {
                let (gain, target) = self.best_target(source, range)?;
                Some((gain, position, range, target))
            })
            .max_by(|a, b| a.0.total_cmp(&b.0))?;
        let rate = self.load.of(range);
        self.uses[source] -= self.places[source].use_by(rate);
        self.uses[target] += self.places[target].use_by(rate);
        self.cut(position, range, target);
        Some(RangeMove { range, target })
    }

    /// The requests a second after whose move one more costs as much at
    /// either place; no more than the target would have if all were dealt
    /// out evenly, or it would have to give others away at once.
    fn wanted(&self, source: usize, target: usize) -> f32 {
        let (from, to) = (&self.places[source], &self.places[target]);
        let room = to.delay().use_at(self.level) - self.uses[target];
        let most = from.rate_by(self.uses[source]);
        bisect(most.min(to.rate_by(room)), |rate| {
            let left = self.uses[source] - from.use_by(rate);
            let grown = self.uses[target] + to.use_by(rate);
            from.delay().marginal(left) > to.delay().marginal(grown)
        })
    }

    /// The place where a part costs least, with what its move saves;
    /// nothing if that is not worth it. A key that alone is asked for more
    /// than any server can do stays where it is, as it is no better off
    /// elsewhere.
    fn best_target(
        &self,
        source: usize,
        range: SliceRange,
    ) -> Option<(f32, usize)> {
        let rate = self.load.of(range);
        let open = |place: &usize| self.places[*place].open;
        let others = (0..self.places.len()).filter(|place| *place != source);
        let costs = others.filter(open).map(|place| {
            let (to, used) = (&self.places[place], self.uses[place]);
            let grown = used + to.use_by(rate);
            (to.delay().cost(grown) - to.delay().cost(used), place)
        });
        let (cost, target) = costs.min_by(|a, b| a.0.total_cmp(&b.0))?;
        let from = &self.places[source];
        let used = self.uses[source];
        let left = (used - from.use_by(rate)).max(0.0);
        let saved = from.delay().cost(used) - from.delay().cost(left) - cost;
        let gain = saved - KEY_COST * count(range.slices() as usize);
        let least = GAIN_PART * rate * from.work_s;
        let worth_it = gain > least.max(self.settings.gain_least);
        let joined = saved > 0.0 && self.has_joined(source, target);
        (worth_it || joined).then_some((gain, target))
    }

    /// Whether the target has joined and the source has keys to spare: it
    /// gets its part also when nobody is busy.
    fn has_joined(&self, source: usize, target: usize) -> bool {
        self.uses[target] < self.mean * JOINED_PART
            && self.uses[source] > self.mean * GIVING_PART
    }

    /// The parts that may move, best first: a dense one of the busiest
    /// run, as it moves much load with few keys; its busiest key alone;
    /// whole runs that fit; a piece of the busiest run, whose load then
    /// lies all over it.
    fn parts(&self, source: usize, wanted: f32) -> Vec<(usize, SliceRange)> {
        let own = self.runs.iter().enumerate();
        let mut rated: Vec<(usize, f32)> = own
            .filter(|(_, run)| run.place == source && run.movable)
            .map(|(position, run)| (position, self.load.of(run.range)))
            .collect();
        rated.sort_by(|a, b| b.1.total_cmp(&a.1));
        let Some((busiest, _most)) = rated.first().copied() else {
            return Vec::new();
        };
        let range = self.runs[busiest].range;
        let room = self.runs.len() + 2 <= self.settings.runs_most;
        let mut parts = Vec::new();
        if room {
            let dense = self.load.part(range, wanted);
            let enough =
                |part: &SliceRange| self.load.of(*part) > wanted * DENSE_LEAST;
            parts.extend(dense.filter(enough).map(|part| (busiest, part)));
            parts.extend(
                self.load.hot_key(range, wanted).map(|part| (busiest, part)),
            );
        }
        let least = wanted * WORTH_PART;
        for (position, rate) in &rated {
            if *rate <= wanted && *rate > least {
                parts.push((*position, self.trimmed(*position, *rate, room)));
            }
        }
        let piece = self.load.piece(range, wanted).filter(|_| room);
        parts.extend(piece.map(|piece| (busiest, piece)));
        parts
    }

    /// A run without its cold ends, if what is left has nearly all of its
    /// load.
    fn trimmed(&self, position: usize, rate: f32, room: bool) -> SliceRange {
        let range = self.runs[position].range;
        let dense = self
            .load
            .part(range, rate * 2.0)
            .filter(|part| room && self.load.of(*part) > rate * TRIMMED_LEAST);
        dense.unwrap_or(range)
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

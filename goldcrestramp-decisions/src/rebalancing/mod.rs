//! Which runs of keys move between servers, and when.
//!
//! The load: a few busy keys lie side by side and others become busy
//! within a second, while each key has one owner. A server that holds the
//! busy run is asked several times what it can do, and its neighbours are
//! idle. Moving keys costs the callers of these keys a short wait and
//! nothing to the others, so few busy keys are moved and many cold ones
//! are left where they are.

mod load;
mod place;

use std::cell::OnceCell;

use goldcrestramp_types::{SliceIndex, SliceRange};

use crate::{
    queueing::bisect,
    rebalancing::{load::count, place::common_level},
};

pub use self::{
    load::RangeLoad,
    place::{
        PlacedRange, TargetLoad, least_loaded_target, target_utilization,
    },
};

/// A dense part is moved if it has this part of what is to move; a run
/// that has more is moved whole before.
const MIN_DENSE_FRACTION: f32 = 0.5;

/// Of a whole run the dense part alone is moved if it has this part of the
/// run's load: the cold rest stays.
const MIN_TRIMMED_FRACTION: f32 = 0.8;

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

/// What a move has to save at the least, in requests that wait at any
/// moment: less is within the noise of what a second counts.
const MIN_GAIN: f32 = 0.7;

/// One move a round for so many servers, but no fewer than the second
/// figure.
const SERVERS_A_MOVE: usize = 16;
const MIN_MOVES: usize = 12;

/// Runs of a service: each is a grant that is renewed on its own.
const MAX_RANGES: usize = 600;

/// The figures that decide when keys move.
#[derive(Clone, Copy, Debug)]
pub struct RebalanceSettings {
    /// A move has to save the callers so much: requests that are at the
    /// servers at any moment.
    pub min_gain: f32,
    /// The most moves of one round.
    pub max_moves: usize,
    /// The most runs of a service: each is renewed on its own.
    pub max_ranges: usize,
}

impl RebalanceSettings {
    /// The figures for a service with so many servers.
    ///
    /// A run that gets a third of all requests has to be given to several
    /// servers within two seconds. But all VMs are told of each move, twice:
    /// with many moves a round, tables fill the narrow links of a fleet, and
    /// configurations come into force late.
    #[must_use]
    pub const fn for_servers(servers: usize) -> Self {
        let part = servers / SERVERS_A_MOVE;
        let max_moves = if part > MIN_MOVES { part } else { MIN_MOVES };
        Self { min_gain: MIN_GAIN, max_moves, max_ranges: MAX_RANGES }
    }
}

/// A move from one place to another.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct RangeMove {
    /// The keys; they lie in one run.
    pub range: SliceRange,
    /// The position of the new holder.
    pub target: usize,
}

/// The moves to begin now, most useful first.
#[must_use]
pub fn rebalancing_moves(
    runs: &[PlacedRange],
    places: &[TargetLoad],
    load: &RangeLoad,
    settings: &RebalanceSettings,
) -> Vec<RangeMove> {
    let mut round = RebalanceRound::new(runs, places, load, settings);
    let mut moves = Vec::new();
    while moves.len() < settings.max_moves {
        let Some(chosen) = round.next_move() else { break };
        moves.push(chosen);
    }
    moves
}

/// The loads while moves are chosen.
struct RebalanceRound<'a> {
    runs: Vec<PlacedRange>,
    places: &'a [TargetLoad],
    load: &'a RangeLoad,
    settings: &'a RebalanceSettings,
    uses: Vec<f32>,
    /// What one more request costs at each place, in seconds.
    marginals: Vec<f32>,
    mean: f32,
    /// What one more request would cost anywhere if loads could be dealt
    /// out as finely as one likes, in seconds.
    level: OnceCell<f32>,
    /// Places that have nothing to give in this round.
    spent: Vec<bool>,
}

impl<'a> RebalanceRound<'a> {
    fn new(
        runs: &[PlacedRange],
        places: &'a [TargetLoad],
        load: &'a RangeLoad,
        settings: &'a RebalanceSettings,
    ) -> Self {
        let uses = target_utilization(runs, places, load);
        let open = places.iter().filter(|place| place.accepts_keys).count();
        #[expect(clippy::cast_precision_loss, reason = "a few servers")]
        let mean = uses.iter().sum::<f32>() / open.max(1) as f32;
        let pairs = places.iter().zip(&uses);
        let marginals = pairs.map(|(p, used)| p.delay().marginal(*used));
        Self {
            marginals: marginals.collect(),
            runs: runs.to_vec(),
            places,
            load,
            settings,
            uses,
            mean,
            level: OnceCell::new(),
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

    /// Notes that a place gets so many more requests a second.
    fn add_rate(&mut self, place: usize, rate: f32) {
        let load = &self.places[place];
        self.uses[place] += load.use_by(rate);
        self.marginals[place] = load.delay().marginal(self.uses[place]);
    }

    /// The place whose callers wait most for one another.
    fn fullest(&self) -> Option<usize> {
        (0..self.places.len())
            .filter(|place| !self.spent[*place])
            .max_by(|a, b| self.marginals[*a].total_cmp(&self.marginals[*b]))
    }

    fn lightest(&self) -> Option<usize> {
        (0..self.places.len())
            .filter(|place| self.places[*place].accepts_keys)
            .min_by(|a, b| self.marginals[*a].total_cmp(&self.marginals[*b]))
    }

    /// Moves the part of the source that saves callers most.
    fn move_from(&mut self, source: usize) -> Option<RangeMove> {
        let target = self.lightest().filter(|target| *target != source)?;
        if !self.may_gain(source, target) {
            return None;
        }
        let wanted = self.wanted(source, target);
        let parts = self.parts(source, wanted);
        let (_gain, position, range, target) = parts
            .into_iter()
            .filter_map(|(position, range)| {
                let (gain, target) = self.best_target(source, range)?;
                Some((gain, position, range, target))
            })
            .max_by(|a, b| a.0.total_cmp(&b.0))?;
        let rate = self.load.load_of(range);
        self.add_rate(source, -rate);
        self.add_rate(target, rate);
        self.cut(position, range, target);
        Some(RangeMove { range, target })
    }

    /// Whether any move from the source could be worth it, if the target is
    /// the lightest place: what a request costs rises with use, so none
    /// saves more than the difference now. Most servers of a fleet that is
    /// balanced are done with here, and their parts are not weighed.
    fn may_gain(&self, source: usize, target: usize) -> bool {
        let rate = self.places[source].rate_by(self.uses[source]);
        let most = rate * (self.marginals[source] - self.marginals[target]);
        let mut places = 0..self.places.len();
        most > self.settings.min_gain
            || places.any(|place| self.has_joined(source, place))
    }

    /// The requests a second after whose move one more costs as much at
    /// either place; no more than the target would have if all were dealt
    /// out evenly, or it would have to give others away at once.
    fn wanted(&self, source: usize, target: usize) -> f32 {
        let (from, to) = (&self.places[source], &self.places[target]);
        let level = || common_level(self.places, &self.uses);
        let level = *self.level.get_or_init(level);
        let room = to.delay().use_at(level) - self.uses[target];
        let room = to.rate_by(room.max(0.0));
        let most = from.rate_by(self.uses[source]);
        bisect(most.min(room), |rate| {
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
        let rate = self.load.load_of(range);
        let open = |place: &usize| self.places[*place].accepts_keys;
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
        let worth_it = gain > least.max(self.settings.min_gain);
        let joined = saved > 0.0 && self.has_joined(source, target);
        (worth_it || joined).then_some((gain, target))
    }

    /// Whether the target has joined and the source has keys to spare: it
    /// gets its part also when nobody is busy.
    fn has_joined(&self, source: usize, target: usize) -> bool {
        self.places[target].accepts_keys
            && self.uses[target] < self.mean * JOINED_PART
            && self.uses[source] > self.mean * GIVING_PART
    }

    /// The parts that may move, best first: a dense one of the busiest
    /// run, as it moves much load with few keys; its busiest key alone;
    /// whole runs that fit; a piece of the busiest run, whose load then
    /// lies all over it.
    fn parts(&self, source: usize, wanted: f32) -> Vec<(usize, SliceRange)> {
        let own = self.runs.iter().enumerate();
        let mut rated: Vec<(usize, f32)> = own
            .filter(|(_, run)| run.target == source && run.movable)
            .map(|(position, run)| (position, self.load.load_of(run.range)))
            .collect();
        rated.sort_by(|a, b| b.1.total_cmp(&a.1));
        let Some((busiest, _most)) = rated.first().copied() else {
            return Vec::new();
        };
        let range = self.runs[busiest].range;
        let room = self.runs.len() + 2 <= self.settings.max_ranges;
        let mut parts = Vec::new();
        if room {
            let dense = self.load.part(range, wanted);
            let enough = |part: &SliceRange| {
                self.load.load_of(*part) > wanted * MIN_DENSE_FRACTION
            };
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
        let dense = self.load.part(range, rate * 2.0).filter(|part| {
            room && self.load.load_of(*part) > rate * MIN_TRIMMED_FRACTION
        });
        dense.unwrap_or(range)
    }

    /// Notes a move among the runs.
    fn cut(&mut self, position: usize, range: SliceRange, target: usize) {
        let whole = self.runs[position];
        self.runs[position] = PlacedRange { range, target, movable: false };
        if whole.range.first < range.first {
            let last = SliceIndex::from(range.first.get() - 1);
            let first = whole.range.first;
            let range = SliceRange { first, last };
            self.runs.push(PlacedRange { range, ..whole });
        }
        if range.last < whole.range.last {
            let first = SliceIndex::from(range.last.get() + 1);
            let last = whole.range.last;
            let range = SliceRange { first, last };
            self.runs.push(PlacedRange { range, ..whole });
        }
    }
}

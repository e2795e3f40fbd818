//! Decides which ranges of keys move between servers, and when.
//!
//! Each key has one owner, a few busy adjacent keys may get most requests, and
//! other keys become busy within a second. Then the server that holds the busy
//! range gets several times the requests that it can handle, while other
//! servers are idle. Moving keys makes the callers of these keys wait for a
//! short time and costs other callers nothing. So few busy keys are moved, and
//! many cold ones stay where they are.

mod load;
mod target;

use std::cell::OnceCell;

use goldcrestramp_types::{SliceIndex, SliceRange};

use crate::{
    queueing::bisect,
    rebalancing::{load::count, target::common_marginal},
};

pub use self::{
    load::RangeLoad,
    target::{
        PlacedRange, TargetLoad, least_loaded_target, target_utilization,
    },
};

/// A dense part is moved if it has this part of the rate to move. A range that
/// has more is moved completely instead.
const MIN_DENSE_FRACTION: f32 = 0.5;

/// Of a complete range only the dense part is moved if it has this part of the
/// range's load: the cold rest stays.
const MIN_TRIMMED_FRACTION: f32 = 0.8;

/// The minimum part of the rate to move that a move must have, or callers of
/// these keys would wait for nothing.
const MIN_MOVE_FRACTION: f32 = 0.03;

/// The part of the moved keys' cost at a server that a move must save: their
/// callers wait for about a tenth of a second during the move, and the loads
/// of single keys aren't known more exactly.
const MIN_GAIN_FRACTION: f32 = 0.1;

/// The cost of a moved key, in the unit of the saving: of two parts that save
/// nearly as much, the one with fewer keys moves.
const KEY_COST: f32 = 0.001;

/// A server that has joined is given keys while its utilization is below
/// `JOINED_FRACTION` of the mean, by servers above `GIVING_FRACTION` of it.
const JOINED_FRACTION: f32 = 0.25;
const GIVING_FRACTION: f32 = 0.5;

/// The minimum saving of a move, as the mean number of requests that wait.
/// Less is within the noise of the counts of a second.
const MIN_GAIN: f32 = 0.7;

/// A round has one move for this many servers, but at least `MIN_MOVES`.
const SERVERS_PER_MOVE: usize = 16;
const MIN_MOVES: usize = 12;

/// The maximum number of ranges of a service: each is a grant that is renewed
/// on its own.
const MAX_RANGES: usize = 600;

/// Settings that decide when keys move.
#[derive(Clone, Copy, Debug)]
pub struct RebalanceSettings {
    /// The minimum saving of a move, as the mean number of requests that are
    /// at the servers.
    pub min_gain: f32,
    /// The maximum number of moves in a round.
    pub max_moves: usize,
    /// The maximum number of ranges of a service: each is renewed on its own.
    pub max_ranges: usize,
}

impl RebalanceSettings {
    /// Settings for a service with `servers` servers.
    ///
    /// A range that gets a third of all requests must be spread over several
    /// servers within two seconds. But each move is sent to all VMs twice:
    /// with many moves a round, tables fill the narrow links of a fleet, and
    /// configurations come into force late.
    #[must_use]
    pub const fn for_servers(servers: usize) -> Self {
        let part = servers / SERVERS_PER_MOVE;
        let max_moves = if part > MIN_MOVES { part } else { MIN_MOVES };
        Self { min_gain: MIN_GAIN, max_moves, max_ranges: MAX_RANGES }
    }
}

/// A move from one server to another.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct RangeMove {
    /// The keys to move. They are part of one range.
    pub range: SliceRange,
    /// The position of the new holder.
    pub target: usize,
}

/// The moves to start now, most useful first.
#[must_use]
pub fn rebalancing_moves(
    ranges: &[PlacedRange],
    targets: &[TargetLoad],
    load: &RangeLoad,
    settings: &RebalanceSettings,
) -> Vec<RangeMove> {
    let mut round = RebalanceRound::new(ranges, targets, load, settings);
    let mut moves = Vec::new();
    while moves.len() < settings.max_moves {
        let Some(chosen) = round.next_move() else { break };
        moves.push(chosen);
    }
    moves
}

/// The loads while moves are chosen.
struct RebalanceRound<'a> {
    ranges: Vec<PlacedRange>,
    targets: &'a [TargetLoad],
    load: &'a RangeLoad,
    settings: &'a RebalanceSettings,
    utilizations: Vec<f32>,
    /// The marginal cost at each target: what one more request costs, in
    /// seconds.
    marginals: Vec<f32>,
    mean: f32,
    /// The marginal cost if loads could be spread in arbitrarily fine parts,
    /// in seconds. It is then the same at all targets.
    level: OnceCell<f32>,
    /// Targets that have no worthwhile move left in this round.
    exhausted: Vec<bool>,
}

impl<'a> RebalanceRound<'a> {
    fn new(
        ranges: &[PlacedRange],
        targets: &'a [TargetLoad],
        load: &'a RangeLoad,
        settings: &'a RebalanceSettings,
    ) -> Self {
        let utilizations = target_utilization(ranges, targets, load);
        let accepting =
            targets.iter().filter(|target| target.accepts_keys).count();
        #[expect(clippy::cast_precision_loss, reason = "a few servers")]
        let mean = utilizations.iter().sum::<f32>() / accepting.max(1) as f32;
        let pairs = targets.iter().zip(&utilizations);
        let marginals =
            pairs.map(|(target, used)| target.delay().marginal(*used));
        Self {
            marginals: marginals.collect(),
            ranges: ranges.to_vec(),
            targets,
            load,
            settings,
            utilizations,
            mean,
            level: OnceCell::new(),
            exhausted: vec![false; targets.len()],
        }
    }

    fn next_move(&mut self) -> Option<RangeMove> {
        loop {
            let source = self.most_loaded()?;
            if let Some(chosen) = self.move_from(source) {
                return Some(chosen);
            }
            self.exhausted[source] = true;
        }
    }

    /// Adds `rate` requests a second to a target.
    fn add_rate(&mut self, index: usize, rate: f32) {
        let load = &self.targets[index];
        self.utilizations[index] += load.utilization_by(rate);
        self.marginals[index] =
            load.delay().marginal(self.utilizations[index]);
    }

    /// The target with the highest marginal cost.
    fn most_loaded(&self) -> Option<usize> {
        (0..self.targets.len())
            .filter(|index| !self.exhausted[*index])
            .max_by(|a, b| self.marginals[*a].total_cmp(&self.marginals[*b]))
    }

    fn least_loaded(&self) -> Option<usize> {
        (0..self.targets.len())
            .filter(|index| self.targets[*index].accepts_keys)
            .min_by(|a, b| self.marginals[*a].total_cmp(&self.marginals[*b]))
    }

    /// Moves the part of the source with the greatest gain.
    fn move_from(&mut self, source: usize) -> Option<RangeMove> {
        let target = self.least_loaded().filter(|target| *target != source)?;
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
        self.apply(position, range, target);
        Some(RangeMove { range, target })
    }

    /// Whether any move from the source could be worth its cost, if the target
    /// is the least loaded one: the marginal cost rises with utilization, so
    /// no move saves more than the difference now. Most servers of a balanced
    /// fleet are skipped here, and their parts are not evaluated.
    fn may_gain(&self, source: usize, target: usize) -> bool {
        let rate = self.targets[source].rate_by(self.utilizations[source]);
        let max = rate * (self.marginals[source] - self.marginals[target]);
        let mut indices = 0..self.targets.len();
        max > self.settings.min_gain
            || indices.any(|index| self.has_joined(source, index))
    }

    /// The requests a second after whose move the marginal cost is the same at
    /// both servers. No more than the target would get if all requests were
    /// spread evenly, or it would have to move others away at once.
    fn wanted(&self, source: usize, target: usize) -> f32 {
        let (from, to) = (&self.targets[source], &self.targets[target]);
        let level = || common_marginal(self.targets, &self.utilizations);
        let level = *self.level.get_or_init(level);
        let room =
            to.delay().utilization_at(level) - self.utilizations[target];
        let room = to.rate_by(room.max(0.0));
        let max = from.rate_by(self.utilizations[source]);
        bisect(max.min(room), |rate| {
            let reduced =
                self.utilizations[source] - from.utilization_by(rate);
            let grown = self.utilizations[target] + to.utilization_by(rate);
            from.delay().marginal(reduced) > to.delay().marginal(grown)
        })
    }

    /// The target where a range costs least, with the gain of its move. `None`
    /// if the move isn't worth it. A key that alone gets more requests than
    /// any server can handle stays where it is, as another server is no
    /// better.
    fn best_target(
        &self,
        source: usize,
        range: SliceRange,
    ) -> Option<(f32, usize)> {
        let rate = self.load.load_of(range);
        let accepting = |index: &usize| self.targets[*index].accepts_keys;
        let others = (0..self.targets.len()).filter(|index| *index != source);
        let costs = others.filter(accepting).map(|index| {
            let (to, used) = (&self.targets[index], self.utilizations[index]);
            let grown = used + to.utilization_by(rate);
            (to.delay().cost(grown) - to.delay().cost(used), index)
        });
        let (cost, target) = costs.min_by(|a, b| a.0.total_cmp(&b.0))?;
        let from = &self.targets[source];
        let used = self.utilizations[source];
        let reduced = (used - from.utilization_by(rate)).max(0.0);
        let saved =
            from.delay().cost(used) - from.delay().cost(reduced) - cost;
        let gain = saved - KEY_COST * count(range.slices() as usize);
        let minimum = MIN_GAIN_FRACTION * rate * from.work_s;
        let worth_it = gain > minimum.max(self.settings.min_gain);
        let fills_new = saved > 0.0 && self.has_joined(source, target);
        (worth_it || fills_new).then_some((gain, target))
    }

    /// Whether the target has joined and the source has keys to spare. Then
    /// keys are moved even while no server is busy.
    fn has_joined(&self, source: usize, target: usize) -> bool {
        self.targets[target].accepts_keys
            && self.utilizations[target] < self.mean * JOINED_FRACTION
            && self.utilizations[source] > self.mean * GIVING_FRACTION
    }

    /// The parts that may move, best first: a dense part of the busiest range,
    /// as it moves much load with few keys; the busiest key alone; complete
    /// ranges that fit; and a prefix of the busiest range, for a load that is
    /// spread all over it.
    fn parts(&self, source: usize, wanted: f32) -> Vec<(usize, SliceRange)> {
        let indexed = self.ranges.iter().enumerate();
        let mut rated: Vec<(usize, f32)> = indexed
            .filter(|(_, placed)| placed.target == source && placed.movable)
            .map(|(position, placed)| {
                (position, self.load.load_of(placed.range))
            })
            .collect();
        rated.sort_by(|a, b| b.1.total_cmp(&a.1));
        let Some((busiest, _rate)) = rated.first().copied() else {
            return Vec::new();
        };
        let range = self.ranges[busiest].range;
        let room = self.ranges.len() + 2 <= self.settings.max_ranges;
        let mut parts = Vec::new();
        if room {
            let dense = self.load.dense_range(range, wanted);
            let enough = |part: &SliceRange| {
                self.load.load_of(*part) > wanted * MIN_DENSE_FRACTION
            };
            parts.extend(dense.filter(enough).map(|part| (busiest, part)));
            parts.extend(
                self.load.hot_key(range, wanted).map(|part| (busiest, part)),
            );
        }
        let minimum = wanted * MIN_MOVE_FRACTION;
        for (position, rate) in &rated {
            if *rate <= wanted && *rate > minimum {
                parts.push((*position, self.trimmed(*position, *rate, room)));
            }
        }
        let prefix = self.load.prefix(range, wanted).filter(|_| room);
        parts.extend(prefix.map(|prefix| (busiest, prefix)));
        parts
    }

    /// A range without its cold ends, if the rest has nearly all of its load.
    fn trimmed(&self, position: usize, rate: f32, room: bool) -> SliceRange {
        let range = self.ranges[position].range;
        let dense = self.load.dense_range(range, rate * 2.0).filter(|part| {
            room && self.load.load_of(*part) > rate * MIN_TRIMMED_FRACTION
        });
        dense.unwrap_or(range)
    }

    /// Applies a move to the ranges.
    fn apply(&mut self, position: usize, range: SliceRange, target: usize) {
        let source = self.ranges[position];
        self.ranges[position] = PlacedRange { range, target, movable: false };
        if source.range.first < range.first {
            let last = SliceIndex::from(range.first.get() - 1);
            let first = source.range.first;
            let range = SliceRange { first, last };
            self.ranges.push(PlacedRange { range, ..source });
        }
        if range.last < source.range.last {
            let first = SliceIndex::from(range.last.get() + 1);
            let last = source.range.last;
            let range = SliceRange { first, last };
            self.ranges.push(PlacedRange { range, ..source });
        }
    }
}

//! Moves that are worth their cost.

use goldcrestramp_types::{FastMap, LocalTime, SliceIndex};

use super::{
    budget::MoveBudget,
    load::LoadEstimate,
    settings::PlacementSettings,
    view::{PlannedMove, TargetView},
    waiting::waiting_requests,
};

/// Slices of a place that are weighed as candidates, heaviest first.
///
/// Lighter ones bring less than their cold start costs.
const CANDIDATE_LIMIT: usize = 24;

/// Asks for moves of one service's slices.
#[derive(Clone, Debug)]
pub struct PlacementPlanner {
    settings: PlacementSettings,
    budget: MoveBudget,
    resting: FastMap<SliceIndex, LocalTime>,
    relieving: bool,
}

impl PlacementPlanner {
    /// A planner that has asked for nothing yet.
    #[must_use]
    pub fn new(settings: PlacementSettings) -> Self {
        let budget = MoveBudget::new(settings.moves_per_minute);
        let resting = FastMap::default();
        Self { settings, budget, resting, relieving: false }
    }

    /// The moves to begin at `now`, most useful first.
    ///
    /// `loads` is fed from the same places; moves that were asked for
    /// before must show in `places`, or be asked for again.
    pub fn decide(
        &mut self,
        now: LocalTime,
        places: &[TargetView],
        loads: &LoadEstimate,
    ) -> Vec<PlannedMove> {
        self.budget.refill(now);
        self.resting.retain(|_, until| *until > now);
        let mut round = BalanceRound::new(places, loads, &self.settings);
        if !round.needed(self.relieving) {
            self.relieving = false;
            return Vec::new();
        }
        self.relieving = true;
        let mut moves = Vec::new();
        while round.needed(true) {
            let resting = |slice| self.resting.contains_key(&slice);
            let Some(chosen) = round.best_move(resting) else {
                break;
            };
            if !self.budget.take() {
                break;
            }
            round.apply(chosen);
            self.resting.insert(chosen.slice, now + self.settings.rest);
            moves.push(chosen);
        }
        moves
    }
}

/// One slice that may leave a place.
#[derive(Clone, Copy, Debug)]
struct MoveCandidate {
    slice: SliceIndex,
    load: f64,
}

/// The places' loads while moves are chosen.
#[derive(Debug)]
struct BalanceRound<'a> {
    places: &'a [TargetView],
    settings: &'a PlacementSettings,
    used: Vec<f64>,
    candidates: Vec<Vec<MoveCandidate>>,
    mean: f64,
}

impl<'a> BalanceRound<'a> {
    fn new(
        places: &'a [TargetView],
        loads: &LoadEstimate,
        settings: &'a PlacementSettings,
    ) -> Self {
        let used: Vec<f64> =
            places.iter().map(|place| loads.of_place(place)).collect();
        let candidates = places
            .iter()
            .zip(&used)
            .map(|(place, used)| candidates(place, *used, loads, settings));
        let open = places.iter().filter(|place| place.open);
        let slots: f64 = open.map(|place| f64::from(place.slots)).sum();
        let mean = used.iter().sum::<f64>() / slots.max(1.0);
        Self { places, settings, candidates: candidates.collect(), used, mean }
    }

    /// Whether an open place is out of the band; the band is narrower once
    /// relief has begun.
    fn needed(&self, relieving: bool) -> bool {
        let settings = self.settings;
        let band =
            if relieving { settings.end_band } else { settings.begin_band };
        let mut open = self.open();
        open.any(|place| (self.use_of(place) - self.mean).abs() > band)
    }

    /// The move with the greatest saving beyond its cost, from the fullest
    /// place that has one.
    fn best_move(
        &self,
        resting: impl Fn(SliceIndex) -> bool,
    ) -> Option<PlannedMove> {
        let mut sources: Vec<usize> =
            self.open().filter(|p| self.use_of(*p) > self.mean).collect();
        sources.sort_by(|a, b| self.use_of(*b).total_cmp(&self.use_of(*a)));
        let mut sources = sources.into_iter();
        // One that holds little but a hot slice has nothing to give away;
        // the next one may.
        sources.find_map(|source| self.best_from(source, &resting))
    }

    fn best_from(
        &self,
        source: usize,
        resting: impl Fn(SliceIndex) -> bool,
    ) -> Option<PlannedMove> {
        let mut best = None;
        let mut most = 0.0;
        for target in self.open().filter(|place| *place != source) {
            for candidate in &self.candidates[source] {
                if resting(candidate.slice) {
                    continue;
                }
                let gain = self.gain(source, target, candidate.load);
                if gain > most {
                    most = gain;
                    let slice = candidate.slice;
                    best = Some(PlannedMove { slice, source, target });
                }
            }
        }
        best
    }

    /// Waiting saved within the horizon, less the waiting that the move
    /// causes, in request-seconds.
    fn gain(&self, source: usize, target: usize, load: f64) -> f64 {
        let before = self.waiting(source, 0.0) + self.waiting(target, 0.0);
        let after = self.waiting(source, -load) + self.waiting(target, load);
        let saved = (before - after) * self.settings.horizon_s;
        saved - self.cost(source, target, load)
    }

    /// Requests that come while the slice has no owner wait half of that
    /// time on average; its new owner starts cold.
    fn cost(&self, source: usize, target: usize, load: f64) -> f64 {
        let settings = self.settings;
        let rate = load / settings.service_s;
        let handover = rate * settings.handover_s * settings.handover_s / 2.0;
        let far = self.places[source].region != self.places[target].region;
        let factor = if far { settings.region_factor } else { 1.0 };
        (handover + settings.cold_start) * factor
    }

    fn apply(&mut self, chosen: PlannedMove) {
        let list = &mut self.candidates[chosen.source];
        let found = list.iter().position(|c| c.slice == chosen.slice);
        let Some(position) = found else {
            return;
        };
        let candidate = list.remove(position);
        self.used[chosen.source] -= candidate.load;
        self.used[chosen.target] += candidate.load;
    }

    /// Requests waiting at a place whose load changes by `change`.
    fn waiting(&self, place: usize, change: f64) -> f64 {
        let slots = self.places[place].slots;
        let used = (self.used[place] + change) / f64::from(slots.max(1));
        waiting_requests(used, slots)
    }

    fn use_of(&self, place: usize) -> f64 {
        self.used[place] / f64::from(self.places[place].slots.max(1))
    }

    fn open(&self) -> impl Iterator<Item = usize> + '_ {
        (0..self.places.len()).filter(|place| self.places[*place].open)
    }
}

/// The heaviest slices that may leave a place.
///
/// The hottest stays: its keys would wait for the handover and meet a cold
/// server just when they are asked for most, and its load would only move
/// the queue elsewhere. A second hot one may go, or two hot slices that
/// met on one server would stay together. Slices with long work in
/// progress stay, because the move would wait for it.
fn candidates(
    place: &TargetView,
    used: f64,
    loads: &LoadEstimate,
    settings: &PlacementSettings,
) -> Vec<MoveCandidate> {
    let mut list: Vec<MoveCandidate> = place
        .held
        .iter()
        .map(|slice| MoveCandidate { slice, load: loads.of(slice) })
        .collect();
    list.sort_by(|a, b| b.load.total_cmp(&a.load).then(a.slice.cmp(&b.slice)));
    let hot = used * settings.hot_share;
    if list.first().is_some_and(|hottest| hottest.load > hot) {
        list.remove(0);
    }
    list.retain(|candidate| !place.long_work.contains(candidate.slice));
    list.truncate(CANDIDATE_LIMIT);
    list
}

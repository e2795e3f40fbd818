//! Plans the moves that are worth their cost.

use goldcrestramp_types::{FastMap, LocalTime, SliceIndex};

use super::{
    budget::MoveBudget,
    load::LoadEstimate,
    settings::PlacementSettings,
    view::{PlannedMove, TargetView},
    waiting::waiting_requests,
};

/// The slices of a target that are candidates for a move, heaviest first.
///
/// Lighter ones save less than their cold start costs.
const MAX_CANDIDATES: usize = 24;

/// Plans the moves of one service's slices.
#[derive(Clone, Debug)]
pub struct PlacementPlanner {
    settings: PlacementSettings,
    budget: MoveBudget,
    cooling_down: FastMap<SliceIndex, LocalTime>,
    rebalancing: bool,
}

impl PlacementPlanner {
    /// Creates a planner that has planned no moves.
    #[must_use]
    pub fn new(settings: PlacementSettings) -> Self {
        let budget = MoveBudget::new(settings.moves_per_minute);
        let cooling_down = FastMap::default();
        Self { settings, budget, cooling_down, rebalancing: false }
    }

    /// The moves to start at `now`, most useful first.
    ///
    /// `loads` must come from the same targets. Planned moves must show in
    /// `targets` at the next call, or they are planned again.
    pub fn decide(
        &mut self,
        now: LocalTime,
        targets: &[TargetView],
        loads: &LoadEstimate,
    ) -> Vec<PlannedMove> {
        self.budget.refill(now);
        self.cooling_down.retain(|_, until| *until > now);
        let mut round = BalanceRound::new(targets, loads, &self.settings);
        if !round.is_needed(self.rebalancing) {
            self.rebalancing = false;
            return Vec::new();
        }
        self.rebalancing = true;
        let mut moves = Vec::new();
        while round.is_needed(true) {
            let cooling_down = |slice| self.cooling_down.contains_key(&slice);
            let Some(chosen) = round.best_move(cooling_down) else {
                break;
            };
            if !self.budget.take() {
                break;
            }
            round.apply(chosen);
            self.cooling_down
                .insert(chosen.slice, now + self.settings.cooldown);
            moves.push(chosen);
        }
        moves
    }
}

/// A slice that may leave its target.
#[derive(Clone, Copy, Debug)]
struct MoveCandidate {
    slice: SliceIndex,
    load: f64,
}

/// The targets' loads while moves are chosen.
#[derive(Debug)]
struct BalanceRound<'a> {
    targets: &'a [TargetView],
    settings: &'a PlacementSettings,
    used: Vec<f64>,
    candidates: Vec<Vec<MoveCandidate>>,
    mean: f64,
}

impl<'a> BalanceRound<'a> {
    fn new(
        targets: &'a [TargetView],
        loads: &LoadEstimate,
        settings: &'a PlacementSettings,
    ) -> Self {
        let used: Vec<f64> =
            targets.iter().map(|view| loads.of_target(view)).collect();
        let candidates = targets
            .iter()
            .zip(&used)
            .map(|(view, used)| candidates(view, *used, loads, settings));
        let accepting = targets.iter().filter(|view| view.accepts_slices);
        let slots: f64 = accepting.map(|view| f64::from(view.slots)).sum();
        let mean = used.iter().sum::<f64>() / slots.max(1.0);
        Self {
            targets,
            settings,
            candidates: candidates.collect(),
            used,
            mean,
        }
    }

    /// Whether the utilization of a target that accepts slices is outside the
    /// band around the mean. The band is narrower while moves are being made
    /// (hysteresis).
    fn is_needed(&self, rebalancing: bool) -> bool {
        let settings = self.settings;
        let band =
            if rebalancing { settings.end_band } else { settings.start_band };
        let mut accepting = self.accepting();
        accepting
            .any(|index| (self.utilization_of(index) - self.mean).abs() > band)
    }

    /// The move with the greatest saving beyond its cost, from the most
    /// utilized target that has one.
    fn best_move(
        &self,
        cooling_down: impl Fn(SliceIndex) -> bool,
    ) -> Option<PlannedMove> {
        let mut sources: Vec<usize> = self
            .accepting()
            .filter(|index| self.utilization_of(*index) > self.mean)
            .collect();
        sources.sort_by(|a, b| {
            self.utilization_of(*b).total_cmp(&self.utilization_of(*a))
        });
        let mut sources = sources.into_iter();
        // A target that holds little but a hot slice has nothing to move away.
        // The next one may.
        sources.find_map(|source| self.best_from(source, &cooling_down))
    }

    fn best_from(
        &self,
        source: usize,
        cooling_down: impl Fn(SliceIndex) -> bool,
    ) -> Option<PlannedMove> {
        let mut best = None;
        let mut best_gain = 0.0;
        for target in self.accepting().filter(|index| *index != source) {
            for candidate in &self.candidates[source] {
                if cooling_down(candidate.slice) {
                    continue;
                }
                let gain = self.gain(source, target, candidate.load);
                if gain > best_gain {
                    best_gain = gain;
                    let slice = candidate.slice;
                    best = Some(PlannedMove { slice, source, target });
                }
            }
        }
        best
    }

    /// The waiting saved within the horizon, less the waiting that the move
    /// causes, in request-seconds.
    fn gain(&self, source: usize, target: usize, load: f64) -> f64 {
        let before = self.waiting(source, 0.0) + self.waiting(target, 0.0);
        let after = self.waiting(source, -load) + self.waiting(target, load);
        let saved = (before - after) * self.settings.horizon_s;
        saved - self.cost(source, target, load)
    }

    /// The waiting that a move causes. Requests that arrive while the slice
    /// has no owner wait half of that time on average, and its new owner
    /// starts cold.
    fn cost(&self, source: usize, target: usize, load: f64) -> f64 {
        let settings = self.settings;
        let rate = load / settings.service_s;
        let handover = rate * settings.handover_s * settings.handover_s / 2.0;
        let crosses_region =
            self.targets[source].region != self.targets[target].region;
        let factor = if crosses_region { settings.region_factor } else { 1.0 };
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

    /// The mean number of requests that wait at a target if its load changes
    /// by `change`.
    fn waiting(&self, index: usize, change: f64) -> f64 {
        let slots = self.targets[index].slots;
        let used = (self.used[index] + change) / f64::from(slots.max(1));
        waiting_requests(used, slots)
    }

    fn utilization_of(&self, index: usize) -> f64 {
        self.used[index] / f64::from(self.targets[index].slots.max(1))
    }

    fn accepting(&self) -> impl Iterator<Item = usize> + '_ {
        (0..self.targets.len())
            .filter(|index| self.targets[*index].accepts_slices)
    }
}

/// The heaviest slices that may leave a target.
///
/// The hottest slice stays: its keys would wait for the handover and reach a
/// cold server just when they are requested most, and its load would only move
/// the queue elsewhere. A second hot slice may move, or two hot slices on one
/// server would stay together. Slices with long work in progress stay, because
/// the move would wait for it.
fn candidates(
    view: &TargetView,
    used: f64,
    loads: &LoadEstimate,
    settings: &PlacementSettings,
) -> Vec<MoveCandidate> {
    let mut list: Vec<MoveCandidate> = view
        .held
        .iter()
        .map(|slice| MoveCandidate { slice, load: loads.of(slice) })
        .collect();
    list.sort_by(|a, b| b.load.total_cmp(&a.load).then(a.slice.cmp(&b.slice)));
    let hot = used * settings.hot_share;
    if list.first().is_some_and(|hottest| hottest.load > hot) {
        list.remove(0);
    }
    list.retain(|candidate| !view.long_work.contains(candidate.slice));
    list.truncate(MAX_CANDIDATES);
    list
}

//! The plan of one divided service.

use std::sync::Arc;

use goldcrestramp_adapter::ServerEntry;
use goldcrestramp_assignment::{
    AssignmentTable, HolderFate, MoveWish, PlannerTiming, RunPhase,
    ServerLife, TablePlanner,
};
use goldcrestramp_decisions::{
    PlaceLoad, PlacedRun, RangeLoad, SpreadSettings, lightest_place,
    place_uses, spread_moves,
};
use goldcrestramp_types::{FastMap, LocalTime, SliceRange, TimeSpan};

use crate::control::{load::ServiceLoad, term::life_of};

/// How long a grant holds. A server that can't be reached and is gone
/// leaves its keys without an owner for this long; a planner that is lost
/// is replaced within 3.5 s, and its servers must hold on until then.
pub(crate) const HOLD: TimeSpan = TimeSpan::from_millis(5_500);

/// After which part of its hold a grant is renewed: 1.5 s, so that 4 s of a
/// hold are left at any moment.
const RENEW_PERCENT: u64 = 27;

/// How soon an order without an answer is sent again.
const RETRY_AFTER: TimeSpan = TimeSpan::from_millis(250);

/// How often moves are weighed: a report of every VM comes in between.
const WEIGH_PAUSE: TimeSpan = TimeSpan::from_millis(500);

/// A run that moved stays for so long, or noise would send it to and fro.
const REST: TimeSpan = TimeSpan::from_millis(800);

/// The usual time of an answer moves by this part of the difference with
/// each report.
const ANSWER_GAIN: f32 = 0.3;

/// A server's pace rises by the first part of the difference with each
/// round and falls by the second. Answers of a full server hold waits, and
/// one that has just been given busy keys would look slow: its keys would
/// go to another one, which would look slow next. A server that is slow for
/// seconds still shows within two.
const PACE_RISE: f32 = 0.1;
const PACE_FALL: f32 = 0.4;

/// Above this use a server's pace does not rise: its answers hold waits.
const PACE_USE_MOST: f32 = 0.5;

/// The bounds of a server's pace against the usual one.
const PACE_LEAST: f32 = 0.3;
const PACE_MOST: f32 = 12.0;

/// What stands in until a server's answers are known.
const ANSWER_FIRST: f32 = 0.1;

/// A server that has just started takes about twice the time.
const COLD_FACTOR: f32 = 2.0;

/// The figures that decide when keys move: callers wait noticeably from
/// two thirds of a server's slots on, and each run costs one renewal.
///
/// A run that gets a third of all requests is more than a third of the
/// servers can do, so as many have to be given a part of it, within two
/// seconds: a quarter of the servers in each round.
fn spread_settings(servers: usize) -> SpreadSettings {
    let moves = (servers / 4).max(12);
    SpreadSettings { band: 0.25, busy_from: 0.5, moves, runs_most: 600 }
}

/// The plan of one service while this VM plans.
#[derive(Debug)]
pub(crate) struct ServicePlan {
    pub(crate) planner: TablePlanner,
    /// The committed table's revision: a condition of the next commit.
    pub(crate) revision: u64,
    /// Whether a commit is on its way.
    pub(crate) committing: bool,
    load: RangeLoad,
    answers: FastMap<Arc<str>, f32>,
    /// The least time of an answer of each server, in seconds.
    leasts: FastMap<Arc<str>, f32>,
    /// Each server's time of an answer against the usual one.
    paces: FastMap<Arc<str>, f32>,
    weigh_at: LocalTime,
    resting: Vec<(SliceRange, LocalTime)>,
}

impl ServicePlan {
    pub(crate) fn open(
        now: LocalTime,
        table: AssignmentTable,
        revision: u64,
        hold: TimeSpan,
        sent_until: LocalTime,
    ) -> Self {
        let timing = PlannerTiming {
            hold,
            renew_after: hold.percent(RENEW_PERCENT),
            retry_after: RETRY_AFTER,
        };
        Self {
            planner: TablePlanner::open(timing, table, sent_until),
            revision,
            committing: false,
            load: RangeLoad::open(now),
            answers: FastMap::default(),
            leasts: FastMap::default(),
            paces: FastMap::default(),
            weigh_at: now + WEIGH_PAUSE,
            resting: Vec::new(),
        }
    }

    /// Takes what a VM was asked for.
    pub(crate) fn take_load(&mut self, _now: LocalTime, load: &ServiceLoad) {
        for (key, requests) in &load.keys {
            self.load.count((*key).into(), *requests);
        }
        for (server, sum) in &load.servers {
            #[expect(clippy::cast_precision_loss, reason = "small counts")]
            let mean = sum.millis as f32 / 1_000.0 / sum.answers.max(1) as f32;
            let known = self.answers.entry(Arc::clone(server)).or_insert(mean);
            *known += ANSWER_GAIN * (mean - *known);
            #[expect(clippy::cast_precision_loss, reason = "small counts")]
            let least = sum.least as f32 / 1_000.0;
            let known = self.leasts.entry(Arc::clone(server)).or_insert(least);
            *known += ANSWER_GAIN * (least - *known);
        }
    }

    /// Takes a table that was committed.
    pub(crate) fn committed(
        &mut self,
        now: LocalTime,
        table: AssignmentTable,
        revision: u64,
    ) {
        self.committing = false;
        if revision < self.revision {
            return;
        }
        for run in table.runs() {
            if run.phase == RunPhase::Releasing {
                self.resting.push((run.range, now + REST));
            }
        }
        self.revision = revision;
        self.planner.committed(table);
    }

    /// The next table, if something is to change.
    pub(crate) fn plan(
        &mut self,
        now: LocalTime,
        fate: impl Fn(&ServerLife) -> HolderFate,
        ready: &[Arc<ServerEntry>],
    ) -> Option<AssignmentTable> {
        if self.committing {
            return None;
        }
        self.resting.retain(|(_range, until)| *until > now);
        let weigh = now >= self.weigh_at;
        let mut board = PlaceBoard::new(self, ready);
        let wishes = if weigh {
            self.weigh_at = now + WEIGH_PAUSE;
            self.load.settle(now);
            self.learn_paces(&board);
            board = PlaceBoard::new(self, ready);
            self.wishes(&board)
        } else {
            Vec::new()
        };
        let mut given = Vec::new();
        let load = &self.load;
        let place = |range| {
            let (runs, places) = (&board.runs, &board.places);
            let place = lightest_place(runs, places, load, &mut given, range)?;
            Some(board.lives[place].clone())
        };
        self.planner.plan(now, fate, &wishes, place)
    }

    fn wishes(&self, board: &PlaceBoard) -> Vec<MoveWish> {
        let settings = spread_settings(board.places.len());
        let moves =
            spread_moves(&board.runs, &board.places, &self.load, &settings);
        if !moves.is_empty() {
            let uses = place_uses(&board.runs, &board.places, &self.load);
            let most = uses.iter().copied().fold(0.0, f32::max);
            let slices: u32 = moves.iter().map(|m| m.range.slices()).sum();
            log::info!(
                "[planner] {} runs of {slices} keys are to move; the \
                 fullest server uses {most:.2} of its slots.",
                moves.len()
            );
        }
        let wish = |chosen: &goldcrestramp_decisions::RangeMove| MoveWish {
            range: chosen.range,
            target: board.lives[chosen.target].clone(),
        };
        moves.iter().map(wish).collect()
    }

    /// The time of an answer of a server that is not full, in seconds.
    fn answer_s(&self, entry: &ServerEntry) -> f32 {
        let known = self.paces.get(&entry.id).copied().unwrap_or(1.0);
        let cold = entry.cold_left > TimeSpan::ZERO;
        let pace = if cold { known.max(COLD_FACTOR) } else { known };
        self.usual_answer_s() * pace
    }

    /// Learns the servers' paces.
    fn learn_paces(&mut self, board: &PlaceBoard) {
        let usual = median(&self.leasts).max(f32::MIN_POSITIVE);
        let uses = place_uses(&board.runs, &board.places, &self.load);
        for (life, used) in board.lives.iter().zip(uses) {
            let Some(answer) = self.leasts.get(&life.id) else { continue };
            let pace = self.paces.entry(Arc::clone(&life.id)).or_insert(1.0);
            let seen = (answer / usual).clamp(PACE_LEAST, PACE_MOST);
            if seen < *pace {
                *pace += PACE_FALL * (seen - *pace);
            } else if used < PACE_USE_MOST {
                *pace += PACE_RISE * (seen - *pace);
            }
        }
        let lives = &board.lives;
        self.paces.retain(|id, _| lives.iter().any(|life| life.id == *id));
        self.answers.retain(|id, _| lives.iter().any(|life| life.id == *id));
        self.leasts.retain(|id, _| lives.iter().any(|life| life.id == *id));
    }

    /// The usual time of an answer of any server.
    fn usual_answer_s(&self) -> f32 {
        if self.answers.is_empty() {
            return ANSWER_FIRST;
        }
        median(&self.answers)
    }
}

/// The middle one of the values; 0 if there is none.
fn median(values: &FastMap<Arc<str>, f32>) -> f32 {
    let mut sorted: Vec<f32> = values.values().copied().collect();
    sorted.sort_by(f32::total_cmp);
    sorted.get(sorted.len() / 2).copied().unwrap_or(0.0)
}

/// The servers and runs of a service as the spreading sees them.
struct PlaceBoard {
    lives: Vec<ServerLife>,
    places: Vec<PlaceLoad>,
    runs: Vec<PlacedRun>,
}

impl PlaceBoard {
    fn new(plan: &ServicePlan, ready: &[Arc<ServerEntry>]) -> Self {
        let mut lives: Vec<ServerLife> =
            ready.iter().map(|entry| life_of(entry)).collect();
        let mut places: Vec<PlaceLoad> = ready
            .iter()
            .map(|entry| PlaceLoad {
                slots: entry.slots,
                answer_s: plan.answer_s(entry),
                open: true,
            })
            .collect();
        let table = plan.planner.table();
        // Holders that are no longer ready stand behind, closed.
        let ready = lives.iter().cloned().zip(0..);
        let ready: FastMap<ServerLife, usize> = ready.collect();
        let mut positions = FastMap::default();
        for (key, life) in table.lives() {
            let known = ready.get(life).copied();
            positions.insert(key, known.unwrap_or(lives.len()));
            if known.is_none() {
                lives.push(life.clone());
                let answer_s = plan.usual_answer_s();
                places.push(PlaceLoad { slots: 1, answer_s, open: false });
            }
        }
        let runs = table.runs().iter().map(|run| PlacedRun {
            range: run.range,
            place: positions[&run.life],
            movable: run.phase == RunPhase::Granted
                && places[positions[&run.life]].open
                && !plan.resting.iter().any(|(range, _until)| {
                    range.covers(run.range) || run.range.covers(*range)
                }),
        });
        let runs = runs.collect();
        Self { lives, places, runs }
    }
}

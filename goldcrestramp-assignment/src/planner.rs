//! The next table, and the orders that make servers follow this one.

use goldcrestramp_types::{FastMap, FastSet, LocalTime, SliceRange, TimeSpan};

use crate::{
    holds::GrantExpiries,
    memo::{MemoBook, RunAnswer},
    moves::{begin_move, begin_releases},
    order::{OrderKind, OrderOutcome, ServerOrder},
    table::{
        AssignedRange, AssignmentPhase, AssignmentTable, InstanceKey,
        ServerInstance,
    },
};

/// How often holds are renewed, and how long they are.
#[derive(Clone, Copy, Debug)]
pub struct PlannerTiming {
    /// How long a grant holds from its arrival.
    pub hold: TimeSpan,
    /// How long after a grant it is sent again.
    pub renew_after: TimeSpan,
    /// How long after an order without an answer it is sent again.
    pub retry_after: TimeSpan,
}

/// What is known of the holder of a run.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum HolderStatus {
    /// It serves.
    Serving,
    /// It is there, and its keys are to go elsewhere: it drains, or it has
    /// restarted under its id. A renewal meant for its former run may have
    /// reached the new one, so the keys are not free yet.
    Leaving,
    /// It does not say that it is there; it may serve all the same.
    Missing,
    /// This run of the server has certainly ended.
    Ended,
}

/// A server that may be given keys.
#[derive(Clone, Debug)]
pub struct ServerStatus {
    /// The server.
    pub life: ServerInstance,
    /// Whether it may be given more keys.
    pub open: bool,
}

/// A run of keys that would be served better elsewhere.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct MoveRequest {
    /// The keys; they have one holder now.
    pub range: SliceRange,
    /// The server that is to have them.
    pub target: ServerInstance,
}

/// Plans one service's table while this VM is the planning one.
#[derive(Clone, Debug)]
pub struct TablePlanner {
    timing: PlannerTiming,
    table: AssignmentTable,
    holds: GrantExpiries,
    memos: MemoBook,
    /// Where runs that are being released are to go.
    wishes: FastMap<SliceRange, ServerInstance>,
    /// Lives that are known to have ended, by an answer of another.
    ended: FastSet<ServerInstance>,
}

impl TablePlanner {
    /// Takes up a committed table; `sent_until` bounds when a former
    /// planner may have sent its last grant.
    #[must_use]
    pub fn open(
        timing: PlannerTiming,
        table: AssignmentTable,
        sent_until: LocalTime,
    ) -> Self {
        Self {
            timing,
            table,
            holds: GrantExpiries::open(timing.hold, sent_until),
            memos: MemoBook::default(),
            wishes: FastMap::default(),
            ended: FastSet::default(),
        }
    }

    /// The committed table.
    #[must_use]
    pub const fn table(&self) -> &AssignmentTable {
        &self.table
    }

    /// Takes the knowledge that the former planner sent its last grant
    /// before `sent_until`.
    pub fn inherit(&mut self, sent_until: LocalTime) {
        self.holds.inherit(sent_until);
    }

    /// Takes a table that was committed; the orders follow it from here.
    pub fn committed(&mut self, table: AssignmentTable) {
        self.table = table;
        self.memos.retain(&self.table.runs);
        let releasing: FastSet<SliceRange> = self
            .table
            .runs
            .iter()
            .filter(|run| run.phase == AssignmentPhase::Releasing)
            .map(|run| run.range)
            .collect();
        self.wishes.retain(|range, _target| releasing.contains(range));
        let lives: FastSet<&ServerInstance> =
            self.table.lives.iter().collect();
        self.holds.retain(|life| lives.contains(life));
        self.ended.retain(|life| self.table.lives.contains(life));
    }

    /// The next table, if something is to change.
    ///
    /// `fate` tells of holders; `place` picks a server for keys that have
    /// none. Nothing takes effect before [`committed`](Self::committed).
    pub fn plan(
        &mut self,
        now: LocalTime,
        fate: impl Fn(&ServerInstance) -> HolderStatus,
        wishes: &[MoveRequest],
        mut place: impl FnMut(SliceRange) -> Option<ServerInstance>,
    ) -> Option<AssignmentTable> {
        let fate = |life: &ServerInstance| {
            if self.ended.contains(life) {
                HolderStatus::Ended
            } else {
                fate(life)
            }
        };
        let mut next = self.table.clone();
        let mut changed = false;
        let mut targets = FastMap::default();
        for wish in wishes {
            changed |= begin_move(&mut next, wish, fate, &mut targets);
        }
        changed |= begin_releases(&mut next, fate);
        changed |= self.regrant_outdated(&mut next);
        let freed: Vec<usize> = next
            .runs
            .iter()
            .enumerate()
            .filter(|(_, run)| self.is_free(now, run, fate))
            .map(|(position, _)| position)
            .collect();
        for position in freed {
            let range = next.runs[position].range;
            let chosen = self.wishes.get(&range).cloned();
            let usable =
                |life: &ServerInstance| fate(life) == HolderStatus::Serving;
            let Some(target) = chosen.filter(usable).or_else(|| place(range))
            else {
                continue;
            };
            changed |= self.give(&mut next, position, &target);
        }
        self.wishes.extend(targets);
        if !changed {
            return None;
        }
        self.drop_used_handovers(&mut next);
        next.forget_unused();
        Some(next)
    }

    /// The orders that are due; each is to be answered by
    /// [`order_ended`](Self::order_ended).
    pub fn orders(&mut self, now: LocalTime) -> Vec<ServerOrder> {
        let emptied = self.emptied_lives();
        let mut orders = Vec::new();
        for run in &self.table.runs {
            let life = self.table.life(run.life);
            // One order empties a server: asked run by run, it would take
            // the time of the longest work on each.
            let whole = run.phase == AssignmentPhase::Releasing
                && emptied.get(&run.life) == Some(&run.token);
            let memo = self.memos.entry(run);
            if !memo.waits() || now < memo.due {
                continue;
            }
            if self.ended.contains(life) {
                continue;
            }
            memo.in_flight = true;
            let kind = match run.phase {
                AssignmentPhase::Granted => {
                    self.holds.sending(life);
                    OrderKind::Grant {
                        hold: self.timing.hold,
                        handover: run.handover.clone(),
                    }
                }
                AssignmentPhase::Releasing => OrderKind::Release,
            };
            let range = if whole { SliceRange::ALL } else { run.range };
            let order = ServerOrder {
                life: life.clone(),
                range,
                token: run.token,
                kind,
            };
            if !(whole && orders.contains(&order)) {
                orders.push(order);
            }
        }
        orders
    }

    /// Takes what became of an order.
    pub fn order_ended(
        &mut self,
        now: LocalTime,
        order: &ServerOrder,
        outcome: &OrderOutcome,
    ) {
        let grant = matches!(order.kind, OrderKind::Grant { .. });
        if grant {
            self.holds.ended(now, &order.life, outcome);
        }
        if *outcome == OrderOutcome::Ended {
            self.ended.insert(order.life.clone());
        }
        let timing = self.timing;
        let table = &self.table;
        let runs = table.runs.iter().filter(|run| {
            run.token == order.token
                && order.range.covers(run.range)
                && *table.life(run.life) == order.life
        });
        for run in runs {
            let memo = self.memos.entry(run);
            memo.in_flight = false;
            memo.due = now + timing.retry_after;
            match outcome {
                OrderOutcome::Done { .. } if grant => {
                    memo.answer = RunAnswer::Granted;
                    memo.due = now + timing.renew_after;
                }
                OrderOutcome::Done { handover } => {
                    memo.answer = RunAnswer::Released(handover.clone());
                }
                OrderOutcome::Outdated if grant => {
                    memo.answer = RunAnswer::Outdated;
                }
                OrderOutcome::Outdated
                | OrderOutcome::Ended
                | OrderOutcome::NotSent
                | OrderOutcome::Unknown
                | OrderOutcome::TimedOut => {}
            }
        }
    }

    /// Whether nobody can hold the keys of a run any more.
    fn is_free(
        &self,
        now: LocalTime,
        run: &AssignedRange,
        fate: impl Fn(&ServerInstance) -> HolderStatus,
    ) -> bool {
        let Some(life) = self.table.lives.get(usize::from(run.life.0)) else {
            return false;
        };
        // Only what was committed as releasing has had its grants stopped.
        let committed = self.table.runs.iter().any(|known| {
            known.phase == AssignmentPhase::Releasing
                && known.range == run.range
                && known.token == run.token
        });
        if run.phase != AssignmentPhase::Releasing {
            return false;
        }
        let fate = fate(life);
        if fate == HolderStatus::Ended {
            return true;
        }
        let memo = self.memos.get(run);
        let released = memo
            .is_some_and(|memo| matches!(memo.answer, RunAnswer::Released(_)));
        // One that is there will answer; only of one that is gone the end
        // of its holds is waited for.
        let gone = fate == HolderStatus::Missing;
        committed && (released || gone && self.holds.are_over(now, life))
    }

    /// Gives a free run to a server.
    fn give(
        &self,
        next: &mut AssignmentTable,
        position: usize,
        target: &ServerInstance,
    ) -> bool {
        let Some(place) = next.place_of(target) else { return false };
        let token = next.next_token();
        let memo = self.memos.get(&next.runs[position]);
        let handover = memo.and_then(|memo| match &memo.answer {
            RunAnswer::Released(left) => left.clone(),
            _ => None,
        });
        let run = &mut next.runs[position];
        run.life = place;
        run.token = token;
        run.phase = AssignmentPhase::Granted;
        run.handover = handover;
        true
    }

    /// Leaves out what holders have been given: it is of use once, and
    /// makes up two thirds of a table's bytes.
    fn drop_used_handovers(&self, next: &mut AssignmentTable) {
        for run in &mut next.runs {
            if self
                .memos
                .get(run)
                .is_some_and(|memo| memo.answer == RunAnswer::Granted)
            {
                run.handover = None;
            }
        }
    }

    /// Grants anew, with a higher token, what a server calls outdated.
    fn regrant_outdated(&self, next: &mut AssignmentTable) -> bool {
        let outdated: Vec<usize> = next
            .runs
            .iter()
            .enumerate()
            .filter(|(_, run)| {
                let memo = self.memos.get(run);
                run.phase == AssignmentPhase::Granted
                    && memo
                        .is_some_and(|memo| memo.answer == RunAnswer::Outdated)
            })
            .map(|(position, _)| position)
            .collect();
        for position in &outdated {
            let token = next.next_token();
            next.runs[*position].token = token;
        }
        !outdated.is_empty()
    }

    /// The servers of which every run is being released with one token.
    ///
    /// Orders go by the id, so a server that restarted under it counts as
    /// the same: emptied, it would lose what it has been given since.
    fn emptied_lives(&self) -> FastMap<InstanceKey, u64> {
        let mut tokens = FastMap::default();
        let mut mixed = FastSet::default();
        let mut ids = FastMap::default();
        for (key, life) in self.table.lives() {
            if let Some(other) = ids.insert(&life.id, key) {
                mixed.extend([key, other]);
            }
        }
        for run in &self.table.runs {
            let first = *tokens.entry(run.life).or_insert(run.token);
            if run.phase == AssignmentPhase::Granted || first != run.token {
                mixed.insert(run.life);
            }
        }
        tokens.retain(|life, _token| !mixed.contains(life));
        tokens
    }
}

//! The next table, and the orders that make servers follow this one.

use goldcrestramp_types::{FastMap, FastSet, LocalTime, SliceRange, TimeSpan};

use crate::{
    grant_expiries::GrantExpiries,
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
    pub grant_duration: TimeSpan,
    /// How long after a grant it is sent again.
    pub renew_interval: TimeSpan,
    /// How long after an order without an answer it is sent again.
    pub retry_delay: TimeSpan,
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
    pub instance: ServerInstance,
    /// Whether it may be given more keys.
    pub accepts_keys: bool,
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
    grant_expiries: GrantExpiries,
    memos: MemoBook,
    /// Where runs that are being released are to go.
    wishes: FastMap<SliceRange, ServerInstance>,
    /// Lives that are known to have ended, by an answer of another.
    ended: FastSet<ServerInstance>,
}

impl TablePlanner {
    /// Takes up a committed table; `last_grant_at` bounds when a former
    /// planner may have sent its last grant.
    #[must_use]
    pub fn open(
        timing: PlannerTiming,
        table: AssignmentTable,
        last_grant_at: LocalTime,
    ) -> Self {
        Self {
            timing,
            table,
            grant_expiries: GrantExpiries::open(
                timing.grant_duration,
                last_grant_at,
            ),
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
    /// before `last_grant_at`.
    pub fn inherit(&mut self, last_grant_at: LocalTime) {
        self.grant_expiries.inherit(last_grant_at);
    }

    /// Takes a table that was committed; the orders follow it from here.
    pub fn committed(&mut self, table: AssignmentTable) {
        self.table = table;
        self.memos.retain(&self.table.ranges);
        let releasing: FastSet<SliceRange> = self
            .table
            .ranges
            .iter()
            .filter(|run| run.phase == AssignmentPhase::Releasing)
            .map(|run| run.range)
            .collect();
        self.wishes.retain(|range, _target| releasing.contains(range));
        let instances: FastSet<&ServerInstance> =
            self.table.instances.iter().collect();
        self.grant_expiries.retain(|instance| instances.contains(instance));
        self.ended.retain(|instance| self.table.instances.contains(instance));
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
        let fate = |instance: &ServerInstance| {
            if self.ended.contains(instance) {
                HolderStatus::Ended
            } else {
                fate(instance)
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
            .ranges
            .iter()
            .enumerate()
            .filter(|(_, run)| self.is_free(now, run, fate))
            .map(|(position, _)| position)
            .collect();
        for position in freed {
            let range = next.ranges[position].range;
            let chosen = self.wishes.get(&range).cloned();
            let usable = |instance: &ServerInstance| {
                fate(instance) == HolderStatus::Serving
            };
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
        for run in &self.table.ranges {
            let instance = self.table.instance(run.instance);
            // One order empties a server: asked run by run, it would take
            // the time of the longest work on each.
            let whole = run.phase == AssignmentPhase::Releasing
                && emptied.get(&run.instance) == Some(&run.token);
            let memo = self.memos.entry(run);
            if !memo.waits() || now < memo.due {
                continue;
            }
            if self.ended.contains(instance) {
                continue;
            }
            memo.in_flight = true;
            let kind = match run.phase {
                AssignmentPhase::Granted => {
                    self.grant_expiries.sending(instance);
                    OrderKind::Grant {
                        duration: self.timing.grant_duration,
                        handover: run.handover.clone(),
                    }
                }
                AssignmentPhase::Releasing => OrderKind::Release,
            };
            let range = if whole { SliceRange::ALL } else { run.range };
            let order = ServerOrder {
                instance: instance.clone(),
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
            self.grant_expiries.ended(now, &order.instance, outcome);
        }
        if *outcome == OrderOutcome::Ended {
            self.ended.insert(order.instance.clone());
        }
        let timing = self.timing;
        let table = &self.table;
        let ranges = table.ranges.iter().filter(|run| {
            run.token == order.token
                && order.range.covers(run.range)
                && *table.instance(run.instance) == order.instance
        });
        for run in ranges {
            let memo = self.memos.entry(run);
            memo.in_flight = false;
            memo.due = now + timing.retry_delay;
            match outcome {
                OrderOutcome::Done { .. } if grant => {
                    memo.answer = RunAnswer::Granted;
                    memo.due = now + timing.renew_interval;
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
        let Some(instance) =
            self.table.instances.get(usize::from(run.instance.0))
        else {
            return false;
        };
        // Only what was committed as releasing has had its grants stopped.
        let committed = self.table.ranges.iter().any(|known| {
            known.phase == AssignmentPhase::Releasing
                && known.range == run.range
                && known.token == run.token
        });
        if run.phase != AssignmentPhase::Releasing {
            return false;
        }
        let fate = fate(instance);
        if fate == HolderStatus::Ended {
            return true;
        }
        let memo = self.memos.get(run);
        let released = memo
            .is_some_and(|memo| matches!(memo.answer, RunAnswer::Released(_)));
        // One that is there will answer; only of one that is gone the end
        // of its holds is waited for.
        let gone = fate == HolderStatus::Missing;
        committed
            && (released
                || gone && self.grant_expiries.are_over(now, instance))
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
        let memo = self.memos.get(&next.ranges[position]);
        let handover = memo.and_then(|memo| match &memo.answer {
            RunAnswer::Released(left) => left.clone(),
            _ => None,
        });
        let run = &mut next.ranges[position];
        run.instance = place;
        run.token = token;
        run.phase = AssignmentPhase::Granted;
        run.handover = handover;
        true
    }

    /// Leaves out what holders have been given: it is of use once, and
    /// makes up two thirds of a table's bytes.
    fn drop_used_handovers(&self, next: &mut AssignmentTable) {
        for run in &mut next.ranges {
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
            .ranges
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
            next.ranges[*position].token = token;
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
        for (key, instance) in self.table.instances() {
            if let Some(other) = ids.insert(&instance.id, key) {
                mixed.extend([key, other]);
            }
        }
        for run in &self.table.ranges {
            let first = *tokens.entry(run.instance).or_insert(run.token);
            if run.phase == AssignmentPhase::Granted || first != run.token {
                mixed.insert(run.instance);
            }
        }
        tokens.retain(|instance, _token| !mixed.contains(instance));
        tokens
    }
}

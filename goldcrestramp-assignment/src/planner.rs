//! Computes the next table, and the orders for the committed one.

use goldcrestramp_types::{FastMap, FastSet, LocalTime, SliceRange, TimeSpan};

use crate::{
    grant_expiries::GrantExpiries,
    moves::{begin_move, begin_releases},
    order::{OrderKind, OrderOutcome, ServerOrder},
    order_tracker::{OrderResponse, OrderTracker},
    table::{
        AssignedRange, AssignmentPhase, AssignmentTable, InstanceKey,
        ServerInstance,
    },
};

/// How long grants are valid, and when orders are sent again.
#[derive(Clone, Copy, Debug)]
pub struct PlannerTiming {
    /// How long a grant is valid from its arrival.
    pub grant_duration: TimeSpan,
    /// How long after a successful grant it is renewed.
    pub renew_interval: TimeSpan,
    /// How long after a failed order it is sent again.
    pub retry_delay: TimeSpan,
}

/// What is known of the server that holds a range.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum HolderStatus {
    /// It accepts requests.
    Serving,
    /// It is running, and its keys are to move to other servers: it drains,
    /// or it has restarted under its id. A renewal meant for its previous
    /// instance may have reached the new one, so the keys are not free yet.
    Leaving,
    /// It is not registered; it may still serve.
    Missing,
    /// This instance of the server has certainly ended.
    Ended,
}

/// A server that keys can be assigned to.
#[derive(Clone, Debug)]
pub struct ServerStatus {
    /// The server instance.
    pub instance: ServerInstance,
    /// Whether more keys may be assigned to it.
    pub accepts_keys: bool,
}

/// A request to move a range of keys to another server.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct MoveRequest {
    /// The keys to move, which have one holder now.
    pub range: SliceRange,
    /// The server that the keys move to.
    pub target: ServerInstance,
}

/// Plans the table of one service, on the VM that is the planner.
#[derive(Clone, Debug)]
pub struct TablePlanner {
    timing: PlannerTiming,
    table: AssignmentTable,
    grant_expiries: GrantExpiries,
    tracker: OrderTracker,
    /// The requested targets of ranges that are being released.
    move_targets: FastMap<SliceRange, ServerInstance>,
    /// Instances that have ended: another instance responded at the address.
    ended: FastSet<ServerInstance>,
}

impl TablePlanner {
    /// Starts from a committed table. `last_grant_at` is the latest time at
    /// which a previous planner may have sent a grant.
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
            tracker: OrderTracker::default(),
            move_targets: FastMap::default(),
            ended: FastSet::default(),
        }
    }

    /// The committed table.
    #[must_use]
    pub const fn table(&self) -> &AssignmentTable {
        &self.table
    }

    /// Lowers the bound on the grants of previous planners: the last one was
    /// sent before `last_grant_at`.
    pub fn inherit(&mut self, last_grant_at: LocalTime) {
        self.grant_expiries.inherit(last_grant_at);
    }

    /// Replaces the table by a newly committed one, which orders then follow.
    pub fn committed(&mut self, table: AssignmentTable) {
        self.table = table;
        self.tracker.retain(&self.table.ranges);
        let releasing: FastSet<SliceRange> = self
            .table
            .ranges
            .iter()
            .filter(|assigned| assigned.phase == AssignmentPhase::Releasing)
            .map(|assigned| assigned.range)
            .collect();
        self.move_targets.retain(|range, _target| releasing.contains(range));
        let instances: FastSet<&ServerInstance> =
            self.table.instances.iter().collect();
        self.grant_expiries.retain(|instance| instances.contains(instance));
        self.ended.retain(|instance| self.table.instances.contains(instance));
    }

    /// Computes the next table; `None` if nothing is to change.
    ///
    /// `status` returns what is known of a holder. `choose_target` picks a
    /// server for keys that have none. Nothing takes effect before the table
    /// is passed to [`committed`](Self::committed).
    pub fn plan(
        &mut self,
        now: LocalTime,
        status: impl Fn(&ServerInstance) -> HolderStatus,
        requests: &[MoveRequest],
        mut choose_target: impl FnMut(SliceRange) -> Option<ServerInstance>,
    ) -> Option<AssignmentTable> {
        let status = |instance: &ServerInstance| {
            if self.ended.contains(instance) {
                HolderStatus::Ended
            } else {
                status(instance)
            }
        };
        let mut next = self.table.clone();
        let mut changed = false;
        let mut targets = FastMap::default();
        for request in requests {
            changed |= begin_move(&mut next, request, status, &mut targets);
        }
        changed |= begin_releases(&mut next, status);
        changed |= self.regrant_outdated(&mut next);
        let free: Vec<usize> = next
            .ranges
            .iter()
            .enumerate()
            .filter(|(_, assigned)| self.is_free(now, assigned, status))
            .map(|(position, _)| position)
            .collect();
        for position in free {
            let range = next.ranges[position].range;
            let requested = self.move_targets.get(&range).cloned();
            let usable = |instance: &ServerInstance| {
                status(instance) == HolderStatus::Serving
            };
            let Some(target) =
                requested.filter(usable).or_else(|| choose_target(range))
            else {
                continue;
            };
            changed |= self.assign(&mut next, position, &target);
        }
        self.move_targets.extend(targets);
        if !changed {
            return None;
        }
        self.drop_delivered_handovers(&mut next);
        next.remove_unused_instances();
        Some(next)
    }

    /// Returns the orders that are due. The outcome of each has to be passed
    /// to [`order_ended`](Self::order_ended).
    pub fn orders(&mut self, now: LocalTime) -> Vec<ServerOrder> {
        let fully_released = self.fully_released_instances();
        let mut orders = Vec::new();
        for assigned in &self.table.ranges {
            let instance = self.table.instance(assigned.instance);
            // One order releases all ranges of a server. Released one by
            // one, each would take as long as its longest running work.
            let releases_all = assigned.phase == AssignmentPhase::Releasing
                && fully_released.get(&assigned.instance)
                    == Some(&assigned.token);
            let state = self.tracker.entry(assigned);
            if !state.needs_order() || now < state.due {
                continue;
            }
            if self.ended.contains(instance) {
                continue;
            }
            state.in_flight = true;
            let kind = match assigned.phase {
                AssignmentPhase::Granted => {
                    self.grant_expiries.record_send(instance);
                    OrderKind::Grant {
                        duration: self.timing.grant_duration,
                        handover: assigned.handover.clone(),
                    }
                }
                AssignmentPhase::Releasing => OrderKind::Release,
            };
            let range =
                if releases_all { SliceRange::ALL } else { assigned.range };
            let order = ServerOrder {
                instance: instance.clone(),
                range,
                token: assigned.token,
                kind,
            };
            if !(releases_all && orders.contains(&order)) {
                orders.push(order);
            }
        }
        orders
    }

    /// Records the outcome of an order that ended at `now`.
    pub fn order_ended(
        &mut self,
        now: LocalTime,
        order: &ServerOrder,
        outcome: &OrderOutcome,
    ) {
        let grant = matches!(order.kind, OrderKind::Grant { .. });
        if grant {
            self.grant_expiries.record_outcome(now, &order.instance, outcome);
        }
        if *outcome == OrderOutcome::Ended {
            self.ended.insert(order.instance.clone());
        }
        let timing = self.timing;
        let table = &self.table;
        let ranges = table.ranges.iter().filter(|assigned| {
            assigned.token == order.token
                && order.range.covers(assigned.range)
                && *table.instance(assigned.instance) == order.instance
        });
        for assigned in ranges {
            let state = self.tracker.entry(assigned);
            state.in_flight = false;
            state.due = now + timing.retry_delay;
            match outcome {
                OrderOutcome::Done { .. } if grant => {
                    state.response = OrderResponse::Granted;
                    state.due = now + timing.renew_interval;
                }
                OrderOutcome::Done { handover } => {
                    state.response = OrderResponse::Released(handover.clone());
                }
                OrderOutcome::Outdated if grant => {
                    state.response = OrderResponse::Outdated;
                }
                OrderOutcome::Outdated
                | OrderOutcome::Ended
                | OrderOutcome::NotSent
                | OrderOutcome::Unknown
                | OrderOutcome::TimedOut => {}
            }
        }
    }

    /// Whether no server can hold the keys of a range any more.
    fn is_free(
        &self,
        now: LocalTime,
        assigned: &AssignedRange,
        status: impl Fn(&ServerInstance) -> HolderStatus,
    ) -> bool {
        let Some(instance) =
            self.table.instances.get(usize::from(assigned.instance.0))
        else {
            return false;
        };
        // Grants are renewed until `Releasing` is committed, so before that
        // a range is not free, unless its holder has ended.
        let committed = self.table.ranges.iter().any(|known| {
            known.phase == AssignmentPhase::Releasing
                && known.range == assigned.range
                && known.token == assigned.token
        });
        if assigned.phase != AssignmentPhase::Releasing {
            return false;
        }
        let status = status(instance);
        if status == HolderStatus::Ended {
            return true;
        }
        let state = self.tracker.get(assigned);
        let released = state.is_some_and(|state| {
            matches!(state.response, OrderResponse::Released(_))
        });
        // A running server responds to the release. Only for a missing one
        // the planner waits until its grants have expired.
        let missing = status == HolderStatus::Missing;
        committed
            && (released
                || missing && self.grant_expiries.has_expired(now, instance))
    }

    /// Assigns a free range to a server, with the data that its last holder
    /// left.
    fn assign(
        &self,
        next: &mut AssignmentTable,
        position: usize,
        target: &ServerInstance,
    ) -> bool {
        let Some(key) = next.instance_key(target) else { return false };
        let token = next.next_token();
        let state = self.tracker.get(&next.ranges[position]);
        let handover = state.and_then(|state| match &state.response {
            OrderResponse::Released(left) => left.clone(),
            _ => None,
        });
        let assigned = &mut next.ranges[position];
        assigned.instance = key;
        assigned.token = token;
        assigned.phase = AssignmentPhase::Granted;
        assigned.handover = handover;
        true
    }

    /// Removes the handover data that holders have received. It is used only
    /// once, and makes up 2/3 of a table's bytes.
    fn drop_delivered_handovers(&self, next: &mut AssignmentTable) {
        for assigned in &mut next.ranges {
            if self
                .tracker
                .get(assigned)
                .is_some_and(|state| state.response == OrderResponse::Granted)
            {
                assigned.handover = None;
            }
        }
    }

    /// Grants ranges again, with a higher token, if the server reported the
    /// grant's token as outdated.
    fn regrant_outdated(&self, next: &mut AssignmentTable) -> bool {
        let outdated: Vec<usize> = next
            .ranges
            .iter()
            .enumerate()
            .filter(|(_, assigned)| {
                let state = self.tracker.get(assigned);
                assigned.phase == AssignmentPhase::Granted
                    && state.is_some_and(|state| {
                        state.response == OrderResponse::Outdated
                    })
            })
            .map(|(position, _)| position)
            .collect();
        for position in &outdated {
            let token = next.next_token();
            next.ranges[*position].token = token;
        }
        !outdated.is_empty()
    }

    /// The server instances whose ranges are all being released, with the
    /// one token of that release.
    ///
    /// An order names a server by its id, so two instances with the same id
    /// are left out: releasing all keys of the older one would also release
    /// what was granted to the restarted one since.
    fn fully_released_instances(&self) -> FastMap<InstanceKey, u64> {
        let mut tokens = FastMap::default();
        let mut mixed = FastSet::default();
        let mut ids = FastMap::default();
        for (key, instance) in self.table.instances() {
            if let Some(other) = ids.insert(&instance.id, key) {
                mixed.extend([key, other]);
            }
        }
        for assigned in &self.table.ranges {
            let first =
                *tokens.entry(assigned.instance).or_insert(assigned.token);
            if assigned.phase == AssignmentPhase::Granted
                || first != assigned.token
            {
                mixed.insert(assigned.instance);
            }
        }
        tokens.retain(|instance, _token| !mixed.contains(instance));
        tokens
    }
}

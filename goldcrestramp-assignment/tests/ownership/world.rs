//! The store, the servers and the planners, as small as they can be.

use std::net::SocketAddr;

use goldcrestramp_assignment::{
    AssignmentTable, HolderStatus, MoveRequest, OrderKind, OrderOutcome,
    PlannerTiming, PreviousPlanner, ServerInstance, ServerOrder, TablePlanner,
    last_grant_sent,
};
use goldcrestramp_types::{LocalTime, SliceIndex, SliceRange, TimeSpan};

/// How long a planner renews without proof of its place.
pub const PROOF_LIFE: TimeSpan = TimeSpan::from_millis(12_000);

/// How long a planner's record outlives the last proof of its lease.
const LEASE: TimeSpan = TimeSpan::from_millis(2_500);

/// How late a server takes an order that has come.
const MAX_ACCEPT_DELAY: TimeSpan = TimeSpan::from_millis(2_000);

const HOLD: TimeSpan = TimeSpan::from_millis(5_000);

/// Servers and VMs of the world.
pub const SERVERS: usize = 3;
pub const PLANNERS: usize = 3;

/// What keeps two servers from holding a key; each can be taken out.
#[expect(clippy::struct_excessive_bools, reason = "independent of each other")]
#[derive(Clone, Copy, Debug)]
pub struct WorldGuards {
    /// A commit needs the planner's own record to stand.
    pub commit_needs_record: bool,
    /// A new planner waits out what its predecessor may have sent.
    pub waits_for_predecessor: bool,
    /// A planner without proof of its place stops renewing in time.
    pub stops_without_proof: bool,
    /// A server refuses tokens below those it has seen.
    pub servers_check_tokens: bool,
    /// A server that restarted under its id is asked to release as well.
    pub releases_restarted: bool,
    /// A planner whose lease may be over opens no new connection.
    pub keeps_to_connections: bool,
}

impl WorldGuards {
    pub const ALL: Self = Self {
        commit_needs_record: true,
        waits_for_predecessor: true,
        stops_without_proof: true,
        servers_check_tokens: true,
        releases_restarted: true,
        keeps_to_connections: true,
    };
}

/// What a server holds of one run.
#[derive(Clone, Copy, Debug)]
struct ServerHold {
    range: SliceRange,
    until: LocalTime,
}

/// A backend server, through all its lives.
#[expect(clippy::struct_excessive_bools, reason = "independent of each other")]
#[derive(Clone, Debug)]
struct WorldServer {
    started_ms: u64,
    up: bool,
    /// Whether its entry lies in the store.
    listed: bool,
    leaving: bool,
    /// Whether planners can reach it.
    reachable: bool,
    holds: Vec<ServerHold>,
    /// The highest token seen, by run.
    seen: Vec<(SliceRange, u64)>,
    late: Vec<ServerOrder>,
    /// Orders that may still be taken, with until when.
    waiting: Vec<(ServerOrder, LocalTime)>,
}

/// A VM that plans, or believes so.
#[derive(Debug)]
struct WorldPlanner {
    planner: Option<TablePlanner>,
    /// The revision of its record in the store.
    record: u64,
    /// The revision of the table that it knows.
    table: u64,
    proof: LocalTime,
    /// The run of each server to which it has a connection.
    connections: [Option<u64>; SERVERS],
    /// A commit that the store may carry out later.
    pending: Option<(u64, u64, AssignmentTable)>,
}

/// How an order fares.
#[derive(Clone, Copy, Debug)]
pub enum OrderFate {
    Arrives,
    AnswerLost,
    Late,
    /// It is taken late, and its time counts from then.
    TakenLate,
    NotSent,
}

/// How a commit fares.
#[derive(Clone, Copy, Debug)]
pub enum CommitFate {
    Done,
    AnswerLost,
    Late,
    Lost,
}

#[derive(Debug)]
pub struct World {
    guards: WorldGuards,
    pub now: LocalTime,
    servers: Vec<WorldServer>,
    planners: Vec<WorldPlanner>,
    /// The store: revision counter, planner's record, table.
    revision: u64,
    record: u64,
    /// When the planner's record was written.
    record_at: LocalTime,
    table: (u64, AssignmentTable),
}

fn timing() -> PlannerTiming {
    PlannerTiming {
        grant_duration: HOLD,
        renew_interval: TimeSpan::from_millis(1_500),
        retry_delay: TimeSpan::from_millis(250),
    }
}

fn address(server: usize) -> SocketAddr {
    let port = 9_000 + u16::try_from(server).expect("a few servers");
    SocketAddr::from(([127, 0, 0, 1], port))
}

fn instance(server: usize, started_ms: u64) -> ServerInstance {
    let id = format!("server-{server}").into();
    ServerInstance { id, started_ms, address: address(server) }
}

fn number_of(instance: &ServerInstance) -> usize {
    usize::from(instance.address.port() - 9_000)
}

impl World {
    pub fn open(guards: WorldGuards) -> Self {
        let server = WorldServer {
            started_ms: 1,
            up: true,
            listed: true,
            leaving: false,
            reachable: true,
            holds: Vec::new(),
            seen: Vec::new(),
            late: Vec::new(),
            waiting: Vec::new(),
        };
        let instances: Vec<_> = (0..SERVERS).map(|n| instance(n, 1)).collect();
        let table = AssignmentTable::striped(&instances, 1).expect("servers");
        let planners = (0..PLANNERS).map(|_| WorldPlanner {
            planner: None,
            record: 0,
            table: 0,
            proof: LocalTime::default(),
            connections: [None; SERVERS],
            pending: None,
        });
        Self {
            guards,
            now: LocalTime::from_micros(100_000_000),
            servers: vec![server; SERVERS],
            planners: planners.collect(),
            revision: 1,
            record: 0,
            record_at: LocalTime::default(),
            table: (1, table),
        }
    }

    /// Time passes; all that is under way ends as it is told to later.
    pub fn wait(&mut self, millis: u64) {
        self.now = self.now + TimeSpan::from_millis(millis);
    }

    /// A VM becomes the planning one; the former may go on unaware.
    ///
    /// Unless the former gives its record up, its lease has to end first.
    pub fn take_over(&mut self, number: usize, former_stops: bool) {
        let now = self.now;
        let stands = self.planners.iter().enumerate().any(|(other, p)| {
            other != number
                && p.record == self.record
                && now.since(p.proof) < LEASE
        });
        if stands && !former_stops {
            return;
        }
        let former = self.record;
        let planned_by = self.record_at;
        self.revision += 1;
        self.record = self.revision;
        self.record_at = now;
        if former_stops {
            for (other, planner) in self.planners.iter_mut().enumerate() {
                if other != number && planner.record == former {
                    planner.planner = None;
                }
            }
        }
        let known = if former_stops {
            PreviousPlanner::Stopped { planned_by }
        } else {
            PreviousPlanner::MayRenew
        };
        let last_grant_at = if self.guards.waits_for_predecessor {
            last_grant_sent(now, known, PROOF_LIFE)
        } else {
            now
        };
        let table = self.table.1.clone();
        let planner = &mut self.planners[number];
        planner.planner =
            Some(TablePlanner::open(timing(), table, last_grant_at));
        planner.record = self.record;
        planner.table = self.table.0;
        planner.proof = now;
        planner.connections = [None; SERVERS];
    }

    /// The planner's lease is proved alive, if it still is.
    pub fn prove(&mut self, number: usize) {
        let planner = &mut self.planners[number];
        let alive = self.now.since(planner.proof) < LEASE;
        if planner.record == self.record && alive {
            planner.proof = self.now;
        }
    }

    /// The planner works out a table and commits it.
    pub fn plan(&mut self, number: usize, fate: CommitFate, wish: u16) {
        let (now, listed) = (self.now, self.listed());
        let fates = self.fates();
        let planner = &mut self.planners[number];
        let Some(plan) = &mut planner.planner else { return };
        let slice = SliceIndex::from(wish);
        let run = plan.table().find(slice).range;
        let last = u16::min(wish.saturating_add(99), run.last.get());
        let range = SliceRange { first: slice, last: last.into() };
        let wishes: Vec<MoveRequest> = listed
            .get(usize::from(wish) % listed.len().max(1))
            .map(|target| MoveRequest { range, target: target.clone() })
            .into_iter()
            .collect();
        let mut turn = usize::from(wish);
        let place = |_range| {
            turn += 1;
            listed.get(turn % listed.len().max(1)).cloned()
        };
        let fate_of = |instance: &ServerInstance| fates(instance);
        let Some(next) = plan.plan(now, fate_of, &wishes, place) else {
            return;
        };
        let commit = (planner.record, planner.table, next);
        match fate {
            CommitFate::Done => {
                self.commit(&commit);
                self.read_back(number);
            }
            CommitFate::AnswerLost => self.commit(&commit),
            CommitFate::Late => {
                self.planners[number].pending = Some(commit);
            }
            CommitFate::Lost => {}
        }
    }

    /// A commit that was on its way is carried out.
    pub fn late_commit(&mut self, number: usize) {
        if let Some(commit) = self.planners[number].pending.take() {
            self.commit(&commit);
        }
    }

    fn commit(&mut self, (record, table, next): &(u64, u64, AssignmentTable)) {
        let owns = !self.guards.commit_needs_record || *record == self.record;
        if owns && *table == self.table.0 {
            self.revision += 1;
            self.table = (self.revision, next.clone());
        }
    }

    /// The planner reads what lies in the store.
    pub fn read_back(&mut self, number: usize) {
        let (revision, table) = self.table.clone();
        let planner = &mut self.planners[number];
        if planner.table == revision {
            return;
        }
        if let Some(plan) = &mut planner.planner {
            plan.committed(table);
            planner.table = revision;
        }
    }

    /// The planner sends every order that is due.
    pub fn send_orders(&mut self, number: usize, fates: &[OrderFate]) {
        let now = self.now;
        let proven = now.since(self.planners[number].proof) < PROOF_LIFE;
        if self.guards.stops_without_proof && !proven {
            return;
        }
        let Some(plan) = &mut self.planners[number].planner else { return };
        let orders = plan.orders(now);
        for (position, order) in orders.into_iter().enumerate() {
            let fate = fates[position % fates.len()];
            let outcome = self.deliver(number, &order, fate);
            if let Some(plan) = &mut self.planners[number].planner {
                plan.order_ended(now, &order, &outcome);
            }
        }
    }

    fn deliver(
        &mut self,
        planner: usize,
        order: &ServerOrder,
        fate: OrderFate,
    ) -> OrderOutcome {
        let target = number_of(&order.instance);
        let server = &mut self.servers[target];
        let planner = &mut self.planners[planner];
        let connection = &mut planner.connections[target];
        if !server.up || !server.reachable {
            *connection = None;
            return match fate {
                OrderFate::NotSent => OrderOutcome::NotSent,
                _ => OrderOutcome::Unknown,
            };
        }
        // A connection ends with the run of the server that took it.
        if *connection != Some(server.started_ms) {
            let fresh = self.now.since(planner.proof) < LEASE;
            if !fresh && self.guards.keeps_to_connections {
                return OrderOutcome::NotSent;
            }
            *connection = Some(server.started_ms);
        }
        match fate {
            OrderFate::Arrives => self.carry_out(order, self.now),
            OrderFate::AnswerLost => {
                self.carry_out(order, self.now);
                OrderOutcome::Unknown
            }
            OrderFate::Late => {
                // Its time counts from its arrival all the same.
                let mut late = order.clone();
                if let OrderKind::Grant { duration, .. } = &mut late.kind {
                    let until = self.now + duration.percent(102);
                    *duration = until.since(LocalTime::default());
                }
                server.late.push(late);
                OrderOutcome::Unknown
            }
            OrderFate::TakenLate => {
                let until = self.now + MAX_ACCEPT_DELAY;
                server.waiting.push((order.clone(), until));
                OrderOutcome::TimedOut
            }
            OrderFate::NotSent => OrderOutcome::NotSent,
        }
    }

    /// An order that came earlier is carried out.
    pub fn late_order(&mut self, number: usize) {
        let late = std::mem::take(&mut self.servers[number].late);
        for order in late {
            self.carry_out(&order, LocalTime::default());
        }
        let waiting = std::mem::take(&mut self.servers[number].waiting);
        for (order, until) in waiting {
            if self.now <= until {
                self.carry_out(&order, self.now);
            }
        }
    }

    fn carry_out(
        &mut self,
        order: &ServerOrder,
        arrived: LocalTime,
    ) -> OrderOutcome {
        let checks = self.guards.servers_check_tokens;
        let server = &mut self.servers[number_of(&order.instance)];
        let higher = server.seen.iter().any(|(range, token)| {
            overlap(*range, order.range) && *token > order.token
        });
        if let OrderKind::Grant { .. } = order.kind
            && higher
            && checks
        {
            return OrderOutcome::Outdated;
        }
        server.seen.push((order.range, order.token));
        match &order.kind {
            OrderKind::Grant { duration, .. } => {
                let late = arrived == LocalTime::default();
                let percent = if late { 100 } else { 102 };
                let until = arrived + duration.percent(percent);
                server.holds.push(ServerHold { range: order.range, until });
            }
            OrderKind::Release => {
                let released = order.range;
                let held = std::mem::take(&mut server.holds);
                server.holds = held
                    .into_iter()
                    .flat_map(|hold| without(hold, released))
                    .collect();
            }
        }
        OrderOutcome::Done { handover: None }
    }

    pub fn crash(&mut self, number: usize) {
        let server = &mut self.servers[number];
        server.up = false;
        server.holds.clear();
        server.seen.clear();
        server.late.clear();
        server.waiting.clear();
    }

    /// A server starts again under its id, knowing nothing.
    pub fn restart(&mut self, number: usize) {
        self.crash(number);
        let server = &mut self.servers[number];
        server.up = true;
        server.listed = true;
        server.leaving = false;
        server.started_ms += 1;
    }

    pub fn set_listed(&mut self, number: usize, listed: bool) {
        let server = &mut self.servers[number];
        server.listed = listed && server.up;
    }

    pub fn set_reachable(&mut self, number: usize, reachable: bool) {
        self.servers[number].reachable = reachable;
    }

    pub fn leave(&mut self, number: usize) {
        self.servers[number].leaving = true;
    }

    fn listed(&self) -> Vec<ServerInstance> {
        let servers = self.servers.iter().enumerate();
        servers
            .filter(|(_, server)| server.listed && !server.leaving)
            .map(|(number, server)| instance(number, server.started_ms))
            .collect()
    }

    fn fates(&self) -> impl Fn(&ServerInstance) -> HolderStatus + use<> {
        let servers = self.servers.clone();
        let guards = self.guards;
        move |instance: &ServerInstance| {
            let server = &servers[number_of(instance)];
            match server.listed {
                false => HolderStatus::Missing,
                true if server.started_ms != instance.started_ms => {
                    self_restarted(guards)
                }
                true if server.leaving => HolderStatus::Leaving,
                true => HolderStatus::Serving,
            }
        }
    }

    /// A key that two servers hold now.
    pub fn doubly_held(&self) -> Option<SliceIndex> {
        let holders = |slice: SliceIndex| {
            let holds = |server: &&WorldServer| {
                server.holds.iter().any(|hold| {
                    hold.range.contains(slice) && hold.until > self.now
                })
            };
            self.servers.iter().filter(holds).count()
        };
        let firsts = self.servers.iter().flat_map(|server| {
            server.holds.iter().map(|hold| hold.range.first)
        });
        let mut firsts: Vec<SliceIndex> = firsts.collect();
        firsts.sort_unstable();
        firsts.dedup();
        firsts.into_iter().find(|slice| holders(*slice) > 1)
    }

    /// Keys that nobody holds, of those that the table grants.
    pub fn is_served(&self, slice: SliceIndex) -> bool {
        self.servers.iter().any(|server| {
            server.holds.iter().any(|hold| {
                hold.range.contains(slice) && hold.until > self.now
            })
        })
    }
}

/// An order names a server by its id, which a restarted one bears again.
fn self_restarted(guards: WorldGuards) -> HolderStatus {
    if guards.releases_restarted {
        HolderStatus::Leaving
    } else {
        HolderStatus::Ended
    }
}

fn overlap(a: SliceRange, b: SliceRange) -> bool {
    a.first <= b.last && b.first <= a.last
}

/// What is left of a hold when a run is released.
fn without(hold: ServerHold, released: SliceRange) -> Vec<ServerHold> {
    if !overlap(hold.range, released) {
        return vec![hold];
    }
    let (first, last) = (hold.range.first.get(), hold.range.last.get());
    let mut left = Vec::new();
    if let Some(end) = released.first.get().checked_sub(1)
        && first <= end
    {
        let range = SliceRange { first: first.into(), last: end.into() };
        left.push(ServerHold { range, ..hold });
    }
    if let Some(begin) = released.last.get().checked_add(1)
        && begin <= last
    {
        let range = SliceRange { first: begin.into(), last: last.into() };
        left.push(ServerHold { range, ..hold });
    }
    left
}

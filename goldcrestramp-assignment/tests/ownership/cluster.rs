//! A minimal simulation of the store, the servers and the planners.

use std::net::SocketAddr;

use goldcrestramp_assignment::{
    AssignmentTable, HolderStatus, MoveRequest, OrderKind, OrderOutcome,
    PlannerTiming, PreviousPlanner, ServerInstance, ServerOrder, TablePlanner,
    last_grant_sent,
};
use goldcrestramp_types::{LocalTime, SliceIndex, SliceRange, TimeSpan};

/// How long a planner renews grants without confirming its lease.
pub const PROOF_LIFETIME: TimeSpan = TimeSpan::from_millis(12_000);

/// How long a planner's record stays after the last proof of its lease.
const LEASE_TTL: TimeSpan = TimeSpan::from_millis(2_500);

/// How long after its arrival a server may still accept an order.
const MAX_ACCEPT_DELAY: TimeSpan = TimeSpan::from_millis(2_000);

const GRANT_DURATION: TimeSpan = TimeSpan::from_millis(5_000);

/// The numbers of servers and of planning VMs in the cluster.
pub const SERVERS: usize = 3;
pub const PLANNERS: usize = 3;

/// The guards that prevent two holders of a key; each can be disabled.
#[expect(clippy::struct_excessive_bools, reason = "independent of each other")]
#[derive(Clone, Copy, Debug)]
pub struct ClusterGuards {
    /// A commit is conditional on the planner's own record.
    pub commit_needs_record: bool,
    /// A new planner waits until its predecessors' grants have expired.
    pub waits_for_predecessor: bool,
    /// A planner without proof of its lease stops renewing in time.
    pub stops_without_proof: bool,
    /// A server rejects tokens below those it has seen.
    pub servers_check_tokens: bool,
    /// A server that restarted under its id also has to release its keys.
    pub releases_restarted: bool,
    /// A planner whose lease may have expired opens no new connection.
    pub keeps_to_connections: bool,
}

impl ClusterGuards {
    pub const ALL: Self = Self {
        commit_needs_record: true,
        waits_for_predecessor: true,
        stops_without_proof: true,
        servers_check_tokens: true,
        releases_restarted: true,
        keeps_to_connections: true,
    };
}

/// A range that a server holds, and when that grant expires.
#[derive(Clone, Copy, Debug)]
struct HeldRange {
    range: SliceRange,
    until: LocalTime,
}

/// A backend server, across restarts.
#[expect(clippy::struct_excessive_bools, reason = "independent of each other")]
#[derive(Clone, Debug)]
struct SimulatedServer {
    started_ms: u64,
    up: bool,
    /// Whether its entry is in the store.
    listed: bool,
    leaving: bool,
    /// Whether planners can reach it.
    reachable: bool,
    held_ranges: Vec<HeldRange>,
    /// The ranges and tokens of all accepted orders.
    seen: Vec<(SliceRange, u64)>,
    late: Vec<ServerOrder>,
    /// Orders that may still be accepted, with the deadline for that.
    waiting: Vec<(ServerOrder, LocalTime)>,
}

/// A VM that is the planner, or believes that it is.
#[derive(Debug)]
struct SimulatedPlanner {
    planner: Option<TablePlanner>,
    /// The revision of its record in the store.
    record: u64,
    /// The revision of the last table that it has read.
    table: u64,
    proof: LocalTime,
    /// The start time of each server instance that it is connected to.
    connections: [Option<u64>; SERVERS],
    /// A commit that the store may carry out later.
    pending: Option<(u64, u64, AssignmentTable)>,
}

/// How an order is delivered.
#[derive(Clone, Copy, Debug)]
pub enum OrderDelivery {
    Delivered,
    ResponseLost,
    Delayed,
    /// It is accepted late, and its duration counts from then.
    AcceptedLate,
    NotSent,
}

/// How a commit is delivered.
#[derive(Clone, Copy, Debug)]
pub enum CommitDelivery {
    Done,
    ResponseLost,
    Delayed,
    Lost,
}

#[derive(Debug)]
pub struct SimulatedCluster {
    guards: ClusterGuards,
    pub now: LocalTime,
    servers: Vec<SimulatedServer>,
    planners: Vec<SimulatedPlanner>,
    /// The store: its revision, the revision of the planner's record, and
    /// below the table.
    revision: u64,
    record: u64,
    /// When the planner's record was written.
    record_at: LocalTime,
    table: (u64, AssignmentTable),
}

fn timing() -> PlannerTiming {
    PlannerTiming {
        grant_duration: GRANT_DURATION,
        renew_interval: TimeSpan::from_millis(1_500),
        retry_delay: TimeSpan::from_millis(250),
    }
}

fn address(server: usize) -> SocketAddr {
    let port = 9_000 + u16::try_from(server).expect("port fits");
    SocketAddr::from(([127, 0, 0, 1], port))
}

fn instance(server: usize, started_ms: u64) -> ServerInstance {
    let id = format!("server-{server}").into();
    ServerInstance { id, started_ms, address: address(server) }
}

fn index_of(instance: &ServerInstance) -> usize {
    usize::from(instance.address.port() - 9_000)
}

impl SimulatedCluster {
    pub fn open(guards: ClusterGuards) -> Self {
        let server = SimulatedServer {
            started_ms: 1,
            up: true,
            listed: true,
            leaving: false,
            reachable: true,
            held_ranges: Vec::new(),
            seen: Vec::new(),
            late: Vec::new(),
            waiting: Vec::new(),
        };
        let instances: Vec<_> = (0..SERVERS).map(|n| instance(n, 1)).collect();
        let table = AssignmentTable::striped(&instances, 1)
            .expect("there are servers");
        let planners = (0..PLANNERS).map(|_| SimulatedPlanner {
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

    /// Lets time pass. Pending commits and orders stay pending.
    pub fn wait(&mut self, millis: u64) {
        self.now = self.now + TimeSpan::from_millis(millis);
    }

    /// Makes a VM the planner; the previous one may go on unaware.
    ///
    /// Unless the previous one gives up its record, its lease has to expire
    /// first.
    pub fn take_over(&mut self, index: usize, previous_stops: bool) {
        let now = self.now;
        let lease_valid =
            self.planners.iter().enumerate().any(|(other, p)| {
                other != index
                    && p.record == self.record
                    && now.since(p.proof) < LEASE_TTL
            });
        if lease_valid && !previous_stops {
            return;
        }
        let previous = self.record;
        let planned_by = self.record_at;
        self.revision += 1;
        self.record = self.revision;
        self.record_at = now;
        if previous_stops {
            for (other, planner) in self.planners.iter_mut().enumerate() {
                if other != index && planner.record == previous {
                    planner.planner = None;
                }
            }
        }
        let known = if previous_stops {
            PreviousPlanner::Stopped { planned_by }
        } else {
            PreviousPlanner::MayRenew
        };
        let last_grant_at = if self.guards.waits_for_predecessor {
            last_grant_sent(now, known, PROOF_LIFETIME)
        } else {
            now
        };
        let table = self.table.1.clone();
        let planner = &mut self.planners[index];
        planner.planner =
            Some(TablePlanner::open(timing(), table, last_grant_at));
        planner.record = self.record;
        planner.table = self.table.0;
        planner.proof = now;
        planner.connections = [None; SERVERS];
    }

    /// Proves that the planner's lease is alive, if it still is.
    pub fn prove(&mut self, index: usize) {
        let planner = &mut self.planners[index];
        let alive = self.now.since(planner.proof) < LEASE_TTL;
        if planner.record == self.record && alive {
            planner.proof = self.now;
        }
    }

    /// The planner computes a table and commits it.
    pub fn plan(
        &mut self,
        index: usize,
        delivery: CommitDelivery,
        choice: u16,
    ) {
        let (now, listed) = (self.now, self.listed());
        let status_of = self.status_lookup();
        let planner = &mut self.planners[index];
        let Some(plan) = &mut planner.planner else { return };
        let slice = SliceIndex::from(choice);
        let found = plan.table().find(slice).range;
        let last = u16::min(choice.saturating_add(99), found.last.get());
        let range = SliceRange { first: slice, last: last.into() };
        let requests: Vec<MoveRequest> = listed
            .get(usize::from(choice) % listed.len().max(1))
            .map(|target| MoveRequest { range, target: target.clone() })
            .into_iter()
            .collect();
        let mut next_server = usize::from(choice);
        let choose_target = |_range| {
            next_server += 1;
            listed.get(next_server % listed.len().max(1)).cloned()
        };
        let status = |instance: &ServerInstance| status_of(instance);
        let Some(next) = plan.plan(now, status, &requests, choose_target)
        else {
            return;
        };
        let commit = (planner.record, planner.table, next);
        match delivery {
            CommitDelivery::Done => {
                self.commit(&commit);
                self.read_back(index);
            }
            CommitDelivery::ResponseLost => self.commit(&commit),
            CommitDelivery::Delayed => {
                self.planners[index].pending = Some(commit);
            }
            CommitDelivery::Lost => {}
        }
    }

    /// The store carries out a delayed commit.
    pub fn late_commit(&mut self, index: usize) {
        if let Some(commit) = self.planners[index].pending.take() {
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

    /// The planner reads the table back from the store.
    pub fn read_back(&mut self, index: usize) {
        let (revision, table) = self.table.clone();
        let planner = &mut self.planners[index];
        if planner.table == revision {
            return;
        }
        if let Some(plan) = &mut planner.planner {
            plan.committed(table);
            planner.table = revision;
        }
    }

    /// The planner sends every order that is due.
    pub fn send_orders(&mut self, index: usize, deliveries: &[OrderDelivery]) {
        let now = self.now;
        let proven = now.since(self.planners[index].proof) < PROOF_LIFETIME;
        if self.guards.stops_without_proof && !proven {
            return;
        }
        let Some(plan) = &mut self.planners[index].planner else { return };
        let orders = plan.orders(now);
        for (position, order) in orders.into_iter().enumerate() {
            let delivery = deliveries[position % deliveries.len()];
            let outcome = self.deliver(index, &order, delivery);
            if let Some(plan) = &mut self.planners[index].planner {
                plan.order_ended(now, &order, &outcome);
            }
        }
    }

    fn deliver(
        &mut self,
        planner: usize,
        order: &ServerOrder,
        delivery: OrderDelivery,
    ) -> OrderOutcome {
        let target = index_of(&order.instance);
        let server = &mut self.servers[target];
        let planner = &mut self.planners[planner];
        let connection = &mut planner.connections[target];
        if !server.up || !server.reachable {
            *connection = None;
            return match delivery {
                OrderDelivery::NotSent => OrderOutcome::NotSent,
                _ => OrderOutcome::Unknown,
            };
        }
        // A connection closes when the server instance that accepted it ends.
        if *connection != Some(server.started_ms) {
            let fresh = self.now.since(planner.proof) < LEASE_TTL;
            if !fresh && self.guards.keeps_to_connections {
                return OrderOutcome::NotSent;
            }
            *connection = Some(server.started_ms);
        }
        match delivery {
            OrderDelivery::Delivered => self.carry_out(order, self.now),
            OrderDelivery::ResponseLost => {
                self.carry_out(order, self.now);
                OrderOutcome::Unknown
            }
            OrderDelivery::Delayed => {
                // The duration still counts from the order's arrival.
                let mut late = order.clone();
                if let OrderKind::Grant { duration, .. } = &mut late.kind {
                    let until = self.now + duration.percent(102);
                    *duration = until.since(LocalTime::default());
                }
                server.late.push(late);
                OrderOutcome::Unknown
            }
            OrderDelivery::AcceptedLate => {
                let until = self.now + MAX_ACCEPT_DELAY;
                server.waiting.push((order.clone(), until));
                OrderOutcome::TimedOut
            }
            OrderDelivery::NotSent => OrderOutcome::NotSent,
        }
    }

    /// The server carries out the orders that arrived earlier.
    pub fn late_order(&mut self, index: usize) {
        let late = std::mem::take(&mut self.servers[index].late);
        for order in late {
            self.carry_out(&order, LocalTime::default());
        }
        let waiting = std::mem::take(&mut self.servers[index].waiting);
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
        let server = &mut self.servers[index_of(&order.instance)];
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
                server
                    .held_ranges
                    .push(HeldRange { range: order.range, until });
            }
            OrderKind::Release => {
                let released = order.range;
                let before = std::mem::take(&mut server.held_ranges);
                server.held_ranges = before
                    .into_iter()
                    .flat_map(|held| without(held, released))
                    .collect();
            }
        }
        OrderOutcome::Done { handover: None }
    }

    pub fn crash(&mut self, index: usize) {
        let server = &mut self.servers[index];
        server.up = false;
        server.held_ranges.clear();
        server.seen.clear();
        server.late.clear();
        server.waiting.clear();
    }

    /// Restarts a server under its id, without its previous state.
    pub fn restart(&mut self, index: usize) {
        self.crash(index);
        let server = &mut self.servers[index];
        server.up = true;
        server.listed = true;
        server.leaving = false;
        server.started_ms += 1;
    }

    pub fn set_listed(&mut self, index: usize, listed: bool) {
        let server = &mut self.servers[index];
        server.listed = listed && server.up;
    }

    pub fn set_reachable(&mut self, index: usize, reachable: bool) {
        self.servers[index].reachable = reachable;
    }

    pub fn leave(&mut self, index: usize) {
        self.servers[index].leaving = true;
    }

    fn listed(&self) -> Vec<ServerInstance> {
        let servers = self.servers.iter().enumerate();
        servers
            .filter(|(_, server)| server.listed && !server.leaving)
            .map(|(index, server)| instance(index, server.started_ms))
            .collect()
    }

    fn status_lookup(
        &self,
    ) -> impl Fn(&ServerInstance) -> HolderStatus + use<> {
        let servers = self.servers.clone();
        let guards = self.guards;
        move |instance: &ServerInstance| {
            let server = &servers[index_of(instance)];
            match server.listed {
                false => HolderStatus::Missing,
                true if server.started_ms != instance.started_ms => {
                    restarted_status(guards)
                }
                true if server.leaving => HolderStatus::Leaving,
                true => HolderStatus::Serving,
            }
        }
    }

    /// A slice that two servers hold now.
    pub fn slice_with_two_holders(&self) -> Option<SliceIndex> {
        let holders = |slice: SliceIndex| {
            let holds = |server: &&SimulatedServer| {
                server.held_ranges.iter().any(|held| {
                    held.range.contains(slice) && held.until > self.now
                })
            };
            self.servers.iter().filter(holds).count()
        };
        let firsts = self.servers.iter().flat_map(|server| {
            server.held_ranges.iter().map(|held| held.range.first)
        });
        let mut firsts: Vec<SliceIndex> = firsts.collect();
        firsts.sort_unstable();
        firsts.dedup();
        firsts.into_iter().find(|slice| holders(*slice) > 1)
    }

    /// Whether a server holds the slice now.
    pub fn is_served(&self, slice: SliceIndex) -> bool {
        self.servers.iter().any(|server| {
            server.held_ranges.iter().any(|held| {
                held.range.contains(slice) && held.until > self.now
            })
        })
    }
}

/// The status of a server that restarted under its id. An order names a
/// server by its id, so it reaches the restarted one.
fn restarted_status(guards: ClusterGuards) -> HolderStatus {
    if guards.releases_restarted {
        HolderStatus::Leaving
    } else {
        HolderStatus::Ended
    }
}

fn overlap(a: SliceRange, b: SliceRange) -> bool {
    a.first <= b.last && b.first <= a.last
}

/// The parts of a held range that remain after a release.
fn without(held: HeldRange, released: SliceRange) -> Vec<HeldRange> {
    if !overlap(held.range, released) {
        return vec![held];
    }
    let (first, last) = (held.range.first.get(), held.range.last.get());
    let mut left = Vec::new();
    if let Some(end) = released.first.get().checked_sub(1)
        && first <= end
    {
        let range = SliceRange { first: first.into(), last: end.into() };
        left.push(HeldRange { range, ..held });
    }
    if let Some(begin) = released.last.get().checked_add(1)
        && begin <= last
    {
        let range = SliceRange { first: begin.into(), last: last.into() };
        left.push(HeldRange { range, ..held });
    }
    left
}

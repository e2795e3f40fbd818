//! The router's decisions and the two baselines behind one trait.

use goldcrestramp_decisions::{
    CompletionOutcome, GatewayLimit, OfferOutcome, QueueEvent, QueueSettings,
    QueuedRequest, RequestKey, ServerLimit, ServerQueue, ServerSignal,
    baseline::{BaselineEvent, BaselineRequest, FifoBaseline, StaticBaseline},
};
use goldcrestramp_types::{FastMap, LocalTime, NotRunReason, TimeSpan};

use crate::simulation::{SimRandom, SimRequest};

/// Entry VMs between callers and servers, as in the current deployments.
const GATEWAYS: usize = 10;
/// The queue of a gateway of the FIFO baseline for a server. It is bounded
/// only by memory.
const FIFO_QUEUE: usize = 1_000;
/// The requests in flight at a gateway of the static baseline, for each
/// server. With ten gateways that is ten times the slots of a server of four.
const STATIC_LIMIT: usize = 4;
/// The limit of all gateways of the router together.
const GATEWAY_LIMIT: usize = 4_000;

/// What a policy does with a request.
pub(crate) enum PolicyAction {
    Start(usize),
    Refuse(usize, NotRunReason),
}

/// A policy that admits, starts and refuses requests.
pub(crate) trait TrafficPolicy {
    fn arrive(&mut self, now: LocalTime, ticket: usize, request: &SimRequest);
    fn completed(&mut self, now: LocalTime, ticket: usize, span: TimeSpan);
    fn next_action(&mut self, now: LocalTime) -> Option<PolicyAction>;
    fn wake_at(&self) -> Option<LocalTime> {
        None
    }
}

/// The decisions of this crate.
pub(crate) struct RouterPolicy {
    gateway: GatewayLimit,
    servers: Vec<(ServerQueue, ServerLimit)>,
    tickets: FastMap<(usize, RequestKey), usize>,
    known: FastMap<usize, (usize, Option<RequestKey>, SimRequest)>,
    refused: Vec<(usize, NotRunReason)>,
    random: SimRandom,
}

impl RouterPolicy {
    pub(crate) fn new(servers: usize, slots: usize) -> Self {
        let now = LocalTime::from_micros(0);
        let settings = QueueSettings { slots, waiting_limit: 10_000 };
        let server = || {
            let queue = ServerQueue::open(now, settings);
            (queue, ServerLimit::open(now, slots))
        };
        Self {
            gateway: GatewayLimit::new(GATEWAY_LIMIT),
            servers: (0..servers).map(|_| server()).collect(),
            tickets: FastMap::default(),
            known: FastMap::default(),
            refused: Vec::new(),
            random: SimRandom::new(5),
        }
    }

    fn remove(
        &mut self,
        ticket: usize,
    ) -> Option<(usize, Option<RequestKey>)> {
        let (server, key, request) = self.known.remove(&ticket)?;
        self.gateway.leave(&request.caller);
        Some((server, key))
    }

    fn next_event(
        &mut self,
        now: LocalTime,
        server: usize,
    ) -> Option<PolicyAction> {
        let (queue, limit) = &mut self.servers[server];
        limit.tick(now, self.random.next());
        queue.set_limit(limit.verdict(now));
        match queue.poll(now, self.random.next())? {
            QueueEvent::Start(key) => {
                let ticket = self.tickets[&(server, key)];
                limit.started(now, self.known[&ticket].2.class);
                Some(PolicyAction::Start(ticket))
            }
            QueueEvent::GiveUp(key, refusal) => {
                let ticket = self.tickets.remove(&(server, key))?;
                self.remove(ticket);
                Some(PolicyAction::Refuse(ticket, refusal.reason))
            }
        }
    }
}

impl TrafficPolicy for RouterPolicy {
    fn arrive(&mut self, now: LocalTime, ticket: usize, request: &SimRequest) {
        if let Err(reason) = self.gateway.enter(&request.caller) {
            self.refused.push((ticket, reason));
            return;
        }
        let known = (request.server, None, request.clone());
        self.known.insert(ticket, known);
        let queued = QueuedRequest {
            caller: request.caller.clone(),
            weight: 1,
            key_hash: request.key,
            class: request.class,
            deadline: request.deadline,
        };
        let queue = &mut self.servers[request.server].0;
        match queue.offer(now, queued, self.random.next()) {
            OfferOutcome::Waiting(key) => {
                self.tickets.insert((request.server, key), ticket);
                let known = self.known.get_mut(&ticket).expect("is known");
                known.1 = Some(key);
            }
            OfferOutcome::Refused(refusal) => {
                self.remove(ticket);
                self.refused.push((ticket, refusal.reason));
            }
        }
    }

    fn completed(&mut self, now: LocalTime, ticket: usize, span: TimeSpan) {
        let class = self.known[&ticket].2.class;
        let (server, key) = self.remove(ticket).expect("is known");
        let key = key.expect("request was queued");
        self.tickets.remove(&(server, key));
        let (queue, limit) = &mut self.servers[server];
        queue.finished(now, key, CompletionOutcome::Answered);
        limit.replied(now);
        limit.finished(now, ServerSignal::Responded(class, span), 0);
    }

    fn next_action(&mut self, now: LocalTime) -> Option<PolicyAction> {
        if let Some((ticket, reason)) = self.refused.pop() {
            return Some(PolicyAction::Refuse(ticket, reason));
        }
        (0..self.servers.len()).find_map(|server| self.next_event(now, server))
    }

    fn wake_at(&self) -> Option<LocalTime> {
        let times = self.servers.iter().flat_map(|(queue, limit)| {
            [queue.wake_at(), limit.wake_at(LocalTime::default())]
        });
        times.flatten().min()
    }
}

/// The FIFO baseline, with round robin between gateways.
pub(crate) struct FifoPolicy {
    baseline: FifoBaseline,
    servers: FastMap<usize, usize>,
    count: usize,
    refused: Vec<usize>,
}

impl FifoPolicy {
    pub(crate) fn new(servers: usize, slots: usize) -> Self {
        let baseline = FifoBaseline::new(servers, GATEWAYS, slots, FIFO_QUEUE);
        let refused = Vec::new();
        Self { baseline, servers: FastMap::default(), count: servers, refused }
    }
}

impl TrafficPolicy for FifoPolicy {
    fn arrive(&mut self, _: LocalTime, ticket: usize, request: &SimRequest) {
        let (server, deadline) = (request.server, request.deadline);
        self.servers.insert(ticket, server);
        if !self.baseline.offer(BaselineRequest { ticket, server, deadline }) {
            self.refused.push(ticket);
        }
    }

    fn completed(&mut self, _: LocalTime, ticket: usize, _: TimeSpan) {
        self.baseline.finished(self.servers[&ticket]);
    }

    fn next_action(&mut self, now: LocalTime) -> Option<PolicyAction> {
        if let Some(ticket) = self.refused.pop() {
            return Some(PolicyAction::Refuse(
                ticket,
                NotRunReason::QueueFull,
            ));
        }
        let mut servers = 0..self.count;
        let event = servers.find_map(|s| self.baseline.poll(now, s))?;
        Some(action(event))
    }
}

/// The static baseline, with a fixed limit at each gateway.
pub(crate) struct StaticPolicy {
    baseline: StaticBaseline,
    started: FastMap<usize, (usize, usize)>,
    count: usize,
    refused: Vec<usize>,
}

impl StaticPolicy {
    pub(crate) fn new(servers: usize, slots: usize) -> Self {
        let limit = STATIC_LIMIT * servers;
        let baseline = StaticBaseline::new(servers, GATEWAYS, slots, limit);
        let refused = Vec::new();
        Self { baseline, started: FastMap::default(), count: servers, refused }
    }
}

impl TrafficPolicy for StaticPolicy {
    fn arrive(&mut self, _: LocalTime, ticket: usize, request: &SimRequest) {
        let (server, deadline) = (request.server, request.deadline);
        if !self.baseline.offer(BaselineRequest { ticket, server, deadline }) {
            self.refused.push(ticket);
        }
    }

    fn completed(&mut self, _: LocalTime, ticket: usize, _: TimeSpan) {
        let (server, gateway) = self.started[&ticket];
        self.baseline.finished(server, gateway);
    }

    fn next_action(&mut self, now: LocalTime) -> Option<PolicyAction> {
        if let Some(ticket) = self.refused.pop() {
            let reason = NotRunReason::GatewayFull;
            return Some(PolicyAction::Refuse(ticket, reason));
        }
        for server in 0..self.count {
            if let Some((event, gateway)) = self.baseline.poll(now, server) {
                if let BaselineEvent::Start(ticket) = event {
                    self.started.insert(ticket, (server, gateway));
                }
                return Some(action(event));
            }
        }
        None
    }
}

fn action(event: BaselineEvent) -> PolicyAction {
    match event {
        BaselineEvent::Start(ticket) => PolicyAction::Start(ticket),
        BaselineEvent::GiveUp(ticket) => {
            PolicyAction::Refuse(ticket, NotRunReason::DeadlinePassed)
        }
    }
}

//! A fixed limit of requests in flight at each gateway.

use std::collections::VecDeque;

use goldcrestramp_types::LocalTime;

use crate::baseline::{BaselineEvent, BaselineRequest};

/// Gateways, chosen by round robin, send requests at once up to their limit
/// and refuse the rest. Each server runs its requests in order of arrival.
#[derive(Clone, Debug)]
pub struct StaticBaseline {
    slots: usize,
    limit: usize,
    in_flight: Vec<usize>,
    /// The requests that wait for a slot at each server, with their gateway.
    queues: Vec<VecDeque<(BaselineRequest, usize)>>,
    running: Vec<usize>,
    arrivals: usize,
}

impl StaticBaseline {
    /// Creates gateways with no requests in flight.
    #[must_use]
    pub fn new(
        servers: usize,
        gateways: usize,
        slots: usize,
        limit: usize,
    ) -> Self {
        Self {
            slots,
            limit,
            in_flight: vec![0; gateways],
            queues: vec![VecDeque::new(); servers],
            running: vec![0; servers],
            arrivals: 0,
        }
    }

    /// Sends a request through the next gateway; returns `false` if it is
    /// full.
    pub fn offer(&mut self, request: BaselineRequest) -> bool {
        let gateway = self.arrivals % self.in_flight.len();
        self.arrivals += 1;
        let has_room = self.in_flight[gateway] < self.limit;
        if has_room {
            self.in_flight[gateway] += 1;
            self.queues[request.server].push_back((request, gateway));
        }
        has_room
    }

    /// The next event at a server, and the gateway of its request.
    pub fn poll(
        &mut self,
        now: LocalTime,
        server: usize,
    ) -> Option<(BaselineEvent, usize)> {
        if self.running[server] >= self.slots {
            return None;
        }
        let (request, gateway) = self.queues[server].pop_front()?;
        if request.deadline <= now {
            self.in_flight[gateway] -= 1;
            return Some((BaselineEvent::GiveUp(request.ticket), gateway));
        }
        self.running[server] += 1;
        Some((BaselineEvent::Start(request.ticket), gateway))
    }

    /// Frees a slot of a server and one request of a gateway's limit.
    pub fn finished(&mut self, server: usize, gateway: usize) {
        self.running[server] -= 1;
        self.in_flight[gateway] -= 1;
    }
}

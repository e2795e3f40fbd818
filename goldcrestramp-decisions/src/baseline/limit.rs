//! A fixed limit of requests under way at each gateway.

use std::collections::VecDeque;

use goldcrestramp_types::LocalTime;

use crate::baseline::{BaselineEvent, BaselineRequest};

/// Gateways by round robin send at once what is within their limit, and
/// refuse the rest; each server runs what it is sent in order of arrival.
#[derive(Clone, Debug)]
pub struct StaticBaseline {
    slots: usize,
    limit: usize,
    under_way: Vec<usize>,
    /// The requests at each server that wait for a slot, and their gateway.
    queues: Vec<VecDeque<(BaselineRequest, usize)>>,
    running: Vec<usize>,
    arrivals: usize,
}

impl StaticBaseline {
    /// Gateways with nothing under way.
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
            under_way: vec![0; gateways],
            queues: vec![VecDeque::new(); servers],
            running: vec![0; servers],
            arrivals: 0,
        }
    }

    /// Sends a request through the next gateway; `false`: it is full.
    pub fn offer(&mut self, request: BaselineRequest) -> bool {
        let gateway = self.arrivals % self.under_way.len();
        self.arrivals += 1;
        let has_room = self.under_way[gateway] < self.limit;
        if has_room {
            self.under_way[gateway] += 1;
            self.queues[request.server].push_back((request, gateway));
        }
        has_room
    }

    /// The next event at a server, and the gateway that it concerns.
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
            self.under_way[gateway] -= 1;
            return Some((BaselineEvent::GiveUp(request.ticket), gateway));
        }
        self.running[server] += 1;
        Some((BaselineEvent::Start(request.ticket), gateway))
    }

    /// Frees a slot of a server and a place of a gateway.
    pub fn finished(&mut self, server: usize, gateway: usize) {
        self.running[server] -= 1;
        self.under_way[gateway] -= 1;
    }
}

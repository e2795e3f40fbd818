//! Gateways by round robin, each with first-in-first-out queues.

use std::collections::VecDeque;

use goldcrestramp_types::LocalTime;

use crate::baseline::{BaselineEvent, BaselineRequest};

/// A server's free slot is offered to the gateways in turn. Each gateway has
/// one queue for each server, bounded in length only.
#[derive(Clone, Debug)]
pub struct FifoBaseline {
    slots: usize,
    queue_limit: usize,
    /// By server, then by gateway.
    queues: Vec<Vec<VecDeque<BaselineRequest>>>,
    running: Vec<usize>,
    /// The next gateway that is offered a slot, by server.
    next_gateways: Vec<usize>,
    arrivals: usize,
}

impl FifoBaseline {
    /// Creates gateways with empty queues.
    #[must_use]
    pub fn new(
        servers: usize,
        gateways: usize,
        slots: usize,
        queue_limit: usize,
    ) -> Self {
        Self {
            slots,
            queue_limit,
            queues: vec![vec![VecDeque::new(); gateways]; servers],
            running: vec![0; servers],
            next_gateways: vec![0; servers],
            arrivals: 0,
        }
    }

    /// Queues a request at the next gateway; returns `false` if its queue is
    /// full.
    pub fn offer(&mut self, request: BaselineRequest) -> bool {
        let queues = &mut self.queues[request.server];
        let gateway = self.arrivals % queues.len();
        self.arrivals += 1;
        let has_room = queues[gateway].len() < self.queue_limit;
        if has_room {
            queues[gateway].push_back(request);
        }
        has_room
    }

    /// The next event at a server.
    pub fn poll(
        &mut self,
        now: LocalTime,
        server: usize,
    ) -> Option<BaselineEvent> {
        if self.running[server] >= self.slots {
            return None;
        }
        let request = self.next(server)?;
        if request.deadline <= now {
            return Some(BaselineEvent::GiveUp(request.ticket));
        }
        self.running[server] += 1;
        Some(BaselineEvent::Start(request.ticket))
    }

    /// Frees a slot of a server.
    pub fn finished(&mut self, server: usize) {
        self.running[server] -= 1;
    }

    fn next(&mut self, server: usize) -> Option<BaselineRequest> {
        let gateways = self.queues[server].len();
        for _ in 0..gateways {
            let gateway = self.next_gateways[server] % gateways;
            self.next_gateways[server] += 1;
            let request = self.queues[server][gateway].pop_front();
            if request.is_some() {
                return request;
            }
        }
        None
    }
}

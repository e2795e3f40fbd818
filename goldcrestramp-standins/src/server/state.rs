//! The grant, the requests and the random source of a server, behind one lock.

use std::sync::Arc;

use bytes::Bytes;
use goldcrestramp_ownership::GrantHolder;
use goldcrestramp_types::{
    FastMap, RequestClass, ServerTime, SliceIndex, SliceSet,
};
use goldcrestramp_wire::server::{GrantOrder, GrantReply, RequestState};
use rand::{SeedableRng, rngs::StdRng};

use crate::{
    records::{ExecutionEntry, GrantEntry, MachineTime},
    server::{
        behaviour::ServerBehaviour, faults::ServerFaults, headers::RunRequest,
        log::LogWriter, requests::RequestTable, storage::KeyCache,
    },
};

/// The processing time of a server without faults, in percent.
const TYPICAL_PERCENT: u64 = 100;

/// The clock of one server instance.
///
/// It is the machine's clock plus an offset that differs between instances, so
/// that a router that compares the clocks of two servers fails.
#[derive(Clone, Copy, Debug)]
pub(super) struct InstanceClock {
    offset: u64,
}

impl InstanceClock {
    pub(super) const fn new(run: u64) -> Self {
        Self { offset: run & 0xffff_ffff }
    }

    pub(super) const fn server_time(self, now: MachineTime) -> ServerTime {
        ServerTime::from_micros(now.as_micros() + self.offset)
    }

    const fn machine_time(self, time: ServerTime) -> MachineTime {
        MachineTime::from_micros(time.as_micros().saturating_sub(self.offset))
    }
}

/// The mutable state of a server.
#[derive(Debug)]
pub(super) struct ServerState {
    pub(super) faults: ServerFaults,
    pub(super) requests: RequestTable,
    pub(super) log: LogWriter,
    /// The last response body and the request that it belongs to.
    pub(super) last_answer: Option<(Arc<str>, Bytes)>,
    pub(super) draws: StdRng,
    clock: InstanceClock,
    run: u64,
    holder: GrantHolder,
    cache: KeyCache,
    cold_until: FastMap<SliceIndex, MachineTime>,
    /// The number of running orders, by slice.
    running_orders: FastMap<SliceIndex, usize>,
    service: Arc<str>,
    behaviour: ServerBehaviour,
}

/// A request that has just started.
#[derive(Clone, Copy, Debug)]
pub(super) struct StartedWork {
    /// Its index in the log.
    pub(super) index: usize,
    /// The value of its key.
    pub(super) value: u64,
    /// Its processing time, in milliseconds.
    pub(super) work_ms: f64,
}

/// The data that records the end of a request.
#[derive(Debug)]
pub(super) struct EndedWork {
    pub(super) index: usize,
    pub(super) request: Arc<str>,
    pub(super) slice: SliceIndex,
    pub(super) class: RequestClass,
}

impl ServerState {
    pub(super) fn new(
        run: u64,
        behaviour: ServerBehaviour,
        cache: KeyCache,
        log: LogWriter,
    ) -> Self {
        Self {
            faults: ServerFaults::default(),
            requests: RequestTable::default(),
            log,
            last_answer: None,
            draws: StdRng::seed_from_u64(behaviour.seed),
            clock: InstanceClock::new(run),
            run,
            holder: GrantHolder::new(run, behaviour.checks_fence),
            cache,
            cold_until: FastMap::default(),
            running_orders: FastMap::default(),
            service: Arc::from(""),
            behaviour,
        }
    }

    /// Applies a grant order of the keeper, or refuses it.
    pub(super) fn apply(
        &mut self,
        now: MachineTime,
        order: &GrantOrder,
    ) -> GrantReply {
        let clock = self.clock.server_time(now);
        let before = self.held(clock);
        let mut reply = self.holder.apply(clock, order);
        let held = self.held(clock);
        if let Some(service) = &order.service {
            self.service = Arc::from(service.as_str());
        }
        if before.is_empty() {
            self.cache.clear();
        }
        self.cache.keep_only(&held);
        self.start_cold(now, &held, &before);
        reply.busy = self.running_orders.keys().copied().collect();
        reply.busy.subtract(&held);
        self.log.holds(self.hold_entry(now, held, &reply));
        reply
    }

    /// The slices that it holds; none once the grant has expired.
    fn held(&self, clock: ServerTime) -> SliceSet {
        self.holder.reply(clock, None).held.unwrap_or_default()
    }

    /// Makes newly gained slices slow at first.
    fn start_cold(
        &mut self,
        now: MachineTime,
        held: &SliceSet,
        before: &SliceSet,
    ) {
        let mut gained = held.clone();
        gained.subtract(before);
        let cold = now.as_micros() + self.behaviour.cold_ms * 1_000;
        let cold = MachineTime::from_micros(cold);
        self.cold_until.extend(gained.iter().map(|slice| (slice, cold)));
    }

    /// Records the end of a request.
    pub(super) fn end(
        &mut self,
        now: MachineTime,
        ended: &EndedWork,
        kept: Option<Bytes>,
    ) {
        self.log.ended(ended.index, now);
        self.requests.ended(&ended.request, kept);
        if let Some(count) = self.running_orders.get_mut(&ended.slice)
            && ended.class == RequestClass::Order
        {
            *count -= 1;
        }
        self.running_orders.retain(|_, count| *count > 0);
    }

    /// Starts a request if grant, token, deadline and cancellations allow it.
    ///
    /// An order takes effect here, in the same step as the check. A server
    /// that freezes later has therefore executed it while it owned the key.
    pub(super) fn start(
        &mut self,
        now: MachineTime,
        request: &RunRequest,
    ) -> Option<StartedWork> {
        if !self.may_start(now, request) {
            return None;
        }
        let key = Arc::from(format!("{}/{}", request.service, request.key));
        let value = match request.class {
            RequestClass::Order => self.cache.increment(request.slice, &key),
            _ => self.cache.value(request.slice, &key),
        };
        if request.class == RequestClass::Order {
            *self.running_orders.entry(request.slice).or_default() += 1;
        }
        let work_ms = self.draw_work(now, request);
        self.requests.started(&request.request);
        let index = self.log.started(self.execution_entry(now, request));
        Some(StartedWork { index, value, work_ms })
    }

    fn may_start(&self, now: MachineTime, request: &RunRequest) -> bool {
        let state = self.requests.state(&request.request);
        if state == RequestState::NotStarted {
            return false;
        }
        if self.faults.ignores_fence {
            return true;
        }
        let clock = self.clock.server_time(now);
        let in_time = clock <= request.start_by
            && request.deadline.is_none_or(|deadline| clock <= deadline);
        in_time && self.holder.may_start(clock, request.slice, request.token)
    }

    /// Draws the processing time of a request: longer if the slice is cold or
    /// the server is slowed down.
    #[expect(
        clippy::cast_precision_loss,
        reason = "percentages are small numbers"
    )]
    fn draw_work(&mut self, now: MachineTime, request: &RunRequest) -> f64 {
        let cold = self.cold_until.get(&request.slice);
        let cold_percent = match cold {
            Some(until) if now < *until => self.behaviour.cold_percent,
            _ => TYPICAL_PERCENT,
        };
        let percent = self.faults.slow_percent * cold_percent;
        let typical = self.behaviour.work.draw(request.class, &mut self.draws);
        typical * percent as f64 / (TYPICAL_PERCENT * TYPICAL_PERCENT) as f64
    }

    fn hold_entry(
        &self,
        now: MachineTime,
        slices: SliceSet,
        reply: &GrantReply,
    ) -> GrantEntry {
        GrantEntry {
            server: Arc::from(self.behaviour.name.as_str()),
            service: Arc::clone(&self.service),
            slices,
            token: reply.token,
            from: now,
            until: self.clock.machine_time(reply.deadline),
        }
    }

    fn execution_entry(
        &self,
        now: MachineTime,
        request: &RunRequest,
    ) -> ExecutionEntry {
        ExecutionEntry {
            server: Arc::from(self.behaviour.name.as_str()),
            domain: Arc::from(self.behaviour.domain.as_str()),
            run: self.run,
            request: Arc::clone(&request.request),
            service: Arc::clone(&request.service),
            key: Arc::clone(&request.key),
            slice: request.slice,
            class: request.class,
            token: request.token,
            started: now,
            ended: None,
        }
    }
}

//! What a server holds, remembers and draws, behind one lock.

use std::sync::Arc;

use bytes::Bytes;
use goldcrestramp_ownership::GrantHolder;
use goldcrestramp_types::{
    FastMap, RequestClass, ServerTime, SliceIndex, SliceSet,
};
use goldcrestramp_wire::server::{GrantOrder, GrantReply, RequestState};
use rand::{SeedableRng, rngs::StdRng};

use crate::{
    records::{ExecutionEntry, HoldEntry, MachineTime},
    server::{
        behaviour::ServerBehaviour, faults::ServerFaults, log::LogWriter,
        order::RunOrder, requests::RequestTable, storage::KeyCache,
    },
};

/// Percent of the usual.
const USUAL_PERCENT: u64 = 100;

/// The clock of one run of a server.
///
/// It is the machine's clock plus a number that differs between runs, so
/// that a router that compared the clocks of two servers would fail.
#[derive(Clone, Copy, Debug)]
pub(super) struct RunClock {
    offset: u64,
}

impl RunClock {
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

/// Everything that changes in a server.
#[derive(Debug)]
pub(super) struct ServerState {
    pub(super) faults: ServerFaults,
    pub(super) requests: RequestTable,
    pub(super) log: LogWriter,
    /// The last answer and the request that it belongs to.
    pub(super) last_answer: Option<(Arc<str>, Bytes)>,
    pub(super) draws: StdRng,
    clock: RunClock,
    run: u64,
    holder: GrantHolder,
    cache: KeyCache,
    cold_until: FastMap<SliceIndex, MachineTime>,
    /// The orders under way, by slice.
    ordering: FastMap<SliceIndex, usize>,
    service: Arc<str>,
    behaviour: ServerBehaviour,
}

/// A request that has just started.
#[derive(Clone, Copy, Debug)]
pub(super) struct StartedWork {
    /// Its number in the log.
    pub(super) index: usize,
    /// The value of its key.
    pub(super) value: u64,
    /// How long it takes, in milliseconds.
    pub(super) work_ms: f64,
}

/// What is needed to note the end of a request.
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
            clock: RunClock::new(run),
            run,
            holder: GrantHolder::new(run, behaviour.checks_fence),
            cache,
            cold_until: FastMap::default(),
            ordering: FastMap::default(),
            service: Arc::from(""),
            behaviour,
        }
    }

    /// Carries out an order of the keeper, or refuses it.
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
        self.warm_later(now, &held, &before);
        reply.busy = self.ordering.keys().copied().collect();
        reply.busy.subtract(&held);
        self.log.holds(self.hold_entry(now, held, &reply));
        reply
    }

    /// What it holds; nothing once the grant has lapsed.
    fn held(&self, clock: ServerTime) -> SliceSet {
        self.holder.reply(clock, None).held.unwrap_or_default()
    }

    /// Makes slices that were just gained slow at first.
    fn warm_later(
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

    /// Notes the end of a request.
    pub(super) fn end(
        &mut self,
        now: MachineTime,
        ended: &EndedWork,
        kept: Option<Bytes>,
    ) {
        self.log.ended(ended.index, now);
        self.requests.ended(&ended.request, kept);
        if let Some(count) = self.ordering.get_mut(&ended.slice)
            && ended.class == RequestClass::Order
        {
            *count -= 1;
        }
        self.ordering.retain(|_, count| *count > 0);
    }

    /// Starts a request, if grant, token, deadline and cancellations allow.
    ///
    /// An order takes effect here, in the same step as the check: a server
    /// that freezes later has done it while it owned the key.
    pub(super) fn start(
        &mut self,
        now: MachineTime,
        order: &RunOrder,
    ) -> Option<StartedWork> {
        if !self.may_start(now, order) {
            return None;
        }
        let key = Arc::from(format!("{}/{}", order.service, order.key));
        let value = match order.class {
            RequestClass::Order => self.cache.increment(order.slice, &key),
            _ => self.cache.value(order.slice, &key),
        };
        if order.class == RequestClass::Order {
            *self.ordering.entry(order.slice).or_default() += 1;
        }
        let work_ms = self.draw_work(now, order);
        self.requests.started(&order.request);
        let index = self.log.started(self.execution_entry(now, order));
        Some(StartedWork { index, value, work_ms })
    }

    fn may_start(&self, now: MachineTime, order: &RunOrder) -> bool {
        let request = self.requests.state(&order.request);
        if request == RequestState::NotStarted {
            return false;
        }
        if self.faults.ignores_fence {
            return true;
        }
        let clock = self.clock.server_time(now);
        let in_time = clock <= order.start_by
            && order.deadline.is_none_or(|deadline| clock <= deadline);
        in_time && self.holder.may_start(clock, order.slice, order.token)
    }

    /// Draws how long a request takes: longer when cold or made slow.
    #[expect(
        clippy::cast_precision_loss,
        reason = "percentages are small numbers"
    )]
    fn draw_work(&mut self, now: MachineTime, order: &RunOrder) -> f64 {
        let cold = self.cold_until.get(&order.slice);
        let cold_percent = match cold {
            Some(until) if now < *until => self.behaviour.cold_percent,
            _ => USUAL_PERCENT,
        };
        let percent = self.faults.slow_percent * cold_percent;
        let usual = self.behaviour.work.draw(order.class, &mut self.draws);
        usual * percent as f64 / (USUAL_PERCENT * USUAL_PERCENT) as f64
    }

    fn hold_entry(
        &self,
        now: MachineTime,
        slices: SliceSet,
        reply: &GrantReply,
    ) -> HoldEntry {
        HoldEntry {
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
        order: &RunOrder,
    ) -> ExecutionEntry {
        ExecutionEntry {
            server: Arc::from(self.behaviour.name.as_str()),
            domain: Arc::from(self.behaviour.domain.as_str()),
            run: self.run,
            request: Arc::clone(&order.request),
            service: Arc::clone(&order.service),
            key: Arc::clone(&order.key),
            slice: order.slice,
            class: order.class,
            token: order.token,
            started: now,
            ended: None,
        }
    }
}

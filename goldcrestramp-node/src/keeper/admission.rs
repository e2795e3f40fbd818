//! The request queue of each server that this VM keeps.
//!
//! The pure queue and limit decide which requests wait, start or are refused.
//! This module passes events to them, under a lock that is never held across
//! an await, and passes their decisions to the requests.

mod place;
mod state;

use std::sync::{Arc, Mutex, MutexGuard, PoisonError, Weak};

use goldcrestramp_decisions::{
    OfferOutcome, OwnerAdvice, QueueEvent, QueueRefusal, QueueSettings,
    QueuedRequest, RequestKey, ServerLimit, ServerQueue,
};
use goldcrestramp_types::{
    FastMap, LocalTime, RequestClass, ServerName, SliceIndex, TimeSpan,
};
use tokio::sync::{Notify, oneshot};

pub(crate) use self::place::QueuePlace;
use self::state::{AdmissionState, Waiter};
use crate::{
    context::NodeContext,
    keeper::{slot::SlotEnd, view::KeptServer},
};

/// The maximum number of requests that wait for one server. At 2 KiB each with
/// the heads of their bodies they take 20 MB. It is far more than can be
/// served within any deadline.
const MAX_WAITING: usize = 10_000;

/// The queues of all servers that this VM has kept since it started.
#[derive(Debug)]
pub(crate) struct ServerQueues {
    context: Arc<NodeContext>,
    queues: Mutex<FastMap<ServerName, Arc<ServerAdmission>>>,
}

impl ServerQueues {
    pub(crate) fn new(context: Arc<NodeContext>) -> Self {
        Self { context, queues: Mutex::default() }
    }

    /// The queue of a server, created on first use.
    pub(crate) fn queue(&self, kept: &KeptServer) -> Arc<ServerAdmission> {
        let mut queues =
            self.queues.lock().unwrap_or_else(PoisonError::into_inner);
        let order = &kept.order;
        let queue = queues.entry(order.server.clone()).or_insert_with(|| {
            let slots = order.slots as usize;
            ServerAdmission::spawn(
                Arc::clone(&self.context),
                order.server.clone(),
                slots,
            )
        });
        queue.record_instance(kept.pass.run);
        Arc::clone(queue)
    }
}

/// The running queue and limit of one server.
#[derive(Debug)]
pub(crate) struct ServerAdmission {
    context: Arc<NodeContext>,
    server: ServerName,
    slots: usize,
    state: Mutex<AdmissionState>,
    timer: Arc<Notify>,
}

impl ServerAdmission {
    /// Starts a queue and the task that wakes it.
    fn spawn(
        context: Arc<NodeContext>,
        server: ServerName,
        slots: usize,
    ) -> Arc<Self> {
        let now = context.now();
        let settings = QueueSettings { slots, waiting_limit: MAX_WAITING };
        let state = AdmissionState {
            queue: ServerQueue::open(now, settings),
            limit: ServerLimit::open(now, slots),
            waiters: FastMap::default(),
            advice: OwnerAdvice::Keep,
            instance: None,
            timer_at: None,
        };
        let timer = Arc::new(Notify::new());
        let admission = Arc::new(Self {
            context,
            server,
            slots,
            state: Mutex::new(state),
            timer: Arc::clone(&timer),
        });
        tokio::spawn(run_timer(Arc::downgrade(&admission), timer));
        admission
    }

    /// Puts a request in the queue.
    ///
    /// # Errors
    ///
    /// The refusal, at once.
    pub(crate) fn offer(
        self: &Arc<Self>,
        request: QueuedRequest,
        slice: SliceIndex,
    ) -> Result<QueuePlace, QueueRefusal> {
        let now = self.context.now();
        let class = request.class;
        let mut state = self.lock();
        // The verdict can change just by time, for example at the end of a
        // suspension.
        state.apply_limit(now);
        let key = match state.queue.offer(now, request, rand::random()) {
            OfferOutcome::Waiting(key) => key,
            OfferOutcome::Refused(refusal) => return Err(refusal),
        };
        let (sender, receiver) = oneshot::channel();
        state.waiters.insert(key, Waiter { class, sender });
        self.pump(&mut state, now);
        drop(state);
        let admission = Arc::clone(self);
        Ok(QueuePlace {
            admission,
            key,
            class,
            slice,
            receiver,
            resolved: false,
        })
    }

    /// Records that a part of a response arrived.
    pub(super) fn record_progress(&self) {
        let now = self.context.now();
        self.lock().limit.progressed(now);
    }

    /// Frees the slot of a request that has ended.
    pub(super) fn finish(
        &self,
        key: RequestKey,
        class: RequestClass,
        end: SlotEnd,
    ) {
        let now = self.context.now();
        let mut state = self.lock();
        state.finish(now, key, class, end);
        self.pump(&mut state, now);
    }

    /// Records that a response has started.
    pub(super) fn record_start(&self) {
        let now = self.context.now();
        self.lock().limit.replied(now);
    }

    /// Records the slot time of a request that has ended.
    pub(super) fn record_load(&self, slice: SliceIndex, slot_time: TimeSpan) {
        self.context.loads.record(&self.server, slice, slot_time);
    }

    /// Whether requests wait for a slot.
    pub(super) fn has_waiting(&self) -> bool {
        self.lock().queue.waiting() > 0
    }

    /// The current time.
    pub(super) fn now(&self) -> LocalTime {
        self.context.now()
    }

    /// Records the server's instance: a new one is cold.
    fn record_instance(&self, instance: u64) {
        let now = self.context.now();
        let mut state = self.lock();
        if state.instance.is_some_and(|known| known != instance) {
            state.limit.restarted(now);
        }
        state.instance = Some(instance);
    }

    /// Applies the queue's decisions until there are no more.
    fn pump(&self, state: &mut AdmissionState, now: LocalTime) {
        self.apply_advice(state, now);
        state.apply_limit(now);
        while let Some(event) = state.queue.poll(now, rand::random()) {
            match event {
                QueueEvent::Start(key) => state.start(now, key),
                QueueEvent::GiveUp(key, refusal) => {
                    state.give_up(key, refusal);
                }
            }
            state.apply_limit(now);
        }
        // In `on_timer` the time is set below all others, or each run of the
        // timer would wake it for the next.
        let wake = state.wake_at(now);
        if wake.is_some_and(|wake| state.timer_at.is_none_or(|at| wake < at)) {
            self.timer.notify_one();
        }
    }

    /// Does what is due and returns the time until the next run.
    fn on_timer(&self) -> Option<TimeSpan> {
        let now = self.context.now();
        let mut state = self.lock();
        state.limit.tick(now, rand::random());
        state.timer_at = Some(LocalTime::default());
        self.pump(&mut state, now);
        state.timer_at = state.wake_at(now);
        // A time that has passed has been handled. The minimum wait avoids a
        // busy loop with a coarse clock.
        let min_wait = TimeSpan::from_millis(1);
        state.timer_at.map(|wake| wake.since(now).max(min_wait))
    }

    /// Reports the server as full when its keys should move to others.
    fn apply_advice(&self, state: &mut AdmissionState, now: LocalTime) {
        let advice = state.limit.advice(now);
        let server = &self.server;
        if advice == OwnerAdvice::MoveAway {
            self.context.loads.set_full(now, server, self.slots);
        }
        if advice == state.advice {
            return;
        }
        state.advice = advice;
        match advice {
            OwnerAdvice::MoveAway => {
                log::warn!("keeper: {server} is slow or does not respond.");
            }
            OwnerAdvice::Keep => {
                log::info!("keeper: {server} responds normally again.");
            }
        }
    }

    fn lock(&self) -> MutexGuard<'_, AdmissionState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Drop for ServerAdmission {
    fn drop(&mut self) {
        self.timer.notify_one();
    }
}

/// Runs a queue when something is due without an event.
async fn run_timer(admission: Weak<ServerAdmission>, timer: Arc<Notify>) {
    loop {
        let Some(span) = admission.upgrade().map(|queue| queue.on_timer())
        else {
            return;
        };
        let changed = timer.notified();
        match span {
            Some(span) => {
                // The queue is checked again whether the wait timed out or
                // was notified.
                drop(tokio::time::timeout(span.to_std(), changed).await);
            }
            None => changed.await,
        }
    }
}

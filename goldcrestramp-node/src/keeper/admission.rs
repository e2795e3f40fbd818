//! The queue in front of each server that this VM keeps.
//!
//! Who waits, starts and is refused is decided by the pure queue and limit;
//! here they are told what happens, under a lock that is never held across
//! a wait, and what they decide is handed to the requests.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError, Weak};

use goldcrestramp_decisions::{
    CompletionOutcome, OfferOutcome, OwnerAdvice, QueueEvent, QueueRefusal,
    QueueSettings, QueuedRequest, RequestKey, ServerLimit, ServerQueue,
    ServerSign,
};
use goldcrestramp_types::{
    FastMap, LocalTime, RequestClass, ServerName, SliceIndex, TimeSpan,
};
use tokio::sync::{Notify, oneshot};

use crate::{
    context::NodeContext,
    keeper::{
        slot::{ServerSlot, SlotEnd},
        view::KeptServer,
    },
};

/// Requests that wait for one server: at 2 KiB with their bodies' heads,
/// 20 MB; far more than can be served within any deadline.
const WAITING_LIMIT: usize = 10_000;

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

    /// The queue of a server, opened when it is first asked for.
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
        queue.saw_run(kept.pass.run);
        Arc::clone(queue)
    }
}

/// A request that waits.
#[derive(Debug)]
struct Waiter {
    class: RequestClass,
    turn: oneshot::Sender<Result<(), QueueRefusal>>,
}

#[derive(Debug)]
struct AdmissionState {
    queue: ServerQueue,
    limit: ServerLimit,
    waiters: FastMap<RequestKey, Waiter>,
    /// What was last logged of the server.
    advice: OwnerAdvice,
    /// The run of the server that the limit knows.
    run: Option<u64>,
    /// When the timer task looks again.
    timer_at: Option<LocalTime>,
}

/// The queue and limit of one server, at work.
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
        let settings = QueueSettings { slots, waiting_limit: WAITING_LIMIT };
        let state = AdmissionState {
            queue: ServerQueue::open(now, settings),
            limit: ServerLimit::open(now, slots),
            waiters: FastMap::default(),
            advice: OwnerAdvice::Keep,
            run: None,
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
        tokio::spawn(keep_time(Arc::downgrade(&admission), timer));
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
        // The verdict may have changed with time alone, such as at the end
        // of a hold.
        state.apply_limit(now);
        let key = match state.queue.offer(now, request, rand::random()) {
            OfferOutcome::Waiting(key) => key,
            OfferOutcome::Refused(refusal) => return Err(refusal),
        };
        let (turn, turned) = oneshot::channel();
        state.waiters.insert(key, Waiter { class, turn });
        self.pump(&mut state, now);
        drop(state);
        let admission = Arc::clone(self);
        Ok(QueuePlace { admission, key, class, slice, turned, left: false })
    }

    /// Notes that a part of an answer came.
    pub(super) fn progressed(&self) {
        let now = self.context.now();
        self.lock().limit.progressed(now);
    }

    /// Frees the slot of a request that started at `since`.
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

    /// Notes that an answer has begun.
    pub(super) fn replied(&self) {
        let now = self.context.now();
        self.lock().limit.replied(now);
    }

    /// Adds the slot time of a request that has ended.
    pub(super) fn record_load(&self, slice: SliceIndex, used: TimeSpan) {
        self.context.loads.record(&self.server, slice, used);
    }

    /// Whether requests wait for a slot.
    pub(super) fn has_waiting(&self) -> bool {
        self.lock().queue.waiting() > 0
    }

    /// The present moment.
    pub(super) fn now(&self) -> LocalTime {
        self.context.now()
    }

    /// Takes note of the server's run: a new one is cold.
    fn saw_run(&self, run: u64) {
        let now = self.context.now();
        let mut state = self.lock();
        if state.run.is_some_and(|known| known != run) {
            state.limit.restarted(now);
        }
        state.run = Some(run);
    }

    /// Carries out what the queue decides until it has nothing more to do.
    fn pump(&self, state: &mut AdmissionState, now: LocalTime) {
        self.take_advice(state, now);
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
        let wake = state.wake_at();
        if wake.is_some_and(|wake| state.timer_at.is_none_or(|at| wake < at)) {
            self.timer.notify_one();
        }
    }

    /// Does what is due and tells when to look again.
    fn on_timer(&self) -> Option<TimeSpan> {
        let now = self.context.now();
        let mut state = self.lock();
        state.limit.tick(now, rand::random());
        state.timer_at = Some(now);
        self.pump(&mut state, now);
        state.timer_at = state.wake_at();
        // A time that is over has been acted on; the pause keeps a clock
        // that reads coarsely from spinning.
        let pause = TimeSpan::from_millis(1);
        state.timer_at.map(|wake| wake.since(now).max(pause))
    }

    /// Lets a server's keys move when they would be better off elsewhere.
    fn take_advice(&self, state: &mut AdmissionState, now: LocalTime) {
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
                log::warn!("keeper: {server} is slow or silent.");
            }
            OwnerAdvice::Keep => {
                log::info!("keeper: {server} does its work again.");
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

impl AdmissionState {
    fn apply_limit(&mut self, now: LocalTime) {
        self.queue.set_limit(self.limit.verdict(now));
    }

    fn start(&mut self, now: LocalTime, key: RequestKey) {
        let Some(waiter) = self.waiters.remove(&key) else { return };
        self.limit.started(now, waiter.class);
        if waiter.turn.send(Ok(())).is_err() {
            // Its caller went away between its turn and the lock.
            self.limit.replied(now);
            self.finish(now, key, waiter.class, SlotEnd::Cancelled);
        }
    }

    fn give_up(&mut self, key: RequestKey, refusal: QueueRefusal) {
        if let Some(waiter) = self.waiters.remove(&key) {
            // A caller that went away needs no answer.
            let _sent = waiter.turn.send(Err(refusal));
        }
    }

    fn finish(
        &mut self,
        now: LocalTime,
        key: RequestKey,
        class: RequestClass,
        end: SlotEnd,
    ) {
        let (outcome, sign) = match end {
            SlotEnd::Answered(span) => (
                CompletionOutcome::Answered,
                ServerSign::Answered(class, span),
            ),
            SlotEnd::Refused => {
                (CompletionOutcome::Refused, ServerSign::Refused)
            }
            SlotEnd::Unreachable => {
                (CompletionOutcome::Refused, ServerSign::Unreachable)
            }
            SlotEnd::Broken => (CompletionOutcome::Broken, ServerSign::Broken),
            SlotEnd::Cancelled => {
                (CompletionOutcome::Broken, ServerSign::Cancelled)
            }
        };
        self.queue.finished(now, key, outcome);
        self.limit.finished(now, sign, rand::random());
    }

    fn wake_at(&self) -> Option<LocalTime> {
        let wakes = [self.queue.wake_at(), self.limit.wake_at()];
        wakes.into_iter().flatten().min()
    }
}

/// A place in the queue; dropped, it is given up.
#[derive(Debug)]
pub(crate) struct QueuePlace {
    admission: Arc<ServerAdmission>,
    key: RequestKey,
    class: RequestClass,
    slice: SliceIndex,
    turned: oneshot::Receiver<Result<(), QueueRefusal>>,
    left: bool,
}

impl QueuePlace {
    /// Waits for the turn; may be called again after it was dropped.
    ///
    /// # Errors
    ///
    /// The refusal of a request that was given up.
    pub(crate) async fn turn(&mut self) -> Result<ServerSlot, QueueRefusal> {
        let turned = (&mut self.turned).await;
        self.left = true;
        match turned {
            Ok(Err(refusal)) => Err(refusal),
            // The sender lives in the state, which the place keeps.
            Ok(Ok(())) | Err(_) => Ok(ServerSlot::new(
                Arc::clone(&self.admission),
                self.key,
                self.class,
                self.slice,
            )),
        }
    }
}

impl Drop for QueuePlace {
    fn drop(&mut self) {
        if self.left {
            return;
        }
        let now = self.admission.now();
        let mut state = self.admission.lock();
        let waited = state.waiters.remove(&self.key).is_some();
        if waited {
            state.queue.cancel(self.key);
        } else {
            // Its turn came as it left: the slot is free again. One that
            // was given up is not known any more, which is no harm.
            self.turned.close();
            if let Ok(Ok(())) = self.turned.try_recv() {
                let end = SlotEnd::Cancelled;
                state.limit.replied(now);
                state.finish(now, self.key, self.class, end);
            }
        }
        self.admission.pump(&mut state, now);
    }
}

/// Wakes a queue when something is due without an event.
async fn keep_time(admission: Weak<ServerAdmission>, timer: Arc<Notify>) {
    loop {
        let Some(span) = admission.upgrade().map(|queue| queue.on_timer())
        else {
            return;
        };
        let changed = timer.notified();
        match span {
            Some(span) => {
                // Either end of the wait calls for another look.
                drop(tokio::time::timeout(span.to_std(), changed).await);
            }
            None => changed.await,
        }
    }
}

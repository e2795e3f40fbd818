/*!
The single queue in front of a backend server.

It handles bursts, busy callers, hot keys, long responses among short ones, and
more work than the server can do. Without one queue for all slots, each gateway
would decide by its own part of the traffic. The server's slots would be shared
by chance, and excess requests would wait at the server until their deadlines
have passed.

- *Fairness*: [`tree`] gives classes, callers and keys their shares.
- *Order*: within a key the earliest deadline is served first. A request
  that can no longer end in time is given up at that moment.
- *Refusal*: [`admission`] refuses on arrival what could not end in time. When
  the queue is full, the caller with the most waiting requests for its weight
  loses its least urgent one.
- *Slots*: [`slots`] keeps long responses from holding all of them.

Every operation is a few insertions in ordered sets, logarithmic in the number
of waiting requests; nothing is scanned.
*/

mod admission;
mod entry;
mod estimate;
mod flow;
mod request;
mod slots;
mod tree;

use std::collections::BTreeSet;

use goldcrestramp_types::{LocalTime, NotRunReason, RequestClass, TimeSpan};
use slotmap::SlotMap;

use crate::limit::LimitVerdict;
pub use crate::queue::request::{
    CancelOutcome, CompletionOutcome, OfferOutcome, QueueEvent, QueueRefusal,
    QueuedRequest, RequestKey,
};
use crate::queue::{
    estimate::{ServiceEstimate, WaitEstimate},
    slots::SlotTable,
    tree::{FlowEntry, FlowTree},
};

/// The bounds of a queue.
#[derive(Clone, Copy, Debug)]
pub struct QueueSettings {
    /// The number of requests that the server runs at once.
    pub slots: usize,
    /// The maximum number of waiting requests; each takes about 1 KiB.
    pub waiting_limit: usize,
}

/// Whether a request waits or runs.
#[derive(Clone, Copy, Debug)]
enum RequestPhase {
    Waiting { since: LocalTime, give_up_at: LocalTime },
    Running { since: LocalTime },
}

#[derive(Clone, Copy, Debug)]
struct RequestEntry {
    entry: FlowEntry,
    class: RequestClass,
    /// The expected wait, before its correction.
    expected: TimeSpan,
    phase: RequestPhase,
}

/// The queue of one server.
///
/// # Example
///
/// ```
/// use goldcrestramp_decisions::{
///     OfferOutcome, QueueEvent, QueueSettings, QueuedRequest, ServerQueue,
/// };
/// use goldcrestramp_types::{CallerName, LocalTime, RequestClass};
///
/// let now = LocalTime::from_micros(0);
/// let settings = QueueSettings { slots: 2, waiting_limit: 100 };
/// let mut queue = ServerQueue::open(now, settings);
/// let request = QueuedRequest {
///     caller: CallerName::new("shop-17").expect("name is valid"),
///     weight: 1,
///     key_hash: 42,
///     class: RequestClass::Lookup,
///     deadline: LocalTime::from_micros(100_000),
/// };
/// let OfferOutcome::Waiting(key) = queue.offer(now, request, 7) else {
///     panic!("an empty queue admits requests");
/// };
/// assert_eq!(queue.poll(now, 8), Some(QueueEvent::Start(key)));
/// ```
#[derive(Clone, Debug)]
pub struct ServerQueue {
    settings: QueueSettings,
    requests: SlotMap<RequestKey, RequestEntry>,
    tree: FlowTree,
    slots: SlotTable,
    estimates: [ServiceEstimate; 3],
    waits: [WaitEstimate; 3],
    /// Waiting requests by the latest time at which a start makes sense.
    give_up: BTreeSet<(LocalTime, RequestKey)>,
    /// Requests evicted from a full queue, not yet reported by `poll`.
    evicted: Vec<(RequestKey, QueueRefusal)>,
    /// Since when each class has had a request waiting.
    busy_since: [Option<LocalTime>; 3],
}

impl ServerQueue {
    /// Opens an empty queue.
    #[must_use]
    pub fn open(now: LocalTime, settings: QueueSettings) -> Self {
        Self {
            settings,
            requests: SlotMap::with_key(),
            tree: FlowTree::new(),
            slots: SlotTable::new(now, settings.slots),
            estimates: RequestClass::ALL
                .map(|class| ServiceEstimate::new(class, now)),
            waits: [const { WaitEstimate::new() }; 3],
            give_up: BTreeSet::new(),
            evicted: Vec::new(),
            busy_since: [None; 3],
        }
    }

    /// Sets what may be sent to the server now; running requests continue.
    pub const fn set_limit(&mut self, verdict: LimitVerdict) {
        self.slots.set_limit(verdict);
    }

    /// The number of waiting requests.
    #[must_use]
    pub fn waiting(&self) -> usize {
        self.tree.waiting()
    }

    /// The number of requests that hold a slot.
    #[must_use]
    pub const fn running(&self) -> usize {
        self.slots.running()
    }

    /// The number of flows in the fair queuing tree, as a measure of memory.
    #[must_use]
    pub fn flows(&self) -> usize {
        self.tree.len()
    }

    /// The expected slot time of a class.
    #[must_use]
    pub fn service_time(
        &self,
        now: LocalTime,
        class: RequestClass,
    ) -> TimeSpan {
        self.estimate(class).mean(now)
    }

    /// Admits a request or refuses it at once.
    ///
    /// `random` is a fresh random number for the jitter of the time after
    /// which a refused caller should retry. [`poll`](Self::poll) has to
    /// follow.
    pub fn offer(
        &mut self,
        now: LocalTime,
        request: QueuedRequest,
        random: u64,
    ) -> OfferOutcome {
        if request.class != RequestClass::Long {
            self.slots.record_short(now);
        }
        let QueuedRequest { caller, weight, key_hash, class, deadline } =
            request;
        let leaf = self.tree.leaf(class, &caller, weight, key_hash);
        let forecast = self.forecast(now, leaf, class, deadline);
        let reason =
            self.refusal_reason(now, leaf, class, deadline, &forecast);
        if let Some(reason) = reason {
            self.tree.release_idle(leaf);
            return OfferOutcome::Refused(forecast.refusal(reason, random));
        }
        if let Some(refused) = self.make_room(leaf, &forecast, random) {
            self.tree.release_idle(leaf);
            return OfferOutcome::Refused(refused);
        }
        let expected = forecast.expected;
        let key = self.admit(now, leaf, class, deadline, expected);
        OfferOutcome::Waiting(key)
    }

    /// The next event; called until it returns `None`.
    pub fn poll(&mut self, now: LocalTime, random: u64) -> Option<QueueEvent> {
        if let Some((key, refusal)) = self.evicted.pop() {
            return Some(QueueEvent::GiveUp(key, refusal));
        }
        if let Some(key) = self.expired(now) {
            let entry = self.requests[key];
            let leaf = entry.entry.leaf;
            let deadline = entry.entry.deadline;
            let forecast = self.forecast(now, leaf, entry.class, deadline);
            self.record_wait(now, &entry);
            self.withdraw(key);
            let reason = NotRunReason::DeadlinePassed;
            let refusal = forecast.refusal(reason, random);
            return Some(QueueEvent::GiveUp(key, refusal));
        }
        self.start_next(now).map(QueueEvent::Start)
    }

    /// Records the end of a started request and frees its slot.
    ///
    /// A request that is not running in this queue is ignored.
    pub fn finished(
        &mut self,
        now: LocalTime,
        key: RequestKey,
        outcome: CompletionOutcome,
    ) {
        let Some(entry) = self.requests.get(key).copied() else { return };
        let RequestPhase::Running { since } = entry.phase else { return };
        self.requests.remove(key);
        self.slots.release(now, entry.class);
        let used = now.since(since);
        if outcome == CompletionOutcome::Answered {
            self.estimate_mut(entry.class).record(now, used);
        }
        let FlowEntry { leaf, cost, .. } = entry.entry;
        self.tree.finish(leaf, cost, used.as_micros());
    }

    /// Withdraws a request that its caller no longer wants.
    pub fn cancel(&mut self, key: RequestKey) -> CancelOutcome {
        match self.requests.get(key).map(|entry| entry.phase) {
            Some(RequestPhase::Waiting { .. }) => {
                self.withdraw(key);
                CancelOutcome::Withdrawn
            }
            Some(RequestPhase::Running { .. }) => CancelOutcome::Running,
            None => CancelOutcome::Unknown,
        }
    }

    /// Withdraws all waiting requests, when the server leaves or its slices
    /// move; running requests continue.
    pub fn drain(&mut self) -> Vec<RequestKey> {
        let keys: Vec<_> = self.give_up.iter().map(|(_, key)| *key).collect();
        for key in &keys {
            self.withdraw(*key);
        }
        keys
    }

    /// When to poll again if nothing else happens before.
    #[must_use]
    pub fn wake_at(&self) -> Option<LocalTime> {
        let next_give_up = self.give_up.first().map(|(time, _)| *time);
        if let (Some(until), Some(time)) =
            (self.slots.resume_at(), next_give_up)
        {
            return Some(time.min(until));
        }
        if !self.slots.has_free() {
            return next_give_up;
        }
        let waits = self.tree.waiting_in(RequestClass::Long) > 0;
        let long = self.estimate(RequestClass::Long).undecayed_mean();
        let lent = waits.then(|| self.slots.lent_at(long));
        next_give_up.into_iter().chain(lent).min()
    }

    /// A waiting request whose latest time to start has passed.
    fn expired(&self, now: LocalTime) -> Option<RequestKey> {
        let (time, key) = self.give_up.first()?;
        (*time <= now).then_some(*key)
    }

    /// Removes a waiting request.
    fn withdraw(&mut self, key: RequestKey) {
        let Some(entry) = self.requests.remove(key) else { return };
        if let RequestPhase::Waiting { give_up_at, .. } = entry.phase {
            self.give_up.remove(&(give_up_at, key));
            self.tree.remove(entry.entry);
        }
        self.end_busy_if_empty(entry.class);
    }

    /// Starts the next request in fair order, if a slot is free for it.
    fn start_next(&mut self, now: LocalTime) -> Option<RequestKey> {
        let long = self.estimate(RequestClass::Long).undecayed_mean();
        let slots = &self.slots;
        let key =
            self.tree.first(|class| slots.may_start(now, class, long))?;
        self.record_wait(now, &self.requests[key].clone());
        let entry = &mut self.requests[key];
        if let RequestPhase::Waiting { give_up_at, .. } = entry.phase {
            self.give_up.remove(&(give_up_at, key));
        }
        entry.phase = RequestPhase::Running { since: now };
        let (class, entry) = (entry.class, entry.entry);
        self.slots.take(class);
        self.tree.start(entry);
        self.end_busy_if_empty(class);
        Some(key)
    }

    /// Updates the wait estimate when a request starts or is given up.
    fn record_wait(&mut self, now: LocalTime, entry: &RequestEntry) {
        if let RequestPhase::Waiting { since, .. } = entry.phase {
            let service = self.estimate(entry.class).mean(now);
            let waits = &mut self.waits[entry.class as usize];
            waits.record(entry.expected, now.since(since), service);
        }
    }

    /// Ends the busy period of a class when none of its requests waits.
    fn end_busy_if_empty(&mut self, class: RequestClass) {
        if self.tree.waiting_in(class) == 0 {
            self.busy_since[class as usize] = None;
        }
    }

    const fn estimate(&self, class: RequestClass) -> &ServiceEstimate {
        &self.estimates[class as usize]
    }

    const fn estimate_mut(
        &mut self,
        class: RequestClass,
    ) -> &mut ServiceEstimate {
        &mut self.estimates[class as usize]
    }
}

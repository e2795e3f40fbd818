/*!
The one queue in front of a backend server.

The load: bursts, hot callers, hot keys, long answers among short ones, and
more work than the server can do. Without one queue that sees every slot,
each gateway decides by its own part of the traffic: the server's slots are
shared by chance, and what it cannot do waits at the server until it is
worthless.

- *Whom it serves*: [`tree`] gives classes, callers and keys their shares.
- *Who waits how long*: within a key the earliest deadline goes first;
  what can no longer end in time is given up at that moment.
- *Who is refused*: [`admission`] refuses on arrival what would wait in
  vain. When the queue is full, the caller with the most waiting for its
  weight loses its least urgent request.
- *Which slots*: [`slots`] keeps long answers from holding all of them.

Every operation is a few insertions in ordered sets, logarithmic in what
waits; nothing is scanned.
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
    slots::SlotBook,
    tree::{FlowEntry, FlowTree},
};

/// The bounds of a queue.
#[derive(Clone, Copy, Debug)]
pub struct QueueSettings {
    /// The requests that the server runs at once.
    pub slots: usize,
    /// The most requests that wait; each takes about 1 KiB.
    pub waiting_limit: usize,
}

/// Where a request stands.
#[derive(Clone, Copy, Debug)]
enum RequestPhase {
    Waiting { since: LocalTime, give_up_at: LocalTime },
    Running { since: LocalTime },
}

#[derive(Clone, Copy, Debug)]
struct RequestEntry {
    entry: FlowEntry,
    class: RequestClass,
    /// The wait that was expected, before its correction.
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
///     caller: CallerName::new("shop-17").expect("a valid name"),
///     weight: 1,
///     key_hash: 42,
///     class: RequestClass::Lookup,
///     deadline: LocalTime::from_micros(100_000),
/// };
/// let OfferOutcome::Waiting(key) = queue.offer(now, request, 7) else {
///     panic!("an empty queue admits");
/// };
/// assert_eq!(queue.poll(now, 8), Some(QueueEvent::Start(key)));
/// ```
#[derive(Clone, Debug)]
pub struct ServerQueue {
    settings: QueueSettings,
    requests: SlotMap<RequestKey, RequestEntry>,
    tree: FlowTree,
    slots: SlotBook,
    estimates: [ServiceEstimate; 3],
    waits: [WaitEstimate; 3],
    /// Waiting requests by the last moment that makes sense to start.
    give_up: BTreeSet<(LocalTime, RequestKey)>,
    /// Requests pushed out of a full queue, to be told so.
    pushed_out: Vec<(RequestKey, QueueRefusal)>,
    /// Since when each class has had something waiting.
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
            slots: SlotBook::new(now, settings.slots),
            estimates: RequestClass::ALL
                .map(|class| ServiceEstimate::new(class, now)),
            waits: [const { WaitEstimate::new() }; 3],
            give_up: BTreeSet::new(),
            pushed_out: Vec::new(),
            busy_since: [None; 3],
        }
    }

    /// Takes what may be sent to the server now; what runs goes on.
    pub const fn set_limit(&mut self, verdict: LimitVerdict) {
        self.slots.set_limit(verdict);
    }

    /// Requests that wait.
    #[must_use]
    pub fn waiting(&self) -> usize {
        self.tree.waiting()
    }

    /// Requests that hold a slot.
    #[must_use]
    pub const fn running(&self) -> usize {
        self.slots.running()
    }

    /// Entries in the tables of fair shares: a measure of memory.
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

    /// Takes a request in or refuses it, at once.
    ///
    /// `random` is a fresh random number, for the jitter of the time after
    /// which a refused caller should come back. [`poll`](Self::poll) has to
    /// follow.
    pub fn offer(
        &mut self,
        now: LocalTime,
        request: QueuedRequest,
        random: u64,
    ) -> OfferOutcome {
        if request.class != RequestClass::Long {
            self.slots.saw_short(now);
        }
        let QueuedRequest { caller, weight, key_hash, class, deadline } =
            request;
        let leaf = self.tree.leaf(class, &caller, weight, key_hash);
        let forecast = self.forecast(now, leaf, class, deadline);
        let reason =
            self.refusal_reason(now, leaf, class, deadline, &forecast);
        if let Some(reason) = reason {
            self.tree.settle(leaf);
            return OfferOutcome::Refused(forecast.refusal(reason, random));
        }
        if let Some(refused) = self.make_room(leaf, &forecast, random) {
            self.tree.settle(leaf);
            return OfferOutcome::Refused(refused);
        }
        let expected = forecast.expected;
        let key = self.admit(now, leaf, class, deadline, expected);
        OfferOutcome::Waiting(key)
    }

    /// The next thing to do; called until it returns nothing.
    pub fn poll(&mut self, now: LocalTime, random: u64) -> Option<QueueEvent> {
        if let Some((key, refusal)) = self.pushed_out.pop() {
            return Some(QueueEvent::GiveUp(key, refusal));
        }
        if let Some(key) = self.overdue(now) {
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

    /// Takes the end of a started request and frees its slot.
    ///
    /// A request that the queue does not know as running is passed over.
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

    /// Withdraws everything that waits, when the server leaves or its
    /// slices move; what runs goes on.
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
        let overdue = self.give_up.first().map(|(time, _)| *time);
        if let (Some(until), Some(time)) = (self.slots.held_until(), overdue) {
            return Some(time.min(until));
        }
        if !self.slots.has_free() {
            return overdue;
        }
        let waits = self.tree.waiting_in(RequestClass::Long) > 0;
        let long = self.estimate(RequestClass::Long).mean_unaged();
        let lent = waits.then(|| self.slots.lent_at(long));
        overdue.into_iter().chain(lent).min()
    }

    /// A waiting request whose time to start is over.
    fn overdue(&self, now: LocalTime) -> Option<RequestKey> {
        let (time, key) = self.give_up.first()?;
        (*time <= now).then_some(*key)
    }

    /// Takes a waiting request out for good.
    fn withdraw(&mut self, key: RequestKey) {
        let Some(entry) = self.requests.remove(key) else { return };
        if let RequestPhase::Waiting { give_up_at, .. } = entry.phase {
            self.give_up.remove(&(give_up_at, key));
            self.tree.remove(entry.entry);
        }
        self.note_empty(entry.class);
    }

    /// Starts the request whose turn it is, if a slot is free for it.
    fn start_next(&mut self, now: LocalTime) -> Option<RequestKey> {
        let long = self.estimate(RequestClass::Long).mean_unaged();
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
        self.note_empty(class);
        Some(key)
    }

    /// Learns from the wait of a request that starts or is given up.
    fn record_wait(&mut self, now: LocalTime, entry: &RequestEntry) {
        if let RequestPhase::Waiting { since, .. } = entry.phase {
            let service = self.estimate(entry.class).mean(now);
            let waits = &mut self.waits[entry.class as usize];
            waits.record(entry.expected, now.since(since), service);
        }
    }

    /// Ends the busy time of a class when nothing of it waits.
    fn note_empty(&mut self, class: RequestClass) {
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

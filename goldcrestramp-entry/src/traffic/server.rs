//! What the traffic thread knows of one run of a backend server.

use std::{
    cell::{Cell, RefCell},
    io,
    rc::Rc,
    sync::Arc,
};

use goldcrestramp_assignment::ServerInstance;
use goldcrestramp_decisions::{
    AdmissionQueue, LimitVerdict, RateAllowance, ResponseTimes, ServerLimit,
    ServerSignal,
};
use goldcrestramp_types::{
    ClockSource, LocalTime, MonotonicClock, RequestClass, TimeSpan,
};
use tokio::sync::oneshot;

use crate::{
    http::{CloseMode, ConnectionSender, dial, usable},
    traffic::request::RoutedRequest,
};

/// Wakes a request that waits.
pub(crate) type RequestQueue = AdmissionQueue<oneshot::Sender<()>>;

/// A kept connection of which the server does not say how long it keeps
/// it: shorter than what servers usually do.
const IDLE_USUAL: TimeSpan = TimeSpan::from_millis(4_000);

/// A kept connection is given up this long before the server closes it. A
/// request that crosses the close is lost, and an order is not sent again.
const IDLE_MARGIN: TimeSpan = TimeSpan::from_millis(1_500);

/// A connection that is kept.
#[derive(Debug)]
struct IdleConnection {
    sender: ConnectionSender,
    until: LocalTime,
}

/// One run of a backend server.
#[derive(Debug)]
pub(crate) struct ServerState {
    pub(crate) instance: ServerInstance,
    limit: RefCell<ServerLimit>,
    in_flight: Cell<usize>,
    pub(crate) times: RefCell<ResponseTimes>,
    idle: RefCell<Vec<IdleConnection>>,
    /// Requests that wait for this server alone.
    pub(crate) queue: RefCell<RequestQueue>,
    /// What this VM may have under way there at the most.
    pub(crate) share: Cell<usize>,
    /// What it may send if the server names a limit.
    pub(crate) allowance: RefCell<RateAllowance>,
    /// Requests that wait for a permit to be sent there.
    pub(crate) permit_waits: Cell<usize>,
}

impl ServerState {
    pub(crate) fn open(
        instance: ServerInstance,
        limit: ServerLimit,
        share: usize,
    ) -> Self {
        Self {
            instance,
            limit: RefCell::new(limit),
            in_flight: Cell::new(0),
            times: RefCell::default(),
            idle: RefCell::default(),
            queue: RefCell::default(),
            share: Cell::new(share),
            allowance: RefCell::default(),
            permit_waits: Cell::new(0),
        }
    }

    /// What may be under way now; 0: nothing is to be sent.
    pub(crate) fn limit(&self, now: LocalTime) -> usize {
        let mut limit = self.limit.borrow_mut();
        limit.tick(now, rand::random());
        match limit.verdict(now) {
            LimitVerdict::Allowed(most) => most.min(self.share.get()),
            LimitVerdict::Suspended(_until) => 0,
        }
    }

    pub(crate) fn in_flight(&self) -> usize {
        self.in_flight.get()
    }

    /// Takes a place at the server until the slot is dropped.
    pub(crate) fn enter(
        self: &Rc<Self>,
        now: LocalTime,
        request: &RoutedRequest,
        queue: Option<Rc<RefCell<RequestQueue>>>,
    ) -> ServerSlot {
        let class = request.class();
        self.in_flight.set(self.in_flight.get() + 1);
        self.limit.borrow_mut().started(now, class);
        ServerSlot {
            server: Rc::clone(self),
            since: now,
            class,
            route: Arc::clone(&request.route.name),
            queue,
            replied: Cell::new(false),
            ended: Cell::new(false),
        }
    }

    /// A connection to the server, kept or new.
    pub(crate) async fn link(&self) -> io::Result<ConnectionSender> {
        while let Some(sender) = self.pop_idle() {
            if let Some(sender) = usable(sender).await {
                return Ok(sender);
            }
        }
        dial(self.instance.address, CloseMode::Close).await
    }

    /// Keeps a connection whose answer was read whole.
    pub(crate) fn keep(
        &self,
        sender: ConnectionSender,
        said: Option<TimeSpan>,
    ) {
        let span = said.map_or(IDLE_USUAL, |said| said.minus(IDLE_MARGIN));
        if span == TimeSpan::ZERO || sender.is_closed() {
            return;
        }
        let until = MonotonicClock.now() + span;
        self.idle.borrow_mut().push(IdleConnection { sender, until });
    }

    /// The connection that was used last: the others fall idle and end.
    fn pop_idle(&self) -> Option<ConnectionSender> {
        let now = MonotonicClock.now();
        let mut idle = self.idle.borrow_mut();
        idle.retain(|link| link.until > now && !link.sender.is_closed());
        idle.pop().map(|link| link.sender)
    }
}

/// A place that a request holds at a server.
///
/// Dropped without an end, the request was withdrawn: its caller has left.
#[derive(Debug)]
pub(crate) struct ServerSlot {
    pub(crate) server: Rc<ServerState>,
    pub(crate) since: LocalTime,
    class: RequestClass,
    route: Arc<str>,
    /// The queue of the service, where any server may serve.
    queue: Option<Rc<RefCell<RequestQueue>>>,
    replied: Cell<bool>,
    ended: Cell<bool>,
}

impl ServerSlot {
    /// Notes that the answer has begun, or is no longer waited for.
    pub(crate) fn replied(&self, now: LocalTime) {
        if !self.replied.replace(true) {
            self.server.limit.borrow_mut().replied(now);
        }
    }

    /// Notes how the request ended.
    pub(crate) fn end(&self, now: LocalTime, sign: ServerSignal) {
        self.replied(now);
        if self.ended.replace(true) {
            return;
        }
        let server = &self.server;
        server.limit.borrow_mut().finished(now, sign, rand::random());
    }

    /// Notes an answer of the server.
    pub(crate) fn answered(&self, now: LocalTime) -> TimeSpan {
        let span = now.since(self.since);
        self.server.times.borrow_mut().record(&self.route, span);
        self.end(now, ServerSignal::Answered(self.class, span));
        span
    }
}

impl Drop for ServerSlot {
    fn drop(&mut self) {
        self.end(MonotonicClock.now(), ServerSignal::Cancelled);
        let server = &self.server;
        server.in_flight.set(server.in_flight.get().saturating_sub(1));
        let own = server.queue.borrow_mut().wake();
        let next = own.or_else(|| self.queue.as_ref()?.borrow_mut().wake());
        if let Some(next) = next {
            // One that has left the queue has gone with its caller.
            let _left = next.send(());
        }
    }
}

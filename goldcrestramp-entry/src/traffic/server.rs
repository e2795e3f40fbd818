//! The state that the traffic thread keeps of one server instance.

use std::{
    cell::{Cell, RefCell},
    io,
    rc::Rc,
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
};

use goldcrestramp_assignment::ServerInstance;
use goldcrestramp_decisions::{
    AdmissionQueue, ColdAllowance, FleetPosition, LimitVerdict, RateAllowance,
    ResponseTimes, ServerLimit, ServerSignal,
};
use goldcrestramp_types::{
    ClockSource, LocalTime, MonotonicClock, RequestClass, TimeSpan,
};
use tokio::sync::oneshot;

use crate::{
    http::{CloseMode, ConnectionSender, dial_buffered, usable},
    traffic::{
        bulk::BulkTransfer, memory::SERVER_BUFFER_BYTES,
        request::RoutedRequest,
    },
};

/// A queue of requests; the sender wakes one of them.
pub(crate) type RequestQueue = AdmissionQueue<oneshot::Sender<()>>;

/// How long an idle connection is kept if the server does not state its own
/// limit: shorter than servers usually keep one.
const DEFAULT_IDLE_TIME: TimeSpan = TimeSpan::from_millis(4_000);

/// An idle connection is dropped this long before the server closes it. A
/// request that crosses the close on the wire is lost, and an order is not
/// retried.
const IDLE_MARGIN: TimeSpan = TimeSpan::from_millis(1_500);

/// Identifies a connection to a server within this process.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) struct ConnectionKey(u64);

impl ConnectionKey {
    fn next() -> Self {
        static NEXT: AtomicU64 = AtomicU64::new(1);
        Self(NEXT.fetch_add(1, Ordering::Relaxed))
    }

    /// The number in logs.
    pub(crate) const fn get(self) -> u64 {
        self.0
    }
}

/// An open connection to a server.
#[derive(Debug)]
pub(crate) struct ServerConnection {
    pub(crate) key: ConnectionKey,
    pub(crate) sender: ConnectionSender,
}

/// An idle connection and the time until which it is kept.
#[derive(Debug)]
struct IdleConnection {
    connection: ServerConnection,
    until: LocalTime,
}

/// One instance of a backend server.
#[derive(Debug)]
pub(crate) struct ServerState {
    pub(crate) instance: ServerInstance,
    limit: RefCell<ServerLimit>,
    in_flight: Cell<usize>,
    pub(crate) times: RefCell<ResponseTimes>,
    idle: RefCell<Vec<IdleConnection>>,
    /// Requests that wait for this server only.
    pub(crate) queue: RefCell<RequestQueue>,
    /// The maximum number of this VM's requests in flight there.
    pub(crate) share: Cell<usize>,
    /// The permits of this VM if the server states a rate limit.
    pub(crate) allowance: RefCell<RateAllowance>,
    /// The number of requests that wait for a permit to be sent there.
    pub(crate) permit_waiters: Cell<usize>,
    /// When this VM may send to the server while it is cold.
    pub(crate) cold_allowance: Cell<ColdAllowance>,
    /// This VM's position among the VMs that may send there while it is cold,
    /// and until when it is valid.
    pub(crate) cold_position: Cell<Option<(FleetPosition, LocalTime)>>,
    /// The earliest time at which a connection may be opened only to learn
    /// whether the server has ended.
    pub(crate) probe_due_at: Cell<LocalTime>,
    /// The bytes of the requests in flight there.
    pub(crate) request_bytes: Cell<u64>,
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
            permit_waiters: Cell::new(0),
            cold_allowance: Cell::default(),
            cold_position: Cell::default(),
            probe_due_at: Cell::default(),
            request_bytes: Cell::default(),
        }
    }

    /// The current limit of requests in flight; 0 if nothing may be sent.
    pub(crate) fn limit(&self, now: LocalTime) -> usize {
        let mut limit = self.limit.borrow_mut();
        limit.tick(now, rand::random());
        match limit.verdict(now) {
            LimitVerdict::Allowed(max) => max.min(self.share.get()),
            LimitVerdict::Suspended(_until) => 0,
        }
    }

    pub(crate) fn in_flight(&self) -> usize {
        self.in_flight.get()
    }

    /// Takes a slot at the server until it is dropped.
    pub(crate) fn enter(
        self: &Rc<Self>,
        now: LocalTime,
        request: &RoutedRequest,
        queue: Option<Rc<RefCell<RequestQueue>>>,
    ) -> ServerSlot {
        let class = request.class();
        self.in_flight.set(self.in_flight.get() + 1);
        let bytes = request.body.borrow().size();
        self.request_bytes.set(self.request_bytes.get() + bytes);
        self.limit.borrow_mut().started(now, class);
        ServerSlot {
            server: Rc::clone(self),
            entered_at: now,
            class,
            route: Arc::clone(&request.route.name),
            queue,
            bytes,
            replied: Cell::new(false),
            ended: Cell::new(false),
            transfer: None,
        }
    }

    /// Discards what failures over this VM's own lost links showed.
    pub(crate) fn links_restored(&self, now: LocalTime) {
        self.limit.borrow_mut().links_restored(now);
    }

    /// Takes an idle connection to the server, other than the ones in `used`.
    pub(crate) async fn take_idle(
        &self,
        used: &[ConnectionKey],
    ) -> Option<ServerConnection> {
        while let Some(ServerConnection { key, sender }) = self.pop_idle(used)
        {
            if let Some(sender) = usable(sender).await {
                return Some(ServerConnection { key, sender });
            }
        }
        None
    }

    /// Opens a new connection to the server.
    pub(crate) async fn connect(&self) -> io::Result<ServerConnection> {
        let address = self.instance.address;
        let buffer = Some(SERVER_BUFFER_BYTES);
        let sender = dial_buffered(address, CloseMode::Close, buffer).await?;
        Ok(ServerConnection { key: ConnectionKey::next(), sender })
    }

    /// Keeps a connection whose response was read completely. `stated` is the
    /// idle time that the server states.
    pub(crate) fn put_idle(
        &self,
        connection: ServerConnection,
        stated: Option<TimeSpan>,
    ) {
        let span = stated
            .map_or(DEFAULT_IDLE_TIME, |stated| stated.minus(IDLE_MARGIN));
        if span == TimeSpan::ZERO || connection.sender.is_closed() {
            return;
        }
        let until = MonotonicClock.now() + span;
        self.idle.borrow_mut().push(IdleConnection { connection, until });
    }

    /// Closes the idle connections.
    pub(super) fn close_idle(&self) {
        self.idle.borrow_mut().clear();
    }

    /// Takes the connection that was used last, so that the others fall idle
    /// and expire.
    fn pop_idle(&self, used: &[ConnectionKey]) -> Option<ServerConnection> {
        let now = MonotonicClock.now();
        let mut idle = self.idle.borrow_mut();
        idle.retain(|kept| {
            kept.until > now && !kept.connection.sender.is_closed()
        });
        let position = idle
            .iter()
            .rposition(|kept| !used.contains(&kept.connection.key))?;
        Some(idle.remove(position).connection)
    }
}

/// A slot that a request occupies at a server.
///
/// Dropping it without an outcome cancels the request: its caller has
/// disconnected.
#[derive(Debug)]
pub(crate) struct ServerSlot {
    pub(crate) server: Rc<ServerState>,
    pub(crate) entered_at: LocalTime,
    class: RequestClass,
    route: Arc<str>,
    /// The queue of the service, if any of its servers may serve the request.
    queue: Option<Rc<RefCell<RequestQueue>>>,
    /// The bytes of the request.
    bytes: u64,
    replied: Cell<bool>,
    ended: Cell<bool>,
    /// The download that the request is, if it is limited.
    pub(super) transfer: Option<BulkTransfer>,
}

impl ServerSlot {
    /// Records that the response has begun, or is no longer waited for.
    pub(crate) fn replied(&self, now: LocalTime) {
        if !self.replied.replace(true) {
            self.server.limit.borrow_mut().replied(now);
        }
    }

    /// Records how the request ended.
    pub(crate) fn end(&self, now: LocalTime, signal: ServerSignal) {
        self.replied(now);
        if self.ended.replace(true) {
            return;
        }
        let server = &self.server;
        server.limit.borrow_mut().finished(now, signal, rand::random());
    }

    /// Records a response of the server and returns its time.
    pub(crate) fn record_response(&self, now: LocalTime) -> TimeSpan {
        let span = now.since(self.entered_at);
        self.server.times.borrow_mut().record(&self.route, span);
        self.end(now, ServerSignal::Responded(self.class, span));
        span
    }
}

impl Drop for ServerSlot {
    fn drop(&mut self) {
        self.end(MonotonicClock.now(), ServerSignal::Cancelled);
        let server = &self.server;
        server.in_flight.set(server.in_flight.get().saturating_sub(1));
        let bytes = server.request_bytes.get().saturating_sub(self.bytes);
        server.request_bytes.set(bytes);
        let own = server.queue.borrow_mut().wake();
        let next = own.or_else(|| self.queue.as_ref()?.borrow_mut().wake());
        if let Some(next) = next {
            // The receiver is closed if the request's caller has disconnected.
            let _left = next.send(());
        }
    }
}

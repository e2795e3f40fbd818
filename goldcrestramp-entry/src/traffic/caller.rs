//! Follows what a VM waits for on a caller's connection, and closes those that
//! it waits for too long while its memory, its descriptors or the slots of
//! servers are scarce.

use std::{
    cell::Cell,
    io::{self, IoSlice},
    pin::Pin,
    rc::Rc,
    sync::Arc,
    task::{Context, Poll, ready},
    time::Duration,
};

use bytes::Bytes;
use goldcrestramp_decisions::{AwaitedStep, ReaderId, STREAM_BYTES};
use goldcrestramp_types::{ClockSource, MonotonicClock};
use hyper::body::{Body, Frame, Incoming, SizeHint};
use socket2::SockRef;
use tokio::{
    io::AsyncWrite,
    net::{TcpStream, tcp::OwnedWriteHalf},
    sync::Notify,
    time::{interval, sleep, timeout},
};

use crate::traffic::{
    in_flight::OpenCount,
    memory::{ConnectionCloser, MemoryAccount},
    state::TrafficState,
};

/// The bytes that the system queues for a caller beyond what the caller's
/// receive window takes. The default of several megabytes would hide for long
/// whether a slow reader makes progress.
const MAX_UNSENT_BYTES: u32 = 16 * 1024;

/// How often the stalled callers are looked for.
const CHECK_INTERVAL: Duration = Duration::from_millis(250);

/// How often a connection is looked for that makes room for a new one.
const ROOM_INTERVAL: Duration = Duration::from_millis(20);

/// What a caller has to send within the time that it may stall: a body that
/// arrives byte by byte makes no progress.
const MIN_PROGRESS_BYTES: usize = 4 * 1024;

/// Follows one connection of a caller.
#[derive(Debug)]
pub(crate) struct CallerGuard {
    account: MemoryAccount,
    id: ReaderId,
    closer: ConnectionCloser,
    /// The requests whose responses are not handed over completely.
    requests: Cell<usize>,
    /// The bytes that are held for the response when it began.
    held: Cell<u64>,
    /// The bytes that are held for a head.
    held_for_head: Cell<u64>,
    is_write_blocked: Cell<bool>,
    /// Notified when the caller reads again.
    unblocked: Notify,
}

impl CallerGuard {
    /// Begins to follow a connection, which waits for its first request.
    pub(super) fn open(account: &MemoryAccount, stream: &TcpStream) -> Self {
        let unsent =
            SockRef::from(stream).set_tcp_notsent_lowat(MAX_UNSENT_BYTES);
        if let Err(error) = unsent {
            log::debug!("[memory] Limiting unsent bytes failed: {error}.");
        }
        let guard = Self {
            account: account.clone(),
            id: account.next_reader(),
            closer: Arc::default(),
            requests: Cell::default(),
            held: Cell::default(),
            held_for_head: Cell::default(),
            is_write_blocked: Cell::default(),
            unblocked: Notify::new(),
        };
        guard.await_request();
        guard
    }

    /// Records that a request has begun. It ends when the returned guard is
    /// dropped.
    pub(super) fn begin_request(self: &Rc<Self>) -> RequestInProgress {
        if self.requests.replace(self.requests.get() + 1) == 0 {
            self.account.record_progress(self.id, AwaitedStep::Request);
        }
        RequestInProgress(Rc::clone(self))
    }

    fn end_request(&self) {
        self.requests.set(self.requests.get() - 1);
        self.await_request();
    }

    /// Records that a request is waited for, unless one is in progress or the
    /// end of its response is still to be read.
    fn await_request(&self) {
        if self.requests.get() > 0 || self.is_write_blocked.get() {
            return;
        }
        let (step, held) = (AwaitedStep::Request, self.held_for_head.get());
        self.account.record_awaited(self.id, step, held, &self.closer);
    }

    /// Records the bytes that are held for a head.
    pub(super) fn hold_head(&self, bytes: u64) {
        self.held_for_head.set(bytes);
        self.await_request();
    }

    /// Records the bytes that are held for the next response.
    pub(super) fn begin_response(&self, held: u64) {
        self.held.set(held);
    }

    /// Waits until the caller reads, or there is memory for responses that it
    /// does not read yet. The HTTP library would queue several of them.
    pub(super) async fn wait_readable(&self) {
        while self.is_write_blocked.get() && self.account.is_acting() {
            // Whichever comes first, both are checked again.
            let _unblocked =
                timeout(CHECK_INTERVAL, self.unblocked.notified()).await;
        }
    }

    /// Follows the caller of a body that is about to be read.
    pub(super) fn watch_sender(&self) -> SenderWatch {
        SenderWatch {
            account: self.account.clone(),
            id: self.id,
            closer: Arc::clone(&self.closer),
            step: AwaitedStep::Send,
            held: 0,
            arrived: 0,
            is_awaited: false,
        }
    }

    /// Waits until the connection is to be closed.
    pub(super) async fn wait_closed(&self) {
        self.closer.notified().await;
        self.account.metrics().closed_readers.inc();
    }

    fn record_write<Out>(&self, written: &Poll<io::Result<Out>>) {
        let is_blocked = written.is_pending();
        if self.is_write_blocked.replace(is_blocked) == is_blocked {
            return;
        }
        let (step, held) = (AwaitedStep::Read, self.held.get());
        if is_blocked {
            self.account.record_progress(self.id, AwaitedStep::Request);
            self.account.record_awaited(self.id, step, held, &self.closer);
        } else {
            self.account.record_progress(self.id, step);
            self.await_request();
            self.unblocked.notify_waiters();
        }
    }
}

impl Drop for CallerGuard {
    fn drop(&mut self) {
        self.account.record_progress(self.id, AwaitedStep::Read);
        self.account.record_progress(self.id, AwaitedStep::Request);
    }
}

/// A request of a connection, until its response is handed over.
#[derive(Debug)]
pub(super) struct RequestInProgress(Rc<CallerGuard>);

impl Drop for RequestInProgress {
    fn drop(&mut self) {
        self.0.end_request();
    }
}

/// The body of a response, until the HTTP library has taken all of it.
#[derive(Debug)]
pub(super) struct GuardedBody<Inner> {
    body: Inner,
    _request: RequestInProgress,
}

impl<Inner> GuardedBody<Inner> {
    pub(super) const fn new(body: Inner, request: RequestInProgress) -> Self {
        Self { body, _request: request }
    }
}

impl<Inner: Body + Unpin> Body for GuardedBody<Inner> {
    type Data = Inner::Data;
    type Error = Inner::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Self::Data>, Self::Error>>> {
        Pin::new(&mut self.body).poll_frame(cx)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}

/// Follows whether a caller sends the rest of a body.
#[derive(Debug)]
pub(crate) struct SenderWatch {
    account: MemoryAccount,
    id: ReaderId,
    closer: ConnectionCloser,
    step: AwaitedStep,
    /// The bytes that are held of the body.
    held: u64,
    /// The bytes that have arrived since the caller last made progress.
    arrived: usize,
    is_awaited: bool,
}

impl SenderWatch {
    /// Records that the body is streamed to a server from now on.
    fn begin_stream(&mut self) {
        self.end_wait();
        self.step = AwaitedStep::Stream;
        self.held = STREAM_BYTES;
    }

    fn record<Out>(&mut self, polled: &Poll<Out>, bytes: usize) {
        if polled.is_pending() {
            if !self.is_awaited {
                self.is_awaited = true;
                let (step, held) = (self.step, self.held);
                let closer = &self.closer;
                self.account.record_awaited(self.id, step, held, closer);
            }
            return;
        }
        if self.step == AwaitedStep::Send {
            self.held += bytes as u64;
        }
        self.arrived += bytes;
        if self.arrived >= MIN_PROGRESS_BYTES {
            self.end_wait();
        }
    }

    fn end_wait(&mut self) {
        self.arrived = 0;
        if self.is_awaited {
            self.is_awaited = false;
            self.account.record_progress(self.id, self.step);
        }
    }
}

impl Drop for SenderWatch {
    fn drop(&mut self) {
        self.end_wait();
    }
}

/// The body of a request as it arrives.
#[derive(Debug)]
pub(crate) struct IncomingBody {
    incoming: Incoming,
    /// Follows its caller; `None` if another VM passes the request on.
    watch: Option<SenderWatch>,
}

impl IncomingBody {
    pub(super) const fn new(
        incoming: Incoming,
        watch: Option<SenderWatch>,
    ) -> Self {
        Self { incoming, watch }
    }

    /// Records that the body is streamed to a server from now on.
    pub(super) fn begin_stream(&mut self) {
        if let Some(watch) = &mut self.watch {
            watch.begin_stream();
        }
    }
}

impl Body for IncomingBody {
    type Data = Bytes;
    type Error = hyper::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, hyper::Error>>> {
        let polled = Pin::new(&mut self.incoming).poll_frame(cx);
        let data = match &polled {
            Poll::Ready(Some(Ok(frame))) => frame.data_ref(),
            _ => None,
        };
        let bytes = data.map_or(0, Bytes::len);
        if let Some(watch) = &mut self.watch {
            watch.record(&polled, bytes);
        }
        let frame = ready!(polled);
        if frame.is_none() {
            self.watch = None;
        }
        Poll::Ready(frame)
    }

    fn is_end_stream(&self) -> bool {
        self.incoming.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.incoming.size_hint()
    }
}

/// Closes stalled callers while memory or slots are scarce, and connections to
/// servers that no request uses.
pub(super) async fn close_stalled(state: Rc<TrafficState>) {
    let mut checks = interval(CHECK_INTERVAL);
    loop {
        checks.tick().await;
        let now = MonotonicClock.now();
        let stalled = state.memory.lock().take_stalled(now);
        for closer in stalled {
            closer.notify_one();
        }
        state.close_idle_if_scarce();
    }
}

/// Waits until a further connection may be accepted. If few are left, the one
/// that waits the longest for its caller is closed.
pub(super) async fn wait_for_room(account: &MemoryAccount, open: &OpenCount) {
    loop {
        let now = MonotonicClock.now();
        let count = open.open() as u64;
        let longest = account.lock().take_longest(now, count);
        if let Some(closer) = longest {
            closer.notify_one();
        }
        if account.lock().allows_connection(count) {
            return;
        }
        sleep(ROOM_INTERVAL).await;
    }
}

/// The side of a caller's connection that the HTTP library writes.
#[derive(Debug)]
pub(super) struct CallerWriter {
    stream: OwnedWriteHalf,
    guard: Rc<CallerGuard>,
}

impl CallerWriter {
    pub(super) const fn new(
        stream: OwnedWriteHalf,
        guard: Rc<CallerGuard>,
    ) -> Self {
        Self { stream, guard }
    }
}

impl AsyncWrite for CallerWriter {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.stream).poll_write(cx, buf);
        self.guard.record_write(&written);
        written
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.stream).poll_write_vectored(cx, bufs);
        self.guard.record_write(&written);
        written
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}

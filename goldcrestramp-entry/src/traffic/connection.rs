//! A caller's connection, read ahead of the responses.
//!
//! The HTTP library reads the next request of a connection only when the one
//! before it has a response. This module reads the bytes as they arrive and
//! starts a pipelined request at once if it may run early, so that its
//! response is complete or in flight when the library reaches the request. The
//! bytes that the library reads and writes are unchanged, so responses keep
//! the order of the requests.

use std::{
    cell::{Cell, RefCell},
    collections::VecDeque,
    io,
    pin::Pin,
    rc::Rc,
    sync::Arc,
    task::{Context, Poll, Waker},
};

use bytes::{Buf, BytesMut};
use goldcrestramp_adapter::{RequestRoute, RouteEffect};
use goldcrestramp_decisions::{PipelineEffect, PipelineGate, PipelineStart};
use http::{Request, Response};
use hyper::body::Incoming;
use tokio::{
    io::{AsyncRead, ReadBuf},
    net::tcp::OwnedReadHalf,
    sync::Notify,
    task::{JoinHandle, spawn_local},
};

use crate::{
    framing::{FrameStep, FramedRequest, frame_request},
    traffic::{
        caller::{CallerGuard, IncomingBody, RequestInProgress},
        memory::{EarlyCharge, HeldCharge},
        reason::EndReason,
        request::find_route,
        response::{ResponseBody, local_response},
        serve::serve,
        state::TrafficState,
        wait::DEFAULT_RETRY_AFTER,
    },
};

/// The maximum number of bytes of heads that are buffered before the library
/// reads them.
const MAX_RECEIVED_BYTES: usize = 24 * 1024;

/// The same for bodies, and the part that each connection may buffer without
/// a charge. The library's own buffers grow with what it reads at once.
const FREE_RECEIVED_BYTES: usize = 8 * 1024;

/// Heads longer than this are subject to the library's own limits.
const MAX_HEAD_BYTES: usize = 16 * 1024;

/// The buffer space reserved for one read.
const READ_BYTES: usize = 4 * 1024;

/// Whether more of what a caller sends can be read.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum ReceiveSpace {
    Free,
    /// Only when the library has read some of it.
    Full,
    /// There is no memory for the rest of a head.
    Refused,
}

/// One connection of a caller.
#[derive(Debug)]
pub(crate) struct CallerConnection {
    traffic: Rc<TrafficState>,
    guard: Rc<CallerGuard>,
    state: RefCell<ConnectionState>,
    /// Whether the library waits for a response.
    responding: Cell<bool>,
    /// Notified when the first bytes have arrived.
    begun: Notify,
    /// Notified when the library has read some bytes.
    space_freed: Notify,
    /// Notified when the library has reached a request.
    caught_up: Notify,
}

#[derive(Debug, Default)]
struct ConnectionState {
    received: BytesMut,
    /// What `received` takes up beyond what each connection may.
    charge: Option<HeldCharge>,
    /// Bytes of `received` that the library may read: up to the end of a
    /// complete head, or the part of a body that has arrived.
    released: usize,
    body_remaining: u64,
    /// Whether the ends of requests are no longer known.
    opaque: bool,
    /// Whether bytes have arrived on the connection.
    has_begun: bool,
    /// Whether no further request is taken.
    is_closing: bool,
    reader: Option<Waker>,
    gate: PipelineGate,
    /// The requests that were found and that the library has not reached.
    pending: VecDeque<PendingRequest>,
}

/// A request that was found and that the library has not reached.
#[derive(Debug)]
struct PendingRequest {
    /// Its task, if it is served early.
    task: Option<EarlyTask>,
    _in_progress: RequestInProgress,
}

/// The task of a request that is served early. It is aborted when its caller's
/// connection closes.
#[derive(Debug)]
struct EarlyTask {
    work: JoinHandle<Response<ResponseBody>>,
    _charge: EarlyCharge,
}

impl EarlyTask {
    /// Waits for the response.
    async fn finish(mut self) -> Response<ResponseBody> {
        (&mut self.work).await.unwrap_or_else(|error| {
            log::warn!("[gateway] A pipelined request failed: {error}.");
            local_response(EndReason::Broken, true, DEFAULT_RETRY_AFTER)
        })
    }
}

impl Drop for EarlyTask {
    fn drop(&mut self) {
        self.work.abort();
    }
}

impl CallerConnection {
    pub(crate) fn open(
        traffic: Rc<TrafficState>,
        guard: Rc<CallerGuard>,
    ) -> Rc<Self> {
        Rc::new(Self {
            traffic,
            guard,
            state: RefCell::default(),
            responding: Cell::new(false),
            begun: Notify::new(),
            space_freed: Notify::new(),
            caught_up: Notify::new(),
        })
    }

    /// Reads what the caller sends, until the caller disconnects, or there is
    /// no room for a head.
    pub(crate) async fn receive(&self, stream: OwnedReadHalf) {
        loop {
            loop {
                match self.space() {
                    ReceiveSpace::Free => break,
                    ReceiveSpace::Full => self.space_freed.notified().await,
                    ReceiveSpace::Refused => return,
                }
            }
            if stream.readable().await.is_err() {
                return;
            }
            match self.read(&stream) {
                Ok(0) => return,
                Ok(_bytes) => {
                    self.state.borrow_mut().has_begun = true;
                    self.begun.notify_waiters();
                    self.find_requests();
                }
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
                Err(error) => {
                    log::debug!("[gateway] Read from caller failed: {error}.");
                    return;
                }
            }
        }
    }

    fn space(&self) -> ReceiveSpace {
        let state = &mut *self.state.borrow_mut();
        let received = state.received.len();
        if received < FREE_RECEIVED_BYTES {
            return ReceiveSpace::Free;
        }
        let is_body = state.opaque || state.body_remaining > 0;
        if is_body || received >= MAX_RECEIVED_BYTES {
            return ReceiveSpace::Full;
        }
        if state.charge.is_some() {
            return ReceiveSpace::Free;
        }
        let mut charge = self.traffic.memory.charge();
        if charge.try_hold_request(MAX_RECEIVED_BYTES, MAX_RECEIVED_BYTES) {
            state.charge = Some(charge);
            self.guard.hold_head(MAX_RECEIVED_BYTES as u64);
            ReceiveSpace::Free
        } else if state.released > 0 {
            ReceiveSpace::Full
        } else {
            self.traffic.memory.refuse();
            ReceiveSpace::Refused
        }
    }

    fn read(&self, stream: &OwnedReadHalf) -> io::Result<usize> {
        let received = &mut self.state.borrow_mut().received;
        received.reserve(READ_BYTES);
        stream.try_read_buf(received)
    }

    /// Serves a request that the library has reached.
    pub(crate) async fn respond(
        &self,
        request: Request<Incoming>,
    ) -> Response<ResponseBody> {
        let next = self.state.borrow_mut().pending.pop_front();
        self.responding.set(true);
        self.caught_up.notify_waiters();
        self.guard.wait_readable().await;
        let response = if let Some(task) = next.and_then(|next| next.task) {
            task.finish().await
        } else {
            let (head, body) = request.into_parts();
            let head = Request::from_parts(head, ());
            let sender = self.guard.watch_sender();
            let body = IncomingBody::new(body, Some(sender));
            serve(&self.traffic, head, Some(body)).await
        };
        self.responding.set(false);
        self.state.borrow_mut().gate.record_response();
        response
    }

    /// The number of requests on this connection that have no response.
    pub(crate) fn due(&self) -> usize {
        let pending = self.state.borrow().pending.len();
        pending + usize::from(self.responding.get())
    }

    /// Whether requests wait behind the one that the library has reached.
    ///
    /// Their responses would be lost if an earlier response closed the
    /// connection.
    pub(crate) fn has_pending(&self) -> bool {
        !self.state.borrow().pending.is_empty()
    }

    /// Waits until the first bytes have arrived.
    pub(crate) async fn wait_begun(&self) {
        if !self.state.borrow().has_begun {
            self.begun.notified().await;
        }
    }

    /// Takes no further request, and waits until the library has reached the
    /// last one.
    pub(crate) async fn finish_pending(&self) {
        self.state.borrow_mut().is_closing = true;
        while self.has_pending() {
            self.caught_up.notified().await;
        }
    }

    /// Finds complete requests in the received bytes.
    fn find_requests(&self) {
        loop {
            let next = self.state.borrow_mut().next_request();
            let Some(request) = next else { break };
            self.enqueue(request);
        }
        let reader = self.state.borrow_mut().reader.take();
        if let Some(reader) = reader {
            reader.wake();
        }
    }

    fn enqueue(&self, request: Box<FramedRequest>) {
        let effect = self.effect_of(&request);
        let start = self.state.borrow_mut().gate.arrived(effect);
        // A draining VM starts nothing early: the connection is to end with
        // the responses that are due.
        let starts_now =
            start == PipelineStart::Now && self.traffic.is_serving();
        let head = request.head.filter(|_head| starts_now);
        let task = head.and_then(|head| {
            let charge = self.traffic.memory.begin_early()?;
            Some(self.serve_ahead(head, charge))
        });
        let in_progress = self.guard.begin_request();
        let request = PendingRequest { task, _in_progress: in_progress };
        self.state.borrow_mut().pending.push_back(request);
    }

    fn serve_ahead(
        &self,
        head: Request<()>,
        charge: EarlyCharge,
    ) -> EarlyTask {
        self.traffic.metrics.pipelined.inc();
        let traffic = Rc::clone(&self.traffic);
        let work = async move { serve(&traffic, head, None).await };
        EarlyTask { work: spawn_local(work), _charge: charge }
    }

    fn effect_of(&self, request: &FramedRequest) -> PipelineEffect {
        let view = self.traffic.view();
        let route = request.head.as_ref().and_then(|head| {
            find_route(view.routes.as_ref()?, head.headers(), head.uri()).ok()
        });
        // The responses of downloads would fill the memory while the responses
        // ahead of them are read.
        let is_idempotent =
            |route: Arc<RequestRoute>| route.effect == RouteEffect::Idempotent;
        if route.is_some_and(is_idempotent) {
            PipelineEffect::Independent
        } else {
            PipelineEffect::Ordered
        }
    }
}

impl ConnectionState {
    /// Releases bytes up to the end of the next complete head.
    fn next_request(&mut self) -> Option<Box<FramedRequest>> {
        self.release_body();
        let unread = &self.received[self.released..];
        let awaits_body = self.body_remaining > 0;
        if unread.is_empty() || awaits_body || self.is_closing {
            return None;
        }
        match frame_request(unread) {
            FrameStep::Framed(request) => {
                self.released += request.head_bytes;
                self.body_remaining = request.body_bytes;
                return Some(request);
            }
            FrameStep::Incomplete if unread.len() <= MAX_HEAD_BYTES => {
                return None;
            }
            FrameStep::Incomplete | FrameStep::Opaque => {}
        }
        self.opaque = true;
        self.release_body();
        None
    }

    /// Releases the part of a body that has arrived, or all bytes once
    /// requests are no longer followed.
    fn release_body(&mut self) {
        let unread = self.received.len() - self.released;
        if self.opaque {
            self.released += unread;
            return;
        }
        let body_remaining =
            usize::try_from(self.body_remaining).unwrap_or(usize::MAX);
        let count = unread.min(body_remaining);
        self.released += count;
        self.body_remaining -= count as u64;
    }

    fn take(&mut self, into: &mut ReadBuf<'_>) {
        let count = self.released.min(into.remaining());
        into.put_slice(&self.received[..count]);
        self.received.advance(count);
        self.released -= count;
    }
}

/// The side of a connection that the HTTP library reads.
#[derive(Debug)]
pub(crate) struct ConnectionReader(Rc<CallerConnection>);

impl ConnectionReader {
    pub(crate) const fn new(connection: Rc<CallerConnection>) -> Self {
        Self(connection)
    }
}

impl AsyncRead for ConnectionReader {
    fn poll_read(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let mut state = self.0.state.borrow_mut();
        // The end of the stream is not reported here: `receive` detects it.
        if state.released == 0 {
            state.reader = Some(cx.waker().clone());
            return Poll::Pending;
        }
        state.take(buf);
        if state.received.is_empty() && state.charge.take().is_some() {
            state.received = BytesMut::new();
            self.0.guard.hold_head(0);
        }
        self.0.space_freed.notify_one();
        Poll::Ready(Ok(()))
    }
}

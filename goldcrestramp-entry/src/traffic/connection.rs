//! A caller's connection, read ahead of the answers.
//!
//! The HTTP library takes the next request of a connection only when the
//! one before it was answered. Here the bytes are taken as they come, and a
//! pipelined request that may be served at once is: when the library gets
//! to it, its answer is there or on its way. What the library reads and
//! writes stays the same, so answers keep the order of the requests.

use std::{
    cell::RefCell,
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
        reason::EndReason,
        request::find_route,
        response::{ResponseBody, own_answer},
        serve::serve,
        state::TrafficState,
        wait::RETURN_USUAL,
    },
};

/// Bytes of a connection that are taken before the library reads them. With
/// as many connections as a VM has descriptors for, they leave it half of
/// its memory.
const MAX_RECEIVED_BYTES: usize = 24 * 1024;

/// A head that is longer is left to the library's own limits.
const MAX_HEAD: usize = 16 * 1024;

/// The room for one read.
const READ_BYTES: usize = 4 * 1024;

/// One connection of a caller.
#[derive(Debug)]
pub(crate) struct CallerConnection {
    traffic: Rc<TrafficState>,
    state: RefCell<ConnectionState>,
    /// The library has read some bytes.
    room: Notify,
    /// A request that was served ahead of its turn has been answered.
    caught_up: Notify,
}

#[derive(Debug, Default)]
struct ConnectionState {
    received: BytesMut,
    /// What of it the library may read: up to the end of a whole head, or
    /// of what has come of a body.
    released: usize,
    body_left: u64,
    /// Whether the ends of requests are no longer known.
    opaque: bool,
    reader: Option<Waker>,
    gate: PipelineGate,
    /// The requests that were found and that the library has not got to,
    /// with the work on those that are served ahead of their turn.
    pending: VecDeque<Option<EarlyTask>>,
}

/// The work on a request that is served ahead of its turn; it ends with its
/// caller's connection.
#[derive(Debug)]
struct EarlyTask(JoinHandle<Response<ResponseBody>>);

impl EarlyTask {
    /// Waits for the answer.
    async fn finish(mut self) -> Response<ResponseBody> {
        (&mut self.0).await.unwrap_or_else(|error| {
            log::warn!("[gateway] A pipelined request is lost: {error}.");
            own_answer(EndReason::Broken, true, RETURN_USUAL)
        })
    }
}

impl Drop for EarlyTask {
    fn drop(&mut self) {
        self.0.abort();
    }
}

impl CallerConnection {
    pub(crate) fn open(traffic: Rc<TrafficState>) -> Rc<Self> {
        Rc::new(Self {
            traffic,
            state: RefCell::default(),
            room: Notify::new(),
            caught_up: Notify::new(),
        })
    }

    /// Takes what the caller sends, until it leaves.
    pub(crate) async fn receive(&self, stream: OwnedReadHalf) {
        loop {
            while self.is_full() {
                self.room.notified().await;
            }
            if stream.readable().await.is_err() {
                return;
            }
            match self.read(&stream) {
                Ok(0) => return,
                Ok(_bytes) => self.find_requests(),
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
                Err(error) => {
                    log::debug!("[gateway] A caller is gone: {error}.");
                    return;
                }
            }
        }
    }

    fn is_full(&self) -> bool {
        self.state.borrow().received.len() >= MAX_RECEIVED_BYTES
    }

    fn read(&self, stream: &OwnedReadHalf) -> io::Result<usize> {
        let received = &mut self.state.borrow_mut().received;
        received.reserve(READ_BYTES);
        stream.try_read_buf(received)
    }

    /// Serves a request that the library has got to.
    pub(crate) async fn answer(
        &self,
        request: Request<Incoming>,
    ) -> Response<ResponseBody> {
        let next = self.state.borrow_mut().pending.pop_front();
        let answer = if let Some(task) = next.flatten() {
            task.finish().await
        } else {
            let (head, body) = request.into_parts();
            let head = Request::from_parts(head, ());
            serve(&self.traffic, head, Some(body)).await
        };
        self.state.borrow_mut().gate.answered();
        self.caught_up.notify_waiters();
        answer
    }

    /// Whether a request is served ahead of its turn.
    ///
    /// An answer that closes the connection before it would lose its own.
    pub(crate) fn is_ahead(&self) -> bool {
        self.state.borrow().pending.iter().any(Option::is_some)
    }

    /// Waits until no request is served ahead of its turn.
    pub(crate) async fn wait_caught_up(&self) {
        while self.is_ahead() {
            self.caught_up.notified().await;
        }
    }

    /// Looks for whole requests in what has come.
    fn find_requests(&self) {
        loop {
            let next = self.state.borrow_mut().next_request();
            let Some(request) = next else { break };
            self.found(request);
        }
        let reader = self.state.borrow_mut().reader.take();
        if let Some(reader) = reader {
            reader.wake();
        }
    }

    fn found(&self, request: Box<FramedRequest>) {
        let effect = self.effect_of(&request);
        let start = self.state.borrow_mut().gate.arrived(effect);
        // A VM that leaves asks callers to connect elsewhere with its next
        // answer, which must not have others behind it.
        let now = start == PipelineStart::Now && self.traffic.stays();
        let head = request.head.filter(|_head| now);
        let task = head.map(|head| self.serve_ahead(head));
        self.state.borrow_mut().pending.push_back(task);
    }

    fn serve_ahead(&self, head: Request<()>) -> EarlyTask {
        self.traffic.metrics.pipelined.inc();
        let traffic = Rc::clone(&self.traffic);
        let work = async move { serve(&traffic, head, None).await };
        EarlyTask(spawn_local(work))
    }

    fn effect_of(&self, request: &FramedRequest) -> PipelineEffect {
        let view = self.traffic.view();
        let route = request.head.as_ref().and_then(|head| {
            find_route(view.routes.as_ref()?, head.headers(), head.uri()).ok()
        });
        // The answers of downloads would fill the memory while those ahead
        // of them are read.
        let lookup =
            |route: Arc<RequestRoute>| route.effect == RouteEffect::Idempotent;
        if route.is_some_and(lookup) {
            PipelineEffect::Independent
        } else {
            PipelineEffect::Ordered
        }
    }
}

impl ConnectionState {
    /// Releases bytes up to the end of the next whole head.
    fn next_request(&mut self) -> Option<Box<FramedRequest>> {
        self.release_body();
        let rest = &self.received[self.released..];
        if rest.is_empty() || self.body_left > 0 {
            return None;
        }
        match frame_request(rest) {
            FrameStep::Framed(request) => {
                self.released += request.head_bytes;
                self.body_left = request.body_bytes;
                return Some(request);
            }
            FrameStep::Incomplete if rest.len() <= MAX_HEAD => return None,
            FrameStep::Incomplete | FrameStep::Opaque => {}
        }
        self.opaque = true;
        self.release_body();
        None
    }

    /// Releases what has come of a body, or all that is not followed.
    fn release_body(&mut self) {
        let rest = self.received.len() - self.released;
        if self.opaque {
            self.released += rest;
            return;
        }
        let left = usize::try_from(self.body_left).unwrap_or(usize::MAX);
        let taken = rest.min(left);
        self.released += taken;
        self.body_left -= taken as u64;
    }

    fn take(&mut self, into: &mut ReadBuf<'_>) {
        let taken = self.released.min(into.remaining());
        into.put_slice(&self.received[..taken]);
        self.received.advance(taken);
        self.released -= taken;
    }
}

/// What the HTTP library reads of a connection.
#[derive(Debug)]
pub(crate) struct ConnectionReader(Rc<CallerConnection>);

impl ConnectionReader {
    pub(crate) const fn new(lane: Rc<CallerConnection>) -> Self {
        Self(lane)
    }
}

impl AsyncRead for ConnectionReader {
    fn poll_read(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let mut state = self.0.state.borrow_mut();
        // The end of the connection is no read: whoever receives sees it.
        if state.released == 0 {
            state.reader = Some(cx.waker().clone());
            return Poll::Pending;
        }
        state.take(buf);
        self.0.room.notify_one();
        Poll::Ready(Ok(()))
    }
}

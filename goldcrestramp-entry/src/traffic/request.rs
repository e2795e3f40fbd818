//! A request as it was read, with its route and its deadline.

use std::{
    cell::{Cell, OnceCell, RefCell},
    sync::Arc,
};

use bytes::Bytes;
use goldcrestramp_adapter::{RequestRoute, RouteEffect, headers as names};
use goldcrestramp_decisions::{QueuePosition, RetryClass};
use goldcrestramp_types::{LocalTime, RequestClass, SliceIndex, TimeSpan};
use http::{
    HeaderMap, Method, Uri,
    header::{CONTENT_LENGTH, HOST},
};
use http_body_util::{BodyExt, Either, Full, LengthLimitError, Limited};
use hyper::body::{Body, Incoming};

use crate::{
    fingerprint::RequestFingerprint,
    http::SendBody,
    traffic::{
        headers::{strip_connection, text},
        memory::{HeldCharge, MemoryAccount, discard},
        reason::EndReason,
        relay::ENVELOPE,
        server::ConnectionKey,
    },
    view::RouteTable,
};

/// Bodies up to this size are buffered before a server is chosen, so that they
/// can be sent again when the first attempt did not run. Larger bodies are
/// streamed and sent once.
const MAX_BUFFERED_BYTES: u64 = 256 * 1024;

/// The body of a request.
#[derive(Debug)]
pub(crate) enum RequestBody {
    /// Read completely.
    Full(Bytes),
    /// Streamed; the first attempt takes it.
    Streamed(Option<Incoming>),
}

impl RequestBody {
    /// The size of a buffered body in bytes; 0 for a streamed one.
    pub(crate) fn buffered_bytes(&self) -> u64 {
        match self {
            Self::Full(bytes) => bytes.len() as u64,
            Self::Streamed(_) => 0,
        }
    }

    /// The size of the body in bytes, as far as it is known.
    pub(crate) fn size(&self) -> u64 {
        match self {
            Self::Full(bytes) => bytes.len() as u64,
            Self::Streamed(body) => {
                let body = body.as_ref();
                body.map_or(0, |body| body.size_hint().lower())
            }
        }
    }

    /// Drops a body that is still to arrive and that no attempt has taken, so
    /// that its caller gets the response.
    pub(super) fn discard(&mut self) {
        if let Self::Streamed(body) = self
            && let Some(body) = body.take()
        {
            discard(body);
        }
    }

    /// The body for an attempt; `None` if an earlier one has taken it.
    pub(crate) fn for_send(&mut self) -> Option<SendBody> {
        match self {
            Self::Full(bytes) => Some(Either::Left(Full::new(bytes.clone()))),
            Self::Streamed(body) => body.take().map(Either::Right),
        }
    }
}

/// Where a request comes from.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum RequestOrigin {
    /// A caller of this VM.
    Caller,
    /// Another VM, which reaches no server of the service.
    Vm,
}

/// A request that matched a route.
#[derive(Debug)]
pub(crate) struct RoutedRequest {
    /// Its position among the queued requests.
    pub(crate) position: QueuePosition,
    pub(crate) route: Arc<RequestRoute>,
    pub(crate) service: Arc<str>,
    /// The key, if the service is sharded.
    pub(crate) slice: Option<SliceIndex>,
    pub(crate) method: Method,
    pub(crate) uri: Uri,
    pub(crate) headers: HeaderMap,
    pub(crate) body: RefCell<RequestBody>,
    pub(crate) arrived: LocalTime,
    /// The earlier of the caller's deadline and the route's timeout.
    pub(crate) deadline: LocalTime,
    pub(crate) origin: RequestOrigin,
    /// Whether the retry budget of some VM counts it.
    pub(crate) counted: bool,
    /// The memory that is reserved for its streamed bodies.
    pub(super) reserved: RefCell<Option<HeldCharge>>,
    /// Its fingerprint, once it was needed.
    pub(super) fingerprint: OnceCell<Option<RequestFingerprint>>,
    /// The connections that it was sent over.
    pub(crate) connections: RefCell<Vec<ConnectionKey>>,
    /// Whether it was counted as a download that was kept in its region.
    pub(super) kept: Cell<bool>,
}

impl RoutedRequest {
    /// The attempt id that the caller sent; empty if none.
    pub(crate) fn attempt_id(&self) -> &str {
        text(&self.headers, names::ATTEMPT_ID).unwrap_or("")
    }

    /// Whether its response is large.
    pub(crate) fn is_download(&self) -> bool {
        self.route.effect == RouteEffect::Download
    }

    /// Reserves the memory for the streamed bodies of the request before it is
    /// first sent: its own, if it is large, and that of a download. Requests
    /// that wait to be sent hold none of it.
    pub(super) fn reserve(
        &self,
        memory: &MemoryAccount,
    ) -> Result<(), EndReason> {
        let mut reserved = self.reserved.borrow_mut();
        if reserved.is_none() {
            let is_download = self.route.effect == RouteEffect::Download;
            let streams =
                u64::from(self.is_streamed()) + u64::from(is_download);
            *reserved = memory.reserve_streams(streams)?;
        }
        Ok(())
    }

    /// Whether its body is streamed, so that only one attempt can carry it.
    pub(super) fn is_streamed(&self) -> bool {
        matches!(*self.body.borrow(), RequestBody::Streamed(_))
    }

    /// Whether its streamed body was taken by an attempt.
    pub(super) fn is_body_taken(&self) -> bool {
        matches!(*self.body.borrow(), RequestBody::Streamed(None))
    }

    /// The class by which response times of servers are learnt.
    pub(crate) fn class(&self) -> RequestClass {
        match self.route.effect {
            RouteEffect::Once => RequestClass::Order,
            RouteEffect::Idempotent | RouteEffect::Download => {
                RequestClass::Lookup
            }
        }
    }

    /// Identifies the content of the request; `None` if its body is not
    /// buffered.
    pub(crate) fn fingerprint(&self) -> Option<RequestFingerprint> {
        *self.fingerprint.get_or_init(|| {
            let body = self.body.borrow();
            let RequestBody::Full(body) = &*body else { return None };
            let host = self.headers.get(HOST);
            let host = host.map_or(&b""[..], |host| host.as_bytes());
            let key = self.slice.map(SliceIndex::get);
            let (method, uri) = (&self.method, &self.uri);
            Some(RequestFingerprint::new(host, method, uri, key, body))
        })
    }

    /// Whether the request may run more than once.
    pub(crate) fn may_repeat(&self) -> bool {
        self.route.effect.may_repeat()
    }

    /// The class of its retries, if a response takes `typical`.
    pub(crate) fn retry_class(
        &self,
        now: LocalTime,
        typical: TimeSpan,
    ) -> RetryClass {
        let late = self.target_remaining(now) < typical;
        RetryClass { late, ..retry_class(&self.route) }
    }

    /// The remaining time until the route's target latency.
    pub(crate) fn target_remaining(&self, now: LocalTime) -> TimeSpan {
        (self.arrived + self.route.target_latency).since(now)
    }

    /// The remaining time until the deadline.
    pub(crate) const fn remaining(&self, now: LocalTime) -> TimeSpan {
        self.deadline.since(now)
    }
}

/// The class of the retries of a route's requests that can be in time.
pub(crate) fn retry_class(route: &RequestRoute) -> RetryClass {
    RetryClass {
        idempotent: route.effect.may_repeat(),
        priority: route.priority,
        late: false,
    }
}

/// Finds the route of a request by its host and path.
pub(crate) fn find_route(
    table: &RouteTable,
    headers: &HeaderMap,
    uri: &Uri,
) -> Result<Arc<RequestRoute>, EndReason> {
    let host_header = headers.get(HOST).and_then(|host| host.to_str().ok());
    let host = host_header.or_else(|| uri.host()).unwrap_or("");
    table.find(host, uri.path()).map(Arc::clone).ok_or(EndReason::NoRoute)
}

/// The time after which a response is of no more use.
pub(crate) fn deadline_of(
    arrived: LocalTime,
    headers: &HeaderMap,
    route: &RequestRoute,
) -> LocalTime {
    let stated = text(headers, names::DEADLINE_MS);
    let stated = stated.and_then(|text| text.trim().parse::<f64>().ok());
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "clamped to a day"
    )]
    let span = stated.map(|millis| {
        let micros = millis.clamp(0.0, 86_400_000.0) * 1_000.0;
        TimeSpan::from_micros(micros as u64)
    });
    let timeout = route.timeout;
    arrived + span.map_or(timeout, |span| span.min(timeout))
}

/// Reads the key of a request to a sharded service.
pub(crate) fn slice_of(headers: &HeaderMap) -> Result<SliceIndex, EndReason> {
    let stated = text(headers, names::SHARD_KEY);
    let stated = stated.and_then(|text| text.trim().parse::<u16>().ok());
    stated.map(SliceIndex::from).ok_or(EndReason::BadKey)
}

/// Buffers the body, or leaves a large one to be streamed.
pub(crate) async fn read_body(
    memory: &MemoryAccount,
    body: Option<Incoming>,
    max_bytes: u64,
) -> Result<RequestBody, EndReason> {
    let Some(body) = body.filter(|body| !body.is_end_stream()) else {
        return Ok(RequestBody::Full(Bytes::new()));
    };
    let stated = body.size_hint().exact();
    if stated.is_some_and(|bytes| bytes > max_bytes) {
        return Err(EndReason::BodyTooLarge);
    }
    if stated.is_some_and(|bytes| bytes > MAX_BUFFERED_BYTES) {
        return Ok(RequestBody::Streamed(Some(body)));
    }
    if let Some(account) = memory.active() {
        let read = account.read_request(body, stated, max_bytes);
        return read.await.map(RequestBody::Full);
    }
    let body_limit = usize::try_from(max_bytes).unwrap_or(usize::MAX);
    match Limited::new(body, body_limit).collect().await {
        Ok(collected) => Ok(RequestBody::Full(collected.to_bytes())),
        Err(error) if error.is::<LengthLimitError>() => {
            Err(EndReason::BodyTooLarge)
        }
        Err(_error) => Err(EndReason::BodyBroken),
    }
}

/// The headers that are forwarded to a server.
pub(crate) fn forwarded_headers(mut headers: HeaderMap) -> HeaderMap {
    strip_connection(&mut headers);
    headers.remove(CONTENT_LENGTH);
    headers.remove(http::header::EXPECT);
    headers.remove(names::EXPECT_INSTANCE);
    headers.remove(ENVELOPE);
    headers
}

//! A request as it was read, with its route and its deadline.

use std::{
    cell::{Cell, OnceCell, RefCell},
    sync::Arc,
};

use goldcrestramp_adapter::{RequestRoute, RouteEffect, headers as names};
use goldcrestramp_decisions::{QueuePosition, RetryClass, STREAM_BYTES};
use goldcrestramp_types::{LocalTime, RequestClass, SliceIndex, TimeSpan};
use http::{
    HeaderMap, Method, Uri,
    header::{CONTENT_LENGTH, HOST},
};

use crate::{
    fingerprint::RequestFingerprint,
    http::SendBody,
    traffic::{
        body::{OversizeFlag, RequestBody},
        headers::{strip_connection, text},
        memory::{HeldCharge, MemoryAccount},
        reason::EndReason,
        relay::ENVELOPE,
        server::ConnectionKey,
    },
    view::RouteTable,
};

/// What a header takes up beside its text: one entry in the map of the request
/// and one in that of an attempt.
const HEADER_BYTES: usize = 256;

/// The part of a head that counts as a part of its connection.
const FREE_HEAD_BYTES: usize = 8 * 1024;

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
    /// Whether its body has turned out to be larger than allowed.
    pub(super) oversize: OversizeFlag,
    /// The memory that its head takes up.
    pub(super) _head: HeldCharge,
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

    /// The body for an attempt; `None` if an earlier one has taken it. What is
    /// reserved for a streamed body is held until the body ends.
    pub(super) fn body_for_send(&self) -> Option<SendBody> {
        let mut reserved = self.reserved.borrow_mut();
        let reserved = reserved.as_mut().filter(|_| self.is_streamed());
        let charge = reserved.map(|reserved| reserved.split(STREAM_BYTES));
        self.body.borrow_mut().for_send(charge)
    }

    /// What a streamed response is charged: what was reserved for a download,
    /// or as much, if there is room.
    pub(super) fn response_charge(
        &self,
        memory: &MemoryAccount,
    ) -> Option<HeldCharge> {
        let reserved = self.reserved.borrow_mut().take();
        let reserved = reserved.filter(|_| self.is_download());
        reserved.or_else(|| memory.charge_stream())
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

/// What the head of a request takes up, beyond what each connection may.
pub(crate) fn head_bytes(headers: &HeaderMap, uri: &Uri) -> usize {
    let path = uri.path_and_query().map_or(0, |path| path.as_str().len());
    let fields = headers.iter();
    let text: usize =
        fields.map(|(name, value)| name.as_str().len() + value.len()).sum();
    // The buffer that it was read into is twice as large at most.
    let held = 2 * (path + text) + headers.len() * HEADER_BYTES;
    held.saturating_sub(FREE_HEAD_BYTES)
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

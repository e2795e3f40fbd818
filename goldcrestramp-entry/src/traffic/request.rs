//! A request as it was read, with where it may go and until when.

use std::sync::Arc;

use bytes::Bytes;
use goldcrestramp_adapter::{RequestRoute, RouteEffect, headers as names};
use goldcrestramp_decisions::QueuePosition;
use goldcrestramp_types::{LocalTime, RequestClass, SliceIndex, TimeSpan};
use http::{
    HeaderMap, Method, Uri,
    header::{CONTENT_LENGTH, HOST},
};
use http_body_util::{BodyExt, Either, Full, LengthLimitError, Limited};
use hyper::body::{Body, Incoming};

use crate::{
    http::SendBody,
    traffic::{
        headers::{strip_connection, text},
        reason::EndReason,
    },
    view::RouteTable,
};

/// Bodies up to this size are read whole before a server is chosen, so
/// that they can be sent again when the first send did not run. Larger
/// ones pass through, and are sent once.
const MAX_BUFFERED_BYTES: u64 = 256 * 1024;

/// The body of a request on its way.
#[derive(Debug)]
pub(crate) enum RequestBody {
    /// It was read whole.
    Held(Bytes),
    /// It passes through; taken by the first send.
    Passing(Option<Incoming>),
}

impl RequestBody {
    /// The bytes of a body that was read whole.
    pub(crate) fn held_bytes(&self) -> u64 {
        match self {
            Self::Held(bytes) => bytes.len() as u64,
            Self::Passing(_) => 0,
        }
    }

    /// The body for a send; nothing if an earlier one has taken it.
    pub(crate) fn for_send(&mut self) -> Option<SendBody> {
        match self {
            Self::Held(bytes) => Some(Either::Left(Full::new(bytes.clone()))),
            Self::Passing(body) => body.take().map(Either::Right),
        }
    }
}

/// A request that a route leads somewhere.
#[derive(Debug)]
pub(crate) struct RoutedRequest {
    /// Its place among those that wait.
    pub(crate) place: QueuePosition,
    pub(crate) route: Arc<RequestRoute>,
    pub(crate) service: Arc<str>,
    /// The key, if the service is divided.
    pub(crate) slice: Option<SliceIndex>,
    pub(crate) method: Method,
    pub(crate) uri: Uri,
    pub(crate) headers: HeaderMap,
    pub(crate) body: RequestBody,
    pub(crate) arrived: LocalTime,
    /// The earlier of the caller's deadline and the route's timeout.
    pub(crate) deadline: LocalTime,
}

impl RoutedRequest {
    /// The attempt's id as the caller gave it.
    pub(crate) fn attempt_id(&self) -> &str {
        text(&self.headers, names::ATTEMPT_ID).unwrap_or("")
    }

    /// The class by which servers' pace is learnt.
    pub(crate) fn class(&self) -> RequestClass {
        match self.route.effect {
            RouteEffect::Once => RequestClass::Order,
            RouteEffect::Idempotent | RouteEffect::Download => {
                RequestClass::Lookup
            }
        }
    }

    /// Whether it may run more than once.
    pub(crate) fn may_repeat(&self) -> bool {
        self.route.effect.may_repeat()
    }

    /// The time in which an answer is worth most to its caller.
    pub(crate) fn target_left(&self, now: LocalTime) -> TimeSpan {
        (self.arrived + self.route.target_latency).since(now)
    }

    /// The time that is left.
    pub(crate) const fn left(&self, now: LocalTime) -> TimeSpan {
        self.deadline.since(now)
    }
}

/// The route of a request.
pub(crate) fn find_route(
    book: &RouteTable,
    headers: &HeaderMap,
    uri: &Uri,
) -> Result<Arc<RequestRoute>, EndReason> {
    let named = headers.get(HOST).and_then(|host| host.to_str().ok());
    let host = named.or_else(|| uri.host()).unwrap_or("");
    book.find(host, uri.path()).map(Arc::clone).ok_or(EndReason::NoRoute)
}

/// The moment at which an answer is of no more use.
pub(crate) fn deadline_of(
    arrived: LocalTime,
    headers: &HeaderMap,
    route: &RequestRoute,
) -> LocalTime {
    let said = text(headers, names::DEADLINE_MS);
    let said = said.and_then(|text| text.trim().parse::<f64>().ok());
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "clamped to a day"
    )]
    let span = said.map(|millis| {
        let micros = millis.clamp(0.0, 86_400_000.0) * 1_000.0;
        TimeSpan::from_micros(micros as u64)
    });
    let timeout = route.timeout;
    arrived + span.map_or(timeout, |span| span.min(timeout))
}

/// The key of a request to a divided service.
pub(crate) fn slice_of(headers: &HeaderMap) -> Result<SliceIndex, EndReason> {
    let said = text(headers, names::SHARD_KEY);
    let said = said.and_then(|text| text.trim().parse::<u16>().ok());
    said.map(SliceIndex::from).ok_or(EndReason::BadKey)
}

/// Reads the body, or lets a large one pass through.
pub(crate) async fn read_body(
    body: Option<Incoming>,
    bytes_most: u64,
) -> Result<RequestBody, EndReason> {
    let Some(body) = body.filter(|body| !body.is_end_stream()) else {
        return Ok(RequestBody::Held(Bytes::new()));
    };
    let said = body.size_hint().exact();
    if said.is_some_and(|bytes| bytes > bytes_most) {
        return Err(EndReason::BodyTooLarge);
    }
    if said.is_some_and(|bytes| bytes > MAX_BUFFERED_BYTES) {
        return Ok(RequestBody::Passing(Some(body)));
    }
    let most = usize::try_from(bytes_most).unwrap_or(usize::MAX);
    match Limited::new(body, most).collect().await {
        Ok(whole) => Ok(RequestBody::Held(whole.to_bytes())),
        Err(error) if error.is::<LengthLimitError>() => {
            Err(EndReason::BodyTooLarge)
        }
        Err(_error) => Err(EndReason::BodyBroken),
    }
}

/// The headers that go on to a server.
pub(crate) fn forwarded_headers(mut headers: HeaderMap) -> HeaderMap {
    strip_connection(&mut headers);
    headers.remove(CONTENT_LENGTH);
    headers.remove(http::header::EXPECT);
    headers.remove(names::EXPECT_INSTANCE);
    headers
}

//! A caller's request, checked.

use bytes::{Buf, Bytes, BytesMut};
use futures_util::{Stream, StreamExt};
use goldcrestramp_types::{
    CallerName, LocalTime, RequestClass, RequestName, ServiceName, TimeSpan,
};
use percent_encoding::percent_decode_str;
use warp::http::{HeaderMap, Method};

use crate::keeper::ORDER_LONGEST;

/// Header: who calls.
pub(crate) const HEADER_CALLER: &str = "goldcrestramp-caller";
/// Header: the caller's own id of the request, in and out.
pub(crate) const HEADER_REQUEST: &str = "goldcrestramp-request";
/// Header: `lookup`, `order` or `long`.
pub(crate) const HEADER_CLASS: &str = "goldcrestramp-class";
/// Header: milliseconds until the caller stops waiting.
pub(crate) const HEADER_DEADLINE: &str = "goldcrestramp-deadline-ms";
/// Header: `true` when this request has been sent before.
pub(crate) const HEADER_RESEND: &str = "goldcrestramp-resend";

/// The longest key, in bytes.
const KEY_LIMIT: usize = 1_024;
/// The longest deadline: a long export of an hour fits.
const DEADLINE_LIMIT: TimeSpan = TimeSpan::from_millis(3_600_000);
/// The caller that is taken when a request names none.
const DEFAULT_CALLER: &str = "anonymous";

/// A request that may be routed.
#[derive(Clone, Debug)]
pub(crate) struct CallerRequest {
    pub(crate) service: ServiceName,
    pub(crate) key: Bytes,
    pub(crate) caller: CallerName,
    pub(crate) name: RequestName,
    pub(crate) class: RequestClass,
    pub(crate) deadline: LocalTime,
    pub(crate) resend: bool,
    pub(crate) body: Bytes,
}

/// What is wrong with a request, in words for the caller.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) struct RequestFault(pub(crate) &'static str);

impl CallerRequest {
    /// Reads everything but the body.
    pub(crate) fn read(
        now: LocalTime,
        method: &Method,
        service: &str,
        key: &str,
        headers: &HeaderMap,
        default_deadline: TimeSpan,
    ) -> Result<Self, RequestFault> {
        let service = ServiceName::new(service)
            .map_err(|_error| RequestFault("the service's name is bad"))?;
        let class = read_class(method, headers)?;
        let name = read_name(headers, class)?;
        let left = read_deadline(headers, default_deadline)?;
        if class == RequestClass::Order && left > ORDER_LONGEST {
            let fault = "an order's deadline is at most a minute away";
            return Err(RequestFault(fault));
        }
        Ok(Self {
            service,
            key: read_key(key)?,
            caller: read_caller(headers)?,
            name,
            class,
            deadline: now + left,
            resend: is_resend(headers),
            body: Bytes::new(),
        })
    }
}

/// Whether the caller says that it may have sent the request before.
pub(crate) fn is_resend(headers: &HeaderMap) -> bool {
    text(headers, HEADER_RESEND) == Some("true")
}

fn text<'a>(headers: &'a HeaderMap, name: &str) -> Option<&'a str> {
    headers.get(name)?.to_str().ok()
}

fn read_key(key: &str) -> Result<Bytes, RequestFault> {
    let key: Vec<u8> = percent_decode_str(key).collect();
    if key.is_empty() {
        return Err(RequestFault("the request has no key"));
    }
    if key.len() > KEY_LIMIT {
        return Err(RequestFault("the key is longer than 1024 bytes"));
    }
    Ok(Bytes::from(key))
}

fn read_caller(headers: &HeaderMap) -> Result<CallerName, RequestFault> {
    let name = match headers.get(HEADER_CALLER) {
        None => DEFAULT_CALLER,
        Some(_) => text(headers, HEADER_CALLER).unwrap_or_default(),
    };
    CallerName::new(name)
        .map_err(|_error| RequestFault("the caller's name is bad"))
}

/// Without a class a GET is a lookup and anything else an order, which is
/// the class that is never executed twice.
fn read_class(
    method: &Method,
    headers: &HeaderMap,
) -> Result<RequestClass, RequestFault> {
    let safe = method == Method::GET;
    let class = match headers.get(HEADER_CLASS) {
        None if safe => RequestClass::Lookup,
        None => RequestClass::Order,
        Some(_) => text(headers, HEADER_CLASS)
            .and_then(RequestClass::from_code)
            .ok_or(RequestFault("class is lookup, order or long"))?,
    };
    if safe && class == RequestClass::Order {
        return Err(RequestFault("an order cannot be a GET"));
    }
    Ok(class)
}

/// An order needs the caller's id: without one a resend could not be told
/// from a second order.
fn read_name(
    headers: &HeaderMap,
    class: RequestClass,
) -> Result<RequestName, RequestFault> {
    let Some(name) = text(headers, HEADER_REQUEST) else {
        if class == RequestClass::Order {
            return Err(RequestFault("an order needs a request id"));
        }
        let drawn = format!("g-{:032x}", rand::random::<u128>());
        return RequestName::new(&drawn)
            .map_err(|_error| RequestFault("no request id"));
    };
    RequestName::new(name)
        .map_err(|_error| RequestFault("the request id is bad"))
}

fn read_deadline(
    headers: &HeaderMap,
    default: TimeSpan,
) -> Result<TimeSpan, RequestFault> {
    if !headers.contains_key(HEADER_DEADLINE) {
        return Ok(default);
    }
    let fault = RequestFault("the deadline is not in milliseconds");
    let millis = text(headers, HEADER_DEADLINE).ok_or(fault)?;
    let left = TimeSpan::from_millis(millis.parse().map_err(|_e| fault)?);
    if left > DEADLINE_LIMIT {
        return Err(RequestFault("the deadline is more than an hour away"));
    }
    Ok(left)
}

/// Why a body could not be read.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum BodyFault {
    /// It is larger than it may be.
    TooLarge,
    /// It ended early.
    BrokenOff,
}

/// Reads a body of at most `limit` bytes.
pub(crate) async fn read_body<B: Buf>(
    body: impl Stream<Item = Result<B, warp::Error>>,
    limit: usize,
) -> Result<Bytes, BodyFault> {
    let mut body = std::pin::pin!(body);
    let mut read = BytesMut::new();
    while let Some(chunk) = body.next().await {
        let mut chunk = chunk.map_err(|_error| BodyFault::BrokenOff)?;
        if read.len() + chunk.remaining() > limit {
            return Err(BodyFault::TooLarge);
        }
        while chunk.has_remaining() {
            let part = chunk.chunk();
            read.extend_from_slice(part);
            let length = part.len();
            chunk.advance(length);
        }
    }
    Ok(read.freeze())
}

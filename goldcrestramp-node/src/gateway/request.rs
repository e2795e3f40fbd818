//! Validates callers' requests.

use bytes::{Buf, Bytes, BytesMut};
use futures_util::{Stream, StreamExt};
use goldcrestramp_types::{
    CallerName, LocalTime, RequestClass, RequestName, ServiceName, TimeSpan,
};
use percent_encoding::percent_decode_str;
use warp::http::{HeaderMap, Method};

use crate::keeper::MAX_ORDER_DEADLINE;

/// Header: the name of the caller.
pub(crate) const HEADER_CALLER: &str = "goldcrestramp-caller";
/// Header: the caller's id of the request, in requests and responses.
pub(crate) const HEADER_REQUEST: &str = "goldcrestramp-request";
/// Header: `lookup`, `order` or `long`.
pub(crate) const HEADER_CLASS: &str = "goldcrestramp-class";
/// Header: milliseconds until the caller stops waiting.
pub(crate) const HEADER_DEADLINE: &str = "goldcrestramp-deadline-ms";
/// Header: `true` when this request has been sent before.
pub(crate) const HEADER_RESEND: &str = "goldcrestramp-resend";

/// The maximum length of a key, in bytes.
const MAX_KEY_BYTES: usize = 1_024;
/// The maximum time until a deadline. A long export of an hour fits.
const MAX_DEADLINE: TimeSpan = TimeSpan::from_millis(3_600_000);
/// The caller of a request that names none.
const DEFAULT_CALLER: &str = "anonymous";

/// A validated request.
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

/// Why a request is invalid, as text for the caller.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) struct RequestFault(pub(crate) &'static str);

impl CallerRequest {
    /// Reads the request except for its body.
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
        let remaining = read_deadline(headers, default_deadline)?;
        if class == RequestClass::Order && remaining > MAX_ORDER_DEADLINE {
            let fault = "an order's deadline is at most a minute away";
            return Err(RequestFault(fault));
        }
        Ok(Self {
            service,
            key: read_key(key)?,
            caller: read_caller(headers)?,
            name,
            class,
            deadline: now + remaining,
            resend: is_resend(headers),
            body: Bytes::new(),
        })
    }
}

/// Whether the caller says that it may have sent the request before.
pub(crate) fn is_resend(headers: &HeaderMap) -> bool {
    header_text(headers, HEADER_RESEND) == Some("true")
}

fn header_text<'a>(headers: &'a HeaderMap, name: &str) -> Option<&'a str> {
    headers.get(name)?.to_str().ok()
}

fn read_key(key: &str) -> Result<Bytes, RequestFault> {
    let key: Vec<u8> = percent_decode_str(key).collect();
    if key.is_empty() {
        return Err(RequestFault("the request has no key"));
    }
    if key.len() > MAX_KEY_BYTES {
        return Err(RequestFault("the key is longer than 1024 bytes"));
    }
    Ok(Bytes::from(key))
}

fn read_caller(headers: &HeaderMap) -> Result<CallerName, RequestFault> {
    let name = match headers.get(HEADER_CALLER) {
        None => DEFAULT_CALLER,
        Some(_) => header_text(headers, HEADER_CALLER).unwrap_or_default(),
    };
    CallerName::new(name)
        .map_err(|_error| RequestFault("the caller's name is bad"))
}

/// Without a class header a GET is a lookup and any other method an order,
/// which is the class that is never executed twice.
fn read_class(
    method: &Method,
    headers: &HeaderMap,
) -> Result<RequestClass, RequestFault> {
    let is_get = method == Method::GET;
    let class = match headers.get(HEADER_CLASS) {
        None if is_get => RequestClass::Lookup,
        None => RequestClass::Order,
        Some(_) => header_text(headers, HEADER_CLASS)
            .and_then(RequestClass::from_code)
            .ok_or(RequestFault("class is lookup, order or long"))?,
    };
    if is_get && class == RequestClass::Order {
        return Err(RequestFault("an order cannot be a GET"));
    }
    Ok(class)
}

/// An order needs an id from the caller. Without one a resend could not be
/// distinguished from a second order.
fn read_name(
    headers: &HeaderMap,
    class: RequestClass,
) -> Result<RequestName, RequestFault> {
    let Some(name) = header_text(headers, HEADER_REQUEST) else {
        if class == RequestClass::Order {
            return Err(RequestFault("an order needs a request id"));
        }
        let generated = format!("g-{:032x}", rand::random::<u128>());
        return RequestName::new(&generated)
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
    let millis = header_text(headers, HEADER_DEADLINE).ok_or(fault)?;
    let remaining = TimeSpan::from_millis(millis.parse().map_err(|_e| fault)?);
    if remaining > MAX_DEADLINE {
        return Err(RequestFault("the deadline is more than an hour away"));
    }
    Ok(remaining)
}

/// Why a body could not be read.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum BodyFault {
    /// It is larger than the limit.
    TooLarge,
    /// It is truncated.
    Truncated,
}

/// Reads a body of at most `limit` bytes.
pub(crate) async fn read_body<B: Buf>(
    body: impl Stream<Item = Result<B, warp::Error>>,
    limit: usize,
) -> Result<Bytes, BodyFault> {
    let mut body = std::pin::pin!(body);
    let mut read = BytesMut::new();
    while let Some(chunk) = body.next().await {
        let mut chunk = chunk.map_err(|_error| BodyFault::Truncated)?;
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

//! Where the requests on a caller's connection end.
//!
//! A pipelined request can be served before the ones ahead of it are
//! answered only if it is found among the bytes that follow them. Bytes of
//! a body must never pass for a request, or whoever writes a body could
//! have requests run in its caller's name. So only what has one plain
//! reading is followed: a head that the HTTP library's own parser takes,
//! with no body or one of a single decimal length. Anything else ends it
//! for the rest of the connection, on which requests are then served one
//! after the other.

use http::{HeaderMap, HeaderName, HeaderValue, Method, Request, Uri};

/// Headers of a request; the HTTP library takes no more either.
const MAX_HEADERS: usize = 100;

/// What stands at the begin of some bytes.
#[derive(Debug)]
pub enum FrameStep {
    /// A part of a head.
    Incomplete,
    /// A whole head.
    Framed(Box<FramedRequest>),
    /// Something that is not followed.
    Opaque,
}

/// A request whose end is known.
#[derive(Debug)]
pub struct FramedRequest {
    /// The bytes of its head, with the empty line.
    pub head_bytes: usize,
    /// The bytes of its body.
    pub body_bytes: u64,
    /// Its head, if it has no body.
    pub head: Option<Request<()>>,
}

/// Reads the head at the begin of some bytes.
///
/// # Example
///
/// ```
/// use goldcrestramp_entry::framing::{FrameStep, frame_request};
///
/// let bytes = b"GET /a HTTP/1.1\r\nHost: shop\r\n\r\nGET /b";
/// let FrameStep::Framed(first) = frame_request(bytes) else {
///     panic!("the first head is whole");
/// };
/// assert_eq!(&bytes[first.head_bytes..], b"GET /b");
/// ```
#[must_use]
pub fn frame_request(bytes: &[u8]) -> FrameStep {
    let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let mut request = httparse::Request::new(&mut headers);
    let head_bytes = match request.parse(bytes) {
        Ok(httparse::Status::Complete(head_bytes)) => head_bytes,
        Ok(httparse::Status::Partial) => return FrameStep::Incomplete,
        Err(_) => return FrameStep::Opaque,
    };
    // Version 1.0 and named connection options may end the connection.
    if request.version != Some(1) {
        return FrameStep::Opaque;
    }
    framed(&request, head_bytes)
        .map_or(FrameStep::Opaque, |found| FrameStep::Framed(Box::new(found)))
}

/// The request with its length; nothing if that does not follow from its
/// head.
fn framed(
    request: &httparse::Request<'_, '_>,
    head_bytes: usize,
) -> Option<FramedRequest> {
    if !has_plain_length(request.headers) {
        return None;
    }
    let length = values(request.headers, "content-length").next();
    let Some(length) = length else {
        let head = Some(head_of(request)?);
        return Some(FramedRequest { head_bytes, body_bytes: 0, head });
    };
    let body_bytes = decimal(length)?;
    Some(FramedRequest { head_bytes, body_bytes, head: None })
}

/// Whether the end of a request follows from one length or from none.
fn has_plain_length(headers: &[httparse::Header<'_>]) -> bool {
    let lengths = values(headers, "content-length").count();
    let mut connections = values(headers, "connection");
    lengths <= 1
        && connections.all(|value| value.eq_ignore_ascii_case(b"keep-alive"))
        && ["transfer-encoding", "upgrade", "expect"]
            .into_iter()
            .all(|name| values(headers, name).next().is_none())
}

/// The values of the headers of a name.
fn values<'a>(
    headers: &[httparse::Header<'a>],
    name: &str,
) -> impl Iterator<Item = &'a [u8]> {
    let named = headers
        .iter()
        .filter(move |header| header.name.eq_ignore_ascii_case(name));
    named.map(|header| header.value)
}

/// Digits alone: a sign, a blank or a list has more than one reading.
fn decimal(value: &[u8]) -> Option<u64> {
    let digits = value.iter().all(u8::is_ascii_digit);
    let text = std::str::from_utf8(value).ok()?;
    digits.then(|| text.parse().ok())?
}

fn head_of(request: &httparse::Request<'_, '_>) -> Option<Request<()>> {
    let mut head = Request::new(());
    *head.method_mut() = request.method?.parse::<Method>().ok()?;
    *head.uri_mut() = request.path?.parse::<Uri>().ok()?;
    *head.headers_mut() = headers_of(request.headers)?;
    Some(head)
}

fn headers_of(headers: &[httparse::Header<'_>]) -> Option<HeaderMap> {
    let mut map = HeaderMap::with_capacity(headers.len());
    for header in headers {
        let name = HeaderName::from_bytes(header.name.as_bytes()).ok()?;
        let value = HeaderValue::from_bytes(header.value).ok()?;
        map.append(name, value);
    }
    Some(map)
}

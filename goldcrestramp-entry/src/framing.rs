//! Finds the ends of the requests on a caller's connection.
//!
//! A pipelined request can be served before the ones ahead of it have
//! responses only if it is found in the bytes that follow them. Bytes of a
//! body must never be taken for a request, or whoever writes a body could run
//! requests in its caller's name. So only requests with one unambiguous
//! reading are followed: a head that the HTTP library's own parser accepts,
//! with no body or with a body of a single decimal length. Anything else is
//! opaque: from there on, the requests of the connection are served one after
//! the other.

use http::{HeaderMap, HeaderName, HeaderValue, Method, Request, Uri};

/// The maximum number of headers of a request; the HTTP library accepts no
/// more either.
const MAX_HEADERS: usize = 100;

/// What some bytes begin with.
#[derive(Debug)]
pub enum FrameStep {
    /// An incomplete head.
    Incomplete,
    /// A complete head.
    Framed(Box<FramedRequest>),
    /// Anything else; requests behind it are not looked for.
    Opaque,
}

/// A request whose end is known.
#[derive(Debug)]
pub struct FramedRequest {
    /// The size of its head in bytes, including the empty line.
    pub head_bytes: usize,
    /// The size of its body in bytes.
    pub body_bytes: u64,
    /// Its head, if it has no body.
    pub head: Option<Request<()>>,
}

/// Reads the head with which `bytes` begin.
///
/// # Example
///
/// ```
/// use goldcrestramp_entry::framing::{FrameStep, frame_request};
///
/// let bytes = b"GET /a HTTP/1.1\r\nHost: shop\r\n\r\nGET /b";
/// let FrameStep::Framed(first) = frame_request(bytes) else {
///     panic!("the first head is complete");
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
    // HTTP/1.0 and connection options may close the connection.
    if request.version != Some(1) {
        return FrameStep::Opaque;
    }
    framed_request(&request, head_bytes)
        .map_or(FrameStep::Opaque, |found| FrameStep::Framed(Box::new(found)))
}

/// Returns the request with its body length; `None` if the length does not
/// follow from its head.
fn framed_request(
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

/// Whether the end of a request follows from a single length or from the
/// absence of a body.
fn has_plain_length(headers: &[httparse::Header<'_>]) -> bool {
    let lengths = values(headers, "content-length").count();
    let mut connections = values(headers, "connection");
    lengths <= 1
        && connections.all(|value| value.eq_ignore_ascii_case(b"keep-alive"))
        && ["transfer-encoding", "upgrade", "expect"]
            .into_iter()
            .all(|name| values(headers, name).next().is_none())
}

/// The values of the headers with a name.
fn values<'a>(
    headers: &[httparse::Header<'a>],
    name: &str,
) -> impl Iterator<Item = &'a [u8]> {
    let named = headers
        .iter()
        .filter(move |header| header.name.eq_ignore_ascii_case(name));
    named.map(|header| header.value)
}

/// Accepts digits only: a sign, a blank or a list has more than one reading.
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

//! A request as a keeper sends it.

use std::sync::Arc;

use goldcrestramp_types::{FenceToken, RequestClass, ServerTime, SliceIndex};
use goldcrestramp_wire::server::{
    HEADER_CLASS, HEADER_DEADLINE, HEADER_KEY, HEADER_REQUEST, HEADER_SERVICE,
    HEADER_SLICE, HEADER_START_BY, HEADER_TOKEN, decode_token,
};
use warp::http::HeaderMap;

/// The headers of a request.
#[derive(Clone, Debug)]
pub(super) struct RunRequest {
    pub(super) request: Arc<str>,
    pub(super) service: Arc<str>,
    pub(super) key: Arc<str>,
    pub(super) slice: SliceIndex,
    pub(super) class: RequestClass,
    pub(super) token: FenceToken,
    pub(super) start_by: ServerTime,
    pub(super) deadline: Option<ServerTime>,
}

impl RunRequest {
    /// Reads the headers; `None` if one is missing or malformed.
    pub(super) fn read(headers: &HeaderMap) -> Option<Self> {
        let text = |name| headers.get(name)?.to_str().ok();
        let time =
            |name| text(name)?.parse().ok().map(ServerTime::from_micros);
        Some(Self {
            request: Arc::from(text(HEADER_REQUEST)?),
            service: Arc::from(text(HEADER_SERVICE)?),
            key: Arc::from(decode(text(HEADER_KEY)?)),
            slice: SliceIndex::new(text(HEADER_SLICE)?.parse().ok()?)?,
            class: RequestClass::from_code(text(HEADER_CLASS)?)?,
            token: decode_token(text(HEADER_TOKEN)?)?,
            start_by: time(HEADER_START_BY)?,
            deadline: time(HEADER_DEADLINE),
        })
    }
}

/// Decodes the percent encoding of a key or of a request's id.
pub(super) fn decode(text: &str) -> String {
    let mut parts = text.split('%');
    let mut decoded = parts.next().unwrap_or_default().to_owned();
    for part in parts {
        let code = part.get(..2).and_then(|c| u8::from_str_radix(c, 16).ok());
        match code {
            Some(byte) if byte.is_ascii() => {
                decoded.push(char::from(byte));
                decoded.push_str(&part[2..]);
            }
            _ => decoded.push_str(part),
        }
    }
    decoded
}

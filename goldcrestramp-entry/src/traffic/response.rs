//! The responses that callers get.

use std::{
    pin::Pin,
    task::{Context, Poll},
};

use bytes::Bytes;
use goldcrestramp_types::TimeSpan;
use http::{
    HeaderMap, HeaderValue, Response, StatusCode, header::RETRY_AFTER,
};
use http_body_util::{BodyExt, Full};
use hyper::body::{Body, Frame, Incoming, SizeHint};

use crate::{
    http::ConnectionSender,
    traffic::{
        headers::strip_connection, reason::EndReason, server::ServerSlot,
    },
};

/// Responses up to this size are buffered before the caller gets a byte. Then
/// a response that breaks off can be retried, and the server's slot is free as
/// soon as it is done, however slowly the caller reads.
const MAX_BUFFERED_BYTES: usize = 256 * 1024;

/// The body of a response.
#[derive(Debug)]
pub(crate) enum ResponseBody {
    /// The complete body.
    Full(Full<Bytes>),
    /// The part that was read, and the rest that is still to arrive.
    Streamed(Box<StreamedResponse>),
}

/// A response that is streamed; it occupies its slot at the server.
#[derive(Debug)]
pub(crate) struct StreamedResponse {
    prefix: Option<Bytes>,
    rest: Incoming,
    size: Option<u64>,
    _slot: ServerSlot,
    _connection: ConnectionSender,
}

impl Body for ResponseBody {
    type Data = Bytes;
    type Error = hyper::Error;

    fn poll_frame(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, hyper::Error>>> {
        match self.get_mut() {
            Self::Full(body) => {
                Pin::new(body).poll_frame(cx).map_err(|never| match never {})
            }
            Self::Streamed(body) => match body.prefix.take() {
                Some(prefix) => Poll::Ready(Some(Ok(Frame::data(prefix)))),
                // An error closes the caller's connection before the response
                // looks complete.
                None => Pin::new(&mut body.rest).poll_frame(cx),
            },
        }
    }

    fn is_end_stream(&self) -> bool {
        match self {
            Self::Full(body) => body.is_end_stream(),
            Self::Streamed(_) => false,
        }
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Self::Full(body) => body.size_hint(),
            Self::Streamed(body) => match body.size {
                Some(size) => SizeHint::with_exact(size),
                None => SizeHint::default(),
            },
        }
    }
}

/// The body of a server's response, as far as it is buffered.
#[derive(Debug)]
pub(crate) enum ReadResponse {
    /// The complete body.
    Full(Bytes),
    /// The first bytes of a large body, and the rest.
    Partial(Bytes, Incoming),
}

/// Reads a server's response, completely unless it is large.
pub(crate) async fn read_response(
    mut body: Incoming,
) -> Result<ReadResponse, hyper::Error> {
    let mut buffered: Vec<u8> = Vec::new();
    loop {
        if buffered.len() > MAX_BUFFERED_BYTES {
            return Ok(ReadResponse::Partial(buffered.into(), body));
        }
        match body.frame().await {
            None => return Ok(ReadResponse::Full(buffered.into())),
            Some(frame) => {
                if let Ok(data) = frame?.into_data() {
                    buffered.extend_from_slice(&data);
                }
            }
        }
    }
}

/// Builds the caller's response from a server's response, unchanged except for
/// the headers that concern the server's connection.
pub(crate) fn full_response(
    status: StatusCode,
    headers: HeaderMap,
    body: Bytes,
) -> Response<ResponseBody> {
    let body = ResponseBody::Full(Full::new(body));
    forwarded(status, headers, body)
}

/// Builds the caller's response from a server's large response, the rest of
/// which is still to arrive.
pub(crate) fn streamed_response(
    status: StatusCode,
    headers: HeaderMap,
    prefix: Bytes,
    rest: Incoming,
    slot: ServerSlot,
    connection: ConnectionSender,
) -> Response<ResponseBody> {
    let remaining = rest.size_hint().exact();
    let size = remaining.map(|remaining| remaining + prefix.len() as u64);
    let prefix = Some(prefix);
    let body = StreamedResponse {
        prefix,
        rest,
        size,
        _slot: slot,
        _connection: connection,
    };
    forwarded(status, headers, ResponseBody::Streamed(Box::new(body)))
}

fn forwarded(
    status: StatusCode,
    mut headers: HeaderMap,
    body: ResponseBody,
) -> Response<ResponseBody> {
    strip_connection(&mut headers);
    headers.remove(http::header::CONTENT_LENGTH);
    let mut response = Response::new(body);
    *response.status_mut() = status;
    *response.headers_mut() = headers;
    response
}

/// Builds a response of this VM's own, which names the reason.
pub(crate) fn local_response(
    reason: EndReason,
    may_have_run: bool,
    retry_after: TimeSpan,
) -> Response<ResponseBody> {
    let status = local_status(reason, may_have_run);
    let body = Full::new(Bytes::from_static(reason.code().as_bytes()));
    let mut response = Response::new(ResponseBody::Full(body));
    *response.status_mut() = status;
    if status == StatusCode::SERVICE_UNAVAILABLE {
        let seconds = retry_after.to_std().as_secs_f64();
        let text = format!("{seconds:.2}");
        if let Ok(value) = HeaderValue::from_str(&text) {
            response.headers_mut().insert(RETRY_AFTER, value);
        }
    }
    response
}

/// The status of this VM's own response. 503 states that the request was not
/// run, which must be true; 502 and 504 leave it open.
const fn local_status(reason: EndReason, may_have_run: bool) -> StatusCode {
    match reason {
        EndReason::NoRoute => StatusCode::NOT_FOUND,
        EndReason::BodyTooLarge => StatusCode::PAYLOAD_TOO_LARGE,
        EndReason::BodyBroken | EndReason::BadKey => StatusCode::BAD_REQUEST,
        EndReason::Timeout if may_have_run => StatusCode::GATEWAY_TIMEOUT,
        _ if may_have_run => StatusCode::BAD_GATEWAY,
        _ => StatusCode::SERVICE_UNAVAILABLE,
    }
}

//! The answers that callers get.

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

/// Answers up to this size are read whole before the caller gets a byte,
/// so that one that breaks off can be asked for again, and the server is
/// free as soon as it is done, however slowly the caller reads.
const MAX_BUFFERED_BYTES: usize = 256 * 1024;

/// The body of an answer.
#[derive(Debug)]
pub(crate) enum ResponseBody {
    /// All of it.
    Whole(Full<Bytes>),
    /// What was read, and what is still to come.
    Streamed(Box<StreamedResponse>),
}

/// An answer that passes through; it holds its place at the server.
#[derive(Debug)]
pub(crate) struct StreamedResponse {
    begun: Option<Bytes>,
    rest: Incoming,
    size: Option<u64>,
    _slot: ServerSlot,
    _link: ConnectionSender,
}

impl Body for ResponseBody {
    type Data = Bytes;
    type Error = hyper::Error;

    fn poll_frame(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, hyper::Error>>> {
        match self.get_mut() {
            Self::Whole(body) => {
                Pin::new(body).poll_frame(cx).map_err(|never| match never {})
            }
            Self::Streamed(body) => match body.begun.take() {
                Some(begun) => Poll::Ready(Some(Ok(Frame::data(begun)))),
                // An error ends the caller's connection before the answer
                // looks complete.
                None => Pin::new(&mut body.rest).poll_frame(cx),
            },
        }
    }

    fn is_end_stream(&self) -> bool {
        match self {
            Self::Whole(body) => body.is_end_stream(),
            Self::Streamed(_) => false,
        }
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Self::Whole(body) => body.size_hint(),
            Self::Streamed(body) => match body.size {
                Some(size) => SizeHint::with_exact(size),
                None => SizeHint::default(),
            },
        }
    }
}

/// The body of a server's answer as far as it has to be read.
#[derive(Debug)]
pub(crate) enum ReadResponse {
    /// All of it.
    Whole(Bytes),
    /// The begin of a large one.
    Begun(Bytes, Incoming),
}

/// Reads a server's answer, whole if it is not large.
pub(crate) async fn read_answer(
    mut body: Incoming,
) -> Result<ReadResponse, hyper::Error> {
    let mut read: Vec<u8> = Vec::new();
    loop {
        if read.len() > MAX_BUFFERED_BYTES {
            return Ok(ReadResponse::Begun(read.into(), body));
        }
        match body.frame().await {
            None => return Ok(ReadResponse::Whole(read.into())),
            Some(frame) => {
                if let Ok(data) = frame?.into_data() {
                    read.extend_from_slice(&data);
                }
            }
        }
    }
}

/// A server's answer, unchanged but for what concerns its connection.
pub(crate) fn whole_answer(
    status: StatusCode,
    headers: HeaderMap,
    body: Bytes,
) -> Response<ResponseBody> {
    let body = ResponseBody::Whole(Full::new(body));
    forwarded(status, headers, body)
}

/// A server's large answer, of which the rest is still to come.
pub(crate) fn streamed_answer(
    status: StatusCode,
    headers: HeaderMap,
    begun: Bytes,
    rest: Incoming,
    slot: ServerSlot,
    link: ConnectionSender,
) -> Response<ResponseBody> {
    let left = rest.size_hint().exact();
    let size = left.map(|left| left + begun.len() as u64);
    let begun = Some(begun);
    let body =
        StreamedResponse { begun, rest, size, _slot: slot, _link: link };
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

/// An answer of this VM's own.
pub(crate) fn own_answer(
    reason: EndReason,
    may_have_run: bool,
    retry_after: TimeSpan,
) -> Response<ResponseBody> {
    let status = own_status(reason, may_have_run);
    let body = Full::new(Bytes::from_static(reason.code().as_bytes()));
    let mut response = Response::new(ResponseBody::Whole(body));
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

/// 503 says "not run", which must be true; 502 and 504 say nothing.
const fn own_status(reason: EndReason, may_have_run: bool) -> StatusCode {
    match reason {
        EndReason::NoRoute => StatusCode::NOT_FOUND,
        EndReason::BodyTooLarge => StatusCode::PAYLOAD_TOO_LARGE,
        EndReason::BodyBroken | EndReason::BadKey => StatusCode::BAD_REQUEST,
        EndReason::Timeout if may_have_run => StatusCode::GATEWAY_TIMEOUT,
        _ if may_have_run => StatusCode::BAD_GATEWAY,
        _ => StatusCode::SERVICE_UNAVAILABLE,
    }
}

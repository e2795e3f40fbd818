//! The responses that callers get.

use std::{
    collections::VecDeque,
    pin::Pin,
    sync::Arc,
    task::{Context, Poll, ready},
};

use bytes::Bytes;
use goldcrestramp_decisions::STREAM_BYTES;
use goldcrestramp_types::TimeSpan;
use http::{
    HeaderMap, HeaderValue, Response, StatusCode, header::RETRY_AFTER,
};
use http_body_util::{BodyExt, Full};
use hyper::body::{Body, Frame, Incoming, SizeHint};

use crate::traffic::{
    headers::strip_connection,
    memory::{
        ActiveAccount, ChunkWriter, HeldCharge, MAX_CHUNK_BYTES, MemoryAccount,
    },
    reason::EndReason,
    server::{ServerConnection, ServerSlot},
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
    /// The complete body, in chunks that are charged until they are sent.
    Chunked(VecDeque<Bytes>),
    /// The part that was read, and the rest that is still to arrive.
    Streamed(Box<StreamedResponse>),
}

impl ResponseBody {
    /// The bytes that are held for it in any case until its caller reads them.
    pub(crate) fn held_bytes(&self) -> u64 {
        match self {
            Self::Full(_) => 0,
            Self::Chunked(chunks) => total_bytes(chunks),
            Self::Streamed(body) => match body.stream {
                Some(_) => total_bytes(&body.prefix) + STREAM_BYTES,
                None => 0,
            },
        }
    }
}

/// Where the rest of a streamed response comes from.
#[derive(Debug)]
pub(crate) struct StreamSource {
    rest: Incoming,
    _slot: ServerSlot,
    _connection: ServerConnection,
}

impl StreamSource {
    pub(crate) const fn new(
        rest: Incoming,
        slot: ServerSlot,
        connection: ServerConnection,
    ) -> Self {
        Self { rest, _slot: slot, _connection: connection }
    }
}

/// The account to which a streamed response is charged.
#[derive(Debug)]
struct StreamCharge {
    account: Arc<ActiveAccount>,
    _buffers: HeldCharge,
}

/// A response that is streamed; it occupies its slot at the server.
#[derive(Debug)]
pub(crate) struct StreamedResponse {
    prefix: VecDeque<Bytes>,
    size: Option<u64>,
    source: StreamSource,
    stream: Option<StreamCharge>,
}

impl StreamedResponse {
    fn poll_data(
        &mut self,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, hyper::Error>>> {
        let Some(stream) = &self.stream else {
            if let Some(prefix) = self.prefix.pop_front() {
                return Poll::Ready(Some(Ok(Frame::data(prefix))));
            }
            // An error closes the caller's connection before the response
            // looks complete.
            return Pin::new(&mut self.source.rest).poll_frame(cx);
        };
        if let Some(chunk) = next_chunk(&mut self.prefix) {
            return Poll::Ready(Some(Ok(Frame::data(chunk))));
        }
        let frame = ready!(Pin::new(&mut self.source.rest).poll_frame(cx));
        let Some(Ok(frame)) = frame else { return Poll::Ready(frame) };
        Poll::Ready(Some(Ok(match frame.into_data() {
            Ok(data) => {
                self.prefix.push_back(stream.account.charge_data(data));
                let chunk = next_chunk(&mut self.prefix);
                Frame::data(chunk.unwrap_or_default())
            }
            Err(trailers) => trailers,
        })))
    }
}

/// Takes the next bytes for the HTTP library.
fn next_chunk(chunks: &mut VecDeque<Bytes>) -> Option<Bytes> {
    let mut chunk = chunks.pop_front()?;
    if chunk.len() > MAX_CHUNK_BYTES {
        chunks.push_front(chunk.split_off(MAX_CHUNK_BYTES));
    }
    Some(chunk)
}

fn total_bytes(chunks: &VecDeque<Bytes>) -> u64 {
    chunks.iter().map(|chunk| chunk.len() as u64).sum()
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
            Self::Chunked(chunks) => {
                let chunk = next_chunk(chunks);
                Poll::Ready(chunk.map(|chunk| Ok(Frame::data(chunk))))
            }
            Self::Streamed(body) => body.poll_data(cx),
        }
    }

    fn is_end_stream(&self) -> bool {
        match self {
            Self::Full(body) => body.is_end_stream(),
            Self::Chunked(chunks) => chunks.is_empty(),
            Self::Streamed(_) => false,
        }
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Self::Full(body) => body.size_hint(),
            Self::Chunked(chunks) => SizeHint::with_exact(total_bytes(chunks)),
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
    Full(ResponseBody),
    /// The first bytes of a large body, and the rest.
    Partial(VecDeque<Bytes>, Incoming),
}

/// Reads a server's response, completely unless it is large or there is no
/// room to hold it.
pub(crate) async fn read_response(
    memory: &MemoryAccount,
    mut body: Incoming,
) -> Result<ReadResponse, hyper::Error> {
    if let Some(account) = memory.active() {
        return read_charged(account, body).await;
    }
    let mut buffered: Vec<u8> = Vec::new();
    loop {
        if buffered.len() > MAX_BUFFERED_BYTES {
            let prefix = VecDeque::from([buffered.into()]);
            return Ok(ReadResponse::Partial(prefix, body));
        }
        match body.frame().await {
            None => {
                let full = Full::new(buffered.into());
                return Ok(ReadResponse::Full(ResponseBody::Full(full)));
            }
            Some(frame) => {
                if let Ok(data) = frame?.into_data() {
                    buffered.extend_from_slice(&data);
                }
            }
        }
    }
}

async fn read_charged(
    account: &Arc<ActiveAccount>,
    mut body: Incoming,
) -> Result<ReadResponse, hyper::Error> {
    let mut buffered = ChunkWriter::new(account);
    while let Some(frame) = body.frame().await {
        let Ok(data) = frame?.into_data() else { continue };
        let has_room = buffered.push(&data);
        // A body that has arrived completely occupies no server any longer.
        let is_complete = body.is_end_stream();
        if !is_complete && (!has_room || buffered.len() > MAX_BUFFERED_BYTES) {
            return Ok(ReadResponse::Partial(buffered.finish().into(), body));
        }
    }
    let chunks = buffered.finish().into();
    Ok(ReadResponse::Full(ResponseBody::Chunked(chunks)))
}

/// Builds the caller's response from a server's response, unchanged except for
/// the headers that concern the server's connection.
pub(crate) fn full_response(
    status: StatusCode,
    headers: HeaderMap,
    body: ResponseBody,
) -> Response<ResponseBody> {
    forwarded(status, headers, body)
}

/// Builds the caller's response from a server's large response, the rest of
/// which is still to arrive. It is charged to `account`, if there is one.
pub(crate) fn streamed_response(
    status: StatusCode,
    headers: HeaderMap,
    prefix: VecDeque<Bytes>,
    source: StreamSource,
    account: Option<&Arc<ActiveAccount>>,
) -> Response<ResponseBody> {
    let remaining = source.rest.size_hint().exact();
    let size = remaining.map(|remaining| remaining + total_bytes(&prefix));
    let stream = account.map(|account| StreamCharge {
        account: Arc::clone(account),
        _buffers: account.charge_stream(),
    });
    let body = StreamedResponse { prefix, size, source, stream };
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

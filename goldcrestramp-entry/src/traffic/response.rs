//! The responses that callers get.

use std::{
    fmt,
    pin::Pin,
    sync::Arc,
    task::{Context, Poll, ready},
};

use bytes::Bytes;
use goldcrestramp_decisions::{LateResponse, STREAM_BYTES};
use goldcrestramp_types::{ClockSource, LocalTime, MonotonicClock, TimeSpan};
use http::{
    HeaderMap, HeaderValue, Response, StatusCode, header::RETRY_AFTER,
};
use http_body_util::{BodyExt, Full};
use hyper::body::{Body, Frame, Incoming, SizeHint};
use tokio::time::{Instant, Sleep, sleep_until};

use crate::{
    metrics::EntryMetrics,
    traffic::{
        chunks::{ChunkList, ChunkWriter},
        headers::strip_connection,
        memory::{HeldCharge, MemoryAccount},
        reason::EndReason,
        server::{ServerConnection, ServerSlot},
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
    /// The complete body, in chunks that are charged until they are sent.
    Chunked(ChunkList),
    /// The part that was read, and the rest that is still to arrive.
    Streamed(Box<StreamedResponse>),
}

impl ResponseBody {
    /// The bytes that are held for it in any case until its caller reads them.
    pub(crate) fn held_bytes(&self) -> u64 {
        match self {
            Self::Full(_) => 0,
            Self::Chunked(chunks) => chunks.total_bytes(),
            Self::Streamed(body) => body.prefix.total_bytes() + STREAM_BYTES,
        }
    }
}

/// Why the body of a response broke off. The caller's connection is closed
/// before the response looks complete.
#[derive(Debug)]
pub(crate) enum BodyError {
    /// The server's connection failed.
    Server(hyper::Error),
    /// The server went on for too long after the deadline.
    Late,
}

impl fmt::Display for BodyError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Server(_) => f.write_str("the server's connection failed"),
            Self::Late => f.write_str("the response did not end in time"),
        }
    }
}

impl std::error::Error for BodyError {
    fn source(&self) -> Option<&(dyn std::error::Error + 'static)> {
        match self {
            Self::Server(error) => Some(error),
            Self::Late => None,
        }
    }
}

/// Where the rest of a streamed response comes from.
#[derive(Debug)]
pub(crate) struct StreamSource {
    rest: Incoming,
    slot: ServerSlot,
    _connection: ServerConnection,
    limit: LateResponse,
    /// Wakes the stream when it is to be given up.
    timer: Option<Pin<Box<Sleep>>>,
    metrics: Arc<EntryMetrics>,
}

impl StreamSource {
    pub(crate) fn open(
        rest: Incoming,
        slot: ServerSlot,
        connection: ServerConnection,
        deadline: LocalTime,
        metrics: &Arc<EntryMetrics>,
    ) -> Self {
        let length = rest.size_hint().exact();
        let now = MonotonicClock.now();
        Self {
            rest,
            slot,
            _connection: connection,
            limit: LateResponse::open(deadline, length, now),
            timer: None,
            metrics: Arc::clone(metrics),
        }
    }

    /// Polls for the next frame, as long as the response may go on.
    fn poll_frame(
        &mut self,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        let now = MonotonicClock.now();
        self.limit.record_demand(now);
        let Poll::Ready(frame) = Pin::new(&mut self.rest).poll_frame(cx)
        else {
            ready!(self.poll_given_up(cx, now));
            return Poll::Ready(Some(Err(self.give_up())));
        };
        let frame = frame.transpose().map_err(BodyError::Server);
        let data = frame.as_ref().ok().and_then(Option::as_ref);
        let bytes = data.and_then(Frame::data_ref).map_or(0, Bytes::len);
        if !self.limit.record_bytes(now, bytes as u64) {
            return Poll::Ready(Some(Err(self.give_up())));
        }
        Poll::Ready(frame.transpose())
    }

    fn poll_given_up(
        &mut self,
        cx: &mut Context<'_>,
        now: LocalTime,
    ) -> Poll<()> {
        let left = self.limit.given_up_at().since(now);
        // A timer that is set to the present elapses only after it.
        if left == TimeSpan::ZERO {
            return Poll::Ready(());
        }
        let end = Instant::now() + left.to_std();
        let timer =
            self.timer.get_or_insert_with(|| Box::pin(sleep_until(end)));
        timer.as_mut().reset(end);
        timer.as_mut().poll(cx)
    }

    fn give_up(&self) -> BodyError {
        log::warn!(
            "[gateway] A response of server {} was given up: it did not end \
             in time.",
            self.slot.server.instance.id
        );
        self.metrics.late_responses.inc();
        BodyError::Late
    }
}

/// A response that is streamed; it occupies its slot at the server.
#[derive(Debug)]
pub(crate) struct StreamedResponse {
    prefix: ChunkList,
    size: Option<u64>,
    source: StreamSource,
    account: MemoryAccount,
    /// What it takes up in the HTTP library.
    _buffers: HeldCharge,
}

impl StreamedResponse {
    /// Streams what was read and the rest, which is charged to `account`
    /// beside `buffers`.
    pub(crate) fn open(
        prefix: ChunkList,
        source: StreamSource,
        account: &MemoryAccount,
        buffers: HeldCharge,
    ) -> Self {
        let remaining = source.rest.size_hint().exact();
        let size = remaining.map(|bytes| bytes + prefix.total_bytes());
        let account = account.clone();
        Self { prefix, size, source, account, _buffers: buffers }
    }

    fn poll_data(
        &mut self,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        let frame = ready!(self.poll_offer(cx));
        self.source.limit.record_offer(MonotonicClock.now());
        Poll::Ready(frame)
    }

    /// Polls for the next bytes that the caller is offered.
    fn poll_offer(
        &mut self,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        if let Some(chunk) = self.prefix.next_chunk() {
            return Poll::Ready(Some(Ok(Frame::data(chunk))));
        }
        let frame = ready!(self.source.poll_frame(cx));
        let Some(Ok(frame)) = frame else { return Poll::Ready(frame) };
        Poll::Ready(Some(Ok(match frame.into_data() {
            Ok(data) => {
                self.prefix.push(self.account.charge_data(data));
                Frame::data(self.prefix.next_chunk().unwrap_or_default())
            }
            Err(trailers) => trailers,
        })))
    }
}

impl Body for ResponseBody {
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        match self.get_mut() {
            Self::Full(body) => {
                Pin::new(body).poll_frame(cx).map_err(|never| match never {})
            }
            Self::Chunked(chunks) => {
                Pin::new(chunks).poll_frame(cx).map_err(|never| match never {})
            }
            Self::Streamed(body) => body.poll_data(cx),
        }
    }

    fn is_end_stream(&self) -> bool {
        match self {
            Self::Full(body) => body.is_end_stream(),
            Self::Chunked(chunks) => chunks.is_end_stream(),
            Self::Streamed(_) => false,
        }
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Self::Full(body) => body.size_hint(),
            Self::Chunked(chunks) => chunks.size_hint(),
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
    Partial(ChunkList, Incoming),
}

/// Reads a server's response, completely unless it is large or there is no
/// room to hold it.
pub(crate) async fn read_response(
    account: &MemoryAccount,
    mut body: Incoming,
) -> Result<ReadResponse, hyper::Error> {
    let mut buffered = ChunkWriter::open(account, 0);
    while let Some(frame) = body.frame().await {
        let Ok(data) = frame?.into_data() else { continue };
        let has_room = buffered.push_response(&data);
        // A body that has arrived completely occupies no server any longer.
        let is_complete = body.is_end_stream();
        if !is_complete && (!has_room || buffered.len() > MAX_BUFFERED_BYTES) {
            return Ok(ReadResponse::Partial(buffered.finish(), body));
        }
    }
    Ok(ReadResponse::Full(ResponseBody::Chunked(buffered.finish())))
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
/// which is still to arrive.
pub(crate) fn streamed_response(
    status: StatusCode,
    headers: HeaderMap,
    body: StreamedResponse,
) -> Response<ResponseBody> {
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

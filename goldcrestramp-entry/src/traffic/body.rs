//! The bodies of requests: buffered completely, or streamed to one server.

use std::{
    pin::Pin,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    task::{Context, Poll, ready},
    time::Duration,
};

use bytes::Bytes;
use http_body_util::{BodyExt, Either, Full};
use hyper::body::{Body, Frame, SizeHint};
use tokio::{task::spawn_local, time::timeout};

use crate::{
    http::{BodyFailure, SendBody},
    traffic::{
        caller::IncomingBody,
        chunks::{ChunkList, ChunkWriter},
        memory::{HeldCharge, MemoryAccount},
        reason::EndReason,
    },
};

/// Bodies up to this size are buffered before a server is chosen, so that they
/// can be sent again when the first attempt did not run. Larger bodies are
/// streamed and sent once, whether their length is stated or not.
const MAX_BUFFERED_BYTES: u64 = 256 * 1024;

/// How long the rest of a refused body is read, so that its caller gets the
/// response.
const DISCARD_TIME: Duration = Duration::from_secs(2);

/// The body of a request.
#[derive(Debug)]
pub(crate) enum RequestBody {
    /// Read completely.
    Full(ChunkList),
    /// Streamed; the first attempt takes it.
    Streamed(Option<StreamedBody>),
}

impl RequestBody {
    /// The size of a buffered body in bytes; 0 for a streamed one.
    pub(crate) fn buffered_bytes(&self) -> u64 {
        match self {
            Self::Full(chunks) => chunks.total_bytes(),
            Self::Streamed(_) => 0,
        }
    }

    /// The size of the body in bytes, as far as it is known.
    pub(crate) fn size(&self) -> u64 {
        match self {
            Self::Full(chunks) => chunks.total_bytes(),
            Self::Streamed(body) => {
                let body = body.as_ref();
                body.map_or(0, |body| body.size_hint().lower())
            }
        }
    }

    /// Drops a body that is still to arrive and that no attempt has taken, so
    /// that its caller gets the response.
    pub(super) fn discard(&mut self) {
        if let Self::Streamed(body) = self
            && let Some(body) = body.take()
        {
            discard(body.rest);
        }
    }

    /// The body for an attempt; `None` if an earlier one has taken it.
    /// `reserved` is held until a streamed one ends.
    pub(super) fn for_send(
        &mut self,
        reserved: Option<HeldCharge>,
    ) -> Option<SendBody> {
        match self {
            Self::Full(chunks) => Some(match chunks.clone().into_single() {
                Ok(bytes) => Either::Left(Full::new(bytes)),
                Err(chunks) => {
                    let chunks = chunks.map_err(|never| match never {});
                    Either::Right(chunks.boxed_unsync())
                }
            }),
            Self::Streamed(body) => {
                let mut body = body.take()?;
                body.rest.begin_stream();
                body.reserved = reserved;
                Some(Either::Right(body.boxed_unsync()))
            }
        }
    }
}

/// Whether a streamed body has turned out to be larger than allowed.
#[derive(Clone, Debug, Default)]
pub(crate) struct OversizeFlag(Arc<AtomicBool>);

impl OversizeFlag {
    pub(super) fn is_set(&self) -> bool {
        self.0.load(Ordering::Relaxed)
    }
}

/// A body that is passed on as it arrives.
#[derive(Debug)]
pub(crate) struct StreamedBody {
    /// What was read before it was clear that the body is large.
    read: ChunkList,
    rest: IncomingBody,
    /// The bytes that may still arrive.
    allowed: u64,
    oversize: OversizeFlag,
    /// What it takes up in the HTTP library while it is sent.
    reserved: Option<HeldCharge>,
}

impl Body for StreamedBody {
    type Data = Bytes;
    type Error = BodyFailure;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyFailure>>> {
        if let Some(chunk) = self.read.next_chunk() {
            return Poll::Ready(Some(Ok(Frame::data(chunk))));
        }
        let frame = ready!(Pin::new(&mut self.rest).poll_frame(cx));
        let frame = frame.transpose().map_err(BodyFailure::Caller)?;
        let data = frame.as_ref().and_then(Frame::data_ref);
        let arrived = data.map_or(0, Bytes::len) as u64;
        let Some(allowed) = self.allowed.checked_sub(arrived) else {
            self.oversize.0.store(true, Ordering::Relaxed);
            return Poll::Ready(Some(Err(BodyFailure::TooLarge)));
        };
        self.allowed = allowed;
        Poll::Ready(frame.map(Ok))
    }

    fn size_hint(&self) -> SizeHint {
        let read = self.read.total_bytes();
        if let Some(rest) = self.rest.size_hint().exact() {
            return SizeHint::with_exact(read + rest);
        }
        let mut hint = SizeHint::default();
        hint.set_lower(read);
        hint
    }
}

/// Buffers the body, or leaves the rest of a large one to be streamed.
pub(crate) async fn read_body(
    account: &MemoryAccount,
    body: Option<IncomingBody>,
    max_bytes: u64,
    oversize: &OversizeFlag,
) -> Result<RequestBody, EndReason> {
    let Some(mut rest) = body.filter(|body| !body.is_end_stream()) else {
        return Ok(RequestBody::Full(ChunkList::default()));
    };
    let stated = rest.size_hint().exact();
    if stated.is_some_and(|bytes| bytes > max_bytes) {
        return Err(EndReason::BodyTooLarge);
    }
    let streamed = |read, rest, arrived| {
        let (allowed, oversize) = (max_bytes - arrived, oversize.clone());
        let body =
            StreamedBody { read, rest, allowed, oversize, reserved: None };
        RequestBody::Streamed(Some(body))
    };
    if stated.is_some_and(|bytes| bytes > MAX_BUFFERED_BYTES) {
        return Ok(streamed(ChunkList::default(), rest, 0));
    }
    let expected = stated.unwrap_or(0);
    if !account.update(|held| held.has_room_for_request(expected)) {
        discard(rest);
        return Err(account.refuse());
    }
    let expected = usize::try_from(expected).unwrap_or(usize::MAX);
    let mut read = ChunkWriter::open(account, expected);
    while let Some(frame) = rest.frame().await {
        let frame = frame.map_err(|_error| EndReason::BodyBroken)?;
        // Trailers are ignored.
        let Ok(data) = frame.into_data() else { continue };
        if (read.len() + data.len()) as u64 > max_bytes {
            return Err(EndReason::BodyTooLarge);
        }
        // Data is copied: a tiny chunk would hold the buffer that it was read
        // into.
        if !read.push_request(&data) {
            discard(rest);
            return Err(account.refuse());
        }
        let arrived = read.len() as u64;
        if arrived > MAX_BUFFERED_BYTES {
            return Ok(streamed(read.finish(), rest, arrived));
        }
    }
    Ok(RequestBody::Full(read.finish()))
}

/// Reads and drops the rest of a refused body. If its connection was closed
/// with unread bytes instead, the caller could lose the response.
pub(super) fn discard(mut body: IncomingBody) {
    spawn_local(async move {
        let drained =
            async { while let Some(Ok(_frame)) = body.frame().await {} };
        // A caller that still sends after that is disconnected.
        let _in_time = timeout(DISCARD_TIME, drained).await;
    });
}

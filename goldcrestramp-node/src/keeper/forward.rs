//! Forwards the response of a backend server as frames.

use std::{sync::Arc, time::Duration};

use bytes::Bytes;
use goldcrestramp_decisions::{MAX_ANSWER_BYTES, StoredAnswer};
use goldcrestramp_wire::peer::{RouteFrame, RouteHead};
use reqwest::{Response, header::CONTENT_TYPE};
use tokio::sync::mpsc;
use tonic::Status;

use crate::keeper::{
    attempts::AttemptGuard, frames, request::ServerRequest,
    silence::SilenceWatch, slot::ServerSlot,
};

/// How often a response that its reader does not read is checked.
const STALL_CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// The channel for the frames of a response.
pub(crate) type FrameSender = mpsc::Sender<Result<RouteFrame, Status>>;

/// How forwarding a response ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum ForwardEnd {
    /// It was forwarded completely.
    Complete,
    /// The server's response was truncated.
    ServerFailed,
    /// The reader disconnected or stalled for too long.
    ReaderLost,
}

/// Streams the response, with an end frame only if it is complete.
pub(crate) async fn forward(
    response: Response,
    request: &ServerRequest,
    frames: &FrameSender,
    watch: SilenceWatch<'_>,
    slot: Option<&ServerSlot>,
    mut copy: Option<ResponseCopy<'_>>,
) -> ForwardEnd {
    let length = response.content_length();
    let head = RouteHead {
        status: u32::from(response.status().as_u16()),
        content_type: content_type(&response).to_owned(),
        length,
        request: request.id.to_string(),
    };
    if !send_frame(frames, frames::head(head)).await {
        return ForwardEnd::ReaderLost;
    }
    let mut forwarded = 0;
    let mut chunks = response.bytes_stream();
    while let Some(chunk) = watch.next(&mut chunks).await {
        let Ok(chunk) = chunk else {
            abort(frames);
            return ForwardEnd::ServerFailed;
        };
        forwarded += chunk.len() as u64;
        if let Some(copy) = &mut copy {
            copy.append(&chunk);
        }
        if length == Some(forwarded) {
            copy.take().iter_mut().for_each(ResponseCopy::store);
        }
        if let Some(slot) = slot {
            slot.record_progress();
        }
        if !send_data(frames, chunk, request, slot).await {
            return ForwardEnd::ReaderLost;
        }
    }
    // A connection that closes early can look like the end of the response;
    // the announced length shows the difference.
    if length.is_some_and(|length| length != forwarded) {
        abort(frames);
        return ForwardEnd::ServerFailed;
    }
    copy.iter_mut().for_each(ResponseCopy::store);
    if send_unless_stalled(frames, frames::end(forwarded), slot).await {
        ForwardEnd::Complete
    } else {
        ForwardEnd::ReaderLost
    }
}

/// The media type of a response; empty if there is none.
fn content_type(response: &Response) -> &str {
    let value = response.headers().get(CONTENT_TYPE);
    value.and_then(|value| value.to_str().ok()).unwrap_or_default()
}

/// A copy of the response to an order, for a resend.
#[derive(Debug)]
pub(crate) struct ResponseCopy<'a> {
    attempt: &'a mut AttemptGuard,
    answer: StoredAnswer,
    /// `None` once it exceeds [`MAX_ANSWER_BYTES`].
    body: Option<Vec<u8>>,
}

impl<'a> ResponseCopy<'a> {
    pub(super) fn new(
        attempt: &'a mut AttemptGuard,
        response: &Response,
    ) -> Self {
        let answer = StoredAnswer {
            status: response.status().as_u16(),
            content_type: Arc::from(content_type(response)),
            body: None,
        };
        Self { attempt, answer, body: Some(Vec::new()) }
    }

    fn append(&mut self, chunk: &[u8]) {
        let has_room =
            |body: &Vec<u8>| body.len() + chunk.len() <= MAX_ANSWER_BYTES;
        self.body = self.body.take().filter(has_room);
        if let Some(body) = &mut self.body {
            body.extend_from_slice(chunk);
        }
    }

    /// Stores the complete response.
    ///
    /// This happens before the last byte is sent: a caller that has received
    /// everything may resend the order at once, and would otherwise get *still
    /// running*.
    fn store(&mut self) {
        let body = self.body.take().map(Arc::from);
        self.attempt.record_done(StoredAnswer { body, ..self.answer.clone() });
    }
}

/// Sends a stored response.
pub(crate) async fn send_stored(
    frames: &FrameSender,
    request: &ServerRequest,
    answer: StoredAnswer,
) {
    let body = answer.body.as_deref().unwrap_or_default();
    let length = body.len() as u64;
    let head = RouteHead {
        status: u32::from(answer.status),
        content_type: answer.content_type.to_string(),
        length: Some(length),
        request: request.id.to_string(),
    };
    let data = Bytes::copy_from_slice(body);
    // Each is useless once the gateway has disconnected.
    if send_frame(frames, frames::head(head)).await
        && send_data(frames, data, request, None).await
    {
        send_frame(frames, frames::end(length)).await;
    }
}

/// Ends the response without an end frame.
///
/// If the reader has stalled, the channel has no room for the error. Waiting
/// would occupy the slot, and the end of the stream has the same meaning.
fn abort(frames: &FrameSender) {
    let status = Status::data_loss("the server's answer broke off");
    drop(frames.try_send(Err(status)));
}

/// Sends data of the server, in pieces if it crosses to another region.
async fn send_data(
    frames: &FrameSender,
    mut data: Bytes,
    request: &ServerRequest,
    slot: Option<&ServerSlot>,
) -> bool {
    let Some(crossing) = &request.crossing else {
        return send_unless_stalled(frames, frames::data(data), slot).await;
    };
    while !data.is_empty() {
        let piece = crossing.next(&mut data).await;
        if !send_unless_stalled(frames, frames::data(piece), slot).await {
            return false;
        }
    }
    true
}

/// Sends a frame, unless the reader has stalled for too long.
///
/// In that case the stream ends without an end frame, which the gateway
/// forwards as a truncated response, and the slot becomes free.
async fn send_unless_stalled(
    frames: &FrameSender,
    frame: RouteFrame,
    slot: Option<&ServerSlot>,
) -> bool {
    let Some(slot) = slot else { return send_frame(frames, frame).await };
    let since = slot.now();
    loop {
        let reserved =
            tokio::time::timeout(STALL_CHECK_INTERVAL, frames.reserve()).await;
        match reserved {
            Ok(Ok(permit)) => {
                permit.send(Ok(frame));
                return true;
            }
            Ok(Err(_closed)) => return false,
            Err(_elapsed) if slot.is_reader_stalled(since) => return false,
            Err(_elapsed) => {}
        }
    }
}

/// Sends a frame; returns `false` if the gateway has disconnected.
pub(crate) async fn send_frame(
    frames: &FrameSender,
    frame: RouteFrame,
) -> bool {
    frames.send(Ok(frame)).await.is_ok()
}

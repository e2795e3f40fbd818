//! The answer of a backend server, passed on as frames.

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

/// How often an answer that does not move is looked at.
const LOOK_EVERY: Duration = Duration::from_millis(100);

/// Where the frames of an answer go.
pub(crate) type FrameSender = mpsc::Sender<Result<RouteFrame, Status>>;

/// How the passing on of an answer ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum PassEnd {
    /// It was passed on whole.
    Whole,
    /// It broke off at the server.
    ServerBroke,
    /// Its reader went away or stalled for too long.
    ReaderGone,
}

/// Streams the answer; it is marked whole only if it is.
pub(crate) async fn pass_on(
    response: Response,
    request: &ServerRequest,
    frames: &FrameSender,
    watch: SilenceWatch<'_>,
    slot: Option<&ServerSlot>,
    mut copy: Option<AnswerCopy<'_>>,
) -> PassEnd {
    let length = response.content_length();
    let head = RouteHead {
        status: u32::from(response.status().as_u16()),
        content_type: content_type(&response).to_owned(),
        length,
        request: request.id.to_string(),
    };
    if !give(frames, frames::head(head)).await {
        return PassEnd::ReaderGone;
    }
    let mut passed = 0;
    let mut chunks = response.bytes_stream();
    while let Some(chunk) = watch.next(&mut chunks).await {
        let Ok(chunk) = chunk else {
            broken(frames);
            return PassEnd::ServerBroke;
        };
        passed += chunk.len() as u64;
        if let Some(copy) = &mut copy {
            copy.add(&chunk);
        }
        if length == Some(passed) {
            copy.take().iter_mut().for_each(AnswerCopy::complete);
        }
        if let Some(slot) = slot {
            slot.progress();
        }
        if !give_data(frames, chunk, request, slot).await {
            return PassEnd::ReaderGone;
        }
    }
    // A connection that ends early can look like the end of the answer;
    // the announced length tells them apart.
    if length.is_some_and(|length| length != passed) {
        broken(frames);
        return PassEnd::ServerBroke;
    }
    copy.iter_mut().for_each(AnswerCopy::complete);
    if give_patiently(frames, frames::end(passed), slot).await {
        PassEnd::Whole
    } else {
        PassEnd::ReaderGone
    }
}

/// The media type of an answer; empty if there is none.
fn content_type(response: &Response) -> &str {
    let value = response.headers().get(CONTENT_TYPE);
    value.and_then(|value| value.to_str().ok()).unwrap_or_default()
}

/// A copy of an order's answer, for a resend.
#[derive(Debug)]
pub(crate) struct AnswerCopy<'a> {
    attempt: &'a mut AttemptGuard,
    answer: StoredAnswer,
    /// Nothing once it is too long to keep.
    body: Option<Vec<u8>>,
}

impl<'a> AnswerCopy<'a> {
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

    fn add(&mut self, chunk: &[u8]) {
        let room =
            |body: &Vec<u8>| body.len() + chunk.len() <= MAX_ANSWER_BYTES;
        self.body = self.body.take().filter(room);
        if let Some(body) = &mut self.body {
            body.extend_from_slice(chunk);
        }
    }

    /// Remembers the answer, which is whole.
    ///
    /// Done before its last byte goes out: a caller that has it all may
    /// send the order again at once, and would be told that it still runs.
    fn complete(&mut self) {
        let body = self.body.take().map(Arc::from);
        self.attempt.done(StoredAnswer { body, ..self.answer.clone() });
    }
}

/// Gives an answer that was kept.
pub(crate) async fn give_stored(
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
    // Each is in vain once the gateway has gone.
    if give(frames, frames::head(head)).await
        && give_data(frames, data, request, None).await
    {
        give(frames, frames::end(length)).await;
    }
}

/// Ends the answer without its end mark.
///
/// With a reader that has stalled there is no room for the error; waiting
/// for it would hold the slot, and the stream's mere end says the same.
fn broken(frames: &FrameSender) {
    let status = Status::data_loss("the server's answer broke off");
    drop(frames.try_send(Err(status)));
}

/// Hands on what the server sent, in pieces if it crosses a short link.
async fn give_data(
    frames: &FrameSender,
    mut data: Bytes,
    request: &ServerRequest,
    slot: Option<&ServerSlot>,
) -> bool {
    let Some(crossing) = &request.crossing else {
        return give_patiently(frames, frames::data(data), slot).await;
    };
    while !data.is_empty() {
        let piece = crossing.next(&mut data).await;
        if !give_patiently(frames, frames::data(piece), slot).await {
            return false;
        }
    }
    true
}

/// Hands on a part of an answer, unless its reader has stalled for too long.
///
/// Then the stream ends without its end mark, which the gateway passes on
/// as an answer that broke off, and the slot is free for others.
async fn give_patiently(
    frames: &FrameSender,
    frame: RouteFrame,
    slot: Option<&ServerSlot>,
) -> bool {
    let Some(slot) = slot else { return give(frames, frame).await };
    let since = slot.now();
    loop {
        let room = tokio::time::timeout(LOOK_EVERY, frames.reserve()).await;
        match room {
            Ok(Ok(permit)) => {
                permit.send(Ok(frame));
                return true;
            }
            Ok(Err(_gone)) => return false,
            Err(_elapsed) if slot.is_reader_stalled(since) => return false,
            Err(_elapsed) => {}
        }
    }
}

/// Hands on a frame; `false`: the gateway has gone.
pub(crate) async fn give(frames: &FrameSender, frame: RouteFrame) -> bool {
    frames.send(Ok(frame)).await.is_ok()
}

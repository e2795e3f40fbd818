//! One request to a backend server, and its answer back as frames.

use std::{sync::Arc, time::Duration};

use bytes::Bytes;
use futures_util::StreamExt;
use goldcrestramp_decisions::{ANSWER_LIMIT, AttemptId, StoredAnswer};
use goldcrestramp_types::{
    CallerName, LocalTime, NotRunReason, RequestClass, RequestEffect,
    ServerName, ServerTime, ServiceName, SliceIndex, TimeSpan, UnknownReason,
};
use goldcrestramp_wire::{
    peer::{RouteFrame, RouteHead, route_frame::Frame},
    server::{
        HEADER_CLASS, HEADER_DEADLINE, HEADER_KEY, HEADER_REQUEST,
        HEADER_SERVICE, HEADER_SLICE, HEADER_START_BY, HEADER_STARTED,
        HEADER_TOKEN, encode_token,
    },
};
use percent_encoding::{NON_ALPHANUMERIC, percent_encode};
use reqwest::{Response, header::CONTENT_TYPE};
use tokio::sync::mpsc;
use tonic::Status;

use crate::{
    faults::{NodeFaults, PlantedFault},
    keeper::{
        attempts::AttemptGuard,
        frames,
        link::LinkCrossing,
        prove,
        slot::{ServerSlot, SlotEnd},
        view::KeptServer,
    },
};

/// The share of a span that surely fits into it on a faster clock.
const CLOCK_PERCENT: u64 = 98;

/// A request that is about to be sent to its server.
#[derive(Clone, Debug)]
pub(crate) struct ServerRequest {
    pub(crate) service: ServiceName,
    pub(crate) key: Bytes,
    pub(crate) slice: SliceIndex,
    /// The server that the gateway means.
    pub(crate) server: Option<ServerName>,
    /// `caller/request`.
    pub(crate) id: Arc<str>,
    /// The same, as its keeper remembers it.
    pub(crate) attempt: Option<AttemptId>,
    pub(crate) caller: CallerName,
    /// Whether the caller may have sent it before.
    pub(crate) resend: bool,
    pub(crate) class: RequestClass,
    pub(crate) deadline: LocalTime,
    pub(crate) body: Bytes,
    /// Set when its answer crosses to another region.
    pub(crate) crossing: Option<Arc<LinkCrossing>>,
}

impl ServerRequest {
    /// Whether it may be sent to this server.
    ///
    /// An order goes to the server that its gateway named and to no other:
    /// asked later what became of it, the gateway asks that one.
    pub(crate) fn is_for(&self, kept: &KeptServer) -> bool {
        let once = self.class.effect() == RequestEffect::NonIdempotent;
        !once || self.server.as_ref() == Some(&kept.order.server)
    }
}

/// How often an answer that does not move is looked at.
const LOOK_EVERY: Duration = Duration::from_millis(100);

/// When a caller may come back after the server itself refused: some ten
/// slot times of a lookup.
const REFUSAL_WAIT: TimeSpan = TimeSpan::from_millis(50);

/// Where the frames of an answer go.
pub(crate) type FrameSender = mpsc::Sender<Result<RouteFrame, Status>>;

/// The deadline of a request in the clock of its server.
///
/// The pass holds a reading of that clock and the *latest* moment at which
/// it was read, so the result is never later than the caller's deadline.
fn server_deadline(kept: &KeptServer, deadline: LocalTime) -> ServerTime {
    let left = deadline.since(kept.pass.read_at);
    kept.pass.server_clock + left.percent(CLOCK_PERCENT)
}

/// Sends the request and passes the answer on until it ends.
///
/// `left` ends the wait for the first byte, and so does `moved`, which
/// completes when an idempotent request is better sent to another server.
/// What became of the request is noted in `slot` and `attempt`.
pub(crate) async fn send(
    (http, faults): (&reqwest::Client, &NodeFaults),
    kept: &KeptServer,
    request: &ServerRequest,
    left: TimeSpan,
    frames: &FrameSender,
    (slot, attempt): (&mut ServerSlot, &mut AttemptGuard),
    moved: impl Future<Output = ()>,
) {
    attempt.sent();
    let call = build(http, kept, request).send();
    let opened = tokio::select! {
        opened = tokio::time::timeout(left.to_std(), call) => opened,
        () = moved => {
            slot.fail(SlotEnd::Broken);
            let lost = UnknownReason::ServerLost;
            give(frames, frames::unknown(lost)).await;
            return;
        }
    };
    let response = match opened {
        Ok(Ok(response)) => response,
        Ok(Err(error)) if error.is_connect() => {
            // No connection, so no byte of the request has left.
            let reason = NotRunReason::ServerUnreachable;
            slot.fail(SlotEnd::Unreachable);
            attempt.not_run(reason);
            give(frames, frames::not_run(reason, REFUSAL_WAIT)).await;
            return;
        }
        Ok(Err(_error)) => {
            let lost = UnknownReason::ServerLost;
            slot.fail(SlotEnd::Broken);
            return find_out(http, kept, request, lost, frames, attempt).await;
        }
        Err(_elapsed) => {
            let passed = UnknownReason::DeadlinePassed;
            slot.fail(SlotEnd::Broken);
            return find_out(http, kept, request, passed, frames, attempt)
                .await;
        }
    };
    if response.headers().contains_key(HEADER_STARTED) {
        let reason = NotRunReason::ServerRefused;
        slot.fail(SlotEnd::Refused);
        attempt.not_run(reason);
        give(frames, frames::not_run(reason, REFUSAL_WAIT)).await;
        return;
    }
    // Passing on another request's answer would show one caller the data of
    // another; the id that the server echoes tells.
    let echoed = response.headers().get(HEADER_REQUEST);
    let crossed =
        echoed.is_none_or(|id| id.as_bytes() != request.id.as_bytes());
    if crossed && !faults.has(PlantedFault::CrossedPassed) {
        let crossed = UnknownReason::CrossedAnswer;
        slot.fail(SlotEnd::Broken);
        give(frames, frames::unknown(crossed)).await;
        return;
    }
    slot.begin();
    let once = request.class.effect() == RequestEffect::NonIdempotent;
    let mut copy = once.then(|| AnswerCopy::new(&response));
    let copied = copy.as_mut();
    match pass_on(response, request, frames, Some(slot), copied).await {
        PassEnd::Whole => {
            slot.complete();
            if let Some(copy) = copy {
                attempt.done(copy.answer());
            }
        }
        PassEnd::ServerBroke => slot.fail(SlotEnd::Broken),
        PassEnd::ReaderGone => slot.fail(SlotEnd::Cancelled),
    }
}

/// Asks the server what became of the request, and answers so.
async fn find_out(
    http: &reqwest::Client,
    kept: &KeptServer,
    request: &ServerRequest,
    otherwise: UnknownReason,
    frames: &FrameSender,
    attempt: &mut AttemptGuard,
) {
    let frame = prove::outcome(http, kept, request, otherwise).await;
    if let Some(Frame::NotRun(not_run)) = &frame.frame {
        let reason = NotRunReason::from_code(&not_run.reason);
        attempt.not_run(reason.unwrap_or(NotRunReason::Cancelled));
    }
    give(frames, frame).await;
}

fn build(
    http: &reqwest::Client,
    kept: &KeptServer,
    request: &ServerRequest,
) -> reqwest::RequestBuilder {
    let deadline = server_deadline(kept, request.deadline);
    let start_by = deadline.min(kept.pass.start_by);
    let key = percent_encode(&request.key, NON_ALPHANUMERIC).to_string();
    http.post(format!("http://{}/run", kept.order.address))
        .header(HEADER_REQUEST, request.id.as_ref())
        .header(HEADER_KEY, key)
        .header(HEADER_SLICE, request.slice.get())
        .header(HEADER_SERVICE, request.service.as_str())
        .header(HEADER_TOKEN, encode_token(kept.pass.token))
        .header(HEADER_START_BY, start_by.as_micros())
        .header(HEADER_DEADLINE, deadline.as_micros())
        .header(HEADER_CLASS, request.class.code())
        .body(request.body.clone())
}

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
    slot: Option<&ServerSlot>,
    mut copy: Option<&mut AnswerCopy>,
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
    while let Some(chunk) = chunks.next().await {
        let Ok(chunk) = chunk else {
            broken(frames);
            return PassEnd::ServerBroke;
        };
        passed += chunk.len() as u64;
        if let Some(copy) = &mut copy {
            copy.add(&chunk);
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
pub(crate) struct AnswerCopy {
    answer: StoredAnswer,
    /// Nothing once it is too long to keep.
    body: Option<Vec<u8>>,
}

impl AnswerCopy {
    fn new(response: &Response) -> Self {
        let answer = StoredAnswer {
            status: response.status().as_u16(),
            content_type: Arc::from(content_type(response)),
            body: None,
        };
        Self { answer, body: Some(Vec::new()) }
    }

    fn add(&mut self, chunk: &[u8]) {
        let room = |body: &Vec<u8>| body.len() + chunk.len() <= ANSWER_LIMIT;
        self.body = self.body.take().filter(room);
        if let Some(body) = &mut self.body {
            body.extend_from_slice(chunk);
        }
    }

    fn answer(self) -> StoredAnswer {
        StoredAnswer { body: self.body.map(Arc::from), ..self.answer }
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
            Err(_elapsed) if slot.is_reader_lost(since) => return false,
            Err(_elapsed) => {}
        }
    }
}

/// Hands on a frame; `false`: the gateway has gone.
pub(crate) async fn give(frames: &FrameSender, frame: RouteFrame) -> bool {
    frames.send(Ok(frame)).await.is_ok()
}

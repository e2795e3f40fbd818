//! One request to a backend server, and its answer back as frames.

use std::sync::Arc;

use bytes::Bytes;
use futures_util::StreamExt;
use goldcrestramp_types::{
    LocalTime, NotRunReason, RequestClass, ServerTime, ServiceName,
    SliceIndex, TimeSpan, UnknownReason,
};
use goldcrestramp_wire::{
    peer::{RouteFrame, RouteHead},
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

use crate::keeper::{frames, prove, view::KeptServer};

/// The share of a span that surely fits into it on a faster clock.
const CLOCK_PERCENT: u64 = 98;

/// A request that is about to be sent to its server.
#[derive(Clone, Debug)]
pub(crate) struct ServerRequest {
    pub(crate) service: ServiceName,
    pub(crate) key: Bytes,
    pub(crate) slice: SliceIndex,
    /// `caller/request`.
    pub(crate) id: Arc<str>,
    pub(crate) class: RequestClass,
    pub(crate) deadline: LocalTime,
    pub(crate) body: Bytes,
}

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
/// `deadline_passed` ends the wait for the first byte.
pub(crate) async fn send(
    http: &reqwest::Client,
    kept: &KeptServer,
    request: &ServerRequest,
    left: TimeSpan,
    frames: &FrameSender,
) {
    let call = build(http, kept, request).send();
    let response = match tokio::time::timeout(left.to_std(), call).await {
        Ok(Ok(response)) => response,
        Ok(Err(error)) if error.is_connect() => {
            // No connection, so no byte of the request has left.
            let reason = NotRunReason::ServerUnreachable;
            give(frames, frames::not_run(reason, TimeSpan::ZERO)).await;
            return;
        }
        Ok(Err(_error)) => {
            let lost = UnknownReason::ServerLost;
            let frame = prove::outcome(http, kept, request, lost).await;
            give(frames, frame).await;
            return;
        }
        Err(_elapsed) => {
            let passed = UnknownReason::DeadlinePassed;
            let frame = prove::outcome(http, kept, request, passed).await;
            give(frames, frame).await;
            return;
        }
    };
    if response.headers().contains_key(HEADER_STARTED) {
        let reason = NotRunReason::ServerRefused;
        give(frames, frames::not_run(reason, TimeSpan::ZERO)).await;
        return;
    }
    // Passing on another request's answer would show one caller the data of
    // another; the id that the server echoes tells.
    let echoed = response.headers().get(HEADER_REQUEST);
    if echoed.is_none_or(|id| id.as_bytes() != request.id.as_bytes()) {
        let crossed = UnknownReason::CrossedAnswer;
        give(frames, frames::unknown(crossed)).await;
        return;
    }
    pass_on(response, request, frames).await;
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

/// Streams the answer; it is marked whole only if it is.
pub(crate) async fn pass_on(
    response: Response,
    request: &ServerRequest,
    frames: &FrameSender,
) {
    let length = response.content_length();
    let content_type = response.headers().get(CONTENT_TYPE);
    let content_type = content_type.and_then(|value| value.to_str().ok());
    let head = RouteHead {
        status: u32::from(response.status().as_u16()),
        content_type: content_type.unwrap_or_default().to_owned(),
        length,
        request: request.id.to_string(),
    };
    if !give(frames, frames::head(head)).await {
        return;
    }
    let mut passed = 0;
    let mut chunks = response.bytes_stream();
    while let Some(chunk) = chunks.next().await {
        let Ok(chunk) = chunk else {
            return broken(frames).await;
        };
        passed += chunk.len() as u64;
        if !give(frames, frames::data(chunk)).await {
            return;
        }
    }
    // A connection that ends early can look like the end of the answer;
    // the announced length tells them apart.
    if length.is_some_and(|length| length != passed) {
        return broken(frames).await;
    }
    give(frames, frames::end(passed)).await;
}

/// Ends the answer without its end mark.
async fn broken(frames: &FrameSender) {
    let status = Status::data_loss("the server's answer broke off");
    drop(frames.send(Err(status)).await);
}

/// Hands on a frame; `false`: the gateway has gone.
pub(crate) async fn give(frames: &FrameSender, frame: RouteFrame) -> bool {
    frames.send(Ok(frame)).await.is_ok()
}

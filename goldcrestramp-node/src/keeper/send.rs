//! Sends a request to a backend server and forwards its response as frames.

use goldcrestramp_types::{
    LocalTime, NotRunReason, RequestEffect, ServerTime, TimeSpan,
    UnknownReason,
};
use goldcrestramp_wire::{
    peer::route_frame::Frame,
    server::{
        HEADER_CLASS, HEADER_DEADLINE, HEADER_KEY, HEADER_REQUEST,
        HEADER_SERVICE, HEADER_SLICE, HEADER_START_BY, HEADER_STARTED,
        HEADER_TOKEN, encode_token,
    },
};
use percent_encoding::{NON_ALPHANUMERIC, percent_encode};

use crate::{
    faults::{NodeFaults, PlantedFault},
    keeper::{
        attempts::AttemptGuard,
        forward::{
            ForwardEnd, FrameSender, ResponseCopy, forward, send_frame,
        },
        frames, prove,
        request::ServerRequest,
        silence::SilenceWatch,
        slot::{ServerSlot, SlotEnd},
        view::KeptServer,
    },
};

/// The percentage of a span that is surely within it on a faster clock.
const CLOCK_PERCENT: u64 = 98;

/// When a caller may retry after the server itself refused: about ten slot
/// times of a lookup.
const REFUSAL_RETRY_AFTER: TimeSpan = TimeSpan::from_millis(50);

/// The deadline of a request, as a time of its server's clock.
///
/// The pass holds a reading of that clock and the *latest* moment at which
/// it was read, so the result is never later than the caller's deadline.
fn server_deadline(kept: &KeptServer, deadline: LocalTime) -> ServerTime {
    let remaining = deadline.since(kept.pass.read_at);
    kept.pass.server_clock + remaining.percent(CLOCK_PERCENT)
}

/// Sends the request and forwards the response until it ends.
///
/// The wait for the first byte ends after `remaining`, or when `slice_moved`
/// completes because an idempotent request is better sent to another server.
/// The outcome is recorded in `slot` and `attempt`.
pub(crate) async fn send(
    (http, faults): (&reqwest::Client, &NodeFaults),
    kept: &KeptServer,
    request: &ServerRequest,
    remaining: TimeSpan,
    frames: &FrameSender,
    (slot, attempt): (&mut ServerSlot, &mut AttemptGuard),
    slice_moved: impl Future<Output = ()>,
) {
    attempt.record_sent();
    let call = build(http, kept, request).send();
    let result = tokio::select! {
        result = tokio::time::timeout(remaining.to_std(), call) => result,
        () = slice_moved => {
            slot.record_end(SlotEnd::Broken);
            let lost = UnknownReason::ServerLost;
            send_frame(frames, frames::unknown(lost)).await;
            return;
        }
    };
    let response = match result {
        Ok(Ok(response)) => response,
        Ok(Err(error)) if error.is_connect() => {
            // Without a connection no byte of the request was sent.
            let reason = NotRunReason::ServerUnreachable;
            slot.record_end(SlotEnd::Unreachable);
            attempt.record_not_run(reason);
            send_frame(frames, frames::not_run(reason, REFUSAL_RETRY_AFTER))
                .await;
            return;
        }
        Ok(Err(_error)) => {
            let lost = UnknownReason::ServerLost;
            slot.record_end(SlotEnd::Broken);
            return query_outcome(http, kept, request, lost, frames, attempt)
                .await;
        }
        Err(_elapsed) => {
            let passed = UnknownReason::DeadlinePassed;
            slot.record_end(SlotEnd::Broken);
            return query_outcome(
                http, kept, request, passed, frames, attempt,
            )
            .await;
        }
    };
    if response.headers().contains_key(HEADER_STARTED) {
        let reason = NotRunReason::ServerRefused;
        slot.record_end(SlotEnd::Refused);
        attempt.record_not_run(reason);
        send_frame(frames, frames::not_run(reason, REFUSAL_RETRY_AFTER)).await;
        return;
    }
    // Forwarding another request's response would show one caller the data
    // of another. The id that the server echoes reveals it.
    let echoed = response.headers().get(HEADER_REQUEST);
    let crossed =
        echoed.is_none_or(|id| id.as_bytes() != request.id.as_bytes());
    if crossed && !faults.has(PlantedFault::CrossedPassed) {
        let crossed = UnknownReason::CrossedAnswer;
        slot.record_end(SlotEnd::Broken);
        send_frame(frames, frames::unknown(crossed)).await;
        return;
    }
    slot.record_start();
    let is_order = request.class.effect() == RequestEffect::NonIdempotent;
    let copy = is_order.then(|| ResponseCopy::new(attempt, &response));
    let (address, id) = (&*kept.order.address, &*request.id);
    let watch = SilenceWatch { http, address, request: id };
    let forwarded =
        forward(response, request, frames, watch, Some(slot), copy);
    match forwarded.await {
        ForwardEnd::Complete => slot.record_complete(),
        ForwardEnd::ServerFailed => slot.record_end(SlotEnd::Broken),
        ForwardEnd::ReaderLost => slot.record_end(SlotEnd::Cancelled),
    }
}

/// Queries the server for the outcome of the request, and responds with it.
async fn query_outcome(
    http: &reqwest::Client,
    kept: &KeptServer,
    request: &ServerRequest,
    fallback: UnknownReason,
    frames: &FrameSender,
    attempt: &mut AttemptGuard,
) {
    log::info!(
        "keeper: server {} did not respond to {}: {}.",
        kept.order.server,
        request.id,
        fallback.code(),
    );
    let frame = prove::outcome(http, kept, request, fallback).await;
    if let Some(Frame::NotRun(not_run)) = &frame.frame {
        let reason = NotRunReason::from_code(&not_run.reason);
        attempt.record_not_run(reason.unwrap_or(NotRunReason::Cancelled));
    }
    send_frame(frames, frame).await;
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

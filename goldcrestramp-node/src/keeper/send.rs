//! One request to a backend server, and its answer back as frames.

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
        frames,
        pass_on::{AnswerCopy, FrameSender, PassEnd, give, pass_on},
        prove,
        request::ServerRequest,
        silence::SilenceWatch,
        slot::{ServerSlot, SlotEnd},
        view::KeptServer,
    },
};

/// The share of a span that surely fits into it on a faster clock.
const CLOCK_PERCENT: u64 = 98;

/// When a caller may come back after the server itself refused: some ten
/// slot times of a lookup.
const REFUSAL_WAIT: TimeSpan = TimeSpan::from_millis(50);

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
    let copy = once.then(|| AnswerCopy::new(attempt, &response));
    let (address, id) = (&*kept.order.address, &*request.id);
    let watch = SilenceWatch { http, address, request: id };
    let passed = pass_on(response, request, frames, watch, Some(slot), copy);
    match passed.await {
        PassEnd::Whole => slot.complete(),
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

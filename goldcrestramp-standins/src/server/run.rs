//! Runs one request and sends its response.

use std::{sync::Arc, time::Duration};

use bytes::Bytes;
use futures_util::{StreamExt, stream};
use goldcrestramp_types::RequestClass;
use goldcrestramp_wire::server::{HEADER_REQUEST, HEADER_STARTED};
use tokio::sync::OwnedSemaphorePermit;
use warp::{
    Reply,
    http::{HeaderMap, HeaderValue, StatusCode, header::CONTENT_LENGTH},
    reply::Response,
};

use crate::{
    answer::AnswerPattern,
    records::MachineTime,
    server::{
        faults::AnswerFault,
        headers::RunRequest,
        shared::ServerShared,
        state::{EndedWork, StartedWork},
    },
};

/// The largest response body that is kept for a later query, in bytes.
const MAX_STORED_BYTES: usize = 65_536;

/// The delay between the first half of a truncated response and the error that
/// breaks it off.
///
/// Without the delay, the error overtakes the half that was sent.
const TRUNCATION_DELAY: Duration = Duration::from_millis(20);

/// A request in flight; dropping it records its end.
#[derive(Debug)]
struct RunningRequest {
    shared: Arc<ServerShared>,
    work: EndedWork,
    kept: Option<Bytes>,
    _slot: OwnedSemaphorePermit,
}

impl Drop for RunningRequest {
    fn drop(&mut self) {
        let kept = self.kept.take();
        self.shared.state().end(MachineTime::now(), &self.work, kept);
    }
}

/// A response to send, with its fault if it has one.
#[derive(Debug)]
struct OutgoingAnswer {
    request: Arc<str>,
    body: Bytes,
    /// The length that the header declares.
    declared: usize,
}

/// Runs a request, or refuses it before it starts.
pub(super) async fn run_request(
    headers: HeaderMap,
    shared: Arc<ServerShared>,
) -> Response {
    let Some(request) = RunRequest::read(&headers) else {
        return refusal(StatusCode::BAD_REQUEST);
    };
    let Some(slot) = shared.take_slot().await else {
        return refusal(StatusCode::SERVICE_UNAVAILABLE);
    };
    shared.thawed().await;
    let started = shared.state().start(MachineTime::now(), &request);
    let Some(work) = started else {
        return refusal(StatusCode::SERVICE_UNAVAILABLE);
    };
    let running = RunningRequest {
        shared: Arc::clone(&shared),
        work: EndedWork {
            index: work.index,
            request: Arc::clone(&request.request),
            slice: request.slice,
            class: request.class,
        },
        kept: None,
        _slot: slot,
    };
    match request.class {
        RequestClass::Long => long_answer(running, &request, work),
        _ => short_answer(running, request, work).await,
    }
}

/// Does the work, then sends the complete response.
///
/// The work runs in its own task: it ends even if nobody waits for the
/// response any more, as in a real server.
async fn short_answer(
    mut running: RunningRequest,
    request: RunRequest,
    work: StartedWork,
) -> Response {
    let shared = Arc::clone(&running.shared);
    let length = shared.behaviour.short_bytes;
    let work = tokio::spawn(async move {
        tokio::time::sleep(millis_to_duration(work.work_ms)).await;
        running.shared.thawed().await;
        let pattern = pattern_of(&request, work.value, length);
        let body = pattern.complete();
        running.kept = Some(body.clone());
        outgoing(&running, body)
    });
    match work.await {
        Ok(answer) => whole_response(answer),
        Err(_ended) => StatusCode::INTERNAL_SERVER_ERROR.into_response(),
    }
}

/// Sends the response in parts while it does the work.
fn long_answer(
    mut running: RunningRequest,
    request: &RunRequest,
    work: StartedWork,
) -> Response {
    let behaviour = &running.shared.behaviour;
    let parts = behaviour.long_parts.max(1);
    let pattern = pattern_of(request, work.value, behaviour.long_bytes);
    let pause = millis_to_duration(work.work_ms).div_f64(to_float(parts));
    let body = pattern.complete();
    if body.len() <= MAX_STORED_BYTES {
        running.kept = Some(body.clone());
    }
    let answer = outgoing(&running, body);
    let part = answer.declared.div_ceil(parts).max(1);
    let declared = answer.declared;
    let id = Arc::clone(&answer.request);
    let sending = (running, answer, 0_usize);
    let body = stream::unfold(sending, move |sending| async move {
        let (running, answer, at) = sending;
        if at >= answer.declared {
            return None;
        }
        tokio::time::sleep(pause).await;
        running.shared.thawed().await;
        let next = next_part(&running, &answer, at, part);
        let at = next.as_ref().map_or(answer.declared, |sent| at + sent.len());
        Some((next, (running, answer, at)))
    });
    respond(&id, declared, warp::reply::stream(body))
}

/// Returns the next part of a long response; an error closes the connection.
fn next_part(
    running: &RunningRequest,
    answer: &OutgoingAnswer,
    at: usize,
    part: usize,
) -> std::io::Result<Bytes> {
    let cancelled =
        running.shared.state().requests.is_cancelled(&running.work.request);
    if cancelled || at >= answer.body.len() {
        return Err(std::io::ErrorKind::BrokenPipe.into());
    }
    Ok(answer.body.slice(at..answer.body.len().min(at + part)))
}

/// Applies the fault of the next response, if there is one.
fn outgoing(running: &RunningRequest, body: Bytes) -> OutgoingAnswer {
    let mut state = running.shared.state();
    let request = Arc::clone(&running.work.request);
    let current = (Arc::clone(&request), body.clone());
    let before = state.last_answer.replace(current);
    let complete = body.len();
    let half = body.slice(..complete / 2);
    let fault = state.faults.next_answer();
    drop(state);
    match (fault, before) {
        (Some(AnswerFault::Crossed), Some((request, body))) => {
            OutgoingAnswer { declared: body.len(), request, body }
        }
        (Some(AnswerFault::Truncated), _) => {
            OutgoingAnswer { request, body: half, declared: complete }
        }
        (Some(AnswerFault::Shortened), _) => {
            OutgoingAnswer { request, declared: half.len(), body: half }
        }
        (Some(AnswerFault::Doubled), _) => {
            let body = Bytes::from([&*body, &*body].concat());
            OutgoingAnswer { request, declared: body.len(), body }
        }
        (Some(AnswerFault::Crossed), None) | (None, _) => {
            OutgoingAnswer { request, body, declared: complete }
        }
    }
}

/// Sends a body at once; it breaks off if it is shorter than declared.
fn whole_response(answer: OutgoingAnswer) -> Response {
    if answer.body.len() == answer.declared {
        return respond(
            &answer.request,
            answer.declared,
            answer.body.to_vec(),
        );
    }
    let broken = stream::once(async {
        tokio::time::sleep(TRUNCATION_DELAY).await;
        Err(std::io::Error::from(std::io::ErrorKind::BrokenPipe))
    });
    let sent = stream::once(std::future::ready(Ok(answer.body)));
    let parts = sent.chain(broken);
    respond(&answer.request, answer.declared, warp::reply::stream(parts))
}

fn respond(request: &str, declared: usize, body: impl Reply) -> Response {
    let mut response = body.into_response();
    let headers = response.headers_mut();
    if let Ok(value) = HeaderValue::from_str(request) {
        headers.insert(HEADER_REQUEST, value);
    }
    headers.insert(CONTENT_LENGTH, HeaderValue::from(declared));
    response
}

/// Responds that the request has not started, and will not start because of
/// this attempt.
fn refusal(status: StatusCode) -> Response {
    let mut response = status.into_response();
    let value = HeaderValue::from_static("not-started");
    response.headers_mut().insert(HEADER_STARTED, value);
    response
}

fn pattern_of(
    request: &RunRequest,
    value: u64,
    length: usize,
) -> AnswerPattern {
    AnswerPattern::new(&request.request, &request.key, value, length)
}

/// Converts milliseconds to a duration.
fn millis_to_duration(millis: f64) -> Duration {
    Duration::from_secs_f64(millis / 1_000.0)
}

#[expect(clippy::cast_precision_loss, reason = "a small count of parts")]
const fn to_float(count: usize) -> f64 {
    count as f64
}

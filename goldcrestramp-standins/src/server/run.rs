//! How one request is run and answered.

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
        order::RunOrder,
        shared::ServerShared,
        state::{EndedWork, StartedWork},
    },
};

/// The most bytes of an answer that are kept for a later question.
const KEPT_BYTES: usize = 65_536;

/// Between the first half of a truncated answer and its break.
///
/// A break without a pause would overtake the half that was sent.
const BREAK_PAUSE: Duration = Duration::from_millis(20);

/// A request under way; it has ended when this is dropped.
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

/// An answer as it goes out, with its fault if it is to have one.
#[derive(Debug)]
struct OutgoingAnswer {
    request: Arc<str>,
    body: Bytes,
    /// The length that the header tells.
    told: usize,
}

/// Runs a request, or refuses it before it starts.
pub(super) async fn run_request(
    headers: HeaderMap,
    shared: Arc<ServerShared>,
) -> Response {
    let Some(order) = RunOrder::read(&headers) else {
        return refusal(StatusCode::BAD_REQUEST);
    };
    let Some(slot) = shared.take_slot().await else {
        return refusal(StatusCode::SERVICE_UNAVAILABLE);
    };
    shared.thawed().await;
    let started = shared.state().start(MachineTime::now(), &order);
    let Some(work) = started else {
        return refusal(StatusCode::SERVICE_UNAVAILABLE);
    };
    let running = RunningRequest {
        shared: Arc::clone(&shared),
        work: EndedWork {
            index: work.index,
            request: Arc::clone(&order.request),
            slice: order.slice,
            class: order.class,
        },
        kept: None,
        _slot: slot,
    };
    match order.class {
        RequestClass::Long => long_answer(running, &order, work),
        _ => short_answer(running, order, work).await,
    }
}

/// Works, then sends the whole answer.
///
/// The work is a task of its own: it ends also when nobody waits for the
/// answer any more, as a real server's does.
async fn short_answer(
    mut running: RunningRequest,
    order: RunOrder,
    work: StartedWork,
) -> Response {
    let shared = Arc::clone(&running.shared);
    let length = shared.behaviour.short_bytes;
    let work = tokio::spawn(async move {
        tokio::time::sleep(span(work.work_ms)).await;
        running.shared.thawed().await;
        let pattern = pattern_of(&order, work.value, length);
        let body = pattern.whole();
        running.kept = Some(body.clone());
        outgoing(&running, body)
    });
    match work.await {
        Ok(answer) => whole_response(answer),
        Err(_ended) => StatusCode::INTERNAL_SERVER_ERROR.into_response(),
    }
}

/// Sends the answer in parts while it works.
fn long_answer(
    mut running: RunningRequest,
    order: &RunOrder,
    work: StartedWork,
) -> Response {
    let behaviour = &running.shared.behaviour;
    let parts = behaviour.long_parts.max(1);
    let pattern = pattern_of(order, work.value, behaviour.long_bytes);
    let pause = span(work.work_ms).div_f64(to_float(parts));
    let body = pattern.whole();
    if body.len() <= KEPT_BYTES {
        running.kept = Some(body.clone());
    }
    let answer = outgoing(&running, body);
    let part = answer.told.div_ceil(parts).max(1);
    let told = answer.told;
    let id = Arc::clone(&answer.request);
    let sending = (running, answer, 0_usize);
    let body = stream::unfold(sending, move |sending| async move {
        let (running, answer, at) = sending;
        if at >= answer.told {
            return None;
        }
        tokio::time::sleep(pause).await;
        running.shared.thawed().await;
        let next = next_part(&running, &answer, at, part);
        let at = next.as_ref().map_or(answer.told, |sent| at + sent.len());
        Some((next, (running, answer, at)))
    });
    respond(&id, told, warp::reply::stream(body))
}

/// The next part of a long answer; an error breaks the connection off.
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

/// The answer with the fault that the next one is to have.
fn outgoing(running: &RunningRequest, body: Bytes) -> OutgoingAnswer {
    let mut state = running.shared.state();
    let request = Arc::clone(&running.work.request);
    let current = (Arc::clone(&request), body.clone());
    let before = state.last_answer.replace(current);
    let whole = body.len();
    let half = body.slice(..whole / 2);
    let fault = state.faults.next_answer();
    drop(state);
    match (fault, before) {
        (Some(AnswerFault::Crossed), Some((request, body))) => {
            OutgoingAnswer { told: body.len(), request, body }
        }
        (Some(AnswerFault::Truncated), _) => {
            OutgoingAnswer { request, body: half, told: whole }
        }
        (Some(AnswerFault::Shortened), _) => {
            OutgoingAnswer { request, told: half.len(), body: half }
        }
        (Some(AnswerFault::Doubled), _) => {
            let body = Bytes::from([&*body, &*body].concat());
            OutgoingAnswer { request, told: body.len(), body }
        }
        (Some(AnswerFault::Crossed), None) | (None, _) => {
            OutgoingAnswer { request, body, told: whole }
        }
    }
}

/// A response whose body is there at once, broken off if it is too short.
fn whole_response(answer: OutgoingAnswer) -> Response {
    if answer.body.len() == answer.told {
        return respond(&answer.request, answer.told, answer.body.to_vec());
    }
    let broken = stream::once(async {
        tokio::time::sleep(BREAK_PAUSE).await;
        Err(std::io::Error::from(std::io::ErrorKind::BrokenPipe))
    });
    let sent = stream::once(std::future::ready(Ok(answer.body)));
    let parts = sent.chain(broken);
    respond(&answer.request, answer.told, warp::reply::stream(parts))
}

fn respond(request: &str, told: usize, body: impl Reply) -> Response {
    let mut response = body.into_response();
    let headers = response.headers_mut();
    if let Ok(value) = HeaderValue::from_str(request) {
        headers.insert(HEADER_REQUEST, value);
    }
    headers.insert(CONTENT_LENGTH, HeaderValue::from(told));
    response
}

/// Says that the request has not started and never will by this sending.
fn refusal(status: StatusCode) -> Response {
    let mut response = status.into_response();
    let value = HeaderValue::from_static("not-started");
    response.headers_mut().insert(HEADER_STARTED, value);
    response
}

fn pattern_of(order: &RunOrder, value: u64, length: usize) -> AnswerPattern {
    AnswerPattern::new(&order.request, &order.key, value, length)
}

/// A span of so many milliseconds.
fn span(millis: f64) -> Duration {
    Duration::from_secs_f64(millis / 1_000.0)
}

#[expect(clippy::cast_precision_loss, reason = "a small count of parts")]
const fn to_float(count: usize) -> f64 {
    count as f64
}

//! What callers are answered, as HTTP.

use bytes::Bytes;
use futures_util::{Stream, StreamExt};
use goldcrestramp_types::{NotRunReason, TimeSpan, UnknownReason};
use goldcrestramp_wire::peer::{RouteHead, route_frame::Frame};
use serde::Serialize;
use warp::{
    Reply,
    http::{Response, StatusCode, header},
    reply::Response as WarpResponse,
};

use crate::{
    context::RequestGuard,
    gateway::{
        places::PlaceGuard,
        request::HEADER_REQUEST,
        route::{RouteAnswer, RouteStream},
    },
    metrics::NodeMetrics,
};

/// Header: `done`, `not-run` or `unknown`.
const HEADER_OUTCOME: &str = "goldcrestramp-outcome";
/// Header: when to come back, finer than `Retry-After`.
const HEADER_RETRY_AFTER_MS: &str = "goldcrestramp-retry-after-ms";
/// The media type of a problem body.
const PROBLEM_TYPE: &str = "application/problem+json";

/// The body of every answer that is not the server's own.
#[derive(Debug, Serialize)]
struct ProblemBody<'a> {
    r#type: String,
    title: &'a str,
    status: u16,
    outcome: &'a str,
    reason: &'a str,
    request: &'a str,
}

/// What is held until an answer has been passed on.
pub(crate) type AnswerGuards = (RequestGuard, PlaceGuard);

/// Makes the HTTP answer, and counts it.
pub(crate) fn respond(
    answer: RouteAnswer,
    request: &str,
    metrics: &NodeMetrics,
    guard: AnswerGuards,
) -> WarpResponse {
    match answer {
        RouteAnswer::Done(answer) => {
            done(&answer.head, answer.frames, request, guard)
        }
        RouteAnswer::NotRun { reason, retry_after, .. } => {
            metrics.count_not_run(reason);
            not_run(reason, reason.code(), request, retry_after)
        }
        RouteAnswer::Unknown { reason, retry_after } => {
            metrics.count_unknown(reason);
            unknown(reason, request, retry_after)
        }
    }
}

fn done(
    head: &RouteHead,
    frames: RouteStream,
    request: &str,
    guard: AnswerGuards,
) -> WarpResponse {
    let status = u16::try_from(head.status).ok();
    let status = status.and_then(|code| StatusCode::from_u16(code).ok());
    let mut builder = Response::builder()
        .status(status.unwrap_or(StatusCode::OK))
        .header(HEADER_OUTCOME, "done")
        .header(HEADER_REQUEST, request);
    if !head.content_type.is_empty() {
        builder = builder.header(header::CONTENT_TYPE, &head.content_type);
    }
    let length = head.length.filter(|_length| !frames.passes_cut());
    if let Some(length) = length {
        builder = builder.header(header::CONTENT_LENGTH, length);
    }
    let body = warp::reply::stream(body_stream(frames, guard));
    let mut response = body.into_response();
    if let Ok(head) = builder.body(()) {
        let (parts, ()) = head.into_parts();
        *response.status_mut() = parts.status;
        response.headers_mut().extend(parts.headers);
    }
    response
}

/// The answer's bytes; an error in place of the end when it is not whole.
///
/// HTTP then breaks the connection off, so that no client can take a part
/// for the whole.
fn body_stream(
    frames: RouteStream,
    guard: AnswerGuards,
) -> impl Stream<Item = Result<Bytes, std::io::Error>> + Send + Sync {
    let state = Some((frames, guard, 0_u64));
    let stream = futures_util::stream::unfold(state, |state| async {
        let (mut frames, guard, passed) = state?;
        let frame = frames.next().await.and_then(|frame| frame.frame);
        match frame {
            Some(Frame::Data(data)) => {
                let passed = passed + data.len() as u64;
                Some((Ok(data), Some((frames, guard, passed))))
            }
            Some(Frame::End(end)) if end.length == passed => {
                frames.metrics().count_done();
                None
            }
            _ if frames.passes_cut() => None,
            _ => {
                frames.metrics().count_cut();
                Some((Err(broken_off()), None))
            }
        }
    });
    sync_wrapper(stream)
}

/// Hands the stream's items over a channel, which may be shared between
/// threads as the HTTP library asks; one item waits at most.
fn sync_wrapper(
    stream: impl Stream<Item = Result<Bytes, std::io::Error>> + Send + 'static,
) -> impl Stream<Item = Result<Bytes, std::io::Error>> + Send + Sync {
    let (sender, receiver) = tokio::sync::mpsc::channel(1);
    tokio::spawn(async move {
        let mut stream = std::pin::pin!(stream);
        while let Some(item) = stream.next().await {
            if sender.send(item).await.is_err() {
                return;
            }
        }
    });
    tokio_stream::wrappers::ReceiverStream::new(receiver)
}

fn broken_off() -> std::io::Error {
    std::io::Error::other("the answer broke off")
}

/// A refusal: the request did not run.
pub(crate) fn not_run(
    reason: NotRunReason,
    title: &str,
    request: &str,
    retry_after: Option<TimeSpan>,
) -> WarpResponse {
    let status = refusal_status(reason);
    let response = problem(status, title, "not-run", reason.code(), request);
    told_to_return(response, retry_after)
}

/// The refusal of a resend: the first try may have run.
///
/// The status is that of the refusal, which tells a client library whether
/// it helps to send the request again.
pub(crate) fn resend_refused(
    refusal: NotRunReason,
    title: &str,
    request: &str,
    retry_after: Option<TimeSpan>,
) -> WarpResponse {
    let status = refusal_status(refusal);
    let reason = UnknownReason::ResendRefused.code();
    let response = problem(status, title, "unknown", reason, request);
    told_to_return(response, retry_after)
}

fn unknown(
    reason: UnknownReason,
    request: &str,
    retry_after: Option<TimeSpan>,
) -> WarpResponse {
    let status = match reason {
        UnknownReason::DeadlinePassed => StatusCode::GATEWAY_TIMEOUT,
        UnknownReason::StillRunning => StatusCode::CONFLICT,
        UnknownReason::ResendRefused => StatusCode::SERVICE_UNAVAILABLE,
        _ => StatusCode::BAD_GATEWAY,
    };
    let code = reason.code();
    told_to_return(
        problem(status, code, "unknown", code, request),
        retry_after,
    )
}

/// The response with the time after which to come back.
fn told_to_return(
    mut response: WarpResponse,
    retry_after: Option<TimeSpan>,
) -> WarpResponse {
    let Some(wait) = retry_after else {
        return response;
    };
    let millis = wait.as_millis();
    let seconds = millis.div_ceil(1_000).max(1);
    let headers = response.headers_mut();
    headers.insert(header::RETRY_AFTER, seconds.into());
    headers.insert(HEADER_RETRY_AFTER_MS, millis.into());
    response
}

const fn refusal_status(reason: NotRunReason) -> StatusCode {
    match reason {
        NotRunReason::BadRequest => StatusCode::BAD_REQUEST,
        NotRunReason::UnknownService => StatusCode::NOT_FOUND,
        NotRunReason::CallerOverShare
        | NotRunReason::KeyOverShare
        | NotRunReason::RetryBudget => StatusCode::TOO_MANY_REQUESTS,
        NotRunReason::DeadlinePassed => StatusCode::GATEWAY_TIMEOUT,
        _ => StatusCode::SERVICE_UNAVAILABLE,
    }
}

/// An answer with a problem body.
pub(crate) fn problem(
    status: StatusCode,
    title: &str,
    outcome: &str,
    reason: &str,
    request: &str,
) -> WarpResponse {
    let body = ProblemBody {
        r#type: format!("urn:goldcrestramp:{outcome}:{reason}"),
        title,
        status: status.as_u16(),
        outcome,
        reason,
        request,
    };
    let body = serde_json::to_vec(&body).unwrap_or_default();
    let built = Response::builder()
        .status(status)
        .header(header::CONTENT_TYPE, PROBLEM_TYPE)
        .header(HEADER_OUTCOME, outcome)
        .header(HEADER_REQUEST, request)
        .body(body);
    built.map_or_else(
        |_error| StatusCode::INTERNAL_SERVER_ERROR.into_response(),
        Reply::into_response,
    )
}

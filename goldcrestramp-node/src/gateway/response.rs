//! HTTP responses to callers.

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
        admission::AdmissionGuard,
        request::HEADER_REQUEST,
        route::{ResponseStream, RouteOutcome},
    },
    metrics::NodeMetrics,
};

/// Header: `done`, `not-run` or `unknown`.
const HEADER_OUTCOME: &str = "goldcrestramp-outcome";
/// Header: when to retry, in milliseconds; finer than `Retry-After`.
const HEADER_RETRY_AFTER_MS: &str = "goldcrestramp-retry-after-ms";
/// The media type of a problem body.
const PROBLEM_TYPE: &str = "application/problem+json";

/// The body of every response that is not the server's own.
#[derive(Debug, Serialize)]
struct ProblemBody<'a> {
    r#type: String,
    title: &'a str,
    status: u16,
    outcome: &'a str,
    reason: &'a str,
    request: &'a str,
}

/// Guards that are held until a response has been forwarded.
pub(crate) type ResponseGuards = (RequestGuard, AdmissionGuard);

/// Builds the HTTP response and counts its outcome.
pub(crate) fn respond(
    outcome: RouteOutcome,
    request: &str,
    metrics: &NodeMetrics,
    guard: ResponseGuards,
) -> WarpResponse {
    match outcome {
        RouteOutcome::Done(response) => {
            done(&response.head, response.frames, request, guard)
        }
        RouteOutcome::NotRun { reason, retry_after, .. } => {
            metrics.count_not_run(reason);
            not_run(reason, reason.code(), request, retry_after)
        }
        RouteOutcome::Unknown { reason, retry_after } => {
            metrics.count_unknown(reason);
            unknown(reason, request, retry_after)
        }
    }
}

fn done(
    head: &RouteHead,
    frames: ResponseStream,
    request: &str,
    guard: ResponseGuards,
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
    let length = head.length.filter(|_length| !frames.passes_truncated());
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

/// The bytes of the response, with an error in place of the end if it is
/// truncated.
///
/// On an error HTTP closes the connection, so that no client takes a truncated
/// response for a complete one.
fn body_stream(
    frames: ResponseStream,
    guard: ResponseGuards,
) -> impl Stream<Item = Result<Bytes, std::io::Error>> + Send + Sync {
    let state = Some((frames, guard, 0_u64));
    let stream = futures_util::stream::unfold(state, |state| async {
        let (mut frames, guard, forwarded) = state?;
        let frame = frames.next().await.and_then(|frame| frame.frame);
        match frame {
            Some(Frame::Data(data)) => {
                let forwarded = forwarded + data.len() as u64;
                Some((Ok(data), Some((frames, guard, forwarded))))
            }
            Some(Frame::End(end)) if end.length == forwarded => {
                frames.metrics().count_done();
                None
            }
            _ if frames.passes_truncated() => None,
            _ => {
                frames.metrics().count_cut();
                Some((Err(truncation_error()), None))
            }
        }
    });
    sync_stream(stream)
}

/// Sends the stream's items over a channel, which is `Sync` as the HTTP
/// library requires. At most one item is buffered.
fn sync_stream(
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

fn truncation_error() -> std::io::Error {
    std::io::Error::other("response truncated")
}

/// The response for a request that did not run.
pub(crate) fn not_run(
    reason: NotRunReason,
    title: &str,
    request: &str,
    retry_after: Option<TimeSpan>,
) -> WarpResponse {
    let status = refusal_status(reason);
    let response = problem(status, title, "not-run", reason.code(), request);
    with_retry_after(response, retry_after)
}

/// The response for a refused resend: the first attempt may have run.
///
/// The status is that of the refusal, from which a client library decides
/// whether a retry is useful.
pub(crate) fn resend_refused(
    refusal: NotRunReason,
    title: &str,
    request: &str,
    retry_after: Option<TimeSpan>,
) -> WarpResponse {
    let status = refusal_status(refusal);
    let reason = UnknownReason::ResendRefused.code();
    let response = problem(status, title, "unknown", reason, request);
    with_retry_after(response, retry_after)
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
    with_retry_after(
        problem(status, code, "unknown", code, request),
        retry_after,
    )
}

/// Adds the headers with the time until a retry.
fn with_retry_after(
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

/// A response with a problem body.
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

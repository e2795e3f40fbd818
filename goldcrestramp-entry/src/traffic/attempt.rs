//! One send of a request to one server.

use std::{pin::pin, rc::Rc, time::Duration};

use goldcrestramp_adapter::headers as names;
use goldcrestramp_decisions::{ServerProximity, ServerSignal};
use goldcrestramp_types::{ClockSource, LocalTime, MonotonicClock, TimeSpan};
use http::{
    HeaderMap, HeaderValue, Request, Response, StatusCode,
    header::CONTENT_ENCODING, response::Parts,
};
use hyper::body::Incoming;
use tokio::time::{error::Elapsed, timeout};

use crate::{
    http::ConnectionSender,
    traffic::{
        choose::has_other_owner,
        headers::text,
        request::RoutedRequest,
        response::{
            ReadResponse, ResponseBody, read_answer, streamed_answer,
            whole_answer,
        },
        server::{ServerSlot, ServerState},
        state::TrafficState,
    },
};

/// An answer that is ready is waited for this long past the deadline: the
/// server ends by the deadline it was given, and its answer is on the way.
const LATE_ANSWER: TimeSpan = TimeSpan::from_millis(120);

/// The rest of an answer that has begun by then is waited for so long.
const LATE_REST: TimeSpan = TimeSpan::from_millis(200);

/// What came of a send.
#[derive(Debug)]
pub(crate) enum AttemptOutcome {
    /// The server's answer, for the caller.
    Answered(Response<ResponseBody>),
    /// The server's answer is a failure of its own; it ran.
    Failed(Response<ResponseBody>),
    /// The server states that it did not run the request.
    NotRun,
    /// The server does not hold the key, or another one answered.
    Misdirected,
    /// No byte was sent.
    NotSent,
    /// It may have run: the connection broke, or what came was no answer
    /// to this request.
    Broken,
    /// No answer came in the time that it was given.
    TimedOut,
    /// Another server owns the key by now, and no answer has come.
    OwnerChanged,
}

impl AttemptOutcome {
    /// The stable code in logs and counters.
    pub(crate) const fn code(&self) -> &'static str {
        match self {
            Self::Answered(_) => "answered",
            Self::Failed(_) => "failed",
            Self::NotRun => "not-run",
            Self::Misdirected => "misdirected",
            Self::NotSent => "not-sent",
            Self::Broken => "broken",
            Self::TimedOut => "silent",
            Self::OwnerChanged => "owner-changed",
        }
    }
}

/// How long a send may take, and where it goes.
#[derive(Clone, Copy, Debug)]
pub(crate) struct AttemptPlan {
    pub(crate) proximity: ServerProximity,
    /// How long the begin of an answer is waited for.
    pub(crate) answer_timeout: TimeSpan,
    /// Whether the request goes to the key's next owner when it changes.
    pub(crate) follows_owner: bool,
}

/// Sends a request; dropped, it ends the server's work by closing the
/// connection.
pub(crate) async fn send(
    state: &Rc<TrafficState>,
    request: &mut RoutedRequest,
    slot: ServerSlot,
    plan: AttemptPlan,
) -> AttemptOutcome {
    let left = request.left(MonotonicClock.now());
    let linked = timeout(left.to_std(), slot.server.link()).await;
    let Ok(Ok(link)) = linked else {
        slot.end(MonotonicClock.now(), ServerSignal::Unreachable);
        return AttemptOutcome::NotSent;
    };
    let now = MonotonicClock.now();
    let Some(outgoing) = outgoing(request, &slot, plan.proximity, now) else {
        slot.end(now, ServerSignal::Cancelled);
        return AttemptOutcome::NotSent;
    };
    exchange(state, request, slot, link, outgoing, plan).await
}

async fn exchange(
    state: &Rc<TrafficState>,
    request: &RoutedRequest,
    slot: ServerSlot,
    mut link: ConnectionSender,
    outgoing: Request<crate::http::SendBody>,
    plan: AttemptPlan,
) -> AttemptOutcome {
    let sent = link.try_send_request(outgoing);
    let response = wait_for_answer(state, request, sent, plan);
    // A former owner has answered all that it ran before the next one is
    // granted the key, so nothing more is to come from it.
    let response = tokio::select! {
        biased;
        response = response => response,
        () = wait_for_next_owner(state, request, &slot.server),
            if plan.follows_owner =>
        {
            slot.end(MonotonicClock.now(), ServerSignal::Cancelled);
            return AttemptOutcome::OwnerChanged;
        }
    };
    let now = MonotonicClock.now();
    let response = match response {
        Err(_elapsed) => {
            slot.end(now, ServerSignal::Broken);
            return AttemptOutcome::TimedOut;
        }
        Ok(Err(mut error)) => {
            // A kept connection that the server had closed says nothing of
            // the server.
            if error.take_message().is_some() {
                slot.end(now, ServerSignal::Cancelled);
                return AttemptOutcome::NotSent;
            }
            slot.end(now, ServerSignal::Broken);
            return AttemptOutcome::Broken;
        }
        Ok(Ok(response)) => response,
    };
    slot.replied(now);
    let (parts, body) = response.into_parts();
    match judge(request, &parts) {
        ResponseKind::Foreign => {
            slot.end(now, ServerSignal::Broken);
            AttemptOutcome::Broken
        }
        ResponseKind::NotRun(misdirected) => {
            // Another server at the address speaks for itself.
            if !misdirected {
                state.note_rate(now, &slot.server, &parts.headers);
            }
            slot.end(now, ServerSignal::Refused);
            finish_unread(&slot, link, parts, body).await;
            if misdirected {
                AttemptOutcome::Misdirected
            } else {
                AttemptOutcome::NotRun
            }
        }
        ResponseKind::Own => {
            state.note_rate(now, &slot.server, &parts.headers);
            deliver(state, request, slot, link, parts, body).await
        }
    }
}

/// Waits for the begin of the answer.
async fn wait_for_answer<Sent: Future>(
    state: &TrafficState,
    request: &RoutedRequest,
    sent: Sent,
    plan: AttemptPlan,
) -> Result<Sent::Output, Elapsed> {
    let mut sent = pin!(sent);
    let response = timeout(plan.answer_timeout.to_std(), &mut sent).await;
    // The server may be at work. Given up now, with nobody else to ask, its
    // caller would get a failure where the answer was on the way.
    if response.is_err() && !state.may_replace(request) {
        let rest = full_timeout(request, MonotonicClock.now());
        return timeout(rest.to_std(), &mut sent).await;
    }
    response
}

/// Waits until another server owns the request's key and the budget lets
/// the request be sent there.
async fn wait_for_next_owner(
    state: &TrafficState,
    request: &RoutedRequest,
    server: &ServerState,
) {
    let mut views = state.watch_views();
    loop {
        // The sender ends with the process.
        if views.changed().await.is_err() {
            return std::future::pending().await;
        }
        let view = state.view();
        let moved = has_other_owner(&view, request, &server.instance.id);
        if moved && state.may_replace(request) {
            return;
        }
    }
}

/// What a server's answer is.
enum ResponseKind {
    /// It belongs to this request.
    Own,
    /// The server states that it did not run it; true: as it is not the
    /// one that may.
    NotRun(bool),
    /// It belongs to another request, or is not the server's own.
    Foreign,
}

/// Judges an answer by its head.
///
/// A second answer to an earlier request may come where this one's is
/// expected. Its id is another; taken for this request's, one caller would
/// get what belongs to another.
fn judge(request: &RoutedRequest, parts: &Parts) -> ResponseKind {
    let headers = &parts.headers;
    let asked = request.attempt_id();
    let echoed = text(headers, names::ATTEMPT_ID);
    if echoed.is_some_and(|echoed| echoed != asked) {
        return ResponseKind::Foreign;
    }
    let misdirected = parts.status == StatusCode::MISDIRECTED_REQUEST;
    if misdirected || headers.contains_key(names::NOT_EXECUTED) {
        return ResponseKind::NotRun(misdirected);
    }
    let stamped = headers.contains_key(names::RESPONSE_STAMP);
    let encoded = headers.contains_key(CONTENT_ENCODING);
    let success = parts.status.is_success();
    if success && (echoed.is_none() || !stamped || encoded) {
        return ResponseKind::Foreign;
    }
    ResponseKind::Own
}

/// Reads what is left of a refusal, so that its connection can be kept.
async fn finish_unread(
    slot: &ServerSlot,
    link: ConnectionSender,
    parts: Parts,
    body: Incoming,
) {
    /// A refusal is a few bytes that come with its head.
    const REST: Duration = Duration::from_millis(20);
    let read = timeout(REST, read_answer(body)).await;
    if matches!(read, Ok(Ok(ReadResponse::Whole(_)))) {
        slot.server.keep(link, keep_alive(&parts.headers));
    }
}

/// Reads the answer and makes it the caller's.
async fn deliver(
    state: &Rc<TrafficState>,
    request: &RoutedRequest,
    slot: ServerSlot,
    link: ConnectionSender,
    parts: Parts,
    body: Incoming,
) -> AttemptOutcome {
    let late = request.left(MonotonicClock.now()).plus(LATE_REST);
    let read = timeout(late.to_std(), read_answer(body)).await;
    let now = MonotonicClock.now();
    let Parts { status, headers, .. } = parts;
    let failed = status.is_server_error();
    match read {
        Err(_) | Ok(Err(_)) => {
            slot.end(now, ServerSignal::Broken);
            AttemptOutcome::Broken
        }
        Ok(Ok(ReadResponse::Whole(body))) => {
            let span = state.note_answer(request, &slot, now);
            slot.server.keep(link, keep_alive(&headers));
            if request.slice.is_some() {
                let id = &slot.server.instance.id;
                state.loads.record_response(&request.service, id, span);
            }
            let sent = request.body.held_bytes();
            state.note_bytes(request, sent + body.len() as u64);
            let answer = whole_answer(status, headers, body);
            if failed {
                AttemptOutcome::Failed(answer)
            } else {
                AttemptOutcome::Answered(answer)
            }
        }
        Ok(Ok(ReadResponse::Begun(begun, rest))) => {
            state.note_answer(request, &slot, now);
            let answer =
                streamed_answer(status, headers, begun, rest, slot, link);
            AttemptOutcome::Answered(answer)
        }
    }
}

/// How long the server says that it keeps the connection.
fn keep_alive(headers: &HeaderMap) -> Option<TimeSpan> {
    let said = text(headers, "keep-alive")?;
    let seconds = said.split(',').find_map(|part| {
        let (name, value) = part.trim().split_once('=')?;
        name.trim().eq_ignore_ascii_case("timeout").then_some(value)
    })?;
    let seconds: u64 = seconds.trim().parse().ok()?;
    Some(TimeSpan::from_millis(seconds.saturating_mul(1_000)))
}

/// The request as the server gets it; nothing if it can't be sent.
fn outgoing(
    request: &mut RoutedRequest,
    slot: &ServerSlot,
    proximity: ServerProximity,
    now: LocalTime,
) -> Option<Request<crate::http::SendBody>> {
    let left = request.left(now).minus(transit(proximity)).as_millis();
    let body = (left > 0).then(|| request.body.for_send())??;
    let mut sent = Request::new(body);
    *sent.method_mut() = request.method.clone();
    *sent.uri_mut() = request.uri.clone();
    let headers = sent.headers_mut();
    headers.clone_from(&request.headers);
    headers.insert(names::DEADLINE_MS, HeaderValue::from(left));
    let id = HeaderValue::from_str(&slot.server.instance.id).ok()?;
    headers.insert(names::EXPECT_INSTANCE, id);
    Some(sent)
}

/// The time on the way to a server and back, which is taken off the
/// deadline that the server is given.
const fn transit(proximity: ServerProximity) -> TimeSpan {
    match proximity {
        ServerProximity::SameDomain => TimeSpan::from_millis(1),
        ServerProximity::SameRegion => TimeSpan::from_millis(3),
        ServerProximity::Remote => TimeSpan::from_millis(26),
    }
}

/// How long the begin of an answer is waited for when nobody else can
/// answer.
pub(crate) fn full_timeout(
    request: &RoutedRequest,
    now: LocalTime,
) -> TimeSpan {
    request.left(now).plus(LATE_ANSWER)
}

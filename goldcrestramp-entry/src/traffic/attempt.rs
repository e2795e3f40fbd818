//! Sends one attempt of a request to a server, or passes it to another VM.

use std::{io, ops::RangeInclusive, pin::pin, rc::Rc, time::Duration};

use goldcrestramp_adapter::headers as names;
use goldcrestramp_decisions::{
    ReachEvent, SMALL_BODY_BYTES, ServerProximity, ServerSignal,
};
use goldcrestramp_types::{ClockSource, LocalTime, MonotonicClock, TimeSpan};
use http::{
    HeaderMap, HeaderValue, Request, Response, StatusCode,
    header::CONTENT_ENCODING, response::Parts,
};
use hyper::body::{Body, Incoming};
use tokio::time::{error::Elapsed, sleep, timeout};

use crate::traffic::{
    attempt_set::{OverdueCause, OverdueSignal},
    body::RequestBody,
    bulk::BulkRegion,
    choose::has_other_owner,
    crash::is_refused,
    headers::text,
    relay::{ENVELOPE, LocalEnd},
    request::RoutedRequest,
    response::{
        ReadResponse, ResponseBody, StreamSource, StreamedResponse,
        full_response, read_response, streamed_response,
    },
    server::{ServerConnection, ServerSlot, ServerState},
    state::TrafficState,
};

/// The statuses that a final response can have (RFC 9110, section 15).
const FINAL_STATUSES: RangeInclusive<u16> = 200..=599;

/// How long past the deadline to wait for the head of a response: the server
/// finishes by the deadline that it was given, so its response may still be in
/// flight.
const LATE_RESPONSE_GRACE: TimeSpan = TimeSpan::from_millis(120);

/// How long past the deadline to wait for the rest of a response whose head
/// has arrived.
const LATE_BODY_GRACE: TimeSpan = TimeSpan::from_millis(200);

/// The outcome of an attempt.
#[derive(Debug)]
pub(crate) enum AttemptOutcome {
    /// The server's response, to be forwarded to the caller.
    Responded(Response<ResponseBody>),
    /// The server ran the request and responded with an error of its own.
    Failed(Response<ResponseBody>),
    /// The server states that it did not run the request.
    NotRun,
    /// The server does not own the key, or another server responded.
    Misdirected,
    /// No byte of the request was sent.
    NotSent,
    /// Nothing listens at the server's address.
    NotListening,
    /// The request may have run: the connection broke, or the response does
    /// not belong to this request.
    Broken,
    /// No response arrived within the timeout.
    TimedOut,
    /// Another server owns the key now, and no response has arrived.
    OwnerChanged,
    /// This VM is partitioned from the servers now, and no response has
    /// arrived.
    Partitioned,
    /// There is no memory for the server's response.
    NoRoom,
    /// The VM to which the request was passed ended it without a server's
    /// response.
    RelayEnded(LocalEnd),
}

impl AttemptOutcome {
    /// The server's response, if there is one.
    pub(crate) const fn response_mut(
        &mut self,
    ) -> Option<&mut Response<ResponseBody>> {
        match self {
            Self::Responded(response) | Self::Failed(response) => {
                Some(response)
            }
            _ => None,
        }
    }

    /// The stable code in logs and counters.
    pub(crate) const fn code(&self) -> &'static str {
        match self {
            Self::Responded(_) => "answered",
            Self::Failed(_) => "failed",
            Self::NotRun => "not-run",
            Self::Misdirected => "misdirected",
            Self::NotSent => "not-sent",
            Self::NotListening => "not-listening",
            Self::Broken => "broken",
            Self::TimedOut => "silent",
            Self::OwnerChanged => "owner-changed",
            Self::Partitioned => "partitioned",
            Self::NoRoom => "no-room",
            Self::RelayEnded(_) => "refused",
        }
    }
}

/// The way and the limits of an attempt.
#[derive(Clone, Debug)]
pub(crate) struct AttemptPlan {
    pub(crate) proximity: ServerProximity,
    /// The time without a response after which the attempt is overdue, if
    /// another server can serve the request.
    pub(crate) response_timeout: Option<TimeSpan>,
    /// Whether the attempt is overdue when the key's owner changes, or when
    /// this VM is partitioned.
    pub(crate) is_replaceable: bool,
    /// Reports that the attempt is overdue.
    pub(crate) signal: OverdueSignal,
    /// Describes the request to the VM to which it is passed; `None` if it is
    /// sent to a server.
    pub(crate) envelope: Option<HeaderValue>,
    /// The region of the server, if downloads from there are limited.
    pub(super) region: Option<Rc<BulkRegion>>,
}

impl AttemptPlan {
    /// Whether the attempt goes to a server, not to another VM.
    const fn is_direct(&self) -> bool {
        self.envelope.is_none()
    }

    /// The end of a request that was passed to another VM; `None` if the
    /// response is a server's.
    fn read_relay_end(&self, parts: &Parts) -> Option<LocalEnd> {
        if self.is_direct() { None } else { LocalEnd::read(parts) }
    }
}

/// Sends a request. Dropping the future closes the connection, which ends the
/// server's work.
pub(crate) async fn send(
    state: &Rc<TrafficState>,
    request: &RoutedRequest,
    slot: ServerSlot,
    plan: AttemptPlan,
) -> AttemptOutcome {
    if plan.is_direct() {
        state.record_reach(request, &slot.server, ReachEvent::Started);
    }
    let remaining = request.remaining(MonotonicClock.now());
    let began_at = MonotonicClock.now();
    let connected = connect(state, request, &slot, &plan);
    let connected = timeout(remaining.to_std(), connected).await;
    let connection = match connected {
        Ok(Ok(connection)) => connection,
        failed => {
            if failed.is_err()
                && let Some(region) = &plan.region
            {
                region.record_abandoned(began_at);
            }
            slot.end(MonotonicClock.now(), ServerSignal::Unreachable);
            return match failed {
                Ok(Err(error)) if is_refused(&error) => {
                    AttemptOutcome::NotListening
                }
                _ => AttemptOutcome::NotSent,
            };
        }
    };
    let now = MonotonicClock.now();
    // The server may have said so while the connection was opened.
    if plan.is_direct() && state.is_declined(request, &slot.server) {
        state.keep_connection(&slot.server, connection, None);
        slot.end(now, ServerSignal::Cancelled);
        return AttemptOutcome::NotSent;
    }
    let Some(outgoing) = outgoing(request, &slot, &plan, now) else {
        slot.end(now, ServerSignal::Cancelled);
        return AttemptOutcome::NotSent;
    };
    request.connections.borrow_mut().push(connection.key);
    exchange(state, request, slot, connection, outgoing, plan).await
}

/// Returns an idle connection, or opens a new one.
///
/// A connection carries a request once only: a second copy of an earlier
/// response to the request could not be told from the response to this
/// attempt.
async fn connect(
    state: &TrafficState,
    request: &RoutedRequest,
    slot: &ServerSlot,
    plan: &AttemptPlan,
) -> io::Result<ServerConnection> {
    let server = &slot.server;
    let began_at = MonotonicClock.now();
    let is_sample = slot.transfer.is_some()
        && plan.region.as_ref().is_some_and(|r| r.needs_sample(began_at));
    let used = request.connections.borrow().clone();
    if !is_sample && let Some(idle) = server.take_idle(&used).await {
        return Ok(idle);
    }
    let began_at = MonotonicClock.now();
    let opened = server.connect().await;
    if let Some(region) = &plan.region {
        let error = opened.as_ref().err().map(io::Error::kind);
        region.record_connection(began_at, error);
    }
    if plan.is_direct() {
        let event = match &opened {
            Ok(_) => ReachEvent::Connected,
            Err(error) => {
                if is_refused(error) {
                    state.record_refused(&server.instance);
                }
                ReachEvent::Unconnected
            }
        };
        state.record_reach(request, server, event);
    }
    opened
}

async fn exchange(
    state: &Rc<TrafficState>,
    request: &RoutedRequest,
    slot: ServerSlot,
    mut connection: ServerConnection,
    outgoing: Request<crate::http::SendBody>,
    plan: AttemptPlan,
) -> AttemptOutcome {
    let record_reach = |event| {
        if plan.is_direct() {
            state.record_reach(request, &slot.server, event);
        }
    };
    let sent = connection.sender.try_send_request(outgoing);
    let response = wait_for_response(state, request, &slot, sent, &plan);
    let response = response.await;
    let now = MonotonicClock.now();
    let response = match response {
        Err(_elapsed) => {
            slot.end(now, ServerSignal::Broken);
            return AttemptOutcome::TimedOut;
        }
        Ok(Err(mut error)) => {
            // An idle connection that the server had already closed is no sign
            // of the server's health.
            if error.take_message().is_some() {
                slot.end(now, ServerSignal::Cancelled);
                return AttemptOutcome::NotSent;
            }
            // Nor is a body that its caller breaks off.
            if error.error().is_user() {
                slot.end(now, ServerSignal::Cancelled);
                return AttemptOutcome::Broken;
            }
            slot.end(now, ServerSignal::Broken);
            record_reach(ReachEvent::Broken);
            return AttemptOutcome::Broken;
        }
        Ok(Ok(response)) => response,
    };
    slot.replied(now);
    record_reach(ReachEvent::Responded);
    let (parts, body) = response.into_parts();
    if let Some(end) = plan.read_relay_end(&parts) {
        slot.end(now, ServerSignal::Cancelled);
        if has_read_body(request, parts.status) {
            finish_refusal(state, &slot, connection, parts, body).await;
        }
        return AttemptOutcome::RelayEnded(end);
    }
    if plan.is_direct() {
        state.record_notices(now, &slot.server, &parts);
    }
    match classify(request, &parts) {
        ResponseKind::Foreign => {
            slot.end(now, ServerSignal::Broken);
            AttemptOutcome::Broken
        }
        ResponseKind::NotRun(misdirected) => {
            // The response is from another server at this address, so its rate
            // limit does not apply to this one.
            if !misdirected && plan.is_direct() {
                state.record_rate(now, &slot.server, &parts.headers);
            }
            let signal = if state.is_in_backoff(&slot.server) {
                ServerSignal::BackedOff
            } else {
                ServerSignal::Refused
            };
            slot.end(now, signal);
            if echoes_attempt(request, &parts.headers)
                && has_read_body(request, parts.status)
            {
                finish_refusal(state, &slot, connection, parts, body).await;
            }
            if misdirected {
                AttemptOutcome::Misdirected
            } else {
                AttemptOutcome::NotRun
            }
        }
        ResponseKind::Own => {
            if plan.is_direct() {
                state.record_rate(now, &slot.server, &parts.headers);
            }
            let received = ReceivedHead { slot, connection, parts };
            receive_response(state, request, received, body, &plan).await
        }
    }
}

/// Waits for the head of the response. An attempt that is overdue is reported
/// and waited for further.
async fn wait_for_response<Sent: Future>(
    state: &TrafficState,
    request: &RoutedRequest,
    slot: &ServerSlot,
    sent: Sent,
    plan: &AttemptPlan,
) -> Result<Sent::Output, Elapsed> {
    let began_at = MonotonicClock.now();
    let sent = timeout(full_timeout(request, began_at).to_std(), sent);
    let mut sent = pin!(sent);
    let cause = tokio::select! {
        biased;
        response = sent.as_mut() => return response,
        cause = wait_overdue(state, request, &slot.server, plan) => cause,
    };
    let signal = match cause {
        OverdueCause::Silent => ServerSignal::Broken,
        OverdueCause::OwnerChanged | OverdueCause::Partitioned => {
            ServerSignal::Cancelled
        }
    };
    slot.end(MonotonicClock.now(), signal);
    plan.signal.report(cause);
    sent.await
}

/// Waits until another server should get the request and the budget allows
/// it.
async fn wait_overdue(
    state: &TrafficState,
    request: &RoutedRequest,
    server: &ServerState,
    plan: &AttemptPlan,
) -> OverdueCause {
    let silent = async {
        match plan.response_timeout {
            Some(timeout) => sleep(timeout.to_std()).await,
            None => std::future::pending().await,
        }
        if !state.may_replace(request) {
            std::future::pending::<()>().await;
        }
    };
    tokio::select! {
        biased;
        () = silent => OverdueCause::Silent,
        () = wait_for_next_owner(state, request, server),
            if plan.is_replaceable => OverdueCause::OwnerChanged,
        () = wait_for_partition(state, request),
            if plan.is_replaceable => OverdueCause::Partitioned,
    }
}

/// Waits until another server owns the request's key and the budget allows an
/// attempt there.
async fn wait_for_next_owner(
    state: &TrafficState,
    request: &RoutedRequest,
    server: &ServerState,
) {
    let mut views = state.watch_views();
    loop {
        // The sender is dropped only when the process exits.
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

/// Waits until this VM is partitioned from the servers of a request, and the
/// budget allows an attempt through another VM.
async fn wait_for_partition(state: &TrafficState, request: &RoutedRequest) {
    let mut changes = state.reach.changes();
    loop {
        // The sender is dropped only when the process exits.
        if changes.changed().await.is_err() {
            return std::future::pending().await;
        }
        let partitioned = state.reach.is_partitioned(&request.service);
        if partitioned && state.may_replace(request) {
            return;
        }
    }
}

/// How a response relates to its request.
enum ResponseKind {
    /// The response belongs to this request.
    Own,
    /// The server states that it did not run the request; true if because it
    /// is not the server that may run it.
    NotRun(bool),
    /// The response belongs to another request, or is not from the server
    /// itself.
    Foreign,
}

/// Classifies a response by its head.
///
/// A second response to an earlier request may arrive where the response to
/// this one is expected. It carries a different attempt id. If it were
/// accepted, one caller would get the response of another.
///
/// A status that no final response has is a server's fault. Callers could take
/// it for a response, or for the start of another protocol.
fn classify(request: &RoutedRequest, parts: &Parts) -> ResponseKind {
    let headers = &parts.headers;
    let expected = request.attempt_id();
    let echoed = text(headers, names::ATTEMPT_ID);
    if echoed.is_some_and(|echoed| echoed != expected) {
        return ResponseKind::Foreign;
    }
    if !FINAL_STATUSES.contains(&parts.status.as_u16()) {
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

/// Whether a response bears the id of the request.
///
/// A connection is kept only after such a response. A second copy of one
/// without an id could not be told from the response to the next request.
fn echoes_attempt(request: &RoutedRequest, headers: &HeaderMap) -> bool {
    let expected = request.attempt_id();
    text(headers, names::ATTEMPT_ID).is_some_and(|echoed| echoed == expected)
}

/// Whether a server or a VM has read the body of a request to which it
/// responded with this status.
///
/// A server may reject a request before it has read a long body, and read on
/// later. The next request on the connection would wait behind the rest of the
/// body, and could reach the server long after it was sent.
fn has_read_body(request: &RoutedRequest, status: StatusCode) -> bool {
    let body = request.body.borrow();
    match &*body {
        RequestBody::Full(_) => {
            status.is_success() || body.size() <= SMALL_BODY_BYTES
        }
        // Its end may be on the way after any response.
        RequestBody::Streamed(_) => false,
    }
}

/// Reads the rest of a refusal, so that its connection can be reused.
async fn finish_refusal(
    state: &TrafficState,
    slot: &ServerSlot,
    connection: ServerConnection,
    parts: Parts,
    body: Incoming,
) {
    /// A refusal is a few bytes that arrive with its head.
    const REFUSAL_BODY_TIMEOUT: Duration = Duration::from_millis(20);
    let read = read_response(&state.memory, body);
    let read = timeout(REFUSAL_BODY_TIMEOUT, read).await;
    if matches!(read, Ok(Ok(ReadResponse::Full(_)))) {
        let stated = keep_alive(&parts.headers);
        state.keep_connection(&slot.server, connection, stated);
    }
}

/// The head of a response, and where it arrived.
struct ReceivedHead {
    slot: ServerSlot,
    connection: ServerConnection,
    parts: Parts,
}

/// Reads the response and prepares it for the caller.
async fn receive_response(
    state: &Rc<TrafficState>,
    request: &RoutedRequest,
    received: ReceivedHead,
    body: Incoming,
    plan: &AttemptPlan,
) -> AttemptOutcome {
    let ReceivedHead { mut slot, connection, parts } = received;
    if let (Some(transfer), Some(bytes)) =
        (&mut slot.transfer, body.size_hint().exact())
    {
        transfer.record_size(bytes);
    }
    let body_timeout =
        request.remaining(MonotonicClock.now()).plus(LATE_BODY_GRACE);
    let read = read_response(&state.memory, body);
    let read = timeout(body_timeout.to_std(), read).await;
    let now = MonotonicClock.now();
    let Parts { status, headers, .. } = parts;
    let failed = status.is_server_error();
    if matches!(read, Ok(Ok(_)))
        && !failed
        && let Some(transfer) = &mut slot.transfer
    {
        transfer.record_received(now);
    }
    match read {
        Err(_) | Ok(Err(_)) => {
            slot.end(now, ServerSignal::Broken);
            AttemptOutcome::Broken
        }
        Ok(Ok(ReadResponse::Full(body))) => {
            let latency = state.record_response(request, &slot, now);
            let is_own = echoes_attempt(request, &headers);
            if (is_own || !plan.is_direct()) && has_read_body(request, status)
            {
                let stated = keep_alive(&headers);
                state.keep_connection(&slot.server, connection, stated);
            }
            if request.slice.is_some() && plan.is_direct() {
                let id = &slot.server.instance.id;
                state.loads.record_response(&request.service, id, latency);
            }
            let sent = request.body.borrow().buffered_bytes();
            let size = body.size_hint().exact().unwrap_or(0);
            state.record_bytes(request, sent + size);
            let response = full_response(status, headers, body);
            if failed {
                AttemptOutcome::Failed(response)
            } else {
                AttemptOutcome::Responded(response)
            }
        }
        Ok(Ok(ReadResponse::Partial(prefix, rest))) => {
            state.record_response(request, &slot, now);
            let Some(charge) = request.response_charge(&state.memory) else {
                state.memory.refuse();
                return AttemptOutcome::NoRoom;
            };
            let source = StreamSource::open(
                rest,
                slot,
                connection,
                request.deadline,
                &state.metrics,
            );
            let body =
                StreamedResponse::open(prefix, source, &state.memory, charge);
            let response = streamed_response(status, headers, body);
            AttemptOutcome::Responded(response)
        }
    }
}

/// The idle time in the server's `keep-alive` header, if it states one.
fn keep_alive(headers: &HeaderMap) -> Option<TimeSpan> {
    let stated = text(headers, "keep-alive")?;
    let seconds = stated.split(',').find_map(|part| {
        let (name, value) = part.trim().split_once('=')?;
        name.trim().eq_ignore_ascii_case("timeout").then_some(value)
    })?;
    let seconds: u64 = seconds.trim().parse().ok()?;
    Some(TimeSpan::from_millis(seconds.saturating_mul(1_000)))
}

/// Builds the request for the server; `None` if it can't be sent.
fn outgoing(
    request: &RoutedRequest,
    slot: &ServerSlot,
    plan: &AttemptPlan,
    now: LocalTime,
) -> Option<Request<crate::http::SendBody>> {
    let round_trip = round_trip(plan.proximity);
    let remaining = request.remaining(now).minus(round_trip).as_millis();
    let body = (remaining > 0).then(|| request.body_for_send())??;
    let mut sent = Request::new(body);
    *sent.method_mut() = request.method.clone();
    *sent.uri_mut() = request.uri.clone();
    let headers = sent.headers_mut();
    headers.clone_from(&request.headers);
    headers.insert(names::DEADLINE_MS, HeaderValue::from(remaining));
    if let Some(envelope) = &plan.envelope {
        headers.insert(ENVELOPE, envelope.clone());
        return Some(sent);
    }
    let id = HeaderValue::from_str(&slot.server.instance.id).ok()?;
    headers.insert(names::EXPECT_INSTANCE, id);
    Some(sent)
}

/// The network round trip to a server, subtracted from the deadline that the
/// server is given.
const fn round_trip(proximity: ServerProximity) -> TimeSpan {
    match proximity {
        ServerProximity::SameDomain => TimeSpan::from_millis(1),
        ServerProximity::SameRegion => TimeSpan::from_millis(3),
        ServerProximity::Remote => TimeSpan::from_millis(26),
    }
}

/// The timeout for the head of a response when no other server can respond.
pub(crate) fn full_timeout(
    request: &RoutedRequest,
    now: LocalTime,
) -> TimeSpan {
    request.remaining(now).plus(LATE_RESPONSE_GRACE)
}

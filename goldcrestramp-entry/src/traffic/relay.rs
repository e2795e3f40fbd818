//! Requests that a VM passes to another one because it reaches no server.
//!
//! The VM that the caller reached decides what depends on the configuration:
//! the route, the service, the regions and the limits, since the other VM may
//! have another version in force. The other VM chooses the server and sends
//! the request as if it were one of its own, with its own queues, permits and
//! retries. It never passes the request on again.

use std::{
    cell::{Cell, OnceCell, RefCell},
    rc::Rc,
    sync::Arc,
};

use goldcrestramp_adapter::{
    AllowedRegions, RequestRoute, RouteEffect, headers as names,
};
use goldcrestramp_assignment::ServerInstance;
use goldcrestramp_decisions::{DenialHistory, OwnerDenial, QueuePosition};
use goldcrestramp_types::{
    ClockSource, LocalTime, MonotonicClock, SliceIndex, TimeSpan,
};
use http::{HeaderName, HeaderValue, Request, Response, response::Parts};
use hyper::body::Incoming;
use serde::{Deserialize, Serialize};
use tokio::time::timeout;

use crate::{
    notices::InstanceKey,
    traffic::{
        body::{OversizeFlag, RequestBody, read_body},
        caller::IncomingBody,
        choose::AttemptHistory,
        headers::text,
        memory::MemoryAccount,
        reason::EndReason,
        request::{
            RequestOrigin, RoutedRequest, deadline_of, forwarded_headers,
        },
        response::{ResponseBody, local_response},
        serve::serve_relayed,
        state::TrafficState,
        wait::DEFAULT_RETRY_AFTER,
    },
};

/// The header that describes a request to the VM to which it is passed.
pub(super) const ENVELOPE: HeaderName =
    HeaderName::from_static("x-goldcrestramp-relay");

/// The header of a response that is the other VM's own.
const END: HeaderName = HeaderName::from_static("x-goldcrestramp-end");

/// The header that names the leaving server whose response is returned.
const LEAVING: HeaderName = HeaderName::from_static("x-goldcrestramp-leaving");

/// What the VM that a caller reached has decided about a request.
#[derive(Debug, Serialize, Deserialize)]
struct RelayEnvelope {
    /// The name of that VM.
    vm: Arc<str>,
    route: Arc<str>,
    service: Arc<str>,
    slice: Option<SliceIndex>,
    effect: RouteEffect,
    timeout: TimeSpan,
    target_latency: TimeSpan,
    priority: u8,
    max_attempts: u32,
    allowed_regions: AllowedRegions,
    /// The time since the request arrived.
    elapsed: TimeSpan,
    /// The servers that the request may have reached.
    tried: Vec<Arc<str>>,
    /// Whether the retry budget counts the request already.
    counted: bool,
    /// The attempts at servers; none are known from VMs of earlier builds.
    #[serde(default)]
    attempts: u32,
    /// The denials of owners.
    #[serde(default)]
    denials: Vec<PassedDenial>,
    /// Whether the request was admitted by the limits of keys. It is left out
    /// if not, so that the envelope is the same without load control.
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    admitted: bool,
}

/// An [`OwnerDenial`] as it is sent to another VM, which has another clock.
#[derive(Debug, Serialize, Deserialize)]
struct PassedDenial {
    token: u64,
    denials: u32,
    /// The time since the denial.
    elapsed: TimeSpan,
}

/// The attempts of a request that another VM passed on.
fn passed_history(
    now: LocalTime,
    tried: Vec<Arc<str>>,
    attempts: u32,
    passed: Vec<PassedDenial>,
) -> AttemptHistory {
    let mut denials = DenialHistory::default();
    denials.extend(passed.into_iter().map(|passed| OwnerDenial {
        token: passed.token,
        denied_at: now - passed.elapsed,
        denials: passed.denials,
    }));
    AttemptHistory { tried, denials, attempts, ..AttemptHistory::default() }
}

/// How a request ended at a VM without a server's response.
#[derive(Clone, Copy, Debug)]
pub(super) struct LocalEnd {
    pub(super) reason: EndReason,
    pub(super) may_have_run: bool,
    /// The delay after which the caller should retry.
    pub(super) retry_after: TimeSpan,
}

/// A [`LocalEnd`] as it is sent to the VM that passed the request on.
#[derive(Serialize, Deserialize)]
struct EncodedEnd<'a> {
    reason: &'a str,
    may_have_run: bool,
    retry_after: TimeSpan,
}

impl LocalEnd {
    /// Reads the end from the head of a response; `None` if the response is a
    /// server's.
    pub(super) fn read(parts: &Parts) -> Option<Self> {
        /// What an end that can't be read may mean.
        const UNREADABLE: LocalEnd = LocalEnd {
            reason: EndReason::Broken,
            may_have_run: true,
            retry_after: DEFAULT_RETRY_AFTER,
        };
        let value = parts.headers.get(&END)?;
        let end = serde_json::from_slice::<EncodedEnd<'_>>(value.as_bytes());
        let Ok(end) = end else { return Some(UNREADABLE) };
        Some(Self {
            // A later build may name reasons that this one does not know.
            reason: EndReason::from_code(end.reason)
                .unwrap_or(EndReason::Full),
            may_have_run: end.may_have_run,
            retry_after: end.retry_after,
        })
    }

    /// Builds the response for the caller.
    pub(super) fn caller_response(self) -> Response<ResponseBody> {
        local_response(self.reason, self.may_have_run, self.retry_after)
    }

    /// Builds the response for the VM that passed the request on.
    pub(super) fn response(self) -> Response<ResponseBody> {
        let Self { reason, may_have_run, retry_after } = self;
        let end =
            EncodedEnd { reason: reason.code(), may_have_run, retry_after };
        let mut response = local_response(reason, may_have_run, retry_after);
        let end = serde_json::to_vec(&end).unwrap_or_default();
        // An end is letters, numbers and punctuation.
        if let Ok(end) = HeaderValue::from_bytes(&end) {
            response.headers_mut().insert(END, end);
        }
        response
    }
}

impl From<EndReason> for LocalEnd {
    fn from(reason: EndReason) -> Self {
        let retry_after = DEFAULT_RETRY_AFTER;
        Self { reason, may_have_run: false, retry_after }
    }
}

/// Names the leaving server of a response, for the VM that passed the request
/// on.
pub(super) fn name_leaving_server(
    response: &mut Response<ResponseBody>,
    server: &ServerInstance,
) {
    let key = serde_json::to_vec(&InstanceKey::from(server)).ok();
    let key = key.and_then(|key| HeaderValue::from_bytes(&key).ok());
    let Some(key) = key else {
        log::warn!("[relay] Server {} fits no header.", server.id);
        return;
    };
    response.headers_mut().insert(LEAVING, key);
}

/// Takes the name of the leaving server from its response.
pub(super) fn take_leaving_server(
    response: &mut Response<ResponseBody>,
) -> Option<InstanceKey> {
    let key = response.headers_mut().remove(LEAVING)?;
    match serde_json::from_slice(key.as_bytes()) {
        Ok(key) => Some(key),
        Err(error) => {
            log::warn!("[relay] The name of a server is malformed: {error}.");
            None
        }
    }
}

/// Describes a request for the VM that it is passed to; `None` if a name does
/// not fit into a header.
pub(super) fn envelope(
    state: &TrafficState,
    request: &RoutedRequest,
    history: &AttemptHistory,
) -> Option<HeaderValue> {
    let route = &request.route;
    let regions = state.region_filter(&state.view(), route).intersection();
    let now = MonotonicClock.now();
    let passed = |denial: &OwnerDenial| PassedDenial {
        token: denial.token,
        denials: denial.denials,
        elapsed: now.since(denial.denied_at),
    };
    let envelope = RelayEnvelope {
        vm: Arc::clone(&state.settings.vm),
        route: Arc::clone(&route.name),
        service: Arc::clone(&request.service),
        slice: request.slice,
        effect: route.effect,
        timeout: route.timeout,
        target_latency: route.target_latency,
        priority: route.priority,
        max_attempts: route.max_attempts,
        allowed_regions: regions,
        elapsed: now.since(request.arrived),
        tried: history.tried.clone(),
        counted: request.counted,
        attempts: history.attempts,
        denials: history.denials.iter().map(passed).collect(),
        admitted: history.admitted,
    };
    let bytes = serde_json::to_vec(&envelope).ok()?;
    HeaderValue::from_bytes(&bytes).ok()
}

/// Serves a request that another VM passed on.
pub(super) async fn serve_passed(
    state: &Rc<TrafficState>,
    request: Request<Incoming>,
) -> Response<ResponseBody> {
    let arrived = MonotonicClock.now();
    let (parts, body) = request.into_parts();
    let attempt = text(&parts.headers, names::ATTEMPT_ID);
    let _due = state.due.enter(attempt.unwrap_or(""));
    let envelope = parts.headers.get(&ENVELOPE);
    let envelope: Option<RelayEnvelope> = envelope
        .and_then(|value| serde_json::from_slice(value.as_bytes()).ok());
    let Some(envelope) = envelope else {
        log::warn!("[relay] A request has no valid envelope.");
        return LocalEnd::from(EndReason::Unreachable).response();
    };
    if state.view().routes.is_none() {
        // A VM that has just started knows no servers yet.
        return LocalEnd::from(EndReason::Unreachable).response();
    }
    state.record_relayed(arrived, &envelope.vm);
    let route = route_of(&envelope);
    let deadline = deadline_of(arrived, &parts.headers, &route);
    let body = IncomingBody::new(body, None);
    let charged = state.hold_head(&parts.headers, &parts.uri, Some(body));
    let (head, body) = match charged {
        Ok(charged) => charged,
        Err(reason) => return state.end_unread(reason).response(),
    };
    let body = read_passed(&state.memory, body, arrived, deadline).await;
    let body = match body {
        Ok(body) => body,
        Err(reason) => return state.end_unread(reason).response(),
    };
    // The VM that is tried after this one counts it otherwise.
    if !envelope.counted && !state.reach.is_partitioned(&envelope.service) {
        let service = state.service(&envelope.service);
        service.record_request(arrived, &route);
    }
    let position = QueuePosition {
        priority: route.priority,
        sequence: state.next_sequence(),
    };
    state.record_passed_key(&envelope);
    let mut history = passed_history(
        arrived,
        envelope.tried,
        envelope.attempts,
        envelope.denials,
    );
    history.admitted = envelope.admitted;
    let request = RoutedRequest {
        position,
        route: Arc::new(route),
        service: envelope.service,
        slice: envelope.slice,
        method: parts.method,
        uri: parts.uri,
        headers: forwarded_headers(parts.headers),
        body: RefCell::new(body),
        oversize: OversizeFlag::default(),
        _head: head,
        arrived: arrived - envelope.elapsed,
        deadline,
        origin: RequestOrigin::Vm,
        counted: true,
        reserved: RefCell::default(),
        fingerprint: OnceCell::new(),
        connections: RefCell::default(),
        kept: Cell::new(false),
    };
    serve_relayed(state, &request, history).await
}

impl TrafficState {
    /// Counts a request for a key if the VM that passed it on knew no limits:
    /// that VM has no link to the planner and can't report it.
    fn record_passed_key(&self, envelope: &RelayEnvelope) {
        let counts = self.settings.load_control && !envelope.admitted;
        if let Some(slice) = envelope.slice.filter(|_slice| counts) {
            self.loads.record_request(&envelope.service, slice);
        }
    }
}

async fn read_passed(
    memory: &MemoryAccount,
    body: Option<IncomingBody>,
    arrived: LocalTime,
    deadline: LocalTime,
) -> Result<RequestBody, EndReason> {
    // The other VM checks the size.
    let oversize = OversizeFlag::default();
    let body = read_body(memory, body, u64::MAX, &oversize);
    let remaining = deadline.since(arrived).to_std();
    let body = timeout(remaining, body).await;
    body.map_err(|_elapsed| EndReason::BodyBroken)?
}

/// The route as the other VM knows it.
fn route_of(envelope: &RelayEnvelope) -> RequestRoute {
    RequestRoute {
        name: Arc::clone(&envelope.route),
        host: Arc::from(""),
        path_prefix: Arc::from(""),
        effect: envelope.effect,
        timeout: envelope.timeout,
        target_latency: envelope.target_latency,
        priority: envelope.priority,
        max_attempts: envelope.max_attempts,
        targets: Vec::new(),
        allowed_regions: envelope.allowed_regions.clone(),
    }
}

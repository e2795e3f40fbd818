//! Handles one request from its arrival to its response.

use std::{
    cell::{Cell, OnceCell, RefCell},
    rc::Rc,
    sync::Arc,
};

use goldcrestramp_adapter::{RouteEffect, headers as names};
use goldcrestramp_decisions::QueuePosition;
use goldcrestramp_types::{ClockSource, LocalTime, MonotonicClock, TimeSpan};
use http::{HeaderMap, Request, Response, Uri};
use tokio::time::timeout;

use crate::traffic::{
    admission::admit,
    body::{OversizeFlag, discard, read_body},
    caller::IncomingBody,
    choose::AttemptHistory,
    memory::HeldCharge,
    reason::EndReason,
    relay::LocalEnd,
    request::{
        RequestOrigin, RoutedRequest, deadline_of, find_route,
        forwarded_headers, head_bytes, slice_of,
    },
    respond::{RequestProgress, respond},
    response::ResponseBody,
    server::ServerSlot,
    state::TrafficState,
    wait::RequestEnd,
};

/// Serves a request; `body` is `None` if it has none.
pub(crate) async fn serve(
    state: &Rc<TrafficState>,
    head: Request<()>,
    body: Option<IncomingBody>,
) -> Response<ResponseBody> {
    let attempt = head.headers().get(names::ATTEMPT_ID).cloned();
    let attempt = attempt.as_ref().and_then(|id| id.to_str().ok());
    let attempt = attempt.unwrap_or("");
    let _due = state.due.enter(attempt);
    let request = match read(state, head, body).await {
        Ok(request) => request,
        Err(reason) => {
            log_unrouted(state, attempt, reason);
            state.metrics.record_end(reason.code());
            return state.end_unread(reason).caller_response();
        }
    };
    let progress = RequestProgress::default();
    match serve_routed(state, &request, progress).await {
        Ok(response) => {
            state.metrics.record_end("answered");
            let elapsed = MonotonicClock.now().since(request.arrived);
            state.metrics.record_time(&request.service, "whole", elapsed);
            response
        }
        Err(end) => {
            state.metrics.record_end(end.reason.code());
            // Bounded bytes in flight make such refusals frequent.
            request.body.borrow_mut().discard();
            end.caller_response()
        }
    }
}

/// Serves a request that another VM passed on after these attempts.
pub(crate) async fn serve_relayed(
    state: &Rc<TrafficState>,
    request: &RoutedRequest,
    history: AttemptHistory,
) -> Response<ResponseBody> {
    let progress = RequestProgress::resume(history);
    let served = serve_routed(state, request, progress).await;
    served.unwrap_or_else(LocalEnd::response)
}

/// Serves a request until it ends, or until the process does.
async fn serve_routed(
    state: &Rc<TrafficState>,
    request: &RoutedRequest,
    mut progress: RequestProgress,
) -> Result<Response<ResponseBody>, LocalEnd> {
    let responded = tokio::select! {
        biased;
        responded = respond(state, request, &mut progress) => responded,
        () = state.wait_expired() => {
            // The outcome of an attempt that was given up is unknown.
            progress.may_have_run |= progress.has_been_sent();
            Err(EndReason::Timeout.into())
        }
    };
    let end = match responded {
        Ok(response) => return Ok(response),
        Err(end) => end,
    };
    if let Some(failure) = progress.failure.take() {
        return Ok(failure);
    }
    let end = if request.oversize.is_set() {
        EndReason::BodyTooLarge.into()
    } else {
        end
    };
    if end.reason == EndReason::Full {
        state.memory.record_contention();
    }
    log_end(request, &progress, &end);
    if progress.overdue > 0
        && request.remaining(MonotonicClock.now()) > TimeSpan::ZERO
    {
        state.metrics.early_ends.inc();
    }
    Err(LocalEnd {
        reason: end.reason,
        may_have_run: progress.may_have_run,
        retry_after: end.retry_after,
    })
}

/// Logs a request that ends before it has a route, with the version of the
/// configuration that decided it.
fn log_unrouted(state: &TrafficState, attempt: &str, reason: EndReason) {
    let view = state.view();
    let version = view.routes.as_ref().map_or(0, |table| table.version);
    log::info!(
        request = attempt,
        reason = reason.code(),
        configuration = version,
        news_age_ms = state.clock.age(MonotonicClock.now()).as_millis();
        "[gateway] A request ended before it was routed."
    );
}

fn log_end(
    request: &RoutedRequest,
    progress: &RequestProgress,
    end: &RequestEnd,
) {
    let now = MonotonicClock.now();
    let key = request.slice.map_or(-1, |slice| i64::from(slice.get()));
    log::info!(
        request = request.attempt_id(),
        route = &*request.route.name,
        service = &*request.service,
        key = key,
        reason = end.reason.code(),
        sends = progress.history.attempts,
        overdue = progress.overdue,
        may_have_run = progress.may_have_run,
        held_ms = now.since(request.arrived).as_millis(),
        left_ms = request.remaining(now).as_millis(),
        retry_after_ms = end.retry_after.as_millis();
        "[gateway] A request ended without a successful response."
    );
}

/// Reads a request and finds its route.
async fn read(
    state: &Rc<TrafficState>,
    head: Request<()>,
    body: Option<IncomingBody>,
) -> Result<RoutedRequest, EndReason> {
    let arrived = MonotonicClock.now();
    let view = state.view();
    let table = view.routes.as_ref().ok_or(EndReason::NoConfiguration)?;
    let (parts, ()) = head.into_parts();
    let route = find_route(table, &parts.headers, &parts.uri)
        .map_err(|reason| state.reason_without_route(arrived, reason))?;
    let weights: Vec<u32> =
        route.targets.iter().map(|target| target.weight).collect();
    let target = state.next_target(&route.name, &weights);
    let target = target.ok_or(EndReason::NoServer)?;
    let service = Arc::clone(&route.targets[target].service);
    let slice = if table.is_sharded(&service) {
        Some(slice_of(&parts.headers)?)
    } else {
        None
    };
    let deadline = deadline_of(arrived, &parts.headers, &route);
    let (head, body) = state.hold_head(&parts.headers, &parts.uri, body)?;
    let max_bytes = table.limits.max_body_bytes;
    let remaining = deadline.since(arrived).to_std();
    let oversize = OversizeFlag::default();
    let body = read_body(&state.memory, body, max_bytes, &oversize);
    let body = timeout(remaining, body).await;
    let body = body.map_err(|_elapsed| EndReason::BodyBroken)??;
    // A request that is passed on counts where it is sent to servers.
    let counted = !state.reach.is_partitioned(&service);
    if counted {
        state.service(&service).record_request(arrived, &route);
    }
    if let Some(slice) = slice {
        state.loads.record_request(&service, slice);
    }
    let position = QueuePosition {
        priority: route.priority,
        sequence: state.next_sequence(),
    };
    Ok(RoutedRequest {
        position,
        route,
        service,
        slice,
        method: parts.method,
        uri: parts.uri,
        headers: forwarded_headers(parts.headers),
        body: RefCell::new(body),
        oversize,
        _head: head,
        arrived,
        deadline,
        origin: RequestOrigin::Caller,
        counted,
        reserved: RefCell::default(),
        fingerprint: OnceCell::new(),
        connections: RefCell::default(),
        kept: Cell::new(false),
    })
}

impl TrafficState {
    /// The reason for ending a request that no route matches.
    ///
    /// To its caller, "no such route" is final. If this VM's updates are older
    /// than the time within which a configuration must be in force, a newer
    /// configuration with the route may be in force, so the caller is asked to
    /// retry.
    fn reason_without_route(
        &self,
        now: LocalTime,
        reason: EndReason,
    ) -> EndReason {
        let limit = self.settings.configuration_limit;
        match reason {
            EndReason::NoRoute if self.clock.age(now) >= limit => {
                EndReason::OldConfiguration
            }
            reason => reason,
        }
    }

    /// Admits a request to the owner of its key, or refuses it at once.
    ///
    /// This is decided once per request, before its first attempt. A request
    /// that another VM has admitted is not decided on again.
    pub(super) fn admit_to_owner(
        &self,
        request: &RoutedRequest,
        history: &mut AttemptHistory,
    ) -> Result<(), RequestEnd> {
        let Some(slice) = request.slice else { return Ok(()) };
        if !self.settings.load_control || history.admitted {
            return Ok(());
        }
        let now = MonotonicClock.now();
        let limit = self.shares.key_limit(now, &request.service, slice);
        if let Some(limit) = limit {
            let admitted = admit(now, request, limit);
            if admitted.is_err() {
                self.metrics.admission_refusals.inc();
            }
            admitted?;
        }
        history.admitted = self.shares.is_valid(now);
        Ok(())
    }

    /// Charges a head, if there is room for it, and returns the body.
    pub(super) fn hold_head(
        &self,
        headers: &HeaderMap,
        uri: &Uri,
        body: Option<IncomingBody>,
    ) -> Result<(HeldCharge, Option<IncomingBody>), EndReason> {
        let bytes = head_bytes(headers, uri);
        let mut charge = self.memory.charge();
        if bytes > 0 && !charge.try_hold_request(bytes, bytes) {
            if let Some(body) = body {
                discard(body);
            }
            return Err(self.memory.refuse());
        }
        Ok((charge, body))
    }

    /// Reserves the memory that a request needs when it is sent.
    pub(super) fn reserve(
        &self,
        request: &RoutedRequest,
    ) -> Result<(), RequestEnd> {
        request.reserve(&self.memory).map_err(|reason| {
            let end = self.end_unread(reason);
            RequestEnd { reason, retry_after: end.retry_after }
        })
    }

    /// The end of a request that was not read completely.
    pub(super) fn end_unread(&self, reason: EndReason) -> LocalEnd {
        let mut end = LocalEnd::from(reason);
        if reason == EndReason::MemoryFull {
            end.retry_after = self.memory.retry_after();
        }
        end
    }

    /// Whether a request with an attempt in flight may be sent to another
    /// server, too: this VM is not draining, and the budget has an attempt
    /// left.
    pub(crate) fn may_replace(&self, request: &RoutedRequest) -> bool {
        self.is_serving() && self.has_retry_budget(request)
    }

    /// Whether the budget allows an attempt beyond the first.
    pub(super) fn has_retry_budget(&self, request: &RoutedRequest) -> bool {
        let (now, vms) = (MonotonicClock.now(), self.view().vms.len());
        let service = self.service(&request.service);
        let budget = &mut *service.budget.borrow_mut();
        let Some(retries) = &service.retries else {
            return budget.has_remaining(now, vms);
        };
        retries.allows(now, service.retry_class(now, request), budget, vms)
    }

    /// Takes an attempt beyond the first from the budget, if one is left.
    pub(super) fn take_retry(&self, request: &RoutedRequest) -> bool {
        let (now, vms) = (MonotonicClock.now(), self.view().vms.len());
        let service = self.service(&request.service);
        let budget = &mut *service.budget.borrow_mut();
        let Some(retries) = &service.retries else {
            return budget.try_take(now, vms);
        };
        retries.try_take(now, service.retry_class(now, request), budget, vms)
    }

    /// The end of a request that may not be retried for lack of budget.
    pub(super) fn deny_retry(&self, request: &RoutedRequest) -> RequestEnd {
        let service = self.service(&request.service);
        let reason = EndReason::RetryBudget;
        let Some(retries) = &service.retries else { return reason.into() };
        let now = MonotonicClock.now();
        let class = service.retry_class(now, request);
        let retry_after = retries.deny(now, class, request.remaining(now));
        RequestEnd { reason, retry_after }
    }

    /// Records a response time for its server and its service, and returns it.
    pub(crate) fn record_response(
        &self,
        request: &RoutedRequest,
        slot: &ServerSlot,
        now: LocalTime,
    ) -> TimeSpan {
        let latency = slot.record_response(now);
        let service = self.service(&request.service);
        service.times.borrow_mut().record(&request.route.name, latency);
        latency
    }

    /// Records the bytes of a completed request in the moving average of its
    /// kind (downloads or others).
    pub(crate) fn record_bytes(&self, request: &RoutedRequest, bytes: u64) {
        let download = request.route.effect == RouteEffect::Download;
        let service = self.service(&request.service);
        let average = &service.bytes[usize::from(download)];
        average.set(average.get() - average.get() / 8 + bytes / 8);
    }
}

//! Handles one request from its arrival to its response.

use std::{
    cell::{Cell, OnceCell},
    rc::Rc,
    sync::Arc,
};

use goldcrestramp_adapter::{RouteEffect, headers as names};
use goldcrestramp_decisions::{QueuePosition, TimeoutInputs, attempt_timeout};
use goldcrestramp_types::{ClockSource, LocalTime, MonotonicClock, TimeSpan};
use http::{Request, Response};
use hyper::body::Incoming;
use tokio::time::timeout;

use crate::traffic::{
    admission::admit,
    attempt::{AttemptOutcome, AttemptPlan, full_timeout, send},
    choose::{AttemptHistory, ChosenServer, Destination, choose},
    crash::SuspectAdmission,
    permit::wait_for_permit,
    reason::EndReason,
    relay::{LocalEnd, envelope, name_leaving_server, take_leaving_server},
    relay_vms::ChosenVm,
    request::{
        RequestBody, RequestOrigin, RoutedRequest, deadline_of, find_route,
        forwarded_headers, read_body, slice_of,
    },
    response::ResponseBody,
    server::{ServerSlot, ServerState},
    state::TrafficState,
    wait::{
        RequestEnd, back_off, wait_for_owner, wait_for_suspect, wait_in_queue,
    },
};

/// The maximum number of attempts of one request, including those that no
/// server has run or will run. More of them mean that a fault lasts longer
/// than the caller waits. A route's `max_attempts` bounds the servers that are
/// tried.
const MAX_TOTAL_ATTEMPTS: u32 = 6;

/// The progress of a request.
#[derive(Debug, Default)]
struct RequestProgress {
    history: AttemptHistory,
    /// Since when the request has waited for a permit to be sent.
    permit_wait_since: Option<LocalTime>,
    /// Whether one of the attempts may have run the request.
    may_have_run: bool,
    /// The attempts that were given up without a response.
    given_up: u32,
    /// An error response of a server; returned if no better response arrives.
    failure: Option<Response<ResponseBody>>,
}

impl RequestProgress {
    /// Whether an attempt at a server or through another VM has begun.
    const fn has_been_sent(&self) -> bool {
        self.history.attempts > 0 || !self.history.passed_to.is_empty()
    }
}

/// Serves a request; `body` is `None` if it has none.
pub(crate) async fn serve(
    state: &Rc<TrafficState>,
    head: Request<()>,
    body: Option<Incoming>,
) -> Response<ResponseBody> {
    let attempt = head.headers().get(names::ATTEMPT_ID).cloned();
    let attempt = attempt.as_ref().and_then(|id| id.to_str().ok());
    let attempt = attempt.unwrap_or("");
    let _due = state.due.enter(attempt);
    let mut request = match read(state, head, body).await {
        Ok(request) => request,
        Err(reason) => {
            log_unrouted(state, attempt, reason);
            state.metrics.record_end(reason.code());
            return state.end_unread(reason).caller_response();
        }
    };
    let progress = RequestProgress::default();
    match serve_routed(state, &mut request, progress).await {
        Ok(response) => {
            state.metrics.record_end("answered");
            let elapsed = MonotonicClock.now().since(request.arrived);
            state.metrics.record_time(&request.service, "whole", elapsed);
            response
        }
        Err(end) => {
            state.metrics.record_end(end.reason.code());
            // Bounded bytes in flight make such refusals frequent.
            if state.memory.active().is_some() {
                request.body.discard();
            }
            end.caller_response()
        }
    }
}

/// Serves a request that another VM passed on after these attempts.
pub(crate) async fn serve_relayed(
    state: &Rc<TrafficState>,
    mut request: RoutedRequest,
    history: AttemptHistory,
) -> Response<ResponseBody> {
    let progress = RequestProgress { history, ..RequestProgress::default() };
    let served = serve_routed(state, &mut request, progress).await;
    served.unwrap_or_else(LocalEnd::response)
}

/// Serves a request until it ends, or until the process does.
async fn serve_routed(
    state: &Rc<TrafficState>,
    request: &mut RoutedRequest,
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
    log_end(request, &progress, &end);
    if progress.given_up > 0
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
        given_up = progress.given_up,
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
    body: Option<Incoming>,
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
    let max_bytes = table.limits.max_body_bytes;
    let remaining = deadline.since(arrived).to_std();
    let body = read_body(&state.memory, body, max_bytes);
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
        body,
        arrived,
        deadline,
        origin: RequestOrigin::Caller,
        counted,
        reserved: None,
        fingerprint: OnceCell::new(),
        connections: Vec::new(),
        kept: Cell::new(false),
    })
}

/// Tries servers until there is a response or none can arrive.
async fn respond(
    state: &Rc<TrafficState>,
    request: &mut RoutedRequest,
    progress: &mut RequestProgress,
) -> Result<Response<ResponseBody>, RequestEnd> {
    state.admit_to_owner(request, &mut progress.history)?;
    loop {
        let now = MonotonicClock.now();
        if request.remaining(now) == TimeSpan::ZERO {
            let reason = if progress.may_have_run {
                EndReason::Timeout
            } else {
                EndReason::TooLate
            };
            return Err(reason.into());
        }
        state.check_quarantine(request, now)?;
        let view = state.view();
        match choose(state, &view, request, now, &progress.history) {
            Destination::Server(chosen) => {
                let end = try_server(state, request, progress, chosen).await?;
                if let Some(response) = end {
                    return Ok(response);
                }
            }
            Destination::Wait { queue, slots, latency } => {
                wait_in_queue(request, &queue, slots, latency).await?;
            }
            Destination::Vm(chosen) => {
                let end = try_vm(state, request, progress, chosen).await?;
                if let Some(response) = end {
                    return Ok(response);
                }
            }
            Destination::Permit(server) => {
                let since = &mut progress.permit_wait_since;
                wait_for_permit(state, request, &server, since).await?;
            }
            Destination::AwaitOwner(max_wait) => {
                wait_for_owner(state, request, max_wait).await?;
            }
            Destination::Refused(end) => return Err(end),
        }
    }
}

/// Sends one attempt to a server; `None` if the request is to be tried again.
async fn try_server(
    state: &Rc<TrafficState>,
    request: &mut RoutedRequest,
    progress: &mut RequestProgress,
    chosen: ChosenServer,
) -> Result<Option<Response<ResponseBody>>, RequestEnd> {
    let ChosenServer { server, proximity, replaceable, token } = chosen;
    let now = MonotonicClock.now();
    let was_tried = progress.history.tried.contains(&server.instance.id);
    let max_attempts = request.route.max_attempts as usize;
    if !was_tried && progress.history.tried.len() >= max_attempts {
        return Err(EndReason::AttemptsUsed.into());
    }
    if progress.history.attempts >= MAX_TOTAL_ATTEMPTS {
        return Err(EndReason::AttemptsUsed.into());
    }
    let suspect = match state.admit_suspect(request) {
        SuspectAdmission::Admitted(suspect) => suspect,
        SuspectAdmission::InFlight => {
            wait_for_suspect(request).await;
            return Ok(None);
        }
    };
    state.reserve(request)?;
    if !progress.history.tried.is_empty() && !state.take_retry(request) {
        return Err(state.deny_retry(request));
    }
    if !state.take_permit(now, &server) {
        return Ok(None);
    }
    progress.permit_wait_since = None;
    if request.slice.is_none() {
        server.record_cold_send(now, &state.view());
    }
    let service = state.service(&request.service);
    let queue = request.slice.is_none().then(|| Rc::clone(&service.queue));
    let mut slot = server.enter(now, request, queue);
    let region = state.bulk_region(&server);
    if let Some(region) = &region
        && request.is_download()
    {
        slot.transfer = Some(region.start(now, &request.route.name));
    }
    let response_timeout = attempt_timeout(TimeoutInputs {
        typical: server.times.borrow().typical_for(&request.route.name),
        target_latency: request.route.target_latency,
        remaining: full_timeout(request, now),
        replaceable: request.may_repeat()
            && replaceable
            && progress.history.tried.len() + 1 < max_attempts,
    });
    if progress.history.attempts == 0 {
        let waited = now.since(request.arrived);
        state.metrics.record_time(&request.service, "waiting", waited);
    }
    progress.history.attempts += 1;
    // The next owner would be one more server and one more attempt.
    let servers_used = progress.history.tried.len() + usize::from(!was_tried);
    let is_replaceable = request.may_repeat()
        && servers_used < max_attempts
        && progress.history.attempts < MAX_TOTAL_ATTEMPTS;
    let plan = AttemptPlan {
        proximity,
        response_timeout,
        is_replaceable,
        envelope: None,
        region,
    };
    let mut outcome = send(state, request, slot, plan).await;
    state.record_outcome(request, &server, now, &outcome);
    drop(suspect);
    if request.origin == RequestOrigin::Vm
        && state.notices.is_leaving(&server.instance)
        && let Some(response) = outcome.response_mut()
    {
        name_leaving_server(response, &server.instance);
    }
    record_attempt(state, request, &server, token, now, &outcome);
    let was_sent = !matches!(
        outcome,
        AttemptOutcome::NotSent | AttemptOutcome::NotListening
    );
    if was_sent && !was_tried {
        progress.history.tried.push(Arc::clone(&server.instance.id));
    }
    // An owner at whose address nothing listens has ended: like one that
    // denies the key, it serves nothing under this assignment.
    let denied = matches!(
        outcome,
        AttemptOutcome::Misdirected | AttemptOutcome::NotListening
    );
    if denied && let Some(token) = token {
        progress.history.denials.record(MonotonicClock.now(), token);
    }
    let not_run = !was_sent || matches!(outcome, AttemptOutcome::NotRun);
    // The next choice sends it elsewhere or refuses it, without a delay.
    if not_run && state.is_declined(request, &server) {
        return Ok(None);
    }
    let retryable = matches!(
        outcome,
        AttemptOutcome::NotRun | AttemptOutcome::Misdirected
    );
    // Fails before the backoff delay: the budget is already known to be used
    // up, and waiting would only delay the caller's retry.
    if retryable && !state.has_retry_budget(request) {
        return Err(state.deny_retry(request));
    }
    after_attempt(request, progress, outcome).await
}

/// Passes the request to another VM; `None` if it is to be tried again.
async fn try_vm(
    state: &Rc<TrafficState>,
    request: &mut RoutedRequest,
    progress: &mut RequestProgress,
    chosen: ChosenVm,
) -> Result<Option<Response<ResponseBody>>, RequestEnd> {
    let ChosenVm { relay, proximity } = chosen;
    let max_attempts = request.route.max_attempts as usize;
    if progress.history.tried.len() >= max_attempts {
        return Err(EndReason::AttemptsUsed.into());
    }
    if matches!(request.body, RequestBody::Streamed(None)) {
        return Err(EndReason::Unreachable.into());
    }
    let now = MonotonicClock.now();
    let envelope = envelope(state, request, &progress.history);
    state.reserve(request)?;
    let plan = AttemptPlan {
        proximity,
        response_timeout: full_timeout(request, now),
        is_replaceable: false,
        envelope: Some(envelope.ok_or(EndReason::Unreachable)?),
        region: None,
    };
    let vm = Arc::clone(&relay.server.instance.id);
    progress.history.passed_to.push(Arc::clone(&vm));
    let slot = relay.server.enter(now, request, None);
    let outcome = send(state, request, slot, plan).await;
    state.metrics.record_passed(outcome.code());
    log_passed(request, &vm, now, &outcome);
    match outcome {
        AttemptOutcome::Responded(mut response)
        | AttemptOutcome::Failed(mut response) => {
            let now = MonotonicClock.now();
            relay.record_served(now);
            if let Some(server) = take_leaving_server(&mut response) {
                state.notices.record_leaving(now, server);
            }
            Ok(Some(response))
        }
        AttemptOutcome::RelayEnded(end)
            if end.reason == EndReason::Unreachable && !end.may_have_run =>
        {
            relay.record_unreachable(MonotonicClock.now(), &request.service);
            Ok(None)
        }
        AttemptOutcome::NotSent | AttemptOutcome::NotListening => Ok(None),
        AttemptOutcome::RelayEnded(LocalEnd {
            reason,
            may_have_run,
            retry_after,
        }) => {
            progress.may_have_run |= may_have_run;
            Err(RequestEnd { reason, retry_after })
        }
        // The other VM may have sent it to as many servers as are allowed.
        outcome => {
            progress.may_have_run = true;
            let timed_out = matches!(outcome, AttemptOutcome::TimedOut);
            let reason =
                if timed_out { EndReason::Timeout } else { EndReason::Broken };
            Err(reason.into())
        }
    }
}

fn log_passed(
    request: &RoutedRequest,
    vm: &str,
    passed_at: LocalTime,
    outcome: &AttemptOutcome,
) {
    if matches!(outcome, AttemptOutcome::Responded(_)) {
        return;
    }
    let reason = match outcome {
        AttemptOutcome::RelayEnded(end) => end.reason.code(),
        _ => "",
    };
    log::info!(
        request = request.attempt_id(),
        service = &*request.service,
        vm = vm,
        outcome = outcome.code(),
        reason = reason,
        took_ms = MonotonicClock.now().since(passed_at).as_millis();
        "[relay] A request that was passed on did not succeed."
    );
}

/// Counts an attempt, and logs it unless it succeeded.
///
/// `token` is that of the assignment by which the server was chosen.
fn record_attempt(
    state: &TrafficState,
    request: &RoutedRequest,
    server: &ServerState,
    token: Option<u64>,
    sent_at: LocalTime,
    outcome: &AttemptOutcome,
) {
    let metrics = &state.metrics;
    metrics.record_attempt(outcome.code());
    let elapsed = MonotonicClock.now().since(sent_at);
    metrics.record_time(&request.service, "server", elapsed);
    if matches!(outcome, AttemptOutcome::Responded(_)) {
        return;
    }
    let since = token.and_then(|t| state.token_since(&request.service, t));
    let known_for = since.map(|since| sent_at.since(since));
    let connection = request.connections.last().map_or(0, |key| key.get());
    log::info!(
        request = request.attempt_id(),
        service = &*request.service,
        server = &*server.instance.id,
        outcome = outcome.code(),
        took_ms = elapsed.as_millis(),
        last_connection = connection,
        in_flight = server.in_flight(),
        token = token.unwrap_or(0),
        assignment_age_ms = known_for.map_or(0, TimeSpan::as_millis),
        news_age_ms = state.clock.age(sent_at).as_millis();
        "[send] An attempt did not succeed."
    );
}

/// Decides what follows an attempt.
async fn after_attempt(
    request: &RoutedRequest,
    progress: &mut RequestProgress,
    outcome: AttemptOutcome,
) -> Result<Option<Response<ResponseBody>>, RequestEnd> {
    let given_up = matches!(
        outcome,
        AttemptOutcome::TimedOut
            | AttemptOutcome::OwnerChanged
            | AttemptOutcome::Partitioned
    );
    progress.given_up += u32::from(given_up);
    match outcome {
        AttemptOutcome::Responded(response) => Ok(Some(response)),
        AttemptOutcome::Failed(response) => {
            // The owner of a key would fail again; another server of a pool
            // may not.
            let retryable = request.may_repeat() && request.slice.is_none();
            if !retryable || progress.failure.is_some() {
                return Ok(Some(response));
            }
            progress.may_have_run = true;
            progress.failure = Some(response);
            Ok(None)
        }
        AttemptOutcome::NotSent => {
            back_off(request, progress.history.attempts).await;
            Ok(None)
        }
        AttemptOutcome::NotListening if request.slice.is_none() => {
            back_off(request, progress.history.attempts).await;
            Ok(None)
        }
        // The choice of the next attempt says when its owner may be asked.
        AttemptOutcome::NotListening | AttemptOutcome::Misdirected => Ok(None),
        AttemptOutcome::NotRun => {
            if request.slice.is_some() {
                back_off(request, progress.history.attempts).await;
            }
            Ok(None)
        }
        AttemptOutcome::OwnerChanged | AttemptOutcome::Partitioned => {
            progress.may_have_run = true;
            Ok(None)
        }
        AttemptOutcome::Broken
        | AttemptOutcome::TimedOut
        | AttemptOutcome::RelayEnded(_) => {
            progress.may_have_run = true;
            let timed_out = matches!(outcome, AttemptOutcome::TimedOut);
            let reason =
                if timed_out { EndReason::Timeout } else { EndReason::Broken };
            let body_taken =
                matches!(request.body, RequestBody::Streamed(None));
            if !request.may_repeat() || body_taken {
                return Err(reason.into());
            }
            Ok(None)
        }
    }
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
    fn admit_to_owner(
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

    /// Reserves the memory that a request needs when it is sent.
    fn reserve(&self, request: &mut RoutedRequest) -> Result<(), RequestEnd> {
        request.reserve(&self.memory).map_err(|reason| {
            let end = self.end_unread(reason);
            RequestEnd { reason, retry_after: end.retry_after }
        })
    }

    /// The end of a request that was not read completely.
    pub(super) fn end_unread(&self, reason: EndReason) -> LocalEnd {
        let mut end = LocalEnd::from(reason);
        if reason == EndReason::MemoryFull
            && let Some(retry_after) = self.memory.retry_after()
        {
            end.retry_after = retry_after;
        }
        end
    }

    /// Whether an attempt in flight may be given up for another server: this
    /// VM is not draining, and the budget has an attempt left.
    pub(crate) fn may_replace(&self, request: &RoutedRequest) -> bool {
        self.is_serving() && self.has_retry_budget(request)
    }

    /// Whether the budget allows an attempt beyond the first.
    fn has_retry_budget(&self, request: &RoutedRequest) -> bool {
        let (now, vms) = (MonotonicClock.now(), self.view().vms.len());
        let service = self.service(&request.service);
        let budget = &mut *service.budget.borrow_mut();
        let Some(retries) = &service.retries else {
            return budget.has_remaining(now, vms);
        };
        retries.allows(now, service.retry_class(now, request), budget, vms)
    }

    /// Takes an attempt beyond the first from the budget, if one is left.
    fn take_retry(&self, request: &RoutedRequest) -> bool {
        let (now, vms) = (MonotonicClock.now(), self.view().vms.len());
        let service = self.service(&request.service);
        let budget = &mut *service.budget.borrow_mut();
        let Some(retries) = &service.retries else {
            return budget.try_take(now, vms);
        };
        retries.try_take(now, service.retry_class(now, request), budget, vms)
    }

    /// The end of a request that may not be retried for lack of budget.
    fn deny_retry(&self, request: &RoutedRequest) -> RequestEnd {
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

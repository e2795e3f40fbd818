//! Tries servers and other VMs until a request has a response.
//!
//! One attempt is made at a time. When it is overdue, another one is made
//! beside it if another server takes the request now, and the first response
//! counts. So a request ends without a response only when none is in flight.

use std::{rc::Rc, sync::Arc};

use goldcrestramp_decisions::{TimeoutInputs, attempt_timeout};
use goldcrestramp_types::{ClockSource, LocalTime, MonotonicClock, TimeSpan};
use http::Response;

use crate::traffic::{
    attempt::{AttemptOutcome, AttemptPlan, full_timeout, send},
    attempt_set::{
        AttemptEvent, AttemptSet, AttemptTarget, OverdueCause, OverdueSignal,
        PendingAttempt,
    },
    choose::{AttemptHistory, ChosenServer, Destination, choose},
    crash::{SuspectAdmission, SuspectSlot},
    permit::wait_for_permit,
    reason::EndReason,
    relay::{LocalEnd, envelope, name_leaving_server, take_leaving_server},
    relay_vms::{ChosenVm, RelayVm},
    request::{RequestOrigin, RoutedRequest},
    response::ResponseBody,
    server::ServerState,
    state::TrafficState,
    wait::{
        RequestEnd, back_off_until, wait_for_owner, wait_for_recheck,
        wait_for_suspect, wait_in_queue, wait_until,
    },
};

/// The maximum number of attempts of one request, including those that no
/// server has run or will run. More of them mean that a fault lasts longer
/// than the caller waits. A route's `max_attempts` bounds the servers that are
/// tried.
const MAX_TOTAL_ATTEMPTS: u32 = 6;

/// The progress of a request.
#[derive(Debug, Default)]
pub(super) struct RequestProgress {
    pub(super) history: AttemptHistory,
    /// Since when the request has waited for a permit to be sent.
    permit_wait_since: Option<LocalTime>,
    /// The end of a backoff, before which no attempt is made.
    backoff_end: LocalTime,
    /// Whether one of the attempts may have run the request.
    pub(super) may_have_run: bool,
    /// The attempts that were overdue.
    pub(super) overdue: u32,
    /// An error response of a server; returned if no better response arrives.
    pub(super) failure: Option<Response<ResponseBody>>,
}

impl RequestProgress {
    /// The progress of a request after the attempts of another VM.
    pub(super) fn resume(history: AttemptHistory) -> Self {
        Self { history, ..Self::default() }
    }

    /// Whether an attempt at a server or through another VM has begun.
    pub(super) const fn has_been_sent(&self) -> bool {
        self.history.attempts > 0 || !self.history.passed_to.is_empty()
    }

    /// Records that the request has reached a server.
    fn record_tried(&mut self, server: &Arc<str>) {
        if !self.history.tried.contains(server) {
            self.history.tried.push(Arc::clone(server));
        }
    }
}

/// The response to a request, if there is one yet.
type AttemptResult = Result<Option<Response<ResponseBody>>, RequestEnd>;

/// Tries servers until there is a response or none can arrive.
pub(super) async fn respond(
    state: &Rc<TrafficState>,
    request: &RoutedRequest,
    progress: &mut RequestProgress,
) -> Result<Response<ResponseBody>, RequestEnd> {
    state.admit_to_owner(request, &mut progress.history)?;
    let mut attempts = AttemptSet::default();
    loop {
        let event = if attempts.is_empty() {
            attempts.push(next_attempt(state, request, progress).await?);
            continue;
        } else if attempts.has_current() {
            attempts.next().await
        } else {
            tokio::select! {
                biased;
                event = attempts.next() => event,
                attempt = next_replacement(state, request, progress) => {
                    attempts.push(attempt);
                    continue;
                }
            }
        };
        match event {
            AttemptEvent::Overdue { target, sent_at, cause } => {
                record_overdue(
                    state, request, progress, &target, sent_at, cause,
                );
            }
            AttemptEvent::Ended(attempt, outcome) => {
                let is_last = attempts.is_empty();
                let ended = after_attempt(
                    state, request, progress, attempt, outcome, is_last,
                );
                match ended {
                    Ok(Some(response)) => return Ok(response),
                    Err(end) if is_last => return Err(end),
                    Ok(None) if is_last => {}
                    // Another server may still respond, so the next attempt
                    // can wait.
                    Ok(None) | Err(_) => {
                        let attempts = progress.history.attempts;
                        progress.backoff_end =
                            back_off_until(request, attempts);
                    }
                }
            }
        }
    }
}

/// Begins an attempt beside those that are overdue, as soon as one can be
/// made.
async fn next_replacement<'a>(
    state: &'a Rc<TrafficState>,
    request: &'a RoutedRequest,
    progress: &mut RequestProgress,
) -> PendingAttempt<'a> {
    loop {
        if state.may_replace(request)
            && let Ok(attempt) = next_attempt(state, request, progress).await
        {
            return attempt;
        }
        wait_for_recheck().await;
    }
}

/// Begins the next attempt.
async fn next_attempt<'a>(
    state: &'a Rc<TrafficState>,
    request: &'a RoutedRequest,
    progress: &mut RequestProgress,
) -> Result<PendingAttempt<'a>, RequestEnd> {
    wait_until(progress.backoff_end).await;
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
                let begun = try_server(state, request, progress, chosen);
                if let Some(attempt) = begun.await? {
                    return Ok(attempt);
                }
            }
            Destination::Wait { queue, slots, latency } => {
                wait_in_queue(request, &queue, slots, latency).await?;
            }
            Destination::Vm(chosen) => {
                return try_vm(state, request, progress, chosen);
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

/// Begins an attempt at a server; `None` if another choice has to be made.
async fn try_server<'a>(
    state: &'a Rc<TrafficState>,
    request: &'a RoutedRequest,
    progress: &mut RequestProgress,
    chosen: ChosenServer,
) -> Result<Option<PendingAttempt<'a>>, RequestEnd> {
    let now = MonotonicClock.now();
    let history = &progress.history;
    let was_tried = history.tried.contains(&chosen.server.instance.id);
    let max_attempts = request.route.max_attempts as usize;
    if !was_tried && history.tried.len() >= max_attempts {
        return Err(EndReason::AttemptsUsed.into());
    }
    if history.attempts >= MAX_TOTAL_ATTEMPTS {
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
    if !history.tried.is_empty() && !state.take_retry(request) {
        return Err(state.deny_retry(request));
    }
    if !state.take_permit(now, &chosen.server) {
        return Ok(None);
    }
    Ok(Some(begin_attempt(state, request, progress, chosen, suspect)))
}

/// Sends a request to a server that it is admitted to.
fn begin_attempt<'a>(
    state: &'a Rc<TrafficState>,
    request: &'a RoutedRequest,
    progress: &mut RequestProgress,
    chosen: ChosenServer,
    suspect: Option<SuspectSlot>,
) -> PendingAttempt<'a> {
    let ChosenServer { server, proximity, replaceable, token } = chosen;
    let now = MonotonicClock.now();
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
    let history = &mut progress.history;
    if history.attempts == 0 {
        let waited = now.since(request.arrived);
        state.metrics.record_time(&request.service, "waiting", waited);
    }
    history.attempts += 1;
    // The next owner would be one more server and one more attempt.
    let was_tried = history.tried.contains(&server.instance.id);
    let servers_used = history.tried.len() + usize::from(!was_tried);
    let has_attempts = servers_used < request.route.max_attempts as usize
        && history.attempts < MAX_TOTAL_ATTEMPTS;
    let is_replaceable =
        request.may_repeat() && !request.is_streamed() && has_attempts;
    let response_timeout = (is_replaceable && replaceable).then(|| {
        attempt_timeout(TimeoutInputs {
            typical: server.times.borrow().typical_for(&request.route.name),
            target_latency: request.route.target_latency,
            remaining: full_timeout(request, now),
            replaceable: true,
        })
    });
    let signal = OverdueSignal::default();
    let plan = AttemptPlan {
        proximity,
        response_timeout,
        is_replaceable,
        signal: signal.clone(),
        envelope: None,
        region,
    };
    PendingAttempt {
        target: AttemptTarget::Server { server, token },
        sent_at: now,
        suspect,
        signal,
        is_overdue: false,
        work: Box::pin(send(state, request, slot, plan)),
    }
}

/// Begins to pass the request to another VM.
fn try_vm<'a>(
    state: &'a Rc<TrafficState>,
    request: &'a RoutedRequest,
    progress: &mut RequestProgress,
    chosen: ChosenVm,
) -> Result<PendingAttempt<'a>, RequestEnd> {
    let ChosenVm { relay, proximity } = chosen;
    let max_attempts = request.route.max_attempts as usize;
    if progress.history.tried.len() >= max_attempts {
        return Err(EndReason::AttemptsUsed.into());
    }
    if request.is_body_taken() {
        return Err(EndReason::Unreachable.into());
    }
    let now = MonotonicClock.now();
    let envelope = envelope(state, request, &progress.history);
    state.reserve(request)?;
    let signal = OverdueSignal::default();
    let plan = AttemptPlan {
        proximity,
        response_timeout: None,
        is_replaceable: false,
        signal: signal.clone(),
        envelope: Some(envelope.ok_or(EndReason::Unreachable)?),
        region: None,
    };
    let vm = Arc::clone(&relay.server.instance.id);
    progress.history.passed_to.push(vm);
    let slot = relay.server.enter(now, request, None);
    Ok(PendingAttempt {
        target: AttemptTarget::Vm(relay),
        sent_at: now,
        suspect: None,
        signal,
        is_overdue: false,
        work: Box::pin(send(state, request, slot, plan)),
    })
}

/// Records that an attempt at a server is overdue.
fn record_overdue(
    state: &Rc<TrafficState>,
    request: &RoutedRequest,
    progress: &mut RequestProgress,
    target: &AttemptTarget,
    sent_at: LocalTime,
    cause: OverdueCause,
) {
    progress.overdue += 1;
    progress.may_have_run = true;
    let AttemptTarget::Server { server, token } = target else { return };
    let outcome = cause.outcome();
    state.record_outcome(request, server, sent_at, &outcome);
    record_attempt(state, request, server, *token, sent_at, &outcome);
    progress.record_tried(&server.instance.id);
    progress.history.at_work.push(Arc::clone(&server.instance.id));
}

/// Decides what follows an attempt. `is_last` is whether no other one is in
/// flight.
fn after_attempt(
    state: &Rc<TrafficState>,
    request: &RoutedRequest,
    progress: &mut RequestProgress,
    attempt: PendingAttempt<'_>,
    outcome: AttemptOutcome,
    is_last: bool,
) -> AttemptResult {
    let PendingAttempt { target, sent_at, is_overdue, .. } = attempt;
    match target {
        AttemptTarget::Vm(relay) => {
            after_vm(state, request, progress, &relay, sent_at, outcome)
        }
        AttemptTarget::Server { server, token } => {
            let id = &server.instance.id;
            progress.history.at_work.retain(|at_work| at_work != id);
            // The timeout of an overdue attempt was recorded already.
            if !(is_overdue && matches!(outcome, AttemptOutcome::TimedOut)) {
                state.record_outcome(request, &server, sent_at, &outcome);
                record_attempt(
                    state, request, &server, token, sent_at, &outcome,
                );
            }
            after_server(
                state, request, progress, &server, token, outcome, is_last,
            )
        }
    }
}

/// Decides what follows an attempt at a server.
fn after_server(
    state: &Rc<TrafficState>,
    request: &RoutedRequest,
    progress: &mut RequestProgress,
    server: &ServerState,
    token: Option<u64>,
    mut outcome: AttemptOutcome,
    is_last: bool,
) -> AttemptResult {
    if request.origin == RequestOrigin::Vm
        && state.notices.is_leaving(&server.instance)
        && let Some(response) = outcome.response_mut()
    {
        name_leaving_server(response, &server.instance);
    }
    let was_sent = !matches!(
        outcome,
        AttemptOutcome::NotSent | AttemptOutcome::NotListening
    );
    if was_sent {
        progress.record_tried(&server.instance.id);
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
    if not_run && state.is_declined(request, server) {
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
    after_outcome(request, progress, outcome, is_last)
}

/// Decides by its outcome what follows an attempt at a server.
fn after_outcome(
    request: &RoutedRequest,
    progress: &mut RequestProgress,
    outcome: AttemptOutcome,
    is_last: bool,
) -> AttemptResult {
    let attempts = progress.history.attempts;
    match outcome {
        AttemptOutcome::Responded(response) => Ok(Some(response)),
        AttemptOutcome::Failed(response) => {
            // The owner of a key would fail again; another server of a pool
            // may not.
            let retryable = request.may_repeat() && request.slice.is_none();
            let is_final = progress.failure.is_some() && is_last;
            if !retryable || is_final {
                return Ok(Some(response));
            }
            progress.may_have_run = true;
            progress.failure = Some(response);
            Ok(None)
        }
        AttemptOutcome::NotSent => {
            progress.backoff_end = back_off_until(request, attempts);
            Ok(None)
        }
        AttemptOutcome::NotListening if request.slice.is_none() => {
            progress.backoff_end = back_off_until(request, attempts);
            Ok(None)
        }
        // The choice of the next attempt says when its owner may be asked.
        AttemptOutcome::NotListening | AttemptOutcome::Misdirected => Ok(None),
        AttemptOutcome::NotRun => {
            if request.slice.is_some() {
                progress.backoff_end = back_off_until(request, attempts);
            }
            Ok(None)
        }
        // Another server's response would find no room either.
        AttemptOutcome::NoRoom => {
            progress.may_have_run = true;
            Err(EndReason::MemoryFull.into())
        }
        AttemptOutcome::OwnerChanged
        | AttemptOutcome::Partitioned
        | AttemptOutcome::Broken
        | AttemptOutcome::TimedOut
        | AttemptOutcome::RelayEnded(_) => {
            progress.may_have_run = true;
            let timed_out = matches!(outcome, AttemptOutcome::TimedOut);
            let reason =
                if timed_out { EndReason::Timeout } else { EndReason::Broken };
            if !request.may_repeat() || request.is_body_taken() {
                return Err(reason.into());
            }
            Ok(None)
        }
    }
}

/// Decides what follows the passing of a request to another VM.
fn after_vm(
    state: &TrafficState,
    request: &RoutedRequest,
    progress: &mut RequestProgress,
    relay: &RelayVm,
    passed_at: LocalTime,
    outcome: AttemptOutcome,
) -> AttemptResult {
    state.metrics.record_passed(outcome.code());
    log_passed(request, &relay.server.instance.id, passed_at, &outcome);
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
    let connections = request.connections.borrow();
    let connection = connections.last().map_or(0, |key| key.get());
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

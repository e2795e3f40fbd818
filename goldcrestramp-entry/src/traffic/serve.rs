//! The way of one request through this VM.

use std::{rc::Rc, sync::Arc};

use goldcrestramp_adapter::{RouteEffect, headers as names};
use goldcrestramp_decisions::{
    AttemptBudget, OwnerDenial, QueuePosition, TimeoutInputs, attempt_timeout,
};
use goldcrestramp_types::{ClockSource, LocalTime, MonotonicClock, TimeSpan};
use http::{HeaderValue, Request, Response};
use hyper::body::Incoming;
use tokio::time::timeout;

use crate::traffic::{
    attempt::{AttemptOutcome, AttemptPlan, full_timeout, send},
    choose::{AttemptHistory, ChosenServer, Destination, choose},
    permit::wait_for_permit,
    reason::EndReason,
    request::{
        RequestBody, RoutedRequest, deadline_of, find_route,
        forwarded_headers, read_body, slice_of,
    },
    response::{ResponseBody, own_answer},
    server::{ServerSlot, ServerState},
    state::TrafficState,
    wait::{RETURN_USUAL, RequestEnd, hold, pause, wait_in_queue},
};

/// Sends that no server has run or will run, for one request: more means
/// that something is wrong for longer than its caller waits.
const MAX_NOT_RUN_ATTEMPTS: u32 = 6;

/// Longer than this no caller waits before it returns.
const MAX_RETRY_AFTER: TimeSpan = TimeSpan::from_millis(2_000);

/// How far a request has come.
#[derive(Debug, Default)]
struct RequestProgress {
    history: AttemptHistory,
    /// Since when it has waited for a permit to be sent.
    permit_since: Option<LocalTime>,
    sends: u32,
    /// Whether one of them may have run it.
    may_have_run: bool,
    /// A failure that a server answered; given if nothing better comes.
    failure: Option<Response<ResponseBody>>,
}

/// Serves a request; without a body if it has none.
pub(crate) async fn serve(
    state: &Rc<TrafficState>,
    head: Request<()>,
    body: Option<Incoming>,
) -> Response<ResponseBody> {
    let attempt = head.headers().get(names::ATTEMPT_ID).cloned();
    let mut request = match read(state, head, body).await {
        Ok(request) => request,
        Err(reason) => {
            log_unread(state, attempt.as_ref(), reason);
            state.metrics.ended(reason.code());
            return own_answer(reason, false, RETURN_USUAL);
        }
    };
    let mut progress = RequestProgress::default();
    let end = match answer(state, &mut request, &mut progress).await {
        Ok(answer) => {
            state.metrics.ended("answered");
            let whole = MonotonicClock.now().since(request.arrived);
            state.metrics.took(&request.service, "whole", whole);
            return answer;
        }
        Err(end) => end,
    };
    state.metrics.ended(end.reason.code());
    if let Some(failure) = progress.failure.take() {
        return failure;
    }
    log_end(&request, &progress, &end);
    let retry_after = end.retry_after.min(MAX_RETRY_AFTER);
    own_answer(end.reason, progress.may_have_run, retry_after)
}

/// One line for a request that ends before it has a route, with the
/// configuration that decided it.
fn log_unread(
    state: &TrafficState,
    attempt: Option<&HeaderValue>,
    reason: EndReason,
) {
    let attempt = attempt.and_then(|id| id.to_str().ok());
    let view = state.view();
    let version = view.routes.as_ref().map_or(0, |book| book.version);
    log::info!(
        request = attempt.unwrap_or(""),
        reason = reason.code(),
        configuration = version,
        news_age_ms = state.clock.age(MonotonicClock.now()).as_millis();
        "[gateway] A request ends before it has a route."
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
        sends = progress.sends,
        may_have_run = progress.may_have_run,
        held_ms = now.since(request.arrived).as_millis(),
        left_ms = request.left(now).as_millis(),
        retry_after_ms = end.retry_after.as_millis();
        "[gateway] A request ends without a server's success."
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
    let book = view.routes.as_ref().ok_or(EndReason::NoConfiguration)?;
    let (parts, ()) = head.into_parts();
    let route = find_route(book, &parts.headers, &parts.uri)
        .map_err(|reason| state.reason_without_route(arrived, reason))?;
    let weights: Vec<u32> =
        route.targets.iter().map(|target| target.weight).collect();
    let target = state.next_target(&route.name, &weights);
    let target = target.ok_or(EndReason::NoServer)?;
    let service = Arc::clone(&route.targets[target].service);
    let slice = if book.is_divided(&service) {
        Some(slice_of(&parts.headers)?)
    } else {
        None
    };
    let deadline = deadline_of(arrived, &parts.headers, &route);
    let bytes_most = book.limits.max_body_bytes;
    let left = deadline.since(arrived).to_std();
    let body = timeout(left, read_body(body, bytes_most)).await;
    let body = body.map_err(|_elapsed| EndReason::BodyBroken)??;
    state.service(&service).budget.borrow_mut().record_request(arrived);
    if let Some(slice) = slice {
        state.loads.record_request(&service, slice);
    }
    let place = QueuePosition {
        priority: route.priority,
        sequence: state.next_turn(),
    };
    Ok(RoutedRequest {
        place,
        route,
        service,
        slice,
        method: parts.method,
        uri: parts.uri,
        headers: forwarded_headers(parts.headers),
        body,
        arrived,
        deadline,
    })
}

/// Tries until there is an answer, or none can come.
async fn answer(
    state: &Rc<TrafficState>,
    request: &mut RoutedRequest,
    progress: &mut RequestProgress,
) -> Result<Response<ResponseBody>, RequestEnd> {
    loop {
        let now = MonotonicClock.now();
        if request.left(now) == TimeSpan::ZERO {
            let reason = if progress.may_have_run {
                EndReason::Timeout
            } else {
                EndReason::TooLate
            };
            return Err(reason.into());
        }
        let view = state.view();
        match choose(state, &view, request, now, &progress.history) {
            Destination::Server(chosen) => {
                let end = try_server(state, request, progress, chosen).await?;
                if let Some(answer) = end {
                    return Ok(answer);
                }
            }
            Destination::Wait { queue, slots, latency } => {
                wait_in_queue(request, &queue, slots, latency).await?;
            }
            Destination::Permit(server) => {
                let since = &mut progress.permit_since;
                wait_for_permit(state, request, &server, since).await?;
            }
            Destination::Hold(span) => {
                hold(state, request, span).await?;
            }
            Destination::Refused(reason) => return Err(reason.into()),
        }
    }
}

/// Sends to a server; nothing if the request is to be tried again.
async fn try_server(
    state: &Rc<TrafficState>,
    request: &mut RoutedRequest,
    progress: &mut RequestProgress,
    chosen: ChosenServer,
) -> Result<Option<Response<ResponseBody>>, RequestEnd> {
    let ChosenServer { server, proximity, replaceable, token } = chosen;
    let now = MonotonicClock.now();
    let known = progress.history.tried.contains(&server.instance.id);
    let most = request.route.max_attempts as usize;
    if !known && progress.history.tried.len() >= most {
        return Err(EndReason::AttemptsUsed.into());
    }
    if progress.sends >= MAX_NOT_RUN_ATTEMPTS {
        return Err(EndReason::AttemptsUsed.into());
    }
    if !progress.history.tried.is_empty() && !state.take_repeat(request) {
        return Err(EndReason::RetryBudget.into());
    }
    if !state.take_permit(now, &server) {
        return Ok(None);
    }
    progress.permit_since = None;
    let service = state.service(&request.service);
    let queue = request.slice.is_none().then(|| Rc::clone(&service.queue));
    let slot = server.enter(now, request, queue);
    let answer_timeout = attempt_timeout(TimeoutInputs {
        typical: server.times.borrow().typical_for(&request.route.name),
        target_latency: request.route.target_latency,
        remaining: full_timeout(request, now),
        replaceable: request.may_repeat()
            && replaceable
            && progress.history.tried.len() + 1 < most,
    });
    if progress.sends == 0 {
        let waited = now.since(request.arrived);
        state.metrics.took(&request.service, "waiting", waited);
    }
    progress.sends += 1;
    // The next owner is one more server, and one more send.
    let used = progress.history.tried.len() + usize::from(!known);
    let follows_owner = request.may_repeat()
        && used < most
        && progress.sends < MAX_NOT_RUN_ATTEMPTS;
    let plan = AttemptPlan { proximity, answer_timeout, follows_owner };
    let end = send(state, request, slot, plan).await;
    note_send(state, request, &server, now, &end);
    if !matches!(end, AttemptOutcome::NotSent) && !known {
        progress.history.tried.push(Arc::clone(&server.instance.id));
    }
    if matches!(end, AttemptOutcome::Misdirected) {
        let denied_at = MonotonicClock.now();
        progress.history.denial =
            token.map(|token| OwnerDenial { token, denied_at });
    }
    let again =
        matches!(end, AttemptOutcome::NotRun | AttemptOutcome::Misdirected);
    // Known now: told after the pause, its caller returns later for nothing.
    if again && !state.has_repeat(request) {
        return Err(EndReason::RetryBudget.into());
    }
    after_send(request, progress, end).await
}

/// Counts a send; one line for each that did not simply succeed.
fn note_send(
    state: &TrafficState,
    request: &RoutedRequest,
    server: &ServerState,
    sent: LocalTime,
    end: &AttemptOutcome,
) {
    let metrics = &state.metrics;
    metrics.sent(end.code());
    let span = MonotonicClock.now().since(sent);
    metrics.took(&request.service, "server", span);
    if matches!(end, AttemptOutcome::Answered(_)) {
        return;
    }
    log::info!(
        request = request.attempt_id(),
        service = &*request.service,
        server = &*server.instance.id,
        outcome = end.code(),
        took_ms = span.as_millis(),
        in_flight = server.in_flight();
        "[send] A send brought no success."
    );
}

/// What follows a send.
async fn after_send(
    request: &RoutedRequest,
    progress: &mut RequestProgress,
    end: AttemptOutcome,
) -> Result<Option<Response<ResponseBody>>, RequestEnd> {
    match end {
        AttemptOutcome::Answered(answer) => Ok(Some(answer)),
        AttemptOutcome::Failed(answer) => {
            // The owner of a key would fail again; another server may not.
            let again = request.may_repeat() && request.slice.is_none();
            if !again || progress.failure.is_some() {
                return Ok(Some(answer));
            }
            progress.may_have_run = true;
            progress.failure = Some(answer);
            Ok(None)
        }
        AttemptOutcome::NotSent => {
            pause(request, progress.sends).await;
            Ok(None)
        }
        AttemptOutcome::NotRun | AttemptOutcome::Misdirected => {
            if request.slice.is_some() {
                pause(request, progress.sends).await;
            }
            Ok(None)
        }
        AttemptOutcome::OwnerChanged => {
            progress.may_have_run = true;
            Ok(None)
        }
        AttemptOutcome::Broken | AttemptOutcome::TimedOut => {
            progress.may_have_run = true;
            let silent = matches!(end, AttemptOutcome::TimedOut);
            let reason =
                if silent { EndReason::Timeout } else { EndReason::Broken };
            let passing = matches!(request.body, RequestBody::Passing(None));
            if !request.may_repeat() || passing {
                return Err(reason.into());
            }
            Ok(None)
        }
    }
}

impl TrafficState {
    /// Why a request ends that no route was found for.
    ///
    /// "No such route" is final to its caller. Where news are older than the
    /// time in which a configuration has to be in force, a newer one may be
    /// in force that has the route, so the caller is told to come back.
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

    /// Whether work that is under way may be given up for another server:
    /// this VM stays, and the budget has a send left.
    pub(crate) fn may_replace(&self, request: &RoutedRequest) -> bool {
        self.stays() && self.has_repeat(request)
    }

    /// Whether the budget has a send beyond the first left.
    fn has_repeat(&self, request: &RoutedRequest) -> bool {
        self.ask_budget(request, AttemptBudget::has_remaining)
    }

    /// Takes a send beyond the first from the budget, if one is left.
    fn take_repeat(&self, request: &RoutedRequest) -> bool {
        self.ask_budget(request, AttemptBudget::try_take)
    }

    fn ask_budget(
        &self,
        request: &RoutedRequest,
        ask: impl FnOnce(&mut AttemptBudget, LocalTime, usize) -> bool,
    ) -> bool {
        let vms = self.view().vms.len();
        let service = self.service(&request.service);
        ask(&mut service.budget.borrow_mut(), MonotonicClock.now(), vms)
    }

    /// Learns the usual time of a server's and its service's answers.
    pub(crate) fn note_answer(
        &self,
        request: &RoutedRequest,
        slot: &ServerSlot,
        now: LocalTime,
    ) -> TimeSpan {
        let span = slot.answered(now);
        let service = self.service(&request.service);
        service.times.borrow_mut().record(&request.route.name, span);
        span
    }

    /// Learns the usual size of a route's answers.
    pub(crate) fn note_bytes(&self, request: &RoutedRequest, bytes: u64) {
        let download = request.route.effect == RouteEffect::Download;
        let service = self.service(&request.service);
        let usual = &service.bytes[usize::from(download)];
        usual.set(usual.get() - usual.get() / 8 + bytes / 8);
    }
}

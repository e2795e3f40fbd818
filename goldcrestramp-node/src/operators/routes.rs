//! The HTTP routes of the operators' listener.

use std::{convert::Infallible, sync::Arc};

use bytes::Bytes;
use goldcrestramp_config::parse_ticket;
use goldcrestramp_types::ServiceName;
use serde::{Deserialize, Serialize};
use tokio::sync::Semaphore;
use warp::{
    Filter, Rejection, Reply,
    http::{
        HeaderMap, Response, StatusCode,
        header::{AUTHORIZATION, CONTENT_TYPE},
    },
    reply::Response as WarpResponse,
};

use super::{
    answer::{TicketAnswer, TicketOutcome},
    control::{OperatorControl, OperatorRefusal},
    policy::OperatorPolicy,
};

/// The largest ticket, in bytes; even a full configuration is smaller.
const MAX_TICKET_BYTES: u64 = 1_048_576;
/// The most tickets that one VM applies concurrently. Each may hold a full
/// configuration in memory.
const MAX_CONCURRENT_TICKETS: usize = 2;

/// The state shared by all routes.
#[derive(Clone, Debug)]
struct RouteContext<C> {
    control: C,
    policy: OperatorPolicy,
    permits: Arc<Semaphore>,
}

#[derive(Debug, Deserialize)]
struct ExplainQuery {
    #[serde(default)]
    service: String,
    #[serde(default)]
    key: String,
}

/// Returns the routes of the operators' listener, served by `control`.
pub fn operator_routes<C: OperatorControl>(
    control: C,
    policy: OperatorPolicy,
) -> impl Filter<Extract = (WarpResponse,), Error = Rejection> + Clone {
    let permits = Arc::new(Semaphore::new(MAX_CONCURRENT_TICKETS));
    let context = RouteContext { control, policy, permits };
    let probes = probe_routes(context.clone());
    let reports = report_routes(context.clone());
    let tickets = ticket_route(context);
    probes.or(reports).unify().or(tickets).unify().recover(recover).unify()
}

/// A filter that passes the context to a route.
fn with_context<C: OperatorControl>(
    context: RouteContext<C>,
) -> impl Filter<Extract = (RouteContext<C>,), Error = Infallible> + Clone {
    warp::any().map(move || context.clone())
}

/// The health checks of the platform's load balancer, which has no token.
fn probe_routes<C: OperatorControl>(
    context: RouteContext<C>,
) -> impl Filter<Extract = (WarpResponse,), Error = Rejection> + Clone {
    let health = warp::get()
        .and(warp::path!("healthz"))
        .map(|| plain(StatusCode::OK, "alive"));
    let ready = warp::get()
        .and(warp::path!("readyz"))
        .and(with_context(context))
        .map(|context: RouteContext<C>| readiness(&context));
    health.or(ready).unify()
}

fn report_routes<C: OperatorControl>(
    context: RouteContext<C>,
) -> impl Filter<Extract = (WarpResponse,), Error = Rejection> + Clone {
    let headers = warp::header::headers_cloned();
    let metrics = warp::get()
        .and(warp::path!("metrics"))
        .and(headers)
        .and(with_context(context.clone()))
        .map(|headers, context| metrics::<C>(&headers, &context));
    let status = warp::get()
        .and(warp::path!("status"))
        .and(headers)
        .and(with_context(context.clone()))
        .then(status::<C>);
    let config = warp::get()
        .and(warp::path!("config"))
        .and(headers)
        .and(with_context(context.clone()))
        .then(config::<C>);
    let explain = warp::get()
        .and(warp::path!("explain"))
        .and(warp::query::<ExplainQuery>())
        .and(headers)
        .and(with_context(context))
        .then(explain::<C>);
    let reports = metrics.or(status).unify().or(config).unify();
    reports.or(explain).unify()
}

fn ticket_route<C: OperatorControl>(
    context: RouteContext<C>,
) -> impl Filter<Extract = (WarpResponse,), Error = Rejection> + Clone {
    warp::post()
        .and(warp::path!("tickets"))
        .and(warp::header::headers_cloned())
        .and(with_context(context))
        .and_then(admit::<C>)
        .and(warp::body::content_length_limit(MAX_TICKET_BYTES))
        .and(warp::body::bytes())
        .then(ticket::<C>)
}

/// A refusal as a rejection of warp's filters.
#[derive(Debug)]
struct RefusedRequest(OperatorRefusal);

impl warp::reject::Reject for RefusedRequest {}

/// Turns refusals into responses, and leaves other rejections to warp.
async fn recover(rejection: Rejection) -> Result<WarpResponse, Rejection> {
    match rejection.find::<RefusedRequest>() {
        Some(RefusedRequest(refusal)) => Ok(refusal_response(*refusal)),
        None => Err(rejection),
    }
}

/// Checks the headers of a ticket's request before its body is read.
async fn admit<C: OperatorControl>(
    headers: HeaderMap,
    context: RouteContext<C>,
) -> Result<RouteContext<C>, Rejection> {
    let authorized = authorize(&headers, &context);
    match authorized.and_then(|()| json_content(&headers)) {
        Ok(()) => Ok(context),
        Err(refusal) => {
            context.control.count_refusal(refusal);
            Err(warp::reject::custom(RefusedRequest(refusal)))
        }
    }
}

/// Checks that the content type is JSON.
///
/// This prevents cross-site requests: a web page can make an operator's
/// browser post text to loopback, but this content type needs a preflight
/// request, which the listener does not grant.
fn json_content(headers: &HeaderMap) -> Result<(), OperatorRefusal> {
    let given = headers.get(CONTENT_TYPE);
    let given = given.and_then(|value| value.to_str().ok()).unwrap_or("");
    let kind = given.split(';').next().unwrap_or("").trim();
    if kind == "application/json" {
        Ok(())
    } else {
        Err(OperatorRefusal::ContentType)
    }
}

fn authorize<C>(
    headers: &HeaderMap,
    context: &RouteContext<C>,
) -> Result<(), OperatorRefusal> {
    let header = headers.get(AUTHORIZATION);
    context.policy.check(header.and_then(|value| value.to_str().ok()))
}

fn readiness<C: OperatorControl>(context: &RouteContext<C>) -> WarpResponse {
    match context.control.readiness() {
        Ok(()) => plain(StatusCode::OK, "ready"),
        Err(why) => plain(StatusCode::SERVICE_UNAVAILABLE, why),
    }
}

fn metrics<C: OperatorControl>(
    headers: &HeaderMap,
    context: &RouteContext<C>,
) -> WarpResponse {
    match authorize(headers, context) {
        Ok(()) => plain(StatusCode::OK, context.control.metrics()),
        Err(refusal) => refuse(context, refusal),
    }
}

async fn status<C: OperatorControl>(
    headers: HeaderMap,
    context: RouteContext<C>,
) -> WarpResponse {
    if let Err(refusal) = authorize(&headers, &context) {
        return refuse(&context, refusal);
    }
    match context.control.status().await {
        Some(report) => json(StatusCode::OK, &report),
        None => refuse(&context, OperatorRefusal::Ended),
    }
}

async fn config<C: OperatorControl>(
    headers: HeaderMap,
    context: RouteContext<C>,
) -> WarpResponse {
    if let Err(refusal) = authorize(&headers, &context) {
        return refuse(&context, refusal);
    }
    match context.control.config().await {
        Some(state) => json(StatusCode::OK, &state),
        None => refuse(&context, OperatorRefusal::Ended),
    }
}

async fn explain<C: OperatorControl>(
    query: ExplainQuery,
    headers: HeaderMap,
    context: RouteContext<C>,
) -> WarpResponse {
    if let Err(refusal) = authorize(&headers, &context) {
        return refuse(&context, refusal);
    }
    let Ok(service) = ServiceName::new(&query.service) else {
        return refuse(&context, OperatorRefusal::BadQuery);
    };
    if query.key.is_empty() {
        return refuse(&context, OperatorRefusal::BadQuery);
    }
    match context.control.explain(&service, &query.key).await {
        Some(report) => json(StatusCode::OK, &report),
        None => refuse(&context, OperatorRefusal::UnknownService),
    }
}

async fn ticket<C: OperatorControl>(
    context: RouteContext<C>,
    body: Bytes,
) -> WarpResponse {
    let Ok(_permit) = context.permits.try_acquire() else {
        return refuse(&context, OperatorRefusal::Busy);
    };
    let text = String::from_utf8_lossy(&body);
    let document = match parse_ticket("ticket", &text) {
        Ok(document) => document,
        Err(faults) => {
            context.control.count_refusal(OperatorRefusal::Ticket);
            let answer = TicketAnswer::malformed(&faults);
            return json(StatusCode::BAD_REQUEST, &answer);
        }
    };
    let number = document.ticket.ticket;
    let outcome = context.control.apply(document.ticket).await;
    let answer = TicketAnswer::from(&outcome);
    log::info!("operators: ticket {number} is {answer}.");
    let status = match answer.outcome {
        TicketOutcome::Accepted | TicketOutcome::AcceptedAlready => {
            StatusCode::OK
        }
        TicketOutcome::Refused => {
            context.control.count_refusal(OperatorRefusal::Ticket);
            StatusCode::CONFLICT
        }
        TicketOutcome::NotApplied => {
            context.control.count_refusal(OperatorRefusal::Store);
            StatusCode::SERVICE_UNAVAILABLE
        }
        TicketOutcome::Unknown => StatusCode::GATEWAY_TIMEOUT,
    };
    json(status, &answer)
}

fn refuse<C: OperatorControl>(
    context: &RouteContext<C>,
    refusal: OperatorRefusal,
) -> WarpResponse {
    context.control.count_refusal(refusal);
    refusal_response(refusal)
}

fn refusal_response(refusal: OperatorRefusal) -> WarpResponse {
    let status = match refusal {
        OperatorRefusal::NoToken | OperatorRefusal::WrongToken => {
            StatusCode::UNAUTHORIZED
        }
        OperatorRefusal::TokenUnreadable
        | OperatorRefusal::Store
        | OperatorRefusal::Ended => StatusCode::SERVICE_UNAVAILABLE,
        OperatorRefusal::ContentType => StatusCode::UNSUPPORTED_MEDIA_TYPE,
        OperatorRefusal::Ticket => StatusCode::CONFLICT,
        OperatorRefusal::BadQuery => StatusCode::BAD_REQUEST,
        OperatorRefusal::UnknownService => StatusCode::NOT_FOUND,
        OperatorRefusal::Busy => StatusCode::TOO_MANY_REQUESTS,
    };
    plain(status, refusal.code())
}

fn plain(status: StatusCode, text: impl Into<String>) -> WarpResponse {
    let mut response = Response::new(text.into()).into_response();
    *response.status_mut() = status;
    response
}

fn json<T: Serialize>(status: StatusCode, value: &T) -> WarpResponse {
    warp::reply::with_status(warp::reply::json(value), status).into_response()
}

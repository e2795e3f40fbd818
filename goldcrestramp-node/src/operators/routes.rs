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

/// The largest ticket, in bytes; the whole state is below it.
const TICKET_BYTES: u64 = 1_048_576;
/// Tickets that are applied at once by one VM; each may hold a whole state.
const TICKETS_AT_ONCE: usize = 2;

/// What each route needs.
#[derive(Clone, Debug)]
struct RouteContext<C> {
    control: C,
    policy: OperatorPolicy,
    room: Arc<Semaphore>,
}

#[derive(Debug, Deserialize)]
struct ExplainQuery {
    #[serde(default)]
    service: String,
    #[serde(default)]
    key: String,
}

/// The routes of the operators' listener over `control`.
pub fn operator_routes<C: OperatorControl>(
    control: C,
    policy: OperatorPolicy,
) -> impl Filter<Extract = (WarpResponse,), Error = Rejection> + Clone {
    let room = Arc::new(Semaphore::new(TICKETS_AT_ONCE));
    let context = RouteContext { control, policy, room };
    let open = open_routes(context.clone());
    let shown = shown_routes(context.clone());
    let tickets = ticket_route(context);
    open.or(shown).unify().or(tickets).unify().recover(recover).unify()
}

/// Gives a route its context.
fn with<C: OperatorControl>(
    context: RouteContext<C>,
) -> impl Filter<Extract = (RouteContext<C>,), Error = Infallible> + Clone {
    warp::any().map(move || context.clone())
}

/// What the platform's balancer asks; it has no token.
fn open_routes<C: OperatorControl>(
    context: RouteContext<C>,
) -> impl Filter<Extract = (WarpResponse,), Error = Rejection> + Clone {
    let health = warp::get()
        .and(warp::path!("healthz"))
        .map(|| plain(StatusCode::OK, "alive"));
    let ready = warp::get()
        .and(warp::path!("readyz"))
        .and(with(context))
        .map(|context: RouteContext<C>| readiness(&context));
    health.or(ready).unify()
}

fn shown_routes<C: OperatorControl>(
    context: RouteContext<C>,
) -> impl Filter<Extract = (WarpResponse,), Error = Rejection> + Clone {
    let headers = warp::header::headers_cloned();
    let metrics = warp::get()
        .and(warp::path!("metrics"))
        .and(headers)
        .and(with(context.clone()))
        .map(|headers, context| metrics::<C>(&headers, &context));
    let status = warp::get()
        .and(warp::path!("status"))
        .and(headers)
        .and(with(context.clone()))
        .then(status::<C>);
    let config = warp::get()
        .and(warp::path!("config"))
        .and(headers)
        .and(with(context.clone()))
        .then(config::<C>);
    let explain = warp::get()
        .and(warp::path!("explain"))
        .and(warp::query::<ExplainQuery>())
        .and(headers)
        .and(with(context))
        .then(explain::<C>);
    let shown = metrics.or(status).unify().or(config).unify();
    shown.or(explain).unify()
}

fn ticket_route<C: OperatorControl>(
    context: RouteContext<C>,
) -> impl Filter<Extract = (WarpResponse,), Error = Rejection> + Clone {
    warp::post()
        .and(warp::path!("tickets"))
        .and(warp::header::headers_cloned())
        .and(with(context))
        .and_then(admit::<C>)
        .and(warp::body::content_length_limit(TICKET_BYTES))
        .and(warp::body::bytes())
        .then(ticket::<C>)
}

/// A refusal on its way through warp's filters.
#[derive(Debug)]
struct RefusedRequest(OperatorRefusal);

impl warp::reject::Reject for RefusedRequest {}

/// Turns refusals into answers, and leaves the rest to warp.
async fn recover(rejection: Rejection) -> Result<WarpResponse, Rejection> {
    match rejection.find::<RefusedRequest>() {
        Some(RefusedRequest(refusal)) => Ok(refusal_answer(*refusal)),
        None => Err(rejection),
    }
}

/// Judges a ticket's sender before any of its body is read.
async fn admit<C: OperatorControl>(
    headers: HeaderMap,
    context: RouteContext<C>,
) -> Result<RouteContext<C>, Rejection> {
    let judged = authorize(&headers, &context);
    match judged.and_then(|()| json_content(&headers)) {
        Ok(()) => Ok(context),
        Err(refusal) => {
            context.control.count_refusal(refusal);
            Err(warp::reject::custom(RefusedRequest(refusal)))
        }
    }
}

/// A web page can make an operator's browser post text to loopback, but
/// not with this content type unless the listener agrees beforehand.
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
    let Ok(_permit) = context.room.try_acquire() else {
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
    refusal_answer(refusal)
}

fn refusal_answer(refusal: OperatorRefusal) -> WarpResponse {
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

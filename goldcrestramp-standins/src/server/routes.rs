//! The server's HTTP calls.

use std::sync::Arc;

use bytes::Bytes;
use goldcrestramp_wire::server::{GrantOrder, HEADER_REQUEST};
use serde::{Deserialize, Serialize};
use warp::{
    Filter, Rejection, Reply,
    http::{HeaderValue, StatusCode},
    path::Tail,
    reply::Response,
};

use crate::{
    records::MachineTime,
    server::{
        faults::ServerFaults, headers::decode, run::run_request,
        shared::ServerShared,
    },
};

/// The largest accepted grant order, in bytes.
const MAX_GRANT_BYTES: u64 = 1_048_576;

/// The body of `GET /health`.
#[derive(Debug, Serialize, Deserialize)]
struct HealthReport {
    healthy: bool,
}

/// The body of `GET /load`.
#[derive(Debug, Serialize, Deserialize)]
struct LoadReport {
    busy: usize,
    slots: usize,
}

/// All calls of a server.
pub(super) fn routes(
    shared: Arc<ServerShared>,
) -> impl Filter<Extract = (Response,), Error = Rejection> + Clone {
    let with = warp::any().then(move || {
        let shared = Arc::clone(&shared);
        async move {
            shared.thawed().await;
            shared
        }
    });
    let run = warp::post()
        .and(warp::path!("run"))
        .and(warp::header::headers_cloned())
        .and(warp::body::bytes())
        .and(with.clone())
        .then(|headers, _body: Bytes, shared| run_request(headers, shared));
    let grant = warp::post()
        .and(warp::path!("grant"))
        .and(warp::body::content_length_limit(MAX_GRANT_BYTES))
        .and(warp::body::json())
        .and(with.clone())
        .map(|order: GrantOrder, shared: Arc<ServerShared>| {
            let reply = shared.state().apply(MachineTime::now(), &order);
            warp::reply::json(&reply).into_response()
        });
    run.or(grant)
        .unify()
        .or(request_calls(with.clone()))
        .unify()
        .or(server_calls(with))
        .unify()
}

/// The calls about one request.
fn request_calls(
    with: impl Filter<
        Extract = (Arc<ServerShared>,),
        Error = std::convert::Infallible,
    > + Clone
    + Send
    + Sync
    + 'static,
) -> impl Filter<Extract = (Response,), Error = Rejection> + Clone {
    let cancel = warp::post()
        .and(warp::path!("cancel" / ..))
        .and(warp::path::tail())
        .and(with.clone())
        .map(|id: Tail, shared: Arc<ServerShared>| {
            let id = decode(id.as_str());
            let state = shared.state().requests.cancel(&id);
            let report = shared.report(state);
            warp::reply::json(&report).into_response()
        });
    let state = warp::get()
        .and(warp::path!("request" / ..))
        .and(warp::path::tail())
        .and(with.clone())
        .map(|id: Tail, shared: Arc<ServerShared>| {
            let state = shared.state().requests.state(&decode(id.as_str()));
            let report = shared.report(state);
            warp::reply::json(&report).into_response()
        });
    let answer = warp::get()
        .and(warp::path!("answer" / ..))
        .and(warp::path::tail())
        .and(with)
        .map(|id: Tail, shared: Arc<ServerShared>| {
            stored_answer(&decode(id.as_str()), &shared)
        });
    cancel.or(state).unify().or(answer).unify()
}

/// The calls about the server itself.
fn server_calls(
    with: impl Filter<
        Extract = (Arc<ServerShared>,),
        Error = std::convert::Infallible,
    > + Clone
    + Send
    + Sync
    + 'static,
) -> impl Filter<Extract = (Response,), Error = Rejection> + Clone {
    let health = warp::get()
        .and(warp::path!("health"))
        .and(with.clone())
        .map(|shared: Arc<ServerShared>| health(&shared));
    let load = warp::get().and(warp::path!("load")).and(with.clone()).map(
        |shared: Arc<ServerShared>| {
            let lie = shared.state().faults.load_lie;
            let busy = lie.unwrap_or_else(|| shared.lagging_busy());
            let slots = shared.behaviour.slots;
            warp::reply::json(&LoadReport { busy, slots }).into_response()
        },
    );
    let faults = warp::post()
        .and(warp::path!("faults"))
        .and(warp::body::json())
        .and(with.clone())
        .map(|faults: ServerFaults, shared: Arc<ServerShared>| {
            shared.state().faults = faults;
            StatusCode::OK.into_response()
        });
    let log = warp::get().and(warp::path!("log")).and(with).map(
        |shared: Arc<ServerShared>| {
            warp::reply::json(shared.state().log.log()).into_response()
        },
    );
    health.or(load).unify().or(faults).unify().or(log).unify()
}

fn health(shared: &ServerShared) -> Response {
    let healthy = shared.state().faults.health_lie.unwrap_or(true);
    let status =
        if healthy { StatusCode::OK } else { StatusCode::SERVICE_UNAVAILABLE };
    let report = warp::reply::json(&HealthReport { healthy });
    warp::reply::with_status(report, status).into_response()
}

fn stored_answer(id: &str, shared: &ServerShared) -> Response {
    let Some(body) = shared.state().requests.answer(id) else {
        return StatusCode::NOT_FOUND.into_response();
    };
    let mut response = body.to_vec().into_response();
    if let Ok(value) = HeaderValue::from_str(id) {
        response.headers_mut().insert(HEADER_REQUEST, value);
    }
    response
}

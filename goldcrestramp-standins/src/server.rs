//! A stand-in of a backend server: takes fenced grants, runs requests.

use std::{
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::{Duration, Instant},
};

use bytes::Bytes;
use goldcrestramp_ownership::GrantHolder;
use goldcrestramp_types::{ServerTime, SliceIndex};
use goldcrestramp_wire::server::{
    GrantOrder, HEADER_REQUEST, HEADER_SLICE, HEADER_START_BY, HEADER_STARTED,
    HEADER_TOKEN, decode_token,
};
use serde::{Deserialize, Serialize};
use warp::{
    Filter, Reply,
    http::{HeaderMap, Response, StatusCode},
    reply::Response as WarpResponse,
};

use crate::listener::ListenerHandle;

/// One execution, as the server itself saw it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ExecutionEntry {
    /// The request's id, `caller/request`.
    pub request: String,
    /// The slice of its key.
    pub slice: SliceIndex,
    /// When it started, in microseconds since the server's start.
    pub started: u64,
}

/// How a stand-in server behaves.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct ServerBehaviour {
    /// Whether it refuses old tokens.
    pub checks_fence: bool,
    /// How long a request takes, in milliseconds.
    pub work_ms: u64,
}

impl Default for ServerBehaviour {
    fn default() -> Self {
        Self { checks_fence: true, work_ms: 1 }
    }
}

#[derive(Debug)]
struct ServerState {
    holder: GrantHolder,
    log: Vec<ExecutionEntry>,
}

#[derive(Clone, Debug)]
struct ServerShared {
    started: Instant,
    behaviour: ServerBehaviour,
    state: Arc<Mutex<ServerState>>,
}

/// A running stand-in server.
#[derive(Debug)]
pub struct ServerStandin {
    shared: ServerShared,
    listener: ListenerHandle,
}

impl ServerStandin {
    /// Binds a server that holds nothing yet.
    ///
    /// # Errors
    ///
    /// The system's error when the address cannot be bound.
    pub async fn bind(
        address: SocketAddr,
        behaviour: ServerBehaviour,
    ) -> std::io::Result<Self> {
        let holder = GrantHolder::new(rand::random(), behaviour.checks_fence);
        let state = ServerState { holder, log: Vec::new() };
        let shared = ServerShared {
            started: Instant::now(),
            behaviour,
            state: Arc::new(Mutex::new(state)),
        };
        let routes = routes(shared.clone());
        let listener = ListenerHandle::bind(address, routes).await?;
        Ok(Self { shared, listener })
    }

    /// Where it listens.
    #[must_use]
    pub const fn address(&self) -> SocketAddr {
        self.listener.address()
    }

    /// What it has executed so far.
    #[must_use]
    pub fn log(&self) -> Vec<ExecutionEntry> {
        lock(&self.shared.state).log.clone()
    }
}

impl ServerShared {
    fn clock(&self) -> ServerTime {
        let micros = self.started.elapsed().as_micros();
        ServerTime::from_micros(u64::try_from(micros).unwrap_or(u64::MAX))
    }
}

fn routes(
    shared: ServerShared,
) -> impl Filter<Extract = impl Reply, Error = warp::Rejection> + Clone {
    let with = warp::any().map(move || shared.clone());
    let grant = warp::post()
        .and(warp::path!("grant"))
        .and(warp::body::json())
        .and(with.clone())
        .map(|order: GrantOrder, shared: ServerShared| {
            let now = shared.clock();
            let reply = lock(&shared.state).holder.apply(now, &order);
            warp::reply::json(&reply).into_response()
        });
    let run = warp::post()
        .and(warp::path!("run"))
        .and(warp::header::headers_cloned())
        .and(warp::body::bytes())
        .and(with.clone())
        .then(run_request);
    let log = warp::get().and(warp::path!("log")).and(with).map(
        |shared: ServerShared| {
            warp::reply::json(&lock(&shared.state).log).into_response()
        },
    );
    grant.or(run).unify().or(log).unify()
}

async fn run_request(
    headers: HeaderMap,
    body: Bytes,
    shared: ServerShared,
) -> WarpResponse {
    let Some(request) = start_request(&headers, &shared) else {
        let refused = Response::builder()
            .status(StatusCode::SERVICE_UNAVAILABLE)
            .header(HEADER_STARTED, "not-started")
            .body("");
        return refused.map_or_else(|_| fault(), Reply::into_response);
    };
    let work = Duration::from_millis(shared.behaviour.work_ms);
    tokio::time::sleep(work).await;
    let answer = Response::builder()
        .header(HEADER_REQUEST, request.as_str())
        .body(format!("{request} {} bytes\n", body.len()));
    answer.map_or_else(|_| fault(), Reply::into_response)
}

/// Starts a request if the grant allows it; returns its id.
fn start_request(
    headers: &HeaderMap,
    shared: &ServerShared,
) -> Option<String> {
    let text = |name| headers.get(name)?.to_str().ok();
    let request = text(HEADER_REQUEST)?;
    let slice = SliceIndex::new(text(HEADER_SLICE)?.parse().ok()?)?;
    let token = decode_token(text(HEADER_TOKEN)?)?;
    let start_by =
        ServerTime::from_micros(text(HEADER_START_BY)?.parse().ok()?);
    let now = shared.clock();
    let mut state = lock(&shared.state);
    if now > start_by || !state.holder.may_start(now, slice, token) {
        return None;
    }
    let started = now.as_micros();
    let request = request.to_owned();
    state.log.push(ExecutionEntry {
        request: request.clone(),
        slice,
        started,
    });
    Some(request)
}

fn fault() -> WarpResponse {
    StatusCode::INTERNAL_SERVER_ERROR.into_response()
}

/// Locks the state; a poisoned lock still holds usable state.
fn lock<T>(state: &Mutex<T>) -> MutexGuard<'_, T> {
    state.lock().unwrap_or_else(PoisonError::into_inner)
}

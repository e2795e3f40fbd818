//! A stand-in of the platform: key-value service and VM list, in memory.

#![expect(
    clippy::needless_pass_by_value,
    reason = "warp hands its handlers values"
)]

use std::{
    collections::BTreeMap,
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::{Duration, Instant},
};

use bytes::Bytes;
use goldcrestramp_platform::{LeaseGrant, VmEntry};
use goldcrestramp_types::FastMap;
use serde::Deserialize;
use tokio::sync::watch;
use warp::{
    Filter, Reply,
    http::{Response, StatusCode, header::ETAG},
    reply::Response as WarpResponse,
};

use crate::listener::ListenerHandle;

/// The largest value that the service takes, in bytes.
const VALUE_LIMIT: u64 = 1_000_000;

/// A stored value.
#[derive(Clone, Debug)]
struct StoredEntry {
    version: u64,
    value: Bytes,
    lease: Option<u64>,
}

/// Everything the platform keeps.
#[derive(Debug, Default)]
struct PlatformState {
    revision: u64,
    entries: BTreeMap<String, StoredEntry>,
    leases: FastMap<u64, (Instant, Duration)>,
    vms: Vec<VmEntry>,
}

impl PlatformState {
    /// Drops leases that have ended, and the values tied to them.
    fn expire(&mut self) {
        let now = Instant::now();
        self.leases.retain(|_, (until, _)| *until > now);
        let leases = &self.leases;
        self.entries.retain(|_, entry| {
            entry.lease.is_none_or(|lease| leases.contains_key(&lease))
        });
    }
}

/// A running stand-in platform.
#[derive(Clone, Debug)]
pub struct PlatformStandin {
    state: Arc<Mutex<PlatformState>>,
    changes: watch::Sender<u64>,
    listener: Arc<ListenerHandle>,
}

#[derive(Clone, Debug)]
struct PlatformShared {
    state: Arc<Mutex<PlatformState>>,
    changes: watch::Sender<u64>,
}

#[derive(Debug, Deserialize)]
struct WatchQuery {
    after: Option<u64>,
    wait_ms: Option<u64>,
}

#[derive(Debug, Deserialize)]
struct PutQuery {
    lease: Option<u64>,
}

#[derive(Debug, Deserialize)]
struct LeaseQuery {
    ttl_ms: u64,
}

impl PlatformStandin {
    /// Binds a platform that holds nothing yet.
    ///
    /// # Errors
    ///
    /// The system's error when the address cannot be bound.
    pub async fn bind(address: SocketAddr) -> std::io::Result<Self> {
        let state = Arc::new(Mutex::new(PlatformState::default()));
        let changes = watch::Sender::new(0);
        let shared = PlatformShared {
            state: Arc::clone(&state),
            changes: changes.clone(),
        };
        let listener = ListenerHandle::bind(address, routes(shared)).await?;
        Ok(Self { state, changes, listener: Arc::new(listener) })
    }

    /// Where it listens.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.listener.address()
    }

    /// Replaces the VM list.
    pub fn set_vms(&self, vms: Vec<VmEntry>) {
        lock(&self.state).vms = vms;
        self.changes.send_modify(|count| *count += 1);
    }
}

/// All routes of the platform.
fn routes(
    shared: PlatformShared,
) -> impl Filter<Extract = impl Reply, Error = warp::Rejection> + Clone {
    let with = warp::any().map(move || shared.clone());
    let get = warp::get()
        .and(warp::path!("kv" / ..))
        .and(warp::path::tail())
        .and(warp::query::<WatchQuery>())
        .and(with.clone())
        .then(get_value);
    let put = warp::put()
        .and(warp::path!("kv" / ..))
        .and(warp::path::tail())
        .and(warp::query::<PutQuery>())
        .and(warp::header::optional::<String>("if-match"))
        .and(warp::header::optional::<String>("if-none-match"))
        .and(warp::body::content_length_limit(VALUE_LIMIT))
        .and(warp::body::bytes())
        .and(with.clone())
        .map(put_value);
    let lease = warp::post()
        .and(warp::path!("leases"))
        .and(warp::query::<LeaseQuery>())
        .and(with.clone())
        .map(grant_lease);
    let renew = warp::post()
        .and(warp::path!("leases" / u64))
        .and(with.clone())
        .map(renew_lease);
    let end = warp::delete()
        .and(warp::path!("leases" / u64))
        .and(with.clone())
        .map(end_lease);
    let vms = warp::get().and(warp::path!("vms")).and(with.clone()).map(
        |shared: PlatformShared| {
            warp::reply::json(&lock(&shared.state).vms).into_response()
        },
    );
    let set = warp::put()
        .and(warp::path!("vms"))
        .and(warp::body::json())
        .and(with)
        .map(|vms: Vec<VmEntry>, shared: PlatformShared| {
            lock(&shared.state).vms = vms;
            shared.changes.send_modify(|count| *count += 1);
            StatusCode::OK.into_response()
        });
    get.or(put)
        .unify()
        .or(lease)
        .unify()
        .or(renew)
        .unify()
        .or(end)
        .unify()
        .or(vms)
        .unify()
        .or(set)
        .unify()
}

async fn get_value(
    key: warp::path::Tail,
    query: WatchQuery,
    shared: PlatformShared,
) -> WarpResponse {
    let Some(after) = query.after else {
        return value_response(&shared, key.as_str());
    };
    let wait = Duration::from_millis(query.wait_ms.unwrap_or(0));
    let mut changes = shared.changes.subscribe();
    let wanted = async {
        loop {
            let version = version_of(&shared, key.as_str());
            if version != after {
                return;
            }
            if changes.changed().await.is_err() {
                std::future::pending::<()>().await;
            }
        }
    };
    match tokio::time::timeout(wait, wanted).await {
        Ok(()) => value_response(&shared, key.as_str()),
        Err(_elapsed) => StatusCode::NOT_MODIFIED.into_response(),
    }
}

fn put_value(
    key: warp::path::Tail,
    query: PutQuery,
    matches: Option<String>,
    none_match: Option<String>,
    value: Bytes,
    shared: PlatformShared,
) -> WarpResponse {
    let mut state = lock(&shared.state);
    state.expire();
    let present = state.entries.get(key.as_str()).map(|e| e.version);
    let expected = matches.and_then(|m| m.trim_matches('"').parse().ok());
    let holds = match (none_match, expected) {
        (Some(_), _) => present.is_none(),
        (None, Some(version)) => present == Some(version),
        (None, None) => false,
    };
    if !holds {
        return StatusCode::PRECONDITION_FAILED.into_response();
    }
    state.revision += 1;
    let version = state.revision;
    let entry = StoredEntry { version, value, lease: query.lease };
    state.entries.insert(key.as_str().to_owned(), entry);
    drop(state);
    shared.changes.send_modify(|count| *count += 1);
    with_version(version, Bytes::new())
}

fn grant_lease(query: LeaseQuery, shared: PlatformShared) -> WarpResponse {
    let mut state = lock(&shared.state);
    state.revision += 1;
    let lease = state.revision;
    let ttl = Duration::from_millis(query.ttl_ms);
    state.leases.insert(lease, (Instant::now() + ttl, ttl));
    let grant = LeaseGrant { lease, ttl_ms: query.ttl_ms };
    warp::reply::json(&grant).into_response()
}

fn renew_lease(lease: u64, shared: PlatformShared) -> WarpResponse {
    let mut state = lock(&shared.state);
    state.expire();
    let Some((until, ttl)) = state.leases.get_mut(&lease) else {
        return StatusCode::NOT_FOUND.into_response();
    };
    *until = Instant::now() + *ttl;
    StatusCode::OK.into_response()
}

fn end_lease(lease: u64, shared: PlatformShared) -> WarpResponse {
    let mut state = lock(&shared.state);
    state.leases.remove(&lease);
    state.expire();
    drop(state);
    shared.changes.send_modify(|count| *count += 1);
    StatusCode::OK.into_response()
}

/// The version of a key; zero when it has no value.
fn version_of(shared: &PlatformShared, key: &str) -> u64 {
    let mut state = lock(&shared.state);
    state.expire();
    state.entries.get(key).map_or(0, |entry| entry.version)
}

fn value_response(shared: &PlatformShared, key: &str) -> WarpResponse {
    let mut state = lock(&shared.state);
    state.expire();
    match state.entries.get(key) {
        Some(entry) => with_version(entry.version, entry.value.clone()),
        None => StatusCode::NOT_FOUND.into_response(),
    }
}

fn with_version(version: u64, value: Bytes) -> WarpResponse {
    let built =
        Response::builder().header(ETAG, format!("\"{version}\"")).body(value);
    match built {
        Ok(response) => response.into_response(),
        Err(_bad) => StatusCode::INTERNAL_SERVER_ERROR.into_response(),
    }
}

/// Locks the state; a poisoned lock still holds usable state.
fn lock<T>(state: &Mutex<T>) -> MutexGuard<'_, T> {
    state.lock().unwrap_or_else(PoisonError::into_inner)
}

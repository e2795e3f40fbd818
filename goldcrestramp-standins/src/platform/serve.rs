//! Serves the platform's calls, with its faults.

use std::{
    net::SocketAddr,
    time::{Duration, Instant},
};

use bytes::Bytes;
use goldcrestramp_platform::LeaseGrant;
use warp::{
    Reply,
    http::{Response, StatusCode, header::ETAG},
    reply::Response as WarpResponse,
};

use super::{
    faults::LossKind, rates::CallCost, routes::PlatformCall,
    shared::PlatformShared,
};

/// Serves one call, or fails it as the faults require.
pub(super) async fn serve(
    call: PlatformCall,
    peer: Option<SocketAddr>,
    shared: PlatformShared,
) -> WarpResponse {
    if !admit(&call, &shared) {
        return StatusCode::TOO_MANY_REQUESTS.into_response();
    }
    let latency = Duration::from_millis(shared.state().faults.latency_ms);
    // Half of the latency is before the call and half after it, so a write may
    // take effect after its caller has timed out.
    tokio::time::sleep(latency / 2).await;
    let write = matches!(call, PlatformCall::Write { .. });
    let response = execute(call, &shared).await;
    tokio::time::sleep(latency / 2).await;
    if write && should_lose_response(&shared) {
        return lose_response(peer, &shared).await;
    }
    response
}

/// Counts a call; false if it exceeds the rate.
fn admit(call: &PlatformCall, shared: &PlatformShared) -> bool {
    let mut state = shared.state();
    let state = &mut *state;
    let cost = match call {
        PlatformCall::Read { .. }
        | PlatformCall::Watch { .. }
        | PlatformCall::List => CallCost::Read,
        _ => CallCost::Write,
    };
    if !state.rates.admit(Instant::now(), cost, &state.faults) {
        state.tally.refused += 1;
        return false;
    }
    let tally = &mut state.tally;
    let count = match call {
        PlatformCall::Read { .. } => &mut tally.reads,
        PlatformCall::Watch { .. } => &mut tally.watches,
        PlatformCall::Write { .. } => &mut tally.writes,
        PlatformCall::List => &mut tally.lists,
        PlatformCall::Grant { .. }
        | PlatformCall::Renew { .. }
        | PlatformCall::End { .. } => &mut tally.leases,
    };
    *count += 1;
    true
}

async fn execute(call: PlatformCall, shared: &PlatformShared) -> WarpResponse {
    match call {
        PlatformCall::Read { key } => read(&key, shared),
        PlatformCall::Watch { key, after, wait_ms } => {
            watch(&key, after, Duration::from_millis(wait_ms), shared).await
        }
        PlatformCall::Write { key, expected, value, lease } => {
            let version = expected.and_then(|expected| {
                shared.state().write(&key, expected, value, lease)
            });
            shared.changed();
            match version {
                Some(version) => with_version(version, Bytes::new()),
                None => StatusCode::PRECONDITION_FAILED.into_response(),
            }
        }
        PlatformCall::Grant { ttl_ms } => {
            let ttl = Duration::from_millis(ttl_ms);
            let lease = shared.state().grant(ttl);
            let grant = LeaseGrant { lease, ttl_ms };
            warp::reply::json(&grant).into_response()
        }
        PlatformCall::Renew { lease } => {
            let renewed = shared.state().renew(lease);
            let found = StatusCode::OK;
            let status = if renewed { found } else { StatusCode::NOT_FOUND };
            status.into_response()
        }
        PlatformCall::End { lease } => {
            shared.state().end(lease);
            shared.changed();
            StatusCode::OK.into_response()
        }
        PlatformCall::List => {
            warp::reply::json(&shared.state().shown_vms()).into_response()
        }
    }
}

fn read(key: &str, shared: &PlatformShared) -> WarpResponse {
    match shared.state().read(key) {
        Some(entry) => with_version(entry.version, entry.value.clone()),
        None => StatusCode::NOT_FOUND.into_response(),
    }
}

/// Responds once the key's version differs from `after`. A lower version
/// counts too: the store may have been restored.
async fn watch(
    key: &str,
    after: u64,
    wait: Duration,
    shared: &PlatformShared,
) -> WarpResponse {
    let mut changes = shared.changes.subscribe();
    let differs = async {
        while shared.state().version(key) == after {
            if changes.changed().await.is_err() {
                std::future::pending::<()>().await;
            }
        }
    };
    match tokio::time::timeout(wait, differs).await {
        Ok(()) => read(key, shared),
        Err(_elapsed) => StatusCode::NOT_MODIFIED.into_response(),
    }
}

/// Whether the response to this write is to be lost.
fn should_lose_response(shared: &PlatformShared) -> bool {
    let mut state = shared.state();
    let remaining = state.faults.lose_answers;
    state.faults.lose_answers = remaining.saturating_sub(1);
    remaining > 0
}

/// Loses the response to a write that took effect: the connection is closed,
/// or an intermediary responds.
async fn lose_response(
    peer: Option<SocketAddr>,
    shared: &PlatformShared,
) -> WarpResponse {
    let cut = shared.state().faults.loss == LossKind::Cut;
    if cut && peer.is_some_and(|peer| shared.cutter.cut(peer)) {
        std::future::pending::<()>().await;
    }
    StatusCode::BAD_GATEWAY.into_response()
}

fn with_version(version: u64, value: Bytes) -> WarpResponse {
    let built =
        Response::builder().header(ETAG, format!("\"{version}\"")).body(value);
    match built {
        Ok(response) => response.into_response(),
        Err(_bad) => StatusCode::INTERNAL_SERVER_ERROR.into_response(),
    }
}

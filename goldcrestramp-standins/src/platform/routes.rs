//! Decodes the platform's HTTP calls.

use std::net::SocketAddr;

use bytes::Bytes;
use goldcrestramp_platform::VmEntry;
use serde::Deserialize;
use warp::{Filter, Rejection, Reply, reply::Response as WarpResponse};

use super::{
    admin, faults::PlatformFaults, serve::serve, shared::PlatformShared,
};

/// The largest accepted value, in bytes.
const MAX_VALUE_BYTES: u64 = 1_000_000;

/// A call to the platform.
#[derive(Clone, Debug)]
pub(super) enum PlatformCall {
    /// Reads a key.
    Read { key: String },
    /// Waits for another version of a key.
    Watch { key: String, after: u64, wait_ms: u64 },
    /// Writes a key if it has this version (zero: no value). With `None` the
    /// call named no condition.
    Write {
        key: String,
        expected: Option<u64>,
        value: Bytes,
        lease: Option<u64>,
    },
    /// Grants a lease.
    Grant { ttl_ms: u64 },
    /// Renews a lease.
    Renew { lease: u64 },
    /// Ends a lease.
    End { lease: u64 },
    /// Reads the VM list.
    List,
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

/// All routes: the platform's calls and the admin calls.
pub(super) fn routes(
    shared: PlatformShared,
) -> impl Filter<Extract = (WarpResponse,), Error = Rejection> + Clone {
    let with = warp::any().map(move || shared.clone());
    calls()
        .and(warp::addr::remote())
        .and(with.clone())
        .then(|call, peer: Option<SocketAddr>, shared| {
            serve(call, peer, shared)
        })
        .or(admin_calls(with))
        .unify()
}

/// Decodes the platform's own calls.
fn calls() -> impl Filter<Extract = (PlatformCall,), Error = Rejection> + Clone
{
    let list = warp::get().and(warp::path!("vms")).map(|| PlatformCall::List);
    read().or(write()).unify().or(leases()).unify().or(list).unify()
}

fn read() -> impl Filter<Extract = (PlatformCall,), Error = Rejection> + Clone
{
    warp::get()
        .and(warp::path!("kv" / ..))
        .and(warp::path::tail())
        .and(warp::query::<WatchQuery>())
        .map(|key: warp::path::Tail, query: WatchQuery| {
            let key = key.as_str().to_owned();
            let wait_ms = query.wait_ms.unwrap_or(0);
            match query.after {
                None => PlatformCall::Read { key },
                Some(after) => PlatformCall::Watch { key, after, wait_ms },
            }
        })
}

fn write() -> impl Filter<Extract = (PlatformCall,), Error = Rejection> + Clone
{
    warp::put()
        .and(warp::path!("kv" / ..))
        .and(warp::path::tail())
        .and(warp::query::<PutQuery>())
        .and(warp::header::optional::<String>("if-match"))
        .and(warp::header::optional::<String>("if-none-match"))
        .and(warp::body::content_length_limit(MAX_VALUE_BYTES))
        .and(warp::body::bytes())
        .map(decode_write)
}

#[expect(
    clippy::needless_pass_by_value,
    reason = "warp hands its handlers values"
)]
fn decode_write(
    key: warp::path::Tail,
    query: PutQuery,
    matches: Option<String>,
    none_match: Option<String>,
    value: Bytes,
) -> PlatformCall {
    let version = matches.and_then(|m| m.trim_matches('"').parse().ok());
    let expected = if none_match.is_some() { Some(0) } else { version };
    let key = key.as_str().to_owned();
    PlatformCall::Write { key, expected, value, lease: query.lease }
}

fn leases() -> impl Filter<Extract = (PlatformCall,), Error = Rejection> + Clone
{
    let grant = warp::post()
        .and(warp::path!("leases"))
        .and(warp::query::<LeaseQuery>())
        .map(|query: LeaseQuery| PlatformCall::Grant { ttl_ms: query.ttl_ms });
    let renew = warp::post()
        .and(warp::path!("leases" / u64))
        .map(|lease| PlatformCall::Renew { lease });
    let end = warp::delete()
        .and(warp::path!("leases" / u64))
        .map(|lease| PlatformCall::End { lease });
    grant.or(renew).unify().or(end).unify()
}

/// The admin calls.
fn admin_calls(
    with: impl Filter<
        Extract = (PlatformShared,),
        Error = std::convert::Infallible,
    > + Clone
    + Send
    + Sync
    + 'static,
) -> impl Filter<Extract = (WarpResponse,), Error = Rejection> + Clone {
    let vms = warp::put()
        .and(warp::path!("vms"))
        .and(warp::body::json())
        .and(with.clone())
        .map(|vms: Vec<VmEntry>, shared| admin::set_vms(vms, &shared));
    let read = warp::get()
        .and(warp::path!("faults"))
        .and(with.clone())
        .map(|shared| admin::read_faults(&shared));
    let set = warp::post()
        .and(warp::path!("faults"))
        .and(warp::body::json())
        .and(with.clone())
        .map(|faults: PlatformFaults, shared| {
            admin::set_faults(faults, &shared)
        });
    let save = warp::post()
        .and(warp::path!("snapshot"))
        .and(with.clone())
        .map(|shared| admin::save(&shared));
    let restore = warp::post()
        .and(warp::path!("restore"))
        .and(with.clone())
        .map(|shared| admin::restore(&shared));
    let counts = warp::get()
        .and(warp::path!("counts"))
        .and(with)
        .map(|shared| admin::read_counts(&shared));
    vms.or(read)
        .unify()
        .or(set)
        .unify()
        .or(save)
        .unify()
        .or(restore)
        .unify()
        .or(counts)
        .unify()
        .map(Reply::into_response)
}

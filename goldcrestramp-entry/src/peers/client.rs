//! A client for calls to other VMs.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use http::{HeaderMap, Method};

use crate::{
    http::{CallPool, CallRequest, CloseMode, ConnectionReuse, TimeoutScope},
    peers::{
        PEER_PATH,
        message::{PeerCall, PeerReply},
    },
};

/// The default timeout of a call. Between regions a call takes 24 ms; a VM
/// that takes longer than this is overloaded.
const CALL_TIMEOUT: Duration = Duration::from_secs(1);

/// The timeout of a call that waits for changes. Its response begins at once
/// or within 0.4 s.
const UPDATE_TIMEOUT: Duration = Duration::from_millis(800);

/// The timeout of a call for the full store, whose response begins later
/// because it takes longer to build.
const SNAPSHOT_TIMEOUT: Duration = Duration::from_secs(2);

/// A snapshot of the store is some hundred kilobytes at most.
const MAX_RESPONSE_BYTES: usize = 16 * 1024 * 1024;

/// A client of the other VMs. It is cheap to clone.
#[derive(Clone, Debug)]
pub struct PeerClient {
    pool: Arc<CallPool>,
}

impl PeerClient {
    /// Creates a client; it connects on the first call.
    #[must_use]
    pub fn open() -> Self {
        let pool = CallPool::open(
            CloseMode::Close,
            TimeoutScope::ResponseHead,
            MAX_RESPONSE_BYTES,
        );
        Self { pool: Arc::new(pool) }
    }

    /// Makes a call with the timeout of its kind; returns `None` if no
    /// response arrived in time.
    pub async fn call(
        &self,
        address: SocketAddr,
        call: &PeerCall,
    ) -> Option<PeerReply> {
        let head_timeout = match call.sync_request() {
            Some(sync) if sync.known.revision == 0 => SNAPSHOT_TIMEOUT,
            Some(sync) if sync.wait => UPDATE_TIMEOUT,
            _ => CALL_TIMEOUT,
        };
        self.call_within(address, call, head_timeout).await
    }

    /// Makes a call whose response must begin within `head_timeout`.
    pub async fn call_within(
        &self,
        address: SocketAddr,
        call: &PeerCall,
        head_timeout: Duration,
    ) -> Option<PeerReply> {
        let body = postcard::to_allocvec(call).ok()?;
        let request = CallRequest {
            address,
            method: Method::POST,
            path: PEER_PATH.into(),
            headers: HeaderMap::new(),
            body: body.into(),
        };
        let response = self
            .pool
            .call(request, ConnectionReuse::Any, head_timeout)
            .await
            .ok()?;
        postcard::from_bytes(&response.body).ok()
    }
}

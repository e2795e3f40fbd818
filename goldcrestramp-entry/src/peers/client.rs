//! A client for calls to other VMs.

use std::{net::SocketAddr, sync::Arc};

use goldcrestramp_types::TimeSpan;
use http::{HeaderMap, Method};
use tokio::time::sleep;

use crate::{
    http::{CallPool, CallRequest, CloseMode, ConnectionReuse, TimeoutScope},
    peers::{
        PEER_PATH,
        busy::{BusySource, question_pool},
        message::{PeerCall, PeerReply},
    },
};

/// The default timeout of a call. Between regions a call takes 24 ms; a VM
/// that takes longer than this is overloaded.
const CALL_TIMEOUT: TimeSpan = TimeSpan::from_millis(1_000);

/// The timeout of a call that waits for changes. Its response begins at once
/// or within 0.4 s.
const UPDATE_TIMEOUT: TimeSpan = TimeSpan::from_millis(800);

/// The timeout of a call for the full store, whose response begins later
/// because it takes longer to build.
const SNAPSHOT_TIMEOUT: TimeSpan = TimeSpan::from_millis(2_000);

/// A snapshot of the store is some hundred kilobytes at most.
const MAX_RESPONSE_BYTES: usize = 16 * 1024 * 1024;

/// A client of the other VMs. It is cheap to clone.
#[derive(Clone, Debug)]
pub struct PeerClient {
    pool: Arc<CallPool>,
    /// For the question whether a VM is busy.
    questions: Arc<CallPool>,
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
        let questions = Arc::new(question_pool());
        Self { pool: Arc::new(pool), questions }
    }

    /// Makes a call with the timeout of its kind; returns `None` if no
    /// response arrived in time.
    pub async fn call(
        &self,
        address: SocketAddr,
        call: &PeerCall,
    ) -> Option<PeerReply> {
        let limit = sleep_for(head_timeout(call));
        self.call_until(address, call, limit).await
    }

    /// A VM that is waited for while it is busy, and that is asked at
    /// `address`.
    pub(crate) fn busy_source(
        &self,
        address: Option<SocketAddr>,
    ) -> BusySource {
        BusySource::new(address, Arc::clone(&self.questions))
    }

    /// Makes a call whose response must begin within `timeout`, the timeout of
    /// its kind if that is `None`, or later while `source`, which is the
    /// called VM, is busy.
    pub(crate) async fn call_while_busy(
        &self,
        address: SocketAddr,
        call: &PeerCall,
        timeout: Option<TimeSpan>,
        source: BusySource,
    ) -> Option<PeerReply> {
        let timeout = timeout.unwrap_or_else(|| head_timeout(call));
        let limit = source.wait(timeout);
        self.call_until(address, call, limit).await
    }

    /// Makes a call whose response must begin before `limit` ends.
    async fn call_until(
        &self,
        address: SocketAddr,
        call: &PeerCall,
        limit: impl Future<Output = ()>,
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
            .call_keeping(request, ConnectionReuse::Any, limit, |_reply| true)
            .await
            .ok()?;
        postcard::from_bytes(&response.body).ok()
    }
}

/// How long the response to a call may take to begin.
const fn head_timeout(call: &PeerCall) -> TimeSpan {
    match call.sync_request() {
        Some(sync) if sync.known.revision == 0 => SNAPSHOT_TIMEOUT,
        Some(sync) if sync.wait => UPDATE_TIMEOUT,
        _ => CALL_TIMEOUT,
    }
}

/// Sleeps for `span` from the first poll on.
async fn sleep_for(span: TimeSpan) {
    sleep(span.to_std()).await;
}

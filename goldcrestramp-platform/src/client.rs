//! The HTTP client of the platform's services.

use std::{sync::Arc, time::Duration};

use bytes::Bytes;
use goldcrestramp_types::TimeSpan;
use reqwest::{
    Client, Response, StatusCode,
    header::{ETAG, IF_MATCH, IF_NONE_MATCH},
};

use crate::{
    calls::{CallCounts, CallKind},
    protocol::{LeaseGrant, VmEntry},
    store::{PutCondition, PutOutcome, StoreAccess, StoreError, StoredValue},
};

/// The timeout of a call.
///
/// The service responds within milliseconds, so 2 s distinguish an outage from
/// a short delay.
const CALL_TIMEOUT: Duration = Duration::from_secs(2);

/// A client of one platform; cheap to clone.
#[derive(Clone, Debug)]
pub struct PlatformClient {
    base: Arc<str>,
    http: Client,
    counts: Arc<CallCounts>,
}

impl PlatformClient {
    /// Creates a client of the platform at the URL `base`, such as
    /// `http://127.0.0.1:7000`, without connecting.
    ///
    /// # Errors
    ///
    /// [`StoreError::Refused`] if the HTTP client can't be built.
    pub fn open(base: &str) -> Result<Self, StoreError> {
        let http = Client::builder()
            .connect_timeout(CALL_TIMEOUT)
            .no_proxy()
            .build()
            .map_err(|error| StoreError::Refused(error.to_string()))?;
        let base = Arc::from(base.trim_end_matches('/'));
        Ok(Self { base, http, counts: Arc::new(CallCounts::default()) })
    }

    /// The counts of the calls made so far.
    #[must_use]
    pub fn counts(&self) -> Arc<CallCounts> {
        Arc::clone(&self.counts)
    }

    /// Reads the platform's list of VMs.
    ///
    /// # Errors
    ///
    /// [`StoreError::Unavailable`] if the list can't be read.
    pub async fn vms(&self) -> Result<Vec<VmEntry>, StoreError> {
        self.counts.add(CallKind::VmList);
        let url = format!("{}/vms", self.base);
        let request = self.http.get(url).timeout(CALL_TIMEOUT);
        let response = request.send().await.map_err(unavailable)?;
        let response = response.error_for_status().map_err(unavailable)?;
        response.json().await.map_err(unavailable)
    }

    /// Ends a lease, so that the values bound to it are removed at once.
    ///
    /// # Errors
    ///
    /// A [`StoreError`] if the call fails; the lease then expires.
    pub async fn end(&self, lease: u64) -> Result<(), StoreError> {
        self.counts.add(CallKind::Lease);
        let url = format!("{}/leases/{lease}", self.base);
        let request = self.http.delete(url).timeout(CALL_TIMEOUT);
        let response = request.send().await.map_err(unavailable)?;
        match response.status() {
            StatusCode::OK | StatusCode::NOT_FOUND => Ok(()),
            status => Err(refused(status)),
        }
    }

    fn url(&self, key: &str) -> String {
        format!("{}/kv/{key}", self.base)
    }
}

impl StoreAccess for PlatformClient {
    async fn get(&self, key: &str) -> Result<Option<StoredValue>, StoreError> {
        self.counts.add(CallKind::Read);
        let request = self.http.get(self.url(key)).timeout(CALL_TIMEOUT);
        let response = request.send().await.map_err(unavailable)?;
        read_value(response).await
    }

    async fn watch(
        &self,
        key: &str,
        seen: u64,
        wait: TimeSpan,
    ) -> Result<Option<StoredValue>, StoreError> {
        self.counts.add(CallKind::Watch);
        let query = [("after", seen), ("wait_ms", wait.as_millis())];
        let request = self
            .http
            .get(with_query(&self.url(key), &query))
            .timeout(CALL_TIMEOUT + wait.to_std());
        let response = request.send().await.map_err(unavailable)?;
        read_value(response).await
    }

    async fn put(
        &self,
        key: &str,
        condition: PutCondition,
        value: Bytes,
        lease: Option<u64>,
    ) -> Result<PutOutcome, StoreError> {
        self.counts.add(CallKind::Write);
        let url = match lease {
            Some(lease) => with_query(&self.url(key), &[("lease", lease)]),
            None => self.url(key),
        };
        let request = self.http.put(url).timeout(CALL_TIMEOUT).body(value);
        let request = match condition {
            PutCondition::Absent => request.header(IF_NONE_MATCH, "*"),
            PutCondition::Version(version) => {
                request.header(IF_MATCH, format!("\"{version}\""))
            }
        };
        let response = request.send().await.map_err(failed_write)?;
        match response.status() {
            StatusCode::OK => version_of(&response)
                .map(PutOutcome::Written)
                .ok_or_else(|| StoreError::Unknown("no version".into())),
            StatusCode::PRECONDITION_FAILED => Ok(PutOutcome::Conflict),
            status => Err(refused_write(status)),
        }
    }

    async fn lease(&self, ttl: TimeSpan) -> Result<u64, StoreError> {
        self.counts.add(CallKind::Lease);
        let base = format!("{}/leases", self.base);
        let url = with_query(&base, &[("ttl_ms", ttl.as_millis())]);
        let request = self.http.post(url).timeout(CALL_TIMEOUT);
        let response = request.send().await.map_err(unavailable)?;
        let response = response.error_for_status().map_err(unavailable)?;
        let grant: LeaseGrant = response.json().await.map_err(unavailable)?;
        Ok(grant.lease)
    }

    async fn renew(&self, lease: u64) -> Result<bool, StoreError> {
        self.counts.add(CallKind::Lease);
        let url = format!("{}/leases/{lease}", self.base);
        let request = self.http.post(url).timeout(CALL_TIMEOUT);
        let response = request.send().await.map_err(unavailable)?;
        match response.status() {
            StatusCode::OK => Ok(true),
            StatusCode::NOT_FOUND => Ok(false),
            status => Err(refused(status)),
        }
    }
}

/// Reads a value and its version from a response.
async fn read_value(
    response: Response,
) -> Result<Option<StoredValue>, StoreError> {
    match response.status() {
        StatusCode::OK => {
            let version = version_of(&response)
                .ok_or_else(|| StoreError::Unavailable("no version".into()))?;
            let value = response.bytes().await.map_err(unavailable)?;
            Ok(Some(StoredValue { version, value }))
        }
        StatusCode::NOT_FOUND | StatusCode::NOT_MODIFIED => Ok(None),
        status => Err(refused(status)),
    }
}

fn with_query(url: &str, pairs: &[(&str, u64)]) -> String {
    let pairs: Vec<String> =
        pairs.iter().map(|(name, value)| format!("{name}={value}")).collect();
    format!("{url}?{}", pairs.join("&"))
}

fn version_of(response: &Response) -> Option<u64> {
    let text = response.headers().get(ETAG)?.to_str().ok()?;
    text.trim_matches('"').parse().ok()
}

#[expect(clippy::needless_pass_by_value, reason = "passed to map_err")]
fn unavailable(error: reqwest::Error) -> StoreError {
    StoreError::Unavailable(error.to_string())
}

/// Classifies a failed write. It had no effect if the connection could not be
/// opened; after any other failure the service may have carried it out.
#[expect(clippy::needless_pass_by_value, reason = "passed to map_err")]
fn failed_write(error: reqwest::Error) -> StoreError {
    if error.is_connect() {
        StoreError::Unavailable(error.to_string())
    } else {
        StoreError::Unknown(error.to_string())
    }
}

/// Classifies a refused call. A refusal for too many calls is treated as an
/// outage.
fn refused(status: StatusCode) -> StoreError {
    let busy = status == StatusCode::TOO_MANY_REQUESTS;
    if busy || status.is_server_error() {
        StoreError::Unavailable(status.to_string())
    } else {
        StoreError::Refused(status.to_string())
    }
}

/// Classifies a refused write.
///
/// A server error, such as 502 from an intermediary, may hide a write that
/// took effect. If it were treated as "no effect", an accepted ticket would
/// be reported to its operator as lost. Only a read can decide.
fn refused_write(status: StatusCode) -> StoreError {
    if status.is_server_error() {
        StoreError::Unknown(status.to_string())
    } else {
        refused(status)
    }
}

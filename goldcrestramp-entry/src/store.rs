//! The client of the platform's metadata store.

use std::{
    fmt,
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    time::Duration,
};

use goldcrestramp_adapter::{StoreCall, StoreItem, StoreReply};
use http::{
    HeaderMap, HeaderValue,
    header::{ACCEPT, CONTENT_TYPE},
};
use tokio::time::sleep;

use crate::http::{
    CallFailure, CallPool, CallRequest, CallResponse, CloseMode,
    ConnectionReuse, TimeoutScope,
};

/// The timeout of a call: the store responds in milliseconds, and in 250 ms
/// when it is slow.
const CALL_TIMEOUT: Duration = Duration::from_millis(1_500);

/// The timeout for the start of a page of items. It is longer, since pages of
/// several VMs may be queued ahead of it on a link, and a page that is given
/// up is requested again.
const PAGE_TIMEOUT: Duration = Duration::from_secs(4);

/// How long a page may take to begin before the store is asked whether it
/// responds to other calls, and how long that may take.
const PAGE_CHECK_INTERVAL: Duration = Duration::from_millis(500);
const PAGE_CHECK_TIMEOUT: Duration = Duration::from_millis(500);

/// A prefix with which no key begins.
const EMPTY_PREFIX: &str = "router/none/";

/// How often a page is requested again because the store responds to later
/// calls.
const MAX_PAGE_REPEATS: u32 = 2;

/// The maximum size of a response: at most a page of items, which is 1 MB and
/// a third more as text.
const MAX_RESPONSE_BYTES: usize = 4 * 1024 * 1024;

/// Why a call to the store got no usable response.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum StoreFailure {
    /// The call was not carried out.
    NotDone,
    /// The call may have been carried out, or may be later; read the result
    /// back.
    Unknown,
}

impl fmt::Display for StoreFailure {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::NotDone => write!(f, "not done"),
            Self::Unknown => write!(f, "effect unknown"),
        }
    }
}

impl std::error::Error for StoreFailure {}

/// All items whose keys begin with a prefix.
#[derive(Clone, Debug)]
pub struct StorePage {
    /// The items in the order of their keys.
    pub items: Vec<StoreItem>,
    /// The revision from which changes have to be followed.
    pub revision: u64,
}

/// A client of the store.
#[derive(Debug)]
pub struct StoreClient {
    address: SocketAddr,
    pool: CallPool,
}

impl StoreClient {
    /// Creates a client; nothing is sent yet.
    #[must_use]
    pub fn open(address: SocketAddr) -> Self {
        let pool = CallPool::open(
            CloseMode::Close,
            TimeoutScope::ResponseHead,
            MAX_RESPONSE_BYTES,
        );
        Self { address, pool }
    }

    /// Sends a call and decodes the response.
    ///
    /// # Errors
    ///
    /// A [`StoreFailure`] when the store can't be reached, refuses the call or
    /// sends a response that can't be decoded.
    pub async fn call(
        &self,
        call: &StoreCall,
    ) -> Result<StoreReply, StoreFailure> {
        let response = match call {
            StoreCall::Range { .. } => self.send_page_call(call).await,
            StoreCall::Watch { wait, .. } => {
                self.send(call, sleep(CALL_TIMEOUT + wait.to_std())).await
            }
            _ => self.send(call, sleep(CALL_TIMEOUT)).await,
        };
        let response = response.map_err(|failure| match failure {
            CallFailure::NotSent => StoreFailure::NotDone,
            CallFailure::Unknown | CallFailure::TimedOut => {
                StoreFailure::Unknown
            }
        })?;
        match call.decode(response.status, &response.body) {
            Ok(StoreReply::Refused(status)) => {
                log::debug!("[store] A call was refused: {status}.");
                Err(StoreFailure::NotDone)
            }
            Ok(reply) => Ok(reply),
            Err(error) => {
                log::warn!("[store] {error}.");
                Err(StoreFailure::Unknown)
            }
        }
    }

    /// Sends a call that is given up if `limit` ends before its response
    /// begins.
    async fn send(
        &self,
        call: &StoreCall,
        limit: impl Future<Output = ()>,
    ) -> Result<CallResponse, CallFailure> {
        let (method, path, body) = call.encode();
        let json = HeaderValue::from_static("application/json");
        let mut headers = HeaderMap::new();
        headers.insert(ACCEPT, json.clone());
        if !body.is_empty() {
            headers.insert(CONTENT_TYPE, json);
        }
        let address = self.address;
        let request = CallRequest { address, method, path, headers, body };
        let reuse = ConnectionReuse::Any;
        self.pool.call_keeping(request, reuse, limit, |_response| true).await
    }

    /// Reads a page. If the store responds to later calls but not to this one,
    /// its response is lost, and it is sent again.
    async fn send_page_call(
        &self,
        call: &StoreCall,
    ) -> Result<CallResponse, CallFailure> {
        let mut repeats = 0;
        loop {
            let is_lost = AtomicBool::new(false);
            let limit = async {
                tokio::select! {
                    () = sleep(PAGE_TIMEOUT) => {}
                    () = self.wait_for_later_response() => {
                        is_lost.store(true, Ordering::Relaxed);
                    }
                }
            };
            let response = self.send(call, limit).await;
            let is_lost = is_lost.load(Ordering::Relaxed);
            if !is_lost || response.is_ok() || repeats == MAX_PAGE_REPEATS {
                return response;
            }
            log::info!("[store] A page is read again: its response is lost.");
            repeats += 1;
        }
    }

    /// Waits until the store responds to a call that is sent after some time.
    async fn wait_for_later_response(&self) {
        loop {
            sleep(PAGE_CHECK_INTERVAL).await;
            let call = StoreCall::Range {
                prefix: EMPTY_PREFIX.into(),
                after: "".into(),
            };
            let response = self.send(&call, sleep(PAGE_CHECK_TIMEOUT)).await;
            if response.is_ok() {
                return;
            }
        }
    }

    /// Reads all items whose keys begin with `prefix`.
    ///
    /// Pages are not one snapshot, so the first page's revision is the one
    /// from which changes are followed: changes made while later pages were
    /// read are reported again.
    ///
    /// # Errors
    ///
    /// A [`StoreFailure`] when a page can't be read.
    pub async fn read_all(
        &self,
        prefix: &str,
    ) -> Result<StorePage, StoreFailure> {
        let mut page = StorePage { items: Vec::new(), revision: 0 };
        let mut after = "".into();
        loop {
            let call = StoreCall::Range { prefix: prefix.into(), after };
            let reply = self.call(&call).await?;
            let StoreReply::Page { items, truncated, revision } = reply else {
                return Err(StoreFailure::Unknown);
            };
            if page.revision == 0 {
                page.revision = revision;
            }
            let last = items.last().map(|item| Arc::clone(&item.key));
            page.items.extend(items);
            match last {
                Some(last) if truncated => after = last,
                _ => return Ok(page),
            }
        }
    }
}

//! The client of the platform's metadata store.

use std::{fmt, net::SocketAddr, sync::Arc, time::Duration};

use goldcrestramp_adapter::{StoreCall, StoreItem, StoreReply};
use http::{
    HeaderMap, HeaderValue,
    header::{ACCEPT, CONTENT_TYPE},
};

use crate::http::{
    CallFailure, CallPool, CallRequest, CloseMode, ConnectionReuse,
    TimeoutScope,
};

/// A call without an answer is given up after so long: the store answers
/// in milliseconds, and in a quarter of a second when it is slow.
const CALL_LIMIT: Duration = Duration::from_millis(1_500);

/// A page of items is waited for longer until it begins: pages of several
/// VMs may stand before it on a link, and one that is given up is asked for
/// again.
const PAGE_LIMIT: Duration = Duration::from_secs(4);

/// An answer is at most a page of items: 1 MB, a third more as text.
const MAX_RESPONSE_BYTES: usize = 4 * 1024 * 1024;

/// Why the store gave no usable answer.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum StoreFailure {
    /// Nothing was done.
    NotDone,
    /// It may have been done, or may be later: read it back.
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

/// Everything that begins with a prefix.
#[derive(Clone, Debug)]
pub struct StorePage {
    /// The items in the order of their keys.
    pub items: Vec<StoreItem>,
    /// A revision from which changes have to be followed.
    pub revision: u64,
}

/// A client of the store.
#[derive(Debug)]
pub struct StoreClient {
    address: SocketAddr,
    pool: CallPool,
}

impl StoreClient {
    /// Opens a client; nothing is sent yet.
    #[must_use]
    pub fn open(address: SocketAddr) -> Self {
        let pool = CallPool::open(
            CloseMode::Close,
            TimeoutScope::ResponseHead,
            MAX_RESPONSE_BYTES,
        );
        Self { address, pool }
    }

    /// Makes a call.
    ///
    /// # Errors
    ///
    /// A [`StoreFailure`] when the store can't be reached, turns the call
    /// away or gives an answer that can't be read.
    pub async fn call(
        &self,
        call: &StoreCall,
    ) -> Result<StoreReply, StoreFailure> {
        let (method, path, body) = call.encode();
        let json = HeaderValue::from_static("application/json");
        let mut headers = HeaderMap::new();
        headers.insert(ACCEPT, json.clone());
        if !body.is_empty() {
            headers.insert(CONTENT_TYPE, json);
        }
        let address = self.address;
        let request = CallRequest { address, method, path, headers, body };
        let limit = match call {
            StoreCall::Watch { wait, .. } => CALL_LIMIT + wait.to_std(),
            StoreCall::Range { .. } => PAGE_LIMIT,
            _ => CALL_LIMIT,
        };
        let answer =
            self.pool.call(request, ConnectionReuse::Any, limit).await;
        let answer = answer.map_err(|failure| match failure {
            CallFailure::NotSent => StoreFailure::NotDone,
            CallFailure::Unknown | CallFailure::TimedOut => {
                StoreFailure::Unknown
            }
        })?;
        match call.decode(answer.status, &answer.body) {
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

    /// Reads everything that begins with `prefix`.
    ///
    /// Pages are no snapshot, so the first page's revision is the one from
    /// which changes are followed: what changed while later pages were
    /// read is told again.
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

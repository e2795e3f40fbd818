//! The interface of a key-value service.

use std::fmt;

use bytes::Bytes;
use goldcrestramp_types::TimeSpan;

/// A value with its version.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct StoredValue {
    /// The version, which increases with each write of the key.
    pub version: u64,
    /// The value's bytes.
    pub value: Bytes,
}

/// The state that a key must be in for a write to take effect.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum PutCondition {
    /// The key has no value.
    Absent,
    /// The key has this version.
    Version(u64),
}

/// The service's response to a write.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum PutOutcome {
    /// The write took effect, at this version.
    Written(u64),
    /// The condition did not hold; nothing changed.
    Conflict,
}

/// Why a call to the store failed.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum StoreError {
    /// The call certainly had no effect.
    Unavailable(String),
    /// A write may or may not have taken effect, and has to be read back.
    Unknown(String),
    /// The service refused the call as too large, malformed or too frequent.
    Refused(String),
}

impl fmt::Display for StoreError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Unavailable(why) => write!(f, "no answer: {why}"),
            Self::Unknown(why) => write!(f, "effect unknown: {why}"),
            Self::Refused(why) => write!(f, "refused: {why}"),
        }
    }
}

impl std::error::Error for StoreError {}

/// A key-value service with compare-and-swap, leases and watches.
pub trait StoreAccess: Send + Sync + 'static {
    /// Reads a key.
    fn get(
        &self,
        key: &str,
    ) -> impl Future<Output = Result<Option<StoredValue>, StoreError>> + Send;

    /// Waits until a key's version differs from `seen`, at most for `wait`.
    ///
    /// `Ok(None)` if it has not changed. A version *below* `seen` is
    /// returned too: the store was restored from older data.
    fn watch(
        &self,
        key: &str,
        seen: u64,
        wait: TimeSpan,
    ) -> impl Future<Output = Result<Option<StoredValue>, StoreError>> + Send;

    /// Writes a key if its state matches `condition`. The value is bound to
    /// `lease`, if there is one.
    fn put(
        &self,
        key: &str,
        condition: PutCondition,
        value: Bytes,
        lease: Option<u64>,
    ) -> impl Future<Output = Result<PutOutcome, StoreError>> + Send;

    /// Opens a lease that expires after `ttl`, and returns its id.
    fn lease(
        &self,
        ttl: TimeSpan,
    ) -> impl Future<Output = Result<u64, StoreError>> + Send;

    /// Renews a lease; `Ok(false)` if it has ended.
    fn renew(
        &self,
        lease: u64,
    ) -> impl Future<Output = Result<bool, StoreError>> + Send;
}

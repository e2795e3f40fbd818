//! Resolves the outcome of a write whose response was lost.

use bytes::Bytes;

use crate::store::{
    PutCondition, PutOutcome, StoreAccess, StoreError, StoredValue,
};

/// The outcome of a write.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum WriteOutcome {
    /// The key holds the written value, at this version.
    Written(u64),
    /// The key is unchanged.
    ///
    /// The write may still be in flight. Retrying it under the same condition
    /// is safe, because only one of the two takes effect.
    Lost,
    /// The key holds another value, or none.
    ///
    /// The written value may have been stored for a while and then replaced.
    /// Where that matters, the new value must show it, as a configuration
    /// does by the tickets that it includes.
    Superseded(Option<StoredValue>),
}

/// Determines the outcome of a write from the value found in the key.
///
/// Values must identify their writers (by a token, a revision of a single
/// writer or a ticket's text), because a value with equal bytes counts as
/// the caller's own write.
#[must_use]
pub fn classify_write(
    condition: PutCondition,
    written: &Bytes,
    found: Option<StoredValue>,
) -> WriteOutcome {
    match (condition, found) {
        (PutCondition::Absent, None) => WriteOutcome::Lost,
        (PutCondition::Version(before), Some(found))
            if found.version == before =>
        {
            WriteOutcome::Lost
        }
        (_, Some(found)) if found.value == *written => {
            WriteOutcome::Written(found.version)
        }
        (_, found) => WriteOutcome::Superseded(found),
    }
}

/// Writes a key and, unless the response confirms the write, reads it back.
///
/// A conflict is read back too, because the caller's own earlier attempt may
/// have caused it.
///
/// # Errors
///
/// [`StoreError::Unknown`] if the response was lost, or was a conflict, and
/// the key can't be read back: it must be read before anything is decided.
/// After any other error, the write had no effect.
pub async fn resolve_write<S>(
    store: &S,
    key: &str,
    condition: PutCondition,
    value: Bytes,
    lease: Option<u64>,
) -> Result<WriteOutcome, StoreError>
where
    S: StoreAccess,
{
    let put = store.put(key, condition, value.clone(), lease).await;
    match put {
        Ok(PutOutcome::Written(version)) => Ok(WriteOutcome::Written(version)),
        Ok(PutOutcome::Conflict) | Err(StoreError::Unknown(_)) => {
            let found = store.get(key).await.map_err(unknown)?;
            Ok(classify_write(condition, &value, found))
        }
        Err(error) => Err(error),
    }
}

/// If the read fails, the write's outcome is unknown, whatever the error.
#[expect(clippy::needless_pass_by_value, reason = "passed to map_err")]
fn unknown(error: StoreError) -> StoreError {
    StoreError::Unknown(error.to_string())
}

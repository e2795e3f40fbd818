//! What became of a write whose answer was lost.

use bytes::Bytes;

use crate::store::{
    PutCondition, PutOutcome, StoreAccess, StoreError, StoredValue,
};

/// What became of a write.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum WriteOutcome {
    /// What was written stands, with this version.
    Written(u64),
    /// The key is still as it was before the write.
    ///
    /// The write may be under way yet; writing the same again under the
    /// same condition is safe, because only one of the two takes effect.
    Lost,
    /// The key holds something else, or nothing.
    ///
    /// The write may have stood for a while before; where that matters the
    /// value itself must tell, as a configuration does by the tickets that
    /// it has taken in.
    Superseded(Option<StoredValue>),
}

/// Compares what a key holds with what was written to it.
///
/// Values must tell their writers apart (a token, a revision by one
/// writer, a ticket's text): equal bytes count as the own write.
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

/// Writes a key and, unless the answer is certain, reads it back.
///
/// A conflict is read back too: a client's own earlier try may be what the
/// condition failed on.
///
/// # Errors
///
/// [`StoreError::Unknown`] when the write's answer was lost and the key
/// can't be read either: it is to be read before anything is decided. Any
/// other error: the write had no effect.
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

/// A failed read leaves the write's fate open, whatever the read's error.
#[expect(clippy::needless_pass_by_value, reason = "passed to map_err")]
fn unknown(error: StoreError) -> StoreError {
    StoreError::Unknown(error.to_string())
}

//! Run-length encoding of long arrays.

use super::error::RecordError;

/// Encodes runs of equal adjacent entries as `(length, entry)`.
pub(super) fn to_runs<T: Copy + PartialEq>(
    entries: impl IntoIterator<Item = T>,
) -> Vec<(u32, T)> {
    let mut runs: Vec<(u32, T)> = Vec::new();
    for entry in entries {
        match runs.last_mut() {
            Some((length, last)) if *last == entry => *length += 1,
            _ => runs.push((1, entry)),
        }
    }
    runs
}

/// Decodes the entries of `runs`, at most `limit` of them.
///
/// The lengths are checked before memory is allocated, so that a malformed
/// value can't cause an unbounded allocation.
pub(super) fn from_runs<T: Copy>(
    runs: &[(u32, T)],
    limit: usize,
) -> Result<Vec<T>, RecordError> {
    if runs.iter().any(|(length, _)| *length == 0) {
        return Err(RecordError::OutOfRange("length of a run"));
    }
    let total: u64 = runs.iter().map(|(length, _)| u64::from(*length)).sum();
    if usize::try_from(total).map_or(true, |total| total > limit) {
        return Err(RecordError::TooMany("slices"));
    }
    let repeated = runs.iter().flat_map(|(length, entry)| {
        std::iter::repeat_n(*entry, *length as usize)
    });
    Ok(repeated.collect())
}

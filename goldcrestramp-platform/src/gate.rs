//! Rejects older values when the store is restored from older data.

use bytes::Bytes;

use crate::{
    records::{NumberedRecord, RecordError},
    store::{PutCondition, StoredValue},
};

/// A write that restores the newest known value.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct StoreRewrite {
    /// The state of the key that it replaces.
    pub condition: PutCondition,
    /// The newest known value.
    pub value: Bytes,
}

/// The result of checking a value that was read.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum GateVerdict<R> {
    /// The value is newer than all previous ones and is accepted.
    Newer(R),
    /// The value is the newest known one.
    Same,
    /// The value is older than the newest known one: the store was restored.
    /// The process responsible for the record has to write the newer value
    /// again.
    Older(StoreRewrite),
    /// The value has the number of the newest known one, but other content:
    /// after a restore, another process made a change to the older data. The
    /// value is rejected, and an operator has to be informed.
    Forked,
    /// The value is malformed and is rejected.
    Malformed(RecordError),
    /// The key has no value, and none was known.
    Absent,
}

/// Tracks the newest known value of one key.
///
/// It compares the numbers inside the values, not the store's versions: a
/// restore resets those along with the data, and they are assigned again.
#[derive(Clone, Debug)]
pub struct VersionGate<R: NumberedRecord> {
    known: Option<(R::Number, Bytes)>,
}

impl<R: NumberedRecord> VersionGate<R> {
    /// Creates a gate without a known value.
    #[must_use]
    pub const fn new() -> Self {
        Self { known: None }
    }

    /// The number of the newest known value.
    #[must_use]
    pub fn number(&self) -> Option<R::Number> {
        self.known.as_ref().map(|(number, _)| *number)
    }

    /// Records a value that was not read through this gate, if it is newer.
    pub fn observe(&mut self, record: &R) {
        let newer = self.number().is_none_or(|known| known < record.number());
        if let Ok(value) = record.encode()
            && newer
        {
            self.known = Some((record.number(), value));
        }
    }

    /// Checks a value that was read, and records it if it is newer.
    pub fn check(&mut self, found: Option<&StoredValue>) -> GateVerdict<R> {
        let Some(found) = found else {
            return self.check_missing();
        };
        let record = match R::decode(&found.value) {
            Ok(record) => record,
            Err(error) => return GateVerdict::Malformed(error),
        };
        let number = record.number();
        if let Some((known, value)) = &self.known {
            if number < *known {
                let condition = PutCondition::Version(found.version);
                let value = value.clone();
                return GateVerdict::Older(StoreRewrite { condition, value });
            }
            if number == *known {
                return if found.value == *value {
                    GateVerdict::Same
                } else {
                    GateVerdict::Forked
                };
            }
        }
        self.known = Some((number, found.value.clone()));
        GateVerdict::Newer(record)
    }

    /// The verdict on a missing value: normal if none was known, otherwise the
    /// result of a restore.
    fn check_missing(&self) -> GateVerdict<R> {
        match &self.known {
            None => GateVerdict::Absent,
            Some((_, value)) => GateVerdict::Older(StoreRewrite {
                condition: PutCondition::Absent,
                value: value.clone(),
            }),
        }
    }
}

impl<R: NumberedRecord> Default for VersionGate<R> {
    fn default() -> Self {
        Self::new()
    }
}

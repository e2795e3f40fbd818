//! Versions that only rise, also when the store comes back with older data.

use bytes::Bytes;

use crate::{
    records::{NumberedRecord, RecordError},
    store::{PutCondition, StoredValue},
};

/// A write that puts the newest known value back.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct StoreRewrite {
    /// The older state that it replaces.
    pub condition: PutCondition,
    /// The newest known value.
    pub value: Bytes,
}

/// What a reader makes of a value that it has read.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum GateVerdict<R> {
    /// It is newer than all before: use it.
    Newer(R),
    /// It is what is known.
    Same,
    /// It is older than what is known: the store was restored. Whoever is
    /// to keep the record writes the newer value again.
    Older(StoreRewrite),
    /// It has the number of what is known, but says something else: after
    /// a restore somebody built on the older data. It is not taken, and
    /// an operator has to be told.
    Forked,
    /// It is malformed and not taken.
    Malformed(RecordError),
    /// There is no value, and none was known.
    Absent,
}

/// What a reader knows of one key.
///
/// It compares the numbers inside the values, not the store's versions:
/// those go back with the data, and are given out a second time.
#[derive(Clone, Debug)]
pub struct VersionGate<R: NumberedRecord> {
    known: Option<(R::Number, Bytes)>,
}

impl<R: NumberedRecord> VersionGate<R> {
    /// A reader that knows nothing yet.
    #[must_use]
    pub const fn new() -> Self {
        Self { known: None }
    }

    /// The newest known number.
    #[must_use]
    pub fn number(&self) -> Option<R::Number> {
        self.known.as_ref().map(|(number, _)| *number)
    }

    /// Takes what is known by another way than this reader's own reads.
    pub fn observe(&mut self, record: &R) {
        let newer = self.number().is_none_or(|known| known < record.number());
        if let Ok(value) = record.encode()
            && newer
        {
            self.known = Some((record.number(), value));
        }
    }

    /// Judges what was read.
    pub fn check(&mut self, found: Option<&StoredValue>) -> GateVerdict<R> {
        let Some(found) = found else {
            return self.gone();
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

    /// The key has no value: fine at the start, a restore later.
    fn gone(&self) -> GateVerdict<R> {
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

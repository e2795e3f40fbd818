//! The outcome of a write whose response was lost is read back.

use std::sync::Mutex;

use bytes::Bytes;
use goldcrestramp_platform::{
    PutCondition, PutOutcome, StoreAccess, StoreError, StoredValue,
    WriteOutcome, resolve_write,
};
use goldcrestramp_types::TimeSpan;

/// The behavior of a [`FakeStore`] on the next write.
#[derive(Clone, Copy, Debug)]
enum NextWrite {
    Confirmed,
    LostAfterEffect,
    LostBeforeEffect,
    LostAndReplaced,
}

/// A store of one key that responds immediately.
#[derive(Debug)]
struct FakeStore {
    value: Mutex<Option<StoredValue>>,
    next: NextWrite,
    readable: bool,
}

fn stored(version: u64, value: &'static str) -> StoredValue {
    StoredValue { version, value: Bytes::from_static(value.as_bytes()) }
}

fn store(next: NextWrite, readable: bool) -> FakeStore {
    let value = Mutex::new(Some(stored(4, "old")));
    FakeStore { value, next, readable }
}

impl StoreAccess for FakeStore {
    async fn get(
        &self,
        _key: &str,
    ) -> Result<Option<StoredValue>, StoreError> {
        if !self.readable {
            return Err(StoreError::Unavailable("outage".into()));
        }
        Ok(self.value.lock().expect("lock is not poisoned").clone())
    }

    async fn watch(
        &self,
        key: &str,
        _seen: u64,
        _wait: TimeSpan,
    ) -> Result<Option<StoredValue>, StoreError> {
        self.get(key).await
    }

    async fn put(
        &self,
        _key: &str,
        condition: PutCondition,
        value: Bytes,
        _lease: Option<u64>,
    ) -> Result<PutOutcome, StoreError> {
        let mut present = self.value.lock().expect("lock is not poisoned");
        let version = present.as_ref().map_or(0, |p| p.version);
        if condition != PutCondition::Version(version) {
            return Ok(PutOutcome::Conflict);
        }
        let lost = Err(StoreError::Unknown("cut".into()));
        let written = StoredValue { version: version + 1, value };
        match self.next {
            NextWrite::LostBeforeEffect => return lost,
            NextWrite::LostAndReplaced => *present = Some(stored(9, "other")),
            _ => *present = Some(written),
        }
        match self.next {
            NextWrite::Confirmed => Ok(PutOutcome::Written(version + 1)),
            _ => lost,
        }
    }

    async fn lease(&self, _ttl: TimeSpan) -> Result<u64, StoreError> {
        Ok(1)
    }

    async fn renew(&self, _lease: u64) -> Result<bool, StoreError> {
        Ok(true)
    }
}

async fn write(
    store: &FakeStore,
    before: u64,
) -> Result<WriteOutcome, StoreError> {
    let condition = PutCondition::Version(before);
    resolve_write(store, "key", condition, Bytes::from_static(b"new"), None)
        .await
}

#[tokio::test]
async fn each_outcome_is_determined_from_the_stored_value() {
    let other = WriteOutcome::Superseded(Some(stored(9, "other")));
    let cases = [
        (NextWrite::Confirmed, WriteOutcome::Written(5)),
        (NextWrite::LostAfterEffect, WriteOutcome::Written(5)),
        (NextWrite::LostBeforeEffect, WriteOutcome::Lost),
        (NextWrite::LostAndReplaced, other),
    ];
    for (next, outcome) in cases {
        let store = store(next, true);
        assert_eq!(write(&store, 4).await, Ok(outcome), "{next:?}");
    }
}

/// The first attempt takes effect but its response is lost, so the second
/// attempt gets a conflict. The conflict is with the caller's own write.
#[tokio::test]
async fn a_conflict_with_the_callers_own_write_is_reported_as_written() {
    let store = store(NextWrite::LostAfterEffect, true);
    assert_eq!(write(&store, 4).await, Ok(WriteOutcome::Written(5)));

    let again = write(&store, 4).await;

    assert_eq!(again, Ok(WriteOutcome::Written(5)));
}

/// The store becomes unavailable right after the write. The outcome must not
/// be reported as anything but unknown.
#[tokio::test]
async fn a_write_that_cannot_be_read_back_stays_unknown() {
    let store = store(NextWrite::LostAfterEffect, false);
    let outcome = write(&store, 4).await;
    assert!(matches!(outcome, Err(StoreError::Unknown(_))), "{outcome:?}");
}

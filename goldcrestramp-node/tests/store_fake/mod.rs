//! An in-memory key-value store with injected faults.

use std::{
    pin::Pin,
    sync::{Mutex, MutexGuard},
    task::{Context, Poll},
};

use bytes::Bytes;
use goldcrestramp_platform::{
    PutCondition, PutOutcome, StoreAccess, StoreError, StoredValue,
};
use goldcrestramp_types::TimeSpan;

/// How a write fails; each fault leaves its outcome unknown to the caller.
#[derive(Clone, Copy, Debug)]
pub enum WriteFault {
    /// It takes effect, and its response is lost.
    ResponseLost,
    /// It never arrives.
    RequestLost,
    /// It arrives later, with `deliver`.
    Late,
}

#[derive(Debug, Default)]
struct FakeState {
    value: Option<StoredValue>,
    history: Vec<Option<StoredValue>>,
    late: Vec<(PutCondition, Bytes)>,
    fault: Option<WriteFault>,
    down: bool,
    down_after_write: bool,
}

impl FakeState {
    fn put(&mut self, condition: PutCondition, value: Bytes) -> PutOutcome {
        let version = self.value.as_ref().map(|v| v.version);
        let is_met = match condition {
            PutCondition::Absent => version.is_none(),
            PutCondition::Version(wanted) => version == Some(wanted),
        };
        if !is_met {
            return PutOutcome::Conflict;
        }
        self.history.push(self.value.clone());
        let version = version.unwrap_or(0) + 1;
        self.value = Some(StoredValue { version, value });
        PutOutcome::Written(version)
    }
}

/// A store of a single key; each call yields once before it takes effect.
#[derive(Debug, Default)]
pub struct StoreFake {
    state: Mutex<FakeState>,
}

impl StoreFake {
    fn lock(&self) -> MutexGuard<'_, FakeState> {
        self.state.lock().expect("lock is not poisoned")
    }

    /// Makes the next write fail with `fault`.
    pub fn fail_next_write(&self, fault: WriteFault) {
        self.lock().fault = Some(fault);
    }

    /// Takes the store down once the next write is processed.
    pub fn go_down_after_next_write(&self) {
        self.lock().down_after_write = true;
    }

    /// Takes the store down, or up again.
    pub fn set_down(&self, down: bool) {
        self.lock().down = down;
    }

    /// Delivers the late writes.
    pub fn deliver(&self) {
        let mut state = self.lock();
        for (condition, value) in std::mem::take(&mut state.late) {
            state.put(condition, value);
        }
    }

    /// Restores the value from before the last `writes` writes; late writes
    /// are lost.
    pub fn roll_back(&self, writes: usize) {
        let mut state = self.lock();
        state.late.clear();
        for _ in 0..writes {
            let Some(previous) = state.history.pop() else { return };
            state.value = previous;
        }
    }

    /// The stored bytes; empty if nothing is stored.
    pub fn value(&self) -> Bytes {
        let state = self.lock();
        state.value.as_ref().map(|v| v.value.clone()).unwrap_or_default()
    }

    /// Stores these bytes as version 1.
    pub fn set_value(&self, value: &'static [u8]) {
        let value = Bytes::from_static(value);
        self.lock().value = Some(StoredValue { version: 1, value });
    }
}

impl StoreAccess for StoreFake {
    async fn get(
        &self,
        _key: &str,
    ) -> Result<Option<StoredValue>, StoreError> {
        YieldOnce::default().await;
        let state = self.lock();
        if state.down {
            return Err(StoreError::Unavailable("down".to_owned()));
        }
        Ok(state.value.clone())
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
        YieldOnce::default().await;
        let mut state = self.lock();
        if state.down {
            return Err(StoreError::Unavailable("down".to_owned()));
        }
        state.down = std::mem::take(&mut state.down_after_write);
        match state.fault.take() {
            None => return Ok(state.put(condition, value)),
            Some(WriteFault::ResponseLost) => {
                state.put(condition, value);
            }
            Some(WriteFault::RequestLost) => {}
            Some(WriteFault::Late) => state.late.push((condition, value)),
        }
        Err(StoreError::Unknown("lost".to_owned()))
    }

    async fn lease(&self, _ttl: TimeSpan) -> Result<u64, StoreError> {
        Err(StoreError::Refused("not used here".to_owned()))
    }

    async fn renew(&self, _lease: u64) -> Result<bool, StoreError> {
        Ok(false)
    }
}

/// Is pending once, so that a test decides which call proceeds.
#[derive(Debug, Default)]
struct YieldOnce {
    yielded: bool,
}

impl Future for YieldOnce {
    type Output = ();

    fn poll(mut self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<()> {
        if self.yielded {
            return Poll::Ready(());
        }
        self.yielded = true;
        Poll::Pending
    }
}

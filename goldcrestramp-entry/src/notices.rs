//! What servers have stated to this VM, known to both threads.

use std::sync::{
    Arc, Mutex, MutexGuard, PoisonError,
    atomic::{AtomicBool, Ordering},
};

use goldcrestramp_assignment::ServerInstance;
use goldcrestramp_decisions::ServerNotices;
use goldcrestramp_types::{LocalTime, TimeSpan};

/// An instance of a server, whatever the address at which it is reached.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct InstanceKey {
    /// The server's id.
    pub id: Arc<str>,
    /// The start time of the instance, in Unix milliseconds.
    pub started_ms: u64,
}

impl From<&ServerInstance> for InstanceKey {
    fn from(instance: &ServerInstance) -> Self {
        let ServerInstance { id, started_ms, .. } = instance;
        Self { id: Arc::clone(id), started_ms: *started_ms }
    }
}

#[derive(Debug, Default)]
struct BoardState {
    notices: Mutex<ServerNotices<InstanceKey>>,
    /// Whether there are any notices; usually there are none.
    has_any: AtomicBool,
}

/// The notices of servers; a clone refers to the same ones.
#[derive(Clone, Debug, Default)]
pub struct NoticeBoard(Arc<BoardState>);

impl NoticeBoard {
    /// Records that a server wants no request from this VM for `span`; returns
    /// whether it was in no backoff before.
    pub(crate) fn record_backoff(
        &self,
        now: LocalTime,
        instance: &ServerInstance,
        span: TimeSpan,
    ) -> bool {
        let begins = self.lock().record_backoff(now, instance.into(), span);
        self.0.has_any.store(true, Ordering::Relaxed);
        if begins {
            let (id, millis) = (&instance.id, span.as_millis());
            log::info!(
                "[backoff] Server {id} wants no requests for {millis} ms."
            );
        }
        begins
    }

    /// The end of a server's backoff, if it is in one.
    pub(crate) fn backoff_until(
        &self,
        now: LocalTime,
        instance: &ServerInstance,
    ) -> Option<LocalTime> {
        if !self.0.has_any.load(Ordering::Relaxed) {
            return None;
        }
        self.lock().backoff_until(now, &instance.into())
    }

    /// Removes what no longer matters.
    pub(crate) fn retain(&self, now: LocalTime) {
        let mut notices = self.lock();
        notices.retain(now);
        self.0.has_any.store(!notices.is_empty(), Ordering::Relaxed);
    }

    fn lock(&self) -> MutexGuard<'_, ServerNotices<InstanceKey>> {
        // The notices remain valid if a thread panicked while it held the
        // lock.
        self.0.notices.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

//! What servers have stated to this VM, known to both threads.

use std::sync::{
    Arc, Mutex, MutexGuard, PoisonError,
    atomic::{AtomicBool, Ordering},
};

use goldcrestramp_assignment::ServerInstance;
use goldcrestramp_decisions::ServerNotices;
use goldcrestramp_types::{LocalTime, TimeSpan};
use serde::{Deserialize, Serialize};

use crate::view::FleetView;

/// An instance of a server, whatever the address at which it is reached.
#[derive(Clone, Debug, Eq, Hash, PartialEq, Serialize, Deserialize)]
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

impl InstanceKey {
    fn identifies(&self, instance: &ServerInstance) -> bool {
        self.id == instance.id && self.started_ms == instance.started_ms
    }
}

/// What the owners of keys have stated to one VM.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct NoticeReport {
    /// The name of the VM.
    pub vm: Arc<str>,
    /// The owners that are leaving.
    pub leaving: Vec<InstanceKey>,
    /// The owners in a backoff, each with the remaining time.
    pub backoffs: Vec<(InstanceKey, TimeSpan)>,
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
        if !self.has_any() {
            return None;
        }
        self.lock().backoff_until(now, &instance.into())
    }

    /// Records that a server is leaving; returns whether that is new.
    pub(crate) fn record_leaving(
        &self,
        now: LocalTime,
        key: InstanceKey,
    ) -> bool {
        let id = Arc::clone(&key.id);
        let is_new = self.lock().record_leaving(now, key);
        self.0.has_any.store(true, Ordering::Relaxed);
        if is_new {
            log::info!("[leaving] Server {id} says that it is leaving.");
        }
        is_new
    }

    /// Since when a server has been known to be leaving, if it is.
    pub(crate) fn leaving_since(
        &self,
        instance: &ServerInstance,
    ) -> Option<LocalTime> {
        if !self.has_any() {
            return None;
        }
        self.lock().leaving_since(&instance.into())
    }

    /// Whether a server is known to be leaving.
    pub(crate) fn is_leaving(&self, instance: &ServerInstance) -> bool {
        self.leaving_since(instance).is_some()
    }

    /// What the owners of keys have stated, for the VM that plans; `None` if
    /// that is nothing.
    pub(crate) fn report(
        &self,
        now: LocalTime,
        vm: &Arc<str>,
        view: &FleetView,
    ) -> Option<NoticeReport> {
        if !self.has_any() {
            return None;
        }
        let is_owner = |key: &InstanceKey| {
            view.owners().any(|owner| key.identifies(owner))
        };
        let notices = self.lock();
        let leaving = notices.leaving().filter(|key| is_owner(key));
        let backoffs = notices.backoffs(now);
        let backoffs = backoffs.filter(|(key, _until)| is_owner(key));
        let backoffs =
            backoffs.map(|(key, until)| (key.clone(), until.since(now)));
        let report = NoticeReport {
            vm: Arc::clone(vm),
            leaving: leaving.cloned().collect(),
            backoffs: backoffs.collect(),
        };
        let is_empty = report.leaving.is_empty() && report.backoffs.is_empty();
        (!is_empty).then_some(report)
    }

    /// Removes what no longer matters.
    pub(crate) fn retain(&self, now: LocalTime, view: &FleetView) {
        let is_listed = |key: &InstanceKey| {
            let entry = view.servers.get(&key.id);
            entry.is_some_and(|entry| entry.started_ms == key.started_ms)
        };
        let mut notices = self.lock();
        notices.retain(now, is_listed);
        self.0.has_any.store(!notices.is_empty(), Ordering::Relaxed);
    }

    /// Whether any server has stated anything that matters now.
    pub(crate) fn has_any(&self) -> bool {
        self.0.has_any.load(Ordering::Relaxed)
    }

    fn lock(&self) -> MutexGuard<'_, ServerNotices<InstanceKey>> {
        // The notices remain valid if a thread panicked while it held the
        // lock.
        self.0.notices.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

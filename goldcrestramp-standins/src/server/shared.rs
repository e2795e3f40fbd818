//! State that the handlers of one server share.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use goldcrestramp_types::TimeSpan;
use goldcrestramp_wire::server::{RequestReport, RequestState};
use rand::Rng;
use tokio::sync::{OwnedSemaphorePermit, Semaphore, watch};

use crate::{
    records::MachineTime,
    server::{behaviour::ServerBehaviour, state::ServerState},
};

/// The shared state of one server.
#[derive(Debug)]
pub(super) struct ServerShared {
    pub(super) run: u64,
    started_at: MachineTime,
    pub(super) behaviour: ServerBehaviour,
    pub(super) frozen: watch::Sender<bool>,
    state: Mutex<ServerState>,
    /// When the load endpoint last sampled the busy slots, and their number.
    sample: Mutex<(MachineTime, usize)>,
    slots: Arc<Semaphore>,
    queue: Arc<Semaphore>,
}

impl ServerShared {
    pub(super) fn new(
        run: u64,
        behaviour: ServerBehaviour,
        state: ServerState,
    ) -> Self {
        Self {
            run,
            started_at: MachineTime::now(),
            frozen: watch::Sender::new(false),
            state: Mutex::new(state),
            sample: Mutex::default(),
            slots: Arc::new(Semaphore::new(behaviour.slots)),
            queue: Arc::new(Semaphore::new(behaviour.queue)),
            behaviour,
        }
    }

    /// Locks the state; a poisoned lock still holds usable state.
    pub(super) fn state(&self) -> MutexGuard<'_, ServerState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Creates the report that a keeper receives for a request in this state.
    pub(super) fn report(&self, state: RequestState) -> RequestReport {
        let age = MachineTime::now().millis_since(self.started_at);
        let age = TimeSpan::from_millis(age);
        RequestReport { state, run: self.run, age }
    }

    /// Waits until the server is not frozen.
    ///
    /// A lost server stays frozen forever: its open connections stay silent,
    /// as those of a lost machine do.
    pub(super) async fn thawed(&self) {
        let mut frozen = self.frozen.subscribe();
        if frozen.wait_for(|frozen| !*frozen).await.is_err() {
            std::future::pending::<()>().await;
        }
    }

    /// The slots in use.
    pub(super) fn busy(&self) -> usize {
        self.behaviour.slots - self.slots.available_permits()
    }

    /// The slots in use as the lagging endpoint reports them.
    pub(super) fn lagging_busy(&self) -> usize {
        let now = MachineTime::now();
        let busy = self.busy();
        let sample = self.sample.lock();
        let mut sample = sample.unwrap_or_else(PoisonError::into_inner);
        if now.millis_since(sample.0) >= self.behaviour.lag_ms {
            *sample = (now, busy);
        }
        sample.1
    }

    /// Acquires a slot, waiting for it if the queue has room.
    pub(super) async fn take_slot(&self) -> Option<OwnedSemaphorePermit> {
        if self.sheds() {
            return None;
        }
        if let Ok(slot) = Arc::clone(&self.slots).try_acquire_owned() {
            return Some(slot);
        }
        let _queued = Arc::clone(&self.queue).try_acquire_owned().ok()?;
        Arc::clone(&self.slots).acquire_owned().await.ok()
    }

    /// Whether the next request is refused because of a fault of the server.
    fn sheds(&self) -> bool {
        let mut state = self.state();
        let percent = state.faults.shed_percent;
        state.faults.draining || state.draws.random_range(0..100) < percent
    }
}

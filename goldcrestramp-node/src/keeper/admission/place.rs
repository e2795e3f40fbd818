//! A request's place in the queue of a server.

use std::sync::Arc;

use goldcrestramp_decisions::{QueueRefusal, RequestKey};
use goldcrestramp_types::{RequestClass, SliceIndex};
use tokio::sync::oneshot;

use super::ServerAdmission;
use crate::keeper::slot::{ServerSlot, SlotEnd};

/// A place in the queue; dropped, it is given up.
#[derive(Debug)]
pub(crate) struct QueuePlace {
    pub(super) admission: Arc<ServerAdmission>,
    pub(super) key: RequestKey,
    pub(super) class: RequestClass,
    pub(super) slice: SliceIndex,
    pub(super) turned: oneshot::Receiver<Result<(), QueueRefusal>>,
    pub(super) left: bool,
}

impl QueuePlace {
    /// Waits for the turn; may be called again after it was dropped.
    ///
    /// # Errors
    ///
    /// The refusal of a request that was given up.
    pub(crate) async fn turn(&mut self) -> Result<ServerSlot, QueueRefusal> {
        let turned = (&mut self.turned).await;
        self.left = true;
        match turned {
            Ok(Err(refusal)) => Err(refusal),
            // The sender lives in the state, which the place keeps.
            Ok(Ok(())) | Err(_) => Ok(ServerSlot::new(
                Arc::clone(&self.admission),
                self.key,
                self.class,
                self.slice,
            )),
        }
    }
}

impl Drop for QueuePlace {
    fn drop(&mut self) {
        if self.left {
            return;
        }
        let now = self.admission.now();
        let mut state = self.admission.lock();
        let waited = state.waiters.remove(&self.key).is_some();
        if waited {
            state.queue.cancel(self.key);
        } else {
            // Its turn came as it left: the slot is free again. One that
            // was given up is not known any more, which is no harm.
            self.turned.close();
            if let Ok(Ok(())) = self.turned.try_recv() {
                let end = SlotEnd::Cancelled;
                state.limit.replied(now);
                state.finish(now, self.key, self.class, end);
            }
        }
        self.admission.pump(&mut state, now);
    }
}

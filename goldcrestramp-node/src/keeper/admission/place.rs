//! A request's place in the queue of a server.

use std::sync::Arc;

use goldcrestramp_decisions::{QueueRefusal, RequestKey};
use goldcrestramp_types::{RequestClass, SliceIndex};
use tokio::sync::oneshot;

use super::ServerAdmission;
use crate::keeper::slot::{ServerSlot, SlotEnd};

/// A place in the queue; dropping it removes the request.
#[derive(Debug)]
pub(crate) struct QueuePlace {
    pub(super) admission: Arc<ServerAdmission>,
    pub(super) key: RequestKey,
    pub(super) class: RequestClass,
    pub(super) slice: SliceIndex,
    pub(super) receiver: oneshot::Receiver<Result<(), QueueRefusal>>,
    pub(super) resolved: bool,
}

impl QueuePlace {
    /// Waits until the request may start. Cancel safe: it may be called again
    /// after its future was dropped.
    ///
    /// # Errors
    ///
    /// The queue gave up the request.
    pub(crate) async fn wait(&mut self) -> Result<ServerSlot, QueueRefusal> {
        let start = (&mut self.receiver).await;
        self.resolved = true;
        match start {
            Ok(Err(refusal)) => Err(refusal),
            // The sender is in the state, which this place keeps alive.
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
        if self.resolved {
            return;
        }
        let now = self.admission.now();
        let mut state = self.admission.lock();
        let was_waiting = state.waiters.remove(&self.key).is_some();
        if was_waiting {
            state.queue.cancel(self.key);
        } else {
            // The request was started while it was dropped, so its slot is
            // freed. If it was given up, the queue no longer knows it, which
            // is fine.
            self.receiver.close();
            if let Ok(Ok(())) = self.receiver.try_recv() {
                let end = SlotEnd::Cancelled;
                state.limit.replied(now);
                state.finish(now, self.key, self.class, end);
            }
        }
        self.admission.pump(&mut state, now);
    }
}

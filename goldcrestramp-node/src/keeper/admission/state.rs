//! The state of one server's admission, behind its lock.

use goldcrestramp_decisions::{
    CompletionOutcome, OwnerAdvice, QueueRefusal, RequestKey, ServerLimit,
    ServerQueue, ServerSignal,
};
use goldcrestramp_types::{FastMap, LocalTime, RequestClass};
use tokio::sync::oneshot;

use crate::keeper::slot::SlotEnd;

/// A waiting request.
#[derive(Debug)]
pub(super) struct Waiter {
    pub(super) class: RequestClass,
    pub(super) sender: oneshot::Sender<Result<(), QueueRefusal>>,
}

/// The queue and limit of one server, and the waiting requests.
#[derive(Debug)]
pub(super) struct AdmissionState {
    pub(super) queue: ServerQueue,
    pub(super) limit: ServerLimit,
    pub(super) waiters: FastMap<RequestKey, Waiter>,
    /// The advice that was last logged.
    pub(super) advice: OwnerAdvice,
    /// The instance of the server that the limit knows.
    pub(super) instance: Option<u64>,
    /// When the timer task runs next.
    pub(super) timer_at: Option<LocalTime>,
}

impl AdmissionState {
    pub(super) fn apply_limit(&mut self, now: LocalTime) {
        self.queue.set_limit(self.limit.verdict(now));
    }

    pub(super) fn start(&mut self, now: LocalTime, key: RequestKey) {
        let Some(waiter) = self.waiters.remove(&key) else { return };
        self.limit.started(now, waiter.class);
        if waiter.sender.send(Ok(())).is_err() {
            // Its caller disconnected while it was being started.
            self.limit.replied(now);
            self.finish(now, key, waiter.class, SlotEnd::Cancelled);
        }
    }

    pub(super) fn give_up(&mut self, key: RequestKey, refusal: QueueRefusal) {
        if let Some(waiter) = self.waiters.remove(&key) {
            // A caller that disconnected needs no response.
            let _sent = waiter.sender.send(Err(refusal));
        }
    }

    pub(super) fn finish(
        &mut self,
        now: LocalTime,
        key: RequestKey,
        class: RequestClass,
        end: SlotEnd,
    ) {
        let (outcome, sign) = match end {
            SlotEnd::Responded(span) => (
                CompletionOutcome::Answered,
                ServerSignal::Responded(class, span),
            ),
            SlotEnd::Refused => {
                (CompletionOutcome::Refused, ServerSignal::Refused)
            }
            SlotEnd::PassEnded => {
                (CompletionOutcome::Refused, ServerSignal::Cancelled)
            }
            SlotEnd::Unreachable => {
                (CompletionOutcome::Refused, ServerSignal::Unreachable)
            }
            SlotEnd::Broken => {
                (CompletionOutcome::Broken, ServerSignal::Broken)
            }
            SlotEnd::Cancelled => {
                (CompletionOutcome::Broken, ServerSignal::Cancelled)
            }
        };
        self.queue.finished(now, key, outcome);
        self.limit.finished(now, sign, rand::random());
    }

    pub(super) fn wake_at(&self, now: LocalTime) -> Option<LocalTime> {
        let wakes = [self.queue.wake_at(), self.limit.wake_at(now)];
        wakes.into_iter().flatten().min()
    }
}

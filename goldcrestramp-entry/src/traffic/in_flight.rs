//! What is open on a VM: connections and requests that are due a response.
//!
//! A stop logs it at each of its phases.

use std::{
    cell::{Cell, RefCell},
    rc::Rc,
};

use goldcrestramp_types::{ClockSource, FastMap, LocalTime, MonotonicClock};
use tokio::sync::Notify;

/// The maximum number of requests that a phase of a stop logs by name.
const MAX_NAMED: usize = 16;

/// The number of open connections, or of open listeners.
#[derive(Debug, Default)]
pub(crate) struct OpenCount {
    open: Cell<usize>,
    changed: Notify,
}

impl OpenCount {
    /// Counts one until the guard is dropped.
    pub(crate) fn enter(self: &Rc<Self>) -> OpenGuard {
        self.open.set(self.open.get() + 1);
        OpenGuard(Rc::clone(self))
    }

    pub(super) const fn open(&self) -> usize {
        self.open.get()
    }

    /// Waits until none is open.
    pub(super) async fn wait_empty(&self) {
        loop {
            let changed = self.changed.notified();
            if self.open.get() == 0 {
                return;
            }
            changed.await;
        }
    }
}

/// One open connection or listener; dropping it decrements the count.
#[derive(Debug)]
pub(crate) struct OpenGuard(Rc<OpenCount>);

impl Drop for OpenGuard {
    fn drop(&mut self) {
        self.0.open.set(self.0.open.get() - 1);
        self.0.changed.notify_waiters();
    }
}

/// How a caller's connection ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum ConnectionEnd {
    /// All responses that were due are written.
    Completed,
    /// The caller closed it.
    Left,
    /// The caller read too slowly.
    Stalled,
    /// It could not be read or written, or a response broke off.
    Failed,
}

impl ConnectionEnd {
    /// The stable code in logs and counters, for a connection on which
    /// responses were due or none was.
    pub(super) const fn code(self, is_due: bool) -> &'static str {
        match (self, is_due) {
            (Self::Completed, false) => "completed",
            (Self::Completed, true) => "completed-due",
            (Self::Left, false) => "left",
            (Self::Left, true) => "left-due",
            (Self::Stalled, _) => "stalled",
            (Self::Failed, false) => "failed",
            (Self::Failed, true) => "failed-due",
        }
    }
}

/// Identifies a request on the board.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
struct RequestKey(u64);

#[derive(Debug)]
struct DueRequest {
    attempt: Box<str>,
    arrived: LocalTime,
}

/// The requests that were read and have no response yet.
#[derive(Debug, Default)]
pub(super) struct RequestBoard {
    next: Cell<u64>,
    due: RefCell<FastMap<RequestKey, DueRequest>>,
}

impl RequestBoard {
    /// Lists a request until the guard is dropped.
    pub(super) fn enter(self: &Rc<Self>, attempt: &str) -> RequestGuard {
        let key = RequestKey(self.next.get());
        self.next.set(key.0 + 1);
        let arrived = MonotonicClock.now();
        let request = DueRequest { attempt: attempt.into(), arrived };
        self.due.borrow_mut().insert(key, request);
        RequestGuard { board: Rc::clone(self), key }
    }

    pub(super) fn len(&self) -> usize {
        self.due.borrow().len()
    }

    /// Logs the oldest requests.
    pub(super) fn log_oldest(&self) {
        let now = MonotonicClock.now();
        let due = self.due.borrow();
        let mut oldest: Vec<&DueRequest> = due.values().collect();
        oldest.sort_unstable_by_key(|request| request.arrived);
        for request in oldest.into_iter().take(MAX_NAMED) {
            log::info!(
                request = &*request.attempt,
                held_ms = now.since(request.arrived).as_millis();
                "[stop] A request is in flight."
            );
        }
    }
}

/// A request on the board; dropping it removes the request.
#[derive(Debug)]
pub(super) struct RequestGuard {
    board: Rc<RequestBoard>,
    key: RequestKey,
}

impl Drop for RequestGuard {
    fn drop(&mut self) {
        self.board.due.borrow_mut().remove(&self.key);
    }
}

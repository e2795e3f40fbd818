//! The attempts of one request that are in flight.
//!
//! An overdue attempt stays in flight beside the one that replaces it. The
//! server may still respond, and whether a replacement can be made is known
//! only when it is sent.

use std::{
    cell::Cell,
    fmt,
    future::poll_fn,
    pin::Pin,
    rc::Rc,
    task::{Context, Poll},
};

use goldcrestramp_types::LocalTime;

use crate::traffic::{
    attempt::AttemptOutcome, crash::SuspectSlot, relay_vms::RelayVm,
    server::ServerState,
};

/// Why an attempt is overdue: another server should get the request, too.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum OverdueCause {
    /// No response arrived within the timeout of the attempt.
    Silent,
    /// Another server owns the key now.
    OwnerChanged,
    /// This VM is partitioned from the servers now.
    Partitioned,
}

impl OverdueCause {
    /// The outcome of an attempt that ends for this cause.
    pub(super) const fn outcome(self) -> AttemptOutcome {
        match self {
            Self::Silent => AttemptOutcome::TimedOut,
            Self::OwnerChanged => AttemptOutcome::OwnerChanged,
            Self::Partitioned => AttemptOutcome::Partitioned,
        }
    }
}

/// Tells the request that an attempt is overdue.
#[derive(Clone, Debug, Default)]
pub(crate) struct OverdueSignal(Rc<Cell<Option<OverdueCause>>>);

impl OverdueSignal {
    pub(super) fn report(&self, cause: OverdueCause) {
        self.0.set(Some(cause));
    }
}

/// Where an attempt was sent.
#[derive(Clone, Debug)]
pub(super) enum AttemptTarget {
    Server {
        server: Rc<ServerState>,
        /// The token of the assignment by which the server was chosen.
        token: Option<u64>,
    },
    /// Another VM, to which the request was passed.
    Vm(Rc<RelayVm>),
}

/// An attempt in flight.
pub(super) struct PendingAttempt<'a> {
    pub(super) target: AttemptTarget,
    pub(super) sent_at: LocalTime,
    /// Held until the attempt is overdue or ends.
    pub(super) suspect: Option<SuspectSlot>,
    pub(super) signal: OverdueSignal,
    pub(super) is_overdue: bool,
    pub(super) work: Pin<Box<dyn Future<Output = AttemptOutcome> + 'a>>,
}

impl fmt::Debug for PendingAttempt<'_> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("PendingAttempt")
            .field("target", &self.target)
            .field("sent_at", &self.sent_at)
            .field("is_overdue", &self.is_overdue)
            .finish_non_exhaustive()
    }
}

/// What happened to an attempt.
#[expect(
    clippy::large_enum_variant,
    reason = "it is matched at once and kept nowhere"
)]
#[derive(Debug)]
pub(super) enum AttemptEvent<'a> {
    Overdue { target: AttemptTarget, sent_at: LocalTime, cause: OverdueCause },
    Ended(PendingAttempt<'a>, AttemptOutcome),
}

/// The attempts in flight; dropping it cancels them.
#[derive(Debug, Default)]
pub(super) struct AttemptSet<'a>(Vec<PendingAttempt<'a>>);

impl<'a> AttemptSet<'a> {
    pub(super) fn push(&mut self, attempt: PendingAttempt<'a>) {
        self.0.push(attempt);
    }

    pub(super) const fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    /// Whether an attempt is not overdue.
    pub(super) fn has_current(&self) -> bool {
        self.0.iter().any(|attempt| !attempt.is_overdue)
    }

    /// Waits until an attempt is overdue or ends; without attempts, for ever.
    pub(super) async fn next(&mut self) -> AttemptEvent<'a> {
        poll_fn(|cx| self.poll_next(cx)).await
    }

    fn poll_next(&mut self, cx: &mut Context<'_>) -> Poll<AttemptEvent<'a>> {
        for position in 0..self.0.len() {
            let attempt = &mut self.0[position];
            if let Poll::Ready(outcome) = attempt.work.as_mut().poll(cx) {
                let attempt = self.0.remove(position);
                return Poll::Ready(AttemptEvent::Ended(attempt, outcome));
            }
            if let Some(cause) = attempt.signal.0.take() {
                attempt.is_overdue = true;
                attempt.suspect = None;
                return Poll::Ready(AttemptEvent::Overdue {
                    target: attempt.target.clone(),
                    sent_at: attempt.sent_at,
                    cause,
                });
            }
        }
        Poll::Pending
    }
}

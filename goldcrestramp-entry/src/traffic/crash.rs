//! Refuses requests under which servers have ended.

use std::{cell::RefCell, rc::Rc};

use goldcrestramp_assignment::ServerInstance;
use goldcrestramp_decisions::LostAttempt;
use goldcrestramp_types::{
    ClockSource, FastSet, LocalTime, MonotonicClock, TimeSpan,
};
use tokio::task::spawn_local;

use crate::{
    crashes::vm_rank,
    fingerprint::RequestFingerprint,
    traffic::{
        attempt::AttemptOutcome, request::RoutedRequest, server::ServerState,
        state::TrafficState, wait::RequestEnd,
    },
};

/// The delay after which a caller should retry if only the store says that its
/// request is refused.
const STORED_RETRY_AFTER: TimeSpan = TimeSpan::from_millis(5_000);

/// The minimum time between two connections that are opened to learn whether a
/// server has ended.
const PROBE_INTERVAL: TimeSpan = TimeSpan::from_millis(1_000);

/// The suspect requests that are at work at a server.
#[derive(Clone, Debug, Default)]
pub(super) struct SuspectSet(Rc<RefCell<FastSet<RequestFingerprint>>>);

/// The only attempt of a suspect request that this VM has in flight.
#[derive(Debug)]
pub(super) struct SuspectSlot {
    suspects: SuspectSet,
    request: RequestFingerprint,
}

impl Drop for SuspectSlot {
    fn drop(&mut self) {
        self.suspects.0.borrow_mut().remove(&self.request);
    }
}

/// Whether a request may be sent now.
#[derive(Debug)]
pub(super) enum SuspectAdmission {
    /// It may; the slot is held until the attempt ends.
    Admitted(Option<SuspectSlot>),
    /// Another attempt of the same request is in flight. Its outcome decides.
    InFlight,
}

impl TrafficState {
    /// Refuses a request if servers have ended under it one after the other.
    pub(super) fn check_quarantine(
        &self,
        request: &RoutedRequest,
        now: LocalTime,
    ) -> Result<(), RequestEnd> {
        let view = self.view();
        let stored = &view.quarantined;
        if !self.crashes.has_any() && stored.is_empty() {
            return Ok(());
        }
        let Some(fingerprint) = request.fingerprint() else { return Ok(()) };
        if !self.crashes.is_suspect(&fingerprint) {
            return if stored.contains(&fingerprint) {
                Err(RequestEnd::quarantined(STORED_RETRY_AFTER))
            } else {
                Ok(())
            };
        }
        let own = vm_rank(&fingerprint, &self.settings.vm);
        let before =
            view.vms.iter().filter(|vm| vm_rank(&fingerprint, &vm.vm) > own);
        let rank = before.count();
        match self.crashes.refused_until(now, &fingerprint, rank) {
            Some(until) => Err(RequestEnd::quarantined(until.since(now))),
            None => Ok(()),
        }
    }

    /// Admits an attempt, of a suspect request one at a time.
    pub(super) fn admit_suspect(
        &self,
        request: &RoutedRequest,
    ) -> SuspectAdmission {
        if !self.crashes.has_any() {
            return SuspectAdmission::Admitted(None);
        }
        let suspect = request.fingerprint();
        let suspect =
            suspect.filter(|suspect| self.crashes.is_suspect(suspect));
        let Some(request) = suspect else {
            return SuspectAdmission::Admitted(None);
        };
        if !self.suspects.0.borrow_mut().insert(request) {
            return SuspectAdmission::InFlight;
        }
        let suspects = self.suspects.clone();
        SuspectAdmission::Admitted(Some(SuspectSlot { suspects, request }))
    }

    /// Records what the outcome of an attempt at a server tells about the
    /// request.
    pub(super) fn record_outcome(
        self: &Rc<Self>,
        request: &RoutedRequest,
        server: &Rc<ServerState>,
        sent_at: LocalTime,
        outcome: &AttemptOutcome,
    ) {
        match outcome {
            AttemptOutcome::Responded(_)
            | AttemptOutcome::Failed(_)
            | AttemptOutcome::NoRoom => {
                self.record_served(request);
            }
            AttemptOutcome::Broken => {
                self.record_lost(request, &server.instance, sent_at, true);
                self.probe(server);
            }
            AttemptOutcome::TimedOut
            | AttemptOutcome::OwnerChanged
            | AttemptOutcome::Partitioned => {
                self.record_lost(request, &server.instance, sent_at, false);
            }
            AttemptOutcome::NotRun
            | AttemptOutcome::Misdirected
            | AttemptOutcome::NotSent
            | AttemptOutcome::NotListening
            | AttemptOutcome::RelayEnded(_) => {}
        }
    }

    fn record_served(&self, request: &RoutedRequest) {
        if let Some(request) = request.fingerprint() {
            self.crashes.record_response(MonotonicClock.now(), &request);
        }
    }

    fn record_lost(
        &self,
        request: &RoutedRequest,
        server: &ServerInstance,
        started_at: LocalTime,
        is_broken: bool,
    ) {
        // What is lost with this VM's links says nothing about the server.
        if self.reach.is_partitioned(&request.service) {
            return;
        }
        let Some(request) = request.fingerprint() else { return };
        let lost_at = MonotonicClock.now();
        let attempt = LostAttempt { request, started_at, lost_at, is_broken };
        self.crashes.record_lost(server, attempt);
    }

    /// Records that a connection to a server was refused.
    pub(super) fn record_refused(&self, server: &ServerInstance) {
        if self.crashes.has_any() {
            self.crashes.record_refused(MonotonicClock.now(), server);
        }
    }

    /// Opens a connection to a server that broke one, to learn whether the
    /// server has ended. If not, the connection is kept for requests.
    ///
    /// The result is known before the request could end the next server, which
    /// takes a connection and a run.
    fn probe(self: &Rc<Self>, server: &Rc<ServerState>) {
        let now = MonotonicClock.now();
        if now < server.probe_due_at.get() {
            return;
        }
        server.probe_due_at.set(now + PROBE_INTERVAL);
        let (state, server) = (Rc::clone(self), Rc::clone(server));
        spawn_local(async move {
            match server.connect().await {
                Ok(connection) => server.put_idle(connection, None),
                Err(error) if is_refused(&error) => {
                    state.record_refused(&server.instance);
                }
                // The link has logged why.
                Err(_error) => {}
            }
        });
    }
}

/// Whether nothing listens at the address of a connection.
pub(super) fn is_refused(error: &std::io::Error) -> bool {
    error.kind() == std::io::ErrorKind::ConnectionRefused
}

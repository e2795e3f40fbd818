//! The requests under which servers ended, known to both threads.

use std::sync::{
    Arc, Mutex, MutexGuard, PoisonError,
    atomic::{AtomicBool, Ordering},
};

use goldcrestramp_assignment::ServerInstance;
use goldcrestramp_decisions::{
    CrashLedger, EndProof, LostAttempt, REPORT_ERROR, ServerCrash,
};
use goldcrestramp_types::{
    ClockSource, FastMap, LocalTime, MonotonicClock, TimeSpan,
};
use serde::{Deserialize, Serialize};
use tokio::sync::Notify;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::{
    fingerprint::RequestFingerprint, notices::InstanceKey, view::FleetView,
};

/// The end of a server, as one VM reports it to another. The VMs have no
/// common clock.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct ReportedCrash {
    server: InstanceKey,
    /// How long ago the request was sent.
    started: TimeSpan,
    /// How long ago the attempt was lost.
    ended: TimeSpan,
}

/// What one VM knows of one request.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct RequestCrashes {
    request: RequestFingerprint,
    /// The servers that ended.
    crashes: Vec<ReportedCrash>,
    /// How long ago a server last responded to the request.
    responded: Option<TimeSpan>,
}

/// A report of requests under which servers ended.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct CrashReport {
    /// Whether it comes from the VM that collects the reports of a request.
    pub(crate) is_collected: bool,
    pub(crate) requests: Vec<RequestCrashes>,
}

/// Where a change comes from.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum ChangeOrigin {
    /// This VM saw it.
    Local,
    /// Another VM reported it, so that this one collects the reports.
    Reported,
}

/// A change that other VMs may have to know.
#[derive(Clone, Copy, Debug)]
pub(crate) struct CrashChange {
    pub(crate) request: RequestFingerprint,
    pub(crate) origin: ChangeOrigin,
    /// Whether all VMs should know of it.
    pub(crate) is_public: bool,
}

#[derive(Debug)]
struct BoardLedger {
    ledger: CrashLedger<RequestFingerprint, InstanceKey>,
    changes: FastMap<RequestFingerprint, CrashChange>,
}

impl Default for BoardLedger {
    fn default() -> Self {
        let ledger = CrashLedger::open(MonotonicClock.now());
        Self { ledger, changes: FastMap::default() }
    }
}

impl BoardLedger {
    /// Notes a change of a request for which other VMs may have to be told.
    /// `was_public` tells whether all VMs knew of it before.
    fn note(
        &mut self,
        request: RequestFingerprint,
        origin: ChangeOrigin,
        was_public: bool,
    ) {
        let is_public = was_public || self.ledger.is_quarantined(&request);
        let change = self.changes.entry(request);
        let change =
            change.or_insert(CrashChange { request, origin, is_public });
        change.is_public |= is_public;
        // What this VM saw has to be reported even if it collects reports.
        if origin == ChangeOrigin::Local {
            change.origin = origin;
        }
    }
}

#[derive(Debug, Default)]
struct BoardState {
    ledger: Mutex<BoardLedger>,
    /// Whether any request is lost or suspect; usually none is.
    has_any: AtomicBool,
    changed: Notify,
}

/// The requests under which servers ended; a clone refers to the same ones.
#[derive(Clone, Debug, Default)]
pub struct CrashBoard(Arc<BoardState>);

impl CrashBoard {
    /// Whether any request is lost or suspect.
    pub(crate) fn has_any(&self) -> bool {
        self.0.has_any.load(Ordering::Relaxed)
    }

    /// Records an attempt to which a server did not respond.
    pub(crate) fn record_lost(
        &self,
        server: &ServerInstance,
        attempt: LostAttempt<RequestFingerprint>,
    ) {
        let server = InstanceKey::from(server);
        let mut board = self.lock();
        let is_crash = board.ledger.record_lost(&server, attempt);
        self.0.has_any.store(true, Ordering::Relaxed);
        if is_crash {
            self.note_crash(&mut board, &server, attempt.request);
        }
    }

    /// Records that nothing listens at a server's address.
    pub(crate) fn record_refused(
        &self,
        now: LocalTime,
        server: &ServerInstance,
    ) {
        let server = InstanceKey::from(server);
        let mut board = self.lock();
        self.record_end(&mut board, now, &server, EndProof::Certain);
        self.0.has_any.store(true, Ordering::Relaxed);
    }

    fn record_end(
        &self,
        board: &mut BoardLedger,
        now: LocalTime,
        server: &InstanceKey,
        proof: EndProof,
    ) {
        for request in board.ledger.record_end(now, server, proof) {
            self.note_crash(board, server, request);
        }
    }

    fn note_crash(
        &self,
        board: &mut BoardLedger,
        server: &InstanceKey,
        request: RequestFingerprint,
    ) {
        let ends = board.ledger.crashes_of(&request).len();
        log::info!(
            server = &*server.id,
            ends = ends;
            "[crash] A server ended while request {request} was at work there."
        );
        board.note(request, ChangeOrigin::Local, false);
        self.0.changed.notify_one();
    }

    /// Records that a server has responded to a request.
    pub(crate) fn record_response(
        &self,
        now: LocalTime,
        request: &RequestFingerprint,
    ) {
        let mut board = self.lock();
        let was_public = board.ledger.is_quarantined(request);
        if board.ledger.record_response(now, request, now) {
            log::info!("[crash] Request {request} was served.");
            board.note(*request, ChangeOrigin::Local, was_public);
            self.0.changed.notify_one();
        }
    }

    /// Whether any server has ended under a request.
    pub(crate) fn is_suspect(&self, request: &RequestFingerprint) -> bool {
        self.lock().ledger.is_suspect(request)
    }

    /// Whether servers have ended under a request one after the other.
    pub(crate) fn is_quarantined(&self, request: &RequestFingerprint) -> bool {
        self.lock().ledger.is_quarantined(request)
    }

    /// Until when a request is refused, if it is.
    pub(crate) fn refused_until(
        &self,
        now: LocalTime,
        request: &RequestFingerprint,
        trial_rank: usize,
    ) -> Option<LocalTime> {
        self.lock().ledger.refused_until(now, request, trial_rank)
    }

    /// Records which servers a new view shows to have ended, and removes what
    /// no longer counts.
    pub(crate) fn apply_view(&self, now: LocalTime, view: &FleetView) {
        if !self.has_any() {
            return;
        }
        let mut board = self.lock();
        let servers = board.ledger.lost_servers();
        let ended =
            servers.filter_map(|s| Some((s.clone(), end_of(s, view)?)));
        let ended: Vec<(InstanceKey, EndProof)> = ended.collect();
        for (server, proof) in ended {
            self.record_end(&mut board, now, &server, proof);
        }
        board.ledger.retain(now);
        let has_any = !board.ledger.is_empty();
        self.0.has_any.store(has_any, Ordering::Relaxed);
    }

    /// Waits for changes that other VMs may have to know, and takes them.
    pub(crate) async fn next_changes(&self) -> Vec<CrashChange> {
        loop {
            let changes = std::mem::take(&mut self.lock().changes);
            if !changes.is_empty() {
                return changes.into_values().collect();
            }
            self.0.changed.notified().await;
        }
    }

    /// Confirms a request of which this VM collects the reports; returns
    /// whether all VMs should know of it.
    pub(crate) fn confirm(&self, request: &RequestFingerprint) -> bool {
        let mut board = self.lock();
        board.ledger.confirm(*request);
        board.ledger.is_quarantined(request)
    }

    /// What this VM knows of some requests.
    pub(crate) fn report(
        &self,
        now: LocalTime,
        requests: impl IntoIterator<Item = RequestFingerprint>,
    ) -> Vec<RequestCrashes> {
        let board = self.lock();
        let known = requests.into_iter().map(|request| {
            let crashes = board.ledger.crashes_of(&request).iter();
            let crashes = crashes.map(|crash| ReportedCrash {
                server: crash.server.clone(),
                started: now.since(crash.started_at),
                ended: now.since(crash.ended_at),
            });
            let responded = board.ledger.last_response(&request);
            let responded = responded.map(|at| now.since(at));
            RequestCrashes { request, crashes: crashes.collect(), responded }
        });
        known.collect()
    }

    /// Records what another VM reports.
    pub(crate) fn apply_report(&self, now: LocalTime, report: CrashReport) {
        let CrashReport { is_collected, requests } = report;
        let mut board = self.lock();
        for RequestCrashes { request, crashes, responded } in requests {
            let ledger = &mut board.ledger;
            let was_public = ledger.is_quarantined(&request);
            let known = ledger.last_response(&request);
            let stated = responded.map(|ago| now - ago);
            let cleared = stated
                .is_some_and(|at| ledger.record_response(now, &request, at));
            let changed = merge(ledger, now, request, crashes) || cleared;
            if is_collected && responded.is_none() {
                ledger.confirm(request);
            }
            let origin = if !is_collected {
                Some(ChangeOrigin::Reported).filter(|_| changed)
            } else if known > stated.map(|at| at + REPORT_ERROR) {
                // The collecting VM does not know of this VM's response.
                Some(ChangeOrigin::Local)
            } else {
                None
            };
            if let Some(origin) = origin {
                board.note(request, origin, was_public);
            }
        }
        let has_any = !board.ledger.is_empty();
        self.0.has_any.store(has_any, Ordering::Relaxed);
        self.0.changed.notify_one();
    }

    fn lock(&self) -> MutexGuard<'_, BoardLedger> {
        // The ledger remains valid if a thread panicked while it held the
        // lock.
        self.0.ledger.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// A VM's rank for the work on one request: all VMs agree on the order.
pub(crate) fn vm_rank(request: &RequestFingerprint, vm: &str) -> u64 {
    let seed = xxh3_64_with_seed(request.as_bytes(), 0);
    xxh3_64_with_seed(vm.as_bytes(), seed)
}

/// Adds the ends that another VM reports; returns whether any is new.
fn merge(
    ledger: &mut CrashLedger<RequestFingerprint, InstanceKey>,
    now: LocalTime,
    request: RequestFingerprint,
    crashes: Vec<ReportedCrash>,
) -> bool {
    let mut changed = false;
    for ReportedCrash { server, started, ended } in crashes {
        let crash = ServerCrash {
            server,
            started_at: now - started,
            ended_at: now - ended,
        };
        changed |= ledger.merge(request, crash);
    }
    changed
}

/// What a view shows of the end of a server; `None` if it may be running.
fn end_of(server: &InstanceKey, view: &FleetView) -> Option<EndProof> {
    match view.servers.get(&server.id) {
        Some(entry) if entry.started_ms > server.started_ms => {
            Some(EndProof::Certain)
        }
        Some(_) => None,
        None => Some(EndProof::Unlisted),
    }
}

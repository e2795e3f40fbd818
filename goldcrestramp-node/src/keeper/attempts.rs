//! Records which orders each server has received, so that none is sent twice.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use goldcrestramp_decisions::{
    AttemptArrival, AttemptId, AttemptMemory, AttemptOutcome, AttemptRecord,
    AttemptSent, AttemptVerdict, MemorySettings, StoredAnswer,
};
use goldcrestramp_types::{
    FastMap, FenceToken, LocalTime, NotRunReason, RequestClass, ServerName,
    ServiceName, TimeSpan, VmName,
};

use crate::{
    keeper::{request::ServerRequest, view::KeptServer},
    routing::RoutingTable,
};

/// The maximum time until the deadline of an order; the gateway refuses longer
/// ones.
pub(crate) const MAX_ORDER_DEADLINE: TimeSpan = TimeSpan::from_millis(60_000);

/// The maximum number of ids stored for one server: 200 orders per second for
/// a minute, about 300 bytes each, are 4 MB.
const MAX_IDS: usize = 12_000;

/// The maximum size of the responses stored for one server, in bytes: 300 for
/// each of its ids.
const MAX_STORED_BYTES: usize = 4_000_000;

/// How long a resend waits for a record of the slice's previous keeper,
/// counted from when this keeper got the slice: a table needs some hundred
/// milliseconds to reach the previous keeper.
const HANDOVER_TIMEOUT: TimeSpan = TimeSpan::from_millis(1_000);

/// The maximum size of a batch, in bytes. It is below the space that a peer's
/// listener allows in addition to the largest body, for any setting of that.
const MAX_BATCH_BYTES: usize = 48 * 1_024;

/// The requests sent to one server under one grant.
#[derive(Debug)]
struct MemoryEntry {
    service: ServiceName,
    token: FenceToken,
    memory: AttemptMemory,
}

/// The attempt memories of all servers that this VM keeps.
#[derive(Clone, Debug, Default)]
pub(crate) struct ServerAttempts {
    entries: Arc<Mutex<FastMap<ServerName, MemoryEntry>>>,
}

/// Records to send to one keeper.
#[derive(Debug)]
pub(crate) struct RecordBatch {
    pub(crate) service: ServiceName,
    /// The server whose memory the records come from.
    server: ServerName,
    /// The address at which the keeper accepts requests.
    pub(crate) keeper: Arc<str>,
    pub(crate) records: Vec<AttemptRecord>,
}

/// What to do with a request.
#[derive(Debug)]
pub(crate) enum AttemptStep {
    /// Run it: it is no order, or a new one.
    Run(AttemptGuard),
    /// Send the response that is stored here.
    Replay(StoredAnswer),
    /// Fetch the response that its server stored.
    Fetch(AttemptSent),
    /// Query its outcome at the server that received it.
    Recover(AttemptSent),
    /// Any server may have received it: check whether this one knows it, or
    /// the slice's previous keeper sends a record before this time.
    Search(LocalTime),
    /// The first attempt is in flight.
    Running,
    /// Refuse it.
    Refuse(NotRunReason),
}

impl ServerAttempts {
    /// Records a request that is about to be queued.
    pub(crate) fn begin(
        &self,
        now: LocalTime,
        kept: &KeptServer,
        request: &ServerRequest,
    ) -> AttemptStep {
        let guard = |id| self.guard(kept, id);
        if request.class != RequestClass::Order {
            return AttemptStep::Run(guard(None));
        }
        let Some(id) = &request.attempt else {
            return AttemptStep::Refuse(NotRunReason::BadRequest);
        };
        let mut entries = self.lock();
        let memory = memory(&mut entries, kept);
        memory.cover_slice(now, request.slice);
        let arrival = AttemptArrival {
            id,
            slice: request.slice,
            deadline: request.deadline,
            is_resend: request.resend,
            server: &kept.order.address,
        };
        match memory.begin(now, arrival) {
            // Only a new attempt gets a guard: dropping the guard of a
            // second one would overwrite the outcome of the first.
            AttemptVerdict::Start => AttemptStep::Run(guard(Some(id.clone()))),
            AttemptVerdict::TooYoung => {
                let since = memory.covered_since(request.slice).unwrap_or(now);
                AttemptStep::Search(since + HANDOVER_TIMEOUT)
            }
            verdict => step(memory, id, verdict),
        }
    }

    /// Treats any request as a new one, for a fault that tests plant.
    pub(crate) fn begin_untracked(&self, kept: &KeptServer) -> AttemptStep {
        AttemptStep::Run(self.guard(kept, None))
    }

    fn guard(&self, kept: &KeptServer, id: Option<AttemptId>) -> AttemptGuard {
        AttemptGuard {
            attempts: self.clone(),
            server: kept.order.server.clone(),
            id,
            outcome: AttemptOutcome::NotRun(NotRunReason::Cancelled),
        }
    }

    /// What is known here about an order, whoever has its slice by now.
    ///
    /// This is checked before anything can refuse the order: one that was
    /// started here must not be reported as "not run" for a later reason.
    pub(crate) fn recall(
        &self,
        now: LocalTime,
        request: &ServerRequest,
    ) -> Option<AttemptStep> {
        if request.class != RequestClass::Order {
            return None;
        }
        let id = request.attempt.as_ref()?;
        let mut entries = self.lock();
        let entries = entries.values_mut();
        let mut known = None;
        for entry in entries.filter(|entry| entry.service == request.service) {
            let Some(verdict) = entry.memory.recall(now, id) else { continue };
            let found = step(&entry.memory, id, verdict);
            if matches!(found, AttemptStep::Replay(_)) {
                return Some(found);
            }
            known = known.or(Some(found));
        }
        known
    }

    /// The next records to send to another keeper.
    ///
    /// Slices that this VM keeps itself need none, whichever server has them.
    pub(crate) fn next_batch(
        &self,
        now: LocalTime,
        table: &RoutingTable,
        vm: &VmName,
    ) -> Option<RecordBatch> {
        let mut entries = self.lock();
        entries.iter_mut().find_map(|(server, entry)| {
            let routes = table.service(&entry.service)?;
            let keeper_of = |slice| {
                let target = routes.target(slice)?;
                (target.keeper != *vm).then_some(&target.address)
            };
            let pending =
                entry.memory.pending_records(now, keeper_of, MAX_BATCH_BYTES);
            let (keeper, records) = pending?;
            let (service, server) = (entry.service.clone(), server.clone());
            Some(RecordBatch { service, server, keeper, records })
        })
    }

    /// Records that a keeper has accepted a batch.
    pub(crate) fn mark_received(&self, batch: &RecordBatch) {
        let mut entries = self.lock();
        if let Some(entry) = entries.get_mut(&batch.server) {
            entry.memory.mark_received(&batch.keeper, &batch.records);
        }
    }

    /// Adds another keeper's record of an order.
    pub(crate) fn import(
        &self,
        now: LocalTime,
        kept: &KeptServer,
        record: AttemptRecord,
    ) {
        memory(&mut self.lock(), kept).import(now, record);
    }

    fn lock(&self) -> MutexGuard<'_, FastMap<ServerName, MemoryEntry>> {
        self.entries.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// What to do with a request that is known or refused.
fn step(
    memory: &AttemptMemory,
    id: &AttemptId,
    verdict: AttemptVerdict,
) -> AttemptStep {
    match (verdict, memory.sent(id).cloned()) {
        (AttemptVerdict::Refused(reason), _) => AttemptStep::Refuse(reason),
        (AttemptVerdict::Known(AttemptOutcome::Done(answer)), _)
            if answer.body.is_some() =>
        {
            AttemptStep::Replay(answer)
        }
        (AttemptVerdict::Known(AttemptOutcome::Done(_)), Some(sent)) => {
            AttemptStep::Fetch(sent)
        }
        (AttemptVerdict::Known(_), Some(sent)) => AttemptStep::Recover(sent),
        (
            AttemptVerdict::InProgress
            | AttemptVerdict::Known(_)
            | AttemptVerdict::TooYoung
            | AttemptVerdict::Start,
            _,
        ) => AttemptStep::Running,
    }
}

/// The memory of a server under its current grant.
///
/// Before a new token the slice may have been at another server, where an
/// order may have run that has no record here. So the time since which the
/// memory is complete is reset; the ids are kept.
fn memory<'a>(
    entries: &'a mut FastMap<ServerName, MemoryEntry>,
    kept: &KeptServer,
) -> &'a mut AttemptMemory {
    let token = kept.pass.token;
    let server = kept.order.server.clone();
    let entry = entries.entry(server).or_insert_with(|| {
        let settings = MemorySettings {
            id_limit: MAX_IDS,
            max_stored_bytes: MAX_STORED_BYTES,
            max_timeout: MAX_ORDER_DEADLINE,
        };
        let service = kept.order.service.clone();
        MemoryEntry { service, token, memory: AttemptMemory::open(settings) }
    });
    if entry.token != token {
        entry.token = token;
        entry.memory.reset_slices();
    }
    &mut entry.memory
}

/// An attempt in flight; dropping it stores its outcome.
#[derive(Debug)]
pub(crate) struct AttemptGuard {
    attempts: ServerAttempts,
    server: ServerName,
    id: Option<AttemptId>,
    outcome: AttemptOutcome,
}

impl AttemptGuard {
    /// Records that the request may run from now on.
    pub(crate) fn record_sent(&mut self) {
        self.outcome = AttemptOutcome::Unknown;
    }

    /// Records that the request certainly did not run.
    pub(crate) fn record_not_run(&mut self, reason: NotRunReason) {
        self.outcome = AttemptOutcome::NotRun(reason);
    }

    /// Records the server's response, which is stored at once.
    pub(crate) fn record_done(&mut self, answer: StoredAnswer) {
        self.outcome = AttemptOutcome::Done(answer);
        self.store_outcome();
    }

    /// Stores the outcome on the first call; does nothing after that.
    fn store_outcome(&mut self) {
        let Some(id) = self.id.take() else { return };
        let mut entries = self.attempts.lock();
        if let Some(entry) = entries.get_mut(&self.server) {
            entry.memory.finish(&id, self.outcome.clone());
        }
    }
}

impl Drop for AttemptGuard {
    fn drop(&mut self) {
        self.store_outcome();
    }
}

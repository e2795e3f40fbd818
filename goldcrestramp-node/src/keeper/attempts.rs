//! Which orders each server has been sent, so that none is sent twice.

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

/// The longest deadline of an order; the gateway refuses longer ones.
pub(crate) const MAX_ORDER_DEADLINE: TimeSpan = TimeSpan::from_millis(60_000);

/// The ids that are remembered for one server: 200 orders a second for a
/// minute, some 300 bytes each, are 4 MB.
const ID_LIMIT: usize = 12_000;

/// Bytes of answers that are kept for one server: 300 each of its ids.
const ANSWER_BYTES: usize = 4_000_000;

/// How long a resend waits for what the slice's former keeper remembers,
/// from when this one began with the slice: a table needs some hundred
/// milliseconds to reach the former keeper.
const NEWS_PATIENCE: TimeSpan = TimeSpan::from_millis(1_000);

/// Bytes of one parcel: below the room that a peer's listener has besides
/// the largest body, whatever that is set to.
const PARCEL_BYTES: usize = 48 * 1_024;

/// What one server has been sent under one grant.
#[derive(Debug)]
struct AttemptBook {
    service: ServiceName,
    token: FenceToken,
    memory: AttemptMemory,
}

/// The memory of every server that this VM keeps.
#[derive(Clone, Debug, Default)]
pub(crate) struct ServerAttempts {
    books: Arc<Mutex<FastMap<ServerName, AttemptBook>>>,
}

/// Records that one keeper is to be told.
#[derive(Debug)]
pub(crate) struct MemoryParcel {
    pub(crate) service: ServiceName,
    /// The server whose book they come from.
    server: ServerName,
    /// Where the keeper takes requests.
    pub(crate) keeper: Arc<str>,
    pub(crate) records: Vec<AttemptRecord>,
}

/// What is to be done with a request.
#[derive(Debug)]
pub(crate) enum AttemptStep {
    /// It is no order, or a new one: run it.
    Run(AttemptGuard),
    /// It was answered so.
    Answer(StoredAnswer),
    /// It was answered: fetch the answer that its server kept.
    Fetch(AttemptSent),
    /// It was sent to a server: find out there what became of it.
    Recover(AttemptSent),
    /// It may have been sent to any server: look whether this one knows,
    /// or the slice's former keeper tells before this moment.
    Look(LocalTime),
    /// The first one is under way.
    Running,
    /// It is not taken.
    Refuse(NotRunReason),
}

impl ServerAttempts {
    /// Takes a request that is about to be queued.
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
        let mut books = self.lock();
        let memory = memory(&mut books, kept);
        memory.cover_slice(now, request.slice);
        let arrival = AttemptArrival {
            id,
            slice: request.slice,
            deadline: request.deadline,
            is_resend: request.resend,
            server: &kept.order.address,
        };
        match memory.begin(now, arrival) {
            // Made for a new attempt alone: dropped, a second one's guard
            // would take the outcome of the first.
            AttemptVerdict::Start => AttemptStep::Run(guard(Some(id.clone()))),
            AttemptVerdict::TooYoung => {
                let since = memory.covered_since(request.slice).unwrap_or(now);
                AttemptStep::Look(since + NEWS_PATIENCE)
            }
            verdict => step(memory, id, verdict),
        }
    }

    /// Takes any request as a new one: a fault that tests plant.
    pub(crate) fn forget(&self, kept: &KeptServer) -> AttemptStep {
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

    /// What is known here of an order, whoever has its slice by now.
    ///
    /// Asked before anything can refuse it: what was started here must not
    /// be called "not run" for a reason that came later.
    pub(crate) fn recall(
        &self,
        now: LocalTime,
        request: &ServerRequest,
    ) -> Option<AttemptStep> {
        if request.class != RequestClass::Order {
            return None;
        }
        let id = request.attempt.as_ref()?;
        let mut books = self.lock();
        let books = books.values_mut();
        let mut known = None;
        for book in books.filter(|book| book.service == request.service) {
            let Some(verdict) = book.memory.recall(now, id) else { continue };
            let found = step(&book.memory, id, verdict);
            if matches!(found, AttemptStep::Answer(_)) {
                return Some(found);
            }
            known = known.or(Some(found));
        }
        known
    }

    /// What is to be told to another keeper next.
    ///
    /// What this VM keeps itself is known to it whichever server has it.
    pub(crate) fn untold(
        &self,
        now: LocalTime,
        table: &RoutingTable,
        vm: &VmName,
    ) -> Option<MemoryParcel> {
        let mut books = self.lock();
        books.iter_mut().find_map(|(server, book)| {
            let routes = table.service(&book.service)?;
            let keeper_of = |slice| {
                let target = routes.target(slice)?;
                (target.keeper != *vm).then_some(&target.address)
            };
            let untold =
                book.memory.pending_records(now, keeper_of, PARCEL_BYTES);
            let (keeper, records) = untold?;
            let (service, server) = (book.service.clone(), server.clone());
            Some(MemoryParcel { service, server, keeper, records })
        })
    }

    /// Notes that a keeper has taken a parcel.
    pub(crate) fn told(&self, parcel: &MemoryParcel) {
        let mut books = self.lock();
        if let Some(book) = books.get_mut(&parcel.server) {
            book.memory.mark_received(&parcel.keeper, &parcel.records);
        }
    }

    /// Takes what another keeper remembers of an order.
    pub(crate) fn take(
        &self,
        now: LocalTime,
        kept: &KeptServer,
        record: AttemptRecord,
    ) {
        memory(&mut self.lock(), kept).import(now, record);
    }

    fn lock(&self) -> MutexGuard<'_, FastMap<ServerName, AttemptBook>> {
        self.books.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// What is to be done with a request that is remembered, or not taken.
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
            AttemptStep::Answer(answer)
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

/// The memory of a server under its present grant.
///
/// Under a new token the slice may have been elsewhere meanwhile, where an
/// order may have run that is not remembered here. So the time since which
/// the memory is complete begins anew; the ids themselves are kept.
fn memory<'a>(
    books: &'a mut FastMap<ServerName, AttemptBook>,
    kept: &KeptServer,
) -> &'a mut AttemptMemory {
    let token = kept.pass.token;
    let server = kept.order.server.clone();
    let book = books.entry(server).or_insert_with(|| {
        let settings = MemorySettings {
            id_limit: ID_LIMIT,
            max_stored_bytes: ANSWER_BYTES,
            max_timeout: MAX_ORDER_DEADLINE,
        };
        let service = kept.order.service.clone();
        AttemptBook { service, token, memory: AttemptMemory::open(settings) }
    });
    if book.token != token {
        book.token = token;
        book.memory.reset_slices();
    }
    &mut book.memory
}

/// An attempt under way; dropped, its outcome is remembered.
#[derive(Debug)]
pub(crate) struct AttemptGuard {
    attempts: ServerAttempts,
    server: ServerName,
    id: Option<AttemptId>,
    outcome: AttemptOutcome,
}

impl AttemptGuard {
    /// From here on it may have run.
    pub(crate) fn sent(&mut self) {
        self.outcome = AttemptOutcome::Unknown;
    }

    /// It certainly did not run.
    pub(crate) fn not_run(&mut self, reason: NotRunReason) {
        self.outcome = AttemptOutcome::NotRun(reason);
    }

    /// The server has answered, which is remembered at once.
    pub(crate) fn done(&mut self, answer: StoredAnswer) {
        self.outcome = AttemptOutcome::Done(answer);
        self.remember();
    }

    /// Remembers the outcome, the first time that it is called.
    fn remember(&mut self) {
        let Some(id) = self.id.take() else { return };
        let mut books = self.attempts.lock();
        if let Some(book) = books.get_mut(&self.server) {
            book.memory.finish(&id, self.outcome.clone());
        }
    }
}

impl Drop for AttemptGuard {
    fn drop(&mut self) {
        self.remember();
    }
}

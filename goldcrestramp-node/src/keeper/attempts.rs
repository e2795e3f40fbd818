//! Which orders each server has been sent, so that none is sent twice.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use goldcrestramp_decisions::{
    AttemptId, AttemptMemory, AttemptOutcome, AttemptVerdict, MemorySettings,
    StoredAnswer,
};
use goldcrestramp_types::{
    FastMap, FenceToken, LocalTime, NotRunReason, RequestClass, ServerName,
    TimeSpan,
};

use crate::keeper::{send::ServerRequest, view::KeptServer};

/// The longest deadline of an order; the gateway refuses longer ones.
pub(crate) const ORDER_LONGEST: TimeSpan = TimeSpan::from_millis(60_000);

/// The ids that are remembered for one server: 200 orders a second for a
/// minute, some 300 bytes each, are 4 MB.
const ID_LIMIT: usize = 12_000;

/// What one server has been sent under one grant.
#[derive(Debug)]
struct AttemptBook {
    token: FenceToken,
    memory: AttemptMemory,
}

/// The memory of every server that this VM keeps.
#[derive(Clone, Debug, Default)]
pub(crate) struct ServerAttempts {
    books: Arc<Mutex<FastMap<ServerName, AttemptBook>>>,
}

/// What is to be done with a request.
#[derive(Debug)]
pub(crate) enum AttemptStep {
    /// It is no order, or a new one: run it.
    Run(AttemptGuard),
    /// It was answered: fetch the answer that the server kept.
    Fetch,
    /// It was sent to this server: find out there what became of it.
    Recover,
    /// It may have been sent to any server: look whether this one knows.
    Look,
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
        let guard = |id| AttemptGuard {
            attempts: self.clone(),
            server: kept.order.server.clone(),
            id,
            outcome: AttemptOutcome::NotRun(NotRunReason::Cancelled),
        };
        if request.class != RequestClass::Order {
            return AttemptStep::Run(guard(None));
        }
        let Some(id) = &request.attempt else {
            return AttemptStep::Refuse(NotRunReason::BadRequest);
        };
        let mut books = self.lock();
        let memory = memory(&mut books, kept);
        memory.begin_slice(now, request.slice);
        let (slice, deadline) = (request.slice, request.deadline);
        match memory.begin(now, id, slice, deadline, request.resend) {
            // Made for a new attempt alone: dropped, a second one's guard
            // would take the outcome of the first.
            AttemptVerdict::Start => AttemptStep::Run(guard(Some(id.clone()))),
            AttemptVerdict::InProgress => AttemptStep::Running,
            AttemptVerdict::Known(AttemptOutcome::Done(_)) => {
                AttemptStep::Fetch
            }
            AttemptVerdict::Known(_) => AttemptStep::Recover,
            AttemptVerdict::TooYoung => AttemptStep::Look,
            AttemptVerdict::Refused(reason) => AttemptStep::Refuse(reason),
        }
    }

    fn lock(&self) -> MutexGuard<'_, FastMap<ServerName, AttemptBook>> {
        self.books.lock().unwrap_or_else(PoisonError::into_inner)
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
        let settings =
            MemorySettings { id_limit: ID_LIMIT, longest: ORDER_LONGEST };
        AttemptBook { token, memory: AttemptMemory::open(settings) }
    });
    if book.token != token {
        book.token = token;
        book.memory.begin_anew();
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

    /// The server has answered; it keeps the answer itself.
    pub(crate) fn done(&mut self) {
        let answer = StoredAnswer { status: 0, body: None };
        self.outcome = AttemptOutcome::Done(answer);
    }
}

impl Drop for AttemptGuard {
    fn drop(&mut self) {
        let Some(id) = self.id.take() else { return };
        let mut books = self.attempts.lock();
        if let Some(book) = books.get_mut(&self.server) {
            book.memory.finish(&id, self.outcome.clone());
        }
    }
}

//! What is remembered of an attempt, and passed on.

use std::sync::Arc;

use goldcrestramp_types::{CallerName, NotRunReason, RequestName, TimeSpan};

/// A request as its caller names it.
#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct AttemptId {
    /// The caller, within which the name is unique.
    pub caller: CallerName,
    /// The caller's own id.
    pub request: RequestName,
}

/// A server's answer, kept for a resend.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct StoredAnswer {
    /// The HTTP status.
    pub status: u16,
    /// The body; nothing if it was too long to keep.
    pub body: Option<Arc<[u8]>>,
}

/// How a non-idempotent request ended.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum AttemptOutcome {
    /// The server ran it and answered so.
    Done(StoredAnswer),
    /// It certainly did not run.
    NotRun(NotRunReason),
    /// It may have run.
    Unknown,
}

impl AttemptOutcome {
    /// The outcome without a body that is longer than `limit` bytes.
    pub(crate) fn within(self, limit: usize) -> Self {
        let Self::Done(answer) = self else { return self };
        let body = answer.body.filter(|body| body.len() <= limit);
        Self::Done(StoredAnswer { body, ..answer })
    }
}

/// An attempt on its way to the next keeper.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct AttemptRecord {
    /// Which one.
    pub id: AttemptId,
    /// The time to its deadline.
    pub left: TimeSpan,
    /// How it ended.
    pub outcome: AttemptOutcome,
}

/// What one keeper knows of a slice's past.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct SliceMemory {
    /// For how long everything on the slice has been remembered.
    pub complete_for: TimeSpan,
    /// What is within its deadline.
    pub records: Vec<AttemptRecord>,
}

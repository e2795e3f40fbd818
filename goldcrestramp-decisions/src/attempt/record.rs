//! What is remembered of an attempt, and passed on.

use std::sync::Arc;

use goldcrestramp_types::{
    CallerName, LocalTime, NotRunReason, RequestName, SliceIndex, TimeSpan,
};

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
    /// The media type; empty if the server named none.
    pub content_type: Arc<str>,
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

    /// The bytes of the body that it keeps.
    pub(crate) fn body_bytes(&self) -> usize {
        let Self::Done(answer) = self else { return 0 };
        answer.body.as_ref().map_or(0, |body| body.len())
    }
}

/// A request that arrives.
#[derive(Clone, Copy, Debug)]
pub struct AttemptArrival<'a> {
    /// Which one.
    pub id: &'a AttemptId,
    /// The slice of its key.
    pub slice: SliceIndex,
    /// When its caller gives it up.
    pub deadline: LocalTime,
    /// What the caller says: that it may have sent it before.
    pub is_resend: bool,
    /// Where the server listens that it would be sent to.
    pub server: &'a Arc<str>,
}

/// Where a remembered request was sent.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct AttemptSent {
    /// Where the server listens that was sent it.
    pub server: Arc<str>,
    /// When it came here; nothing if another keeper had it.
    pub begun: Option<LocalTime>,
}

/// An attempt on its way to the next keeper.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct AttemptRecord {
    /// Which one.
    pub id: AttemptId,
    /// The slice of its key.
    pub slice: SliceIndex,
    /// The time to its deadline; zero if that is over.
    pub left: TimeSpan,
    /// Where the server listens that was sent it.
    pub server: Arc<str>,
    /// How it ended.
    pub outcome: AttemptOutcome,
}

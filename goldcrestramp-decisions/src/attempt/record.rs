//! What is remembered of an attempt and handed over to the next keeper.

use std::sync::Arc;

use goldcrestramp_types::{
    CallerName, LocalTime, NotRunReason, RequestName, SliceIndex, TimeSpan,
};

/// A request as its caller identifies it.
#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct AttemptId {
    /// The caller; the request id is unique within it.
    pub caller: CallerName,
    /// The caller's id of the request.
    pub request: RequestName,
}

/// A server's response, stored for a resend.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct StoredAnswer {
    /// The HTTP status.
    pub status: u16,
    /// The media type; empty if the server sent none.
    pub content_type: Arc<str>,
    /// The body; `None` if it was too long to store.
    pub body: Option<Arc<[u8]>>,
}

/// The outcome of a non-idempotent request.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum AttemptOutcome {
    /// The server ran it and sent this response.
    Done(StoredAnswer),
    /// It certainly did not run.
    NotRun(NotRunReason),
    /// It may have run.
    Unknown,
}

impl AttemptOutcome {
    /// The outcome, without its body if that is longer than `limit` bytes.
    pub(crate) fn without_long_body(self, limit: usize) -> Self {
        let Self::Done(answer) = self else { return self };
        let body = answer.body.filter(|body| body.len() <= limit);
        Self::Done(StoredAnswer { body, ..answer })
    }

    /// The size of the stored body.
    pub(crate) fn body_bytes(&self) -> usize {
        let Self::Done(answer) = self else { return 0 };
        answer.body.as_ref().map_or(0, |body| body.len())
    }
}

/// A request that arrives.
#[derive(Clone, Copy, Debug)]
pub struct AttemptArrival<'a> {
    /// The id of the request.
    pub id: &'a AttemptId,
    /// The slice of its key.
    pub slice: SliceIndex,
    /// The deadline of its caller.
    pub deadline: LocalTime,
    /// Whether the caller says that it may have sent the request before.
    pub is_resend: bool,
    /// The address of the server that it would be sent to.
    pub server: &'a Arc<str>,
}

/// Where a remembered request was sent.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct AttemptSent {
    /// The address of the server that it was sent to.
    pub server: Arc<str>,
    /// When it arrived at this keeper; `None` if another keeper had it.
    pub arrived_at: Option<LocalTime>,
}

/// An attempt that is handed over to the next keeper.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct AttemptRecord {
    /// The id of the request.
    pub id: AttemptId,
    /// The slice of its key.
    pub slice: SliceIndex,
    /// The time to its deadline; zero if that has passed.
    pub remaining: TimeSpan,
    /// The address of the server that it was sent to.
    pub server: Arc<str>,
    /// The outcome of the request.
    pub outcome: AttemptOutcome,
}

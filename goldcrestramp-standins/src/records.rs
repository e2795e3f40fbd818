//! Records that servers and callers keep, for the checks after a run.

use std::sync::Arc;

use goldcrestramp_types::{
    ClockSource, FenceToken, MonotonicClock, RequestClass, SliceIndex,
    SliceSet,
};
use serde::{Deserialize, Serialize};

/// A time of the machine's monotonic clock, which all its processes share.
///
/// It orders the records of different servers, provided that they ran on one
/// machine. The router never sees it.
#[derive(
    Clone,
    Copy,
    Debug,
    Default,
    Eq,
    Hash,
    Ord,
    PartialEq,
    PartialOrd,
    Serialize,
    Deserialize,
)]
#[serde(transparent)]
pub struct MachineTime(u64);

impl MachineTime {
    /// The current time.
    #[must_use]
    pub fn now() -> Self {
        Self(MonotonicClock.now().as_micros())
    }

    /// The time `micros` microseconds after the clock's start.
    #[must_use]
    pub const fn from_micros(micros: u64) -> Self {
        Self(micros)
    }

    /// Microseconds since the clock's start.
    #[must_use]
    pub const fn as_micros(self) -> u64 {
        self.0
    }

    /// Milliseconds from `earlier` to this time; zero if `earlier` is later.
    #[must_use]
    pub const fn millis_since(self, earlier: Self) -> u64 {
        self.0.saturating_sub(earlier.0) / 1_000
    }
}

/// One execution of a request, as the server recorded it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ExecutionEntry {
    /// The server.
    pub server: Arc<str>,
    /// The server's failure domain.
    pub domain: Arc<str>,
    /// The server's instance id.
    pub run: u64,
    /// The request's id, `caller/request`.
    pub request: Arc<str>,
    /// The service.
    pub service: Arc<str>,
    /// The key.
    pub key: Arc<str>,
    /// The slice of the key.
    pub slice: SliceIndex,
    /// The request's class.
    pub class: RequestClass,
    /// The fencing token that the request carried.
    pub token: FenceToken,
    /// When it started.
    pub started: MachineTime,
    /// When it ended; absent while it runs and after a server loss.
    pub ended: Option<MachineTime>,
}

/// An interval in which a server held one set of slices.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct GrantEntry {
    /// The server.
    pub server: Arc<str>,
    /// The service of the slices.
    pub service: Arc<str>,
    /// The slices.
    pub slices: SliceSet,
    /// The token of the grant.
    pub token: FenceToken,
    /// When the server started to hold them.
    pub from: MachineTime,
    /// When the server stopped holding exactly these slices.
    pub until: MachineTime,
}

/// The outcome that a caller received for one attempt.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", tag = "outcome")]
pub enum CallOutcome {
    /// A response arrived that was delivered as complete.
    Done {
        /// The result of checking its body.
        answer: AnswerCheck,
    },
    /// The caller was told that the request did not run.
    NotRun {
        /// The reason's code.
        reason: Arc<str>,
    },
    /// The caller was told that the request may have run, or received nothing.
    Unknown {
        /// The reason's code.
        reason: Arc<str>,
    },
}

/// The result of checking a response body.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", tag = "check")]
pub enum AnswerCheck {
    /// Every byte is as expected.
    Whole {
        /// The value of the key that the body reports.
        value: u64,
    },
    /// It is a prefix of the expected body.
    Cut,
    /// It is not the response to this request.
    Wrong,
}

/// One attempt of a caller.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct CallEntry {
    /// The request's id, `caller/request`; the same in a resend.
    pub request: Arc<str>,
    /// The service.
    pub service: Arc<str>,
    /// The key.
    pub key: Arc<str>,
    /// The request's class.
    pub class: RequestClass,
    /// When the caller intended to send it.
    pub intended: MachineTime,
    /// When it was sent.
    pub sent: MachineTime,
    /// When the outcome was known.
    pub ended: MachineTime,
    /// The outcome that the caller received.
    pub outcome: CallOutcome,
    /// The address and the error of a call that got no response.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub error: Option<Arc<str>>,
}

//! What servers and callers write down, for the checks after a run.

use std::sync::Arc;

use goldcrestramp_types::{
    ClockSource, FenceToken, MonotonicClock, RequestClass, SliceIndex,
    SliceSet,
};
use serde::{Deserialize, Serialize};

/// A moment of the machine's clock, which all its processes share.
///
/// It orders what different servers wrote down, as long as they ran on one
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
    /// The present moment.
    #[must_use]
    pub fn now() -> Self {
        Self(MonotonicClock.now().as_micros())
    }

    /// The moment so many microseconds after the clock's start.
    #[must_use]
    pub const fn from_micros(micros: u64) -> Self {
        Self(micros)
    }

    /// Microseconds since the clock's start.
    #[must_use]
    pub const fn as_micros(self) -> u64 {
        self.0
    }

    /// Milliseconds from `earlier` to here; zero if it is later.
    #[must_use]
    pub const fn millis_since(self, earlier: Self) -> u64 {
        self.0.saturating_sub(earlier.0) / 1_000
    }
}

/// One execution, as the server itself saw it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ExecutionEntry {
    /// The server.
    pub server: Arc<str>,
    /// The server's failure domain.
    pub domain: Arc<str>,
    /// The server's run.
    pub run: u64,
    /// The request's id, `caller/request`.
    pub request: Arc<str>,
    /// The service.
    pub service: Arc<str>,
    /// The key.
    pub key: Arc<str>,
    /// The slice of the key.
    pub slice: SliceIndex,
    /// The class.
    pub class: RequestClass,
    /// The token under which it was sent.
    pub token: FenceToken,
    /// When it started.
    pub started: MachineTime,
    /// When it ended; absent while it runs and after a loss.
    pub ended: Option<MachineTime>,
}

/// A time over which a server held the same slices.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct HoldEntry {
    /// The server.
    pub server: Arc<str>,
    /// The service of the slices.
    pub service: Arc<str>,
    /// The slices.
    pub slices: SliceSet,
    /// The token of the grant.
    pub token: FenceToken,
    /// When it began to hold them.
    pub from: MachineTime,
    /// When it no longer held just these.
    pub until: MachineTime,
}

/// What a caller was told of one of its attempts.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", tag = "outcome")]
pub enum CallOutcome {
    /// An answer came that was presented as whole.
    Done {
        /// What the caller found on looking at it.
        answer: AnswerCheck,
    },
    /// It was told that the request did not run.
    NotRun {
        /// The reason's code.
        reason: Arc<str>,
    },
    /// It was told that the request may have run, or heard nothing.
    Unknown {
        /// The reason's code.
        reason: Arc<str>,
    },
}

/// What a caller finds when it looks at an answer.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", tag = "check")]
pub enum AnswerCheck {
    /// Every byte is as it must be.
    Whole {
        /// The value of the key that the answer tells.
        value: u64,
    },
    /// It is the beginning of the right answer.
    Cut,
    /// It is not the answer to this request.
    Wrong,
}

/// One attempt of a caller.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct CallEntry {
    /// The request's id, `caller/request`; equal in a resend.
    pub request: Arc<str>,
    /// The service.
    pub service: Arc<str>,
    /// The key.
    pub key: Arc<str>,
    /// The class.
    pub class: RequestClass,
    /// When the caller meant to send it.
    pub intended: MachineTime,
    /// When it was sent.
    pub sent: MachineTime,
    /// When the outcome was known.
    pub ended: MachineTime,
    /// What the caller was told.
    pub outcome: CallOutcome,
}

//! What enters the queue and what comes out of it.

use goldcrestramp_types::{
    CallerName, LocalTime, NotRunReason, RequestClass, TimeSpan,
};
use slotmap::new_key_type;

new_key_type! {
    /// A request that waits or runs; never reused for another one.
    pub struct RequestKey;
}

/// A request as the keeper offers it to the queue of a server.
#[derive(Clone, Debug)]
pub struct QueuedRequest {
    /// Who asks; shares are given by caller.
    pub caller: CallerName,
    /// The caller's weight; 0 counts as 1.
    pub weight: u32,
    /// The hash of the key.
    pub key_hash: u64,
    /// How long it is expected to hold a slot.
    pub class: RequestClass,
    /// When the answer stops being of use.
    pub deadline: LocalTime,
}

/// Why a request will not run, and when to come back.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct QueueRefusal {
    /// The reason that the caller is told and that is counted.
    pub reason: NotRunReason,
    /// How long the caller should stay away, jitter included.
    pub retry_after: TimeSpan,
}

/// The queue's immediate answer to an offered request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum OfferOutcome {
    /// It waits; [`QueueEvent`]s name it by this key.
    Waiting(RequestKey),
    /// It will not run.
    Refused(QueueRefusal),
}

/// What the keeper has to do next for a request that waited.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum QueueEvent {
    /// Send it to the server; it holds a slot until it is finished.
    Start(RequestKey),
    /// Answer it with the refusal; the queue has forgotten it.
    GiveUp(RequestKey, QueueRefusal),
}

/// How a started request ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum CompletionOutcome {
    /// The server ran it to its end.
    Answered,
    /// The server did not start it.
    Refused,
    /// It broke off, timed out or was cancelled.
    Broken,
}

/// What a cancellation met.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum CancelOutcome {
    /// It still waited; it has not run and never will.
    Withdrawn,
    /// It has been sent: tell the server, and report its end as usual.
    Running,
    /// The queue no longer knows it.
    Unknown,
}

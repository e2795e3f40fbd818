//! What enters the queue, and its events and outcomes.

use goldcrestramp_types::{
    CallerName, LocalTime, NotRunReason, RequestClass, TimeSpan,
};
use slotmap::new_key_type;

new_key_type! {
    /// A waiting or running request; a key is never reused.
    pub struct RequestKey;
}

/// A request as the keeper offers it to the queue of a server.
#[derive(Clone, Debug)]
pub struct QueuedRequest {
    /// The caller; shares are given by caller.
    pub caller: CallerName,
    /// The caller's weight; 0 counts as 1.
    pub weight: u32,
    /// The hash of the key.
    pub key_hash: u64,
    /// How long it is expected to hold a slot.
    pub class: RequestClass,
    /// When the response is no longer of use.
    pub deadline: LocalTime,
}

/// Why a request will not run, and when to retry.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct QueueRefusal {
    /// The reason that the caller gets and that is counted.
    pub reason: NotRunReason,
    /// The time after which the caller should retry, with jitter.
    pub retry_after: TimeSpan,
}

/// The immediate result of an offered request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum OfferOutcome {
    /// It waits; [`QueueEvent`]s identify it by this key.
    Waiting(RequestKey),
    /// It will not run.
    Refused(QueueRefusal),
}

/// What the keeper has to do next for a request that waited.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum QueueEvent {
    /// Send it to the server; it holds a slot until it has finished.
    Start(RequestKey),
    /// Respond to it with the refusal; it is no longer in the queue.
    GiveUp(RequestKey, QueueRefusal),
}

/// How a started request ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum CompletionOutcome {
    /// The server ran it to its end.
    Answered,
    /// The server did not start it.
    Refused,
    /// It was cut off, timed out or was cancelled.
    Broken,
}

/// The result of a cancellation.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum CancelOutcome {
    /// It still waited; it has not run and never will.
    Withdrawn,
    /// It has been sent: cancel it at the server, and report its end as usual.
    Running,
    /// The queue no longer knows it.
    Unknown,
}

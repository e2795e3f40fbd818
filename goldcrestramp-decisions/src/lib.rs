/*!
Pure decisions under load: admission, fairness, retries, placement.

Nothing here reads a clock, a socket or a random source: the present moment
and random numbers come in as arguments, so every decision can be read and
tested without a network. Each module tells which load it answers, what
happens without it, and where its figures come from.

- [`ServerQueue`]: the one queue in front of a backend server.
*/

mod queue;

pub use crate::queue::{
    CancelOutcome, CompletionOutcome, OfferOutcome, QueueEvent, QueueRefusal,
    QueueSettings, QueuedRequest, RequestKey, ServerQueue,
};

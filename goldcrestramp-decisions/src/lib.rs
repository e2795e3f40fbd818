/*!
Pure decisions under load: admission, fairness, retries, placement.

Nothing here reads a clock, a socket or a random source: the present moment
and random numbers come in as arguments, so every decision can be read and
tested without a network. Each module tells which load it answers, what
happens without it, and where its figures come from.

- [`GatewayLimit`]: what a gateway may have under way, shared by caller.
- [`PlacementPlanner`]: which server gets which slice.
- [`ServerQueue`]: the one queue in front of a backend server.
- [`ServerLimit`]: how many requests a server is given at once.
- [`AttemptMemory`]: at most once across a caller's own resends.
- [`RetryPolicy`]: whether a failed attempt is made again.
- [`RefusalProof`]: whether a refusal proves that a request did not run.
- [`LinkShare`]: the short link between two regions.
- [`ServerLoad`]: what a server's slots were used for.
- [`is_reader_lost`]: how long a stalled reader may hold a slot.
- [`span_to_send`]: a deadline that crosses to another process.
- [`baseline`]: two simple ways, kept to be measured against.
*/

mod attempt;
pub mod baseline;
mod deadline;
mod gateway;
mod limit;
mod link;
mod load;
mod placement;
mod queue;
mod reader;
mod retry;

pub use crate::{
    attempt::{
        ANSWER_LIMIT, AttemptArrival, AttemptId, AttemptMemory,
        AttemptOutcome, AttemptRecord, AttemptSent, AttemptVerdict,
        MemorySettings, StoredAnswer,
    },
    deadline::{TransitEstimate, span_to_send},
    gateway::GatewayLimit,
    limit::{LimitVerdict, OwnerAdvice, ServerLimit, ServerSign},
    link::{LINK_CHUNK, LinkFlow, LinkSettings, LinkShare, LinkVolume},
    load::{LoadReading, REPORTED_SLICES, ServerLoad},
    placement::{
        LoadEstimate, PlaceReport, PlaceView, PlacementPlanner,
        PlacementSettings, PlannedMove, assign_orphans, greedy_moves,
        hash_placement, waiting_requests,
    },
    queue::{
        CancelOutcome, CompletionOutcome, OfferOutcome, QueueEvent,
        QueueRefusal, QueueSettings, QueuedRequest, RequestKey, ServerQueue,
    },
    reader::is_reader_lost,
    retry::{
        AttemptStart, FailedAttempt, REDIRECT_LIMIT, RefusalProof, RefusedBy,
        RetryDecision, RetryPolicy,
    },
};

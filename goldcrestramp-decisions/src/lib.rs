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
- [`is_reader_stalled`]: how long a stalled reader may hold a slot.
- [`timeout_to_forward`]: a deadline that crosses to another process.
- [`choose_server`]: which server of a service that any may serve.
- [`ResponseTimes`]: how long a server's answers usually take.
- [`AdmissionQueue`]: who is next when a slot becomes free.
- [`attempt_timeout()`]: how long an answer is waited for.
- [`PipelineGate`]: which pipelined requests are served at once.
- [`RateLedger`], [`RateAllowance`]: who sends to a server that names the
  rate it takes from all.
- [`AttemptBudget`]: how many sends beyond the first a VM may make.
- [`server_share`]: what one VM may have under way at a server.
- [`WorkEstimate`]: how long a server works on a request.
- [`denial_action`]: whether an owner that denied a key is asked again.
- [`WeightedRoundRobin`]: the parts of a divided route.
- [`rebalancing_moves`]: which runs of keys move between servers, and when.
- [`baseline`]: two simple ways, kept to be measured against.
*/

mod admission;
mod attempt;
mod attempt_budget;
mod attempt_timeout;
pub mod baseline;
mod deadline;
mod denial;
mod gateway;
mod limit;
mod link;
mod load;
mod pipeline;
mod placement;
mod pool;
mod queue;
mod queueing;
mod rate;
mod reader;
mod rebalancing;
mod retry;
mod round_robin;
mod share;
mod times;
mod work;

pub use crate::{
    admission::{AdmissionQueue, QueuePosition},
    attempt::{
        AttemptArrival, AttemptId, AttemptMemory, AttemptOutcome,
        AttemptRecord, AttemptSent, AttemptVerdict, MAX_ANSWER_BYTES,
        MemorySettings, StoredAnswer,
    },
    attempt_budget::{AttemptBudget, BudgetSettings},
    attempt_timeout::{TimeoutInputs, attempt_timeout},
    deadline::{TransitEstimate, timeout_to_forward},
    denial::{DenialAction, OwnerDenial, denial_action},
    gateway::GatewayLimit,
    limit::{LimitVerdict, OwnerAdvice, ServerLimit, ServerSignal},
    link::{LINK_CHUNK, LinkFlow, LinkSettings, LinkShare, LinkVolume},
    load::{LoadReading, REPORTED_SLICES, ServerLoad},
    pipeline::{PipelineEffect, PipelineGate, PipelineStart},
    placement::{
        LoadEstimate, PlacementPlanner, PlacementSettings, PlannedMove,
        TargetReport, TargetView, assign_orphans, greedy_moves,
        hash_placement, waiting_requests,
    },
    pool::{PoolCandidate, PoolChoice, ServerProximity, choose_server},
    queue::{
        CancelOutcome, CompletionOutcome, OfferOutcome, QueueEvent,
        QueueRefusal, QueueSettings, QueuedRequest, RequestKey, ServerQueue,
    },
    rate::{
        FleetPosition, PermitGrant, PermitRequest, RateAllowance, RateLedger,
    },
    reader::is_reader_stalled,
    rebalancing::{
        PlacedRange, RangeLoad, RangeMove, RebalanceSettings, TargetLoad,
        least_loaded_target, rebalancing_moves, target_utilization,
    },
    retry::{
        AttemptStart, FailedAttempt, REDIRECT_LIMIT, RefusalProof, RefusedBy,
        RetryDecision, RetryPolicy,
    },
    round_robin::WeightedRoundRobin,
    share::server_share,
    times::ResponseTimes,
    work::WorkEstimate,
};

/*!
Pure decisions under load: admission, fairness, retries, placement.

Nothing in this crate reads a clock, a socket or a random source. The current
time and random numbers are arguments, so that every decision can be tested
without a network. The docs of each module name the load that it handles, what
fails without it, and the reasons for its constants.

- [`GatewayLimit`]: limits the requests in flight of a gateway, fair by caller.
- [`PlacementPlanner`]: assigns slices to servers.
- [`ServerQueue`]: the single queue in front of a backend server.
- [`ServerLimit`]: the concurrency limit of a server.
- [`AttemptMemory`]: at-most-once execution when a caller resends a request.
- [`RetryPolicy`]: whether a failed attempt is retried.
- [`RefusalProof`]: whether a refusal proves that a request did not run.
- [`LinkShare`]: schedules traffic on the slow link between two regions.
- [`ServerLoad`]: slot time used at a server, by slice.
- [`is_reader_stalled`]: how long a stalled reader may hold a slot.
- [`timeout_to_forward`]: converts a deadline for another process.
- [`choose_server`]: picks a server of a service that any of them may serve.
- [`ResponseTimes`]: the typical response times of a server.
- [`AdmissionQueue`]: the order in which waiting requests get a slot.
- [`attempt_timeout()`]: the timeout of a single attempt.
- [`PipelineGate`]: which pipelined requests run concurrently.
- [`RateLedger`], [`RateAllowance`]: share the rate limit that a server states
  for all of its senders.
- [`ColdAllowance`]: which VMs send to a cold server, and how often.
- [`AttemptBudget`]: limits the attempts beyond the first that a VM may make.
- [`RetryShares`]: which requests get a retry when few are left.
- [`RetryLedger`]: lends retries that some VMs leave unused to others.
- [`RetryShortage`]: how long a service has been short of retries.
- [`ServerWindow`]: which servers a VM of a large fleet sends to.
- [`server_share`]: the requests that one VM may have in flight at a server.
- [`ReachMonitor`]: whether a VM has lost its links to the servers of a
  service.
- [`PlannerReach`]: whether a partitioned planner gives up its role.
- [`choose_relay`]: the VM that sends a request for one that reaches no server.
- [`BackoffReports`]: what the backoffs of all VMs tell about a server.
- [`BusyWait`]: how long a VM waits for changes from a VM that is busy.
- [`StoreReadInputs`]: when a VM whose update sources fail reads the store.
- [`ServerNotices`]: what servers have stated to this VM in their responses.
- [`CrashLedger`]: which requests are refused because servers ended under
  them.
- [`BulkWindow`]: limits the downloads that a VM requests from another region.
- [`WorkEstimate`]: how long a server works on a request.
- [`HeldBytes`]: bounds what callers and servers can make a VM hold.
- [`LateResponse`]: how long a response may go on after its deadline.
- [`denial_action`]: whether a request is retried at an owner that denied
  its key.
- [`WeightedRoundRobin`]: splits a route by weight.
- [`rebalancing_moves`]: which key ranges move between servers, and when.
- [`limited_keys`]: which keys of an overloaded owner are limited, and to what
  part of their requests.
- [`baseline`]: two simple policies for comparison.
*/

mod admission;
mod attempt;
mod attempt_budget;
mod attempt_timeout;
mod backoff_reports;
pub mod baseline;
mod bulk;
mod busy_source;
mod cold;
mod crashes;
mod deadline;
mod denial;
mod gateway;
mod held_bytes;
mod late_response;
mod limit;
mod link;
mod load;
mod notices;
mod owner_admission;
mod pipeline;
mod placement;
mod pool;
mod queue;
mod queueing;
mod rate;
mod reach;
mod reader;
mod rebalancing;
mod relay;
mod retry;
mod retry_loans;
mod retry_shares;
mod round_robin;
mod share;
mod shortage;
mod store_read;
mod subset;
mod times;
mod work;

pub use crate::{
    admission::{AdmissionQueue, QueuePosition},
    attempt::{
        AttemptArrival, AttemptId, AttemptMemory, AttemptOutcome,
        AttemptRecord, AttemptSent, AttemptVerdict, MAX_ANSWER_BYTES,
        MemorySettings, StoredAnswer,
    },
    attempt_budget::{
        AttemptBudget, BudgetSettings, LOAN_TTL, OFFER_LIFE, OFFER_TTL,
        RetrySupply,
    },
    attempt_timeout::{TimeoutInputs, attempt_timeout},
    backoff_reports::BackoffReports,
    bulk::{BulkWindow, is_clearly_sooner},
    busy_source::BusyWait,
    cold::ColdAllowance,
    crashes::{CrashLedger, EndProof, LostAttempt, REPORT_ERROR, ServerCrash},
    deadline::{TransitEstimate, timeout_to_forward},
    denial::{DenialAction, DenialHistory, OwnerDenial, denial_action},
    gateway::GatewayLimit,
    held_bytes::{
        AwaitedStep, HeldBytes, ReaderId, SMALL_BODY_BYTES, STREAM_BYTES,
    },
    late_response::LateResponse,
    limit::{LimitVerdict, OwnerAdvice, ServerLimit, ServerSignal},
    link::{LINK_CHUNK_BYTES, LinkFlow, LinkSettings, LinkShare, LinkVolume},
    load::{LoadReport, REPORTED_SLICES, ServerLoad},
    notices::ServerNotices,
    owner_admission::{
        LimitedKey, MAX_LIMITED_KEYS, OwnerWork, limited_keys, owner_capacity,
        published_keys, shortage_retry_after,
    },
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
    reach::{PlannerReach, ReachEvent, ReachMonitor, ReachRule},
    reader::is_reader_stalled,
    rebalancing::{
        PlacedRange, RangeLoad, RangeMove, RebalanceSettings, TargetLoad,
        least_loaded_target, rebalancing_moves, target_utilization,
    },
    relay::{RelayCandidate, choose_relay},
    retry::{
        AttemptStart, FailedAttempt, MAX_REDIRECTS, RefusalProof, RefusedBy,
        RetryDecision, RetryPolicy,
    },
    retry_loans::{RetryLedger, RetryUse},
    retry_shares::{RetryClass, RetryShares},
    round_robin::WeightedRoundRobin,
    share::{is_crowded, server_share, window_share},
    shortage::{RetryShortage, ShortageChange},
    store_read::{StoreReadInputs, StoreReadStep},
    subset::ServerWindow,
    times::ResponseTimes,
    work::WorkEstimate,
};

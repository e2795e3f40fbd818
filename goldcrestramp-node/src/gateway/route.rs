//! From a checked request to the keeper of its key's owner, and back.

use std::{sync::Arc, time::Duration};

use goldcrestramp_decisions::{RefusalProof, RefusedBy, RetryDecision};
use goldcrestramp_types::{
    LocalTime, NotRunReason, RequestEffect, RetryReason, ServerName, TimeSpan,
    UnknownReason, slice_of,
};
use goldcrestramp_wire::peer::{RouteFrame, RouteHead};
use tonic::Streaming;

use crate::{
    context::NodeContext,
    faults::PlantedFault,
    gateway::{
        attempt::TryOutcome,
        request::CallerRequest,
        retry::{FailedTry, RetryBook, jittered},
    },
    metrics::NodeMetrics,
    peers::PeerChannels,
};

/// The most times that one request is redirected or sent again.
///
/// Two moves of a slice at once cost four; more would be a loop.
const SENDS_MOST: u32 = 8;
/// A pause before a keeper that was out of reach is tried again, unless
/// the table changes first.
const PAUSE: Duration = Duration::from_millis(50);
/// How long a request waits for its key to have an owner within reach.
///
/// A lost owner is replaced within 2 s. What takes longer is a failure
/// domain that is cut off, for hours perhaps: then the caller is told at
/// once instead of being kept until its deadline.
const OWNER_PATIENCE: TimeSpan = TimeSpan::from_millis(3_000);
/// What a caller is told to wait when nobody owns its key: the lease time,
/// after which a lost owner is replaced.
const OWNER_WAIT: TimeSpan = TimeSpan::from_millis(1_500);

/// What became of a request.
#[derive(Debug)]
pub(crate) enum RouteAnswer {
    /// The server answers; the frames end with an end mark if it is whole.
    Done(Box<RouteDone>),
    /// The last try did not run, says this one.
    NotRun {
        reason: NotRunReason,
        retry_after: Option<TimeSpan>,
        by: RefusedBy,
    },
    /// It may have run.
    Unknown { reason: UnknownReason, retry_after: Option<TimeSpan> },
}

impl RouteAnswer {
    /// It may have run, and nothing is known of when to come back.
    pub(super) const fn unknown(reason: UnknownReason) -> Self {
        Self::Unknown { reason, retry_after: None }
    }
}

/// An answer that has begun.
#[derive(Debug)]
pub(crate) struct RouteDone {
    pub(crate) head: RouteHead,
    pub(crate) frames: RouteStream,
}

/// The frames of an answer that has begun.
#[derive(Debug)]
pub(crate) struct RouteStream {
    pub(super) frames: Streaming<RouteFrame>,
    pub(super) context: Arc<NodeContext>,
}

impl RouteStream {
    /// The next frame; `None`: broken off.
    pub(crate) async fn next(&mut self) -> Option<RouteFrame> {
        self.frames.message().await.ok().flatten()
    }

    /// Whether an answer that broke off is to end as if it were whole.
    pub(crate) fn passes_cut(&self) -> bool {
        self.context.faults.has(PlantedFault::CutPassed)
    }

    pub(crate) fn metrics(&self) -> &NodeMetrics {
        &self.context.metrics
    }
}

/// Where a request is sent, and the server that it is meant for.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(super) struct KeeperPlace {
    pub(super) address: Arc<str>,
    pub(super) server: ServerName,
}

/// Sends requests to keepers.
#[derive(Clone, Debug)]
pub(crate) struct RequestRouter {
    pub(super) context: Arc<NodeContext>,
    pub(super) channels: Arc<PeerChannels>,
    retries: RetryBook,
}

impl RequestRouter {
    pub(crate) fn new(context: Arc<NodeContext>) -> Self {
        let channels = Arc::new(PeerChannels::new(Arc::clone(&context)));
        Self { context, channels, retries: RetryBook::default() }
    }

    /// Routes a request until it has an outcome or its deadline passes.
    pub(crate) async fn route(&self, request: &CallerRequest) -> RouteAnswer {
        let effect = self.effect(request);
        let mut proof = RefusalProof::new(effect, request.resend);
        let answer = self.route_tries(request, &mut proof).await;
        let open = matches!(answer, RouteAnswer::Unknown { .. });
        if open && self.context.faults.has(PlantedFault::UnknownDenied) {
            return refused(NotRunReason::Cancelled);
        }
        let RouteAnswer::NotRun { reason, retry_after, by } = answer else {
            return answer;
        };
        // The last try's refusal says nothing of those before it: a lookup
        // that had run was denied when its retry found no budget.
        match proof.judge(reason, by) {
            Ok(reason) => RouteAnswer::NotRun { reason, retry_after, by },
            Err(reason) => RouteAnswer::Unknown { reason, retry_after },
        }
    }

    /// What a second run of the request would do.
    pub(super) fn effect(&self, request: &CallerRequest) -> RequestEffect {
        if self.context.faults.has(PlantedFault::StartedRetried) {
            return RequestEffect::Idempotent;
        }
        request.class.effect()
    }

    /// Tries until a try ends the request; notes in `proof` which of them
    /// may have run.
    async fn route_tries(
        &self,
        request: &CallerRequest,
        proof: &mut RefusalProof,
    ) -> RouteAnswer {
        let mut named = None;
        let mut last = RetryReason::NoOwner;
        let mut retries = 0;
        let mut sends = 0;
        let patience = self.patience(request);
        self.retries.attempted(request);
        while sends < SENDS_MOST {
            let place = match named.take() {
                Some(place) => place,
                None => match self.owner(request, patience).await {
                    Ok(place) => place,
                    Err(reason) => return refused(reason),
                },
            };
            let failed = match self.attempt(request, &place).await {
                TryOutcome::Answer(answer) => return answer,
                TryOutcome::Again(reason, elsewhere) => {
                    self.context.metrics.count_retry(reason);
                    last = reason;
                    sends += u32::from(elsewhere.is_some());
                    named = elsewhere;
                    if named.is_none() && !self.pause(patience).await {
                        break;
                    }
                    continue;
                }
                TryOutcome::Refused(refusal, wait) => {
                    FailedTry::refused(refusal, wait, retries)
                }
                TryOutcome::BrokenOff(reason) => {
                    proof.may_have_run(reason);
                    FailedTry::broken_off(retries)
                }
            };
            if let Some(answer) = self.again(request, failed).await {
                return answer;
            }
            retries += 1;
            sends += 1;
            last = failed.reason;
        }
        refused(exhausted(last))
    }

    /// Waits until a budgeted retry may be made; an answer if it may not.
    async fn again(
        &self,
        request: &CallerRequest,
        failed: FailedTry,
    ) -> Option<RouteAnswer> {
        let now = self.context.now();
        let effect = self.effect(request);
        let decision = self.retries.decide(now, request, effect, &failed);
        let time = match decision {
            RetryDecision::Retry(time, reason) => {
                self.context.metrics.count_retry(reason);
                time.max(now + failed.wait)
            }
            RetryDecision::NotRun(reason) => {
                let retry_after = Some(failed.wait);
                let by = RefusedBy::Keeper;
                return Some(RouteAnswer::NotRun { reason, retry_after, by });
            }
            RetryDecision::Unknown => {
                let reason = UnknownReason::KeeperLost;
                return Some(RouteAnswer::unknown(reason));
            }
        };
        let mut changes = self.context.table_changed.subscribe();
        let wait = time.since(now).to_std();
        // A new table may name another owner before the time is over.
        drop(tokio::time::timeout(wait, changes.changed()).await);
        None
    }

    /// Until when a request waits for an owner within reach.
    pub(super) fn patience(&self, request: &CallerRequest) -> LocalTime {
        let end = self.context.now() + OWNER_PATIENCE;
        end.min(request.deadline)
    }

    /// The keeper's address; waits for an owner until `patience` ends.
    pub(super) async fn owner(
        &self,
        request: &CallerRequest,
        patience: LocalTime,
    ) -> Result<KeeperPlace, NotRunReason> {
        let mut changes = self.context.table_changed.subscribe();
        loop {
            changes.borrow_and_update();
            let table = self.context.table.load_full();
            if self.context.lacks_service(&request.service) {
                return Err(NotRunReason::UnknownService);
            }
            let routes = table.service(&request.service);
            let target = routes.and_then(|routes| {
                routes.target(slice_of(&request.key, routes.count))
            });
            if let Some(target) = target {
                return Ok(KeeperPlace {
                    address: Arc::clone(&target.address),
                    server: target.server.clone(),
                });
            }
            let left = patience.since(self.context.now());
            let wait = tokio::time::timeout(left.to_std(), changes.changed());
            if wait.await.is_err() {
                return Err(NotRunReason::NoOwner);
            }
        }
    }

    /// Waits for a new table or a moment; `false`: the deadline is over.
    pub(super) async fn pause(&self, deadline: LocalTime) -> bool {
        let left = deadline.since(self.context.now());
        if left == TimeSpan::ZERO {
            return false;
        }
        let mut changes = self.context.table_changed.subscribe();
        let wait = PAUSE.min(left.to_std());
        // Either end of the wait is good for another try.
        drop(tokio::time::timeout(wait, changes.changed()).await);
        true
    }
}

/// The refusal after the last try.
const fn exhausted(last: RetryReason) -> NotRunReason {
    match last {
        RetryReason::Redirected => NotRunReason::OwnerMoved,
        RetryReason::KeeperUnreachable => NotRunReason::KeeperUnreachable,
        RetryReason::ServerRefused => NotRunReason::ServerRefused,
        RetryReason::NoOwner | RetryReason::BrokenOff => NotRunReason::NoOwner,
    }
}

pub(super) fn refused(reason: NotRunReason) -> RouteAnswer {
    let retry_after = match reason {
        NotRunReason::BadRequest | NotRunReason::UnknownService => None,
        _ => Some(jittered(OWNER_WAIT)),
    };
    RouteAnswer::NotRun { reason, retry_after, by: RefusedBy::Gateway }
}

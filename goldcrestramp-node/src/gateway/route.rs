//! Routes a validated request to the keeper of its key's owner.

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
        attempt::AttemptResult,
        request::CallerRequest,
        retry::{AttemptFailure, GatewayRetries, jittered},
    },
    metrics::NodeMetrics,
    peers::PeerChannels,
};

/// The maximum number of redirects and retries of one request.
///
/// Two moves of a slice at once need four; more would be a loop.
const MAX_EXTRA_ATTEMPTS: u32 = 8;
/// The delay before a retry at a keeper that was unreachable, unless the table
/// changes first.
const RETRY_DELAY: Duration = Duration::from_millis(50);
/// How long a request waits until its key has a reachable owner.
///
/// A lost owner is replaced within 2 s. If it takes longer, a failure domain
/// is cut off, possibly for hours. Then the request fails early instead of
/// waiting until its deadline.
const OWNER_TIMEOUT: TimeSpan = TimeSpan::from_millis(3_000);
/// The retry time for a key without an owner: the lease time, after which a
/// lost owner is replaced.
const OWNER_RETRY_AFTER: TimeSpan = TimeSpan::from_millis(1_500);

/// The outcome of a request.
#[derive(Debug)]
pub(crate) enum RouteOutcome {
    /// The server responds. The frames end with an end frame if the
    /// response is complete.
    Done(Box<RouteResponse>),
    /// The last attempt did not run, according to `by`.
    NotRun {
        reason: NotRunReason,
        retry_after: Option<TimeSpan>,
        by: RefusedBy,
    },
    /// The request may have run.
    Unknown { reason: UnknownReason, retry_after: Option<TimeSpan> },
}

impl RouteOutcome {
    /// The request may have run, and there is no time for a retry.
    pub(super) const fn unknown(reason: UnknownReason) -> Self {
        Self::Unknown { reason, retry_after: None }
    }
}

/// A response that has started.
#[derive(Debug)]
pub(crate) struct RouteResponse {
    pub(crate) head: RouteHead,
    pub(crate) frames: ResponseStream,
}

/// The frames of a response that has started.
#[derive(Debug)]
pub(crate) struct ResponseStream {
    pub(super) frames: Streaming<RouteFrame>,
    pub(super) context: Arc<NodeContext>,
}

impl ResponseStream {
    /// The next frame, or `None` if the stream broke.
    pub(crate) async fn next(&mut self) -> Option<RouteFrame> {
        self.frames.message().await.ok().flatten()
    }

    /// Whether a planted fault makes a truncated response end as if it were
    /// complete.
    pub(crate) fn passes_truncated(&self) -> bool {
        self.context.faults.has(PlantedFault::CutPassed)
    }

    pub(crate) fn metrics(&self) -> &NodeMetrics {
        &self.context.metrics
    }
}

/// The keeper that a request is sent to, and the server it is meant for.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(super) struct KeeperTarget {
    pub(super) address: Arc<str>,
    pub(super) server: ServerName,
}

/// Sends requests to keepers.
#[derive(Clone, Debug)]
pub(crate) struct RequestRouter {
    pub(super) context: Arc<NodeContext>,
    pub(super) channels: Arc<PeerChannels>,
    retries: GatewayRetries,
}

impl RequestRouter {
    pub(crate) fn new(context: Arc<NodeContext>) -> Self {
        let channels = Arc::new(PeerChannels::new(Arc::clone(&context)));
        Self { context, channels, retries: GatewayRetries::default() }
    }

    /// Routes a request until it has an outcome or its deadline passes.
    pub(crate) async fn route(&self, request: &CallerRequest) -> RouteOutcome {
        let effect = self.effect(request);
        let mut proof = RefusalProof::new(effect, request.resend);
        let outcome = self.route_attempts(request, &mut proof).await;
        let is_unknown = matches!(outcome, RouteOutcome::Unknown { .. });
        if is_unknown && self.context.faults.has(PlantedFault::UnknownDenied) {
            return refused(NotRunReason::Cancelled);
        }
        let RouteOutcome::NotRun { reason, retry_after, by } = outcome else {
            return outcome;
        };
        // The refusal of the last attempt says nothing about earlier ones. A
        // lookup that had run was reported as not run when the budget
        // refused its retry.
        match proof.judge(reason, by) {
            Ok(reason) => RouteOutcome::NotRun { reason, retry_after, by },
            Err(unknown) => {
                log::info!(
                    "gateway: {} {} of {} may have run, and a later attempt \
                     was refused: {}.",
                    request.class.code(),
                    request.name,
                    request.caller,
                    reason.code(),
                );
                RouteOutcome::Unknown { reason: unknown, retry_after }
            }
        }
    }

    /// The effect of executing the request twice.
    pub(super) fn effect(&self, request: &CallerRequest) -> RequestEffect {
        if self.context.faults.has(PlantedFault::StartedRetried) {
            return RequestEffect::Idempotent;
        }
        request.class.effect()
    }

    /// Makes attempts until one ends the request, and records in `proof`
    /// which of them may have run.
    async fn route_attempts(
        &self,
        request: &CallerRequest,
        proof: &mut RefusalProof,
    ) -> RouteOutcome {
        let mut next_target = None;
        let mut last_reason = RetryReason::NoOwner;
        let mut retries = 0;
        let mut extra_attempts = 0;
        let owner_deadline = self.owner_deadline(request);
        self.retries.record_attempt(request);
        while extra_attempts < MAX_EXTRA_ATTEMPTS {
            let target = match next_target.take() {
                Some(target) => target,
                None => match self.owner(request, owner_deadline).await {
                    Ok(target) => target,
                    Err(reason) => return refused(reason),
                },
            };
            let failed = match self.attempt(request, &target).await {
                AttemptResult::Final(outcome) => return outcome,
                AttemptResult::Retry(reason, redirect) => {
                    self.context.metrics.count_retry(reason);
                    last_reason = reason;
                    extra_attempts += u32::from(redirect.is_some());
                    next_target = redirect;
                    if next_target.is_none()
                        && !self.pause(owner_deadline).await
                    {
                        break;
                    }
                    continue;
                }
                AttemptResult::Refused(refusal, wait) => {
                    AttemptFailure::refused(refusal, wait, retries)
                }
                AttemptResult::Interrupted(reason) => {
                    proof.may_have_run(reason);
                    AttemptFailure::interrupted(retries)
                }
            };
            if let Some(outcome) = self.wait_for_retry(request, failed).await {
                return outcome;
            }
            retries += 1;
            extra_attempts += 1;
            last_reason = failed.reason;
        }
        refused(exhausted(last_reason))
    }

    /// Waits until a retry is due; returns an outcome if the budgets allow
    /// none.
    async fn wait_for_retry(
        &self,
        request: &CallerRequest,
        failed: AttemptFailure,
    ) -> Option<RouteOutcome> {
        let now = self.context.now();
        let effect = self.effect(request);
        let decision = self.retries.decide(now, request, effect, &failed);
        let retry_at = match decision {
            RetryDecision::Retry(retry_at, reason) => {
                self.context.metrics.count_retry(reason);
                retry_at.max(now + failed.wait)
            }
            RetryDecision::NotRun(reason) => {
                let retry_after = Some(failed.wait);
                let by = RefusedBy::Keeper;
                return Some(RouteOutcome::NotRun { reason, retry_after, by });
            }
            RetryDecision::Unknown => {
                log::info!(
                    "gateway: {} {} of {} may have run and is not retried.",
                    request.class.code(),
                    request.name,
                    request.caller,
                );
                let reason = UnknownReason::KeeperLost;
                return Some(RouteOutcome::unknown(reason));
            }
        };
        let mut changes = self.context.table_changed.subscribe();
        let wait = retry_at.since(now).to_std();
        // A new table may name another owner before the time has passed.
        drop(tokio::time::timeout(wait, changes.changed()).await);
        None
    }

    /// Until when a request waits for a reachable owner.
    pub(super) fn owner_deadline(&self, request: &CallerRequest) -> LocalTime {
        let end = self.context.now() + OWNER_TIMEOUT;
        end.min(request.deadline)
    }

    /// The keeper of the key's owner; waits for one until `owner_deadline`.
    pub(super) async fn owner(
        &self,
        request: &CallerRequest,
        owner_deadline: LocalTime,
    ) -> Result<KeeperTarget, NotRunReason> {
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
                return Ok(KeeperTarget {
                    address: Arc::clone(&target.address),
                    server: target.server.clone(),
                });
            }
            let remaining = owner_deadline.since(self.context.now());
            let wait =
                tokio::time::timeout(remaining.to_std(), changes.changed());
            if wait.await.is_err() {
                return Err(NotRunReason::NoOwner);
            }
        }
    }

    /// Waits for a new table or for [`RETRY_DELAY`]; returns `false` if the
    /// deadline has passed.
    pub(super) async fn pause(&self, deadline: LocalTime) -> bool {
        let remaining = deadline.since(self.context.now());
        if remaining == TimeSpan::ZERO {
            return false;
        }
        let mut changes = self.context.table_changed.subscribe();
        let wait = RETRY_DELAY.min(remaining.to_std());
        // Another attempt follows whether the table changed or not.
        drop(tokio::time::timeout(wait, changes.changed()).await);
        true
    }
}

/// The refusal after the last attempt.
const fn exhausted(last_reason: RetryReason) -> NotRunReason {
    match last_reason {
        RetryReason::Redirected => NotRunReason::OwnerMoved,
        RetryReason::KeeperUnreachable => NotRunReason::KeeperUnreachable,
        RetryReason::ServerRefused => NotRunReason::ServerRefused,
        RetryReason::NoOwner | RetryReason::BrokenOff => NotRunReason::NoOwner,
    }
}

pub(super) fn refused(reason: NotRunReason) -> RouteOutcome {
    let retry_after = match reason {
        NotRunReason::BadRequest | NotRunReason::UnknownService => None,
        _ => Some(jittered(OWNER_RETRY_AFTER)),
    };
    RouteOutcome::NotRun { reason, retry_after, by: RefusedBy::Gateway }
}

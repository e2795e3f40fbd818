//! Decides which attempts of a request are retried.
//!
//! An attempt that reached no keeper, or one that no longer keeps the server,
//! adds no load to a server and is retried when the table changes. One that a
//! server refused or that was interrupted is retried only within the budgets.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use goldcrestramp_decisions::{
    AttemptStart, FailedAttempt, RetryDecision, RetryPolicy,
};
use goldcrestramp_types::{
    LocalTime, NotRunReason, RequestEffect, RetryReason, TimeSpan,
};

use crate::gateway::request::CallerRequest;

/// The minimum time that an attempt is assumed to need: a round trip between
/// regions.
const TYPICAL_ATTEMPT_TIME: TimeSpan = TimeSpan::from_millis(30);

/// The retry policy of this gateway, shared by its requests.
#[derive(Clone, Debug, Default)]
pub(crate) struct GatewayRetries {
    policy: Arc<Mutex<RetryPolicy>>,
}

impl GatewayRetries {
    /// Records a request's first attempt.
    pub(crate) fn record_attempt(&self, request: &CallerRequest) {
        self.lock().record_attempt(&request.caller, &request.service);
    }

    /// Decides what follows an attempt that was refused or interrupted.
    pub(crate) fn decide(
        &self,
        now: LocalTime,
        request: &CallerRequest,
        effect: RequestEffect,
        failed: &AttemptFailure,
    ) -> RetryDecision {
        // A caller that cannot retry in time gets the refusal now.
        if now + failed.wait >= request.deadline
            && failed.start == AttemptStart::NotStarted
        {
            return RetryDecision::NotRun(failed.refusal);
        }
        let attempt = FailedAttempt {
            caller: &request.caller,
            service: &request.service,
            effect,
            start: failed.start,
            reason: failed.reason,
            refusal: failed.refusal,
            redirects: 0,
            retries: failed.retries,
            deadline: request.deadline,
            typical: TYPICAL_ATTEMPT_TIME,
        };
        self.lock().decide(now, &attempt, rand::random())
    }

    fn lock(&self) -> MutexGuard<'_, RetryPolicy> {
        self.policy.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Adds jitter of up to half of the retry time.
///
/// Requests refused for one cause would otherwise be retried in one burst.
pub(crate) fn jittered(wait: TimeSpan) -> TimeSpan {
    let spread = wait.as_micros() / 2 + 1;
    wait.plus(TimeSpan::from_micros(rand::random::<u64>() % spread))
}

/// An attempt that was refused or interrupted.
#[derive(Clone, Copy, Debug)]
pub(crate) struct AttemptFailure {
    start: AttemptStart,
    /// Why the attempt would be retried.
    pub(crate) reason: RetryReason,
    refusal: NotRunReason,
    retries: u32,
    /// How long the keeper asked to wait before a retry.
    pub(crate) wait: TimeSpan,
}

impl AttemptFailure {
    /// An attempt that was refused before it started.
    pub(crate) const fn refused(
        refusal: NotRunReason,
        wait: TimeSpan,
        retries: u32,
    ) -> Self {
        let start = AttemptStart::NotStarted;
        let reason = RetryReason::ServerRefused;
        Self { start, reason, refusal, retries, wait }
    }

    /// An attempt that was interrupted before its first byte, and may have
    /// run.
    pub(crate) const fn interrupted(retries: u32) -> Self {
        Self {
            start: AttemptStart::MayHaveRun,
            reason: RetryReason::BrokenOff,
            refusal: NotRunReason::KeeperUnreachable,
            retries,
            wait: TimeSpan::ZERO,
        }
    }
}

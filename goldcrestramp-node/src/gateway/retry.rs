//! Which of a request's attempts are made again.
//!
//! An attempt that reached no keeper, or one that is no longer the right
//! one, costs no server anything and waits for the table to change. One that
//! a server refused or broke off is made again within the budgets alone.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use goldcrestramp_decisions::{
    AttemptStart, FailedAttempt, RetryDecision, RetryPolicy,
};
use goldcrestramp_types::{
    LocalTime, NotRunReason, RequestEffect, RetryReason, TimeSpan,
};

use crate::gateway::request::CallerRequest;

/// The time that an attempt is taken to need at least: a round trip between
/// regions.
const USUAL_ATTEMPT: TimeSpan = TimeSpan::from_millis(30);

/// The retry policy of this gateway, shared by its requests.
#[derive(Clone, Debug, Default)]
pub(crate) struct RetryBook {
    policy: Arc<Mutex<RetryPolicy>>,
}

impl RetryBook {
    /// Counts a request's first attempt.
    pub(crate) fn attempted(&self, request: &CallerRequest) {
        self.lock().record_attempt(&request.caller, &request.service);
    }

    /// Decides what follows an attempt that a server refused or broke off.
    pub(crate) fn decide(
        &self,
        now: LocalTime,
        request: &CallerRequest,
        effect: RequestEffect,
        failed: &FailedTry,
    ) -> RetryDecision {
        // One who cannot come back in time has its answer now.
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
            typical: USUAL_ATTEMPT,
        };
        self.lock().decide(now, &attempt, rand::random())
    }

    fn lock(&self) -> MutexGuard<'_, RetryPolicy> {
        self.policy.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// A time to come back with up to half as long again at random.
///
/// All who were refused for one cause would otherwise return as one burst.
pub(crate) fn jittered(wait: TimeSpan) -> TimeSpan {
    let spread = wait.as_micros() / 2 + 1;
    wait.plus(TimeSpan::from_micros(rand::random::<u64>() % spread))
}

/// A try that a server refused or broke off.
#[derive(Clone, Copy, Debug)]
pub(crate) struct FailedTry {
    start: AttemptStart,
    /// Why it would be made again.
    pub(crate) reason: RetryReason,
    refusal: NotRunReason,
    retries: u32,
    /// When the keeper said to come back.
    pub(crate) wait: TimeSpan,
}

impl FailedTry {
    /// It was refused before it started.
    pub(crate) const fn refused(
        refusal: NotRunReason,
        wait: TimeSpan,
        retries: u32,
    ) -> Self {
        let start = AttemptStart::NotStarted;
        let reason = RetryReason::ServerRefused;
        Self { start, reason, refusal, retries, wait }
    }

    /// It broke off before its first byte, and may have run.
    pub(crate) const fn broken_off(retries: u32) -> Self {
        Self {
            start: AttemptStart::MayHaveRun,
            reason: RetryReason::BrokenOff,
            refusal: NotRunReason::KeeperUnreachable,
            retries,
            wait: TimeSpan::ZERO,
        }
    }
}

//! Which of a request's attempts are made again.
//!
//! An attempt that reached no keeper, or one that is no longer the right
//! one, costs no server anything and waits for the table to change. One that
//! a server refused or broke off is made again within the budgets alone.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use goldcrestramp_decisions::{
    AttemptStart, FailedAttempt, RetryDecision, RetryPolicy,
};
use goldcrestramp_types::{LocalTime, NotRunReason, RetryReason, TimeSpan};

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
        self.lock().attempted(&request.caller, &request.service);
    }

    /// Decides what follows an attempt that a server refused or broke off.
    pub(crate) fn decide(
        &self,
        now: LocalTime,
        request: &CallerRequest,
        reason: RetryReason,
        retries: u32,
    ) -> RetryDecision {
        let start = match reason {
            RetryReason::BrokenOff => AttemptStart::MayHaveRun,
            _ => AttemptStart::NotStarted,
        };
        let failed = FailedAttempt {
            caller: &request.caller,
            service: &request.service,
            effect: request.class.effect(),
            start,
            reason,
            refusal: NotRunReason::ServerRefused,
            redirects: 0,
            retries,
            deadline: request.deadline,
            usual: USUAL_ATTEMPT,
        };
        self.lock().decide(now, &failed, rand::random())
    }

    fn lock(&self) -> MutexGuard<'_, RetryPolicy> {
        self.policy.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Whether retries for this reason put load on a server.
pub(crate) const fn is_budgeted(reason: RetryReason) -> bool {
    matches!(reason, RetryReason::ServerRefused | RetryReason::BrokenOff)
}

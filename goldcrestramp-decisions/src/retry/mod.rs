/*!
Whether a failed attempt is retried.

When a server or a keeper fails for seconds, every caller's request is retried,
and each retry fails and is retried again. Once it is back, it gets several
times its load. And an order that may have run would be run twice.

- A request that may have run is retried only if it is idempotent.
- A refusal of a later attempt proves nothing about an earlier one:
  [`RefusalProof`] keeps track of that.
- A retry takes from two budgets, its caller's and its service's. First
  attempts fill them, so retries add at most a tenth to the load.
- A retry waits for a random time within a window that doubles, and is not made
  if it could not end before the deadline.
- A redirect is no failure: it names the right keeper. It takes no budget, and
  at most [`MAX_REDIRECTS`] are followed.

There are no hedged requests. A hedge helps where a second replica can respond
sooner. Here a key has one owner, so the second copy would join the same queue
of the same server and take a slot from others. The tail latency that hedges
reduce comes from a slow gateway or link, and an attempt that is known not to
have been sent there is already retried.
*/

mod budget;
mod proof;

use goldcrestramp_types::{
    CallerName, LocalTime, NotRunReason, RequestEffect, RetryReason,
    ServiceName, TimeSpan,
};

use crate::retry::budget::BudgetTable;
pub use crate::retry::proof::{RefusalProof, RefusedBy};

/// The maximum number of redirects of one request. The table may be behind by
/// one move, and the next keeper's by another; with more, two keepers redirect
/// to each other.
pub const MAX_REDIRECTS: u32 = 3;

/// The maximum number of retries of one request: a third one rarely succeeds
/// where two did not.
const MAX_RETRIES: u32 = 2;

/// The window of the first delay: about the time in which a keeper learns of a
/// change. Without the random part, all requests would be retried at once.
const INITIAL_WINDOW: TimeSpan = TimeSpan::from_millis(10);

/// The maximum number of caller budgets, about 100 bytes each.
const MAX_CALLERS: usize = 4_096;

/// The maximum number of service budgets.
const MAX_SERVICES: usize = 1_024;

/// Whether a failed attempt can have run.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum AttemptStart {
    /// It certainly did not start.
    NotStarted,
    /// It may have run.
    MayHaveRun,
}

/// An attempt without a response.
#[derive(Clone, Copy, Debug)]
pub struct FailedAttempt<'a> {
    /// The caller.
    pub caller: &'a CallerName,
    /// The service that was called.
    pub service: &'a ServiceName,
    /// Whether a second run would do harm.
    pub effect: RequestEffect,
    /// Whether the attempt can have run.
    pub start: AttemptStart,
    /// The reason for a retry.
    pub reason: RetryReason,
    /// The reason that the caller gets if it is not retried and did not run.
    pub refusal: NotRunReason,
    /// Redirects of this request up to now.
    pub redirects: u32,
    /// Retries of this request up to now, without redirects.
    pub retries: u32,
    /// The request's deadline.
    pub deadline: LocalTime,
    /// The typical time of an attempt.
    pub typical: TimeSpan,
}

/// What to do after a failed attempt.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RetryDecision {
    /// Retry it, not before this time, and count the reason.
    Retry(LocalTime, RetryReason),
    /// It did not run and will not; respond with this reason.
    NotRun(NotRunReason),
    /// It may have run; respond accordingly.
    Unknown,
}

/// The retry policy and budgets of one gateway.
#[derive(Clone, Debug)]
pub struct RetryPolicy {
    callers: BudgetTable<CallerName>,
    services: BudgetTable<ServiceName>,
}

impl Default for RetryPolicy {
    fn default() -> Self {
        Self::new()
    }
}

impl RetryPolicy {
    /// Creates a policy without any attempts.
    #[must_use]
    pub fn new() -> Self {
        Self {
            callers: BudgetTable::new(MAX_CALLERS),
            services: BudgetTable::new(MAX_SERVICES),
        }
    }

    /// Records a first attempt, which adds to both budgets.
    pub fn record_attempt(
        &mut self,
        caller: &CallerName,
        service: &ServiceName,
    ) {
        self.callers.add_credit(caller);
        self.services.add_credit(service);
    }

    /// Decides what to do after a failed attempt.
    pub fn decide(
        &mut self,
        now: LocalTime,
        failed: &FailedAttempt<'_>,
        random: u64,
    ) -> RetryDecision {
        let may_have_run = failed.start == AttemptStart::MayHaveRun;
        // A second run of an order is the worst harm, so an order that may
        // have run is not retried, whatever budget and time remain.
        if may_have_run && failed.effect == RequestEffect::NonIdempotent {
            return RetryDecision::Unknown;
        }
        match self.retry_at(now, failed, random) {
            Ok(time) => RetryDecision::Retry(time, failed.reason),
            Err(_) if may_have_run => RetryDecision::Unknown,
            Err(reason) => RetryDecision::NotRun(reason),
        }
    }

    /// When to retry, or the reason not to.
    fn retry_at(
        &mut self,
        now: LocalTime,
        failed: &FailedAttempt<'_>,
        random: u64,
    ) -> Result<LocalTime, NotRunReason> {
        let redirected = failed.reason == RetryReason::Redirected;
        let time =
            if redirected { now } else { now + delay(failed.retries, random) };
        if time + failed.typical > failed.deadline {
            return Err(NotRunReason::DeadlineTooShort);
        }
        if redirected {
            let has_remaining = failed.redirects < MAX_REDIRECTS;
            return if has_remaining { Ok(time) } else { Err(failed.refusal) };
        }
        if failed.retries >= MAX_RETRIES {
            return Err(failed.refusal);
        }
        self.spend(failed).map(|()| time)
    }

    /// Takes a retry from both budgets, or from neither.
    fn spend(
        &mut self,
        failed: &FailedAttempt<'_>,
    ) -> Result<(), NotRunReason> {
        let caller = self.callers.can_spend(failed.caller);
        let service = self.services.can_spend(failed.service);
        if !caller || !service {
            return Err(NotRunReason::RetryBudget);
        }
        self.callers.spend(failed.caller);
        self.services.spend(failed.service);
        Ok(())
    }
}

/// A random delay within a window that doubles with each retry.
const fn delay(retries: u32, random: u64) -> TimeSpan {
    let doublings = if retries < 8 { retries } else { 8 };
    let window = INITIAL_WINDOW.as_micros() << doublings;
    TimeSpan::from_micros(random % (window + 1))
}

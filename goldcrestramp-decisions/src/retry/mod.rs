/*!
Whether a failed attempt is made again.

The load: a server or a keeper fails for seconds. Every caller's request is
then tried again, each try fails and is tried again, and what comes back is
met by several times its load. And an order that may have run is run twice.

- What may have run is sent again only if it is idempotent.
- A refusal of a later try proves nothing of an earlier one:
  [`RefusalProof`] keeps what is open.
- A retry takes from two budgets, its caller's and its service's, which
  fill with first attempts: retries add a tenth to the load at most.
- It waits for a random time within a window that doubles, and is not made
  when it could not end before the deadline.
- A redirect is no failure: it names the right keeper. It takes no budget,
  and ends after [`REDIRECT_LIMIT`].

Hedged requests were weighed and left out. A hedge pays where a second
replica can answer sooner; here a key has one owner, so the second copy joins
the same queue of the same server and takes a slot from others. The tail that
hedges cut comes from a slow gateway or link, and there the attempt that is
known to be unsent is retried already.
*/

mod budget;
mod proof;

use goldcrestramp_types::{
    CallerName, LocalTime, NotRunReason, RequestEffect, RetryReason,
    ServiceName, TimeSpan,
};

use crate::retry::budget::BudgetTable;
pub use crate::retry::proof::{RefusalProof, RefusedBy};

/// Redirects of one request: the table may be behind by one move, and the
/// next by another; more means that two keepers name each other.
pub const REDIRECT_LIMIT: u32 = 3;

/// Retries of one request: the third finds what two did not, rarely.
const RETRY_LIMIT: u32 = 2;

/// The window of the first wait: about the time in which a keeper learns
/// of a change. Without the random part all would come back at once.
const FIRST_WINDOW: TimeSpan = TimeSpan::from_millis(10);

/// Callers whose budgets are kept, about 100 bytes each.
const CALLER_LIMIT: usize = 4_096;

/// Services whose budgets are kept.
const SERVICE_LIMIT: usize = 1_024;

/// Whether a failed attempt can have run.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum AttemptStart {
    /// It certainly did not start.
    NotStarted,
    /// It may have.
    MayHaveRun,
}

/// An attempt that brought no answer.
#[derive(Clone, Copy, Debug)]
pub struct FailedAttempt<'a> {
    /// Who asked.
    pub caller: &'a CallerName,
    /// The service that was asked.
    pub service: &'a ServiceName,
    /// What a second run would do.
    pub effect: RequestEffect,
    /// Whether it can have run.
    pub start: AttemptStart,
    /// Why it would be made again.
    pub reason: RetryReason,
    /// What the caller is told if it is not, and it did not run.
    pub refusal: NotRunReason,
    /// Redirects and retries of this request so far.
    pub redirects: u32,
    /// Retries, redirects not counted.
    pub retries: u32,
    /// The request's deadline.
    pub deadline: LocalTime,
    /// The time that an attempt usually takes.
    pub usual: TimeSpan,
}

/// What follows a failed attempt.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RetryDecision {
    /// Make it again, not before this moment, and count the reason.
    Again(LocalTime, RetryReason),
    /// It did not run and will not; tell the caller why.
    NotRun(NotRunReason),
    /// It may have run; tell the caller so.
    Unknown,
}

/// The policy and budgets of one gateway.
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
    /// A policy with no attempts made yet.
    #[must_use]
    pub fn new() -> Self {
        Self {
            callers: BudgetTable::new(CALLER_LIMIT),
            services: BudgetTable::new(SERVICE_LIMIT),
        }
    }

    /// Counts a first attempt, which adds to both budgets.
    pub fn attempted(&mut self, caller: &CallerName, service: &ServiceName) {
        self.callers.earn(caller);
        self.services.earn(service);
    }

    /// Decides what follows a failed attempt.
    pub fn decide(
        &mut self,
        now: LocalTime,
        failed: &FailedAttempt<'_>,
        random: u64,
    ) -> RetryDecision {
        let may_have_run = failed.start == AttemptStart::MayHaveRun;
        // A second run of an order is the gravest harm, so one that may
        // have run ends here, whatever budget and time are left.
        if may_have_run && failed.effect == RequestEffect::NonIdempotent {
            return RetryDecision::Unknown;
        }
        match self.again_at(now, failed, random) {
            Ok(time) => RetryDecision::Again(time, failed.reason),
            Err(_) if may_have_run => RetryDecision::Unknown,
            Err(reason) => RetryDecision::NotRun(reason),
        }
    }

    /// When to make it again, or why not.
    fn again_at(
        &mut self,
        now: LocalTime,
        failed: &FailedAttempt<'_>,
        random: u64,
    ) -> Result<LocalTime, NotRunReason> {
        let redirected = failed.reason == RetryReason::Redirected;
        let time =
            if redirected { now } else { now + wait(failed.retries, random) };
        if time + failed.usual > failed.deadline {
            return Err(NotRunReason::DeadlineTooShort);
        }
        if redirected {
            let left = failed.redirects < REDIRECT_LIMIT;
            return if left { Ok(time) } else { Err(failed.refusal) };
        }
        if failed.retries >= RETRY_LIMIT {
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

/// A random wait within a window that doubles with each retry.
const fn wait(retries: u32, random: u64) -> TimeSpan {
    let doublings = if retries < 8 { retries } else { 8 };
    let window = FIRST_WINDOW.as_micros() << doublings;
    TimeSpan::from_micros(random % (window + 1))
}

//! Decides whether a request waits for the end of a server's backoff.

use goldcrestramp_types::TimeSpan;

/// A request whose servers are all in a backoff.
#[derive(Clone, Copy, Debug)]
pub struct BackoffInputs {
    /// The time until the earliest end of a backoff.
    pub ends_in: TimeSpan,
    /// The typical response time.
    pub latency: TimeSpan,
    /// The remaining time until the route's target latency.
    pub target_remaining: TimeSpan,
}

/// What to do with such a request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum BackoffAction {
    /// Hold it until the backoff ends.
    Wait,
    /// Refuse it now.
    Refuse,
}

/// Decides whether a request waits for the end of a backoff: only if it may
/// still be served within its target latency. One that is refused can be sent
/// to another VM, which may be in no backoff.
///
/// # Example
///
/// ```
/// use goldcrestramp_decisions::{BackoffAction, BackoffInputs, backoff_action};
/// use goldcrestramp_types::TimeSpan;
///
/// let millis = TimeSpan::from_millis;
/// let inputs = |ends_in| BackoffInputs {
///     ends_in: millis(ends_in),
///     latency: millis(100),
///     target_remaining: millis(400),
/// };
/// assert_eq!(backoff_action(inputs(200)), BackoffAction::Wait);
/// assert_eq!(backoff_action(inputs(3_000)), BackoffAction::Refuse);
/// ```
#[must_use]
pub fn backoff_action(inputs: BackoffInputs) -> BackoffAction {
    if inputs.ends_in.plus(inputs.latency) <= inputs.target_remaining {
        BackoffAction::Wait
    } else {
        BackoffAction::Refuse
    }
}

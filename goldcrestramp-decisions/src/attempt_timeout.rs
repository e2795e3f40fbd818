//! The timeout of an attempt, after which the request is retried elsewhere.
//!
//! It separates silent servers from slow ones. Without it, each request sent
//! to a silent server waits until its deadline. A timeout that is too short
//! discards work that is nearly done and repeats it on servers that are slow
//! because they are at capacity.

use goldcrestramp_types::TimeSpan;

/// The timeout, in percent of the typical response time. A working server
/// rarely takes longer, and a silent one never responds.
const TYPICAL_PERCENT: u64 = 350;

/// The minimum timeout, unless less time remains: a busy server's pauses are
/// shorter.
const MIN_TIMEOUT: TimeSpan = TimeSpan::from_millis(250);

/// What the timeout of an attempt depends on.
#[derive(Clone, Copy, Debug)]
pub struct TimeoutInputs {
    /// The typical response time of this server, once it has responded.
    pub typical: Option<TimeSpan>,
    /// The latency within which responses on the route have their full value.
    pub target_latency: TimeSpan,
    /// The time until the request's deadline.
    pub remaining: TimeSpan,
    /// Whether the request could be sent to another server: a retry is allowed
    /// and there is a server that was not tried. This is checked again when
    /// the timeout expires: by then the retry budget may be used up, or this
    /// VM may be about to stop.
    pub replaceable: bool,
}

/// Returns how long to wait for the head of a response.
///
/// A server that has not responded yet gets the target latency of its route.
/// With the timeout of a fast server, every VM that has just started would
/// abandon work half done and soon use up the retry budget.
///
/// # Example
///
/// ```
/// use goldcrestramp_decisions::{TimeoutInputs, attempt_timeout};
/// use goldcrestramp_types::TimeSpan;
///
/// let inputs = TimeoutInputs {
///     typical: Some(TimeSpan::from_millis(100)),
///     target_latency: TimeSpan::from_millis(400),
///     remaining: TimeSpan::from_millis(900),
///     replaceable: true,
/// };
/// assert_eq!(attempt_timeout(inputs), TimeSpan::from_millis(350));
/// let alone = TimeoutInputs { replaceable: false, ..inputs };
/// assert_eq!(attempt_timeout(alone), TimeSpan::from_millis(900));
/// ```
#[must_use]
pub fn attempt_timeout(inputs: TimeoutInputs) -> TimeSpan {
    if !inputs.replaceable {
        return inputs.remaining;
    }
    let typical =
        inputs.typical.map(|typical| typical.percent(TYPICAL_PERCENT));
    typical
        .unwrap_or(inputs.target_latency)
        .max(MIN_TIMEOUT)
        .min(inputs.remaining)
}

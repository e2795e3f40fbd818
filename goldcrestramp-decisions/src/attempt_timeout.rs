//! How long an answer is waited for before another server is asked.
//!
//! The load: servers that fall silent among servers that are merely slow.
//! Waited for until the deadline, one silent server costs each request that
//! it gets; given up early, work that is nearly done is thrown away and
//! done once more, by servers that are slow because they are full.

use goldcrestramp_types::TimeSpan;

/// An answer is waited for this many usual times, in percent, before
/// another server is asked: a longer wait is rarely met by a server that
/// works, and a silent one never answers.
const USUAL_PERCENT: u64 = 350;

/// The least of that wait: a pause of a busy server is shorter.
const LEAST: TimeSpan = TimeSpan::from_millis(250);

/// What the wait for an answer depends on.
#[derive(Clone, Copy, Debug)]
pub struct TimeoutInputs {
    /// The usual time of this server's answers, once it has given some.
    pub typical: Option<TimeSpan>,
    /// The time within which the route's answers are worth most.
    pub target_latency: TimeSpan,
    /// The time until nobody waits for an answer any more.
    pub remaining: TimeSpan,
    /// Whether the request could go to another server: it may repeat, and
    /// there is one that was not tried. Whether it goes there then is
    /// looked at again when the wait is over: the budget for repeats may be
    /// used up, or this VM may be about to stop.
    pub replaceable: bool,
}

/// How long the begin of an answer is waited for.
///
/// Of a server that has not answered yet nothing is known: it is waited for
/// as long as answers on its route may take. Taken for a fast one, it would
/// be given up in the middle of its work by every VM that has just started,
/// and the budget for another try would soon be used up.
///
/// # Example
///
/// ```
/// use goldcrestramp_decisions::{TimeoutInputs, attempt_timeout};
/// use goldcrestramp_types::TimeSpan;
///
/// let sight = TimeoutInputs {
///     typical: Some(TimeSpan::from_millis(100)),
///     target_latency: TimeSpan::from_millis(400),
///     remaining: TimeSpan::from_millis(900),
///     replaceable: true,
/// };
/// assert_eq!(attempt_timeout(sight), TimeSpan::from_millis(350));
/// let alone = TimeoutInputs { replaceable: false, ..sight };
/// assert_eq!(attempt_timeout(alone), TimeSpan::from_millis(900));
/// ```
#[must_use]
pub fn attempt_timeout(sight: TimeoutInputs) -> TimeSpan {
    if !sight.replaceable {
        return sight.remaining;
    }
    let typical = sight.typical.map(|typical| typical.percent(USUAL_PERCENT));
    typical.unwrap_or(sight.target_latency).max(LEAST).min(sight.remaining)
}

//! Bounds when previous planners may have sent their last grant.

use goldcrestramp_types::{LocalTime, TimeSpan};

/// What is known of the planner that a new one replaces.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum PreviousPlanner {
    /// It may still renew grants.
    MayRenew,
    /// It has stopped.
    Stopped {
        /// A time at which it was already the planner: it replaced its own
        /// predecessor then or earlier.
        planned_by: LocalTime,
    },
}

/// The latest time at which any previous planner may have sent a grant, as
/// known at `now`.
///
/// A planner that can't confirm that it still is the planner continues
/// to renew grants for `proof_lifetime`. That the previous planner has
/// stopped proves nothing about the ones before it: one of them may be cut
/// off and renew until its `proof_lifetime` is over.
///
/// # Example
///
/// ```
/// use goldcrestramp_assignment::{PreviousPlanner, last_grant_sent};
/// use goldcrestramp_types::{LocalTime, TimeSpan};
///
/// let at = |s: u64| LocalTime::from_micros(s * 1_000_000);
/// let proof_lifetime = TimeSpan::from_millis(12_000);
/// let stopped = PreviousPlanner::Stopped { planned_by: at(5) };
/// assert_eq!(last_grant_sent(at(8), stopped, proof_lifetime), at(17));
/// assert_eq!(last_grant_sent(at(90), stopped, proof_lifetime), at(90));
/// ```
#[must_use]
pub fn last_grant_sent(
    now: LocalTime,
    previous: PreviousPlanner,
    proof_lifetime: TimeSpan,
) -> LocalTime {
    match previous {
        PreviousPlanner::MayRenew => now + proof_lifetime,
        PreviousPlanner::Stopped { planned_by } => {
            now.max(planned_by + proof_lifetime)
        }
    }
}

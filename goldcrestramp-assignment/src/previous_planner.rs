//! When the planners before a new one may have sent their last grants.

use goldcrestramp_types::{LocalTime, TimeSpan};

/// What is known of the planner before a new one.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum PreviousPlanner {
    /// It may be renewing grants.
    MayRenew,
    /// It has stopped. It was known to plan at this moment.
    Stopped {
        /// At this moment or before it took the place of its predecessor.
        planned_by: LocalTime,
    },
}

/// The latest moment at which any planner before a new one may have sent a
/// grant, as known `now`; without proof of its place one renews for
/// `proof_life`.
///
/// One that has stopped says nothing of those before it: one of them may be
/// cut off and renew until that time is over.
///
/// # Example
///
/// ```
/// use goldcrestramp_assignment::{PreviousPlanner, last_grant_sent};
/// use goldcrestramp_types::{LocalTime, TimeSpan};
///
/// let at = |s: u64| LocalTime::from_micros(s * 1_000_000);
/// let proof_life = TimeSpan::from_millis(12_000);
/// let stopped = PreviousPlanner::Stopped { planned_by: at(5) };
/// assert_eq!(last_grant_sent(at(8), stopped, proof_life), at(17));
/// assert_eq!(last_grant_sent(at(90), stopped, proof_life), at(90));
/// ```
#[must_use]
pub fn last_grant_sent(
    now: LocalTime,
    former: PreviousPlanner,
    proof_life: TimeSpan,
) -> LocalTime {
    match former {
        PreviousPlanner::MayRenew => now + proof_life,
        PreviousPlanner::Stopped { planned_by } => {
            now.max(planned_by + proof_life)
        }
    }
}

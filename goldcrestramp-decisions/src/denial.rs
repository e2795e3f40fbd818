//! Decides whether to retry an owner that denied a key.
//!
//! When many servers stop at once or lose their keys, the table still names
//! them as owners for seconds. If every request retried them, they, or
//! whichever processes have their addresses by then, would get several times
//! the arrivals, and the retry budget would be spent on attempts that can't
//! succeed.

use goldcrestramp_types::{LocalTime, TimeSpan};

/// A grant reaches its server within this time after its table is known,
/// including one retransmission.
const MAX_GRANT_DELAY: TimeSpan = TimeSpan::from_millis(1_000);

/// An owner's statement that it does not hold a key.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct OwnerDenial {
    /// The token of the assignment that the request named.
    pub token: u64,
    /// When the owner denied the key.
    pub denied_at: LocalTime,
}

/// What to do with a request for a key.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum DenialAction {
    /// Send it to the owner.
    Retry,
    /// Wait for another assignment.
    AwaitChange {
        /// How long ago the owner denied the key. Since then the key is known
        /// to have no owner.
        denied_for: TimeSpan,
    },
}

/// Decides whether to send a request to an owner, given the owner's last
/// denial to this request.
///
/// `known_since` is when this VM learned of the assignment with `token`. An
/// owner that denies an assignment whose grant must have arrived has stopped
/// or lost its grant, and only another assignment changes that. A request
/// under a new assignment may arrive before its grant, so it is retried.
///
/// # Example
///
/// ```
/// use goldcrestramp_decisions::{OwnerDenial, DenialAction, denial_action};
/// use goldcrestramp_types::LocalTime;
///
/// let at = |millis: u64| LocalTime::from_micros(millis * 1_000);
/// let denial = OwnerDenial { token: 7, denied_at: at(5_000) };
/// let action = |token| denial_action(Some(denial), token, at(0), at(5_000));
/// assert!(matches!(action(7), DenialAction::AwaitChange { .. }));
/// assert_eq!(action(8), DenialAction::Retry);
/// ```
#[must_use]
pub fn denial_action(
    denial: Option<OwnerDenial>,
    token: u64,
    known_since: LocalTime,
    now: LocalTime,
) -> DenialAction {
    let denial = denial.filter(|denial| denial.token == token);
    let Some(OwnerDenial { denied_at, .. }) = denial else {
        return DenialAction::Retry;
    };
    if denied_at.since(known_since) < MAX_GRANT_DELAY {
        return DenialAction::Retry;
    }
    DenialAction::AwaitChange { denied_for: now.since(denied_at) }
}

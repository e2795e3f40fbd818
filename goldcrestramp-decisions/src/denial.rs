//! Whether an owner that denied a key is asked for it again.
//!
//! The load: many servers end at once, or stop holding their keys, and the
//! table names them for seconds longer. Asked again by each request, they or
//! whoever has their addresses by now get several times the arrivals, and the
//! budget of repeats is spent on what can't succeed.

use goldcrestramp_types::{LocalTime, TimeSpan};

/// A grant is on its way to its server for at most this long after its table
/// is known, one repetition of it included.
const GRANT_SETTLES: TimeSpan = TimeSpan::from_millis(1_000);

/// An owner's statement that it does not hold a key.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct OwnerDenial {
    /// The token of the assignment by which it was asked.
    pub token: u64,
    /// When it stated so.
    pub denied_at: LocalTime,
}

/// What a request does about its key's owner.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum DenialAction {
    /// It is sent to the owner.
    Retry,
    /// It waits for another assignment.
    AwaitChange {
        /// For how long the key has been known to be without an owner.
        denied_for: TimeSpan,
    },
}

/// Decides whether an owner is asked, given what it last told this request.
///
/// `known_since` is when this VM learnt of the assignment with `token`. An
/// owner that denies a settled assignment has ended or lost its hold; only
/// another assignment changes that. A young one may overtake its grant.
///
/// # Example
///
/// ```
/// use goldcrestramp_decisions::{OwnerDenial, DenialAction, denial_action};
/// use goldcrestramp_types::LocalTime;
///
/// let at = |millis: u64| LocalTime::from_micros(millis * 1_000);
/// let denial = OwnerDenial { token: 7, denied_at: at(5_000) };
/// let step = |token| denial_action(Some(denial), token, at(0), at(5_000));
/// assert!(matches!(step(7), DenialAction::AwaitChange { .. }));
/// assert_eq!(step(8), DenialAction::Retry);
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
    if denied_at.since(known_since) < GRANT_SETTLES {
        return DenialAction::Retry;
    }
    DenialAction::AwaitChange { denied_for: now.since(denied_at) }
}

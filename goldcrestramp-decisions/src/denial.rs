//! Decides whether to retry an owner that denied a key.
//!
//! When many servers stop at once or lose their keys, the table still names
//! them as owners for seconds, and the planner may assign more keys to them
//! before it learns of their end. If every request retried them, they, or
//! whichever processes have their addresses by then, would get several times
//! the arrivals, and the retry budget would be spent on attempts that can't
//! succeed.

use goldcrestramp_types::{LocalTime, TimeSpan};

/// A grant reaches its server within this time after its table is known,
/// unless it is lost on the way.
const MAX_GRANT_DELAY: TimeSpan = TimeSpan::from_millis(300);

/// The attempts that one request makes at an owner that denies its key: one
/// before and one after the grant must have arrived.
const MAX_DENIALS: u32 = 2;

/// An owner's statement that it does not hold a key.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct OwnerDenial {
    /// The token of the assignment that the request named.
    pub token: u64,
    /// When the owner last denied the key.
    pub denied_at: LocalTime,
    /// How often it has denied the key to this request.
    pub denials: u32,
}

/// The denials of all owners that a request has reached.
///
/// An owner's denial holds while its assignment does, whatever other owners
/// have said since: tables from several sources may alternate.
#[derive(Clone, Debug, Default)]
pub struct DenialHistory(Vec<OwnerDenial>);

impl DenialHistory {
    /// Records that the owner of the assignment with `token` denied the key.
    pub fn record(&mut self, now: LocalTime, token: u64) {
        let known = self.0.iter_mut().find(|denial| denial.token == token);
        if let Some(denial) = known {
            denial.denied_at = now;
            denial.denials += 1;
        } else {
            self.0.push(OwnerDenial { token, denied_at: now, denials: 1 });
        }
    }

    /// Adds the denials that another VM has seen.
    pub fn extend(&mut self, denials: impl IntoIterator<Item = OwnerDenial>) {
        self.0.extend(denials);
    }

    /// All denials.
    pub fn iter(&self) -> impl Iterator<Item = &OwnerDenial> {
        self.0.iter()
    }

    /// The denial of the assignment with `token`, if its owner has denied the
    /// key.
    #[must_use]
    pub fn find(&self, token: u64) -> Option<OwnerDenial> {
        self.0.iter().find(|denial| denial.token == token).copied()
    }
}

/// What to do with a request for a key.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum DenialAction {
    /// Send it to the owner.
    Send,
    /// Send it to the owner after this time, when its grant must have arrived.
    AwaitGrant(TimeSpan),
    /// Wait for another assignment.
    AwaitChange {
        /// How long ago the owner denied the key. Since then the key is known
        /// to have no owner.
        denied_for: TimeSpan,
    },
}

/// Decides whether to send a request to the owner of an assignment that this
/// VM has known since `known_since`. `denial` is the owner's denial to this
/// request, if any.
///
/// A request under a new assignment may arrive before its grant, so it is
/// sent once more when the grant must have arrived. An owner that denies the
/// assignment then has stopped or lost its grant, and only another assignment
/// changes that.
///
/// # Example
///
/// ```
/// use goldcrestramp_decisions::{DenialAction, DenialHistory, denial_action};
/// use goldcrestramp_types::LocalTime;
///
/// let at = |millis: u64| LocalTime::from_micros(millis * 1_000);
/// let mut history = DenialHistory::default();
/// history.record(at(5_000), 7);
/// let action = |token| denial_action(history.find(token), at(0), at(5_000));
/// assert!(matches!(action(7), DenialAction::AwaitChange { .. }));
/// assert_eq!(action(8), DenialAction::Send);
/// ```
#[must_use]
pub fn denial_action(
    denial: Option<OwnerDenial>,
    known_since: LocalTime,
    now: LocalTime,
) -> DenialAction {
    let Some(OwnerDenial { denied_at, denials, .. }) = denial else {
        return DenialAction::Send;
    };
    let settled_at = known_since + MAX_GRANT_DELAY;
    // The assignment may be forgotten and learned again, so the time alone
    // does not bound the attempts.
    if denials >= MAX_DENIALS || denied_at >= settled_at {
        return DenialAction::AwaitChange { denied_for: now.since(denied_at) };
    }
    if now < settled_at {
        return DenialAction::AwaitGrant(settled_at.since(now));
    }
    DenialAction::Send
}

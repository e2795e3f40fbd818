//! Admission of requests for keys whose owner is overloaded.

use goldcrestramp_decisions::shortage_retry_after;
use goldcrestramp_types::LocalTime;

use crate::{
    control::KeyLimit,
    traffic::{reason::EndReason, request::RoutedRequest, wait::RequestEnd},
};

/// The part of their remaining time that callers wait for a retry at most.
const USABLE_PERCENT: u64 = 33;

/// Admits a request for a limited key with the probability of its share.
///
/// # Errors
///
/// The end of the request if it is refused.
pub(super) fn admit(
    now: LocalTime,
    request: &RoutedRequest,
    limit: KeyLimit,
) -> Result<(), RequestEnd> {
    if rand::random_range(0..1_000) < limit.per_mille {
        return Ok(());
    }
    let lasted = now.since(limit.since);
    let usable = request.remaining(now).percent(USABLE_PERCENT);
    let random = rand::random_range(0.0..1.0);
    let retry_after = shortage_retry_after(lasted, usable, random);
    Err(RequestEnd { reason: EndReason::Full, retry_after })
}

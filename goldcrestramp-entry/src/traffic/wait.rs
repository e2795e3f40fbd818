//! How a request waits, and when it does not.

use goldcrestramp_types::{ClockSource, MonotonicClock, TimeSpan};
use tokio::{sync::oneshot, time::timeout};

use crate::traffic::{
    choose::QueueKind,
    reason::EndReason,
    request::RoutedRequest,
    state::{TrafficState, least},
};

/// A wait is looked at again after so long: a server that was held back
/// takes requests again without an event.
const LOOK_AGAIN: TimeSpan = TimeSpan::from_millis(100);

/// The wait before an owner that turned a request away is asked again; it
/// doubles, as a server that sheds needs time to work off what it has.
const OWNER_PAUSE: TimeSpan = TimeSpan::from_millis(40);

/// When a caller is told to return if nothing better is known.
pub(crate) const RETURN_USUAL: TimeSpan = TimeSpan::from_millis(250);

/// When a caller is told to return at the latest whose key has no owner. The
/// usual time of a move has passed by then: the holds of a server that can't
/// be reached are waited out, which takes seconds.
const RETURN_WITHOUT_OWNER: TimeSpan = TimeSpan::from_millis(2_000);

/// Why a request ends with an answer of this VM's own.
pub(crate) struct RequestEnd {
    pub(crate) reason: EndReason,
    /// When the caller should return.
    pub(crate) retry_after: TimeSpan,
}

impl From<EndReason> for RequestEnd {
    fn from(reason: EndReason) -> Self {
        let retry_after = match reason {
            EndReason::NoOwner | EndReason::RateLimited => {
                RETURN_WITHOUT_OWNER.percent(rand::random_range(50..100))
            }
            _ => RETURN_USUAL,
        };
        Self { reason, retry_after }
    }
}

/// Waits a little before the same server is asked again.
pub(crate) async fn pause(request: &RoutedRequest, sends: u32) {
    let doubled = OWNER_PAUSE.percent(100 << sends.min(4));
    let half = doubled.percent(50).to_std();
    let span = half + half.mul_f64(rand::random_range(0.0..1.0));
    let left = request.left(MonotonicClock.now()).to_std();
    tokio::time::sleep(span.min(left)).await;
}

/// Waits for a free slot, unless it would come too late.
pub(crate) async fn wait_in_queue(
    request: &RoutedRequest,
    queue: &QueueKind,
    slots: usize,
    latency: TimeSpan,
) -> Result<(), RequestEnd> {
    let now = MonotonicClock.now();
    let place = request.place;
    let ahead = queue.with(|queue| queue.ahead_of(place)) as u64;
    let expected = latency.percent(100 * (ahead + 1) / slots as u64);
    let standing = queue.with(|queue| queue.is_standing(now));
    let left = if standing {
        least(request.left(now), request.target_left(now))
    } else {
        request.left(now)
    };
    if expected.plus(latency) > left {
        let retry_after = expected.percent(rand::random_range(80..160));
        return Err(RequestEnd { reason: EndReason::Full, retry_after });
    }
    let (waker, woken) = oneshot::channel();
    queue.with(|queue| queue.join(place, waker));
    let left = least(request.left(now).minus(latency), LOOK_AGAIN);
    // Woken or not, the state is looked at again.
    let _woken = timeout(left.to_std(), woken).await;
    queue.with(|queue| queue.leave(place));
    Ok(())
}

/// Waits until the key's owner may have changed.
pub(crate) async fn hold(
    state: &TrafficState,
    request: &RoutedRequest,
    span: TimeSpan,
) -> Result<(), RequestEnd> {
    let left = request.left(MonotonicClock.now());
    let service = state.service(&request.service);
    let (waker, woken) = oneshot::channel();
    let place = request.place;
    service.queue.borrow_mut().join(place, waker);
    // Woken or not, the state is looked at again.
    let _woken = timeout(least(span, left).to_std(), woken).await;
    service.queue.borrow_mut().leave(place);
    Ok(())
}

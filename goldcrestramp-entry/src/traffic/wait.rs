//! Queues and delays of requests, and when a request is refused instead.

use std::rc::Rc;

use goldcrestramp_decisions::QueuePosition;
use goldcrestramp_types::{ClockSource, LocalTime, MonotonicClock, TimeSpan};
use tokio::{sync::oneshot, time::timeout};

use crate::traffic::{
    choose::QueueKind,
    reason::EndReason,
    request::RoutedRequest,
    state::{TrafficState, shorter},
};

/// Queued requests check the state this often: a suspended server accepts
/// requests again without an event.
const RECHECK_INTERVAL: TimeSpan = TimeSpan::from_millis(100);

/// How often a request checks whether the same request's attempt has ended.
const SUSPECT_RECHECK: TimeSpan = TimeSpan::from_millis(20);

/// The base delay before a retry to an owner that refused a request. It
/// doubles with each attempt, since a server that sheds load needs time to
/// work off its queue.
const OWNER_RETRY_DELAY: TimeSpan = TimeSpan::from_millis(40);

/// The delay after which a caller is asked to retry if no better estimate is
/// known.
pub(crate) const DEFAULT_RETRY_AFTER: TimeSpan = TimeSpan::from_millis(250);

/// The longest delay after which a caller is asked to retry if its key has no
/// owner, or an owner at its rate limit. When a request is refused for lack of
/// an owner, the typical time of a move has passed: the grants of a server
/// that can't be reached have to expire, which takes seconds.
const MAX_NO_OWNER_RETRY_AFTER: TimeSpan = TimeSpan::from_millis(2_000);

/// The longest delay after which a caller is asked to retry if neither this VM
/// nor another one reaches a server: the time of a round of probes.
const UNREACHABLE_RETRY_AFTER: TimeSpan = TimeSpan::from_millis(600);

/// The longest delay after which a caller is asked to retry because of a
/// queue.
const MAX_QUEUE_RETRY_AFTER: TimeSpan = TimeSpan::from_millis(2_000);

/// Why a request ends with a response of this VM's own.
#[derive(Clone, Copy, Debug)]
pub(crate) struct RequestEnd {
    pub(crate) reason: EndReason,
    /// The delay after which the caller should retry.
    pub(crate) retry_after: TimeSpan,
}

impl From<EndReason> for RequestEnd {
    fn from(reason: EndReason) -> Self {
        let longest = match reason {
            EndReason::Unreachable => Some(UNREACHABLE_RETRY_AFTER),
            EndReason::NoOwner
            | EndReason::NoServerInRegion
            | EndReason::RateLimited => Some(MAX_NO_OWNER_RETRY_AFTER),
            _ => None,
        };
        let retry_after = longest.map_or(DEFAULT_RETRY_AFTER, |longest| {
            longest.percent(rand::random_range(50..100))
        });
        Self { reason, retry_after }
    }
}

impl RequestEnd {
    /// The end of a request whose servers are all in a backoff that ends in
    /// `ends_in`. Callers return spread over some time after that.
    pub(crate) fn in_backoff(ends_in: TimeSpan) -> Self {
        let retry_after = ends_in.percent(rand::random_range(100..125));
        Self { reason: EndReason::ServerBackoff, retry_after }
    }

    /// The end of a download that may be sent to another region in `ends_in`,
    /// which is too late for it. Callers return spread over some time after
    /// that.
    pub(crate) fn in_pause(ends_in: TimeSpan) -> Self {
        let retry_after = ends_in.percent(rand::random_range(100..150));
        let retry_after = retry_after.max(DEFAULT_RETRY_AFTER);
        Self { reason: EndReason::Full, retry_after }
    }

    /// The end of a request that is refused for `ends_in`.
    pub(crate) const fn quarantined(ends_in: TimeSpan) -> Self {
        Self { reason: EndReason::Quarantined, retry_after: ends_in }
    }
}

/// Waits for the outcome of the same request's attempt.
pub(crate) async fn wait_for_suspect(request: &RoutedRequest) {
    let remaining = request.remaining(MonotonicClock.now());
    tokio::time::sleep(shorter(SUSPECT_RECHECK, remaining).to_std()).await;
}

/// The end of an exponential backoff with jitter, before which the same
/// server gets no retry.
pub(crate) fn back_off_until(
    request: &RoutedRequest,
    attempts: u32,
) -> LocalTime {
    let max_delay = OWNER_RETRY_DELAY.percent(100 << attempts.min(4));
    let delay = max_delay.percent(rand::random_range(50..100));
    let now = MonotonicClock.now();
    now + shorter(delay, request.remaining(now))
}

/// Waits until a backoff ends.
pub(crate) async fn wait_until(end: LocalTime) {
    let left = end.since(MonotonicClock.now());
    if left > TimeSpan::ZERO {
        tokio::time::sleep(left.to_std()).await;
    }
}

/// Waits before a refused replacement of an overdue attempt is tried again.
pub(crate) async fn wait_for_recheck() {
    tokio::time::sleep(RECHECK_INTERVAL.to_std()).await;
}

/// The place of a request in a queue; dropping it leaves the queue.
struct QueuePlace<'a> {
    queue: &'a QueueKind,
    position: QueuePosition,
    woken: oneshot::Receiver<()>,
}

impl<'a> QueuePlace<'a> {
    fn enter(queue: &'a QueueKind, position: QueuePosition) -> Self {
        let (waker, woken) = oneshot::channel();
        queue.with(|queue| queue.join(position, waker));
        Self { queue, position, woken }
    }

    /// Waits until the request is woken, at most this long. Either way the
    /// caller of this function checks the state again.
    async fn wait(mut self, max_wait: TimeSpan) {
        let _woken = timeout(max_wait.to_std(), &mut self.woken).await;
    }
}

impl Drop for QueuePlace<'_> {
    fn drop(&mut self) {
        self.queue.with(|queue| queue.leave(self.position));
    }
}

/// Waits for a free slot, or refuses the request if the slot would be free too
/// late.
pub(crate) async fn wait_in_queue(
    request: &RoutedRequest,
    queue: &QueueKind,
    slots: usize,
    latency: TimeSpan,
) -> Result<(), RequestEnd> {
    let now = MonotonicClock.now();
    let position = request.position;
    let ahead = queue.with(|queue| queue.ahead_of(position)) as u64;
    let expected = latency.percent(100 * (ahead + 1) / slots as u64);
    let target = request.target_remaining(now);
    let remaining = request.remaining(now);
    let admission_time =
        queue.with(|queue| queue.admission_time(now, target, remaining));
    if expected.plus(latency) > admission_time {
        let retry_after = expected.percent(rand::random_range(80..160));
        let retry_after = shorter(retry_after, MAX_QUEUE_RETRY_AFTER);
        return Err(RequestEnd { reason: EndReason::Full, retry_after });
    }
    let remaining =
        shorter(request.remaining(now).minus(latency), RECHECK_INTERVAL);
    QueuePlace::enter(queue, position).wait(remaining).await;
    Ok(())
}

/// Waits until the key's owner may have changed.
pub(crate) async fn wait_for_owner(
    state: &TrafficState,
    request: &RoutedRequest,
    max_wait: TimeSpan,
) -> Result<(), RequestEnd> {
    let remaining = request.remaining(MonotonicClock.now());
    let service = state.service(&request.service);
    let queue = QueueKind::Service(Rc::clone(&service.queue));
    let place = QueuePlace::enter(&queue, request.position);
    place.wait(shorter(max_wait, remaining)).await;
    Ok(())
}

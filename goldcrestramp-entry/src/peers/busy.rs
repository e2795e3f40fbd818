//! Tells a VM that is busy from a lost one, by a question that its traffic
//! thread answers.

use std::{net::SocketAddr, sync::Arc};

use bytes::Bytes;
use goldcrestramp_decisions::BusyWait;
use goldcrestramp_types::{ClockSource, LocalTime, MonotonicClock, TimeSpan};
use http::{HeaderMap, Method, StatusCode};
use tokio::{
    sync::watch,
    time::{Instant, sleep, timeout},
};

use crate::http::{
    CallFailure, CallPool, CallRequest, CloseMode, ConnectionReuse,
    TimeoutScope,
};

/// The HTTP path at which a VM states whether its control thread is busy, on
/// the port for requests that are passed on. A VM of an earlier build responds
/// with an error, so it counts as not busy.
pub(crate) const BUSY_PATH: &str = "/busy";

/// A VM responds to the question with a few bytes.
const MAX_RESPONSE_BYTES: usize = 4 * 1024;

/// What a VM states about its control thread.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum BusyReply {
    /// It is busy.
    Busy,
    /// It is not.
    Idle,
    /// There is no valid reply.
    None,
    /// No connection to the VM can be opened.
    Unconnected,
}

/// A VM that is waited for while it is busy; a clone refers to the same one.
#[derive(Clone, Debug)]
pub(crate) struct BusySource {
    /// The address at which it is asked, if it has one.
    address: Option<SocketAddr>,
    pool: Arc<CallPool>,
    busy_at: Arc<watch::Sender<Option<Instant>>>,
}

impl BusySource {
    /// A VM that is asked at `address`.
    pub(crate) fn new(
        address: Option<SocketAddr>,
        pool: Arc<CallPool>,
    ) -> Self {
        Self { address, pool, busy_at: Arc::new(watch::Sender::new(None)) }
    }

    /// When the VM last stated that it is busy, if it ever did.
    pub(crate) fn busy_at(&self) -> Option<Instant> {
        *self.busy_at.borrow()
    }

    /// Ends when a response of the VM that has not begun is to be given up:
    /// after `limit`, or later while the VM is busy.
    pub(crate) async fn wait(self, limit: TimeSpan) {
        let mut wait = BusyWait::begin(MonotonicClock.now(), limit);
        let Some(address) = self.address else {
            return sleep_until(wait.give_up_at()).await;
        };
        while wait.question_at() < wait.give_up_at() {
            let planned_at = wait.question_at().max(MonotonicClock.now());
            sleep_until(planned_at).await;
            wait.record_question(MonotonicClock.now(), planned_at);
            match self.ask(address, wait.give_up_at()).await {
                BusyReply::Busy => {
                    self.busy_at.send_replace(Some(Instant::now()));
                    wait.record_busy(MonotonicClock.now());
                }
                BusyReply::Idle => wait.record_idle(MonotonicClock.now()),
                BusyReply::None => {}
                BusyReply::Unconnected => break,
            }
        }
        sleep_until(wait.give_up_at()).await;
    }

    async fn ask(&self, address: SocketAddr, until: LocalTime) -> BusyReply {
        let request = CallRequest {
            address,
            method: Method::GET,
            path: BUSY_PATH.into(),
            headers: HeaderMap::new(),
            body: Bytes::new(),
        };
        let limit = until.since(MonotonicClock.now()).to_std();
        let call = self.pool.call(request, ConnectionReuse::Any, limit);
        match timeout(limit, call).await {
            Ok(Ok(response)) if response.status == StatusCode::OK => {
                BusyReply::Busy
            }
            Ok(Ok(response)) if response.status == StatusCode::NO_CONTENT => {
                BusyReply::Idle
            }
            Ok(Err(CallFailure::NotSent)) => BusyReply::Unconnected,
            Ok(_) | Err(_) => BusyReply::None,
        }
    }
}

/// The pool of connections for the question.
pub(super) fn question_pool() -> CallPool {
    CallPool::open(
        CloseMode::Close,
        TimeoutScope::FullResponse,
        MAX_RESPONSE_BYTES,
    )
}

async fn sleep_until(at: LocalTime) {
    sleep(at.since(MonotonicClock.now()).to_std()).await;
}

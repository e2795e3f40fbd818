//! Sends orders to backend servers.

use std::{
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    time::Duration,
};

use goldcrestramp_adapter::{GrantOrder, ReleaseOrder, headers};
use goldcrestramp_assignment::{OrderKind, OrderOutcome, ServerOrder};
use goldcrestramp_types::{ClockSource, FastMap, LocalTime, MonotonicClock};
use http::{HeaderMap, HeaderValue, Method, StatusCode, header::CONTENT_TYPE};
use xtra::Address;

use crate::{
    control::{ControlActor, message::OrderEnded},
    http::{CallFailure, CallPool, CallRequest, ConnectionReuse},
};

/// A grant is answered at once; one without an answer is sent again.
const GRANT_TIMEOUT: Duration = Duration::from_millis(700);

/// A release is answered when the work on its keys has ended, which takes
/// as long as the longest request.
const RELEASE_TIMEOUT: Duration = Duration::from_secs(3);

/// Whether orders of a term may be sent; held by those under way.
///
/// The failure: a planner that was replaced sends what it still has in
/// hand, and its successor, which waits for the last grant, counts from
/// too early. Looked at before each order, it stops all of them.
#[derive(Debug, Default)]
pub(crate) struct OrderGate {
    ended: AtomicBool,
}

impl OrderGate {
    pub(crate) fn end(&self) {
        self.ended.store(true, Ordering::Release);
    }

    fn is_valid(&self) -> bool {
        !self.ended.load(Ordering::Acquire)
    }
}

/// Sends the orders of one service; each end is told to the actor.
#[derive(Clone)]
pub(crate) struct OrderSender {
    pub(crate) pool: Arc<CallPool>,
    pub(crate) control: Address<ControlActor>,
    pub(crate) service: Arc<str>,
    pub(crate) gate: Arc<OrderGate>,
    /// Until when no other VM can be planning.
    pub(crate) sole_planner_until: LocalTime,
}

impl OrderSender {
    /// Sends orders.
    ///
    /// The grants of one server go one after the other on one connection;
    /// the first that fails ends the round, as the others would fail too.
    pub(crate) fn send(&self, orders: Vec<ServerOrder>) {
        let mut batches: FastMap<Arc<str>, Vec<ServerOrder>> =
            FastMap::default();
        let mut releases = Vec::new();
        for order in orders {
            match order.kind {
                OrderKind::Grant { .. } => {
                    let id = Arc::clone(&order.instance.id);
                    batches.entry(id).or_default().push(order);
                }
                OrderKind::Release => releases.push(vec![order]),
            }
        }
        for batch in batches.into_values().chain(releases) {
            let sender = self.clone();
            tokio::spawn(async move { sender.send_batch(batch).await });
        }
    }

    /// Over which connections an order may go now.
    ///
    /// The failure: this VM is cut from the store and has a successor,
    /// which moved keys away from a server; that server restarts under its
    /// id and has forgotten the higher token, so a renewal from here makes
    /// it an owner again. A connection ends with the run of the server that
    /// took it, so renewals over kept ones can't reach a later run.
    fn connection_reuse(&self) -> ConnectionReuse {
        if MonotonicClock.now() < self.sole_planner_until {
            ConnectionReuse::Any
        } else {
            ConnectionReuse::Kept
        }
    }

    async fn send_batch(self, batch: Vec<ServerOrder>) {
        let mut failed = false;
        for order in batch {
            let outcome = if failed || !self.gate.is_valid() {
                OrderOutcome::NotSent
            } else {
                send_order(&self.pool, self.connection_reuse(), &order).await
            };
            failed |= matches!(
                outcome,
                OrderOutcome::NotSent
                    | OrderOutcome::Unknown
                    | OrderOutcome::TimedOut
            );
            let service = Arc::clone(&self.service);
            let ended = OrderEnded { service, order, outcome };
            if self.control.send(ended).await.is_err() {
                return;
            }
        }
    }
}

async fn send_order(
    pool: &CallPool,
    reuse: ConnectionReuse,
    order: &ServerOrder,
) -> OrderOutcome {
    let (first, last) = (order.range.first.get(), order.range.last.get());
    let token = order.token;
    let (path, body, timeout) = match &order.kind {
        OrderKind::Grant { duration, handover } => {
            let (duration, handover) = (*duration, handover.clone());
            let order = GrantOrder { first, last, token, duration, handover };
            (GrantOrder::PATH, order.encode(), GRANT_TIMEOUT)
        }
        OrderKind::Release => {
            let order = ReleaseOrder { first, last, token };
            (ReleaseOrder::PATH, order.encode(), RELEASE_TIMEOUT)
        }
    };
    let request = CallRequest {
        address: order.instance.address,
        method: Method::POST,
        path: path.into(),
        headers: order_headers(&order.instance.id),
        body,
    };
    match pool.call(request, reuse, timeout).await {
        Ok(response) => outcome(response.status, &response.headers),
        Err(CallFailure::NotSent) => OrderOutcome::NotSent,
        Err(CallFailure::Unknown) => OrderOutcome::Unknown,
        Err(CallFailure::TimedOut) => OrderOutcome::TimedOut,
    }
}

/// Addresses are used again: an order for a server that has ended must not
/// be taken by the next one at its address.
fn order_headers(id: &str) -> HeaderMap {
    let mut map = HeaderMap::new();
    let json = HeaderValue::from_static("application/json");
    map.insert(CONTENT_TYPE, json);
    if let Ok(id) = HeaderValue::from_str(id) {
        map.insert(headers::EXPECT_INSTANCE, id);
    }
    map
}

fn outcome(status: StatusCode, map: &HeaderMap) -> OrderOutcome {
    match status {
        StatusCode::OK => {
            let handover = map.get(headers::HANDOVER);
            let handover = handover.and_then(|text| text.to_str().ok());
            OrderOutcome::Done { handover: handover.map(Arc::from) }
        }
        StatusCode::CONFLICT => OrderOutcome::Outdated,
        StatusCode::MISDIRECTED_REQUEST => OrderOutcome::Ended,
        status => {
            log::warn!("[control] An order was answered {status}.");
            OrderOutcome::Unknown
        }
    }
}

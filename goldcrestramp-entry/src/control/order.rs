//! Sends orders to backend servers.

use std::{
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    time::Duration,
};

use goldcrestramp_adapter::{
    GrantOrder, ReleaseOrder, headers, states_leaving,
};
use goldcrestramp_assignment::{OrderKind, OrderOutcome, ServerOrder};
use goldcrestramp_types::{ClockSource, FastMap, LocalTime, MonotonicClock};
use http::{HeaderMap, HeaderValue, Method, StatusCode, header::CONTENT_TYPE};
use tokio::time::sleep;
use xtra::Address;

use crate::{
    control::{ControlActor, message::OrderEnded},
    http::{
        CallFailure, CallPool, CallRequest, CallResponse, ConnectionReuse,
    },
};

/// The timeout of a grant. A server responds to it at once; a grant without a
/// response is retried.
const GRANT_TIMEOUT: Duration = Duration::from_millis(700);

/// The timeout of a release. A server responds when the work on the keys has
/// ended, which takes as long as the longest request.
const RELEASE_TIMEOUT: Duration = Duration::from_secs(3);

/// Lets the orders of one term be sent until the term ends; orders in flight
/// hold a reference.
///
/// A replaced planner that sent its queued orders would break its successor's
/// assumption about when the last grant was sent: the successor waits for that
/// grant, and would count from too early a time. The gate is checked before
/// each order, so it stops all of them.
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

/// Sends the orders of one service, and sends the outcome of each to the
/// actor.
#[derive(Clone)]
pub(crate) struct OrderSender {
    pub(crate) pool: Arc<CallPool>,
    pub(crate) control: Address<ControlActor>,
    pub(crate) service: Arc<str>,
    pub(crate) gate: Arc<OrderGate>,
    /// The time until which no other VM can be planning.
    pub(crate) sole_planner_until: LocalTime,
}

impl OrderSender {
    /// Sends orders.
    ///
    /// The grants of one server are sent one after the other on one
    /// connection. The first that fails ends the batch, because the others
    /// would fail too.
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

    /// Which connections an order may use now.
    ///
    /// Suppose that this VM is cut off from the store and has a successor,
    /// which moved keys away from a server. If that server restarts under its
    /// id, it has forgotten the higher token, so a renewal from this VM would
    /// make it an owner again. A connection ends with the server instance that
    /// accepted it, so renewals over kept connections cannot reach a later
    /// instance.
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
            let reply = if failed || !self.gate.is_valid() {
                OrderReply::from(OrderOutcome::NotSent)
            } else {
                send_order(&self.pool, self.connection_reuse(), &order).await
            };
            let OrderReply { outcome, leaving } = reply;
            failed |= matches!(
                outcome,
                OrderOutcome::NotSent
                    | OrderOutcome::Unknown
                    | OrderOutcome::TimedOut
            );
            let service = Arc::clone(&self.service);
            let ended = OrderEnded { service, order, outcome, leaving };
            if self.control.send(ended).await.is_err() {
                return;
            }
        }
    }
}

/// How an order ended.
struct OrderReply {
    outcome: OrderOutcome,
    /// Whether the server states that it is leaving.
    leaving: bool,
}

impl From<OrderOutcome> for OrderReply {
    fn from(outcome: OrderOutcome) -> Self {
        Self { outcome, leaving: false }
    }
}

async fn send_order(
    pool: &CallPool,
    reuse: ConnectionReuse,
    order: &ServerOrder,
) -> OrderReply {
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
    let is_grant = matches!(order.kind, OrderKind::Grant { .. });
    let keeps = |response: &CallResponse| {
        is_grant && response.status == StatusCode::OK
    };
    let limit = async { sleep(timeout).await };
    match pool.call_keeping(request, reuse, limit, keeps).await {
        Ok(response) => OrderReply {
            outcome: outcome(&order.kind, &response),
            leaving: is_leaving(&order.instance.id, &response),
        },
        Err(CallFailure::NotSent) => OrderOutcome::NotSent.into(),
        Err(CallFailure::Unknown) => OrderOutcome::Unknown.into(),
        Err(CallFailure::TimedOut) => OrderOutcome::TimedOut.into(),
    }
}

/// Whether the server of an order states in its response that it is leaving.
fn is_leaving(id: &str, response: &CallResponse) -> bool {
    let leaving = states_leaving(response.status, &response.headers);
    leaving.unwrap_or_else(|error| {
        log::warn!("[leaving] Server {id}: {error}.");
        false
    })
}

/// The headers of an order. Addresses are reused, so the order names its
/// server: one for a server that has ended must not be accepted by the next
/// server at its address.
fn order_headers(id: &str) -> HeaderMap {
    let mut map = HeaderMap::new();
    let json = HeaderValue::from_static("application/json");
    map.insert(CONTENT_TYPE, json);
    if let Ok(id) = HeaderValue::from_str(id) {
        map.insert(headers::EXPECT_INSTANCE, id);
    }
    map
}

/// What a response says about its order.
///
/// Responses to orders have no id, and a second copy of an earlier one may
/// arrive in place of the response. Connections are kept after successful
/// grants only, so no other response can be copied. What proves that a holder
/// has stopped is checked:
///
/// - A release needs a handover, which the response to a grant does not have.
/// - A denial (421) ends the server only as the first response on its
///   connection. A later one may belong to another order; the order is sent
///   again on another connection.
///
/// A copy of the response to a grant may stand for that to the next grant; the
/// next renewal shows whether the server accepted it.
fn outcome(kind: &OrderKind, response: &CallResponse) -> OrderOutcome {
    let CallResponse { status, headers: map, is_first, .. } = response;
    match (*status, kind) {
        (StatusCode::OK, OrderKind::Grant { .. }) => {
            OrderOutcome::Done { handover: None }
        }
        (StatusCode::OK, OrderKind::Release) => {
            let Some(handover) = map.get(headers::HANDOVER) else {
                log::warn!(
                    "[orders] The response to a release has no handover."
                );
                return OrderOutcome::Unknown;
            };
            let handover = handover.to_str().ok().map(Arc::from);
            OrderOutcome::Done { handover }
        }
        (StatusCode::CONFLICT, _) => OrderOutcome::Outdated,
        (StatusCode::MISDIRECTED_REQUEST, _) if *is_first => {
            OrderOutcome::Ended
        }
        (status, _) => {
            log::warn!(
                first = *is_first;
                "[orders] The response to an order has status {status}."
            );
            OrderOutcome::Unknown
        }
    }
}

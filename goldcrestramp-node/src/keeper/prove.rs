//! Queries a server for the state of a request that got no response.

use std::time::Duration;

use goldcrestramp_types::{NotRunReason, TimeSpan, UnknownReason};
use goldcrestramp_wire::{
    peer::RouteFrame,
    server::{RequestReport, RequestState},
};
use percent_encoding::{NON_ALPHANUMERIC, utf8_percent_encode};

use crate::keeper::{frames, request::ServerRequest, view::KeptServer};

/// A server that does not report the state of a request within this time
/// counts as lost, so that the caller does not wait for it.
const QUERY_TIMEOUT: Duration = Duration::from_millis(500);

/// Cancels the request at its server and returns the outcome as a frame.
///
/// A server that reports "cancelled before the start" never starts the
/// request, which proves *not run*. Another instance of the server proves
/// nothing, as the instance that received the request may have executed it
/// before it ended.
pub(crate) async fn outcome(
    http: &reqwest::Client,
    kept: &KeptServer,
    request: &ServerRequest,
    otherwise: UnknownReason,
) -> RouteFrame {
    match cancel(http, &kept.order.address, &request.id).await {
        Some(report)
            if report.run == kept.pass.run
                && report.state == RequestState::NotStarted =>
        {
            let reason = match otherwise {
                UnknownReason::DeadlinePassed => NotRunReason::DeadlinePassed,
                _ => NotRunReason::Cancelled,
            };
            frames::not_run(reason, TimeSpan::ZERO)
        }
        _ => frames::unknown(otherwise),
    }
}

/// Queries the state of a request, and cancels it if the server has not seen
/// it, so that it never starts.
///
/// A running order is not cancelled, as its caller would lose the result.
pub(crate) async fn resolve(
    http: &reqwest::Client,
    address: &str,
    id: &str,
) -> Option<RequestReport> {
    let report = state(http, address, id).await?;
    if report.state == RequestState::NotSeen {
        return cancel(http, address, id).await;
    }
    Some(report)
}

/// Queries the state of a request without changing it.
pub(crate) async fn state(
    http: &reqwest::Client,
    address: &str,
    id: &str,
) -> Option<RequestReport> {
    let id = utf8_percent_encode(id, NON_ALPHANUMERIC);
    let url = format!("http://{address}/request/{id}");
    query(http.get(url)).await
}

/// Asks the server to cancel a request; `None` if it does not respond.
pub(crate) async fn cancel(
    http: &reqwest::Client,
    address: &str,
    id: &str,
) -> Option<RequestReport> {
    let id = utf8_percent_encode(id, NON_ALPHANUMERIC);
    let url = format!("http://{address}/cancel/{id}");
    query(http.post(url)).await
}

async fn query(request: reqwest::RequestBuilder) -> Option<RequestReport> {
    let response = request.timeout(QUERY_TIMEOUT).send().await.ok()?;
    response.error_for_status().ok()?.json().await.ok()
}

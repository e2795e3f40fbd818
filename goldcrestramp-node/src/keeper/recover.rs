//! Finds out the outcome of a request whose previous keeper was lost.
//!
//! By now this keeper's grant has raised the fence at the server, and the
//! server is asked to cancel the request, so that it can no longer start. The
//! state that the server reports then is final.

use std::time::Duration;

use goldcrestramp_types::{NotRunReason, TimeSpan, UnknownReason};
use goldcrestramp_wire::server::{
    HEADER_REQUEST, RequestReport, RequestState,
};
use percent_encoding::{NON_ALPHANUMERIC, utf8_percent_encode};

use crate::keeper::{
    forward::{self, FrameSender},
    frames, prove,
    request::ServerRequest,
    silence::SilenceWatch,
};

/// How often a server is queried for the end of a request.
const POLL_INTERVAL: Duration = Duration::from_millis(50);
/// Clocks of two machines differ by at most 2% each.
const CLOCK_PERCENT: u64 = 104;
/// The request was in transit before its age was counted.
const AGE_MARGIN: TimeSpan = TimeSpan::from_millis(100);

/// A request whose outcome is unknown.
#[derive(Clone, Copy, Debug)]
pub(crate) struct LostRequest<'a> {
    /// The address of the server.
    pub(crate) address: &'a str,
    /// The request.
    pub(crate) request: &'a ServerRequest,
    /// How long ago it was first sent.
    pub(crate) age: TimeSpan,
    /// How long the caller still waits.
    pub(crate) remaining: TimeSpan,
    /// Whether this is the server that received the request.
    ///
    /// Another one has not seen it, and its "not started" proves nothing: the
    /// previous server may be executing the request now.
    pub(crate) same_server: bool,
}

/// Finds out the outcome of a request, and responds with it.
pub(crate) async fn recover(
    http: &reqwest::Client,
    lost: LostRequest<'_>,
    frames: &FrameSender,
) {
    let end = tokio::time::Instant::now() + lost.remaining.to_std();
    loop {
        match query(http, lost).await {
            // The server never starts a request that it recorded as
            // cancelled.
            Some(RequestState::NotStarted) => {
                let reason = NotRunReason::Cancelled;
                let frame = frames::not_run(reason, TimeSpan::ZERO);
                forward::send_frame(frames, frame).await;
                return;
            }
            Some(RequestState::Ended) => {
                return forward_stored(http, lost, frames).await;
            }
            Some(RequestState::Running)
                if tokio::time::Instant::now() < end =>
            {
                tokio::time::sleep(POLL_INTERVAL).await;
            }
            Some(RequestState::Running) => {
                return unknown(frames, UnknownReason::StillRunning).await;
            }
            Some(RequestState::NotSeen) => {
                return unknown(frames, UnknownReason::KeeperTooYoung).await;
            }
            None => {
                log::info!(
                    "keeper: server {} did not report the outcome of {}.",
                    lost.address,
                    lost.request.id,
                );
                return unknown(frames, UnknownReason::KeeperLost).await;
            }
        }
    }
}

/// Whether the server knows a request that may have been sent elsewhere.
pub(crate) async fn is_seen(
    http: &reqwest::Client,
    lost: LostRequest<'_>,
) -> bool {
    let state = query(http, lost).await;
    matches!(state, Some(RequestState::Running | RequestState::Ended))
}

/// The state that the server reports, if it proves anything.
async fn query(
    http: &reqwest::Client,
    lost: LostRequest<'_>,
) -> Option<RequestState> {
    if lost.same_server {
        let report =
            prove::resolve(http, lost.address, &lost.request.id).await;
        let report = report.filter(|report| predates(report, lost.age));
        return report.map(|report| report.state);
    }
    let report = prove::state(http, lost.address, &lost.request.id).await?;
    match report.state {
        RequestState::NotStarted => Some(RequestState::NotSeen),
        state => Some(state),
    }
}

/// Whether the server's instance is surely older than the request.
///
/// A younger instance knows nothing about the request, although the previous
/// instance may have executed it: "not seen" would then prove nothing.
fn predates(report: &RequestReport, age: TimeSpan) -> bool {
    report.age > age.percent(CLOCK_PERCENT).plus(AGE_MARGIN)
}

/// Forwards the response that the server stored, if it still has it.
pub(crate) async fn forward_stored(
    http: &reqwest::Client,
    lost: LostRequest<'_>,
    frames: &FrameSender,
) {
    let id = utf8_percent_encode(&lost.request.id, NON_ALPHANUMERIC);
    let url = format!("http://{}/answer/{id}", lost.address);
    let Ok(response) = http.get(url).send().await else {
        log::info!(
            "keeper: server {} did not return the response to {}.",
            lost.address,
            lost.request.id,
        );
        return unknown(frames, UnknownReason::KeeperLost).await;
    };
    let echoed = response.headers().get(HEADER_REQUEST);
    let is_same =
        echoed.is_some_and(|id| id.as_bytes() == lost.request.id.as_bytes());
    if !response.status().is_success() || !is_same {
        log::info!(
            "keeper: server {} no longer has the response to {}.",
            lost.address,
            lost.request.id,
        );
        return unknown(frames, UnknownReason::KeeperLost).await;
    }
    let (address, request) = (lost.address, &*lost.request.id);
    let watch = SilenceWatch { http, address, request };
    forward::forward(response, lost.request, frames, watch, None, None).await;
}

async fn unknown(frames: &FrameSender, reason: UnknownReason) {
    forward::send_frame(frames, frames::unknown(reason)).await;
}

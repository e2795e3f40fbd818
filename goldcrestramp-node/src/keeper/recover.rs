//! What became of a request whose former keeper was lost.
//!
//! By now this keeper's grant has raised the fence at the server, and the
//! server is told to cancel the request, so that it cannot start any more.
//! What the server then says is final.

use std::time::Duration;

use goldcrestramp_types::{NotRunReason, TimeSpan, UnknownReason};
use goldcrestramp_wire::server::{
    HEADER_REQUEST, RequestReport, RequestState,
};
use percent_encoding::{NON_ALPHANUMERIC, utf8_percent_encode};

use crate::keeper::{
    frames,
    pass_on::{self, FrameSender},
    prove,
    request::ServerRequest,
    silence::SilenceWatch,
};

/// How often a server is asked whether a request has ended.
const ASK_EVERY: Duration = Duration::from_millis(50);
/// Clocks of two machines differ by at most 2% each.
const CLOCK_PERCENT: u64 = 104;
/// The request was on its way before its age was counted.
const AGE_MARGIN: TimeSpan = TimeSpan::from_millis(100);

/// A request whose outcome is to be found out.
#[derive(Clone, Copy, Debug)]
pub(crate) struct LostRequest<'a> {
    /// Where the server listens.
    pub(crate) address: &'a str,
    /// The request.
    pub(crate) request: &'a ServerRequest,
    /// How long ago it was first sent.
    pub(crate) age: TimeSpan,
    /// How long the caller waits.
    pub(crate) left: TimeSpan,
    /// Whether this is the server that was sent it.
    ///
    /// Another one has not seen the request, and its "not started" proves
    /// nothing: the server before it may be executing it at the moment.
    pub(crate) same_server: bool,
}

/// Finds out what became of a request, and answers.
pub(crate) async fn recover(
    http: &reqwest::Client,
    lost: LostRequest<'_>,
    frames: &FrameSender,
) {
    let end = tokio::time::Instant::now() + lost.left.to_std();
    loop {
        match look(http, lost).await {
            // The server never starts what it has noted as cancelled.
            Some(RequestState::NotStarted) => {
                let reason = NotRunReason::Cancelled;
                let frame = frames::not_run(reason, TimeSpan::ZERO);
                pass_on::give(frames, frame).await;
                return;
            }
            Some(RequestState::Ended) => {
                return kept_answer(http, lost, frames).await;
            }
            Some(RequestState::Running)
                if tokio::time::Instant::now() < end =>
            {
                tokio::time::sleep(ASK_EVERY).await;
            }
            Some(RequestState::Running) => {
                return unknown(frames, UnknownReason::StillRunning).await;
            }
            Some(RequestState::NotSeen) => {
                return unknown(frames, UnknownReason::KeeperTooYoung).await;
            }
            None => return unknown(frames, UnknownReason::KeeperLost).await,
        }
    }
}

/// Whether the server knows of a request that may have gone elsewhere.
pub(crate) async fn is_seen(
    http: &reqwest::Client,
    lost: LostRequest<'_>,
) -> bool {
    let state = look(http, lost).await;
    matches!(state, Some(RequestState::Running | RequestState::Ended))
}

/// What the server says, as far as it proves anything.
async fn look(
    http: &reqwest::Client,
    lost: LostRequest<'_>,
) -> Option<RequestState> {
    if lost.same_server {
        let report = prove::settle(http, lost.address, &lost.request.id).await;
        let report = report.filter(|report| predates(report, lost.age));
        return report.map(|report| report.state);
    }
    let report = prove::state(http, lost.address, &lost.request.id).await?;
    match report.state {
        RequestState::NotStarted => Some(RequestState::NotSeen),
        state => Some(state),
    }
}

/// Whether the server's run is surely older than the request.
///
/// A younger run knows nothing of the request, though the run before it may
/// have executed it: "not seen" would then be no proof.
fn predates(report: &RequestReport, age: TimeSpan) -> bool {
    report.age > age.percent(CLOCK_PERCENT).plus(AGE_MARGIN)
}

/// Passes on the answer that the server kept, if it still has it.
pub(crate) async fn kept_answer(
    http: &reqwest::Client,
    lost: LostRequest<'_>,
    frames: &FrameSender,
) {
    let id = utf8_percent_encode(&lost.request.id, NON_ALPHANUMERIC);
    let url = format!("http://{}/answer/{id}", lost.address);
    let Ok(response) = http.get(url).send().await else {
        return unknown(frames, UnknownReason::KeeperLost).await;
    };
    let echoed = response.headers().get(HEADER_REQUEST);
    let same =
        echoed.is_some_and(|id| id.as_bytes() == lost.request.id.as_bytes());
    if !response.status().is_success() || !same {
        return unknown(frames, UnknownReason::KeeperLost).await;
    }
    let (address, request) = (lost.address, &*lost.request.id);
    let watch = SilenceWatch { http, address, request };
    pass_on::pass_on(response, lost.request, frames, watch, None, None).await;
}

async fn unknown(frames: &FrameSender, reason: UnknownReason) {
    pass_on::give(frames, frames::unknown(reason)).await;
}

//! Responds to orders that may have been sent before.

use std::time::Duration;

use goldcrestramp_decisions::AttemptSent;
use goldcrestramp_types::{
    LocalTime, NotRunReason, RequestClass, RequestEffect, TimeSpan,
    UnknownReason,
};
use goldcrestramp_wire::peer::RouteRequest;

use crate::keeper::{
    attempts::{AttemptStep, MAX_ORDER_DEADLINE},
    forward::{self, FrameSender},
    frames,
    recover::{self, LostRequest},
    request::ServerRequest,
    service::KeeperService,
    view::KeptServer,
};

/// How often a resend checks for a record from a previous keeper.
const HANDOVER_POLL_INTERVAL: Duration = Duration::from_millis(50);

impl KeeperService {
    /// Responds to an order that was sent before or is refused.
    pub(super) async fn respond_known(
        &self,
        request: &ServerRequest,
        step: AttemptStep,
        frames: &FrameSender,
    ) {
        match step {
            AttemptStep::Replay(answer) => {
                forward::send_stored(frames, request, answer).await;
            }
            AttemptStep::Fetch(sent) => {
                let lost = self.sent_request(&sent, request);
                recover::forward_stored(&self.http, lost, frames).await;
            }
            AttemptStep::Recover(sent) => {
                let lost = self.sent_request(&sent, request);
                recover::recover(&self.http, lost, frames).await;
            }
            AttemptStep::Running => {
                let reason = UnknownReason::StillRunning;
                forward::send_frame(frames, frames::unknown(reason)).await;
            }
            AttemptStep::Refuse(reason) => refuse(frames, reason).await,
            AttemptStep::Run(_) | AttemptStep::Search(_) => {
                let reason = UnknownReason::KeeperTooYoung;
                forward::send_frame(frames, frames::unknown(reason)).await;
            }
        }
    }

    /// Finds out the outcome of a resend that any server may have received:
    /// this one knows it, or the slice's previous keeper sends its record
    /// before `until`.
    pub(super) async fn search(
        &self,
        kept: &KeptServer,
        request: &ServerRequest,
        until: LocalTime,
        frames: &FrameSender,
    ) {
        let until = until.min(request.deadline);
        let lost = self.lost_request(&kept.order, request, MAX_ORDER_DEADLINE);
        let lost = LostRequest { same_server: false, ..lost };
        while !recover::is_seen(&self.http, lost).await {
            let now = self.context.now();
            if let Some(step) = self.attempts.recall(now, request) {
                return self.respond_known(request, step, frames).await;
            }
            if now >= until {
                break;
            }
            tokio::time::sleep(HANDOVER_POLL_INTERVAL).await;
        }
        recover::recover(&self.http, lost, frames).await;
    }

    /// The query for an order that was sent to a server.
    ///
    /// If another keeper sent it, the time is not known here. The server may
    /// have restarted since, and then its "not started" proves nothing.
    fn sent_request<'a>(
        &self,
        sent: &'a AttemptSent,
        request: &'a ServerRequest,
    ) -> LostRequest<'a> {
        let now = self.context.now();
        let age = sent.arrived_at.map_or(TimeSpan::ZERO, |at| now.since(at));
        let remaining = request.deadline.since(now);
        let address = &sent.server;
        let same_server = sent.arrived_at.is_some();
        LostRequest { address, request, age, remaining, same_server }
    }
}

/// Whether this is a resent order, of which an earlier attempt may have run.
pub(super) fn may_have_run(request: &RouteRequest) -> bool {
    let class = RequestClass::from_code(&request.class);
    let effect = class.map(RequestClass::effect);
    request.resend && effect == Some(RequestEffect::NonIdempotent)
}

pub(super) const fn is_replay(step: &AttemptStep) -> bool {
    matches!(step, AttemptStep::Replay(_))
}

/// Refuses a request before its records were checked.
///
/// If it was `resent` or is a recovery, an earlier attempt may have run, and
/// "not run" would be wrong. Only *no owner* stays, which makes the gateway
/// query another keeper.
pub(super) async fn decline(
    frames: &FrameSender,
    resent: bool,
    reason: NotRunReason,
) {
    if !resent || reason == NotRunReason::NoOwner {
        return refuse(frames, reason).await;
    }
    let reason = UnknownReason::KeeperTooYoung;
    forward::send_frame(frames, frames::unknown(reason)).await;
}

pub(super) async fn refuse(frames: &FrameSender, reason: NotRunReason) {
    forward::send_frame(frames, frames::not_run(reason, TimeSpan::ZERO)).await;
}

//! Orders that were sent before, and what may be said of them.

use std::time::Duration;

use goldcrestramp_decisions::AttemptSent;
use goldcrestramp_types::{
    LocalTime, NotRunReason, RequestClass, RequestEffect, TimeSpan,
    UnknownReason,
};
use goldcrestramp_wire::peer::RouteRequest;

use crate::keeper::{
    attempts::{AttemptStep, MAX_ORDER_DEADLINE},
    frames,
    pass_on::{self, FrameSender},
    recover::{self, LostRequest},
    request::ServerRequest,
    service::KeeperService,
    view::KeptServer,
};

/// How often a resend looks whether a former keeper has told of it.
const NEWS_EVERY: Duration = Duration::from_millis(50);

impl KeeperService {
    /// Answers an order that was sent before, or is not taken.
    pub(super) async fn known(
        &self,
        request: &ServerRequest,
        step: AttemptStep,
        frames: &FrameSender,
    ) {
        match step {
            AttemptStep::Answer(answer) => {
                pass_on::give_stored(frames, request, answer).await;
            }
            AttemptStep::Fetch(sent) => {
                let lost = self.sent(&sent, request);
                recover::kept_answer(&self.http, lost, frames).await;
            }
            AttemptStep::Recover(sent) => {
                let lost = self.sent(&sent, request);
                recover::recover(&self.http, lost, frames).await;
            }
            AttemptStep::Running => {
                let reason = UnknownReason::StillRunning;
                pass_on::give(frames, frames::unknown(reason)).await;
            }
            AttemptStep::Refuse(reason) => refuse(frames, reason).await,
            AttemptStep::Run(_) | AttemptStep::Look(_) => {
                let reason = UnknownReason::KeeperTooYoung;
                pass_on::give(frames, frames::unknown(reason)).await;
            }
        }
    }

    /// Finds out about a resend that may have been sent to any server: this
    /// one knows it, or the slice's former keeper tells before `until`.
    pub(super) async fn look(
        &self,
        kept: &KeptServer,
        request: &ServerRequest,
        until: LocalTime,
        frames: &FrameSender,
    ) {
        let until = until.min(request.deadline);
        let lost = self.lost(&kept.order, request, MAX_ORDER_DEADLINE);
        let lost = LostRequest { same_server: false, ..lost };
        while !recover::is_seen(&self.http, lost).await {
            let now = self.context.now();
            if let Some(step) = self.attempts.recall(now, request) {
                return self.known(request, step, frames).await;
            }
            if now >= until {
                break;
            }
            tokio::time::sleep(NEWS_EVERY).await;
        }
        recover::recover(&self.http, lost, frames).await;
    }

    /// An order that was sent to a server, as it is remembered.
    ///
    /// Of one that another keeper sent, the moment is not known here: its
    /// server may have started anew since, and then its "not started"
    /// proves nothing.
    fn sent<'a>(
        &self,
        sent: &'a AttemptSent,
        request: &'a ServerRequest,
    ) -> LostRequest<'a> {
        let now = self.context.now();
        let age = sent.arrived_at.map_or(TimeSpan::ZERO, |at| now.since(at));
        let left = request.deadline.since(now);
        let address = &sent.server;
        let same_server = sent.arrived_at.is_some();
        LostRequest { address, request, age, left, same_server }
    }
}

/// Whether the caller says that it may have sent this order before.
pub(super) fn may_have_been_sent(request: &RouteRequest) -> bool {
    let class = RequestClass::from_code(&request.class);
    let effect = class.map(RequestClass::effect);
    request.resend && effect == Some(RequestEffect::NonIdempotent)
}

pub(super) const fn is_answer(step: &AttemptStep) -> bool {
    matches!(step, AttemptStep::Answer(_))
}

/// Refuses a request before the memory of orders was asked.
///
/// `had`: an earlier try may have run. "Not run" would be a lie about that
/// one; only *no owner* stays, which tells the gateway to ask elsewhere.
pub(super) async fn decline(
    frames: &FrameSender,
    had: bool,
    reason: NotRunReason,
) {
    if !had || reason == NotRunReason::NoOwner {
        return refuse(frames, reason).await;
    }
    let reason = UnknownReason::KeeperTooYoung;
    pass_on::give(frames, frames::unknown(reason)).await;
}

pub(super) async fn refuse(frames: &FrameSender, reason: NotRunReason) {
    pass_on::give(frames, frames::not_run(reason, TimeSpan::ZERO)).await;
}

//! One try: a request to one keeper, and what its first frame tells.

use std::{sync::Arc, time::Duration};

use goldcrestramp_decisions::{RefusedBy, timeout_to_forward};
use goldcrestramp_types::{
    NotRunReason, RequestEffect, RetryReason, ServerName, TimeSpan,
    UnknownReason, slice_of,
};
use goldcrestramp_wire::peer::{
    RouteFrame, RouteRequest, peer_client::PeerClient, route_frame::Frame,
};
use tonic::{Streaming, transport::Channel};

use crate::gateway::{
    request::CallerRequest,
    route::{
        KeeperPlace, RequestRouter, RouteAnswer, RouteDone, RouteStream,
        refused,
    },
};

/// How long a keeper that lost a server may take to redirect its requests
/// itself, and to let what runs end, before it is taken as silent.
const MOVE_GRACE: Duration = Duration::from_millis(300);
/// How long a keeper's answer may be on its way back.
const ANSWER_MARGIN: TimeSpan = TimeSpan::from_millis(700);

/// What one try came to.
pub(super) enum TryOutcome {
    /// This is the caller's answer.
    Answer(RouteAnswer),
    /// It did not run; try again, at this address if one is named.
    Again(RetryReason, Option<KeeperPlace>),
    /// It may have run, and is idempotent.
    BrokenOff(UnknownReason),
    /// The keeper or its server refused it, and says when to come back.
    Refused(NotRunReason, TimeSpan),
}

/// Sends a request; its first frame, how long the keeper took for it, and
/// the frames that follow.
///
/// `None`: the keeper went silent or broke off before the first.
pub(super) async fn first_frame(
    channel: Channel,
    message: RouteRequest,
) -> Option<(Frame, TimeSpan, Streaming<RouteFrame>)> {
    let response = PeerClient::new(channel).route(message).await.ok()?;
    let mut frames = response.into_inner();
    let first = frames.message().await.ok()??;
    let spent = TimeSpan::from_micros(first.spent_micros);
    Some((first.frame?, spent, frames))
}

impl RequestRouter {
    /// Sends the request to this keeper; what it came to.
    pub(super) async fn attempt(
        &self,
        request: &CallerRequest,
        place: &KeeperPlace,
    ) -> TryOutcome {
        let address = &place.address;
        let Ok(channel) = self.channels.open(address).await else {
            return TryOutcome::Again(RetryReason::KeeperUnreachable, None);
        };
        let now = self.context.now();
        let left = request.deadline.since(now);
        let way = self.channels.one_way(address);
        // Sent without the time of the way, a request could start after its
        // caller has given it up, and hold a slot for nobody.
        let Some(rest) = timeout_to_forward(now, request.deadline, way) else {
            let reason = if left == TimeSpan::ZERO {
                NotRunReason::DeadlinePassed
            } else {
                NotRunReason::DeadlineTooShort
            };
            return TryOutcome::Answer(refused(reason));
        };
        let message = self.message(request, &place.server, rest);
        let call = first_frame(channel, message);
        // The keeper answers by the deadline; the margin is for its way
        // back, so that its own, truer answer is not missed.
        let wait = left.plus(ANSWER_MARGIN);
        let call = tokio::time::timeout(wait.to_std(), call);
        let mut call = std::pin::pin!(call);
        let answered = tokio::select! {
            answered = &mut call => answered,
            () = self.moved(request, address) => {
                match self.lost(request, place, left).await {
                    // Nobody else knows: the first keeper may yet answer.
                    TryOutcome::Answer(RouteAnswer::Unknown { .. }) => {
                        call.await
                    }
                    found => return found,
                }
            }
        };
        match answered {
            Ok(Some((first, spent, frames))) => {
                let waited = self.context.now().since(now);
                self.channels.record_trip(address, waited.minus(spent));
                self.first(request, first, frames)
            }
            Ok(None) => {
                self.channels.forget(address);
                self.lost(request, place, left).await
            }
            Err(_elapsed) => {
                let reason = UnknownReason::DeadlinePassed;
                TryOutcome::Answer(RouteAnswer::unknown(reason))
            }
        }
    }

    /// Completes when the key's requests have gone to another keeper for a
    /// while.
    ///
    /// A keeper that was cut off or paused answers nobody, and its
    /// connection stays open for seconds: its callers would wait though
    /// another VM keeps the server by then.
    async fn moved(&self, request: &CallerRequest, address: &Arc<str>) {
        let mut changes = self.context.table_changed.subscribe();
        loop {
            if self.is_elsewhere(request, address) {
                tokio::time::sleep(MOVE_GRACE).await;
                if self.is_elsewhere(request, address) {
                    return;
                }
            }
            if changes.changed().await.is_err() {
                // The daemon ends, and its requests with it.
                std::future::pending::<()>().await;
            }
        }
    }

    fn is_elsewhere(&self, request: &CallerRequest, address: &str) -> bool {
        let table = self.context.table.load();
        let Some(routes) = table.service(&request.service) else {
            return false;
        };
        let slice = slice_of(&request.key, routes.count);
        let target = routes.target(slice);
        target.is_some_and(|target| *target.address != *address)
    }

    /// The keeper went silent: an idempotent request is sent again, of any
    /// other it is found out what became of it.
    async fn lost(
        &self,
        request: &CallerRequest,
        place: &KeeperPlace,
        left: TimeSpan,
    ) -> TryOutcome {
        match self.effect(request) {
            RequestEffect::Idempotent => {
                TryOutcome::BrokenOff(UnknownReason::KeeperLost)
            }
            RequestEffect::NonIdempotent => {
                let age = left.minus(self.left(request));
                let server = &place.server;
                TryOutcome::Answer(self.recover(request, server, age).await)
            }
        }
    }

    /// The request as it is sent to a keeper.
    pub(super) fn message(
        &self,
        request: &CallerRequest,
        server: &ServerName,
        left: TimeSpan,
    ) -> RouteRequest {
        RouteRequest {
            server: server.to_string(),
            service: request.service.to_string(),
            key: request.key.clone(),
            caller: request.caller.to_string(),
            request: request.name.to_string(),
            class: request.class.code().to_owned(),
            left_micros: left.as_micros(),
            resend: request.resend,
            body: request.body.clone(),
            region: self.context.settings.region.to_string(),
            ..RouteRequest::default()
        }
    }

    fn left(&self, request: &CallerRequest) -> TimeSpan {
        request.deadline.since(self.context.now())
    }

    /// Reads the first frame, which tells the outcome.
    pub(super) fn first(
        &self,
        request: &CallerRequest,
        first: Frame,
        frames: Streaming<RouteFrame>,
    ) -> TryOutcome {
        match first {
            Frame::Head(head) => {
                let context = Arc::clone(&self.context);
                let frames = RouteStream { frames, context };
                let done = Box::new(RouteDone { head, frames });
                TryOutcome::Answer(RouteAnswer::Done(done))
            }
            Frame::Redirect(redirect) => {
                let server = ServerName::new(&redirect.server).ok();
                let address = Arc::from(redirect.address);
                let place =
                    server.map(|server| KeeperPlace { address, server });
                TryOutcome::Again(RetryReason::Redirected, place)
            }
            Frame::NotRun(not_run) => {
                let reason = NotRunReason::from_code(&not_run.reason)
                    .unwrap_or(NotRunReason::ServerRefused);
                let wait = TimeSpan::from_micros(not_run.retry_after_micros);
                declined(reason, wait)
            }
            Frame::Unknown(unknown) => {
                let reason = UnknownReason::from_code(&unknown.reason)
                    .unwrap_or(UnknownReason::ServerLost);
                undecided(self.effect(request), reason)
            }
            Frame::Data(_) | Frame::End(_) => {
                let reason = UnknownReason::CrossedAnswer;
                TryOutcome::Answer(RouteAnswer::unknown(reason))
            }
        }
    }
}

/// An idempotent request whose server fell silent is sent again.
fn undecided(effect: RequestEffect, reason: UnknownReason) -> TryOutcome {
    let again = matches!(
        reason,
        UnknownReason::ServerLost | UnknownReason::CrossedAnswer
    );
    if again && effect == RequestEffect::Idempotent {
        return TryOutcome::BrokenOff(reason);
    }
    TryOutcome::Answer(RouteAnswer::unknown(reason))
}

/// A keeper's *not run*: the owner may only have moved.
fn declined(reason: NotRunReason, wait: TimeSpan) -> TryOutcome {
    match reason {
        NotRunReason::NoOwner | NotRunReason::OwnerMoved => {
            TryOutcome::Again(RetryReason::NoOwner, None)
        }
        NotRunReason::ServerUnreachable | NotRunReason::ServerRefused => {
            TryOutcome::Refused(reason, wait)
        }
        _ => {
            let retry_after = Some(wait);
            let by = RefusedBy::Keeper;
            TryOutcome::Answer(RouteAnswer::NotRun { reason, retry_after, by })
        }
    }
}

//! One attempt: sends a request to one keeper and reads the first frame.

use std::{sync::Arc, time::Duration};

use goldcrestramp_decisions::{RefusedBy, timeout_to_forward};
use goldcrestramp_types::{
    NotRunReason, RequestEffect, RetryReason, ServerName, ServiceName,
    TimeSpan, UnknownReason, slice_of,
};
use goldcrestramp_wire::peer::{
    OrderParcel, RouteFrame, RouteRequest, peer_client::PeerClient,
    route_frame::Frame,
};
use tonic::{Streaming, transport::Channel};

use crate::gateway::{
    request::CallerRequest,
    route::{
        KeeperTarget, RequestRouter, ResponseStream, RouteOutcome,
        RouteResponse, refused,
    },
};

/// How long a keeper that lost a server may take to redirect its requests and
/// to complete those that run, before it is probed.
const MOVE_GRACE: Duration = Duration::from_millis(300);
/// A keeper that does not respond to a probe within this time is lost, like
/// one that accepts no connection.
const PROBE_TIMEOUT: Duration = Duration::from_millis(800);
/// How long a keeper's response may be in transit.
const RESPONSE_MARGIN: TimeSpan = TimeSpan::from_millis(700);

/// Why a keeper's response is no longer waited for.
#[derive(Clone, Copy, Debug)]
enum KeeperLoss {
    /// The routing table names another keeper, and it responds to no probe.
    Replaced,
    /// The connection broke before the first frame.
    Disconnected,
}

impl KeeperLoss {
    /// The stable code in logs.
    const fn code(self) -> &'static str {
        match self {
            Self::Replaced => "replaced",
            Self::Disconnected => "disconnected",
        }
    }
}

/// The result of one attempt.
pub(super) enum AttemptResult {
    /// The caller gets this outcome.
    Final(RouteOutcome),
    /// The request did not run. It is retried, at this target if there is
    /// one.
    Retry(RetryReason, Option<KeeperTarget>),
    /// The request may have run, and is idempotent.
    Interrupted(UnknownReason),
    /// The keeper or its server refused the request; the span is the time
    /// until a retry.
    Refused(NotRunReason, TimeSpan),
}

/// Sends a request and returns its first frame, the time that the keeper took
/// for it, and the frames that follow.
///
/// Returns `None` if the keeper did not respond or the connection broke
/// before the first frame.
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

/// Whether a peer responds to a probe: a batch without records.
async fn is_alive(channel: Channel, service: &ServiceName) -> bool {
    let mut peer = PeerClient::new(channel);
    let service = service.to_string();
    let probe = OrderParcel { service, orders: Vec::new() };
    let response = tokio::time::timeout(PROBE_TIMEOUT, peer.remember(probe));
    matches!(response.await, Ok(Ok(_receipt)))
}

impl RequestRouter {
    /// Sends the request to this keeper and returns the result.
    pub(super) async fn attempt(
        &self,
        request: &CallerRequest,
        target: &KeeperTarget,
    ) -> AttemptResult {
        let address = &target.address;
        let Ok(channel) = self.channels.open(address).await else {
            return AttemptResult::Retry(RetryReason::KeeperUnreachable, None);
        };
        let now = self.context.now();
        let remaining = request.deadline.since(now);
        let one_way = self.channels.one_way(address);
        // Without subtracting the transit time, a request could start after
        // its caller stopped waiting, and occupy a slot for nothing.
        let Some(timeout) = timeout_to_forward(now, request.deadline, one_way)
        else {
            let reason = if remaining == TimeSpan::ZERO {
                NotRunReason::DeadlinePassed
            } else {
                NotRunReason::DeadlineTooShort
            };
            return AttemptResult::Final(refused(reason));
        };
        let message = self.message(request, &target.server, timeout);
        let call = first_frame(channel.clone(), message);
        // The keeper responds by the deadline. The margin covers the transit
        // of its response, which is more exact than a timeout here.
        let wait = remaining.plus(RESPONSE_MARGIN);
        let call = tokio::time::timeout(wait.to_std(), call);
        let mut call = std::pin::pin!(call);
        let response = tokio::select! {
            response = &mut call => response,
            () = self.keeper_replaced(request, address, channel) => {
                let loss = KeeperLoss::Replaced;
                let found =
                    self.keeper_lost(request, target, remaining, loss);
                match found.await {
                    // No other keeper knows; the first may still respond.
                    AttemptResult::Final(RouteOutcome::Unknown { .. }) => {
                        call.await
                    }
                    found => return found,
                }
            }
        };
        match response {
            Ok(Some((first, spent, frames))) => {
                let waited = self.context.now().since(now);
                self.channels.record_trip(address, waited.minus(spent));
                self.read_first(request, first, frames)
            }
            Ok(None) => {
                self.channels.forget(address);
                let loss = KeeperLoss::Disconnected;
                self.keeper_lost(request, target, remaining, loss).await
            }
            Err(_elapsed) => {
                log::info!(
                    "gateway: {} {} of {} got no response of keeper {} by \
                     its deadline.",
                    request.class.code(),
                    request.name,
                    request.caller,
                    address,
                );
                let reason = UnknownReason::DeadlinePassed;
                AttemptResult::Final(RouteOutcome::unknown(reason))
            }
        }
    }

    /// Completes when the routing table has sent the key's requests to
    /// another keeper for [`MOVE_GRACE`] and this one is lost.
    ///
    /// A keeper that was cut off or paused does not respond, and its
    /// connection stays open for seconds. Its callers would wait although
    /// another VM keeps the server by then. One that has handed the server
    /// over still completes the requests that it has sent there.
    async fn keeper_replaced(
        &self,
        request: &CallerRequest,
        address: &Arc<str>,
        channel: Channel,
    ) {
        let mut changes = self.context.table_changed.subscribe();
        loop {
            if self.is_elsewhere(request, address) {
                tokio::time::sleep(MOVE_GRACE).await;
                if self.is_elsewhere(request, address)
                    && !is_alive(channel.clone(), &request.service).await
                {
                    return;
                }
                continue;
            }
            if changes.changed().await.is_err() {
                // The daemon stops, and its requests with it.
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

    /// Handles a keeper that does not respond: an idempotent request is
    /// retried, the outcome of any other is queried.
    async fn keeper_lost(
        &self,
        request: &CallerRequest,
        target: &KeeperTarget,
        remaining: TimeSpan,
        loss: KeeperLoss,
    ) -> AttemptResult {
        log::info!(
            "gateway: {} {} of {} gets no response of keeper {}: {}.",
            request.class.code(),
            request.name,
            request.caller,
            target.address,
            loss.code(),
        );
        match self.effect(request) {
            RequestEffect::Idempotent => {
                AttemptResult::Interrupted(UnknownReason::KeeperLost)
            }
            RequestEffect::NonIdempotent => {
                let age = remaining.minus(self.remaining(request));
                let server = &target.server;
                AttemptResult::Final(self.recover(request, server, age).await)
            }
        }
    }

    /// Encodes the request for a keeper.
    pub(super) fn message(
        &self,
        request: &CallerRequest,
        server: &ServerName,
        remaining: TimeSpan,
    ) -> RouteRequest {
        RouteRequest {
            server: server.to_string(),
            service: request.service.to_string(),
            key: request.key.clone(),
            caller: request.caller.to_string(),
            request: request.name.to_string(),
            class: request.class.code().to_owned(),
            left_micros: remaining.as_micros(),
            resend: request.resend,
            body: request.body.clone(),
            region: self.context.settings.region.to_string(),
            ..RouteRequest::default()
        }
    }

    fn remaining(&self, request: &CallerRequest) -> TimeSpan {
        request.deadline.since(self.context.now())
    }

    /// Reads the first frame, which holds the outcome.
    pub(super) fn read_first(
        &self,
        request: &CallerRequest,
        first: Frame,
        frames: Streaming<RouteFrame>,
    ) -> AttemptResult {
        match first {
            Frame::Head(head) => {
                let context = Arc::clone(&self.context);
                let frames = ResponseStream { frames, context };
                let done = Box::new(RouteResponse { head, frames });
                AttemptResult::Final(RouteOutcome::Done(done))
            }
            Frame::Redirect(redirect) => {
                let server = ServerName::new(&redirect.server).ok();
                let address = Arc::from(redirect.address);
                let target =
                    server.map(|server| KeeperTarget { address, server });
                AttemptResult::Retry(RetryReason::Redirected, target)
            }
            Frame::NotRun(not_run) => {
                let reason = NotRunReason::from_code(&not_run.reason)
                    .unwrap_or(NotRunReason::ServerRefused);
                let wait = TimeSpan::from_micros(not_run.retry_after_micros);
                not_run_result(reason, wait)
            }
            Frame::Unknown(unknown) => {
                let reason = UnknownReason::from_code(&unknown.reason)
                    .unwrap_or(UnknownReason::ServerLost);
                unknown_result(self.effect(request), reason)
            }
            Frame::Data(_) | Frame::End(_) => {
                let reason = UnknownReason::CrossedAnswer;
                AttemptResult::Final(RouteOutcome::unknown(reason))
            }
        }
    }
}

/// The result for a keeper's *unknown*: an idempotent request whose server was
/// lost is retried.
fn unknown_result(
    effect: RequestEffect,
    reason: UnknownReason,
) -> AttemptResult {
    let is_lost = matches!(
        reason,
        UnknownReason::ServerLost | UnknownReason::CrossedAnswer
    );
    if is_lost && effect == RequestEffect::Idempotent {
        return AttemptResult::Interrupted(reason);
    }
    AttemptResult::Final(RouteOutcome::unknown(reason))
}

/// The result for a keeper's *not run*: it is retried if the owner may only
/// have moved.
fn not_run_result(reason: NotRunReason, wait: TimeSpan) -> AttemptResult {
    match reason {
        NotRunReason::NoOwner | NotRunReason::OwnerMoved => {
            AttemptResult::Retry(RetryReason::NoOwner, None)
        }
        NotRunReason::ServerUnreachable | NotRunReason::ServerRefused => {
            AttemptResult::Refused(reason, wait)
        }
        _ => {
            let retry_after = Some(wait);
            let by = RefusedBy::Keeper;
            AttemptResult::Final(RouteOutcome::NotRun {
                reason,
                retry_after,
                by,
            })
        }
    }
}

//! From a checked request to the keeper of its key's owner, and back.

use std::{sync::Arc, time::Duration};

use goldcrestramp_decisions::RetryDecision;
use goldcrestramp_types::{
    LocalTime, NotRunReason, RequestEffect, RetryReason, ServerName, TimeSpan,
    UnknownReason, slice_of,
};
use goldcrestramp_wire::peer::{
    RouteFrame, RouteHead, RouteRequest, peer_client::PeerClient,
    route_frame::Frame,
};
use tonic::{Streaming, transport::Channel};

use crate::{
    context::NodeContext,
    gateway::{
        request::CallerRequest,
        retry::{FailedTry, RetryBook, jittered},
    },
    metrics::NodeMetrics,
    peers::PeerChannels,
};

/// The most times that one request is redirected or sent again.
///
/// Two moves of a slice at once cost four; more would be a loop.
const SENDS_MOST: u32 = 8;
/// A pause before a keeper that was out of reach is tried again, unless
/// the table changes first.
const PAUSE: Duration = Duration::from_millis(50);
/// How long a request waits for its key to have an owner within reach.
///
/// A lost owner is replaced within 2 s. What takes longer is a failure
/// domain that is cut off, for hours perhaps: then the caller is told at
/// once instead of being kept until its deadline.
const OWNER_PATIENCE: TimeSpan = TimeSpan::from_millis(3_000);
/// What a caller is told to wait when nobody owns its key: the lease time,
/// after which a lost owner is replaced.
const OWNER_WAIT: TimeSpan = TimeSpan::from_millis(1_500);

/// What became of a request.
#[derive(Debug)]
pub(crate) enum RouteAnswer {
    /// The server answers; the frames end with an end mark if it is whole.
    Done(Box<RouteDone>),
    /// It did not run.
    NotRun { reason: NotRunReason, retry_after: Option<TimeSpan> },
    /// It may have run.
    Unknown { reason: UnknownReason },
}

/// An answer that has begun.
#[derive(Debug)]
pub(crate) struct RouteDone {
    pub(crate) head: RouteHead,
    pub(crate) frames: RouteStream,
}

/// The frames of an answer that has begun.
#[derive(Debug)]
pub(crate) struct RouteStream {
    frames: Streaming<RouteFrame>,
    context: Arc<NodeContext>,
}

impl RouteStream {
    /// The next frame; `None`: broken off.
    pub(crate) async fn next(&mut self) -> Option<RouteFrame> {
        self.frames.message().await.ok().flatten()
    }

    pub(crate) fn metrics(&self) -> &NodeMetrics {
        &self.context.metrics
    }
}

/// Where a request is sent, and the server that it is meant for.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(super) struct KeeperPlace {
    pub(super) address: Arc<str>,
    pub(super) server: ServerName,
}

/// What one try came to.
pub(super) enum TryOutcome {
    /// This is the caller's answer.
    Answer(RouteAnswer),
    /// It did not run; try again, at this address if one is named.
    Again(RetryReason, Option<KeeperPlace>),
    /// The keeper or its server refused it, and says when to come back.
    Refused(NotRunReason, TimeSpan),
}

/// Sends a request; its first frame, and those that follow.
///
/// `None`: the keeper went silent or broke off before the first.
pub(super) async fn first_frame(
    channel: Channel,
    message: RouteRequest,
) -> Option<(Frame, Streaming<RouteFrame>)> {
    let response = PeerClient::new(channel).route(message).await.ok()?;
    let mut frames = response.into_inner();
    let first = frames.message().await.ok()??;
    Some((first.frame?, frames))
}

/// Sends requests to keepers.
#[derive(Clone, Debug)]
pub(crate) struct RequestRouter {
    pub(super) context: Arc<NodeContext>,
    pub(super) channels: Arc<PeerChannels>,
    retries: RetryBook,
}

impl RequestRouter {
    pub(crate) fn new(context: Arc<NodeContext>) -> Self {
        let channels = Arc::new(PeerChannels::new(Arc::clone(&context)));
        Self { context, channels, retries: RetryBook::default() }
    }

    /// Routes a request until it has an outcome or its deadline passes.
    pub(crate) async fn route(&self, request: &CallerRequest) -> RouteAnswer {
        let mut named = None;
        let mut last = RetryReason::NoOwner;
        let mut retries = 0;
        let mut sends = 0;
        let patience = self.patience(request);
        self.retries.attempted(request);
        while sends < SENDS_MOST {
            let place = match named.take() {
                Some(place) => place,
                None => match self.owner(request, patience).await {
                    Ok(place) => place,
                    Err(reason) => return refused(reason),
                },
            };
            match self.attempt(request, &place).await {
                TryOutcome::Answer(answer) => return answer,
                TryOutcome::Refused(refusal, wait) => {
                    let failed = FailedTry::refused(refusal, wait, retries);
                    if let Some(answer) = self.again(request, failed).await {
                        return answer;
                    }
                    retries += 1;
                    sends += 1;
                    last = RetryReason::ServerRefused;
                    continue;
                }
                TryOutcome::Again(RetryReason::BrokenOff, _) => {
                    let failed = FailedTry::broken_off(retries);
                    if let Some(answer) = self.again(request, failed).await {
                        return answer;
                    }
                    retries += 1;
                    sends += 1;
                    last = RetryReason::BrokenOff;
                    continue;
                }
                TryOutcome::Again(reason, elsewhere) => {
                    self.context.metrics.count_retry(reason);
                    last = reason;
                    sends += u32::from(elsewhere.is_some());
                    named = elsewhere;
                }
            }
            if named.is_none() && !self.pause(patience).await {
                break;
            }
        }
        refused(exhausted(last))
    }

    /// Waits until a budgeted retry may be made; an answer if it may not.
    async fn again(
        &self,
        request: &CallerRequest,
        failed: FailedTry,
    ) -> Option<RouteAnswer> {
        let now = self.context.now();
        let decision = self.retries.decide(now, request, &failed);
        let time = match decision {
            RetryDecision::Again(time, reason) => {
                self.context.metrics.count_retry(reason);
                time.max(now + failed.wait)
            }
            RetryDecision::NotRun(reason) => {
                let retry_after = Some(failed.wait);
                return Some(RouteAnswer::NotRun { reason, retry_after });
            }
            RetryDecision::Unknown => {
                let reason = UnknownReason::KeeperLost;
                return Some(RouteAnswer::Unknown { reason });
            }
        };
        let mut changes = self.context.table_changed.subscribe();
        let wait = time.since(now).to_std();
        // A new table may name another owner before the time is over.
        drop(tokio::time::timeout(wait, changes.changed()).await);
        None
    }

    /// Until when a request waits for an owner within reach.
    pub(super) fn patience(&self, request: &CallerRequest) -> LocalTime {
        let end = self.context.now() + OWNER_PATIENCE;
        end.min(request.deadline)
    }

    /// The keeper's address; waits for an owner until `patience` ends.
    pub(super) async fn owner(
        &self,
        request: &CallerRequest,
        patience: LocalTime,
    ) -> Result<KeeperPlace, NotRunReason> {
        let mut changes = self.context.table_changed.subscribe();
        loop {
            changes.borrow_and_update();
            let table = self.context.table.load_full();
            if self.context.lacks_service(&request.service) {
                return Err(NotRunReason::UnknownService);
            }
            let routes = table.service(&request.service);
            let target = routes.and_then(|routes| {
                routes.target(slice_of(&request.key, routes.count))
            });
            if let Some(target) = target {
                return Ok(KeeperPlace {
                    address: Arc::clone(&target.address),
                    server: target.server.clone(),
                });
            }
            let left = patience.since(self.context.now());
            let wait = tokio::time::timeout(left.to_std(), changes.changed());
            if wait.await.is_err() {
                return Err(NotRunReason::NoOwner);
            }
        }
    }

    async fn attempt(
        &self,
        request: &CallerRequest,
        place: &KeeperPlace,
    ) -> TryOutcome {
        let address = &place.address;
        let Ok(channel) = self.channels.open(address).await else {
            return TryOutcome::Again(RetryReason::KeeperUnreachable, None);
        };
        let left = self.left(request);
        if left == TimeSpan::ZERO {
            let reason = NotRunReason::DeadlinePassed;
            return TryOutcome::Answer(refused(reason));
        }
        let message = self.message(request, &place.server, left);
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
            Ok(Some((first, frames))) => self.first(request, first, frames),
            Ok(None) => {
                self.channels.forget(address);
                self.lost(request, place, left).await
            }
            Err(_elapsed) => {
                let reason = UnknownReason::DeadlinePassed;
                TryOutcome::Answer(RouteAnswer::Unknown { reason })
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
        match request.class.effect() {
            RequestEffect::Idempotent => {
                TryOutcome::Again(RetryReason::BrokenOff, None)
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
                undecided(request, reason)
            }
            Frame::Data(_) | Frame::End(_) => {
                let reason = UnknownReason::CrossedAnswer;
                TryOutcome::Answer(RouteAnswer::Unknown { reason })
            }
        }
    }

    /// Waits for a new table or a moment; `false`: the deadline is over.
    pub(super) async fn pause(&self, deadline: LocalTime) -> bool {
        let left = deadline.since(self.context.now());
        if left == TimeSpan::ZERO {
            return false;
        }
        let mut changes = self.context.table_changed.subscribe();
        let wait = PAUSE.min(left.to_std());
        // Either end of the wait is good for another try.
        drop(tokio::time::timeout(wait, changes.changed()).await);
        true
    }
}

/// An idempotent request whose server fell silent is sent again.
fn undecided(request: &CallerRequest, reason: UnknownReason) -> TryOutcome {
    let again = matches!(
        reason,
        UnknownReason::ServerLost | UnknownReason::CrossedAnswer
    );
    if again && request.class.effect() == RequestEffect::Idempotent {
        return TryOutcome::Again(RetryReason::BrokenOff, None);
    }
    TryOutcome::Answer(RouteAnswer::Unknown { reason })
}

/// How long a keeper that lost a server may take to redirect its requests
/// itself, and to let what runs end, before it is taken as silent.
const MOVE_GRACE: Duration = Duration::from_millis(300);
/// How long a keeper's answer may be on its way back.
const ANSWER_MARGIN: TimeSpan = TimeSpan::from_millis(700);

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
            TryOutcome::Answer(RouteAnswer::NotRun { reason, retry_after })
        }
    }
}

/// The refusal after the last try.
const fn exhausted(last: RetryReason) -> NotRunReason {
    match last {
        RetryReason::Redirected => NotRunReason::OwnerMoved,
        RetryReason::KeeperUnreachable => NotRunReason::KeeperUnreachable,
        RetryReason::ServerRefused => NotRunReason::ServerRefused,
        RetryReason::NoOwner | RetryReason::BrokenOff => NotRunReason::NoOwner,
    }
}

fn refused(reason: NotRunReason) -> RouteAnswer {
    let retry_after = match reason {
        NotRunReason::BadRequest | NotRunReason::UnknownService => None,
        _ => Some(jittered(OWNER_WAIT)),
    };
    RouteAnswer::NotRun { reason, retry_after }
}

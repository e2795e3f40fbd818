//! What became of an order whose keeper went silent.
//!
//! The order is never sent again. The next keeper of its server is asked to
//! find out; it answers *not run*, the kept answer, or *unknown*.

use goldcrestramp_types::{TimeSpan, UnknownReason};
use goldcrestramp_wire::peer::{RouteRequest, peer_client::PeerClient};

use crate::gateway::{
    request::CallerRequest,
    route::{RequestRouter, RouteAnswer, TryOutcome},
};

/// The most keepers that are asked.
const ASKS_MOST: u32 = 16;

impl RequestRouter {
    /// Asks the keepers of the order's server until one knows, or until the
    /// deadline; the order was first sent `age` ago.
    pub(super) async fn recover(
        &self,
        request: &CallerRequest,
        age: TimeSpan,
    ) -> RouteAnswer {
        let started = self.context.now();
        for _ in 0..ASKS_MOST {
            let now = self.context.now();
            let age = age.plus(now.since(started));
            let left = request.deadline.since(now);
            if let Some(answer) = self.ask(request, age, left).await {
                return answer;
            }
            if !self.pause(request.deadline).await {
                break;
            }
        }
        RouteAnswer::Unknown { reason: UnknownReason::KeeperLost }
    }

    async fn ask(
        &self,
        request: &CallerRequest,
        age: TimeSpan,
        left: TimeSpan,
    ) -> Option<RouteAnswer> {
        let address = self.owner(request, request.deadline).await.ok()?;
        let channel = self.channels.open(&address).await.ok()?;
        let message = RouteRequest {
            recover: true,
            age_micros: age.as_micros(),
            ..self.message(request, left)
        };
        let call = async {
            let mut client = PeerClient::new(channel);
            let mut frames = client.route(message).await.ok()?.into_inner();
            let first = frames.message().await.ok()??.frame?;
            Some((first, frames))
        };
        let asked = tokio::time::timeout(left.to_std(), call).await;
        let Some((first, frames)) = asked.ok().flatten() else {
            self.channels.forget(&address);
            return None;
        };
        match self.first(request, first, frames) {
            TryOutcome::Answer(answer) => Some(answer),
            TryOutcome::Again(..) | TryOutcome::Refused(..) => None,
        }
    }
}

//! What became of an order whose keeper went silent.
//!
//! The order is never sent again. The next keeper of its server is asked to
//! find out; it answers *not run*, the kept answer, or *unknown*.

use std::sync::Arc;

use goldcrestramp_types::{ServerName, TimeSpan, UnknownReason};
use goldcrestramp_wire::peer::RouteRequest;

use crate::gateway::{
    attempt::{TryOutcome, first_frame},
    request::CallerRequest,
    route::{RequestRouter, RouteAnswer},
};

/// The most keepers that are asked.
const ASKS_MOST: u32 = 16;

impl RequestRouter {
    /// Asks the keepers of the order's server until one knows, or until the
    /// deadline; the order was first sent `age` ago.
    pub(super) async fn recover(
        &self,
        request: &CallerRequest,
        server: &ServerName,
        age: TimeSpan,
    ) -> RouteAnswer {
        let started = self.context.now();
        for _ in 0..ASKS_MOST {
            let now = self.context.now();
            let age = age.plus(now.since(started));
            let left = request.deadline.since(now);
            if let Some(answer) = self.ask(request, server, age, left).await {
                return answer;
            }
            if !self.pause(request.deadline).await {
                break;
            }
        }
        RouteAnswer::unknown(UnknownReason::KeeperLost)
    }

    /// Who keeps the server that was sent the order, also when its slice
    /// has gone to another server since.
    fn keeper_of(
        &self,
        request: &CallerRequest,
        server: &ServerName,
    ) -> Option<Arc<str>> {
        let table = self.context.table.load();
        let routes = table.service(&request.service)?;
        routes.keeper_of(server).map(Arc::clone)
    }

    async fn ask(
        &self,
        request: &CallerRequest,
        server: &ServerName,
        age: TimeSpan,
        left: TimeSpan,
    ) -> Option<RouteAnswer> {
        let address = self.keeper_of(request, server)?;
        let channel = self.channels.open(&address).await.ok()?;
        let message = RouteRequest {
            recover: true,
            age_micros: age.as_micros(),
            ..self.message(request, server, left)
        };
        let call = first_frame(channel, message);
        let asked = tokio::time::timeout(left.to_std(), call).await;
        let Some((first, _spent, frames)) = asked.ok().flatten() else {
            self.channels.forget(&address);
            return None;
        };
        match self.first(request, first, frames) {
            TryOutcome::Answer(answer) => Some(answer),
            TryOutcome::Again(..)
            | TryOutcome::Refused(..)
            | TryOutcome::BrokenOff(_) => None,
        }
    }
}

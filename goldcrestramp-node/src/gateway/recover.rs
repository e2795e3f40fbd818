//! Finds out the outcome of an order whose keeper stopped responding.
//!
//! The order is never retried. The next keeper of its server is queried; it
//! returns *not run*, the stored response, or *unknown*.

use std::sync::Arc;

use goldcrestramp_types::{ServerName, TimeSpan, UnknownReason};
use goldcrestramp_wire::peer::RouteRequest;

use crate::gateway::{
    attempt::{AttemptResult, first_frame},
    request::CallerRequest,
    route::{RequestRouter, RouteOutcome},
};

/// The maximum number of queries to keepers.
const MAX_QUERIES: u32 = 16;

impl RequestRouter {
    /// Queries the keepers of the order's server until one knows the outcome
    /// or the deadline passes. The order was first sent `age` ago.
    pub(super) async fn recover(
        &self,
        request: &CallerRequest,
        server: &ServerName,
        age: TimeSpan,
    ) -> RouteOutcome {
        let started = self.context.now();
        for _ in 0..MAX_QUERIES {
            let now = self.context.now();
            let age = age.plus(now.since(started));
            let remaining = request.deadline.since(now);
            if let Some(outcome) =
                self.query(request, server, age, remaining).await
            {
                return outcome;
            }
            if !self.pause(request.deadline).await {
                break;
            }
        }
        log::info!(
            "gateway: no keeper of {server} reported the outcome of order {}.",
            request.name,
        );
        RouteOutcome::unknown(UnknownReason::KeeperLost)
    }

    /// The keeper of the server that received the order, also if its slice
    /// has moved to another server since.
    fn keeper_of(
        &self,
        request: &CallerRequest,
        server: &ServerName,
    ) -> Option<Arc<str>> {
        let table = self.context.table.load();
        let routes = table.service(&request.service)?;
        routes.keeper_of(server).map(Arc::clone)
    }

    async fn query(
        &self,
        request: &CallerRequest,
        server: &ServerName,
        age: TimeSpan,
        remaining: TimeSpan,
    ) -> Option<RouteOutcome> {
        let address = self.keeper_of(request, server)?;
        let channel = self.channels.open(&address).await.ok()?;
        let message = RouteRequest {
            recover: true,
            age_micros: age.as_micros(),
            ..self.message(request, server, remaining)
        };
        let call = first_frame(channel, message);
        let response = tokio::time::timeout(remaining.to_std(), call).await;
        let Some((first, _spent, frames)) = response.ok().flatten() else {
            self.channels.forget(&address);
            return None;
        };
        match self.read_first(request, first, frames) {
            AttemptResult::Final(outcome) => Some(outcome),
            AttemptResult::Retry(..)
            | AttemptResult::Refused(..)
            | AttemptResult::Interrupted(_) => None,
        }
    }
}

//! What servers state in their responses about themselves.

use goldcrestramp_adapter::{requested_backoff, states_leaving};
use goldcrestramp_types::{ClockSource, LocalTime, MonotonicClock};
use http::response::Parts;

use crate::traffic::{
    request::RoutedRequest, server::ServerState, state::TrafficState,
};

impl TrafficState {
    /// Whether a server has asked this VM for a backoff that has not ended.
    pub(super) fn is_in_backoff(&self, server: &ServerState) -> bool {
        let now = MonotonicClock.now();
        self.notices.backoff_until(now, &server.instance).is_some()
    }

    /// Whether a server that was chosen for a request has stated since that it
    /// wants none like it. The owner of a key serves until its drain ends.
    pub(super) fn is_declined(
        &self,
        request: &RoutedRequest,
        server: &ServerState,
    ) -> bool {
        let is_pooled = request.slice.is_none();
        self.is_in_backoff(server)
            || is_pooled && self.notices.is_leaving(&server.instance)
    }

    /// Records what a server states in the head of a response, whichever
    /// request the response belongs to.
    pub(super) fn record_notices(
        &self,
        now: LocalTime,
        server: &ServerState,
        parts: &Parts,
    ) {
        let instance = &server.instance;
        match requested_backoff(parts.status, &parts.headers) {
            Ok(Some(span)) => {
                self.metrics.backoffs.inc();
                if self.notices.record_backoff(now, instance, span) {
                    self.wake_queued();
                }
            }
            Ok(None) => {}
            Err(error) => {
                log::warn!("[backoff] Server {}: {error}.", instance.id);
            }
        }
        match states_leaving(parts.status, &parts.headers) {
            Ok(true) => {
                if self.notices.record_leaving(now, instance.into()) {
                    self.wake_queued();
                }
            }
            Ok(false) => {}
            Err(error) => {
                log::warn!("[leaving] Server {}: {error}.", instance.id);
            }
        }
    }
}

//! What servers state in their responses about themselves.

use goldcrestramp_adapter::requested_backoff;
use goldcrestramp_types::LocalTime;
use http::{StatusCode, response::Parts};

use crate::traffic::{server::ServerState, state::TrafficState};

impl TrafficState {
    /// Records what a server states in the head of a response, whichever
    /// request the response belongs to.
    pub(super) fn record_notices(
        &self,
        now: LocalTime,
        server: &ServerState,
        parts: &Parts,
    ) {
        // The response may be from another server at this address.
        if parts.status == StatusCode::MISDIRECTED_REQUEST {
            return;
        }
        let instance = &server.instance;
        match requested_backoff(parts.status, &parts.headers) {
            Ok(Some(span)) => {
                self.metrics.backoffs.inc();
                self.notices.record_backoff(now, instance, span);
            }
            Ok(None) => {}
            Err(error) => {
                log::warn!("[backoff] Server {}: {error}.", instance.id);
            }
        }
    }
}

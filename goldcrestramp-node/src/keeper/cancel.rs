//! Cancels requests whose callers have disconnected.

use std::sync::Arc;

use crate::keeper::{
    prove,
    request::ServerRequest,
    slot::{ServerSlot, SlotEnd},
    view::KeptServer,
};

/// Cancels a request at its server when its caller disconnects.
#[derive(Debug)]
pub(super) struct CancelOnDrop {
    pub(super) call: Option<CancelCall>,
}

/// The data of a cancellation. It keeps the slot until the server has
/// responded, as the cancelled request still occupies it there.
#[derive(Debug)]
pub(super) struct CancelCall {
    http: reqwest::Client,
    kept: KeptServer,
    id: Arc<str>,
    pub(super) slot: ServerSlot,
}

impl CancelOnDrop {
    pub(super) fn new(
        http: &reqwest::Client,
        kept: &KeptServer,
        request: &ServerRequest,
        slot: ServerSlot,
    ) -> Self {
        let http = http.clone();
        let id = Arc::clone(&request.id);
        Self { call: Some(CancelCall { http, kept: kept.clone(), id, slot }) }
    }

    /// Disables the cancellation, once the request has its response.
    pub(super) fn disarm(&mut self) {
        self.call = None;
    }
}

impl Drop for CancelOnDrop {
    fn drop(&mut self) {
        let Some(mut call) = self.call.take() else {
            return;
        };
        call.slot.record_end(SlotEnd::Cancelled);
        tokio::spawn(async move {
            // The result does not matter to a caller that disconnected.
            let _report =
                prove::cancel(&call.http, &call.kept.order.address, &call.id)
                    .await;
            drop(call.slot);
        });
    }
}

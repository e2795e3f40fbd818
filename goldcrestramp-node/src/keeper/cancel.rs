//! Requests whose callers have gone.

use std::sync::Arc;

use crate::keeper::{
    prove,
    request::ServerRequest,
    slot::{ServerSlot, SlotEnd},
    view::KeptServer,
};

/// Cancels a request at its server when its caller has gone.
#[derive(Debug)]
pub(super) struct CancelOnDrop {
    pub(super) call: Option<CancelCall>,
}

/// What a cancellation needs. It keeps the slot until the server has
/// answered: what is being cancelled still holds it there.
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

    /// The request has its answer: there is nothing to cancel.
    pub(super) fn disarm(&mut self) {
        self.call = None;
    }
}

impl Drop for CancelOnDrop {
    fn drop(&mut self) {
        let Some(mut call) = self.call.take() else {
            return;
        };
        call.slot.fail(SlotEnd::Cancelled);
        tokio::spawn(async move {
            // Whether it was in time does not matter to a caller that left.
            let _report =
                prove::cancel(&call.http, &call.kept.order.address, &call.id)
                    .await;
            drop(call.slot);
        });
    }
}

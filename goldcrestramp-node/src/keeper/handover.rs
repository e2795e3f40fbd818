//! Sends the records of orders to the next keeper of their slices.
//!
//! An order runs, a plan moves its slice to another server, and its caller
//! resends it: the new server has never seen it. Without the records of the
//! previous keeper the caller would only get *unknown*.
//!
//! The previous keeper sends its records as soon as the routing table names
//! the new one, and retries until they are accepted or have expired. A record
//! is correct whoever kept the slice in between. Without the records the new
//! keeper is *too young* to know the outcome.

use std::{sync::Arc, time::Duration};

use goldcrestramp_decisions::{
    AttemptId, AttemptOutcome, AttemptRecord, StoredAnswer,
};
use goldcrestramp_types::{
    CallerName, RequestName, ServiceName, SliceIndex, TimeSpan,
};
use goldcrestramp_wire::peer::{
    OrderAnswer, OrderParcel, OrderRecord, peer_client::PeerClient,
};
use tokio::sync::Notify;
use tonic::Status;

use crate::{
    context::NodeContext,
    keeper::attempts::{RecordBatch, ServerAttempts},
    peers::PeerChannels,
};

/// A batch that a keeper does not accept within this time is sent again.
const SEND_TIMEOUT: Duration = Duration::from_secs(1);
/// The delay before a batch that was not accepted is sent again: the keeper
/// may still wait for its grant.
const RETRY_DELAY: Duration = Duration::from_millis(200);
/// How long a stopping daemon continues to send records: a move takes some
/// hundred milliseconds to be known everywhere.
const STOP_TIMEOUT: Duration = Duration::from_secs(3);

/// Sends records to the next keepers, and accepts those of previous ones.
#[derive(Clone, Debug)]
pub(crate) struct MemoryHandover {
    context: Arc<NodeContext>,
    attempts: ServerAttempts,
    channels: Arc<PeerChannels>,
    wake: Arc<Notify>,
}

impl MemoryHandover {
    /// Starts the task that sends records; it ends with the runtime.
    pub(crate) fn spawn(
        context: Arc<NodeContext>,
        attempts: ServerAttempts,
    ) -> Self {
        let channels = Arc::new(PeerChannels::new(Arc::clone(&context)));
        let wake = Arc::default();
        let handover = Self { context, attempts, channels, wake };
        tokio::spawn(handover.clone().run());
        handover
    }

    /// Checks again for records to send.
    pub(crate) fn wake(&self) {
        self.wake.notify_one();
    }

    /// Waits until all records have been sent, for at most
    /// [`STOP_TIMEOUT`].
    pub(crate) async fn finish(&self) {
        let sending = async {
            while self.keeps_slices() || !self.send_pending().await {
                tokio::time::sleep(RETRY_DELAY).await;
            }
        };
        if tokio::time::timeout(STOP_TIMEOUT, sending).await.is_err() {
            log::warn!(
                "keeper: not all order records were sent to the next keepers."
            );
        }
    }

    async fn run(self) {
        let mut changes = self.context.table_changed.subscribe();
        loop {
            if !self.send_pending().await {
                tokio::time::sleep(RETRY_DELAY).await;
                continue;
            }
            let moved = tokio::select! {
                moved = changes.changed() => moved,
                () = self.wake.notified() => Ok(()),
            };
            if moved.is_err() {
                return;
            }
        }
    }

    /// Sends all pending records; returns `false` if a keeper did not accept
    /// them.
    async fn send_pending(&self) -> bool {
        loop {
            let table = self.context.table.load_full();
            let now = self.context.now();
            let vm = self.context.vm();
            let Some(batch) = self.attempts.next_batch(now, &table, vm) else {
                return true;
            };
            let sent = tokio::time::timeout(SEND_TIMEOUT, self.send(&batch));
            if !sent.await.unwrap_or(false) {
                return false;
            }
            self.attempts.mark_received(&batch);
        }
    }

    async fn send(&self, batch: &RecordBatch) -> bool {
        let Ok(channel) = self.channels.open(&batch.keeper).await else {
            return false;
        };
        let orders = batch.records.iter().map(encode_record).collect();
        let service = batch.service.to_string();
        let message = OrderParcel { service, orders };
        match PeerClient::new(channel).remember(message).await {
            Ok(receipt) => {
                receipt.into_inner().taken as usize == batch.records.len()
            }
            Err(_status) => {
                self.channels.forget(&batch.keeper);
                false
            }
        }
    }

    /// Whether the routing table still names this VM as a keeper.
    fn keeps_slices(&self) -> bool {
        self.context.table.load().names(self.context.vm())
    }

    /// Imports the records of a previous keeper whose slices are already
    /// here, and returns their number.
    ///
    /// # Errors
    ///
    /// A record is malformed.
    pub(crate) fn accept(&self, parcel: OrderParcel) -> Result<u32, Status> {
        let service = ServiceName::new(&parcel.service)
            .map_err(|_fault| Status::invalid_argument("no such service"))?;
        let now = self.context.now();
        let view = self.context.view.load();
        let mut accepted = 0;
        for order in parcel.orders {
            let record = decode_record(order)
                .ok_or_else(|| Status::invalid_argument("not a record"))?;
            if let Some(kept) = view.find(now, &service, record.slice) {
                self.attempts.import(now, &kept, record);
                accepted += 1;
            }
        }
        Ok(accepted)
    }
}

fn encode_record(record: &AttemptRecord) -> OrderRecord {
    let answer = match &record.outcome {
        AttemptOutcome::Done(answer) => Some(OrderAnswer {
            status: u32::from(answer.status),
            content_type: answer.content_type.to_string(),
            body: answer.body.as_deref().map(bytes::Bytes::copy_from_slice),
        }),
        AttemptOutcome::NotRun(_) | AttemptOutcome::Unknown => None,
    };
    OrderRecord {
        caller: record.id.caller.to_string(),
        request: record.id.request.to_string(),
        slice: u32::from(record.slice.get()),
        left_micros: record.remaining.as_micros(),
        server_address: record.server.to_string(),
        answer,
    }
}

fn decode_record(order: OrderRecord) -> Option<AttemptRecord> {
    let id = AttemptId {
        caller: CallerName::new(&order.caller).ok()?,
        request: RequestName::new(&order.request).ok()?,
    };
    let outcome = match order.answer {
        None => AttemptOutcome::Unknown,
        Some(answer) => AttemptOutcome::Done(StoredAnswer {
            status: u16::try_from(answer.status).ok()?,
            content_type: Arc::from(answer.content_type),
            body: answer.body.as_deref().map(Arc::from),
        }),
    };
    Some(AttemptRecord {
        id,
        slice: SliceIndex::new(order.slice)?,
        remaining: TimeSpan::from_micros(order.left_micros),
        server: Arc::from(order.server_address),
        outcome,
    })
}

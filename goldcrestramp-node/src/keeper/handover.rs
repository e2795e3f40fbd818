//! Passing the memory of orders on, to the next keeper of their slices.
//!
//! An order runs, its slice moves to another server on a plan, and its
//! caller sends it again: the new server has never seen it. Without the old
//! keeper's word the caller would only learn that nobody knows.
//!
//! The old keeper tells the new one as soon as the routing table names it,
//! and again until it is taken or forgotten. What is told is true whoever
//! kept the slice in between; what does not arrive leaves the new keeper
//! *too young*.

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
    keeper::attempts::{MemoryParcel, ServerAttempts},
    peers::PeerChannels,
};

/// A keeper that does not take a parcel within this time is asked again.
const TELL_TIMEOUT: Duration = Duration::from_secs(1);
/// The pause before a parcel that was not taken is sent again: its keeper
/// may still be waiting for its grant.
const TELL_AGAIN: Duration = Duration::from_millis(200);
/// How long a daemon that is being stopped goes on telling: a move takes
/// some hundred milliseconds to be seen everywhere.
const STOP_PATIENCE: Duration = Duration::from_secs(3);

/// Tells next keepers, and takes what former ones tell.
#[derive(Clone, Debug)]
pub(crate) struct MemoryHandover {
    context: Arc<NodeContext>,
    attempts: ServerAttempts,
    channels: Arc<PeerChannels>,
    wake: Arc<Notify>,
}

impl MemoryHandover {
    /// Starts the task that tells; it ends with the runtime.
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

    /// Looks anew for something to tell.
    pub(crate) fn wake(&self) {
        self.wake.notify_one();
    }

    /// Waits until other keepers know all, or for a few seconds.
    pub(crate) async fn finish(&self) {
        let telling = async {
            while self.keeps_slices() || !self.tell_all().await {
                tokio::time::sleep(TELL_AGAIN).await;
            }
        };
        if tokio::time::timeout(STOP_PATIENCE, telling).await.is_err() {
            log::warn!("keeper: not all orders could be passed on.");
        }
    }

    async fn run(self) {
        let mut changes = self.context.table_changed.subscribe();
        loop {
            if !self.tell_all().await {
                tokio::time::sleep(TELL_AGAIN).await;
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

    /// Tells all that is to be told; `false`: a keeper did not take it.
    async fn tell_all(&self) -> bool {
        loop {
            let table = self.context.table.load_full();
            let now = self.context.now();
            let vm = self.context.vm();
            let Some(parcel) = self.attempts.untold(now, &table, vm) else {
                return true;
            };
            let told = tokio::time::timeout(TELL_TIMEOUT, self.tell(&parcel));
            if !told.await.unwrap_or(false) {
                return false;
            }
            self.attempts.told(&parcel);
        }
    }

    async fn tell(&self, parcel: &MemoryParcel) -> bool {
        let Ok(channel) = self.channels.open(&parcel.keeper).await else {
            return false;
        };
        let orders = parcel.records.iter().map(record_out).collect();
        let service = parcel.service.to_string();
        let message = OrderParcel { service, orders };
        match PeerClient::new(channel).remember(message).await {
            Ok(receipt) => {
                receipt.into_inner().taken as usize == parcel.records.len()
            }
            Err(_status) => {
                self.channels.forget(&parcel.keeper);
                false
            }
        }
    }

    /// Whether the routing table still names this VM as a keeper.
    fn keeps_slices(&self) -> bool {
        self.context.table.load().names(self.context.vm())
    }

    /// Takes what a former keeper remembers, as far as the slices are here
    /// already; the number of records taken.
    ///
    /// # Errors
    ///
    /// A record is malformed.
    pub(crate) fn take(&self, parcel: OrderParcel) -> Result<u32, Status> {
        let service = ServiceName::new(&parcel.service)
            .map_err(|_fault| Status::invalid_argument("no such service"))?;
        let now = self.context.now();
        let view = self.context.view.load();
        let mut taken = 0;
        for order in parcel.orders {
            let record = record_in(order)
                .ok_or_else(|| Status::invalid_argument("not a record"))?;
            if let Some(kept) = view.find(now, &service, record.slice) {
                self.attempts.take(now, &kept, record);
                taken += 1;
            }
        }
        Ok(taken)
    }
}

fn record_out(record: &AttemptRecord) -> OrderRecord {
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

fn record_in(order: OrderRecord) -> Option<AttemptRecord> {
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

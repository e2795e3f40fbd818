//! Claims to be the planning VM.

use std::sync::Arc;

use goldcrestramp_adapter::{
    KeyCondition, StoreCall, StoreReply, StoreTransaction, StoreWrite,
};
use goldcrestramp_types::{ClockSource, LocalTime, MonotonicClock};
use xtra::Address;

use crate::{
    control::{
        ControlActor,
        message::{ClaimEnded, PreviousPlannerStopped},
    },
    peers::{PeerCall, PeerClient, PeerReply},
    records::{PLANNER_KEY, ROUTER_PREFIX, VmInstance, decode},
    store::{StoreClient, StoreFailure, StorePage},
};

/// Writes the planner's record, then reads back the record and the tables to
/// take over.
pub(crate) async fn claim(
    store: Arc<StoreClient>,
    me: VmInstance,
    revision: u64,
    lease: u64,
    control: Address<ControlActor>,
) {
    let sent_at = MonotonicClock.now();
    let key: Arc<str> = PLANNER_KEY.into();
    let transaction = StoreTransaction {
        conditions: vec![KeyCondition { key: Arc::clone(&key), revision }],
        writes: vec![StoreWrite { key, value: me.encode().into(), lease }],
        ..StoreTransaction::default()
    };
    let reply = store.call(&StoreCall::Commit(transaction)).await;
    let read = match reply {
        Ok(StoreReply::Committed(_)) | Err(StoreFailure::Unknown) => {
            store.read_all(ROUTER_PREFIX).await.ok()
        }
        _ => None,
    };
    let tables = read.unwrap_or(StorePage { items: Vec::new(), revision: 0 });
    // The record itself decides who won, also if the response was lost.
    let record = tables.items.iter().find(|item| *item.key == *PLANNER_KEY);
    let won_revision = record
        .filter(|item| decode::<VmInstance>(&item.value).as_ref() == Some(&me))
        .map(|item| item.revision);
    // Sending fails only when the process stops.
    let _gone = control
        .send(ClaimEnded { won_revision, tables, lease, sent_at })
        .await;
}

/// Requests the previous planner to step down until it has, or until the
/// attempts are used up.
pub(crate) async fn stop_previous_planner(
    peers: PeerClient,
    previous: VmInstance,
    planned_by: LocalTime,
    control: Address<ControlActor>,
) {
    /// After this many attempts, the grants that it may have sent have
    /// expired.
    const MAX_ATTEMPTS: u32 = 20;
    /// A planner that steps down waits for orders in flight, which takes about
    /// 700 ms.
    const RETRY_DELAY: std::time::Duration =
        std::time::Duration::from_millis(300);
    let call = PeerCall::StepDown { start: previous.start };
    for _ in 0..MAX_ATTEMPTS {
        let reply = peers.call(previous.address, &call).await;
        if matches!(reply, Some(PeerReply::SteppedDown)) {
            let at = MonotonicClock.now();
            // Sending fails only when the process stops.
            let stopped = PreviousPlannerStopped { at, planned_by };
            let _gone = control.send(stopped).await;
            return;
        }
        tokio::time::sleep(RETRY_DELAY).await;
    }
    log::info!(
        "[control] VM {}, the previous planner, did not respond.",
        previous.vm
    );
}

//! The lease with which this VM's entries in the store end.

use std::{sync::Arc, time::Duration};

use goldcrestramp_adapter::{
    StoreCall, StoreReply, StoreTransaction, StoreWrite,
};
use goldcrestramp_types::{ClockSource, MonotonicClock, TimeSpan};
use tokio::time::sleep;
use xtra::Address;

use crate::{
    control::{ControlActor, message::LeaseProof},
    records::{VmRun, vm_key},
    store::{StoreClient, StoreFailure},
};

/// How long entries outlive their VM. A planner's loss stops renewals for
/// this long, so it is well below a grant's hold; three renewals may be
/// lost before it ends.
pub(crate) const LEASE_SPAN: TimeSpan = TimeSpan::from_millis(2_500);

/// How often the lease is renewed. Its answers are also how a VM knows
/// that the store has not fallen silent, which a watch that waits can't
/// tell; a renewal costs a tenth of a call.
const RENEW_PAUSE: Duration = Duration::from_millis(500);

/// The pause after a failure.
const RETRY_PAUSE: Duration = Duration::from_millis(300);

/// Keeps a lease and this VM's entry until the actor is gone.
pub(crate) async fn keep_lease(
    store: Arc<StoreClient>,
    me: VmRun,
    span_least: TimeSpan,
    control: Address<ControlActor>,
) {
    let span = LEASE_SPAN.max(span_least);
    let mut lease = None;
    while control.is_connected() {
        let sent_at = MonotonicClock.now();
        let kept = match lease {
            None => announce(&store, &me, span).await.map(Some),
            Some(lease) => renew(&store, lease).await,
        };
        match kept {
            Ok(known) => {
                let ended = known.is_none();
                lease = known;
                let proof = LeaseProof { lease, sent_at };
                if !control.send(proof).await.unwrap_or(false) {
                    return;
                }
                if !ended {
                    sleep(RENEW_PAUSE).await;
                }
            }
            Err(failure) => {
                log::debug!("[store] The lease was not kept: {failure}.");
                let jitter = rand::random_range(0.5..1.5);
                sleep(RETRY_PAUSE.mul_f64(jitter)).await;
            }
        }
    }
}

/// Takes a lease and writes this VM's entry with it.
async fn announce(
    store: &StoreClient,
    me: &VmRun,
    span: TimeSpan,
) -> Result<u64, StoreFailure> {
    let reply = store.call(&StoreCall::OpenLease { span }).await?;
    let StoreReply::Leased { lease, .. } = reply else {
        return Err(StoreFailure::Unknown);
    };
    let write =
        StoreWrite { key: vm_key(&me.vm), value: me.encode().into(), lease };
    let transaction =
        StoreTransaction { conditions: Vec::new(), writes: vec![write] };
    match store.call(&StoreCall::Commit(transaction)).await? {
        StoreReply::Committed(_revision) => Ok(lease),
        _ => Err(StoreFailure::NotDone),
    }
}

/// Renews the lease; nothing if it has ended.
async fn renew(
    store: &StoreClient,
    lease: u64,
) -> Result<Option<u64>, StoreFailure> {
    match store.call(&StoreCall::RenewLease(lease)).await? {
        StoreReply::Leased { .. } => Ok(Some(lease)),
        StoreReply::NoLease => {
            log::info!("[store] Lease {lease} has ended.");
            Ok(None)
        }
        _ => Err(StoreFailure::Unknown),
    }
}

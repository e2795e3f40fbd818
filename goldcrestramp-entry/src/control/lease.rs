//! The lease with which this VM's entries in the store end.

use std::{sync::Arc, time::Duration};

use goldcrestramp_adapter::{
    StoreCall, StoreReply, StoreTransaction, StoreWrite,
};
use goldcrestramp_types::{ClockSource, MonotonicClock, TimeSpan};
use tokio::{
    sync::watch,
    time::{sleep, timeout},
};
use xtra::Address;

use crate::{
    control::{ControlActor, message::LeaseProof},
    records::{VmInstance, vm_key},
    store::{StoreClient, StoreFailure},
};

/// How long a planner's record outlives it. Its loss stops renewals of
/// grants for this long, so it is well below a grant's hold; three renewals
/// may be lost before it ends.
pub(crate) const LEASE_TTL: TimeSpan = TimeSpan::from_millis(2_500);

/// How long a VM's entry outlives it, and how often its lease is renewed.
///
/// Renewals are most of what a large fleet asks of the store, though only a
/// VM that plans or that others follow has to be missed soon.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct LeaseTerms {
    /// How long the lease lasts without a renewal.
    pub ttl: TimeSpan,
    /// How long after a renewal the next is sent.
    pub renew_interval: TimeSpan,
}

impl LeaseTerms {
    /// The terms of a VM that plans or may be followed.
    pub const SHORT: Self =
        Self { ttl: LEASE_TTL, renew_interval: TimeSpan::from_millis(500) };

    /// The terms of the others. Two renewals may be lost before it ends.
    pub const LONG: Self = Self {
        ttl: TimeSpan::from_millis(6_000),
        renew_interval: TimeSpan::from_millis(2_000),
    };
}

/// A VM that starts waits so long for the list of the others, by which its
/// terms are chosen.
const TERMS_TIMEOUT: Duration = Duration::from_millis(300);

/// The pause after a failure.
const RETRY_DELAY: Duration = Duration::from_millis(300);

/// Keeps a lease and this VM's entry until the actor is gone.
pub(crate) async fn keep_lease(
    store: Arc<StoreClient>,
    me: VmInstance,
    min_ttl: TimeSpan,
    mut wanted: watch::Receiver<Option<LeaseTerms>>,
    control: Address<ControlActor>,
) {
    // Without a list in time the short terms hold.
    let known = wanted.wait_for(Option::is_some);
    let _in_time = timeout(TERMS_TIMEOUT, known).await.is_ok();
    let mut current = None;
    while control.is_connected() {
        let terms = wanted.borrow_and_update().unwrap_or(LeaseTerms::SHORT);
        let sent_at = MonotonicClock.now();
        let reply = match current {
            Some((lease, known)) if known == terms => {
                renew(&store, lease).await
            }
            // The entry goes over to the new lease; a former one just ends.
            _ => {
                let ttl = terms.ttl.max(min_ttl);
                register(&store, &me, ttl).await.map(Some)
            }
        };
        match reply {
            Ok(lease) => {
                current = lease.map(|lease| (lease, terms));
                let proof = LeaseProof { lease, terms, sent_at };
                if !control.send(proof).await.unwrap_or(false) {
                    return;
                }
                if lease.is_some() {
                    let pause = terms.renew_interval.to_std();
                    // Other terms are taken up at once.
                    let _changed = timeout(pause, wanted.changed()).await;
                }
            }
            Err(failure) => {
                log::debug!("[store] The lease was not kept: {failure}.");
                let jitter = rand::random_range(0.5..1.5);
                sleep(RETRY_DELAY.mul_f64(jitter)).await;
            }
        }
    }
}

/// Takes a lease and writes this VM's entry with it.
async fn register(
    store: &StoreClient,
    me: &VmInstance,
    ttl: TimeSpan,
) -> Result<u64, StoreFailure> {
    let reply = store.call(&StoreCall::OpenLease { span: ttl }).await?;
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

//! The lease that bounds the lifetime of this VM's entries in the store.

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
    records::VmInstance,
    store::{StoreClient, StoreFailure},
};

/// How long a planner's record remains after the planner fails. Losing the
/// planner stops renewals of grants for this long, so it is well below the
/// duration of a grant. Three renewals may be lost before it expires.
pub(crate) const LEASE_TTL: TimeSpan = TimeSpan::from_millis(2_500);

/// How long a VM's entry remains after the VM fails, and how often its lease
/// is renewed.
///
/// In a large fleet most calls to the store are renewals, but only the loss of
/// a VM that plans or that others follow must be detected soon.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct LeaseTerms {
    /// How long the lease is valid without a renewal.
    pub ttl: TimeSpan,
    /// The time from one renewal to the next.
    pub renew_interval: TimeSpan,
}

impl LeaseTerms {
    /// The terms of a VM that plans or may be followed.
    pub const SHORT: Self =
        Self { ttl: LEASE_TTL, renew_interval: TimeSpan::from_millis(500) };

    /// The terms of all other VMs. Two renewals may be lost before the lease
    /// expires.
    pub const LONG: Self = Self {
        ttl: TimeSpan::from_millis(6_000),
        renew_interval: TimeSpan::from_millis(2_000),
    };
}

/// How long a starting VM waits for the list of other VMs, which determines
/// its terms.
const TERMS_TIMEOUT: Duration = Duration::from_millis(300);

/// The delays after failures, before jitter. The first is short, because one
/// lost response is not an outage. During an outage the calls of all VMs are
/// refused and paid for, and a lease on long terms outlasts some failures.
const INITIAL_RETRY_DELAY: Duration = Duration::from_millis(300);
const MAX_RETRY_DELAY: Duration = Duration::from_millis(1_500);

/// Keeps a lease and this VM's entry alive until the actor stops.
pub(crate) async fn keep_lease(
    store: Arc<StoreClient>,
    me: VmInstance,
    min_ttl: TimeSpan,
    mut wanted: watch::Receiver<Option<LeaseTerms>>,
    control: Address<ControlActor>,
) {
    // If the list does not arrive in time, the short terms apply.
    let known = wanted.wait_for(Option::is_some);
    let _in_time = timeout(TERMS_TIMEOUT, known).await.is_ok();
    let mut current = None;
    let mut delay = INITIAL_RETRY_DELAY;
    while control.is_connected() {
        let terms = wanted.borrow_and_update().unwrap_or(LeaseTerms::SHORT);
        let sent_at = MonotonicClock.now();
        let reply = match current {
            Some((lease, known)) if known == terms => {
                renew(&store, lease).await
            }
            // The entry moves to the new lease; the previous lease just
            // expires.
            _ => {
                let ttl = terms.ttl.max(min_ttl);
                register(&store, &me, ttl).await.map(Some)
            }
        };
        match reply {
            Ok(lease) => {
                current = lease.map(|lease| (lease, terms));
                delay = INITIAL_RETRY_DELAY;
                let proof = LeaseProof { lease, terms, sent_at };
                if !control.send(proof).await.unwrap_or(false) {
                    return;
                }
                if lease.is_some() {
                    let pause = terms.renew_interval.to_std();
                    // Changed terms take effect at once.
                    let _changed = timeout(pause, wanted.changed()).await;
                }
            }
            Err(failure) => {
                log::debug!(
                    "[store] The lease was not opened or renewed: {failure}."
                );
                let jitter = rand::random_range(0.5..1.5);
                sleep(delay.mul_f64(jitter)).await;
                if terms == LeaseTerms::LONG {
                    delay = (delay * 2).min(MAX_RETRY_DELAY);
                }
            }
        }
    }
}

/// Opens a lease and writes this VM's entry with it.
async fn register(
    store: &StoreClient,
    me: &VmInstance,
    ttl: TimeSpan,
) -> Result<u64, StoreFailure> {
    let reply = store.call(&StoreCall::OpenLease { span: ttl }).await?;
    let StoreReply::Leased { lease, .. } = reply else {
        return Err(StoreFailure::Unknown);
    };
    let write = StoreWrite { key: me.key(), value: me.encode().into(), lease };
    let writes = vec![write];
    let transaction =
        StoreTransaction { writes, ..StoreTransaction::default() };
    match store.call(&StoreCall::Commit(transaction)).await? {
        StoreReply::Committed(_revision) => Ok(lease),
        _ => Err(StoreFailure::NotDone),
    }
}

/// Renews the lease; returns `None` if it has expired.
async fn renew(
    store: &StoreClient,
    lease: u64,
) -> Result<Option<u64>, StoreFailure> {
    match store.call(&StoreCall::RenewLease(lease)).await? {
        StoreReply::Leased { .. } => Ok(Some(lease)),
        StoreReply::NoLease => {
            log::info!("[store] Lease {lease} has expired.");
            Ok(None)
        }
        _ => Err(StoreFailure::Unknown),
    }
}

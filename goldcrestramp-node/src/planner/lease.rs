//! Acquires and renews the planner's lease in the key-value service.

use goldcrestramp_platform::{
    PlatformClient, PutCondition, StoreAccess, StoreError, WriteOutcome,
    records::{PlannerRecord, StoreRecord, keys},
    resolve_write,
};
use goldcrestramp_types::{ClockSource, LocalTime, MonotonicClock, TimeSpan};

/// How long the lease lasts.
///
/// A lost planner is replaced within this time. A planner that renews twice
/// in it survives a lost call.
const LEASE_DURATION: TimeSpan = TimeSpan::from_millis(6_000);

/// The planner's lease as this VM knows it.
#[derive(Debug)]
pub(super) struct PlannerLease {
    record: PlannerRecord,
    held: Option<HeldLease>,
}

#[derive(Clone, Copy, Debug)]
struct HeldLease {
    id: u64,
    renew_at: LocalTime,
    expires_at: LocalTime,
}

impl PlannerLease {
    /// A lease that this VM does not hold. `record` is written with it.
    pub(super) const fn new(record: PlannerRecord) -> Self {
        Self { record, held: None }
    }

    /// Acquires or renews the lease. Returns whether this VM is the planner.
    ///
    /// # Errors
    ///
    /// Returns the store's error. The lease may have expired meanwhile.
    pub(super) async fn acquire_or_renew(
        &mut self,
        store: &PlatformClient,
    ) -> Result<bool, StoreError> {
        let now = MonotonicClock.now();
        match self.held.filter(|held| now < held.expires_at) {
            Some(held) if now < held.renew_at => Ok(true),
            Some(held) => {
                if store.renew(held.id).await? {
                    self.held = Some(HeldLease::of(held.id, now));
                    return Ok(true);
                }
                self.held = None;
                Ok(false)
            }
            None => self.acquire(store, now).await,
        }
    }

    /// Acquires the lease if no VM holds it.
    async fn acquire(
        &mut self,
        store: &PlatformClient,
        now: LocalTime,
    ) -> Result<bool, StoreError> {
        self.held = None;
        if store.get(keys::PLANNER).await?.is_some() {
            return Ok(false);
        }
        let Ok(value) = self.record.encode() else {
            return Ok(false);
        };
        let id = store.lease(LEASE_DURATION).await?;
        let condition = PutCondition::Absent;
        let put =
            resolve_write(store, keys::PLANNER, condition, value, Some(id));
        let acquired = matches!(put.await?, WriteOutcome::Written(_));
        if acquired {
            log::info!("planner: this VM is the planner now.");
            self.held = Some(HeldLease::of(id, now));
        }
        Ok(acquired)
    }
}

impl HeldLease {
    /// Counts from before the call is sent, since the service starts to
    /// count later.
    fn of(id: u64, sent: LocalTime) -> Self {
        let renew_at = sent + LEASE_DURATION.percent(33);
        Self { id, renew_at, expires_at: sent + LEASE_DURATION }
    }
}

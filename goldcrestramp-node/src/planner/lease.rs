//! The planner's lease.

use goldcrestramp_platform::{
    PlatformClient, PutCondition, StoreAccess, StoreError, WriteOutcome,
    records::{PlannerRecord, StoreRecord, keys},
    resolve_write,
};
use goldcrestramp_types::{ClockSource, LocalTime, MonotonicClock, TimeSpan};

/// How long the lease lasts: a planner that is lost is replaced within
/// this, and one that renews twice in it survives a lost call.
const LEASE_SPAN: TimeSpan = TimeSpan::from_millis(6_000);

/// What this VM knows of the lease.
#[derive(Debug)]
pub(super) struct LeaseHold {
    record: PlannerRecord,
    held: Option<HeldLease>,
}

#[derive(Clone, Copy, Debug)]
struct HeldLease {
    id: u64,
    renew_at: LocalTime,
    ends_at: LocalTime,
}

impl LeaseHold {
    /// A VM that does not hold it.
    pub(super) const fn new(record: PlannerRecord) -> Self {
        Self { record, held: None }
    }

    /// Takes or renews the lease; `true`: this VM is the planner.
    ///
    /// # Errors
    ///
    /// The store's error; the lease may have ended meanwhile.
    pub(super) async fn keep(
        &mut self,
        store: &PlatformClient,
    ) -> Result<bool, StoreError> {
        let now = MonotonicClock.now();
        match self.held.filter(|held| now < held.ends_at) {
            Some(held) if now < held.renew_at => Ok(true),
            Some(held) => {
                if store.renew(held.id).await? {
                    self.held = Some(HeldLease::of(held.id, now));
                    return Ok(true);
                }
                self.held = None;
                Ok(false)
            }
            None => self.take(store, now).await,
        }
    }

    /// Takes the lease if nobody has it.
    async fn take(
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
        let id = store.lease(LEASE_SPAN).await?;
        let condition = PutCondition::Absent;
        let put =
            resolve_write(store, keys::PLANNER, condition, value, Some(id));
        let taken = matches!(put.await?, WriteOutcome::Written(_));
        if taken {
            log::info!("planner: this VM plans from now on.");
            self.held = Some(HeldLease::of(id, now));
        }
        Ok(taken)
    }
}

impl HeldLease {
    /// Counted from before the call was sent: the service counts later.
    fn of(id: u64, sent: LocalTime) -> Self {
        let renew_at = sent + LEASE_SPAN.percent(33);
        Self { id, renew_at, ends_at: sent + LEASE_SPAN }
    }
}

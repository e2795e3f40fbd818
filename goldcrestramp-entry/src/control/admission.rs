//! The limited keys of a service, computed by the planning VM.

use std::sync::Arc;

use goldcrestramp_adapter::ServerEntry;
use goldcrestramp_decisions::{
    LimitedKey, OwnerWork, limited_keys, owner_capacity, published_keys,
};
use goldcrestramp_types::{FastMap, LocalTime, TimeSpan};

use crate::control::{
    demand::KeyShare,
    service::{CapacityReports, PlacementInputs, ServicePlan},
    speed::SpeedEstimates,
    term::PlannerTerm,
};

/// The time from the first report of a service until keys are limited: every
/// VM sends two reports within it. Rates of fewer VMs would give shares that
/// are too large, and work by few responses shares that are too small.
const MIN_REPORTED_TIME: TimeSpan = TimeSpan::from_millis(1_000);

/// How long limited keys are published without a new round. Rounds are held up
/// while a commit of the table is in flight.
const MAX_ROUND_AGE: TimeSpan = TimeSpan::from_millis(1_500);

/// How long no key must be limited until the log says that limits ended: a
/// load near the capacity exceeds it in some rounds only.
const QUIET_TIME: TimeSpan = TimeSpan::from_millis(2_000);

/// The limited keys of one service.
#[derive(Debug, Default)]
pub struct KeyLimits {
    /// When the first report of the service arrived.
    reported_since: Option<LocalTime>,
    /// The round of rates by which the limits were computed.
    round: Option<LocalTime>,
    shares: Vec<KeyShare>,
    /// The work by which owners are limited, by server id.
    works: FastMap<Arc<str>, OwnerWork>,
    /// When keys were limited last, from the logged begin of the limits to
    /// their logged end.
    limited_at: Option<LocalTime>,
}

impl KeyLimits {
    /// Records that a VM reported load.
    pub fn record_report(&mut self, now: LocalTime) {
        self.reported_since.get_or_insert(now);
    }

    /// Whether the limits must be computed for the round of rates at `round`.
    fn is_due(&self, round: LocalTime) -> bool {
        self.round.is_none_or(|last| last < round)
    }

    /// Whether the reports suffice to limit keys.
    #[must_use]
    pub fn is_known(&self, now: LocalTime) -> bool {
        let since = self.reported_since;
        since.is_some_and(|since| now.since(since) >= MIN_REPORTED_TIME)
    }

    /// Follows the estimates of all ready servers, and forgets the others.
    fn follow_works(
        &mut self,
        ready: &[Arc<ServerEntry>],
        speeds: &SpeedEstimates,
    ) {
        let mut known = std::mem::take(&mut self.works);
        for entry in ready {
            let estimate = speeds.known_work_s(entry);
            let work = known.remove(&entry.id);
            let work = work.or_else(|| estimate.map(OwnerWork::open));
            let Some(mut work) = work else { continue };
            work.follow(estimate);
            self.works.insert(Arc::clone(&entry.id), work);
        }
    }

    /// Stores the limited keys of a round.
    pub fn store(&mut self, round: LocalTime, keys: &[LimitedKey]) {
        let share = |key: &LimitedKey| KeyShare {
            first: key.slice.get(),
            last: key.slice.get(),
            per_mille: key.per_mille,
        };
        self.round = Some(round);
        self.shares = keys.iter().map(share).collect();
    }

    /// The limited keys, unless they are outdated.
    #[must_use]
    pub fn published(&self, now: LocalTime) -> Option<&Vec<KeyShare>> {
        let round = self.round?;
        let is_new = now.since(round) < MAX_ROUND_AGE;
        (is_new && !self.shares.is_empty()).then_some(&self.shares)
    }

    /// Logs when keys begin or end to be limited.
    fn log_change(
        &mut self,
        now: LocalTime,
        service: &str,
        keys: &[LimitedKey],
    ) {
        let most = |a: &&LimitedKey, b: &&LimitedKey| {
            a.excess_per_s.total_cmp(&b.excess_per_s)
        };
        if let Some(busiest) = keys.iter().max_by(most) {
            if self.limited_at.is_none() {
                log::info!(
                    "[admission] Keys of {service} are limited ({}); of key \
                     {} {} of 1000 requests are admitted, and {:.0} a second \
                     are refused.",
                    keys.len(),
                    busiest.slice.get(),
                    busiest.per_mille,
                    busiest.excess_per_s,
                );
            }
            self.limited_at = Some(now);
            return;
        }
        let last = self.limited_at;
        if last.is_some_and(|last| now.since(last) >= QUIET_TIME) {
            log::info!("[admission] No key of {service} is limited any more.");
            self.limited_at = None;
        }
    }
}

impl ServicePlan {
    /// Whether the rates have been updated since keys were limited last.
    pub(super) fn has_new_rates(&self) -> bool {
        self.rated_at.is_some_and(|round| self.limits.is_due(round))
    }

    /// Computes the limited keys by the newest round of rates.
    ///
    /// Only owners whose work is or was known from responses are limited.
    pub(super) fn limit_keys(
        &mut self,
        now: LocalTime,
        service: &str,
        ready: &[Arc<ServerEntry>],
        capacity: &CapacityReports<'_>,
        target_latency: TimeSpan,
    ) {
        let Some(round) = self.rated_at else { return };
        self.limits.follow_works(ready, &self.speeds);
        let mut keys = Vec::new();
        if self.limits.is_known(now) {
            keys = self.overloaded_keys(now, ready, capacity, target_latency);
        }
        self.limits.log_change(now, service, &keys);
        self.limits.store(round, &keys);
    }

    /// The keys of all overloaded owners that are limited.
    fn overloaded_keys(
        &self,
        now: LocalTime,
        ready: &[Arc<ServerEntry>],
        capacity: &CapacityReports<'_>,
        target_latency: TimeSpan,
    ) -> Vec<LimitedKey> {
        let inputs = PlacementInputs::new(self, now, ready, capacity);
        let mut rates = vec![Vec::new(); inputs.targets.len()];
        for placed in &inputs.ranges {
            rates[placed.target].extend(self.load.key_rates(placed.range));
        }
        let owners = ready.iter().zip(&inputs.instances).zip(rates);
        let mut keys = Vec::new();
        for ((entry, instance), rates) in owners {
            let work = self.limits.works.get(&entry.id);
            let Some(work) = work.map(|work| work.seconds()) else { continue };
            let work = capacity.work_s(now, instance, entry.slots, work);
            let completed = owner_capacity(entry.slots, work, target_latency);
            keys.extend(limited_keys(rates, completed));
        }
        published_keys(keys)
    }
}

impl PlannerTerm {
    /// The limited keys of all services.
    pub(super) fn key_shares(
        &self,
        now: LocalTime,
    ) -> FastMap<Arc<str>, Vec<KeyShare>> {
        let limited = self.plans().filter_map(|(name, service)| {
            let shares = service.limits.published(now)?;
            Some((Arc::clone(name), shares.clone()))
        });
        limited.collect()
    }
}

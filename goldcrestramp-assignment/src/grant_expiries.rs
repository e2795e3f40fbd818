//! Bounds on how long a server that does not respond may still hold keys.

use goldcrestramp_types::{FastMap, LocalTime, TimeSpan};

use crate::{order::OrderOutcome, table::ServerInstance};

/// The share of a grant's duration after which it has expired by any
/// server's clock.
///
/// A server's clock may run 2% slow. 1% more covers the rounding of spans
/// to whole milliseconds on the wire.
const SLOW_CLOCK_PERCENT: u64 = 103;

/// How long a grant may still be in flight after its connection has closed:
/// the one-way latency between regions, with room for a long queue.
const MAX_TRANSIT: TimeSpan = TimeSpan::from_millis(300);

/// How long after a grant has timed out its server may still accept it.
///
/// A server overloaded by new connections accepted them up to 1.3 s late,
/// and the grant's duration counts from the acceptance.
const MAX_ACCEPT_DELAY: TimeSpan = TimeSpan::from_millis(2_500);

/// The latest expiry of the grants that one server may have.
#[derive(Clone, Copy, Debug, Default)]
struct GrantExpiry {
    until: LocalTime,
    in_flight: u32,
}

/// The latest expiry of each server's grants.
///
/// If the keys of an unreachable server were reassigned while it may still
/// hold a grant, it would go on serving them and the keys would have two
/// owners. It is enough to wait until every grant that it may have received
/// has expired by the slowest clock: a server runs no request on keys whose
/// grant has expired.
#[derive(Clone, Debug)]
pub struct GrantExpiries {
    grant_duration: TimeSpan,
    /// The expiry of whatever previous planners sent, to any server.
    inherited: LocalTime,
    instances: FastMap<ServerInstance, GrantExpiry>,
}

impl GrantExpiries {
    /// The expiries known to a new planner: a previous one may have sent
    /// grants of `grant_duration` until `last_grant_at`.
    #[must_use]
    pub fn open(grant_duration: TimeSpan, last_grant_at: LocalTime) -> Self {
        let mut expiries = Self {
            grant_duration,
            inherited: LocalTime::default(),
            instances: FastMap::default(),
        };
        expiries.inherited =
            expiries.expiry_of(last_grant_at + MAX_ACCEPT_DELAY);
        expiries
    }

    /// Lowers the inherited expiry: the previous planner sent its last grant
    /// before `last_grant_at`.
    pub fn inherit(&mut self, last_grant_at: LocalTime) {
        let expiry = self.expiry_of(last_grant_at + MAX_ACCEPT_DELAY);
        self.inherited = self.inherited.min(expiry);
    }

    /// Records that a grant to a server is in flight.
    pub fn record_send(&mut self, instance: &ServerInstance) {
        self.instances.entry(instance.clone()).or_default().in_flight += 1;
    }

    /// Records the outcome of a grant that was in flight until `now`.
    pub fn record_outcome(
        &mut self,
        now: LocalTime,
        instance: &ServerInstance,
        outcome: &OrderOutcome,
    ) {
        let until = match outcome {
            OrderOutcome::NotSent => LocalTime::default(),
            OrderOutcome::TimedOut => self.expiry_of(now + MAX_ACCEPT_DELAY),
            _ => self.expiry_of(now),
        };
        let expiry = self.instances.entry(instance.clone()).or_default();
        expiry.in_flight = expiry.in_flight.saturating_sub(1);
        expiry.until = expiry.until.max(until);
    }

    /// Whether every grant that the server may have has expired.
    #[must_use]
    pub fn has_expired(
        &self,
        now: LocalTime,
        instance: &ServerInstance,
    ) -> bool {
        let expiry = self.instances.get(instance).copied().unwrap_or_default();
        expiry.in_flight == 0 && now > expiry.until.max(self.inherited)
    }

    /// Removes the servers that `keep` rejects and that have no grant in
    /// flight.
    pub fn retain(&mut self, keep: impl Fn(&ServerInstance) -> bool) {
        self.instances
            .retain(|instance, expiry| expiry.in_flight > 0 || keep(instance));
    }

    fn expiry_of(&self, sent: LocalTime) -> LocalTime {
        sent + MAX_TRANSIT + self.grant_duration.percent(SLOW_CLOCK_PERCENT)
    }
}

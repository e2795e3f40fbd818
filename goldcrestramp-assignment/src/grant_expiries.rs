//! How long a server that does not answer may still hold keys.

use goldcrestramp_types::{FastMap, LocalTime, TimeSpan};

use crate::{order::OrderOutcome, table::ServerInstance};

/// A server's clock may run 2% slow; one percent more covers the rounding
/// of spans to whole milliseconds on the wire.
const SLOW_CLOCK_PERCENT: u64 = 103;

/// A grant whose connection has ended may still be on its way: one way
/// between regions, with room for a long queue.
const MAX_TRANSIT: TimeSpan = TimeSpan::from_millis(300);

/// A grant without an answer may be taken so much later than it was given
/// up: a server that is overrun by new connections took them up to 1.3 s
/// later, and its hold counts from then.
const MAX_ACCEPT_DELAY: TimeSpan = TimeSpan::from_millis(2_500);

/// What is known of one server's hold.
#[derive(Clone, Copy, Debug, Default)]
struct HoldBound {
    until: LocalTime,
    in_flight: u32,
}

/// The latest end of each server's hold.
///
/// The failure: a server that can't be reached is taken for dead, its keys
/// go to another, and the first one serves on. The symptom is two owners.
/// The end of every grant that it may have got, by the slowest clock, is
/// enough: a server runs no request on keys whose hold is over.
#[derive(Clone, Debug)]
pub struct GrantExpiries {
    grant_duration: TimeSpan,
    /// For servers of which this planner has sent nothing.
    inherited: LocalTime,
    instances: FastMap<ServerInstance, HoldBound>,
}

impl GrantExpiries {
    /// Bounds of a new planner: a former one may have sent grants of
    /// `grant_duration` until `last_grant_at`.
    #[must_use]
    pub fn open(grant_duration: TimeSpan, last_grant_at: LocalTime) -> Self {
        let mut bounds = Self {
            grant_duration,
            inherited: LocalTime::default(),
            instances: FastMap::default(),
        };
        bounds.inherited = bounds.end_of(last_grant_at + MAX_ACCEPT_DELAY);
        bounds
    }

    /// Takes the knowledge that the former planner sent its last grant
    /// before `last_grant_at`.
    pub fn inherit(&mut self, last_grant_at: LocalTime) {
        let end = self.end_of(last_grant_at + MAX_ACCEPT_DELAY);
        self.inherited = self.inherited.min(end);
    }

    /// Notes that a grant is on its way to a server.
    pub fn sending(&mut self, instance: &ServerInstance) {
        self.instances.entry(instance.clone()).or_default().in_flight += 1;
    }

    /// Notes that a grant's way has ended at `now`.
    pub fn ended(
        &mut self,
        now: LocalTime,
        instance: &ServerInstance,
        outcome: &OrderOutcome,
    ) {
        let until = match outcome {
            OrderOutcome::NotSent => LocalTime::default(),
            OrderOutcome::TimedOut => self.end_of(now + MAX_ACCEPT_DELAY),
            _ => self.end_of(now),
        };
        let bound = self.instances.entry(instance.clone()).or_default();
        bound.in_flight = bound.in_flight.saturating_sub(1);
        bound.until = bound.until.max(until);
    }

    /// Whether the server can hold nothing any more.
    #[must_use]
    pub fn are_over(&self, now: LocalTime, instance: &ServerInstance) -> bool {
        let bound = self.instances.get(instance).copied().unwrap_or_default();
        bound.in_flight == 0 && now > bound.until.max(self.inherited)
    }

    /// Leaves out servers that are no longer asked about.
    pub fn retain(&mut self, keep: impl Fn(&ServerInstance) -> bool) {
        self.instances
            .retain(|instance, bound| bound.in_flight > 0 || keep(instance));
    }

    fn end_of(&self, sent: LocalTime) -> LocalTime {
        sent + MAX_TRANSIT + self.grant_duration.percent(SLOW_CLOCK_PERCENT)
    }
}

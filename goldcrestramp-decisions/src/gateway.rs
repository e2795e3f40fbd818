/*!
Limits the requests in flight of a gateway, fair by caller.

One caller may open thousands of requests to slow servers. Each takes memory
and a connection on a small entry VM. With a plain limit, that caller would use
all of it and everyone else would be refused.

The limit is shared by dynamic thresholds, as in switches with a buffer shared
by many ports: a caller may have [`FREE_FACTOR`] times the free capacity in
flight. A single caller may use 80% of the limit. With more callers, less is
free and the threshold falls: `n` busy callers get equal parts, and a fifth of
one such part stays free for new callers. The table has an entry only for
callers with requests in flight, so it is exact and bounded by the limit.
*/

use goldcrestramp_types::{CallerName, FastMap, NotRunReason};

/// A caller may have this many times the free capacity in flight.
const FREE_FACTOR: usize = 4;

/// The limit of a gateway.
///
/// # Example
///
/// ```
/// use goldcrestramp_decisions::GatewayLimit;
/// use goldcrestramp_types::{CallerName, NotRunReason};
///
/// let (busy, rare) = (CallerName::new("busy"), CallerName::new("rare"));
/// let (busy, rare) =
///     (busy.expect("name is valid"), rare.expect("name is valid"));
/// let mut limit = GatewayLimit::new(100);
/// let admitted = (0..100).filter(|_| limit.enter(&busy).is_ok()).count();
/// assert_eq!(admitted, 81);
/// assert_eq!(limit.enter(&busy), Err(NotRunReason::CallerOverShare));
/// assert_eq!(limit.enter(&rare), Ok(()));
/// ```
#[derive(Clone, Debug)]
pub struct GatewayLimit {
    limit: usize,
    in_flight: usize,
    callers: FastMap<CallerName, usize>,
}

impl GatewayLimit {
    /// Creates a limit of `limit` requests in flight.
    #[must_use]
    pub fn new(limit: usize) -> Self {
        Self { limit, in_flight: 0, callers: FastMap::default() }
    }

    /// The number of requests in flight.
    #[must_use]
    pub const fn in_flight(&self) -> usize {
        self.in_flight
    }

    /// Admits a request. Every admitted request has to call
    /// [`leave`](Self::leave).
    ///
    /// # Errors
    ///
    /// `GatewayFull` when the limit is reached, `CallerOverShare` when the
    /// caller has reached its threshold.
    pub fn enter(&mut self, caller: &CallerName) -> Result<(), NotRunReason> {
        let free = self.limit.saturating_sub(self.in_flight);
        if free == 0 {
            return Err(NotRunReason::GatewayFull);
        }
        let current = self.callers.get(caller).copied().unwrap_or(0);
        if current > free * FREE_FACTOR {
            return Err(NotRunReason::CallerOverShare);
        }
        self.callers.insert(caller.clone(), current + 1);
        self.in_flight += 1;
        Ok(())
    }

    /// Removes a request that ended.
    pub fn leave(&mut self, caller: &CallerName) {
        let Some(current) = self.callers.get_mut(caller) else { return };
        *current -= 1;
        let is_last = *current == 0;
        self.in_flight -= 1;
        if is_last {
            self.callers.remove(caller);
        }
    }
}

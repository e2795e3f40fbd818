/*!
How many requests a gateway has under way, and whose they are.

The load: one caller opens thousands of requests to servers that are slow.
Each takes memory and a connection on an entry VM of small size; with a plain
bound the hot caller holds all of it and everyone else is turned away.

The bound is shared by dynamic thresholds, as in switches with one buffer for
many ports: a caller may hold [`FREE_SHARES`] times what is free now. A
caller alone may take 80% of the bound; as others come, less is free and its
threshold falls, so that `n` hot callers hold equal parts and a fifth of one
such part stays free for those who come next. The table holds those who have
something under way, so it is exact and bounded by the limit.
*/

use goldcrestramp_types::{CallerName, FastMap, NotRunReason};

/// A caller may hold this many times the free places.
const FREE_SHARES: usize = 4;

/// The bound of a gateway.
///
/// # Example
///
/// ```
/// use goldcrestramp_decisions::GatewayLimit;
/// use goldcrestramp_types::{CallerName, NotRunReason};
///
/// let (hot, rare) = (CallerName::new("hot"), CallerName::new("rare"));
/// let (hot, rare) = (hot.expect("valid"), rare.expect("valid"));
/// let mut limit = GatewayLimit::new(100);
/// let taken = (0..100).filter(|_| limit.enter(&hot).is_ok()).count();
/// assert_eq!(taken, 81);
/// assert_eq!(limit.enter(&hot), Err(NotRunReason::CallerOverShare));
/// assert_eq!(limit.enter(&rare), Ok(()));
/// ```
#[derive(Clone, Debug)]
pub struct GatewayLimit {
    limit: usize,
    under_way: usize,
    callers: FastMap<CallerName, usize>,
}

impl GatewayLimit {
    /// A gateway that may have `limit` requests under way.
    #[must_use]
    pub fn new(limit: usize) -> Self {
        Self { limit, under_way: 0, callers: FastMap::default() }
    }

    /// Requests under way.
    #[must_use]
    pub const fn under_way(&self) -> usize {
        self.under_way
    }

    /// Counts a request in; each that entered has to leave.
    ///
    /// # Errors
    ///
    /// `GatewayFull` when no place is free, `CallerOverShare` when the
    /// caller holds its part of what is.
    pub fn enter(&mut self, caller: &CallerName) -> Result<(), NotRunReason> {
        let free = self.limit.saturating_sub(self.under_way);
        if free == 0 {
            return Err(NotRunReason::GatewayFull);
        }
        let held = self.callers.get(caller).copied().unwrap_or(0);
        if held > free * FREE_SHARES {
            return Err(NotRunReason::CallerOverShare);
        }
        self.callers.insert(caller.clone(), held + 1);
        self.under_way += 1;
        Ok(())
    }

    /// Counts a request out.
    pub fn leave(&mut self, caller: &CallerName) {
        let Some(held) = self.callers.get_mut(caller) else { return };
        *held -= 1;
        let is_last = *held == 0;
        self.under_way -= 1;
        if is_last {
            self.callers.remove(caller);
        }
    }
}

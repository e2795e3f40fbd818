/*!
How many servers of a service may lose their slices at once.

The load: something common to all, a bad release or a slow store behind
them, makes every server look ill. Without a bound each is ejected in turn,
its slices go to the next, which falls over under them.
*/

/// One server in so many may be ejected: with a third gone the rest carry
/// half as much again.
const EJECTED_PART: u64 = 3;

/// The rest may be used to this part after an ejection: queues of two to
/// four slots grow steeply beyond it.
const USED_PERCENT: u64 = 80;

/// A service's servers, in one failure domain.
#[derive(Clone, Copy, Debug)]
pub struct FleetLoad {
    /// Servers that are not drained by an operator.
    pub servers: u64,
    /// Those of them that are ejected.
    pub ejected: u64,
    /// Slots of those that are not ejected.
    pub slots: u64,
    /// Slots of those in use on average, in thousandths of a slot.
    pub used_millislots: u64,
}

/// Whether one more server may be ejected.
#[derive(Clone, Copy, Debug, Default)]
pub struct EjectionGuard;

impl EjectionGuard {
    /// Whether the rest can carry the load of a server of `slots` slots.
    ///
    /// # Example
    ///
    /// ```
    /// use goldcrestramp_decisions::{EjectionGuard, FleetLoad};
    ///
    /// let load = FleetLoad {
    ///     servers: 9, ejected: 0, slots: 36, used_millislots: 12_000,
    /// };
    /// assert!(EjectionGuard.may_eject(load, 4));
    /// let busy = FleetLoad { used_millislots: 30_000, ..load };
    /// assert!(!EjectionGuard.may_eject(busy, 4));
    /// ```
    #[must_use]
    pub const fn may_eject(self, load: FleetLoad, slots: u64) -> bool {
        let rest = load.slots.saturating_sub(slots);
        let few = (load.ejected + 1) * EJECTED_PART <= load.servers;
        let fits = load.used_millislots <= rest * 10 * USED_PERCENT;
        few && fits
    }
}

//! When a VM whose update sources fail reads the store itself.
//!
//! On a full link, all VMs of a region may lose their sources at the same
//! time. If each of them then reads the store, the reads take a large part of
//! that link. So a VM asks the VMs of its own region first, and reads the
//! store only when its copy is old. The age at which it does grows with its
//! rank, so that the first VM of a failure domain has its response before the
//! next one asks, and the others get the changes from it.

use goldcrestramp_types::TimeSpan;

/// The age of its copy at which the first VM of a failure domain reads the
/// store. The copy of a VM whose source responds is younger: the source's own
/// copy is at most 0.5 s old, and it holds a call for 0.4 s.
const FIRST_READ_AGE: TimeSpan = TimeSpan::from_millis(950);

/// How much older the copy of the VM of the next rank gets: a read on a link
/// that is not full, and the time after which the other VM asks again.
const RANK_STEP: TimeSpan = TimeSpan::from_millis(300);

/// A read begins this long before the copy would be too old: several round
/// trips between regions.
const READ_TIME: TimeSpan = TimeSpan::from_millis(300);

/// What a VM knows when it chooses where to read.
#[derive(Clone, Copy, Debug)]
pub struct StoreReadInputs {
    /// The age of its copy of the store.
    pub age: TimeSpan,
    /// The time within which a configuration must be in force.
    pub limit: TimeSpan,
    /// The number of VMs of its failure domain that read before it.
    pub rank: usize,
    /// Whether a VM of its region can be asked instead.
    pub has_neighbor: bool,
}

/// What a VM does whose update sources fail.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum StoreReadStep {
    /// It reads the store.
    Read,
    /// It asks a VM of its region.
    AskNeighbor,
    /// It waits: another VM of its failure domain reads the store.
    Wait,
}

impl StoreReadInputs {
    /// What the VM does now.
    ///
    /// # Example
    ///
    /// ```
    /// use goldcrestramp_decisions::{StoreReadInputs, StoreReadStep};
    /// use goldcrestramp_types::TimeSpan;
    ///
    /// let inputs = StoreReadInputs {
    ///     age: TimeSpan::from_millis(1_000),
    ///     limit: TimeSpan::from_millis(2_000),
    ///     rank: 1,
    ///     has_neighbor: true,
    /// };
    /// assert_eq!(inputs.step(), StoreReadStep::AskNeighbor);
    /// ```
    #[must_use]
    pub fn step(&self) -> StoreReadStep {
        if self.age >= self.read_age() {
            StoreReadStep::Read
        } else if self.has_neighbor {
            StoreReadStep::AskNeighbor
        } else {
            StoreReadStep::Wait
        }
    }

    /// The age of its copy from which on the VM reads the store.
    fn read_age(&self) -> TimeSpan {
        let rank = u64::try_from(self.rank).unwrap_or(u64::MAX);
        let delay = RANK_STEP.percent(rank.saturating_mul(100));
        FIRST_READ_AGE.plus(delay).min(self.limit.minus(READ_TIME))
    }

    /// How long to wait for a response that is arriving before another source
    /// is asked as well: as long as the copy does not get too old.
    #[must_use]
    pub fn response_time(&self) -> TimeSpan {
        self.limit.minus(READ_TIME).minus(self.age)
    }
}

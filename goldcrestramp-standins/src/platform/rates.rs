//! How many calls a platform takes, and has taken.

use std::time::{Duration, Instant};

use serde::{Deserialize, Serialize};

use super::faults::PlatformFaults;

/// The interval over which calls are limited.
const WINDOW: Duration = Duration::from_secs(1);

/// What a call costs.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum CallCost {
    /// One of the reads a second.
    Read,
    /// One of the writes a second.
    Write,
}

/// Calls that a platform has taken and refused since its start.
#[derive(
    Clone, Copy, Debug, Default, Eq, PartialEq, Serialize, Deserialize,
)]
pub struct CallTally {
    /// Reads of a key.
    pub reads: u64,
    /// Writes of a key.
    pub writes: u64,
    /// Waiting watches.
    pub watches: u64,
    /// Calls that take, renew or end a lease.
    pub leases: u64,
    /// Reads of the VM list.
    pub lists: u64,
    /// Calls refused with 429.
    pub refused: u64,
}

/// The calls of the present second.
#[derive(Debug, Default)]
pub(super) struct RateWindow {
    until: Option<Instant>,
    reads: u32,
    writes: u32,
}

impl RateWindow {
    /// Counts a call; false when it is beyond the rate.
    pub(super) fn admit(
        &mut self,
        now: Instant,
        cost: CallCost,
        faults: &PlatformFaults,
    ) -> bool {
        if self.until.is_none_or(|until| now >= until) {
            *self = Self { until: Some(now + WINDOW), ..Self::default() };
        }
        let (used, limit) = match cost {
            CallCost::Read => (&mut self.reads, faults.reads_per_second),
            CallCost::Write => (&mut self.writes, faults.writes_per_second),
        };
        if *used >= limit {
            return false;
        }
        *used += 1;
        true
    }
}

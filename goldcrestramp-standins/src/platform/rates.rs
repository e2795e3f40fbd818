//! Limits and counts the calls of a platform.

use std::time::{Duration, Instant};

use serde::{Deserialize, Serialize};

use super::faults::PlatformFaults;

/// The interval over which calls are limited.
const WINDOW: Duration = Duration::from_secs(1);

/// The rate limit that a call counts against.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum CallCost {
    /// Counts as a read.
    Read,
    /// Counts as a write.
    Write,
}

/// Calls that a platform has accepted and refused since its start.
#[derive(
    Clone, Copy, Debug, Default, Eq, PartialEq, Serialize, Deserialize,
)]
pub struct CallTally {
    /// Reads of a key.
    pub reads: u64,
    /// Writes of a key.
    pub writes: u64,
    /// Watches of a key.
    pub watches: u64,
    /// Calls that grant, renew or end a lease.
    pub leases: u64,
    /// Reads of the VM list.
    pub lists: u64,
    /// Calls refused with 429.
    pub refused: u64,
}

/// The calls of the current one-second window.
#[derive(Debug, Default)]
pub(super) struct RateWindow {
    until: Option<Instant>,
    reads: u32,
    writes: u32,
}

impl RateWindow {
    /// Counts a call; false if it exceeds the rate.
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

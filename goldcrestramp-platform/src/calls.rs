//! Counts of calls to the platform, by kind.

use std::sync::atomic::{AtomicU64, Ordering};

/// The kinds of calls that the platform counts.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum CallKind {
    /// A read of a key.
    Read,
    /// A write of a key.
    Write,
    /// A waiting watch; each counts as a call.
    Watch,
    /// Taking or renewing a lease.
    Lease,
    /// A read of the VM list.
    VmList,
}

impl CallKind {
    /// Every kind, in a fixed order.
    pub const ALL: [Self; 5] =
        [Self::Read, Self::Write, Self::Watch, Self::Lease, Self::VmList];

    /// The stable name in counters.
    #[must_use]
    pub const fn code(self) -> &'static str {
        match self {
            Self::Read => "read",
            Self::Write => "write",
            Self::Watch => "watch",
            Self::Lease => "lease",
            Self::VmList => "vm-list",
        }
    }
}

/// How many calls of each kind were made.
#[derive(Debug, Default)]
pub struct CallCounts {
    counts: [AtomicU64; CallKind::ALL.len()],
}

impl CallCounts {
    /// Counts one call.
    pub fn add(&self, kind: CallKind) {
        self.counts[kind as usize].fetch_add(1, Ordering::Relaxed);
    }

    /// How many calls of this kind were made.
    #[must_use]
    pub fn get(&self, kind: CallKind) -> u64 {
        self.counts[kind as usize].load(Ordering::Relaxed)
    }
}

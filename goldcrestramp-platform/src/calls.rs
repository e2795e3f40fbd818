//! Counts the calls to the platform by kind.

use std::sync::atomic::{AtomicU64, Ordering};

/// A kind of call, as the platform counts them.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum CallKind {
    /// A read of a key.
    Read,
    /// A write of a key.
    Write,
    /// A long-polling watch; each poll counts as a call.
    Watch,
    /// Opening, renewing or ending a lease.
    Lease,
    /// A read of the VM list.
    VmList,
}

impl CallKind {
    /// Every kind, in a fixed order.
    pub const ALL: [Self; 5] =
        [Self::Read, Self::Write, Self::Watch, Self::Lease, Self::VmList];

    /// The stable code for counters.
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

/// The number of calls of each kind.
#[derive(Debug, Default)]
pub struct CallCounts {
    counts: [AtomicU64; CallKind::ALL.len()],
}

impl CallCounts {
    /// Counts one call.
    pub fn add(&self, kind: CallKind) {
        self.counts[kind as usize].fetch_add(1, Ordering::Relaxed);
    }

    /// The number of calls of this kind.
    #[must_use]
    pub fn get(&self, kind: CallKind) -> u64 {
        self.counts[kind as usize].load(Ordering::Relaxed)
    }
}

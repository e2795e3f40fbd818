//! How a starting VM gets the contents of the store.

use std::net::SocketAddr;

use goldcrestramp_types::{LocalTime, TimeSpan};

/// How long a starting VM waits until its own entry is in the store. A store
/// that accepts no writes at the moment may still serve reads.
const REGISTRATION_TIMEOUT: TimeSpan = TimeSpan::from_millis(500);

/// The next step of a VM that has nothing of the store's contents yet.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum StartStep {
    /// Reads the entries of its failure domain's VMs.
    ReadVms,
    /// Waits until its own entry is in the store.
    AwaitEntry,
    /// Requests the contents from another VM.
    Follow(SocketAddr),
    /// Reads the full store.
    ReadAll,
}

/// What a starting VM knows of the other VMs of its failure domain.
#[derive(Clone, Copy, Debug, Default)]
enum VmKnowledge {
    /// Nothing.
    #[default]
    None,
    /// Their entries at its start; those of VMs that started at the same time
    /// may be missing. It waits for its own entry until the deadline.
    AtStart { deadline: LocalTime },
    /// Their entries after its own was written.
    Complete,
}

/// The start of a VM.
///
/// If a large fleet starts at once and each VM reads the full store, the reads
/// fill the link between the regions: no read ends within its timeout, all
/// start again, and no server is reached. So the best-ranked VM of each
/// failure domain reads it, and the others get it from that VM.
///
/// VMs that start at the same moment find no entries at first. A VM that finds
/// none better than itself reads the entries again once its own is in the
/// store, when those of the others are as well.
#[derive(Debug, Default)]
pub(crate) struct StartPhase {
    vms: VmKnowledge,
    registered: bool,
}

impl StartPhase {
    /// Records that the entries of the failure domain's VMs were read.
    pub(crate) fn record_vms(&mut self, now: LocalTime) {
        self.vms = match self.vms {
            VmKnowledge::None => {
                let deadline = now + REGISTRATION_TIMEOUT;
                VmKnowledge::AtStart { deadline }
            }
            _ => VmKnowledge::Complete,
        };
    }

    /// Records that this VM's own entry is in the store.
    pub(crate) const fn record_registration(&mut self) {
        self.registered = true;
    }

    /// The next step; `peer` is the best VM that may have the contents.
    pub(crate) fn next(
        &self,
        now: LocalTime,
        peer: Option<SocketAddr>,
    ) -> StartStep {
        match (self.vms, peer) {
            (VmKnowledge::None, _) => StartStep::ReadVms,
            (_, Some(address)) => StartStep::Follow(address),
            (VmKnowledge::AtStart { deadline }, None) => {
                if self.registered || now >= deadline {
                    StartStep::ReadVms
                } else {
                    StartStep::AwaitEntry
                }
            }
            (VmKnowledge::Complete, None) => StartStep::ReadAll,
        }
    }
}

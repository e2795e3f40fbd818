//! The VMs of a failure domain whose majority confirms a steward.

use std::sync::Arc;

use goldcrestramp_types::{DomainName, VmName};

/// A voter of a [`VoterRoster`].
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct RosterVoter {
    /// The voter's VM.
    pub vm: VmName,
    /// The address of its control listener.
    pub address: Arc<str>,
}

/// The voters of a failure domain, as the store keeps them.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct VoterRoster {
    /// The failure domain.
    pub domain: DomainName,
    /// Increases by one with each change; a change adds or removes one
    /// voter.
    pub version: u64,
    /// The voters, at most [`VoterRoster::MAX_VOTERS`].
    pub voters: Vec<RosterVoter>,
}

impl VoterRoster {
    /// The maximum number of voters. Five tolerate the loss of two, and the
    /// limit keeps a steward's messages from growing with the number of
    /// VMs.
    pub const MAX_VOTERS: usize = 5;

    /// The number of confirmations that make a majority.
    #[must_use]
    pub fn majority(&self) -> usize {
        self.voters.len() / 2 + 1
    }

    /// Whether a VM is a voter.
    pub(crate) fn has(&self, vm: &VmName) -> bool {
        self.voters.iter().any(|voter| voter.vm == *vm)
    }

    /// The next version of the roster, without `vm`.
    pub(crate) fn without(&self, vm: &VmName) -> Self {
        let mut next = self.clone();
        next.voters.retain(|voter| voter.vm != *vm);
        next.version += 1;
        next
    }

    /// The next version of the roster, without one voter that is not
    /// `present`. `None` unless the voters that are present lack a majority
    /// of this roster and have one of the next.
    ///
    /// This helps an even number of voters: when 1 of 2 or 2 of 4 are
    /// present.
    pub(crate) fn without_silent(
        &self,
        present: impl Fn(&VmName) -> bool,
    ) -> Option<Self> {
        let silent = self.voters.iter().find(|voter| !present(&voter.vm))?;
        let reduced = self.without(&silent.vm);
        let after = reduced.count(present);
        let helps = after < self.majority() && after >= reduced.majority();
        helps.then_some(reduced)
    }

    /// The number of voters that are `present`.
    pub(crate) fn count(&self, present: impl Fn(&VmName) -> bool) -> usize {
        self.voters.iter().filter(|voter| present(&voter.vm)).count()
    }
}

//! The VMs of a failure domain whose majority confirms a steward.

use std::sync::Arc;

use goldcrestramp_types::{DomainName, VmName};

/// One voter.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct RosterVoter {
    /// The voter's VM.
    pub vm: VmName,
    /// Its control listener.
    pub address: Arc<str>,
}

/// The voters of a failure domain; kept in the store.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct VoterRoster {
    /// The failure domain.
    pub domain: DomainName,
    /// Rises by one with each change; each change is of one voter.
    pub version: u64,
    /// At most [`VoterRoster::MAX_VOTERS`] voters.
    pub voters: Vec<RosterVoter>,
}

impl VoterRoster {
    /// The most voters: losing two of five is survived, and a steward's
    /// messages do not grow with the number of VMs.
    pub const MAX_VOTERS: usize = 5;

    /// How many confirmations make a majority.
    #[must_use]
    pub fn majority(&self) -> usize {
        self.voters.len() / 2 + 1
    }

    /// Whether a VM is a voter.
    pub(crate) fn has(&self, vm: &VmName) -> bool {
        self.voters.iter().any(|voter| voter.vm == *vm)
    }

    /// The next roster, without a voter.
    pub(crate) fn without(&self, vm: &VmName) -> Self {
        let mut next = self.clone();
        next.voters.retain(|voter| voter.vm != *vm);
        next.version += 1;
        next
    }

    /// The next roster, without a voter that is not `here`, if those who
    /// are here are then a majority and are none now.
    ///
    /// This helps where voters are even in number: one of two, two of four.
    pub(crate) fn without_silent(
        &self,
        here: impl Fn(&VmName) -> bool,
    ) -> Option<Self> {
        let silent = self.voters.iter().find(|voter| !here(&voter.vm))?;
        let reduced = self.without(&silent.vm);
        let there = reduced.count(here);
        let helps = there < self.majority() && there >= reduced.majority();
        helps.then_some(reduced)
    }

    /// How many voters are `here`.
    pub(crate) fn count(&self, here: impl Fn(&VmName) -> bool) -> usize {
        self.voters.iter().filter(|voter| here(&voter.vm)).count()
    }
}

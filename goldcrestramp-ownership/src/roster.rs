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
    /// At most [`VoterRoster::LIMIT`] voters.
    pub voters: Vec<RosterVoter>,
}

impl VoterRoster {
    /// The most voters: losing two of five is survived, and a steward's
    /// messages do not grow with the number of VMs.
    pub const LIMIT: usize = 5;

    /// How many confirmations make a majority.
    #[must_use]
    pub fn majority(&self) -> usize {
        self.voters.len() / 2 + 1
    }
}

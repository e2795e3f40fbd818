//! Finds the steward that the keeper asks for permits.

use std::sync::Arc;

use goldcrestramp_ownership::{PermitAnswer, VoterRoster};
use goldcrestramp_types::VmName;

/// Chooses the VM to ask: the known steward, otherwise each voter in turn.
#[derive(Debug, Default)]
pub(crate) struct StewardSearch {
    known: Option<(VmName, Arc<str>)>,
    voters: Vec<(VmName, Arc<str>)>,
    position: usize,
}

impl StewardSearch {
    /// Sets the voters. Each of them knows the steward that it confirmed.
    pub(crate) fn set_voters(&mut self, roster: &VoterRoster) {
        let voters = roster.voters.iter();
        let voters = voters.map(|v| (v.vm.clone(), Arc::clone(&v.address)));
        self.voters = voters.collect();
    }

    /// The steward and its control listener, if known.
    pub(crate) fn known(&self) -> Option<&(VmName, Arc<str>)> {
        self.known.as_ref()
    }

    /// Sets the steward, after this VM's own voter has confirmed it.
    pub(crate) fn set_steward(&mut self, vm: VmName, address: Arc<str>) {
        self.known = Some((vm, address));
    }

    /// The address of the control listener to ask next.
    pub(crate) fn next(&mut self) -> Option<Arc<str>> {
        if let Some((_, address)) = &self.known {
            return Some(Arc::clone(address));
        }
        if self.voters.is_empty() {
            return None;
        }
        self.position = (self.position + 1) % self.voters.len();
        Some(Arc::clone(&self.voters[self.position].1))
    }

    /// Updates the known steward from an answer. `None`, after a failed call,
    /// removes it.
    pub(crate) fn record_answer(&mut self, answer: Option<&PermitAnswer>) {
        match answer {
            Some(PermitAnswer::Permitted { .. }) => {}
            Some(PermitAnswer::NotSteward { steward }) => {
                self.known.clone_from(steward);
            }
            None => self.known = None,
        }
    }
}

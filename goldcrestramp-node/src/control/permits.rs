//! How the keeper's question finds the steward.

use std::sync::Arc;

use goldcrestramp_ownership::{PermitAnswer, VoterRoster};
use goldcrestramp_types::VmName;

/// Where to ask next: the known steward, else each voter in turn.
#[derive(Debug, Default)]
pub(crate) struct StewardSearch {
    known: Option<(VmName, Arc<str>)>,
    voters: Vec<(VmName, Arc<str>)>,
    turn: usize,
}

impl StewardSearch {
    /// Takes the voters, any of which knows the steward it confirmed.
    pub(crate) fn take_roster(&mut self, roster: &VoterRoster) {
        let voters = roster.voters.iter();
        let voters = voters.map(|v| (v.vm.clone(), Arc::clone(&v.address)));
        self.voters = voters.collect();
    }

    /// The steward, if known.
    pub(crate) fn known(&self) -> Option<&(VmName, Arc<str>)> {
        self.known.as_ref()
    }

    /// Notes who this VM's own voter confirms.
    pub(crate) fn take_steward(&mut self, vm: VmName, address: Arc<str>) {
        self.known = Some((vm, address));
    }

    /// The control listener to ask next.
    pub(crate) fn next(&mut self) -> Option<Arc<str>> {
        if let Some((_, address)) = &self.known {
            return Some(Arc::clone(address));
        }
        if self.voters.is_empty() {
            return None;
        }
        self.turn = (self.turn + 1) % self.voters.len();
        Some(Arc::clone(&self.voters[self.turn].1))
    }

    /// Learns from an answer, or from the lack of one.
    pub(crate) fn learn(&mut self, answer: Option<&PermitAnswer>) {
        match answer {
            Some(PermitAnswer::Permitted { .. }) => {}
            Some(PermitAnswer::NotSteward { steward }) => {
                self.known.clone_from(steward);
            }
            None => self.known = None,
        }
    }
}

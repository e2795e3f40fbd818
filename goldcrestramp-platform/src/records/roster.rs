//! Encodes the record of a failure domain's voters.

use std::{collections::BTreeSet, sync::Arc};

use goldcrestramp_ownership::{RosterVoter, VoterRoster};
use goldcrestramp_types::{DomainName, VmName};
use serde::{Deserialize, Serialize};

use super::{codec::StoreRecord, error::RecordError};

/// One voter in JSON.
#[derive(Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct VoterForm {
    vm: VmName,
    address: Arc<str>,
}

/// A roster in JSON.
#[derive(Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RosterForm {
    domain: DomainName,
    version: u64,
    voters: Vec<VoterForm>,
}

impl StoreRecord for VoterRoster {
    type Form = RosterForm;

    fn to_form(&self) -> Result<RosterForm, RecordError> {
        check(self)?;
        let voters = self.voters.iter().map(|voter| VoterForm {
            vm: voter.vm.clone(),
            address: Arc::clone(&voter.address),
        });
        Ok(RosterForm {
            domain: self.domain.clone(),
            version: self.version,
            voters: voters.collect(),
        })
    }

    fn from_form(form: RosterForm) -> Result<Self, RecordError> {
        let voters = form
            .voters
            .into_iter()
            .map(|voter| RosterVoter { vm: voter.vm, address: voter.address });
        let roster = Self {
            domain: form.domain,
            version: form.version,
            voters: voters.collect(),
        };
        check(&roster)?;
        Ok(roster)
    }
}

/// Checks the number of voters, and that they are distinct.
///
/// A VM listed twice would count twice. A minority could then pass as a
/// majority, and two stewards could act at the same time.
fn check(roster: &VoterRoster) -> Result<(), RecordError> {
    if roster.voters.is_empty() {
        return Err(RecordError::OutOfRange("number of voters"));
    }
    if roster.voters.len() > VoterRoster::MAX_VOTERS {
        return Err(RecordError::TooMany("voters"));
    }
    let mut names = BTreeSet::new();
    for voter in &roster.voters {
        if !names.insert(&voter.vm) {
            return Err(RecordError::Duplicate(voter.vm.to_string()));
        }
    }
    Ok(())
}

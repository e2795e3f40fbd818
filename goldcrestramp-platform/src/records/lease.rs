//! The record of the deployment's planner.

use std::sync::Arc;

use goldcrestramp_types::VmName;
use serde::{Deserialize, Serialize};

use super::{codec::StoreRecord, error::RecordError};

/// The planner of the deployment; the value is removed when its lease ends.
///
/// The lease limits the number of planners, but does not make them safe: a
/// paused planner may act after its lease has expired. Changes of a service's
/// record are safe because they use compare-and-swap.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PlannerRecord {
    /// The name of the planner's VM.
    pub vm: VmName,
    /// A random number that the planner's process generated at its start.
    pub start: u64,
    /// The planner's address for peers.
    pub address: Arc<str>,
}

impl StoreRecord for PlannerRecord {
    type Form = Self;

    fn to_form(&self) -> Result<Self, RecordError> {
        Ok(self.clone())
    }

    fn from_form(form: Self) -> Result<Self, RecordError> {
        Ok(form)
    }
}

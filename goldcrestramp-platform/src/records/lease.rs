//! Who plans.

use std::sync::Arc;

use goldcrestramp_types::VmName;
use serde::{Deserialize, Serialize};

use super::{codec::StoreRecord, error::RecordError};

/// The planner of the deployment; the value ends with the planner's lease.
///
/// The lease keeps planners few, not safe: a paused one may act after it.
/// Safe is each change of a service's record, by compare-and-swap.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PlannerRecord {
    /// The planner's VM.
    pub vm: VmName,
    /// A random number of its process start.
    pub start: u64,
    /// Where peers reach it.
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

//! What operators are shown of a VM's control state.

use std::sync::Arc;

use goldcrestramp_config::DeploymentState;
use goldcrestramp_ownership::{DomainTable, ServiceRecord, StewardStatus};
use goldcrestramp_types::{
    DomainName, FastMap, LocalTime, ServerName, VmName,
};

use crate::control::seen::{SeenVm, VmVersions};

/// A VM's control state at one moment.
#[derive(Clone, Debug)]
pub struct ControlStatus {
    /// When it was taken, in the clock of the VM.
    pub taken: LocalTime,
    /// The steward's part.
    pub steward: StewardStatus,
    /// Who is steward as far as this VM knows: VM and control listener.
    pub steward_seen: Option<(String, Arc<str>)>,
    /// The configuration in force here.
    pub config: Option<Arc<DeploymentState>>,
    /// The newest table of each failure domain.
    pub tables: FastMap<DomainName, Arc<DomainTable>>,
    /// The servers that this VM keeps, and until when.
    pub keeps: Vec<(ServerName, LocalTime)>,
    /// What this VM has in force.
    pub versions: VmVersions,
    /// The other VMs of the failure domain, by name; known to its steward.
    pub seen: Vec<(VmName, SeenVm)>,
    /// When the VM that each domain's table comes from was last heard.
    pub heard: FastMap<DomainName, LocalTime>,
    /// How each service is divided among failure domains.
    pub homes: Vec<Arc<ServiceRecord>>,
}

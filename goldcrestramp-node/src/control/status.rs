//! The control state of a VM that operators are shown.

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
    /// When the state was read, in the VM's clock.
    pub taken: LocalTime,
    /// The state of this VM's steward machine.
    pub steward: StewardStatus,
    /// The steward and its control listener, as far as this VM knows.
    pub steward_seen: Option<(String, Arc<str>)>,
    /// The configuration in force on this VM.
    pub config: Option<Arc<DeploymentState>>,
    /// The newest known table of each failure domain.
    pub tables: FastMap<DomainName, Arc<DomainTable>>,
    /// The servers that this VM keeps, and when its permit for each expires.
    pub keeps: Vec<(ServerName, LocalTime)>,
    /// The versions that this VM has in force.
    pub versions: VmVersions,
    /// The other VMs of the failure domain, sorted by name. Only the steward
    /// knows them.
    pub seen: Vec<(VmName, SeenVm)>,
    /// When the VM that sends each domain's table was last heard.
    pub heard: FastMap<DomainName, LocalTime>,
    /// The records that assign each service's slices to failure domains.
    pub homes: Vec<Arc<ServiceRecord>>,
}

//! The bodies of the platform's responses.

use goldcrestramp_types::{DomainName, RegionName, VmName};
use serde::{Deserialize, Serialize};

/// The state of a VM on the platform's list.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum VmState {
    /// The VM runs, as far as the platform knows.
    Live,
    /// The VM is being removed.
    Leaving,
}

/// A VM on the platform's list, which lags and may be inaccurate.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct VmEntry {
    /// The VM's name.
    pub name: VmName,
    /// The VM's failure domain.
    pub domain: DomainName,
    /// The VM's region.
    pub region: RegionName,
    /// The address of its control listener, as `IP:port`.
    pub address: String,
    /// Whether the VM is live or leaving.
    pub state: VmState,
}

/// The service's response to opening a lease.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct LeaseGrant {
    /// The id of the lease.
    pub lease: u64,
    /// Its TTL from now, in milliseconds.
    pub ttl_ms: u64,
}

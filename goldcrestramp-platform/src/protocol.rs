//! Bodies of the platform's calls.

use goldcrestramp_types::{DomainName, RegionName, VmName};
use serde::{Deserialize, Serialize};

/// The state of a VM on the platform's list.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum VmState {
    /// It runs, as far as the platform knows.
    Live,
    /// It is being taken away.
    Leaving,
}

/// A VM on the platform's list, which lags and may be wrong.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct VmEntry {
    /// Its name.
    pub name: VmName,
    /// Its failure domain.
    pub domain: DomainName,
    /// Its region.
    pub region: RegionName,
    /// Where its control listener is, `IP:port`.
    pub address: String,
    /// Live or leaving.
    pub state: VmState,
}

/// A lease as the service grants it.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct LeaseGrant {
    /// The id to name it by.
    pub lease: u64,
    /// How long it lasts from now, in milliseconds.
    pub ttl_ms: u64,
}

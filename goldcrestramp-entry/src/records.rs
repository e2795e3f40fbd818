//! The records that VMs keep in the store, and their keys.

use std::{net::SocketAddr, sync::Arc};

use serde::{Deserialize, Serialize, de::DeserializeOwned};
use xxhash_rust::xxh3::xxh3_64;

/// The prefix of all keys of the VMs' records.
pub const ROUTER_PREFIX: &str = "router/";

/// The key of the planner's record, which expires with the lease of the
/// planning VM.
pub const PLANNER_KEY: &str = "router/planner";

/// The prefix of the keys of assignment tables; there is one table per sharded
/// service.
pub const TABLE_PREFIX: &str = "router/table/";

/// The prefix of the keys of the VMs' entries; each expires with its VM's
/// lease. The failure domain follows, so that a VM can read the entries of its
/// own domain alone.
pub const VM_PREFIX: &str = "router/vm/";

/// The prefix of the keys of requests that are refused because servers ended
/// under them, by fingerprint. Each expires with its own lease, so that they
/// outlast a restart of all VMs.
pub const QUARANTINE_PREFIX: &str = "router/quarantine/";

/// The key of the assignment table of `service`.
#[must_use]
pub fn table_key(service: &str) -> Arc<str> {
    format!("{TABLE_PREFIX}{service}").into()
}

/// The prefix of the keys of the entries of a failure domain's VMs.
#[must_use]
pub fn domain_prefix(domain: &str) -> Arc<str> {
    format!("{VM_PREFIX}{domain}/").into()
}

/// One instance of the process on a VM, from its start to its end.
#[derive(Clone, Debug, Eq, Hash, PartialEq, Serialize, Deserialize)]
pub struct VmInstance {
    /// The VM's name.
    pub vm: Arc<str>,
    /// A random number that identifies the instance, chosen when the process
    /// starts.
    pub start: u64,
    /// The failure domain of the VM.
    pub domain: Arc<str>,
    /// The address at which it accepts calls of other VMs.
    pub address: SocketAddr,
    /// The VM's capacity for work that one VM does for many: the smaller of
    /// its hundredths of a core and its link's megabits per second.
    pub capacity: u32,
    /// The address at which it accepts requests that other VMs pass on to it;
    /// `None` for VMs of earlier builds, which accept none.
    #[serde(default)]
    pub relay_address: Option<SocketAddr>,
}

/// The rank of a VM for work that one VM does for all; the highest rank comes
/// first.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct DutyRank {
    capacity: u32,
    name_hash: u64,
}

impl VmInstance {
    /// The VM's rank for planning and for following the store.
    ///
    /// Where VMs differ in capacity, the large ones rank first. Planning for
    /// hundreds of servers and passing changes on to many VMs fill a narrow
    /// link: requests then wait behind tables, and a configuration is in force
    /// too late.
    ///
    /// VMs of equal capacity are ranked by a hash of their names, so all of
    /// them agree on the order.
    #[must_use]
    pub fn duty_rank(&self) -> DutyRank {
        let name_hash = xxh3_64(self.vm.as_bytes());
        DutyRank { capacity: self.capacity, name_hash }
    }

    /// The key of the VM's entry.
    #[must_use]
    pub fn key(&self) -> Arc<str> {
        let Self { domain, vm, .. } = self;
        format!("{VM_PREFIX}{domain}/{vm}").into()
    }

    /// Encodes the record as JSON.
    #[must_use]
    pub fn encode(&self) -> Vec<u8> {
        // Serializing strings and numbers does not fail.
        serde_json::to_vec(self).unwrap_or_default()
    }
}

/// Decodes a record; returns `None` if the bytes are not valid.
#[must_use]
pub fn decode<Record: DeserializeOwned>(bytes: &[u8]) -> Option<Record> {
    serde_json::from_slice(bytes).ok()
}

//! What the VMs keep in the store, and under which keys.

use std::{net::SocketAddr, sync::Arc};

use serde::{Deserialize, Serialize, de::DeserializeOwned};
use xxhash_rust::xxh3::xxh3_64;

/// Everything of the VMs begins with this.
pub const ROUTER_PREFIX: &str = "router/";

/// The record of the VM that plans assignments; it ends with its lease.
pub const PLANNER_KEY: &str = "router/planner";

/// The tables of assignments, one a divided service.
pub const TABLE_PREFIX: &str = "router/table/";

/// The VMs' own entries; each ends with its lease.
pub const VM_PREFIX: &str = "router/vm/";

/// The key of a service's table.
#[must_use]
pub fn table_key(service: &str) -> Arc<str> {
    format!("{TABLE_PREFIX}{service}").into()
}

/// The key of a VM's entry.
#[must_use]
pub fn vm_key(vm: &str) -> Arc<str> {
    format!("{VM_PREFIX}{vm}").into()
}

/// One run of the program on one VM.
#[derive(Clone, Debug, Eq, Hash, PartialEq, Serialize, Deserialize)]
pub struct VmInstance {
    /// The VM's name.
    pub vm: Arc<str>,
    /// A random number, drawn at the process's start.
    pub start: u64,
    /// The failure domain that it stands in.
    pub domain: Arc<str>,
    /// Where it takes calls of other VMs.
    pub address: SocketAddr,
    /// What it has for work that is done once for many VMs: the scarcer of
    /// its hundredths of a core and its link's megabits a second.
    pub capacity: u32,
}

/// The place of a VM among those that may do work for all, highest first.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct DutyRank {
    capacity: u32,
    name_hash: u64,
}

impl VmInstance {
    /// Its rank for planning and for following the store.
    ///
    /// Where VMs differ, the large ones come first. Planning for hundreds of
    /// servers and passing changes on to many VMs fill a narrow link:
    /// requests then wait behind tables, and a configuration is in force too
    /// late.
    /// VMs alike are ranked by their names, which all of them agree on.
    #[must_use]
    pub fn duty_rank(&self) -> DutyRank {
        let name_hash = xxh3_64(self.vm.as_bytes());
        DutyRank { capacity: self.capacity, name_hash }
    }

    /// The record's bytes.
    #[must_use]
    pub fn encode(&self) -> Vec<u8> {
        // Texts and numbers always serialize.
        serde_json::to_vec(self).unwrap_or_default()
    }
}

/// Reads a record; nothing if the bytes are none.
#[must_use]
pub fn decode<Record: DeserializeOwned>(bytes: &[u8]) -> Option<Record> {
    serde_json::from_slice(bytes).ok()
}

//! What the VMs keep in the store, and under which keys.

use std::{net::SocketAddr, sync::Arc};

use serde::{Deserialize, Serialize, de::DeserializeOwned};

/// Everything of the VMs begins with this.
pub const OWN_PREFIX: &str = "router/";

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
pub struct VmRun {
    /// The VM's name.
    pub vm: Arc<str>,
    /// A random number, drawn at the process's start.
    pub start: u64,
    /// The failure domain that it stands in.
    pub domain: Arc<str>,
    /// Where it takes calls of other VMs.
    pub address: SocketAddr,
}

impl VmRun {
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

//! The faults of a stand-in platform.

use goldcrestramp_platform::VmEntry;
use goldcrestramp_types::VmName;
use serde::{Deserialize, Serialize};

/// How the platform treats connections.
#[derive(
    Clone, Copy, Debug, Default, Eq, PartialEq, Serialize, Deserialize,
)]
#[serde(rename_all = "kebab-case")]
pub enum OutageKind {
    /// It serves them.
    #[default]
    None,
    /// It refuses new ones and closes open ones.
    Refuse,
    /// It accepts them and never responds.
    Hang,
}

/// How the response to a write is lost.
#[derive(
    Clone, Copy, Debug, Default, Eq, PartialEq, Serialize, Deserialize,
)]
#[serde(rename_all = "kebab-case")]
pub enum LossKind {
    /// The connection is closed after the write took effect.
    #[default]
    Cut,
    /// An intermediary responds with 502 after the write took effect.
    BadGateway,
}

/// All faults of a platform that are active now.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct PlatformFaults {
    /// Writes and lease calls a second; more are refused with 429.
    pub writes_per_second: u32,
    /// Reads, watches and list calls a second; more are refused with 429.
    pub reads_per_second: u32,
    /// The added latency of each response, in milliseconds.
    pub latency_ms: u64,
    /// How connections are treated.
    pub outage: OutageKind,
    /// The number of upcoming writes whose responses are lost.
    pub lose_answers: u32,
    /// How they are lost.
    pub loss: LossKind,
    /// The lag of the VM list, in milliseconds.
    pub vm_lag_ms: u64,
    /// Entries that are wrong in the VM list, or whose VMs do not exist.
    pub vm_wrong: Vec<VmEntry>,
    /// VMs that are missing from the list.
    pub vm_hidden: Vec<VmName>,
}

impl Default for PlatformFaults {
    /// The service as its users know it: several hundred writes and about two
    /// thousand reads a second, with responses within milliseconds.
    fn default() -> Self {
        Self {
            writes_per_second: 400,
            reads_per_second: 2_000,
            latency_ms: 0,
            outage: OutageKind::None,
            lose_answers: 0,
            loss: LossKind::Cut,
            vm_lag_ms: 0,
            vm_wrong: Vec::new(),
            vm_hidden: Vec::new(),
        }
    }
}

//! How a stand-in platform fails.

use goldcrestramp_platform::VmEntry;
use goldcrestramp_types::VmName;
use serde::{Deserialize, Serialize};

/// What the platform does with connections.
#[derive(
    Clone, Copy, Debug, Default, Eq, PartialEq, Serialize, Deserialize,
)]
#[serde(rename_all = "kebab-case")]
pub enum OutageKind {
    /// It serves them.
    #[default]
    None,
    /// It refuses new ones and cuts those that stand.
    Refuse,
    /// It takes them and answers nothing.
    Hang,
}

/// What becomes of an answer that is lost.
#[derive(
    Clone, Copy, Debug, Default, Eq, PartialEq, Serialize, Deserialize,
)]
#[serde(rename_all = "kebab-case")]
pub enum LossKind {
    /// The connection is cut after the write took effect.
    #[default]
    Cut,
    /// An intermediary answers 502 after the write took effect.
    BadGateway,
}

/// Everything that is wrong with a platform at the moment.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct PlatformFaults {
    /// Writes and lease calls a second; more are refused with 429.
    pub writes_per_second: u32,
    /// Reads, watches and list calls a second; more are refused with 429.
    pub reads_per_second: u32,
    /// How much later than usual each answer comes, in milliseconds.
    pub latency_ms: u64,
    /// What becomes of connections.
    pub outage: OutageKind,
    /// The answers of so many next writes are lost.
    pub lose_answers: u32,
    /// How they are lost.
    pub loss: LossKind,
    /// By how much the VM list lags, in milliseconds.
    pub vm_lag_ms: u64,
    /// Entries that the VM list has wrong, or that do not exist.
    pub vm_wrong: Vec<VmEntry>,
    /// VMs that the list leaves out.
    pub vm_hidden: Vec<VmName>,
}

impl Default for PlatformFaults {
    /// The service as its users have it: several hundred writes and about
    /// two thousand reads a second, answered in milliseconds.
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

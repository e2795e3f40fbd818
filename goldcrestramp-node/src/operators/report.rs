//! What operators are shown; every report says how old it is.

use goldcrestramp_types::{
    DomainName, FenceToken, RegionName, ServerName, ServiceName, TableVersion,
    TermId, VmName,
};
use serde::{Deserialize, Serialize};

/// What one VM knows, also when it is cut off.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct StatusReport {
    /// The deployment.
    pub deployment: String,
    /// The VM that tells this.
    pub vm: VmName,
    /// Its failure domain.
    pub domain: DomainName,
    /// Its region.
    pub region: RegionName,
    /// How old this report is, in milliseconds.
    pub age_ms: u64,
    /// Whether the daemon is being stopped.
    pub leaving: bool,
    /// Requests under way here.
    pub requests: u64,
    /// The configuration's version in force here; 0: none yet.
    pub config_version: u64,
    /// The highest accepted ticket in it.
    pub last_ticket: Option<u64>,
    /// The steward of this VM's failure domain.
    pub steward: StewardReport,
    /// Every failure domain, as far as this VM knows.
    pub domains: Vec<DomainReport>,
    /// The servers that this VM keeps.
    pub keeps: Vec<KeepReport>,
    /// What the steward of this VM's failure domain knows, as last heard;
    /// `None`: it was never heard.
    pub view: Option<StewardView>,
    /// Slices on their way between failure domains.
    pub moving: Vec<LeavingReport>,
    /// What this VM refused, by reason, since it started.
    pub refused: Vec<(String, u64)>,
    /// Requests that may have run, by reason, since it started.
    pub unknown: Vec<(String, u64)>,
    /// What this VM sent again or elsewhere, by reason, since it started.
    pub retried: Vec<(String, u64)>,
}

/// A failure domain's steward, as one VM sees it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct StewardReport {
    /// The steward's VM; `None`: none is known.
    pub vm: Option<String>,
    /// Whether it is the VM that tells this.
    pub here: bool,
    /// The term.
    pub term: TermId,
}

/// What a steward knows of its failure domain.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct StewardView {
    /// The steward's VM.
    pub vm: VmName,
    /// How old this is, in milliseconds; all other spans of the view are as
    /// of then.
    pub age_ms: u64,
    /// How long it may act unless it is confirmed again, in milliseconds.
    pub deadline_left_ms: u64,
    /// What moves within the domain.
    pub moves: MoveReport,
    /// The domain's VMs, the steward's own among them.
    pub nodes: Vec<NodeReport>,
    /// The domain's servers.
    pub servers: Vec<ServerReport>,
    /// The other failure domains whose tables it follows.
    pub heard: Vec<HeardReport>,
}

/// What a VM has in force, as its steward knows.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct NodeReport {
    /// The VM.
    pub vm: VmName,
    /// Its configuration's version; 0: none.
    pub config_version: u64,
    /// The version of its table of this failure domain.
    pub table: Option<TableVersion>,
    /// How long ago it told this, in milliseconds.
    pub heard_ms: u64,
    /// Whether its configuration or its table is older than the steward's.
    pub lags: bool,
}

/// When a failure domain was last heard.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct HeardReport {
    /// The failure domain.
    pub domain: DomainName,
    /// How long ago, in milliseconds. A cut may show up to 2,500 ms late.
    pub heard_ms: u64,
}

/// Slices of a service that are to leave a failure domain.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct LeavingReport {
    /// The service.
    pub service: ServiceName,
    /// The failure domain that still holds them.
    pub domain: DomainName,
    /// How many are left.
    pub slices: u64,
}

/// How far moves within a failure domain have come.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct MoveReport {
    /// Whether the steward may move slices already.
    pub may_move: bool,
    /// Moves begun and not ended.
    pub moving: u64,
    /// Slices moved since this VM started.
    pub moved: u64,
}

/// A failure domain's table, as one VM holds it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct DomainReport {
    /// The failure domain.
    pub domain: DomainName,
    /// Declared lost by a ticket.
    pub lost: bool,
    /// The table's version; `None`: no table has come.
    pub table: Option<TableVersion>,
    /// How long ago the table was surely the newest there, in milliseconds;
    /// `None`: not known. A cut may show up to 2,500 ms late.
    pub age_ms: Option<u64>,
    /// Slices that the table gives an owner.
    pub owned_slices: u64,
}

/// A server that a VM keeps.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct KeepReport {
    /// The server.
    pub server: ServerName,
    /// How long the VM may send to it, in milliseconds, unless renewed.
    pub permit_left_ms: u64,
}

/// A server, as its steward sees it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ServerReport {
    /// The server.
    pub server: ServerName,
    /// Its keeper.
    pub keeper: Option<VmName>,
    /// How many slices it owns.
    pub slices: u64,
    /// How many it is to get yet.
    pub gains: u64,
    /// How many it is to give up yet.
    pub releases: u64,
    /// The fencing token of its order.
    pub token: Option<FenceToken>,
}

/// Who owns a key, and why there.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ExplainReport {
    /// The VM that tells this.
    pub vm: VmName,
    /// How old this report is, in milliseconds.
    pub age_ms: u64,
    /// The service.
    pub service: ServiceName,
    /// The key.
    pub key: String,
    /// The key's slice.
    pub slice: u32,
    /// The service's number of slices.
    pub slices: u32,
    /// The failure domain that serves it.
    pub domain: Option<DomainName>,
    /// The owner.
    pub server: Option<ServerName>,
    /// The owner's keeper.
    pub keeper: Option<VmName>,
    /// The fencing token; known in the owner's failure domain.
    pub token: Option<FenceToken>,
    /// The version of the table that says so.
    pub table: Option<TableVersion>,
    /// Short sentences: why there, or why nowhere.
    pub why: Vec<String>,
}

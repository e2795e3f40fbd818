//! The JSON reports for operators, each with its age.

use goldcrestramp_types::{
    DomainName, FenceToken, RegionName, ServerName, ServiceName, TableVersion,
    TermId, VmName,
};
use serde::{Deserialize, Serialize};

/// The state of one VM; available also while the VM is disconnected.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct StatusReport {
    /// The name of the deployment.
    pub deployment: String,
    /// The VM that makes this report.
    pub vm: VmName,
    /// The failure domain of the VM.
    pub domain: DomainName,
    /// The region of the VM.
    pub region: RegionName,
    /// The age of this report, in milliseconds.
    pub age_ms: u64,
    /// Whether the daemon is being stopped.
    pub leaving: bool,
    /// Requests in flight on this VM.
    pub requests: u64,
    /// The version of the configuration in force on this VM; 0 if none is
    /// known yet.
    pub config_version: u64,
    /// The highest number of an accepted ticket in that configuration.
    pub last_ticket: Option<u64>,
    /// The steward of this VM's failure domain.
    pub steward: StewardReport,
    /// Every failure domain that this VM knows.
    pub domains: Vec<DomainReport>,
    /// The servers whose keeper this VM is.
    pub keeps: Vec<KeepReport>,
    /// The last view received from the steward of this VM's failure domain;
    /// `None` if none was received.
    pub view: Option<StewardView>,
    /// Slices that are moving between failure domains.
    pub moving: Vec<LeavingReport>,
    /// Requests that this VM refused since it started, by reason.
    pub refused: Vec<(String, u64)>,
    /// Requests with an unknown outcome since this VM started, by reason.
    pub unknown: Vec<(String, u64)>,
    /// Requests that this VM sent again, to the same target or another one,
    /// since it started, by reason.
    pub retried: Vec<(String, u64)>,
}

/// The steward of a failure domain, as known to one VM.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct StewardReport {
    /// The steward's VM; `None` if no steward is known.
    pub vm: Option<String>,
    /// Whether the steward runs on the VM that makes this report.
    pub here: bool,
    /// The steward's term.
    pub term: TermId,
}

/// The state of a failure domain, as known to its steward.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct StewardView {
    /// The steward's VM.
    pub vm: VmName,
    /// The age of this view, in milliseconds. All other times of the view
    /// are relative to when it was made.
    pub age_ms: u64,
    /// The time for which the steward may still act unless it is confirmed
    /// again, in milliseconds.
    pub deadline_left_ms: u64,
    /// Moves of slices within the domain.
    pub moves: MoveReport,
    /// The VMs of the domain, including the steward's own.
    pub nodes: Vec<NodeReport>,
    /// The servers of the domain.
    pub servers: Vec<ServerReport>,
    /// The other failure domains whose tables the steward follows.
    pub heard: Vec<HeardReport>,
}

/// The versions in force on a VM, as known to its steward.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct NodeReport {
    /// The VM.
    pub vm: VmName,
    /// The version of the VM's configuration; 0 if it has none.
    pub config_version: u64,
    /// The version of the VM's table of this failure domain.
    pub table: Option<TableVersion>,
    /// The time since the VM reported this, in milliseconds.
    pub heard_ms: u64,
    /// Whether the VM's configuration or table is older than the steward's.
    pub lags: bool,
}

/// The time of the last contact with a failure domain.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct HeardReport {
    /// The failure domain.
    pub domain: DomainName,
    /// The time since the last contact, in milliseconds. A lost connection
    /// may be detected up to 2,500 ms late.
    pub heard_ms: u64,
}

/// Slices of a service that are moving out of a failure domain.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct LeavingReport {
    /// The service.
    pub service: ServiceName,
    /// The failure domain that still holds the slices.
    pub domain: DomainName,
    /// The number of slices that have not left yet.
    pub slices: u64,
}

/// The progress of moves within a failure domain.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct MoveReport {
    /// Whether the steward is allowed to move slices yet.
    pub may_move: bool,
    /// The number of moves in progress.
    pub moving: u64,
    /// The number of slices moved since this VM started.
    pub moved: u64,
}

/// The table of a failure domain, as known to one VM.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct DomainReport {
    /// The failure domain.
    pub domain: DomainName,
    /// Whether a ticket has declared the domain lost.
    pub lost: bool,
    /// The version of the table; `None` if none was received.
    pub table: Option<TableVersion>,
    /// The time since the table was last known to be the domain's newest, in
    /// milliseconds; `None` if unknown. A lost connection may be detected up
    /// to 2,500 ms late.
    pub age_ms: Option<u64>,
    /// The number of slices that have an owner in the table.
    pub owned_slices: u64,
}

/// A server and the permit of its keeper.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct KeepReport {
    /// The server.
    pub server: ServerName,
    /// The time for which the VM may still send to the server unless the
    /// permit is renewed, in milliseconds.
    pub permit_left_ms: u64,
}

/// A server, as known to its steward.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ServerReport {
    /// The server.
    pub server: ServerName,
    /// The VM of the server's keeper.
    pub keeper: Option<VmName>,
    /// The number of slices that the server owns.
    pub slices: u64,
    /// The number of slices that it is still to gain.
    pub gains: u64,
    /// The number of slices that it is still to release.
    pub releases: u64,
    /// The fencing token of the server's order.
    pub token: Option<FenceToken>,
}

/// The owner of a key, with the reasons.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ExplainReport {
    /// The VM that makes this report.
    pub vm: VmName,
    /// The age of this report, in milliseconds.
    pub age_ms: u64,
    /// The service.
    pub service: ServiceName,
    /// The key.
    pub key: String,
    /// The slice of the key.
    pub slice: u32,
    /// The number of slices of the service.
    pub slices: u32,
    /// The failure domain that serves the key.
    pub domain: Option<DomainName>,
    /// The server that owns the key.
    pub server: Option<ServerName>,
    /// The VM of the owner's keeper.
    pub keeper: Option<VmName>,
    /// The owner's fencing token; known only in its failure domain.
    pub token: Option<FenceToken>,
    /// The version of the table that names the owner.
    pub table: Option<TableVersion>,
    /// The reasons for the owner, or for the lack of one, as short sentences.
    pub why: Vec<String>,
}

//! The state that accepted change tickets have built up.
//!
//! It is one value in the store, so that a ticket is in force whole or not
//! at all, and one order of tickets holds for all nodes.

use goldcrestramp_types::{
    CallerName, DomainName, RegionName, ServerName, ServiceName, SliceCount,
};
use serde::{Deserialize, Serialize};

/// The accepted configuration of a deployment.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct DeploymentState {
    /// The number of the last accepted ticket; rises with each.
    pub version: u64,
    /// Failure domains.
    #[serde(default)]
    pub domains: Vec<DomainRules>,
    /// Services.
    #[serde(default)]
    pub services: Vec<ServiceRules>,
    /// Backend servers.
    #[serde(default)]
    pub servers: Vec<ServerRules>,
    /// Callers that get another share than the default.
    #[serde(default)]
    pub callers: Vec<CallerRules>,
}

/// A failure domain.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct DomainRules {
    /// Its name.
    pub name: DomainName,
    /// Its region.
    pub region: RegionName,
    /// Declared lost by an operator: its slices may be taken from it.
    #[serde(default)]
    pub lost: bool,
}

/// A service.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ServiceRules {
    /// Its name.
    pub name: ServiceName,
    /// Its number of slices, fixed when it is created.
    #[serde(default = "default_slices")]
    pub slices: SliceCount,
    /// The failure domains that may own its keys; empty: all of them.
    #[serde(default)]
    pub domains: Vec<DomainName>,
    /// The regions that may own its keys; empty: all of them.
    #[serde(default)]
    pub regions: Vec<RegionName>,
}

/// A backend server.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ServerRules {
    /// Its name.
    pub name: ServerName,
    /// Its service.
    pub service: ServiceName,
    /// Its failure domain.
    pub domain: DomainName,
    /// Where it listens, `IP:port`.
    pub address: std::net::SocketAddr,
    /// How many requests it runs at once.
    pub slots: u32,
    /// How many connections it takes.
    pub connections: u32,
    /// Whether it refuses orders that carry an old token.
    pub checks_fence: bool,
    /// Leaving: it gets no new work, and its slices move away.
    #[serde(default)]
    pub drain: bool,
}

/// A caller's share.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct CallerRules {
    /// The caller.
    pub name: CallerName,
    /// Its weight; a caller that is not listed has 1.
    pub weight: u32,
}

const fn default_slices() -> SliceCount {
    SliceCount::DEFAULT
}

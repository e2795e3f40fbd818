//! What a steward is told to bring about, and what it puts on record.

use std::sync::Arc;

use goldcrestramp_types::{
    DomainName, FastMap, FenceToken, ServerName, ServiceName, SliceCount,
    SliceIndex, SliceSet,
};
use serde::{Deserialize, Serialize};

/// A server of the failure domain, as the configuration has it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ServerPlan {
    /// The server.
    pub server: ServerName,
    /// Its service.
    pub service: ServiceName,
    /// Where it listens.
    pub address: Arc<str>,
    /// How many requests it runs at once.
    pub slots: u32,
    /// How many connections it takes.
    pub connections: u32,
    /// Whether it refuses old tokens.
    pub checks_fence: bool,
    /// Whether it is leaving: its slices move away.
    pub draining: bool,
}

/// A service, and the part of it that this failure domain holds.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ServicePlan {
    /// The service.
    pub service: ServiceName,
    /// Its number of slices.
    pub count: SliceCount,
    /// The slices that the store's record gives to this domain.
    pub slices: SliceSet,
    /// The slices that are to leave the domain: release and record them.
    pub leaving: SliceSet,
}

/// Everything a steward needs of the configuration.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct DomainPlan {
    /// The failure domain.
    pub domain: DomainName,
    /// Rises with every accepted ticket and every change of a service's
    /// record.
    ///
    /// Voters refuse a steward whose version is below the one under which
    /// slices left the domain.
    pub version: u64,
    /// The services.
    pub services: Vec<ServicePlan>,
    /// The domain's servers.
    pub servers: Vec<ServerPlan>,
}

/// Who holds what in a failure domain, as kept in the store.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct DomainRecord {
    /// The token of the newest decision in it.
    pub token: FenceToken,
    /// Each server's slices; a slice stands with one server.
    pub holders: FastMap<ServerName, SliceSet>,
    /// Slices that left the domain, by service, with nothing running.
    pub released: FastMap<ServiceName, SliceSet>,
    /// The services that the domain has no server for any more.
    ///
    /// The planner moves their slices to other domains.
    pub stranded: FastMap<ServiceName, StrandedCause>,
}

/// Why no server of a failure domain can be given slices of a service.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum StrandedCause {
    /// Every server is lost: nobody serves the slices.
    Lost,
    /// Every server is lost or leaving, and one that leaves still serves.
    Leaving,
}

/// A move that placement asks for.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct SliceMove {
    /// The service.
    pub service: ServiceName,
    /// The slice.
    pub slice: SliceIndex,
    /// The server that is to own it.
    pub target: ServerName,
}

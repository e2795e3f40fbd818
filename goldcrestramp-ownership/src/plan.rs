//! The plan that a steward carries out, and the record that it writes.

use std::sync::Arc;

use goldcrestramp_types::{
    DomainName, FastMap, FenceToken, ServerName, ServiceName, SliceCount,
    SliceIndex, SliceSet,
};
use serde::{Deserialize, Serialize};

/// A server of the failure domain, as configured.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ServerPlan {
    /// The server.
    pub server: ServerName,
    /// Its service.
    pub service: ServiceName,
    /// The address that it listens on.
    pub address: Arc<str>,
    /// The maximum number of requests that it runs at once.
    pub slots: u32,
    /// The maximum number of connections that it accepts.
    pub connections: u32,
    /// Whether it refuses tokens older than its fence.
    pub checks_fence: bool,
    /// Whether it is draining: its slices move to other servers.
    pub draining: bool,
}

/// A service, with the slices of it that this failure domain holds.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ServicePlan {
    /// The service.
    pub service: ServiceName,
    /// Its number of slices.
    pub count: SliceCount,
    /// The slices that the service's record in the store assigns to this
    /// domain.
    pub slices: SliceSet,
    /// The slices that are to leave the domain. The steward releases them and
    /// puts the release on the domain's record.
    pub leaving: SliceSet,
}

/// The part of the configuration and the records that a steward needs.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct DomainPlan {
    /// The failure domain.
    pub domain: DomainName,
    /// Increases with every accepted ticket and every change of a service's
    /// record.
    ///
    /// Voters refuse a steward whose version is lower than the one under which
    /// slices left the domain.
    pub version: u64,
    /// The services.
    pub services: Vec<ServicePlan>,
    /// The domain's servers.
    pub servers: Vec<ServerPlan>,
}

/// The slices that each server of a failure domain holds, as stored.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct DomainRecord {
    /// The token of the newest decision in the record.
    pub token: FenceToken,
    /// The slices of each server. A slice is listed with one server only.
    pub holders: FastMap<ServerName, SliceSet>,
    /// The slices that the domain has released, by service. No request is
    /// running on them.
    pub released: FastMap<ServiceName, SliceSet>,
    /// The services for which the domain has no server left, with the cause.
    ///
    /// The planner moves their slices to other domains.
    pub stranded: FastMap<ServiceName, StrandedCause>,
}

/// Why no server of a failure domain can receive slices of a service.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum StrandedCause {
    /// Every server is lost, so the slices are not served.
    Lost,
    /// Every server is lost or leaving, and at least one that is leaving still
    /// serves its slices.
    Leaving,
}

/// A move of a slice to another server, requested by placement.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct SliceMove {
    /// The service.
    pub service: ServiceName,
    /// The slice.
    pub slice: SliceIndex,
    /// The server that is to own it.
    pub target: ServerName,
}

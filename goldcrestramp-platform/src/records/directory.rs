//! Maps servers to their services.

use goldcrestramp_config::DeploymentState;
use goldcrestramp_types::{FastMap, ServerName, ServiceName, SliceCount};

use super::domain::DomainShard;

/// The service of each server, which a domain's record does not contain, and
/// the slice count of each service.
#[derive(Clone, Debug, Default)]
pub struct ServerDirectory {
    servers: FastMap<ServerName, ServiceName>,
    counts: FastMap<ServiceName, SliceCount>,
}

impl ServerDirectory {
    /// Creates an empty directory.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Adds the services and servers of the configuration.
    ///
    /// Servers that were added before stay: a server that a ticket has
    /// removed may hold slices until they have moved.
    pub fn add_configuration(&mut self, state: &DeploymentState) {
        for service in &state.services {
            self.add_service(service.name.clone(), service.slices);
        }
        for server in &state.servers {
            self.add_server(server.name.clone(), server.service.clone());
        }
    }

    /// Adds the servers of a stored shard.
    pub fn add_shard(&mut self, shard: &DomainShard) {
        for server in shard.holders.keys() {
            self.add_server(server.clone(), shard.service.clone());
        }
    }

    /// Adds a service, or replaces its slice count.
    pub fn add_service(&mut self, service: ServiceName, count: SliceCount) {
        self.counts.insert(service, count);
    }

    /// Adds a server, or replaces its service.
    pub fn add_server(&mut self, server: ServerName, service: ServiceName) {
        self.servers.insert(server, service);
    }

    /// The service of a server.
    #[must_use]
    pub fn service_of(&self, server: &ServerName) -> Option<&ServiceName> {
        self.servers.get(server)
    }

    /// The number of slices of a service.
    #[must_use]
    pub fn count_of(&self, service: &ServiceName) -> Option<SliceCount> {
        self.counts.get(service).copied()
    }

    /// The services with their slice counts, ordered by name.
    #[must_use]
    pub fn services(&self) -> Vec<(&ServiceName, SliceCount)> {
        let mut services: Vec<_> =
            self.counts.iter().map(|(name, count)| (name, *count)).collect();
        services.sort_unstable_by_key(|(name, _)| *name);
        services
    }
}

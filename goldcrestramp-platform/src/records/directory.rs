//! To which service each server belongs.

use goldcrestramp_config::DeploymentState;
use goldcrestramp_types::{FastMap, ServerName, ServiceName, SliceCount};

use super::domain::DomainShard;

/// The services of servers, which a domain's record itself does not hold.
#[derive(Clone, Debug, Default)]
pub struct ServerDirectory {
    servers: FastMap<ServerName, ServiceName>,
    counts: FastMap<ServiceName, SliceCount>,
}

impl ServerDirectory {
    /// A directory that knows nobody.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Takes in the configuration.
    ///
    /// Servers that were known before stay known: one that a ticket has
    /// removed may hold slices until they have moved.
    pub fn add_configuration(&mut self, state: &DeploymentState) {
        for service in &state.services {
            self.add_service(service.name.clone(), service.slices);
        }
        for server in &state.servers {
            self.add_server(server.name.clone(), server.service.clone());
        }
    }

    /// Takes in the servers of a stored shard.
    pub fn add_shard(&mut self, shard: &DomainShard) {
        for server in shard.holders.keys() {
            self.add_server(server.clone(), shard.service.clone());
        }
    }

    /// Adds a service.
    pub fn add_service(&mut self, service: ServiceName, count: SliceCount) {
        self.counts.insert(service, count);
    }

    /// Adds a server.
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

    /// The services, in the order of their names.
    #[must_use]
    pub fn services(&self) -> Vec<(&ServiceName, SliceCount)> {
        let mut services: Vec<_> =
            self.counts.iter().map(|(name, count)| (name, *count)).collect();
        services.sort_unstable_by_key(|(name, _)| *name);
        services
    }
}

//! The state that accepted change tickets have built up.
//!
//! It is stored as one value, so that a ticket is applied atomically and all
//! nodes see the tickets in the same order.

use goldcrestramp_types::{
    CallerName, DomainName, RegionName, ServerName, ServiceName, SliceCount,
};
use serde::{Deserialize, Serialize};

use crate::ticket::{ConfiguredEntity, EntityId, EntityKind, TicketHistory};

/// The accepted configuration of a deployment.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct DeploymentState {
    /// The version, incremented by each accepted ticket.
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
    /// Callers whose share differs from the default.
    #[serde(default)]
    pub callers: Vec<CallerRules>,
    /// The accepted tickets.
    #[serde(default)]
    pub tickets: TicketHistory,
}

impl DeploymentState {
    /// Returns the failure domain of this name.
    #[must_use]
    pub fn domain(&self, name: &DomainName) -> Option<&DomainRules> {
        self.domains.iter().find(|domain| domain.name == *name)
    }

    /// Returns the service of this name.
    #[must_use]
    pub fn service(&self, name: &ServiceName) -> Option<&ServiceRules> {
        self.services.iter().find(|service| service.name == *name)
    }

    /// Returns the server of this name.
    #[must_use]
    pub fn server(&self, name: &ServerName) -> Option<&ServerRules> {
        self.servers.iter().find(|server| server.name == *name)
    }

    /// Whether `server` may own keys of `service`: the service's rules allow
    /// its failure domain and region, and it is not draining.
    ///
    /// Servers in a domain that is declared lost still count; see
    /// [`DomainRules::lost`].
    #[must_use]
    pub fn may_own(
        &self,
        service: &ServiceRules,
        server: &ServerRules,
    ) -> bool {
        let domains = &service.domains;
        let regions = &service.regions;
        let region = self.domain(&server.domain).map(|d| &d.region);
        let domain = domains.is_empty() || domains.contains(&server.domain);
        let region = regions.is_empty()
            || region.is_some_and(|region| regions.contains(region));
        service.name == server.service && domain && region && !server.drain
    }

    pub(crate) fn contains(&self, entity: &EntityId) -> bool {
        let name = &*entity.name;
        match entity.kind {
            EntityKind::Domain => {
                self.domains.iter().any(|d| d.name.as_str() == name)
            }
            EntityKind::Service => {
                self.services.iter().any(|s| s.name.as_str() == name)
            }
            EntityKind::Server => {
                self.servers.iter().any(|s| s.name.as_str() == name)
            }
            EntityKind::Caller => {
                self.callers.iter().any(|c| c.name.as_str() == name)
            }
        }
    }

    pub(crate) fn remove(&mut self, entity: &EntityId) {
        let name = &*entity.name;
        match entity.kind {
            EntityKind::Domain => {
                self.domains.retain(|d| d.name.as_str() != name);
            }
            EntityKind::Service => {
                self.services.retain(|s| s.name.as_str() != name);
            }
            EntityKind::Server => {
                self.servers.retain(|s| s.name.as_str() != name);
            }
            EntityKind::Caller => {
                self.callers.retain(|c| c.name.as_str() != name);
            }
        }
    }

    /// Returns an entity that refers to `entity`.
    pub(crate) fn referrer_of(&self, entity: &EntityId) -> Option<EntityId> {
        let name = &*entity.name;
        match entity.kind {
            EntityKind::Domain => {
                let services = self.services.iter();
                let mut services = services
                    .filter(|s| s.domains.iter().any(|d| d.as_str() == name));
                let mut servers = self.servers.iter();
                let server = servers.find(|s| s.domain.as_str() == name);
                let service = services.next().map(ConfiguredEntity::id);
                service.or_else(|| server.map(ConfiguredEntity::id))
            }
            EntityKind::Service => {
                let mut servers = self.servers.iter();
                let server = servers.find(|s| s.service.as_str() == name);
                server.map(ConfiguredEntity::id)
            }
            EntityKind::Server | EntityKind::Caller => None,
        }
    }

    pub(crate) fn trim_history(&mut self) {
        let mut history = std::mem::take(&mut self.tickets);
        history.trim(|entity| self.contains(entity));
        self.tickets = history;
    }
}

/// A failure domain.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct DomainRules {
    /// Its name.
    pub name: DomainName,
    /// Its region.
    pub region: RegionName,
    /// Declared lost by an operator: its slices may be assigned elsewhere.
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    pub lost: bool,
}

/// A service.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ServiceRules {
    /// Its name.
    pub name: ServiceName,
    /// Its number of slices, fixed when the service is created.
    #[serde(default = "default_slices")]
    pub slices: SliceCount,
    /// The failure domains that may own its keys; all of them if empty.
    #[serde(default)]
    pub domains: Vec<DomainName>,
    /// The regions that may own its keys; all of them if empty.
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
    /// The address it listens on, `IP:port`.
    pub address: std::net::SocketAddr,
    /// The maximum number of requests it runs concurrently.
    pub slots: u32,
    /// The maximum number of connections it accepts.
    pub connections: u32,
    /// Whether it rejects orders that carry an old fencing token.
    pub checks_fence: bool,
    /// Draining: it gets no new work, and its slices move to other servers.
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    pub drain: bool,
}

/// A caller's share.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct CallerRules {
    /// The caller.
    pub name: CallerName,
    /// Its weight; callers that are not listed have weight 1.
    pub weight: u32,
}

const fn default_slices() -> SliceCount {
    SliceCount::DEFAULT
}

//! The rules by which failure domains may hold a service's slices, and each
//! domain's capacity.

use goldcrestramp_config::{
    DeploymentState, EntityId, EntityKind, EntityRevision, ServiceRules,
};
use goldcrestramp_types::{
    DomainName, FastMap, FastSet, ServiceName, SliceCount,
};

use super::record::RecordDomain;

/// A failure domain that may hold slices of a service.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct DomainShare {
    /// The failure domain.
    pub domain: DomainName,
    /// The total slots of the service's servers there that are not draining.
    pub capacity: u32,
}

/// The rules of one service, as the planner needs them.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ServicePolicy {
    /// The service.
    pub service: ServiceName,
    /// Its number of slices.
    pub count: SliceCount,
    /// The domains that may hold slices and are not lost, in the order of
    /// the configuration.
    pub shares: Vec<DomainShare>,
    /// The domains that an operator has declared lost.
    pub lost: FastSet<DomainName>,
    /// The lost domains whose servers may not know yet that they are lost.
    pub stopping: FastSet<DomainName>,
    /// The last ticket that touched each configured domain.
    pub tickets: FastMap<DomainName, EntityRevision>,
}

impl ServicePolicy {
    /// Derives the rules of `service` from the accepted configuration.
    #[must_use]
    pub fn of(state: &DeploymentState, service: &ServiceRules) -> Self {
        let allowed = state.domains.iter().filter(|domain| {
            let domain_allowed = service.domains.is_empty()
                || service.domains.contains(&domain.name);
            let region_allowed = service.regions.is_empty()
                || service.regions.contains(&domain.region);
            domain_allowed && region_allowed && !domain.lost
        });
        let shares = allowed.map(|domain| DomainShare {
            domain: domain.name.clone(),
            capacity: capacity(state, service, &domain.name),
        });
        let tickets = state.domains.iter().map(|domain| {
            (domain.name.clone(), last_ticket(state, &domain.name))
        });
        let lost = state.domains.iter().filter(|domain| domain.lost);
        Self {
            service: service.name.clone(),
            count: service.slices,
            shares: shares.collect(),
            lost: lost.map(|domain| domain.name.clone()).collect(),
            stopping: FastSet::default(),
            tickets: tickets.collect(),
        }
    }

    /// The last ticket that touched `domain`; the lowest revision if none is
    /// known.
    #[must_use]
    pub fn ticket_of(&self, domain: &DomainName) -> EntityRevision {
        self.tickets.get(domain).copied().unwrap_or_default()
    }

    /// The entry of `domain` for a record, with the last ticket that touched
    /// it.
    pub(super) fn record_domain(&self, domain: &DomainName) -> RecordDomain {
        let ticket = self.ticket_of(domain);
        RecordDomain { name: domain.clone(), ticket }
    }

    /// Whether the rules let `domain` hold slices.
    #[must_use]
    pub fn allows(&self, domain: &DomainName) -> bool {
        self.shares.iter().any(|share| share.domain == *domain)
    }

    /// Returns the same rules with `stopping` as the lost domains that may
    /// still be serving.
    #[must_use]
    pub fn with_stopping(mut self, stopping: FastSet<DomainName>) -> Self {
        self.stopping = stopping;
        self
    }

    /// Whether the slices of `domain` may be taken without its release.
    ///
    /// A domain that was declared lost by mistake serves until it learns of
    /// that. When its slices were taken earlier, they had two owners for
    /// 56 ms. While the planner waits, the domain can release them, and they
    /// then move at once, as in any move.
    #[must_use]
    pub fn may_take_from(&self, domain: &DomainName) -> bool {
        self.is_lost(domain) && !self.stopping.contains(domain)
    }

    /// Whether an operator has declared `domain` lost.
    #[must_use]
    pub fn is_lost(&self, domain: &DomainName) -> bool {
        self.lost.contains(domain)
    }
}

/// The last ticket that touched `domain`.
pub(super) fn last_ticket(
    state: &DeploymentState,
    domain: &DomainName,
) -> EntityRevision {
    state.tickets.last_for(&EntityId::new(EntityKind::Domain, domain.as_str()))
}

/// The total slots of a service's servers in a domain.
fn capacity(
    state: &DeploymentState,
    service: &ServiceRules,
    domain: &DomainName,
) -> u32 {
    let servers = state.servers.iter().filter(|server| {
        server.domain == *domain && state.may_own(service, server)
    });
    servers.fold(0, |sum, server| sum.saturating_add(server.slots))
}

//! From the configuration and the store's records to a domain's plan.

use goldcrestramp_config::{DeploymentState, ServerRules, ServiceRules};
use goldcrestramp_ownership::{DomainPlan, ServerPlan, ServicePlan};
use goldcrestramp_types::{
    DomainName, FastMap, ServiceName, SliceIndex, SliceSet,
};
use serde::{Deserialize, Serialize};

/// Which failure domain holds each slice of a service.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub(crate) struct HomesRecord {
    /// Slices by failure domain; a slice stands with one domain.
    pub(crate) domains: FastMap<DomainName, SliceSet>,
}

/// A service's division among failure domains, as the store has it.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct ServiceHomes {
    pub(crate) service: ServiceName,
    /// The store's version of the record.
    pub(crate) version: u64,
    pub(crate) record: HomesRecord,
}

/// The plan of `domain`; services without a record have no slices yet.
pub(crate) fn domain_plan(
    domain: &DomainName,
    state: &DeploymentState,
    homes: &FastMap<ServiceName, ServiceHomes>,
) -> DomainPlan {
    let services = state.services.iter().map(|rules| {
        let record = homes.get(&rules.name).map(|homes| &homes.record);
        let slices = record.and_then(|r| r.domains.get(domain)).cloned();
        ServicePlan {
            service: rules.name.clone(),
            count: rules.slices,
            slices: slices.unwrap_or_default(),
            leaving: SliceSet::new(),
        }
    });
    let mine = state.servers.iter().filter(|s| s.domain == *domain);
    DomainPlan {
        domain: domain.clone(),
        version: state.version,
        services: services.collect(),
        servers: mine.map(server_plan).collect(),
    }
}

fn server_plan(rules: &ServerRules) -> ServerPlan {
    ServerPlan {
        server: rules.name.clone(),
        service: rules.service.clone(),
        address: rules.address.to_string().into(),
        slots: rules.slots,
        connections: rules.connections,
        checks_fence: rules.checks_fence,
        draining: rules.drain,
    }
}

/// The first division of a service: in proportion to slots, in blocks.
///
/// It is written once, when the service has no record; the planner moves
/// slices from there.
pub(crate) fn first_homes(
    state: &DeploymentState,
    rules: &ServiceRules,
) -> HomesRecord {
    let weights = domain_weights(state, rules);
    let total: u64 = weights.iter().map(|(_, weight)| weight).sum();
    let count = u64::from(rules.slices.get());
    let mut record = HomesRecord::default();
    let (mut seen, mut start) = (0, 0);
    for (domain, weight) in weights {
        seen += weight;
        let end = count * seen / total.max(1);
        let block = (start..end)
            .filter_map(|number| SliceIndex::new(u32::try_from(number).ok()?));
        record.domains.insert(domain, block.collect());
        start = end;
    }
    record
}

/// The slots of a service by failure domain, in the order of names.
fn domain_weights(
    state: &DeploymentState,
    rules: &ServiceRules,
) -> Vec<(DomainName, u64)> {
    let mut domains: Vec<_> = state
        .domains
        .iter()
        .filter(|domain| !domain.lost)
        .filter(|d| {
            rules.domains.is_empty() || rules.domains.contains(&d.name)
        })
        .filter(|d| {
            rules.regions.is_empty() || rules.regions.contains(&d.region)
        })
        .collect();
    domains.sort_by(|left, right| left.name.cmp(&right.name));
    let weigh = |domain: &DomainName| {
        let servers = state.servers.iter().filter(|server| {
            server.domain == *domain
                && server.service == rules.name
                && !server.drain
        });
        servers.map(|server| u64::from(server.slots)).sum()
    };
    let weights =
        domains.into_iter().map(|d| (d.name.clone(), weigh(&d.name)));
    weights.filter(|(_, weight)| *weight > 0).collect()
}

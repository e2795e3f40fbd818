//! Previews the slices that a ticket moves and the capacity that remains.

use std::collections::BTreeMap;

use goldcrestramp_types::{DomainName, ServerName, ServiceName};
use serde::Serialize;

use crate::deployment::{DeploymentState, ServiceRules};

/// The effects of a ticket, shown to operators before they apply it.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct TicketPreview {
    /// The slots of each failure domain, over all services.
    pub domains: Vec<CapacityPreview>,
    /// The services whose capacity or placement changes.
    pub services: Vec<ServicePreview>,
    /// Short sentences about effects that the operator may not intend.
    pub warnings: Vec<String>,
}

/// The slots that may own keys in one failure domain.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct CapacityPreview {
    /// The failure domain.
    pub domain: DomainName,
    /// The number of slots before the ticket.
    pub slots_before: u64,
    /// The number of slots after the ticket.
    pub slots_after: u64,
}

/// The effects on one service.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct ServicePreview {
    /// The service.
    pub service: ServiceName,
    /// The number of slots that may own its keys before the ticket.
    pub slots_before: u64,
    /// The number of slots that may own its keys after the ticket.
    pub slots_after: u64,
    /// The number of slices that move to another server, if each server's
    /// share is proportional to its slots.
    pub slices_moved: u64,
    /// The number of these that move to another failure domain.
    pub slices_between_domains: u64,
    /// The service's slots in each failure domain.
    pub domains: Vec<CapacityPreview>,
}

/// Compares the state before a ticket with the state after it.
#[must_use]
pub fn preview_ticket(
    before: &DeploymentState,
    after: &DeploymentState,
) -> TicketPreview {
    let all = |state: &DeploymentState| {
        let slots = slots_by_server(state, |_| true);
        by_domain(&slots)
    };
    let domains = capacities(&all(before), &all(after));
    let mut names: Vec<&ServiceName> = Vec::new();
    let services = before.services.iter().chain(&after.services);
    names.extend(services.map(|service| &service.name));
    names.sort_unstable();
    names.dedup();
    let services = names.into_iter();
    let services = services.filter_map(|s| service_preview(before, after, s));
    let services: Vec<_> = services.collect();
    let warnings = warnings(before, after, &domains, &services);
    TicketPreview { domains, services, warnings }
}

type ServerSlots = BTreeMap<ServerName, (DomainName, u64)>;

/// Returns the slots of each server that may own keys and whose domain is
/// not declared lost.
fn slots_by_server(
    state: &DeploymentState,
    matches: impl Fn(&ServiceRules) -> bool,
) -> ServerSlots {
    let servers = state.servers.iter().filter(|server| {
        let service = state.service(&server.service);
        let lost = state.domain(&server.domain).is_none_or(|d| d.lost);
        service.is_some_and(|s| matches(s) && state.may_own(s, server))
            && !lost
    });
    let slots = servers.map(|server| {
        let capacity = (server.domain.clone(), u64::from(server.slots));
        (server.name.clone(), capacity)
    });
    slots.collect()
}

fn by_domain(slots: &ServerSlots) -> BTreeMap<DomainName, u64> {
    let mut sums = BTreeMap::new();
    for (domain, slots) in slots.values() {
        *sums.entry(domain.clone()).or_default() += slots;
    }
    sums
}

fn capacities(
    before: &BTreeMap<DomainName, u64>,
    after: &BTreeMap<DomainName, u64>,
) -> Vec<CapacityPreview> {
    let mut domains: Vec<_> = before.keys().chain(after.keys()).collect();
    domains.sort_unstable();
    domains.dedup();
    let of = |side: &BTreeMap<DomainName, u64>, domain: &DomainName| {
        side.get(domain).copied().unwrap_or(0)
    };
    let domains = domains.into_iter().map(|domain| CapacityPreview {
        domain: domain.clone(),
        slots_before: of(before, domain),
        slots_after: of(after, domain),
    });
    domains.collect()
}

fn service_preview(
    before: &DeploymentState,
    after: &DeploymentState,
    service: &ServiceName,
) -> Option<ServicePreview> {
    let old = slots_by_server(before, |s| s.name == *service);
    let new = slots_by_server(after, |s| s.name == *service);
    if old == new {
        return None;
    }
    let slices = after.service(service).or_else(|| before.service(service));
    let slices = slices.map_or(0, |rules| u64::from(rules.slices.get()));
    let slots = |side: &ServerSlots| -> BTreeMap<ServerName, u64> {
        side.iter()
            .map(|(name, capacity)| (name.clone(), capacity.1))
            .collect()
    };
    let (old_domains, new_domains) = (by_domain(&old), by_domain(&new));
    Some(ServicePreview {
        service: service.clone(),
        slots_before: old_domains.values().sum(),
        slots_after: new_domains.values().sum(),
        slices_moved: moved_slices(slices, &slots(&old), &slots(&new)),
        slices_between_domains: moved_slices(
            slices,
            &old_domains,
            &new_domains,
        ),
        domains: capacities(&old_domains, &new_domains),
    })
}

/// Returns how many slices change their owner if each owner's share of
/// `slices` is proportional to its slots; 0 if either side has no slots.
fn moved_slices<T: Ord>(
    slices: u64,
    before: &BTreeMap<T, u64>,
    after: &BTreeMap<T, u64>,
) -> u64 {
    let sum_before: u64 = before.values().sum();
    let sum_after: u64 = after.values().sum();
    if sum_before == 0 || sum_after == 0 {
        return 0;
    }
    let left = before.iter().map(|(owner, slots)| {
        let had = slices * slots / sum_before;
        let has = after.get(owner).copied().unwrap_or(0);
        had.saturating_sub(slices * has / sum_after)
    });
    left.sum()
}

fn warnings(
    before: &DeploymentState,
    after: &DeploymentState,
    domains: &[CapacityPreview],
    services: &[ServicePreview],
) -> Vec<String> {
    let mut warnings = Vec::new();
    for domain in domains.iter().filter(|d| d.slots_after == 0) {
        warnings.push(format!("{} is left without a slot", domain.domain));
    }
    for service in services {
        let name = &service.service;
        let (was, is) = (service.slots_before, service.slots_after);
        let used_domains =
            service.domains.iter().filter(|d| d.slots_after > 0).count();
        if is == 0 {
            warnings.push(format!("{name} is left without a slot"));
        } else if is < was {
            warnings.push(format!("{name} goes from {was} to {is} slots"));
        }
        if used_domains == 1 {
            let note = "stands in one failure domain only";
            warnings.push(format!("{name} {note}"));
        }
    }
    warnings.extend(lost_domains(before, after));
    warnings.extend(idle_servers(after));
    warnings
}

fn lost_domains(
    before: &DeploymentState,
    after: &DeploymentState,
) -> impl Iterator<Item = String> {
    let lost = after.domains.iter().filter(|domain| {
        let previous = before.domain(&domain.name);
        domain.lost && !previous.is_some_and(|previous| previous.lost)
    });
    lost.map(|domain| {
        let name = &domain.name;
        format!(
            "{name} is declared lost: its slices go to other domains; if \
             its servers still run, a key can have two owners"
        )
    })
}

fn idle_servers(state: &DeploymentState) -> impl Iterator<Item = String> {
    let idle = state.servers.iter().filter(|server| {
        let service = state.service(&server.service);
        service.is_none_or(|s| !state.may_own(s, server)) && !server.drain
    });
    idle.map(|server| {
        let (name, service) = (&server.name, &server.service);
        format!("{name} may own no key by the rules of {service}")
    })
}

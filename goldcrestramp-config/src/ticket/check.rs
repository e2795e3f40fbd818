//! Checks a ticket's references, fixed properties, capacity and size.

use std::net::SocketAddr;

use goldcrestramp_types::{DomainName, FastMap, FastSet, RegionName};

use super::{
    ChangeTicket,
    accept::MAX_STATE_BYTES,
    entity::{ConfiguredEntity, EntityId, EntityKind},
    refusal::{RefusalReason, TicketRefusal},
};
use crate::deployment::{DeploymentState, ServerRules, ServiceRules};

/// Returns every reason to refuse `ticket`, which changes `state` to `next`.
pub(super) fn check_change(
    state: &DeploymentState,
    ticket: &ChangeTicket,
    next: &DeploymentState,
) -> Vec<TicketRefusal> {
    let mut check = ChangeCheck { state, ticket, next, refusals: Vec::new() };
    check.entities();
    check.domains();
    check.services();
    check.servers();
    check.removals();
    check.capacity();
    check.size();
    check.refusals
}

struct ChangeCheck<'a> {
    state: &'a DeploymentState,
    ticket: &'a ChangeTicket,
    next: &'a DeploymentState,
    refusals: Vec<TicketRefusal>,
}

impl ChangeCheck<'_> {
    fn refuse(&mut self, path: String, reason: RefusalReason) {
        self.refusals.push(TicketRefusal { path, reason });
    }

    fn entities(&mut self) {
        let entities = self.ticket.entities();
        if entities.is_empty() {
            self.refuse("ticket".to_owned(), RefusalReason::Empty);
        }
        let mut seen = FastSet::default();
        for (path, entity) in entities {
            if !seen.insert(entity.clone()) {
                self.refuse(
                    path,
                    RefusalReason::TouchedTwice { thing: entity },
                );
            }
        }
    }

    fn domains(&mut self) {
        for (index, domain) in self.ticket.domains.iter().enumerate() {
            let previous = self.state.domain(&domain.name);
            if previous.is_some_and(|p| p.region != domain.region) {
                let path = format!("domains[{index}].region");
                self.refuse(path, RefusalReason::RegionFixed);
            }
        }
    }

    fn services(&mut self) {
        for (index, service) in self.ticket.services.iter().enumerate() {
            let previous = self.state.service(&service.name);
            if previous.is_some_and(|p| p.slices != service.slices) {
                let path = format!("services[{index}].slices");
                self.refuse(path, RefusalReason::SlicesFixed);
            }
            self.service_locations(index, service);
        }
    }

    fn service_locations(&mut self, index: usize, service: &ServiceRules) {
        for (place, domain) in service.domains.iter().enumerate() {
            let path = format!("services[{index}].domains[{place}]");
            self.domain_exists(path, domain);
        }
        for (place, region) in service.regions.iter().enumerate() {
            if self.next.domains.iter().all(|d| d.region != *region) {
                let path = format!("services[{index}].regions[{place}]");
                let region: RegionName = region.clone();
                self.refuse(path, RefusalReason::EmptyRegion { region });
            }
        }
    }

    fn domain_exists(&mut self, path: String, domain: &DomainName) {
        if self.next.domain(domain).is_none() {
            let entity = EntityId::new(EntityKind::Domain, domain.as_str());
            self.refuse(path, RefusalReason::Missing { thing: entity });
        }
    }

    fn servers(&mut self) {
        let mut taken = FastMap::<SocketAddr, Vec<EntityId>>::default();
        for server in &self.next.servers {
            taken.entry(server.address).or_default().push(server.id());
        }
        for (index, server) in self.ticket.servers.iter().enumerate() {
            self.server(index, server);
            let own = server.id();
            let others = taken.get(&server.address).into_iter().flatten();
            for by in others.filter(|other| **other != own) {
                let path = format!("servers[{index}].address");
                let by = by.clone();
                self.refuse(path, RefusalReason::AddressTaken { by });
            }
        }
    }

    fn server(&mut self, index: usize, server: &ServerRules) {
        if self.next.service(&server.service).is_none() {
            let name = server.service.as_str();
            let entity = EntityId::new(EntityKind::Service, name);
            let path = format!("servers[{index}].service");
            self.refuse(path, RefusalReason::Missing { thing: entity });
        }
        let path = format!("servers[{index}].domain");
        self.domain_exists(path, &server.domain);
        let previous = self.state.server(&server.name);
        let moved = previous.is_some_and(|previous| {
            previous.service != server.service
                || previous.domain != server.domain
        });
        if moved {
            let path = format!("servers[{index}].name");
            self.refuse(path, RefusalReason::PlaceFixed);
        }
        if server.connections < server.slots {
            let path = format!("servers[{index}].connections");
            self.refuse(path, RefusalReason::TooFewConnections);
        }
    }

    fn removals(&mut self) {
        for (path, entity) in self.ticket.remove.entities() {
            if !self.state.contains(&entity) {
                let reason = RefusalReason::Missing { thing: entity };
                self.refuse(path, reason);
            } else if let Some(by) = self.next.referrer_of(&entity) {
                self.refuse(path, RefusalReason::StillUsed { by });
            }
        }
    }

    /// Refuses a change that leaves a service with servers, but none that may
    /// own keys. A service may have no servers while it is being set up.
    ///
    /// Declaring a domain lost is never refused for this: its capacity is lost
    /// already, and the ticket only records that.
    fn capacity(&mut self) {
        let mut refusals = Vec::new();
        for (path, service) in self.touched_services() {
            let belongs = |s: &&ServerRules| s.service == service.name;
            let had = self.state.servers.iter().any(|s| belongs(&s));
            let has = self.next.servers.iter().any(|s| belongs(&s));
            let mut servers = self.next.servers.iter();
            if (had || has) && !servers.any(|s| self.next.may_own(service, s))
            {
                let service = service.name.clone();
                let reason = RefusalReason::NoCapacity { service };
                refusals.push(TicketRefusal { path, reason });
            }
        }
        self.refusals.extend(refusals);
    }

    fn touched_services(
        &self,
    ) -> impl Iterator<Item = (String, &ServiceRules)> {
        let named = self.ticket.services.iter().enumerate();
        let named =
            named.map(|(n, s)| (&s.name, format!("services[{n}].name")));
        let changed = self.ticket.servers.iter().enumerate();
        let changed =
            changed.map(|(n, s)| (&s.service, format!("servers[{n}].drain")));
        let removed = self.ticket.remove.servers.iter().enumerate();
        let removed = removed.filter_map(|(n, name)| {
            let rules = self.state.server(name)?;
            Some((&rules.service, format!("remove.servers[{n}]")))
        });
        let mut seen = FastSet::default();
        let all = named.chain(changed).chain(removed);
        all.filter_map(move |(name, path)| {
            let first_seen = seen.insert(name);
            let service = self.next.service(name)?;
            first_seen.then_some((path, service))
        })
    }

    fn size(&mut self) {
        let text = serde_json::to_vec(self.next);
        let bytes = text.map_or(usize::MAX, |text| text.len());
        if bytes > MAX_STATE_BYTES {
            let limit = MAX_STATE_BYTES;
            let reason = RefusalReason::TooLarge { bytes, limit };
            self.refuse("ticket".to_owned(), reason);
        }
    }
}

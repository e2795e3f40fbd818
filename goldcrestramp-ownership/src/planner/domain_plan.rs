//! What a failure domain's steward is told.

use std::sync::Arc;

use goldcrestramp_config::{DeploymentState, ServerRules};
use goldcrestramp_types::DomainName;

use super::{policy::last_ticket, record::ServiceRecord};
use crate::plan::{DomainPlan, ServerPlan, ServicePlan};

/// The plan of `domain`, from the configuration and the services' records.
///
/// A service without a record has no slices here: nobody has divided them
/// yet. A domain that is declared lost has none of any.
///
/// `None`: a record does not yet take account of the last ticket about
/// this domain, so the steward goes on with the plan that it has. One that
/// has none waits: when the domain has returned after it was declared
/// lost, a planner that knows only of the loss may be about to give its
/// slices away, and they would be granted in two domains.
#[must_use]
pub fn domain_plan(
    state: &DeploymentState,
    domain: &DomainName,
    records: &[Arc<ServiceRecord>],
) -> Option<DomainPlan> {
    let rules = state.domain(domain)?;
    let ticket = last_ticket(state, domain);
    // A domain that a record does not name holds nothing of the service.
    let current = |record: &Arc<ServiceRecord>| {
        record.ticket_of(domain).is_none_or(|known| known >= ticket)
    };
    if !rules.lost && !records.iter().all(current) {
        return None;
    }
    let services = state.services.iter().map(|service| {
        let mut known = records.iter().filter(|_| !rules.lost);
        let record = known.find(|r| r.service == service.name);
        ServicePlan {
            service: service.name.clone(),
            count: service.slices,
            slices: record.map(|r| r.held_by(domain)).unwrap_or_default(),
            leaving: record.map(|r| r.leaving(domain)).unwrap_or_default(),
        }
    });
    let servers = state.servers.iter().filter(|s| s.domain == *domain);
    Some(DomainPlan {
        domain: domain.clone(),
        version: state.version,
        services: services.collect(),
        servers: servers.map(server_plan).collect(),
    })
}

fn server_plan(server: &ServerRules) -> ServerPlan {
    ServerPlan {
        server: server.name.clone(),
        service: server.service.clone(),
        address: Arc::from(server.address.to_string()),
        slots: server.slots,
        connections: server.connections,
        checks_fence: server.checks_fence,
        draining: server.drain,
    }
}

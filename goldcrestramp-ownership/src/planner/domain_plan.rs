//! What a failure domain's steward is told.

use std::sync::Arc;

use goldcrestramp_config::{DeploymentState, ServerRules};
use goldcrestramp_types::DomainName;

use super::{policy::last_ticket, record::ServiceRecord};
use crate::plan::{DomainPlan, ServerPlan, ServicePlan};

/// Room for the changes of all services' records between two tickets: at a
/// thousand a day, 45 years.
const REVISION_BITS: u32 = 24;

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
        version: plan_version(state, records),
        services: services.collect(),
        servers: servers.map(server_plan).collect(),
    })
}

/// Rises with every ticket and with every change of a service's record.
///
/// A VM that was cut off from the store knows an older state and older
/// records. Did the version rise with tickets alone, voters could not tell
/// its plan from one under which slices have left the domain since, and it
/// could be steward and grant them again. A ticket counts for more than
/// all records, because it may take a service with its record away.
fn plan_version(
    state: &DeploymentState,
    records: &[Arc<ServiceRecord>],
) -> u64 {
    let listed = |r: &&Arc<ServiceRecord>| state.service(&r.service).is_some();
    let listed = records.iter().filter(listed);
    let revisions: u64 = listed.map(|record| record.revision).sum();
    let tickets = state.version.saturating_mul(1 << REVISION_BITS);
    tickets.saturating_add(revisions)
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

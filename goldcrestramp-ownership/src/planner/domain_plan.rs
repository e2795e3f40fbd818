//! The plan of a failure domain, which its steward carries out.

use std::sync::Arc;

use goldcrestramp_config::{DeploymentState, ServerRules};
use goldcrestramp_types::DomainName;

use super::{policy::last_ticket, record::ServiceRecord};
use crate::plan::{DomainPlan, ServerPlan, ServicePlan};

/// The bits of a plan's version that count changes of the services' records
/// between two tickets. They suffice for 45 years at a thousand changes a day.
const REVISION_BITS: u32 = 24;

/// Derives the plan of `domain` from the configuration and the services'
/// records.
///
/// A service without a record has no slices here, because they are not
/// divided yet. A domain that is declared lost has no slices of any service.
///
/// Returns `None` if the configuration does not have the domain, or if a
/// record does not yet take the last ticket about it into account. The steward
/// then keeps the plan that it has, and waits if it has none. The reason is a
/// domain that returns after it was declared lost: a planner that knows only
/// of the loss may be about to reassign its slices, and they would be granted
/// in two domains.
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

/// The version of a plan. It increases with every ticket and with every change
/// of a service's record.
///
/// A VM that was cut off from the store knows an older state and older
/// records. If the version increased with tickets alone, voters could not
/// distinguish its plan from one under which slices have left the domain
/// since. The VM could become steward and grant them again. A ticket counts
/// for more than all records, because it may remove a service together with
/// its record.
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

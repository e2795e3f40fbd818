//! Assigns slices without a target to servers, and applies requested moves.

use std::collections::BTreeMap;

use goldcrestramp_types::{ServerName, SliceIndex, SliceSet};

use crate::{
    plan::{ServicePlan, SliceMove},
    steward::{domain_server::DomainServer, knowledge::StewardKnowledge},
};

type ServerMap = BTreeMap<ServerName, DomainServer>;

/// Sets the targets of a service's servers.
///
/// Nothing is placed until every server has reported, after the previous
/// steward's time, which slices it holds. A server without a report may hold
/// any slice.
pub(super) fn place_service(
    service: &ServicePlan,
    knowledge: &StewardKnowledge,
    owned: &SliceSet,
    servers: &mut ServerMap,
) {
    let names = names_of(service, servers);
    let domain = knowledge.domain_slices(service);
    let reconciled = names.iter().all(|name| servers[name].reconciled);
    let usable = names.iter().any(|name| servers[name].is_eligible());
    let mut free = domain.clone();
    for name in &names {
        let Some(server) = servers.get_mut(name) else {
            continue;
        };
        server.target.intersect_with(&free);
        if reconciled && usable && (server.lost || server.is_leaving()) {
            server.target = SliceSet::new();
        }
        free.subtract(&server.target);
    }
    if !reconciled || !usable || free.is_empty() {
        return;
    }
    if !knowledge.record_read {
        // The record in the store may list further slices as released. Only
        // slices that servers of this domain are known to have held
        // certainly belong to it.
        free.intersect_with(owned);
    }
    let names = eligible(&names, servers);
    restore_holders(&mut free, &names, knowledge, servers);
    spread(&free, &names, servers);
}

fn names_of(service: &ServicePlan, servers: &ServerMap) -> Vec<ServerName> {
    let of_service = servers
        .iter()
        .filter(|(_, server)| server.plan.service == service.service);
    of_service.map(|(name, _)| name.clone()).collect()
}

fn eligible(names: &[ServerName], servers: &ServerMap) -> Vec<ServerName> {
    let usable = names.iter().filter(|name| servers[*name].is_eligible());
    usable.cloned().collect()
}

/// Returns slices to the servers that held them. Their caches are warm, and a
/// restart of the whole domain then moves nothing.
fn restore_holders(
    free: &mut SliceSet,
    names: &[ServerName],
    knowledge: &StewardKnowledge,
    servers: &mut ServerMap,
) {
    let record = &knowledge.record;
    let mut order: Vec<_> =
        names.iter().map(|name| (servers[name].shown_token(), name)).collect();
    order.sort_by(|a, b| b.cmp(a));
    let newer = |token| token > record.token;
    for (_, name) in order.iter().filter(|(token, _)| newer(*token)) {
        restore(free, name, servers[*name].last().cloned(), servers);
    }
    for name in names {
        restore(free, name, record.holders.get(name).cloned(), servers);
    }
    for (_, name) in order.iter().filter(|(token, _)| !newer(*token)) {
        restore(free, name, servers[*name].last().cloned(), servers);
    }
}

fn restore(
    free: &mut SliceSet,
    name: &ServerName,
    held: Option<SliceSet>,
    servers: &mut ServerMap,
) {
    let (Some(mut held), Some(server)) = (held, servers.get_mut(name)) else {
        return;
    };
    held.intersect_with(free);
    free.subtract(&held);
    server.target.union_with(&held);
}

/// Distributes the remaining slices in blocks, in proportion to the servers'
/// slots.
fn spread(free: &SliceSet, names: &[ServerName], servers: &mut ServerMap) {
    if free.is_empty() {
        return;
    }
    let held: usize = names.iter().map(|n| servers[n].target.len()).sum();
    let total = held + free.len();
    let slots = |name: &ServerName| servers[name].plan.slots.max(1) as usize;
    let all: usize = names.iter().map(slots).sum();
    let quotas: Vec<usize> =
        names.iter().map(|n| (total * slots(n)).div_ceil(all)).collect();
    let mut rest = free.iter();
    for (name, quota) in names.iter().zip(quotas) {
        if let Some(server) = servers.get_mut(name) {
            fill(&mut server.target, quota, &mut rest);
        }
    }
    // Quotas are rounded up and every server below its quota was filled, so
    // no slice can remain.
    debug_assert!(rest.next().is_none(), "quotas cover all slices");
}

fn fill(
    target: &mut SliceSet,
    quota: usize,
    rest: &mut impl Iterator<Item = SliceIndex>,
) {
    let room = quota.saturating_sub(target.len());
    for slice in rest.take(room) {
        target.insert(slice);
    }
}

/// Applies a requested move if it can be carried out now. Returns whether it
/// was applied.
pub(super) fn apply_move(wanted: &SliceMove, servers: &mut ServerMap) -> bool {
    let target = servers.get(&wanted.target);
    let fits = target.is_some_and(|server| {
        server.is_eligible() && server.plan.service == wanted.service
    });
    let holds = |server: &&mut DomainServer| {
        server.plan.service == wanted.service
            && server.target.contains(wanted.slice)
    };
    let source = servers.values_mut().find(holds).filter(|_| fits);
    let Some(source) = source else {
        return false;
    };
    if source.plan.server == wanted.target {
        return false;
    }
    source.target.remove(wanted.slice);
    let target = servers.get_mut(&wanted.target);
    target.is_some_and(|server| server.target.insert(wanted.slice))
}

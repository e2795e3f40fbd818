//! The target slices of each server, and the orders that lead to them.

use goldcrestramp_types::{
    FastMap, FenceToken, ServerName, ServiceName, SliceSet,
};

use super::LeadingSteward;
use crate::{
    plan::{DomainPlan, ServicePlan, StrandedCause},
    steward::{
        domain_server::DomainServer, knowledge::StewardKnowledge,
        placement::place_service, publish::record_decisions,
    },
};

impl LeadingSteward {
    /// Updates targets and orders if anything has changed.
    pub(super) fn decide(&mut self, knowledge: &mut StewardKnowledge) {
        let Some(plan) = knowledge.plan.clone() else {
            return;
        };
        if !self.dirty || !self.may_move() {
            return;
        }
        self.dirty = false;
        for service in &plan.services {
            let name = &service.service;
            let owned = self.owned.entry(name.clone()).or_default();
            place_service(service, knowledge, owned, &mut self.servers);
            self.order_service(name);
        }
        self.drop_unlisted();
        self.record_releases(&plan, knowledge);
        self.record_stranded(&plan, knowledge);
        self.sequence += u64::from(knowledge.prune_releases());
        let token =
            FenceToken { term: self.claim.term, sequence: self.sequence };
        record_decisions(token, &self.servers, knowledge);
        self.table.mark_dirty(true);
    }

    /// Updates the order of each server of a service to the slices that it
    /// may hold now.
    ///
    /// A slice that another server may hold is left out until that server
    /// has released it or its grant has certainly lapsed.
    fn order_service(&mut self, service: &ServiceName) {
        let of_service =
            |(_, s): &(&ServerName, &DomainServer)| s.plan.service == *service;
        let names: Vec<ServerName> = self
            .servers
            .iter()
            .filter(of_service)
            .map(|(name, _)| name.clone())
            .collect();
        let unsettled = names
            .iter()
            .filter(|name| !self.servers[*name].reconciled)
            .count();
        let claims = OverlapCount::of(names.iter().map(|n| &self.servers[n]));
        for name in names {
            let server = &self.servers[&name];
            if !server.reconciled {
                continue;
            }
            let mut slices = server.target.clone();
            slices.subtract(&claims.others(&server.bound));
            if unsettled > 0 {
                slices.intersect_with(&server.bound);
            }
            if server.order.slices.as_ref() == Some(&slices) {
                continue;
            }
            let token = self.next_token();
            if let Some(server) = self.servers.get_mut(&name) {
                let before = server.order.slices.take();
                self.moved += gained(before.as_ref(), &slices);
                server.set_order(token, slices);
            }
        }
    }

    /// Removes servers that are no longer configured and hold nothing.
    fn drop_unlisted(&mut self) {
        self.servers.retain(|_, server| {
            server.listed || !server.reconciled || !server.bound.is_empty()
        });
    }

    /// Adds slices that have left the domain to the record.
    fn record_releases(
        &mut self,
        plan: &DomainPlan,
        knowledge: &mut StewardKnowledge,
    ) {
        // First a majority has to refuse stewards with an older plan, because
        // such a steward would grant the slices again.
        if !self.claim.has_floor() {
            self.dirty = true;
            return;
        }
        for service in plan.services.iter().filter(|s| !s.leaving.is_empty()) {
            let mut departed = service.leaving.clone();
            departed.intersect_with(&service.slices);
            let of_service =
                |s: &&DomainServer| s.plan.service == service.service;
            for server in self.servers.values().filter(of_service) {
                if !server.reconciled {
                    departed = SliceSet::new();
                }
                departed.subtract(&server.bound);
            }
            let released = &mut knowledge.record.released;
            let entry = released.entry(service.service.clone()).or_default();
            departed.subtract(entry);
            if !departed.is_empty() {
                entry.union_with(&departed);
                self.sequence += 1;
                self.records.mark_urgent();
            }
        }
    }

    /// Records the services for which the domain has no server left.
    fn record_stranded(
        &mut self,
        plan: &DomainPlan,
        knowledge: &mut StewardKnowledge,
    ) {
        let reconciled = self.servers.values().all(|server| server.reconciled);
        if !reconciled || !knowledge.record_read {
            return;
        }
        let services = plan.services.iter();
        let stranded: FastMap<ServiceName, StrandedCause> = services
            .filter_map(|service| {
                let cause = self.stranded(service)?;
                Some((service.service.clone(), cause))
            })
            .collect();
        if knowledge.record.stranded != stranded {
            knowledge.record.stranded = stranded;
            self.sequence += 1;
            self.records.mark_urgent();
        }
    }

    /// The reason why no server of this domain can be assigned slices of a
    /// service; `None` if one can.
    ///
    /// A server that only lacks a keeper still counts. It gets one within a
    /// second, while a move between domains is permanent.
    fn stranded(&self, service: &ServicePlan) -> Option<StrandedCause> {
        let servers = self.servers.values();
        let mut own = servers
            .filter(|server| server.plan.service == service.service)
            .peekable();
        if own.peek().is_none() && service.slices.is_empty() {
            return None;
        }
        let mut cause = StrandedCause::Lost;
        for server in own {
            if server.is_given_up() {
                continue;
            }
            if !server.is_leaving() {
                return None;
            }
            cause = StrandedCause::Leaving;
        }
        Some(cause)
    }
}

fn gained(before: Option<&SliceSet>, after: &SliceSet) -> u64 {
    let mut gained = after.clone();
    if let Some(before) = before {
        gained.subtract(before);
        return u64::try_from(gained.len()).unwrap_or(u64::MAX);
    }
    0
}

/// The slices that at least one server may hold, and those that several may
/// hold.
struct OverlapCount {
    any: SliceSet,
    several: SliceSet,
}

impl OverlapCount {
    fn of<'a>(servers: impl Iterator<Item = &'a DomainServer>) -> Self {
        let mut any = SliceSet::new();
        let mut several = SliceSet::new();
        for server in servers {
            let mut both = any.clone();
            both.intersect_with(&server.bound);
            several.union_with(&both);
            any.union_with(&server.bound);
        }
        Self { any, several }
    }

    /// The slices that servers other than the one with this bound may hold.
    fn others(&self, bound: &SliceSet) -> SliceSet {
        let mut others = self.any.clone();
        others.subtract(bound);
        others.union_with(&self.several);
        others
    }
}

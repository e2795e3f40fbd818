//! What each server is to hold, and the orders that bring it there.

use goldcrestramp_types::{
    FastMap, FenceToken, ServerName, ServiceName, SliceSet,
};

use super::LeadingSteward;
use crate::{
    plan::{DomainPlan, ServicePlan, StrandedCause},
    steward::{
        knowledge::StewardKnowledge, led::LedServer, placement::place_service,
        publish::note_decisions,
    },
};

impl LeadingSteward {
    /// Sets targets and orders, if anything has changed.
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
        self.note_releases(&plan, knowledge);
        self.note_stranded(&plan, knowledge);
        self.sequence += u64::from(knowledge.forget_releases());
        let token =
            FenceToken { term: self.claim.term, sequence: self.sequence };
        note_decisions(token, &self.servers, knowledge);
        self.table.mark(true);
    }

    /// Orders each server of a service what it may hold now.
    ///
    /// A slice that another server may hold is left out until that one has
    /// released it, or its grant has surely lapsed.
    fn order_service(&mut self, service: &ServiceName) {
        let of_service =
            |(_, s): &(&ServerName, &LedServer)| s.plan.service == *service;
        let names: Vec<ServerName> = self
            .servers
            .iter()
            .filter(of_service)
            .map(|(name, _)| name.clone())
            .collect();
        let unsettled =
            names.iter().filter(|name| !self.servers[*name].settled).count();
        let claims = OverlapCount::of(names.iter().map(|n| &self.servers[n]));
        for name in names {
            let server = &self.servers[&name];
            if !server.settled {
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
                server.instruct(token, slices);
                self.news.extend(server.keeper.clone());
            }
        }
    }

    /// Forgets servers that the configuration dropped and that are empty.
    fn drop_unlisted(&mut self) {
        self.servers.retain(|_, server| {
            server.listed || !server.settled || !server.bound.is_empty()
        });
    }

    /// Puts slices on record that have left the domain.
    fn note_releases(
        &mut self,
        plan: &DomainPlan,
        knowledge: &mut StewardKnowledge,
    ) {
        // First a majority has to refuse whoever does not know of it: a
        // steward with an older plan would grant the slices again.
        if !self.claim.has_floor() {
            self.dirty = true;
            return;
        }
        for service in plan.services.iter().filter(|s| !s.leaving.is_empty()) {
            let mut gone = service.leaving.clone();
            gone.intersect_with(&service.slices);
            let of_service =
                |s: &&LedServer| s.plan.service == service.service;
            for server in self.servers.values().filter(of_service) {
                if !server.settled {
                    gone = SliceSet::new();
                }
                gone.subtract(&server.bound);
            }
            let released = &mut knowledge.record.released;
            let entry = released.entry(service.service.clone()).or_default();
            gone.subtract(entry);
            if !gone.is_empty() {
                entry.union_with(&gone);
                self.sequence += 1;
                self.records.hurry();
            }
        }
    }

    /// Puts on record for which services the domain has no server left.
    fn note_stranded(
        &mut self,
        plan: &DomainPlan,
        knowledge: &mut StewardKnowledge,
    ) {
        let settled = self.servers.values().all(|server| server.settled);
        if !settled || !knowledge.record_read {
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
            self.records.hurry();
        }
    }

    /// Why no server here can be given slices of a service, if none can.
    ///
    /// A server that only lacks a keeper is not given up on: it has one
    /// within a second, while a move between domains is for good.
    fn stranded(&self, service: &ServicePlan) -> Option<StrandedCause> {
        let servers = self.servers.values();
        let mut mine = servers
            .filter(|server| server.plan.service == service.service)
            .peekable();
        if mine.peek().is_none() && service.slices.is_empty() {
            return None;
        }
        let mut cause = StrandedCause::Lost;
        for server in mine {
            if server.is_gone() {
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

/// Which slices may be held by one server, and which by several.
struct OverlapCount {
    any: SliceSet,
    several: SliceSet,
}

impl OverlapCount {
    fn of<'a>(servers: impl Iterator<Item = &'a LedServer>) -> Self {
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

    /// What others than the server with this bound may hold.
    fn others(&self, bound: &SliceSet) -> SliceSet {
        let mut others = self.any.clone();
        others.subtract(bound);
        others.union_with(&self.several);
        others
    }
}

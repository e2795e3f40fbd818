//! What a steward tells others: routing tables and the store's record.

use std::{collections::BTreeMap, sync::Arc};

use goldcrestramp_types::{
    FenceToken, LocalTime, ServerName, SliceSet, TableVersion, TermId,
    TimeSpan,
};

use crate::{
    plan::{DomainPlan, DomainRecord, ServicePlan},
    steward::{
        keepers::KeeperBook, knowledge::StewardKnowledge, led::LedServer,
    },
    table::{DomainTable, ServiceTable, TableServer},
};

type ServerMap = BTreeMap<ServerName, LedServer>;

/// The least time between two writes of the record.
///
/// Moves come in bursts; the store takes a few hundred writes a second
/// from all failure domains together.
const SAVE_EVERY: TimeSpan = TimeSpan::from_millis(500);

/// The least time between two writes when another domain waits for one.
///
/// A release, or the loss of a service's last server: keys may be unserved
/// until it is on record. Ten domains that all give slices away at once
/// write a hundred times a second then.
const SAVE_SOON: TimeSpan = TimeSpan::from_millis(100);

/// When a write that got no answer is made again.
const SAVE_AGAIN: TimeSpan = TimeSpan::from_millis(2_000);

/// Publishes the routing table when it has changed.
#[derive(Clone, Debug, Default)]
pub(super) struct TablePublisher {
    dirty: bool,
    sequence: u64,
    published: Option<Vec<ServiceTable>>,
}

impl TablePublisher {
    pub(super) fn mark(&mut self, changed: bool) {
        self.dirty |= changed;
    }

    /// Whether it may have changed since it was published.
    pub(super) const fn is_due(&self) -> bool {
        self.dirty && self.published.is_some()
    }

    /// The table, if it differs from the last one.
    ///
    /// A new steward that has not heard of every server would name no
    /// owner for what it does not know, and gateways would refuse requests
    /// that the former table still leads to their owner. So it waits.
    pub(super) fn table(
        &mut self,
        term: TermId,
        plan: &DomainPlan,
        servers: &ServerMap,
        keepers: &KeeperBook,
        moving: bool,
    ) -> Option<Arc<DomainTable>> {
        let heard = |s: &LedServer| s.is_known() || s.settled || s.lost;
        let first = self.published.is_none();
        let known = if moving {
            servers.values().all(|server| server.settled || server.lost)
        } else {
            servers.values().all(heard)
        };
        if !self.dirty || (first && !known) {
            return None;
        }
        self.dirty = false;
        let services: Vec<ServiceTable> = plan
            .services
            .iter()
            .map(|service| service_table(service, servers, keepers))
            .collect();
        if self.published.as_ref() == Some(&services) {
            return None;
        }
        self.sequence += 1;
        self.published = Some(services.clone());
        let version = TableVersion { term, sequence: self.sequence };
        let domain = plan.domain.clone();
        Some(Arc::new(DomainTable { domain, version, services }))
    }
}

fn service_table(
    service: &ServicePlan,
    servers: &ServerMap,
    keepers: &KeeperBook,
) -> ServiceTable {
    let count = service.count.get() as usize;
    let mut table = ServiceTable {
        service: service.service.clone(),
        count: service.count,
        servers: Vec::new(),
        owners: vec![None; count],
    };
    for (name, server) in servers {
        let slices = owned_slices(server);
        if server.plan.service != service.service || slices.is_empty() {
            continue;
        }
        let Some(entry) = table_server(name, server, keepers) else {
            continue;
        };
        let position = u16::try_from(table.servers.len()).ok();
        table.servers.push(entry);
        for slice in slices.iter().filter(|s| s.position() < count) {
            table.owners[slice.position()] = position;
        }
    }
    table
}

/// What requests should look for at a server: what it is to hold, and in
/// a takeover what it holds.
fn owned_slices(server: &LedServer) -> &SliceSet {
    if server.order.slices.is_some() {
        return &server.target;
    }
    &server.bound
}

fn table_server(
    name: &ServerName,
    server: &LedServer,
    keepers: &KeeperBook,
) -> Option<TableServer> {
    let vm = server.serving.as_ref()?;
    let keeper = keepers.get(vm)?;
    Some(TableServer {
        server: name.clone(),
        keeper: vm.clone(),
        address: Arc::clone(&keeper.address),
    })
}

/// Brings the domain's record to the store.
#[derive(Clone, Debug, Default)]
pub(super) struct RecordKeeper {
    /// The newest decision that the store has acknowledged.
    saved: FenceToken,
    saved_at: LocalTime,
    /// When a write that is under way is made again.
    again_at: Option<LocalTime>,
    /// Whether another domain waits for what the record says.
    urgent: bool,
    read_at: LocalTime,
}

impl RecordKeeper {
    /// The record to write, if the store lacks it.
    pub(super) fn due(
        &mut self,
        now: LocalTime,
        knowledge: &StewardKnowledge,
    ) -> Option<DomainRecord> {
        if !self.is_due(now, knowledge) {
            return None;
        }
        self.again_at = Some(now + SAVE_AGAIN);
        self.urgent = false;
        Some(knowledge.record.clone())
    }

    /// Whether the store lacks the record and it is time to write it.
    pub(super) fn is_due(
        &self,
        now: LocalTime,
        knowledge: &StewardKnowledge,
    ) -> bool {
        let newer = knowledge.record.token > self.saved;
        let pause = if self.urgent { SAVE_SOON } else { SAVE_EVERY };
        let next_at = self.again_at.unwrap_or(self.saved_at + pause);
        newer && knowledge.record_read && now >= next_at
    }

    /// Another domain waits for the record as it now is.
    pub(super) fn hurry(&mut self) {
        self.urgent = true;
    }

    /// Whether to read the record, which the store has not shown yet.
    pub(super) fn read_due(
        &mut self,
        now: LocalTime,
        knowledge: &StewardKnowledge,
    ) -> bool {
        if knowledge.record_read || now < self.read_at {
            return false;
        }
        self.read_at = now + SAVE_AGAIN;
        true
    }

    /// The store has the record with this token.
    pub(super) fn saved(&mut self, now: LocalTime, token: FenceToken) {
        self.saved = self.saved.max(token);
        self.saved_at = now;
        self.again_at = None;
    }

    /// The store turned out to have an older record: write it again.
    pub(super) fn forget_saved(&mut self) {
        self.saved = FenceToken::default();
        self.saved_at = LocalTime::default();
        self.again_at = None;
    }
}

/// Notes the decisions in force as the newest record.
pub(super) fn note_decisions(
    token: FenceToken,
    servers: &ServerMap,
    knowledge: &mut StewardKnowledge,
) {
    let settled = servers.values().all(|server| server.settled);
    let holding = servers.iter().filter(|(_, s)| !s.target.is_empty());
    // A half-known domain must not overwrite a record of all of it, nor
    // one that the store has not shown yet.
    let read = knowledge.record_read;
    let record = &mut knowledge.record;
    if !settled || !read || token <= record.token {
        return;
    }
    record.token = token;
    record.holders = holding
        .map(|(name, server)| (name.clone(), server.target.clone()))
        .collect();
}

//! The output of a steward: routing tables and the record in the store.

use std::{collections::BTreeMap, sync::Arc};

use goldcrestramp_types::{
    FenceToken, LocalTime, ServerName, SliceSet, TableVersion, TermId,
    TimeSpan,
};

use crate::{
    plan::{DomainPlan, DomainRecord, ServicePlan},
    steward::{
        domain_server::DomainServer, keepers::KeeperTable,
        knowledge::StewardKnowledge,
    },
    table::{DomainTable, ServiceTable, TableServer},
};

type ServerMap = BTreeMap<ServerName, DomainServer>;

/// The minimum interval between two writes of the record.
///
/// Moves occur in bursts, and the store accepts a few hundred writes a second
/// from all failure domains together.
const SAVE_INTERVAL: TimeSpan = TimeSpan::from_millis(500);

/// The minimum interval between two writes when another domain waits for one.
///
/// This is the case after a release or after the loss of a service's last
/// server, when keys may be unserved until the record is written. Ten domains
/// that all release slices at once then write a hundred times a second.
const URGENT_SAVE_INTERVAL: TimeSpan = TimeSpan::from_millis(100);

/// The delay after which a read or write without an answer is retried.
const SAVE_RETRY_DELAY: TimeSpan = TimeSpan::from_millis(2_000);

/// Publishes the routing table when it has changed.
#[derive(Clone, Debug, Default)]
pub(super) struct TablePublisher {
    dirty: bool,
    sequence: u64,
    published: Option<Vec<ServiceTable>>,
}

impl TablePublisher {
    pub(super) fn mark_dirty(&mut self, changed: bool) {
        self.dirty |= changed;
    }

    /// The table, if it differs from the last published one.
    ///
    /// A new steward publishes nothing until every server is known. It
    /// would name no owner for slices of unknown servers, and gateways
    /// would refuse requests that the previous table still routes to their
    /// owner.
    pub(super) fn table(
        &mut self,
        term: TermId,
        plan: &DomainPlan,
        servers: &ServerMap,
        keepers: &KeeperTable,
        moving: bool,
    ) -> Option<Arc<DomainTable>> {
        let heard = |s: &DomainServer| s.is_known() || s.reconciled || s.lost;
        let first = self.published.is_none();
        let known = if moving {
            servers.values().all(|server| server.reconciled || server.lost)
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
    keepers: &KeeperTable,
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

/// The slices for which requests are routed to a server: its target, or
/// during a takeover the slices that it may hold.
fn owned_slices(server: &DomainServer) -> &SliceSet {
    if server.order.slices.is_some() {
        return &server.target;
    }
    &server.bound
}

fn table_server(
    name: &ServerName,
    server: &DomainServer,
    keepers: &KeeperTable,
) -> Option<TableServer> {
    let vm = server.serving.as_ref()?;
    let keeper = keepers.get(vm)?;
    Some(TableServer {
        server: name.clone(),
        keeper: vm.clone(),
        address: Arc::clone(&keeper.address),
    })
}

/// Schedules the reads and writes of the domain's record.
#[derive(Clone, Debug, Default)]
pub(super) struct RecordWriter {
    /// The token of the newest record that the store has acknowledged.
    saved: FenceToken,
    saved_at: LocalTime,
    /// When a write in flight is retried.
    retry_at: Option<LocalTime>,
    /// Whether another domain waits for a change of the record.
    urgent: bool,
    read_at: LocalTime,
}

impl RecordWriter {
    /// The record to write, if the store lacks it and a write is due.
    pub(super) fn due(
        &mut self,
        now: LocalTime,
        knowledge: &StewardKnowledge,
    ) -> Option<DomainRecord> {
        let newer = knowledge.record.token > self.saved;
        let interval =
            if self.urgent { URGENT_SAVE_INTERVAL } else { SAVE_INTERVAL };
        let next_at = self.retry_at.unwrap_or(self.saved_at + interval);
        if !newer || !knowledge.record_read || now < next_at {
            return None;
        }
        self.retry_at = Some(now + SAVE_RETRY_DELAY);
        self.urgent = false;
        Some(knowledge.record.clone())
    }

    /// Makes the next write urgent, because another domain waits for it.
    pub(super) fn mark_urgent(&mut self) {
        self.urgent = true;
    }

    /// Whether to read the record, because it has not been read yet.
    pub(super) fn read_due(
        &mut self,
        now: LocalTime,
        knowledge: &StewardKnowledge,
    ) -> bool {
        if knowledge.record_read || now < self.read_at {
            return false;
        }
        self.read_at = now + SAVE_RETRY_DELAY;
        true
    }

    /// Records that the store has the record with this token.
    pub(super) fn acknowledge(&mut self, now: LocalTime, token: FenceToken) {
        self.saved = self.saved.max(token);
        self.saved_at = now;
        self.retry_at = None;
    }

    /// Makes the record due again, because the store has an older one.
    pub(super) fn reset_saved(&mut self) {
        self.saved = FenceToken::default();
        self.saved_at = LocalTime::default();
        self.retry_at = None;
    }
}

/// Stores the current targets as the newest record.
pub(super) fn record_decisions(
    token: FenceToken,
    servers: &ServerMap,
    knowledge: &mut StewardKnowledge,
) {
    let reconciled = servers.values().all(|server| server.reconciled);
    let holding = servers.iter().filter(|(_, s)| !s.target.is_empty());
    // A partly known domain must not overwrite a complete record, nor one
    // that has not been read yet.
    let read = knowledge.record_read;
    let record = &mut knowledge.record;
    if !reconciled || !read || token <= record.token {
        return;
    }
    record.token = token;
    record.holders = holding
        .map(|(name, server)| (name.clone(), server.target.clone()))
        .collect();
}

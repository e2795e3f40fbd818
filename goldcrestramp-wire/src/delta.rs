//! Delta encoding of the messages of a permit stream.
//!
//! Every keeper reports to its failure domain's steward several times per
//! lease, and nearly always nothing has changed. Full reports of 64 keepers
//! would exceed a node's bandwidth for control messages. The stream is ordered
//! and lossless, so both ends can keep the last message; a new stream starts
//! without one.

use crate::peer::{PermitReply, PermitRequest, ServerOrder, ServerReport};
use goldcrestramp_types::{FastMap, FastSet};

/// The maximum number of servers of one stream. Without it, a peer could make
/// this VM store an unbounded number. A failure domain has some hundreds.
const MAX_SERVERS: usize = 4_096;

/// The part of a message for one server.
pub trait ServerItem: Clone + PartialEq {
    /// Returns the server's name.
    fn server(&self) -> &str;
}

impl ServerItem for ServerReport {
    fn server(&self) -> &str {
        &self.server
    }
}

impl ServerItem for ServerOrder {
    fn server(&self) -> &str {
        &self.server
    }
}

/// The parts of the last message, by server name.
#[derive(Debug)]
struct ItemMap<T> {
    items: FastMap<String, T>,
}

impl<T> Default for ItemMap<T> {
    fn default() -> Self {
        Self { items: FastMap::default() }
    }
}

impl<T: ServerItem> ItemMap<T> {
    /// Stores `full` and returns the changed items and the names of removed
    /// ones.
    fn change(&mut self, full: Vec<T>) -> (Vec<T>, Vec<String>) {
        let names: FastSet<&str> =
            full.iter().map(ServerItem::server).collect();
        let kept = self.items.keys();
        let gone = kept.filter(|name| !names.contains(name.as_str()));
        let gone: Vec<String> = gone.cloned().collect();
        for name in &gone {
            self.items.remove(name);
        }
        let mut changed = Vec::new();
        for item in full {
            if self.items.get(item.server()) == Some(&item) {
                continue;
            }
            self.items.insert(item.server().to_owned(), item.clone());
            changed.push(item);
        }
        (changed, gone)
    }

    /// Applies a change and returns all items, or `None` if there are too
    /// many.
    fn apply(&mut self, changed: Vec<T>, gone: &[String]) -> Option<Vec<T>> {
        for name in gone {
            self.items.remove(name);
        }
        for item in changed {
            self.items.insert(item.server().to_owned(), item);
        }
        if self.items.len() > MAX_SERVERS {
            return None;
        }
        Some(self.items.values().cloned().collect())
    }
}

/// Returns the fields of a report that identify its sender and what it knows,
/// without the servers.
fn without_servers(request: &PermitRequest) -> PermitRequest {
    PermitRequest {
        vm: request.vm.clone(),
        address: request.address.clone(),
        domain: request.domain.clone(),
        start: request.start,
        config_version: request.config_version,
        table: request.table,
        ..PermitRequest::default()
    }
}

/// Encodes the messages that one end of a stream sends.
#[derive(Debug, Default)]
pub struct DeltaEncoder {
    last: PermitRequest,
    reports: ItemMap<ServerReport>,
    orders: ItemMap<ServerOrder>,
}

impl DeltaEncoder {
    /// Returns the report without what the previous one contained.
    pub fn request(&mut self, full: PermitRequest) -> PermitRequest {
        let (servers, gone) = self.reports.change(full.servers);
        let mut delta = PermitRequest { servers, gone, ..full };
        let last = std::mem::replace(&mut self.last, without_servers(&delta));
        if last.start == delta.start && last.vm == delta.vm {
            delta.vm.clear();
            delta.address.clear();
            delta.domain.clear();
            delta.start = 0;
        }
        if last.config_version == delta.config_version {
            delta.config_version = 0;
        }
        if last.table == delta.table {
            delta.table = None;
        }
        delta
    }

    /// Returns the reply without what the previous one contained.
    pub fn reply(&mut self, full: PermitReply) -> PermitReply {
        if !full.permitted {
            return full;
        }
        let (orders, gone) = self.orders.change(full.orders);
        PermitReply { orders, gone, ..full }
    }
}

/// Decodes the messages that one end of a stream receives.
#[derive(Debug, Default)]
pub struct DeltaDecoder {
    last: PermitRequest,
    reports: ItemMap<ServerReport>,
    orders: ItemMap<ServerOrder>,
}

impl DeltaDecoder {
    /// Restores the full report, or returns `None` if it has too many servers.
    pub fn request(&mut self, delta: PermitRequest) -> Option<PermitRequest> {
        let servers = self.reports.apply(delta.servers, &delta.gone)?;
        let mut full = PermitRequest { servers, gone: Vec::new(), ..delta };
        if full.vm.is_empty() {
            full.vm.clone_from(&self.last.vm);
            full.address.clone_from(&self.last.address);
            full.domain.clone_from(&self.last.domain);
            full.start = self.last.start;
        }
        if full.config_version == 0 {
            full.config_version = self.last.config_version;
        }
        full.table = full.table.or(self.last.table);
        self.last = without_servers(&full);
        Some(full)
    }

    /// Restores the full reply, or returns `None` if it has too many servers.
    pub fn reply(&mut self, delta: PermitReply) -> Option<PermitReply> {
        if !delta.permitted {
            return Some(delta);
        }
        let orders = self.orders.apply(delta.orders, &delta.gone)?;
        Some(PermitReply { orders, gone: Vec::new(), ..delta })
    }
}

//! Messages of a permit stream, each as its change from the one before.
//!
//! A failure domain's steward hears from every keeper several times in each
//! lease, and nearly always nothing has changed. Sent whole, the reports of
//! 64 keepers would cost it more bytes than a node may spend on control.
//! The stream is ordered and loses nothing, so both ends can keep the last
//! message; a new stream starts from nothing.

use crate::peer::{PermitReply, PermitRequest, ServerOrder, ServerReport};
use goldcrestramp_types::{FastMap, FastSet};

/// The most servers in one message: a peer could otherwise make this VM
/// keep ever more of them. A failure domain has some hundreds.
const SERVERS_MOST: usize = 4_096;

/// A part of a message that is about one server.
pub trait ServerItem: Clone + PartialEq {
    /// The server's name.
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

/// The parts of the last message, by server.
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
    /// Keeps `whole` and returns what changed, and what is gone.
    fn change(&mut self, whole: Vec<T>) -> (Vec<T>, Vec<String>) {
        let names: FastSet<&str> =
            whole.iter().map(ServerItem::server).collect();
        let kept = self.items.keys();
        let gone = kept.filter(|name| !names.contains(name.as_str()));
        let gone: Vec<String> = gone.cloned().collect();
        for name in &gone {
            self.items.remove(name);
        }
        let mut changed = Vec::new();
        for item in whole {
            if self.items.get(item.server()) == Some(&item) {
                continue;
            }
            self.items.insert(item.server().to_owned(), item.clone());
            changed.push(item);
        }
        (changed, gone)
    }

    /// Applies a change and returns the whole; `None`: it is too large.
    fn apply(&mut self, changed: Vec<T>, gone: &[String]) -> Option<Vec<T>> {
        for name in gone {
            self.items.remove(name);
        }
        for item in changed {
            self.items.insert(item.server().to_owned(), item);
        }
        if self.items.len() > SERVERS_MOST {
            return None;
        }
        Some(self.items.values().cloned().collect())
    }
}

/// The part of a report that says whose it is.
fn identity(request: &PermitRequest) -> PermitRequest {
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

/// The sending end of a stream.
#[derive(Debug, Default)]
pub struct DeltaEncoder {
    last: PermitRequest,
    reports: ItemMap<ServerReport>,
    orders: ItemMap<ServerOrder>,
}

impl DeltaEncoder {
    /// Leaves out of a report what the one before it said.
    pub fn request(&mut self, whole: PermitRequest) -> PermitRequest {
        let (servers, gone) = self.reports.change(whole.servers);
        let mut delta = PermitRequest { servers, gone, ..whole };
        let last = std::mem::replace(&mut self.last, identity(&delta));
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

    /// Leaves out of a reply what the one before it said.
    pub fn reply(&mut self, whole: PermitReply) -> PermitReply {
        if !whole.permitted {
            return whole;
        }
        let (orders, gone) = self.orders.change(whole.orders);
        PermitReply { orders, gone, ..whole }
    }
}

/// The receiving end of a stream.
#[derive(Debug, Default)]
pub struct DeltaDecoder {
    last: PermitRequest,
    reports: ItemMap<ServerReport>,
    orders: ItemMap<ServerOrder>,
}

impl DeltaDecoder {
    /// The whole report; `None`: it has too many servers.
    pub fn request(&mut self, delta: PermitRequest) -> Option<PermitRequest> {
        let servers = self.reports.apply(delta.servers, &delta.gone)?;
        let mut whole = PermitRequest { servers, gone: Vec::new(), ..delta };
        if whole.vm.is_empty() {
            whole.vm.clone_from(&self.last.vm);
            whole.address.clone_from(&self.last.address);
            whole.domain.clone_from(&self.last.domain);
            whole.start = self.last.start;
        }
        if whole.config_version == 0 {
            whole.config_version = self.last.config_version;
        }
        whole.table = whole.table.or(self.last.table);
        self.last = identity(&whole);
        Some(whole)
    }

    /// The whole reply; `None`: it has too many servers.
    pub fn reply(&mut self, delta: PermitReply) -> Option<PermitReply> {
        if !delta.permitted {
            return Some(delta);
        }
        let orders = self.orders.apply(delta.orders, &delta.gone)?;
        Some(PermitReply { orders, gone: Vec::new(), ..delta })
    }
}

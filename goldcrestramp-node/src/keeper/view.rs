//! A snapshot of the servers that this VM keeps and of its send passes.

use std::sync::Arc;

use goldcrestramp_ownership::{PassTable, SendPass, ServerOrder};
use goldcrestramp_types::{LocalTime, ServerName, ServiceName, SliceIndex};

/// An immutable snapshot that the control thread publishes for the traffic
/// threads.
#[derive(Debug, Default)]
pub(crate) struct KeeperView {
    passes: PassTable,
    servers: Vec<Arc<ServerOrder>>,
}

/// A server that this VM keeps, and the pass to send to it.
#[derive(Clone, Debug)]
pub(crate) struct KeptServer {
    pub(crate) order: Arc<ServerOrder>,
    pub(crate) pass: SendPass,
}

impl KeeperView {
    pub(crate) const fn new(
        passes: PassTable,
        servers: Vec<Arc<ServerOrder>>,
    ) -> Self {
        Self { passes, servers }
    }

    /// The order of a server that this VM keeps.
    pub(crate) fn kept(&self, server: &ServerName) -> Option<&ServerOrder> {
        let mut servers = self.servers.iter();
        let order = servers.find(|order| order.server == *server);
        order.map(AsRef::as_ref)
    }

    /// Another server of the same service that this VM keeps.
    pub(crate) fn another(&self, kept: &KeptServer) -> Option<KeptServer> {
        let mut servers = self.servers.iter();
        let other = servers.find(|order| {
            order.service == kept.order.service
                && order.server != kept.order.server
        });
        other.map(|order| KeptServer {
            order: Arc::clone(order),
            pass: kept.pass,
        })
    }

    /// Whether a request on `slice` that was sent to `kept` may still start
    /// there.
    pub(crate) fn is_current(
        &self,
        now: LocalTime,
        kept: &KeptServer,
        slice: SliceIndex,
    ) -> bool {
        let KeptServer { order, pass } = kept;
        self.passes.is_current(now, &order.server, slice, pass)
    }

    /// The server of this VM that may run requests on `slice` now.
    ///
    /// A VM keeps only a few servers, so a linear search is enough.
    pub(crate) fn find(
        &self,
        now: LocalTime,
        service: &ServiceName,
        slice: SliceIndex,
    ) -> Option<KeptServer> {
        let servers = self.servers.iter();
        let mut matching = servers.filter(|order| order.service == *service);
        matching.find_map(|order| {
            let pass = self.passes.pass(now, &order.server, slice).ok()?;
            Some(KeptServer { order: Arc::clone(order), pass })
        })
    }
}

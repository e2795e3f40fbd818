//! The routing table that gateways read: all failure domains in one.

use std::sync::Arc;

use goldcrestramp_ownership::{DomainTable, ServiceTable};
use goldcrestramp_types::{
    DomainName, FastMap, ServerName, ServiceName, SliceCount, SliceIndex,
    VmName,
};

/// Where requests for a slice go.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) struct RouteTarget {
    /// The owner.
    pub(crate) server: ServerName,
    /// Its keeper's VM.
    pub(crate) keeper: VmName,
    /// Where the keeper takes requests.
    pub(crate) address: Arc<str>,
    /// The failure domain of both.
    pub(crate) domain: DomainName,
}

/// The targets of one service's slices.
#[derive(Debug)]
pub(crate) struct ServiceRoutes {
    /// Its number of slices.
    pub(crate) count: SliceCount,
    targets: Vec<RouteTarget>,
    owners: Vec<Option<u16>>,
}

impl ServiceRoutes {
    /// Where requests for `slice` go; `None`: it has no owner now.
    pub(crate) fn target(&self, slice: SliceIndex) -> Option<&RouteTarget> {
        let position = (*self.owners.get(slice.position())?)?;
        self.targets.get(usize::from(position))
    }

    fn overlay(&mut self, domain: &DomainName, table: &ServiceTable) {
        let base = self.targets.len();
        self.targets.extend(table.servers.iter().map(|s| RouteTarget {
            server: s.server.clone(),
            keeper: s.keeper.clone(),
            address: Arc::clone(&s.address),
            domain: domain.clone(),
        }));
        for (mine, theirs) in self.owners.iter_mut().zip(&table.owners) {
            let Some(position) = theirs else {
                continue;
            };
            *mine = u16::try_from(base + usize::from(*position)).ok();
        }
    }
}

/// The routes of every service; immutable, replaced as a whole.
#[derive(Debug, Default)]
pub(crate) struct RoutingTable {
    services: FastMap<ServiceName, ServiceRoutes>,
}

impl RoutingTable {
    /// Lays the failure domains' tables over each other.
    ///
    /// Two domains may both claim a slice for a moment while it moves
    /// between them: a table is a hint, and the wrong keeper redirects.
    pub(crate) fn merge<'a>(
        tables: impl IntoIterator<Item = &'a Arc<DomainTable>>,
    ) -> Self {
        let mut services: FastMap<ServiceName, ServiceRoutes> =
            FastMap::default();
        for table in tables {
            for service in &table.services {
                let routes = services
                    .entry(service.service.clone())
                    .or_insert_with(|| ServiceRoutes {
                        count: service.count,
                        targets: Vec::new(),
                        owners: vec![None; service.count.get() as usize],
                    });
                routes.overlay(&table.domain, service);
            }
        }
        Self { services }
    }

    /// The routes of a service.
    pub(crate) fn service(
        &self,
        name: &ServiceName,
    ) -> Option<&ServiceRoutes> {
        self.services.get(name)
    }
}

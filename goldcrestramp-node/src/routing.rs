//! The routing table that gateways read: all failure domains in one.

use std::sync::Arc;

use goldcrestramp_ownership::{DomainTable, ServiceRecord, ServiceTable};
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

    /// Lays a domain's table over what is there.
    ///
    /// Where another domain claims a slice too, the service's record
    /// decides. A lost domain never publishes that it has nothing any more:
    /// without this its last table would draw requests for ever.
    /// Where the keeper of a server takes requests.
    pub(crate) fn keeper_of(&self, server: &ServerName) -> Option<&Arc<str>> {
        let mut targets = self.targets.iter();
        let target = targets.find(|target| target.server == *server)?;
        Some(&target.address)
    }

    fn overlay(
        &mut self,
        domain: &DomainName,
        table: &ServiceTable,
        record: Option<&ServiceRecord>,
    ) {
        let position = record.and_then(|record| record.position(domain));
        let base = self.targets.len();
        self.targets.extend(table.servers.iter().map(|s| RouteTarget {
            server: s.server.clone(),
            keeper: s.keeper.clone(),
            address: Arc::clone(&s.address),
            domain: domain.clone(),
        }));
        let owners = self.owners.iter_mut().zip(&table.owners);
        for (slice, (mine, theirs)) in owners.enumerate() {
            let Some(theirs) = theirs else {
                continue;
            };
            let holding = record.and_then(|record| record.slices.get(slice));
            let holder = holding.map(|holding| holding.domain);
            if mine.is_some() && holder.is_some() && holder != position {
                continue;
            }
            *mine = u16::try_from(base + usize::from(*theirs)).ok();
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
    /// between them: a table is a hint, and the wrong keeper redirects. Of
    /// two claims the service's record decides.
    pub(crate) fn merge<'a>(
        tables: impl IntoIterator<Item = &'a Arc<DomainTable>>,
        records: &FastMap<ServiceName, Arc<ServiceRecord>>,
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
                let record = records.get(&service.service);
                routes.overlay(
                    &table.domain,
                    service,
                    record.map(Arc::as_ref),
                );
            }
        }
        Self { services }
    }

    /// Whether it sends anybody to this VM.
    pub(crate) fn names(&self, vm: &VmName) -> bool {
        self.services.values().any(|routes| {
            let owners = routes.owners.iter().flatten();
            let mut targets =
                owners.filter_map(|at| routes.targets.get(usize::from(*at)));
            targets.any(|target| target.keeper == *vm)
        })
    }

    /// The routes of a service.
    pub(crate) fn service(
        &self,
        name: &ServiceName,
    ) -> Option<&ServiceRoutes> {
        self.services.get(name)
    }
}

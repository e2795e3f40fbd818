//! The routing table of gateways, merged from all failure domains.

use std::sync::Arc;

use goldcrestramp_ownership::{DomainTable, ServiceRecord, ServiceTable};
use goldcrestramp_types::{
    DomainName, FastMap, ServerName, ServiceName, SliceCount, SliceIndex,
    VmName,
};

/// Where the requests of a slice are sent.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) struct RouteTarget {
    /// The server that owns the slice.
    pub(crate) server: ServerName,
    /// The VM of the server's keeper.
    pub(crate) keeper: VmName,
    /// The address at which the keeper accepts requests.
    pub(crate) address: Arc<str>,
    /// The failure domain of the server and its keeper.
    pub(crate) domain: DomainName,
}

/// The targets of the slices of one service.
#[derive(Debug)]
pub(crate) struct ServiceRoutes {
    /// The number of slices of the service.
    pub(crate) count: SliceCount,
    targets: Vec<RouteTarget>,
    owners: Vec<Option<u16>>,
}

impl ServiceRoutes {
    /// The target of requests for `slice`, or `None` if it has no owner.
    pub(crate) fn target(&self, slice: SliceIndex) -> Option<&RouteTarget> {
        let position = (*self.owners.get(slice.position())?)?;
        self.targets.get(usize::from(position))
    }

    /// The address at which the keeper of a server accepts requests.
    pub(crate) fn keeper_of(&self, server: &ServerName) -> Option<&Arc<str>> {
        let mut targets = self.targets.iter();
        let target = targets.find(|target| target.server == *server)?;
        Some(&target.address)
    }

    /// Adds the targets of a domain's table.
    ///
    /// Where another domain claims a slice too, the service's record
    /// decides. A lost domain never publishes that it owns nothing any more;
    /// without the record, its last table would attract requests forever.
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
        for (slice, (current, claimed)) in owners.enumerate() {
            let Some(claimed) = claimed else {
                continue;
            };
            let assignment =
                record.and_then(|record| record.slices.get(slice));
            let assigned = assignment.map(|assignment| assignment.domain);
            if current.is_some() && assigned.is_some() && assigned != position
            {
                continue;
            }
            *current = u16::try_from(base + usize::from(*claimed)).ok();
        }
    }
}

/// The routes of every service; immutable, and replaced as a whole.
#[derive(Debug, Default)]
pub(crate) struct RoutingTable {
    services: FastMap<ServiceName, ServiceRoutes>,
}

impl RoutingTable {
    /// Merges the tables of the failure domains.
    ///
    /// Two domains may both claim a slice briefly while it moves between
    /// them. That is safe: a table may be out of date, and the wrong keeper
    /// redirects. The service's record decides between two claims.
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

    /// Returns whether any slice is routed to a keeper on this VM.
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

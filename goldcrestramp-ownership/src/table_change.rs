//! Deltas between two versions of a routing table.
//!
//! A move changes one slice of up to 65,536. Without deltas every move would
//! send the full table to every VM of the fleet; a delta takes a few bytes.

use goldcrestramp_types::{DomainName, ServiceName, TableVersion};

use crate::table::{DomainTable, ServiceTable, TableServer};

/// A range of slices, both ends included, that has a new owner.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct OwnerRange {
    /// The first slice.
    pub first: usize,
    /// The last slice.
    pub last: usize,
    /// The index of the owner among the new servers; `None` for no owner.
    pub owner: Option<u16>,
}

/// The changes of one service.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ServiceChange {
    /// The service.
    pub service: ServiceName,
    /// The new servers; `None` if they did not change.
    pub servers: Option<Vec<TableServer>>,
    /// The slices whose owner changed, in ascending order.
    pub ranges: Vec<OwnerRange>,
}

/// The delta from one version of a domain's table to another.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct TableChange {
    /// The failure domain.
    pub domain: DomainName,
    /// The version to which the delta applies.
    pub base: TableVersion,
    /// The version that results.
    pub version: TableVersion,
    /// The services that changed.
    pub services: Vec<ServiceChange>,
}

impl TableChange {
    /// The delta from `old` to `new`.
    ///
    /// Returns `None` if their services differ; then the full table has to be
    /// sent.
    #[must_use]
    pub fn between(old: &DomainTable, new: &DomainTable) -> Option<Self> {
        if old.domain != new.domain || old.services.len() != new.services.len()
        {
            return None;
        }
        let pairs = old.services.iter().zip(&new.services);
        let mut services = Vec::new();
        for (before, after) in pairs {
            if before.service != after.service || before.count != after.count {
                return None;
            }
            if before != after {
                services.push(service_change(before, after));
            }
        }
        Some(Self {
            domain: new.domain.clone(),
            base: old.version,
            version: new.version,
            services,
        })
    }

    /// Applies the delta to `old`.
    ///
    /// Returns `None` if `old` is not the base version or the delta is
    /// invalid.
    #[must_use]
    pub fn apply(&self, old: &DomainTable) -> Option<DomainTable> {
        if old.domain != self.domain || old.version != self.base {
            return None;
        }
        let mut new = old.clone();
        new.version = self.version;
        for change in &self.services {
            let mut services = new.services.iter_mut();
            let service = services.find(|s| s.service == change.service)?;
            apply_service(change, service)?;
        }
        Some(new)
    }
}

fn service_change(old: &ServiceTable, new: &ServiceTable) -> ServiceChange {
    let indices = new_indices(&old.servers, &new.servers);
    let mapped = |owner: Option<u16>| {
        owner.and_then(|index| *indices.get(usize::from(index))?)
    };
    let mut runs: Vec<OwnerRange> = Vec::new();
    let pairs = old.owners.iter().zip(&new.owners).enumerate();
    for (slice, (before, after)) in pairs {
        if mapped(*before) == *after {
            continue;
        }
        match runs.last_mut() {
            Some(run) if run.last + 1 == slice && run.owner == *after => {
                run.last = slice;
            }
            _ => runs.push(OwnerRange {
                first: slice,
                last: slice,
                owner: *after,
            }),
        }
    }
    let same = old.servers == new.servers;
    let servers = (!same).then(|| new.servers.clone());
    ServiceChange { service: new.service.clone(), servers, ranges: runs }
}

fn apply_service(
    change: &ServiceChange,
    service: &mut ServiceTable,
) -> Option<()> {
    if let Some(servers) = &change.servers {
        let indices = new_indices(&service.servers, servers);
        for owner in &mut service.owners {
            let index = owner.map(usize::from);
            *owner = index.and_then(|index| *indices.get(index)?);
        }
        service.servers.clone_from(servers);
    }
    for run in &change.ranges {
        let known = run.owner.map(usize::from);
        if known.is_some_and(|index| index >= service.servers.len()) {
            return None;
        }
        let owners = service.owners.get_mut(run.first..=run.last)?;
        owners.fill(run.owner);
    }
    Some(())
}

/// For each old server its index among the new ones.
fn new_indices(old: &[TableServer], new: &[TableServer]) -> Vec<Option<u16>> {
    let index = |server: &TableServer| {
        let found = new.iter().position(|n| n.server == server.server)?;
        u16::try_from(found).ok()
    };
    old.iter().map(index).collect()
}

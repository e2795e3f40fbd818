//! Conversions of routing tables and of changes to them.

use std::sync::Arc;

use goldcrestramp_ownership::{
    DomainTable, OwnerRange, ServiceChange, ServiceTable, TableChange,
    TableServer,
};
use goldcrestramp_types::{
    DomainName, ServerName, ServiceName, SliceCount, VmName,
};
use goldcrestramp_wire::peer;

use super::{BadMessage, version_in, version_out};

pub(crate) fn table_out(table: &DomainTable) -> peer::TableUpdate {
    peer::TableUpdate {
        domain: table.domain.to_string(),
        version: Some(version_out(table.version)),
        whole: true,
        services: table.services.iter().map(service_out).collect(),
        ..peer::TableUpdate::default()
    }
}

pub(crate) fn table_in(
    update: &peer::TableUpdate,
) -> Result<DomainTable, BadMessage> {
    let services: Result<Vec<_>, _> =
        update.services.iter().map(service_in).collect();
    Ok(DomainTable {
        domain: DomainName::new(&update.domain)?,
        version: version_in(update.version),
        services: services?,
    })
}

pub(crate) fn change_out(change: &TableChange) -> peer::TableUpdate {
    let services = change.services.iter().map(service_change_out);
    peer::TableUpdate {
        domain: change.domain.to_string(),
        version: Some(version_out(change.version)),
        whole: false,
        base: Some(version_out(change.base)),
        services: services.collect(),
        ..peer::TableUpdate::default()
    }
}

fn service_change_out(change: &ServiceChange) -> peer::ServiceTable {
    let servers = change.servers.as_deref().unwrap_or_default();
    let runs = change.ranges.iter().map(|run| peer::TableRun {
        first: u32::try_from(run.first).unwrap_or(u32::MAX),
        last: u32::try_from(run.last).unwrap_or(u32::MAX),
        owner: run.owner.map_or(0, |position| u32::from(position) + 1),
    });
    peer::ServiceTable {
        service: change.service.to_string(),
        slices: 0,
        servers: servers.iter().map(table_server_out).collect(),
        runs: runs.collect(),
        same_servers: change.servers.is_none(),
    }
}

pub(crate) fn change_in(
    update: &peer::TableUpdate,
) -> Result<TableChange, BadMessage> {
    let services: Result<Vec<_>, _> =
        update.services.iter().map(service_change_in).collect();
    Ok(TableChange {
        domain: DomainName::new(&update.domain)?,
        base: version_in(update.base),
        version: version_in(update.version),
        services: services?,
    })
}

fn service_change_in(
    service: &peer::ServiceTable,
) -> Result<ServiceChange, BadMessage> {
    let servers: Result<Vec<_>, _> =
        service.servers.iter().map(table_server_in).collect();
    let runs: Result<Vec<_>, _> =
        service.runs.iter().map(owner_range_in).collect();
    let servers = servers?;
    Ok(ServiceChange {
        service: ServiceName::new(&service.service)?,
        servers: (!service.same_servers).then_some(servers),
        ranges: runs?,
    })
}

fn owner_range_in(run: &peer::TableRun) -> Result<OwnerRange, BadMessage> {
    let owner = match run.owner.checked_sub(1) {
        Some(position) => {
            Some(u16::try_from(position).map_err(|_error| BadMessage)?)
        }
        None => None,
    };
    let (first, last) = (run.first as usize, run.last as usize);
    if last < first {
        return Err(BadMessage);
    }
    Ok(OwnerRange { first, last, owner })
}

fn table_server_out(server: &TableServer) -> peer::TableServer {
    peer::TableServer {
        server: server.server.to_string(),
        vm: server.keeper.to_string(),
        address: server.address.to_string(),
    }
}

fn table_server_in(
    server: &peer::TableServer,
) -> Result<TableServer, BadMessage> {
    Ok(TableServer {
        server: ServerName::new(&server.server)?,
        keeper: VmName::new(&server.vm)?,
        address: Arc::from(server.address.as_str()),
    })
}

fn service_out(service: &ServiceTable) -> peer::ServiceTable {
    let servers = service.servers.iter().map(table_server_out);
    peer::ServiceTable {
        service: service.service.to_string(),
        slices: service.count.get(),
        servers: servers.collect(),
        runs: runs_out(&service.owners),
        same_servers: false,
    }
}

/// Encodes owners as runs: adjacent slices of one owner become one run, and
/// slices without an owner are left out.
fn runs_out(owners: &[Option<u16>]) -> Vec<peer::TableRun> {
    let mut runs: Vec<peer::TableRun> = Vec::new();
    for (slice, owner) in (0_u32..).zip(owners) {
        let owner = owner.map_or(0, |position| u32::from(position) + 1);
        match runs.last_mut() {
            Some(run) if run.owner == owner => run.last = slice,
            _ => {
                runs.push(peer::TableRun { first: slice, last: slice, owner });
            }
        }
    }
    runs.retain(|run| run.owner != 0);
    runs
}

fn service_in(
    service: &peer::ServiceTable,
) -> Result<ServiceTable, BadMessage> {
    let count = SliceCount::new(service.slices).ok_or(BadMessage)?;
    let mut owners = vec![None; count.get() as usize];
    for run in &service.runs {
        let owner = run.owner.checked_sub(1).ok_or(BadMessage)?;
        let owner = u16::try_from(owner).map_err(|_error| BadMessage)?;
        if usize::from(owner) >= service.servers.len() {
            return Err(BadMessage);
        }
        let run = run.first as usize..=run.last as usize;
        let slots = owners.get_mut(run).ok_or(BadMessage)?;
        slots.fill(Some(owner));
    }
    let servers: Result<Vec<_>, _> =
        service.servers.iter().map(table_server_in).collect();
    Ok(ServiceTable {
        service: ServiceName::new(&service.service)?,
        count,
        servers: servers?,
        owners,
    })
}

//! Builds the reports for operators from the control state; pure functions.

use goldcrestramp_config::{DeploymentState, NodeSettings, ServiceRules};
use goldcrestramp_ownership::{DomainTable, ServiceTable, TableServer};
use goldcrestramp_types::{
    DomainName, FenceToken, LocalTime, RegionName, ServiceName, SliceIndex,
    VmName, slice_of,
};

use super::report::{
    DomainReport, ExplainReport, HeardReport, KeepReport, LeavingReport,
    MoveReport, NodeReport, ServerReport, StatusReport, StewardReport,
    StewardView,
};
use crate::control::{ControlStatus, VmVersions};

/// The part of the status that the traffic threads know.
#[derive(Debug, Default)]
pub(super) struct TrafficState {
    pub(super) leaving: bool,
    pub(super) requests: u64,
    pub(super) refused: Vec<(String, u64)>,
    pub(super) unknown: Vec<(String, u64)>,
    pub(super) retried: Vec<(String, u64)>,
}

/// The report of a VM at `now`, from a control state read shortly before.
pub(super) fn status_report(
    settings: &NodeSettings,
    traffic: TrafficState,
    status: &ControlStatus,
    view: Option<StewardView>,
    now: LocalTime,
) -> StatusReport {
    let config = status.config.as_deref();
    let tickets = config.map(|config| &config.tickets.recent);
    let last = tickets.and_then(|t| t.last_key_value());
    StatusReport {
        deployment: settings.deployment.clone(),
        vm: settings.vm.clone(),
        domain: settings.domain.clone(),
        region: settings.region.clone(),
        age_ms: now.since(status.taken).as_millis(),
        leaving: traffic.leaving,
        requests: traffic.requests,
        config_version: config.map_or(0, |config| config.version),
        last_ticket: last.map(|(number, _)| *number),
        steward: steward_report(settings, status),
        domains: domain_reports(status, view.as_ref(), now),
        keeps: keep_reports(status, now),
        view,
        moving: leaving_reports(status),
        refused: traffic.refused,
        unknown: traffic.unknown,
        retried: traffic.retried,
    }
}

fn steward_report(
    settings: &NodeSettings,
    status: &ControlStatus,
) -> StewardReport {
    let steward = &status.steward;
    let here = steward.leading;
    let seen = status.steward_seen.as_ref().map(|(vm, _)| vm.clone());
    StewardReport {
        vm: if here { Some(settings.vm.to_string()) } else { seen },
        here,
        term: steward.term,
    }
}

/// The view of this VM as steward; `None` if it is not the steward.
pub(crate) fn steward_view(
    vm: &VmName,
    status: &ControlStatus,
    now: LocalTime,
) -> Option<StewardView> {
    let steward = &status.steward;
    if !steward.leading {
        return None;
    }
    let moves = MoveReport {
        may_move: steward.may_move,
        moving: steward.moving as u64,
        moved: steward.moved,
    };
    let heard = status.heard.iter().map(|(domain, at)| HeardReport {
        domain: domain.clone(),
        heard_ms: now.since(*at).as_millis(),
    });
    let mut heard: Vec<_> = heard.collect();
    heard.sort_unstable_by(|a, b| a.domain.cmp(&b.domain));
    Some(StewardView {
        vm: vm.clone(),
        age_ms: now.since(status.taken).as_millis(),
        deadline_left_ms: steward.until.since(now).as_millis(),
        moves,
        nodes: node_reports(vm, status, now),
        servers: server_reports(status),
        heard,
    })
}

fn node_reports(
    own: &VmName,
    status: &ControlStatus,
    now: LocalTime,
) -> Vec<NodeReport> {
    let newest = status.versions;
    let report = |vm: &VmName, versions: VmVersions, heard: LocalTime| {
        let behind = versions.config < newest.config;
        NodeReport {
            vm: vm.clone(),
            config_version: versions.config,
            table: versions.table,
            heard_ms: now.since(heard).as_millis(),
            lags: behind || versions.table < newest.table,
        }
    };
    let others = status.seen.iter().filter(|(vm, _)| vm != own);
    let others =
        others.map(|(vm, seen)| report(vm, seen.versions, seen.heard));
    let mut nodes: Vec<_> = others.collect();
    nodes.push(report(own, newest, status.taken));
    nodes.sort_unstable_by(|a, b| a.vm.cmp(&b.vm));
    nodes
}

/// Slices that are moving between failure domains.
fn leaving_reports(status: &ControlStatus) -> Vec<LeavingReport> {
    let names = status.tables.keys();
    let pairs = status
        .homes
        .iter()
        .flat_map(|record| names.clone().map(move |name| (record, name)));
    let reports = pairs.map(|(record, domain)| LeavingReport {
        service: record.service.clone(),
        domain: domain.clone(),
        slices: record.leaving(domain).len() as u64,
    });
    let mut reports: Vec<_> = reports.filter(|r| r.slices > 0).collect();
    reports.sort_unstable_by(|a, b| {
        (&a.service, &a.domain).cmp(&(&b.service, &b.domain))
    });
    reports
}

/// The time since a domain's table was last known to be the newest, in
/// milliseconds.
///
/// This VM may have followed the domain as a steward, or learned of it from
/// its steward; the more recent of both counts.
fn table_age(
    status: &ControlStatus,
    view: Option<&StewardView>,
    domain: &DomainName,
    now: LocalTime,
) -> Option<u64> {
    let own = status.heard.get(domain);
    let own = own.map(|heard| now.since(*heard).as_millis());
    let from_view = view.and_then(|view| {
        let mut heard = view.heard.iter();
        let heard = heard.find(|heard| heard.domain == *domain)?;
        Some(view.age_ms + heard.heard_ms)
    });
    [own, from_view].into_iter().flatten().min()
}

fn domain_reports(
    status: &ControlStatus,
    view: Option<&StewardView>,
    now: LocalTime,
) -> Vec<DomainReport> {
    let config = status.config.as_deref();
    let rules = config.map_or(&[][..], |config| &config.domains);
    let mut names: Vec<_> = rules.iter().map(|d| &d.name).collect();
    names.extend(status.tables.keys());
    names.sort_unstable();
    names.dedup();
    let reports = names.into_iter().map(|name| {
        let table = status.tables.get(name);
        let owned = table.map_or(0, |table| owned_slices(table));
        DomainReport {
            domain: name.clone(),
            lost: rules.iter().any(|d| d.name == *name && d.lost),
            table: table.map(|table| table.version),
            age_ms: table_age(status, view, name, now),
            owned_slices: owned,
        }
    });
    reports.collect()
}

fn owned_slices(table: &DomainTable) -> u64 {
    let owners = table.services.iter().flat_map(|s| &s.owners);
    owners.flatten().count() as u64
}

fn keep_reports(status: &ControlStatus, now: LocalTime) -> Vec<KeepReport> {
    let keeps = status.keeps.iter().map(|(server, until)| KeepReport {
        server: server.clone(),
        permit_left_ms: until.since(now).as_millis(),
    });
    let mut keeps: Vec<_> = keeps.collect();
    keeps.sort_by(|a, b| a.server.cmp(&b.server));
    keeps
}

fn server_reports(status: &ControlStatus) -> Vec<ServerReport> {
    let steward = &status.steward;
    let servers = steward.holders.iter().map(|(server, slices)| {
        let pending = steward.due.get(server).copied().unwrap_or_default();
        ServerReport {
            server: server.clone(),
            keeper: steward.keepers.get(server).cloned(),
            slices: slices.len() as u64,
            gains: pending.gains as u64,
            releases: pending.releases as u64,
            token: steward.tokens.get(server).copied(),
        }
    });
    let mut servers: Vec<_> = servers.collect();
    servers.sort_by(|a, b| a.server.cmp(&b.server));
    servers
}

/// Reports the owner of `key`; `None` if the configuration has no such
/// service.
///
/// `token` returns the token of a slice if this VM is the keeper of its
/// owner. Otherwise it is read from the steward's view, which has it if the
/// owner is in this failure domain.
pub(super) fn explain_report(
    settings: &NodeSettings,
    status: &ControlStatus,
    view: Option<&StewardView>,
    service: &ServiceName,
    key: &str,
    token: impl Fn(SliceIndex) -> Option<FenceToken>,
    now: LocalTime,
) -> Option<ExplainReport> {
    let config = status.config.as_deref()?;
    let rules = config.service(service)?;
    let slice = slice_of(key.as_bytes(), rules.slices);
    let found = find_owner(status, service, slice);
    let table = found.map(|(table, _)| table);
    let owner = found.map(|(_, owner)| owner);
    Some(ExplainReport {
        vm: settings.vm.clone(),
        age_ms: now.since(status.taken).as_millis(),
        service: service.clone(),
        key: key.to_owned(),
        slice: u32::from(slice.get()),
        slices: rules.slices.get(),
        domain: table.map(|table| table.domain.clone()),
        server: owner.map(|owner| owner.server.clone()),
        keeper: owner.map(|owner| owner.keeper.clone()),
        token: token(slice).or_else(|| token_from_view(view?, owner?)),
        table: table.map(|table| table.version),
        why: reasons(config, rules, status, found),
    })
}

fn token_from_view(
    view: &StewardView,
    owner: &TableServer,
) -> Option<FenceToken> {
    let mut servers = view.servers.iter();
    servers.find(|server| server.server == owner.server)?.token
}

type FoundOwner<'a> = Option<(&'a DomainTable, &'a TableServer)>;

/// Finds the owner in the table with the highest version that names one.
///
/// Two tables may both name an owner briefly while a slice moves between
/// domains.
fn find_owner<'a>(
    status: &'a ControlStatus,
    service: &ServiceName,
    slice: SliceIndex,
) -> FoundOwner<'a> {
    let tables = status.tables.values().map(|table| &**table);
    let found = tables.filter_map(|table| {
        let service_table =
            table.services.iter().find(|s| s.service == *service)?;
        Some((table, owner_in(service_table, slice)?))
    });
    found.max_by_key(|(table, _)| table.version)
}

fn owner_in(
    service_table: &ServiceTable,
    slice: SliceIndex,
) -> Option<&TableServer> {
    let position = (*service_table.owners.get(slice.position())?)?;
    service_table.servers.get(usize::from(position))
}

fn reasons(
    config: &DeploymentState,
    rules: &ServiceRules,
    status: &ControlStatus,
    found: FoundOwner<'_>,
) -> Vec<String> {
    let mut why = vec![placement(rules)];
    let Some((table, owner)) = found else {
        why.push(no_owner(config, rules, status));
        return why;
    };
    let servers = config.servers.iter();
    let eligible = servers
        .filter(|s| s.domain == table.domain && config.may_own(rules, s));
    let count = eligible.count();
    why.push(format!(
        "{} of its servers in {} may own keys, shares follow slots",
        count, table.domain
    ));
    match config.server(&owner.server) {
        None => why.push(format!("{} is no longer configured", owner.server)),
        Some(rules) if rules.drain => {
            why.push(format!("{} drains, its slices move", owner.server));
        }
        Some(_) => {}
    }
    why
}

fn placement(rules: &ServiceRules) -> String {
    if rules.domains.is_empty() && rules.regions.is_empty() {
        return format!("{} may be owned in every domain", rules.name);
    }
    let domains: Vec<_> =
        rules.domains.iter().map(DomainName::as_str).collect();
    let regions: Vec<_> =
        rules.regions.iter().map(RegionName::as_str).collect();
    format!(
        "{} may be owned in domains [{}], regions [{}]; empty is all",
        rules.name,
        domains.join(", "),
        regions.join(", ")
    )
}

fn no_owner(
    config: &DeploymentState,
    rules: &ServiceRules,
    status: &ControlStatus,
) -> String {
    let mut servers = config.servers.iter();
    if !servers.any(|server| config.may_own(rules, server)) {
        return "no configured server may own it".to_owned();
    }
    let missing: Vec<_> = config
        .domains
        .iter()
        .filter(|d| !status.tables.contains_key(&d.name))
        .map(|d| d.name.as_str())
        .collect();
    if missing.is_empty() {
        "no table names an owner: it moves, or its owner was lost".to_owned()
    } else {
        format!("no table has come from {}", missing.join(", "))
    }
}

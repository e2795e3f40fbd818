//! The traffic thread's view of the fleet.

use std::{net::SocketAddr, sync::Arc};

use goldcrestramp_adapter::{
    FleetConfiguration, RequestRoute, SERVER_PREFIX, ServerEntry, ServerPhase,
    TrafficLimits,
};
use goldcrestramp_assignment::{AssignmentTable, ServerInstance};
use goldcrestramp_types::{FastMap, LocalTime, TimeSpan};

use crate::{
    configuration::ConfigurationVersion,
    mirror::{MirrorValue, StoreMirror},
    records::{TABLE_PREFIX, VM_PREFIX, VmInstance, decode},
};

/// How long a removed entry is remembered. By then its keys have moved to
/// other servers and its requests have ended.
const REMOVED_RETENTION: TimeSpan = TimeSpan::from_millis(60_000);

/// The routes of one configuration, prepared for lookup.
#[derive(Debug)]
pub struct RouteTable {
    /// The configuration's version.
    pub version: u64,
    /// Limits on requests of callers.
    pub limits: TrafficLimits,
    /// Whether each service is sharded.
    sharded: FastMap<Arc<str>, bool>,
    /// The routes of each host, longest path prefix first.
    hosts: FastMap<Arc<str>, Vec<Arc<RequestRoute>>>,
}

impl RouteTable {
    fn new(configuration: &FleetConfiguration) -> Self {
        let mut hosts: FastMap<Arc<str>, Vec<Arc<RequestRoute>>> =
            FastMap::default();
        for route in configuration.routes.values() {
            let host = lower_case(&route.host);
            hosts.entry(host).or_default().push(Arc::clone(route));
        }
        for routes in hosts.values_mut() {
            routes.sort_by_key(|route| {
                std::cmp::Reverse(route.path_prefix.len())
            });
        }
        let services = configuration.services.iter();
        Self {
            version: configuration.version,
            limits: configuration.limits,
            sharded: services
                .map(|(name, shape)| (Arc::clone(name), shape.sharded))
                .collect(),
            hosts,
        }
    }

    /// Finds the route of a request: the one of its host with the longest
    /// prefix of its path.
    #[must_use]
    pub fn find(&self, host: &str, path: &str) -> Option<&Arc<RequestRoute>> {
        let name = host.rsplit_once(':').map_or(host, |(name, _port)| name);
        let routes = match self.hosts.get(name) {
            Some(routes) => routes,
            None => self.hosts.get(name.to_ascii_lowercase().as_str())?,
        };
        routes.iter().find(|route| path.starts_with(&*route.path_prefix))
    }

    /// Whether a service's keys have one owner each.
    #[must_use]
    pub fn is_sharded(&self, service: &str) -> bool {
        self.sharded.get(service).copied().unwrap_or(false)
    }

    /// The sharded services.
    pub fn sharded(&self) -> impl Iterator<Item = &Arc<str>> {
        let services = self.sharded.iter();
        services.filter(|(_, sharded)| **sharded).map(|(name, _)| name)
    }
}

/// The host in lower case; shares the string if it is lower case already.
fn lower_case(host: &Arc<str>) -> Arc<str> {
    if host.bytes().any(|byte| byte.is_ascii_uppercase()) {
        return host.to_ascii_lowercase().into();
    }
    Arc::clone(host)
}

/// A snapshot of the fleet.
#[derive(Clone, Debug, Default)]
pub struct FleetView {
    /// The routes of the operators' configuration, once it is known.
    pub routes: Option<Arc<RouteTable>>,
    /// The servers with an entry, by id. A server is left out if another has
    /// started at its address since, because it has ended.
    pub servers: FastMap<Arc<str>, Arc<ServerEntry>>,
    /// The server that started last at each address.
    pub latest_by_address: AddressMap,
    /// The servers that accept new work, by service.
    pub ready: FastMap<Arc<str>, Vec<Arc<ServerEntry>>>,
    /// The servers that are draining or have no entry any more, by id, with
    /// the earliest time at which the store may have accepted that change.
    pub leaving: FastMap<Arc<str>, LocalTime>,
    /// The assignment tables of sharded services.
    pub tables: FastMap<Arc<str>, Arc<AssignmentTable>>,
    /// The VMs with an entry.
    pub vms: Vec<VmInstance>,
}

/// The server that started last at each address.
pub type AddressMap = FastMap<SocketAddr, Arc<ServerEntry>>;

fn latest_by_address<'a>(
    entries: impl Iterator<Item = &'a Arc<ServerEntry>>,
) -> AddressMap {
    let mut latest_by_address = AddressMap::default();
    for entry in entries {
        let last = latest_by_address.entry(entry.address);
        let last = last.or_insert_with(|| Arc::clone(entry));
        if entry.started_ms > last.started_ms {
            *last = Arc::clone(entry);
        }
    }
    latest_by_address
}

/// Whether a server other than `id`, which started at `started_ms`, has
/// started at the same address since.
///
/// An address is reassigned only after its server has ended, but the entry of
/// that server may remain until its missing heartbeats are detected.
fn is_superseded(
    latest_by_address: &AddressMap,
    address: SocketAddr,
    id: &str,
    started_ms: u64,
) -> bool {
    latest_by_address
        .get(&address)
        .is_some_and(|last| *last.id != *id && last.started_ms > started_ms)
}

impl FleetView {
    /// Whether another server has started at the address of `instance` since.
    #[must_use]
    pub fn has_successor(&self, instance: &ServerInstance) -> bool {
        let ServerInstance { id, started_ms, address } = instance;
        is_superseded(&self.latest_by_address, *address, id, *started_ms)
    }

    /// The number of VMs in a failure domain, at least 1.
    #[must_use]
    pub fn vms_in(&self, domain: &str) -> usize {
        let inside = self.vms.iter().filter(|vm| *vm.domain == *domain);
        inside.count().max(1)
    }
}

/// Parsed values by key. A value is parsed again only if its revision has
/// changed.
#[derive(Debug)]
struct ParsedItems<Value>(FastMap<Arc<str>, (u64, Option<Value>)>);

impl<Value> Default for ParsedItems<Value> {
    fn default() -> Self {
        Self(FastMap::default())
    }
}

impl<Value: Clone + PartialEq> ParsedItems<Value> {
    /// Reads the items; returns whether any parsed value has changed.
    fn read<'a>(
        &mut self,
        items: impl Iterator<Item = (&'a Arc<str>, &'a MirrorValue)>,
        parse: impl Fn(&str, &[u8]) -> Option<Value>,
    ) -> bool {
        let mut next = FastMap::default();
        let mut changed = false;
        for (key, item) in items {
            let entry = match self.0.remove(key) {
                Some(known) if known.0 == item.revision => known,
                known => {
                    let value = parse(key, &item.value);
                    changed |= known.and_then(|known| known.1) != value;
                    (item.revision, value)
                }
            };
            next.insert(Arc::clone(key), entry);
        }
        changed |= self.0.values().any(|(_, value)| value.is_some());
        self.0 = next;
        changed
    }

    fn values(&self) -> impl Iterator<Item = (&Arc<str>, &Value)> + Clone {
        let items = self.0.iter();
        items.filter_map(|(key, (_, value))| Some((key, value.as_ref()?)))
    }
}

/// Builds views from the mirror.
#[derive(Debug, Default)]
pub struct ViewBuilder {
    routes: Option<(u64, Arc<RouteTable>)>,
    servers: ParsedItems<Arc<ServerEntry>>,
    tables: ParsedItems<Arc<AssignmentTable>>,
    vms: ParsedItems<VmInstance>,
    leaving: FastMap<Arc<str>, LocalTime>,
    present: FastMap<Arc<str>, Arc<ServerEntry>>,
    latest_by_address: AddressMap,
}

impl ViewBuilder {
    /// Builds a view from the mirror and the newest configuration; returns
    /// `None` if it has not changed. Changes are dated `since`, the earliest
    /// time at which they may have happened.
    ///
    /// Heartbeats of servers change the store all the time but carry no new
    /// information. A view for each would wake every waiting request.
    pub fn build(
        &mut self,
        now: LocalTime,
        since: LocalTime,
        mirror: &StoreMirror,
        configuration: Option<&ConfigurationVersion>,
    ) -> Option<FleetView> {
        let routes = configuration.is_some_and(|newest| self.activate(newest));
        let servers =
            self.servers.read(mirror.range(SERVER_PREFIX), |key, value| {
                ServerEntry::parse(key, value).map(Arc::new)
            });
        let tables =
            self.tables.read(mirror.range(TABLE_PREFIX), |_key, value| {
                AssignmentTable::decode(value).ok().map(Arc::new)
            });
        let vms = self
            .vms
            .read(mirror.range(VM_PREFIX), |_key, value| decode(value));
        if servers {
            self.update_leaving(now, since);
        }
        (routes || servers || tables || vms).then(|| self.view())
    }

    fn view(&self) -> FleetView {
        let mut ready: FastMap<_, Vec<_>> = FastMap::default();
        for entry in self.present.values() {
            if entry.phase == ServerPhase::Ready {
                let list = ready.entry(Arc::clone(&entry.service));
                list.or_default().push(Arc::clone(entry));
            }
        }
        let tables = self.tables.values().map(|(key, table)| {
            (key[TABLE_PREFIX.len()..].into(), Arc::clone(table))
        });
        FleetView {
            routes: self.routes.as_ref().map(|(_, routes)| Arc::clone(routes)),
            servers: self.present.clone(),
            latest_by_address: self.latest_by_address.clone(),
            ready,
            leaving: self.leaving.clone(),
            tables: tables.collect(),
            vms: self.vms.values().map(|(_, vm)| vm.clone()).collect(),
        }
    }

    /// Activates a configuration if it is newer than the current one.
    fn activate(&mut self, newest: &ConfigurationVersion) -> bool {
        let ConfigurationVersion { revision, configuration } = newest;
        let known = self.routes.as_ref().map_or(0, |(known, _)| *known);
        if *revision <= known {
            return false;
        }
        self.routes =
            Some((*revision, Arc::new(RouteTable::new(configuration))));
        log::info!(
            "[control] Configuration {} is in force; it was written at \
             revision {revision}.",
            configuration.version
        );
        true
    }

    /// Records since when servers are draining or without an entry.
    fn update_leaving(&mut self, now: LocalTime, since: LocalTime) {
        let entries = self.servers.values().map(|(_, entry)| entry);
        let latest_by_address = latest_by_address(entries.clone());
        let servers: FastMap<Arc<str>, Arc<ServerEntry>> = entries
            .filter(|entry| {
                let ServerEntry { address, id, started_ms, .. } = &***entry;
                !is_superseded(&latest_by_address, *address, id, *started_ms)
            })
            .map(|entry| (Arc::clone(&entry.id), Arc::clone(entry)))
            .collect();
        for (id, known) in &self.present {
            let same = servers
                .get(id)
                .is_some_and(|entry| entry.started_ms == known.started_ms);
            if !same && !self.leaving.contains_key(id) {
                log::info!("[control] The entry of server {id} is gone.");
                self.leaving.insert(Arc::clone(id), since);
            }
        }
        for (id, entry) in &servers {
            match entry.phase {
                ServerPhase::Ready => {
                    self.leaving.remove(id);
                }
                ServerPhase::Draining if !self.leaving.contains_key(id) => {
                    log::info!("[control] Server {id} is draining.");
                    self.leaving.insert(Arc::clone(id), since);
                }
                ServerPhase::Draining => {}
            }
        }
        self.leaving.retain(|id, left_at| {
            servers.contains_key(id) || now.since(*left_at) < REMOVED_RETENTION
        });
        self.present = servers;
        self.latest_by_address = latest_by_address;
    }
}

//! The traffic thread's view of the fleet.

use std::{net::SocketAddr, sync::Arc};

use goldcrestramp_adapter::{
    AllowedRegions, ColdLimit, EVACUATION_PREFIX, FleetConfiguration,
    RequestRoute, SERVER_PREFIX, ServerEntry, ServerPhase, ServiceShape,
    TrafficLimits,
};
use goldcrestramp_assignment::{AssignmentTable, ServerInstance};
use goldcrestramp_types::{FastMap, FastSet, LocalTime, TimeSpan};

use crate::{
    cold::ColdTracker,
    configuration::ConfigurationVersion,
    fingerprint::RequestFingerprint,
    mirror::{MirrorValue, StoreMirror},
    records::{
        QUARANTINE_PREFIX, TABLE_PREFIX, VM_PREFIX, VmInstance, decode,
    },
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
    configuration: Arc<FleetConfiguration>,
    /// The services that the configuration names.
    services: FastSet<Arc<str>>,
    /// The routes of each host, longest path prefix first.
    hosts: FastMap<Arc<str>, Vec<Arc<RequestRoute>>>,
    /// The regions that all routes to a service allow, for services all of
    /// whose routes exclude some.
    service_regions: FastMap<Arc<str>, AllowedRegions>,
}

impl RouteTable {
    fn new(configuration: &Arc<FleetConfiguration>) -> Self {
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
        Self {
            version: configuration.version,
            limits: configuration.limits,
            services: named_services(configuration),
            service_regions: service_regions(configuration),
            configuration: Arc::clone(configuration),
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

    /// The route with this name.
    #[must_use]
    pub fn route(&self, name: &str) -> Option<&Arc<RequestRoute>> {
        self.configuration.routes.get(name)
    }

    /// The regions that all routes to a service allow; all regions if any of
    /// the routes does.
    #[must_use]
    pub fn service_regions(&self, service: &str) -> AllowedRegions {
        self.service_regions.get(service).cloned().unwrap_or_default()
    }

    /// The shortest target latency of the routes to a service; `None` if
    /// there are no routes to it.
    #[must_use]
    pub fn min_target_latency(&self, service: &str) -> Option<TimeSpan> {
        let routes = self.configuration.routes.values();
        let leads_to = |route: &&Arc<RequestRoute>| {
            route.targets.iter().any(|target| *target.service == *service)
        };
        routes.filter(leads_to).map(|route| route.target_latency).min()
    }

    fn shape(&self, service: &str) -> Option<&ServiceShape> {
        self.configuration.services.get(service)
    }

    /// Whether the configuration names a service, by itself or as the target
    /// of a route.
    #[must_use]
    pub fn names_service(&self, service: &str) -> bool {
        self.services.contains(service)
    }

    /// Whether a service's keys have one owner each.
    #[must_use]
    pub fn is_sharded(&self, service: &str) -> bool {
        self.shape(service).is_some_and(|shape| shape.sharded)
    }

    /// What the servers of a service tolerate while they are cold, if that is
    /// limited.
    #[must_use]
    pub fn cold_limit(&self, service: &str) -> Option<ColdLimit> {
        self.shape(service)?.cold
    }

    /// The sharded services.
    pub fn sharded(&self) -> impl Iterator<Item = &Arc<str>> {
        let services = self.configuration.services.iter();
        services.filter(|(_, shape)| shape.sharded).map(|(name, _)| name)
    }
}

fn named_services(configuration: &FleetConfiguration) -> FastSet<Arc<str>> {
    let targets = configuration.routes.values().flat_map(|r| &r.targets);
    let targets = targets.map(|target| &target.service);
    configuration.services.keys().chain(targets).cloned().collect()
}

fn service_regions(
    configuration: &FleetConfiguration,
) -> FastMap<Arc<str>, AllowedRegions> {
    let mut regions: FastMap<Arc<str>, AllowedRegions> = FastMap::default();
    let mut unrestricted: FastSet<Arc<str>> = FastSet::default();
    for route in configuration.routes.values() {
        for target in &route.targets {
            let service = Arc::clone(&target.service);
            if route.allowed_regions.is_restricted() {
                let known = regions.entry(service).or_default();
                *known = known.intersection(&route.allowed_regions);
            } else {
                unrestricted.insert(service);
            }
        }
    }
    // Keys stay spread over all regions while any route allows them: the
    // servers of one region would not have the capacity.
    regions.retain(|service, _regions| !unrestricted.contains(service));
    regions
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
    /// The servers with an entry, by id, of the services that the
    /// configuration names. A server is left out if another has started at its
    /// address since, because it has ended.
    pub servers: FastMap<Arc<str>, Arc<ServerEntry>>,
    /// The server that started last at each address.
    pub latest_by_address: AddressMap,
    /// The servers that accept new work, by service. Those of failure domains
    /// that are evacuated are left out.
    pub ready: FastMap<Arc<str>, Vec<Arc<ServerEntry>>>,
    /// The cold servers, by id, each with the time until which it is cold.
    pub cold: FastMap<Arc<str>, LocalTime>,
    /// The failure domains that are evacuated, with the earliest time at which
    /// the store may have accepted that.
    pub evacuated: FastMap<Arc<str>, LocalTime>,
    /// The servers that are draining or have no entry any more, by id, with
    /// the earliest time at which the store may have accepted that change.
    pub leaving: FastMap<Arc<str>, LocalTime>,
    /// The assignment tables of sharded services.
    pub tables: FastMap<Arc<str>, Arc<AssignmentTable>>,
    /// The VMs with an entry.
    pub vms: Vec<VmInstance>,
    /// The requests that the store names as refused.
    pub quarantined: Arc<FastSet<RequestFingerprint>>,
}

/// The instance of a server that has an entry.
pub(crate) fn instance_of(entry: &ServerEntry) -> ServerInstance {
    ServerInstance {
        id: Arc::clone(&entry.id),
        started_ms: entry.started_ms,
        address: entry.address,
    }
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

/// Logs why a server is no longer listed.
fn log_departure(known: &ServerEntry, latest_by_address: &AddressMap) {
    let ServerEntry { id, address, started_ms, .. } = known;
    match latest_by_address.get(address) {
        Some(last)
            if is_superseded(latest_by_address, *address, id, *started_ms) =>
        {
            log::info!(
                "[control] Server {id} has ended: server {} of {} has \
                 started at its address since.",
                last.id,
                last.service
            );
        }
        _ => log::info!("[control] The entry of server {id} is gone."),
    }
}

impl FleetView {
    /// Whether another server has started at the address of `instance` since.
    #[must_use]
    pub fn has_successor(&self, instance: &ServerInstance) -> bool {
        let ServerInstance { id, started_ms, address } = instance;
        is_superseded(&self.latest_by_address, *address, id, *started_ms)
    }

    /// The servers that own keys, each at least once.
    pub(crate) fn owners(&self) -> impl Iterator<Item = &ServerInstance> {
        let tables = self.tables.values();
        tables.flat_map(|table| table.instances().map(|(_, owner)| owner))
    }

    /// What a server tolerates at `now`, if it is cold and that is limited.
    #[must_use]
    pub fn cold_limit(
        &self,
        now: LocalTime,
        entry: &ServerEntry,
    ) -> Option<ColdLimit> {
        self.cold.get(&entry.id).filter(|until| **until > now)?;
        self.routes.as_ref()?.cold_limit(&entry.service)
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
    /// The entries of services that the configuration does not name, by id.
    foreign: FastSet<Arc<str>>,
    latest_by_address: AddressMap,
    cold: ColdTracker,
    evacuated: FastMap<Arc<str>, LocalTime>,
    quarantined: Arc<FastSet<RequestFingerprint>>,
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
        if servers || routes {
            self.update_leaving(now, since);
            self.update_cold(now);
        }
        let evacuated = self.update_evacuated(now, since, mirror);
        let quarantined = self.update_quarantined(mirror);
        (routes || servers || tables || vms || evacuated || quarantined)
            .then(|| self.view())
    }

    fn view(&self) -> FleetView {
        let mut ready: FastMap<_, Vec<_>> = FastMap::default();
        for entry in self.present.values() {
            let evacuated = self.evacuated.contains_key(&entry.domain);
            if entry.phase == ServerPhase::Ready && !evacuated {
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
            cold: self.cold.deadlines(),
            evacuated: self.evacuated.clone(),
            leaving: self.leaving.clone(),
            tables: tables.collect(),
            vms: self.vms.values().map(|(_, vm)| vm.clone()).collect(),
            quarantined: Arc::clone(&self.quarantined),
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

    /// Records which servers say that they are cold.
    fn update_cold(&mut self, now: LocalTime) {
        for entry in self.present.values() {
            self.cold.record_entry(now, entry);
        }
        let present = &self.present;
        self.cold.retain(now, |id| present.contains_key(id));
    }

    /// Records which failure domains are evacuated; returns whether that has
    /// changed.
    fn update_evacuated(
        &mut self,
        now: LocalTime,
        since: LocalTime,
        mirror: &StoreMirror,
    ) -> bool {
        let keys = mirror.range(EVACUATION_PREFIX).map(|(key, _item)| key);
        let domains: FastSet<&str> =
            keys.map(|key| &key[EVACUATION_PREFIX.len()..]).collect();
        let is_known = |domain: &&str| self.evacuated.contains_key(*domain);
        if domains.len() == self.evacuated.len()
            && domains.iter().all(is_known)
        {
            return false;
        }
        let known = std::mem::take(&mut self.evacuated);
        for domain in &domains {
            let since = known.get(*domain).copied().unwrap_or(since);
            self.evacuated.insert(Arc::from(*domain), since);
        }
        for domain in known.keys() {
            if !domains.contains(&**domain) {
                self.end_evacuation(now, domain);
            }
        }
        log::info!(
            "[control] Failure domains {:?} are evacuated.",
            self.evacuated.keys()
        );
        true
    }

    /// Records which requests are refused; returns whether that has changed.
    fn update_quarantined(&mut self, mirror: &StoreMirror) -> bool {
        let keys = mirror.range(QUARANTINE_PREFIX).map(|(key, _item)| key);
        let requests = keys.filter_map(|key| {
            RequestFingerprint::parse(&key[QUARANTINE_PREFIX.len()..])
        });
        let requests: FastSet<RequestFingerprint> = requests.collect();
        if requests == *self.quarantined {
            return false;
        }
        self.quarantined = Arc::new(requests);
        true
    }

    /// Records that the servers of a failure domain may get requests again.
    fn end_evacuation(&mut self, now: LocalTime, domain: &str) {
        let routes = self.routes.as_ref().map(|(_, routes)| routes);
        let inside = self.present.values().filter(|e| *e.domain == *domain);
        for entry in inside {
            let limit =
                routes.and_then(|routes| routes.cold_limit(&entry.service));
            if let Some(limit) = limit {
                self.cold.record_return(now, entry, limit.duration);
            }
        }
    }

    /// The entries of the services that the configuration names; all entries
    /// while no configuration is known.
    ///
    /// Others than the servers write entries, too. What such an entry says of
    /// its address must not count for the server that is reached there.
    fn named_servers(&mut self) -> Vec<Arc<ServerEntry>> {
        let routes = self.routes.as_ref().map(|(_, routes)| routes);
        let is_named = |entry: &ServerEntry| {
            routes.is_none_or(|routes| routes.names_service(&entry.service))
        };
        let mut named = Vec::new();
        let mut foreign = FastSet::default();
        for (_, entry) in self.servers.values() {
            if is_named(entry) {
                named.push(Arc::clone(entry));
                continue;
            }
            let ServerEntry { id, service, .. } = &**entry;
            if !self.foreign.contains(id) {
                log::warn!(
                    "[control] The entry of server {id} is ignored: the \
                     configuration names no service {service}."
                );
            }
            foreign.insert(Arc::clone(id));
        }
        self.foreign = foreign;
        named
    }

    /// Records since when servers are draining or without an entry.
    fn update_leaving(&mut self, now: LocalTime, since: LocalTime) {
        let entries = self.named_servers();
        let latest_by_address = latest_by_address(entries.iter());
        let servers: FastMap<Arc<str>, Arc<ServerEntry>> = entries
            .into_iter()
            .filter(|entry| {
                let ServerEntry { address, id, started_ms, .. } = &**entry;
                !is_superseded(&latest_by_address, *address, id, *started_ms)
            })
            .map(|entry| (Arc::clone(&entry.id), entry))
            .collect();
        for (id, known) in &self.present {
            let same = servers
                .get(id)
                .is_some_and(|entry| entry.started_ms == known.started_ms);
            if !same && !self.leaving.contains_key(id) {
                if !self.foreign.contains(id) {
                    log_departure(known, &latest_by_address);
                }
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

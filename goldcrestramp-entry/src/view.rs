//! What the traffic thread knows of the fleet.

use std::sync::Arc;

use goldcrestramp_adapter::{
    CONFIGURATION_KEY, FleetConfiguration, RequestRoute, SERVER_PREFIX,
    ServerEntry, ServerPhase, TrafficLimits,
};
use goldcrestramp_assignment::AssignmentTable;
use goldcrestramp_types::{
    ClockSource, FastMap, LocalTime, MonotonicClock, TimeSpan,
};

use crate::{
    mirror::{MirrorValue, StoreMirror},
    records::{TABLE_PREFIX, VM_PREFIX, VmRun, decode},
};

/// An entry that vanished is remembered for so long, by which time its
/// keys are elsewhere and its requests have ended.
const GONE_KEPT: TimeSpan = TimeSpan::from_millis(60_000);

/// The routes of one configuration, ready to be looked up.
#[derive(Debug)]
pub struct RouteBook {
    /// The configuration's version.
    pub version: u64,
    /// Bounds on what callers may send.
    pub limits: TrafficLimits,
    /// Whether each service is divided by key.
    divided: FastMap<Arc<str>, bool>,
    /// The routes of each host, longest prefix first.
    hosts: FastMap<Arc<str>, Vec<Arc<RequestRoute>>>,
}

impl RouteBook {
    fn new(configuration: FleetConfiguration) -> Self {
        let mut hosts: FastMap<Arc<str>, Vec<Arc<RequestRoute>>> =
            FastMap::default();
        for route in configuration.routes {
            let host = route.host.to_ascii_lowercase().into();
            hosts.entry(host).or_default().push(Arc::new(route));
        }
        for routes in hosts.values_mut() {
            routes.sort_by_key(|route| {
                std::cmp::Reverse(route.path_prefix.len())
            });
        }
        let services = configuration.services.into_iter();
        Self {
            version: configuration.version,
            limits: configuration.limits,
            divided: services.map(|(n, s)| (n, s.divided)).collect(),
            hosts,
        }
    }

    /// The route of a request: of its host, with the longest prefix that
    /// begins its path.
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
    pub fn is_divided(&self, service: &str) -> bool {
        self.divided.get(service).copied().unwrap_or(false)
    }

    /// The services that are divided by key.
    pub fn divided(&self) -> impl Iterator<Item = &Arc<str>> {
        let services = self.divided.iter();
        services.filter(|(_, divided)| **divided).map(|(name, _)| name)
    }
}

/// One state of the fleet.
#[derive(Clone, Debug, Default)]
pub struct FleetView {
    /// The operators' configuration, once it is known.
    pub routes: Option<Arc<RouteBook>>,
    /// The servers that say that they are there, by id.
    pub servers: FastMap<Arc<str>, Arc<ServerEntry>>,
    /// The servers that take new work, by service.
    pub ready: FastMap<Arc<str>, Vec<Arc<ServerEntry>>>,
    /// Servers that leave or have gone, with the earliest moment at which
    /// the store may have taken that.
    pub leaving: FastMap<Arc<str>, LocalTime>,
    /// The assignments of divided services.
    pub tables: FastMap<Arc<str>, Arc<AssignmentTable>>,
    /// The VMs that are there.
    pub vms: Vec<VmRun>,
}

impl FleetView {
    /// The VMs in a failure domain, at least one.
    #[must_use]
    pub fn vms_in(&self, domain: &str) -> usize {
        let inside = self.vms.iter().filter(|vm| *vm.domain == *domain);
        inside.count().max(1)
    }
}

/// Values by key, read again only when their revision has changed.
#[derive(Debug)]
struct ParsedItems<Value>(FastMap<Arc<str>, (u64, Option<Value>)>);

impl<Value> Default for ParsedItems<Value> {
    fn default() -> Self {
        Self(FastMap::default())
    }
}

impl<Value: Clone + PartialEq> ParsedItems<Value> {
    /// Reads the items; whether any value has changed.
    fn read<'a>(
        &mut self,
        items: impl Iterator<Item = (&'a Arc<str>, &'a MirrorValue)>,
        parse: impl Fn(&str, &[u8]) -> Option<Value>,
    ) -> bool {
        let mut kept = FastMap::default();
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
            kept.insert(Arc::clone(key), entry);
        }
        changed |= self.0.values().any(|(_, value)| value.is_some());
        self.0 = kept;
        changed
    }

    fn values(&self) -> impl Iterator<Item = (&Arc<str>, &Value)> {
        let items = self.0.iter();
        items.filter_map(|(key, (_, value))| Some((key, value.as_ref()?)))
    }
}

/// Makes views of the mirror.
#[derive(Debug, Default)]
pub struct ViewBuilder {
    routes: Option<(u64, Arc<RouteBook>)>,
    refused: u64,
    servers: ParsedItems<Arc<ServerEntry>>,
    tables: ParsedItems<Arc<AssignmentTable>>,
    vms: ParsedItems<VmRun>,
    leaving: FastMap<Arc<str>, LocalTime>,
    present: FastMap<Arc<str>, Arc<ServerEntry>>,
}

impl ViewBuilder {
    /// The view of the mirror as it is now; nothing if it has not changed.
    /// What has changed did so after `since`.
    ///
    /// Servers' heartbeats change the store all the time and say nothing
    /// new: a view for each would wake every waiting request.
    pub fn build(
        &mut self,
        now: LocalTime,
        since: LocalTime,
        mirror: &StoreMirror,
    ) -> Option<FleetView> {
        let routes = self.read_configuration(mirror);
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
            self.note_leaving(now, since);
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
            routes: self.routes.as_ref().map(|(_, book)| Arc::clone(book)),
            servers: self.present.clone(),
            ready,
            leaving: self.leaving.clone(),
            tables: tables.collect(),
            vms: self.vms.values().map(|(_, vm)| vm.clone()).collect(),
        }
    }

    /// Takes the configuration, if it is a newer version than the one in
    /// force: what was once in force never returns.
    fn read_configuration(&mut self, mirror: &StoreMirror) -> bool {
        let Some(item) = mirror.get(CONFIGURATION_KEY) else { return false };
        let known = self.routes.as_ref().map_or(0, |(known, _)| *known);
        if item.revision <= known.max(self.refused) {
            return false;
        }
        let begin = MonotonicClock.now();
        match FleetConfiguration::parse(&item.value) {
            Ok(configuration) => {
                let version = configuration.version;
                let in_force =
                    self.routes.as_ref().map(|(_, book)| book.version);
                if in_force.is_some_and(|known| known >= version) {
                    self.refused = item.revision;
                    return false;
                }
                let book = Arc::new(RouteBook::new(configuration));
                log::info!(
                    bytes = item.value.len(),
                    read_ms = MonotonicClock.now().since(begin).as_millis();
                    "[control] Configuration {version} is in force; it was \
                     written at revision {}.",
                    item.revision
                );
                self.routes = Some((item.revision, book));
                true
            }
            Err(error) => {
                log::warn!("[control] {error}; the former stays in force.");
                self.refused = item.revision;
                false
            }
        }
    }

    /// Notes since when servers leave or are gone.
    fn note_leaving(&mut self, now: LocalTime, since: LocalTime) {
        let entries = self.servers.values();
        let servers: FastMap<Arc<str>, Arc<ServerEntry>> = entries
            .map(|(_, entry)| (Arc::clone(&entry.id), Arc::clone(entry)))
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
            servers.contains_key(id) || now.since(*left_at) < GONE_KEPT
        });
        self.present = servers;
    }
}

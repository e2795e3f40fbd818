//! The newest tables, configuration and service records that a VM knows,
//! and the updates for its subscribers.

use std::sync::{Arc, Mutex, PoisonError};

use goldcrestramp_config::{DeploymentState, StateChange, StateRevision};
use goldcrestramp_ownership::{DomainTable, ServiceRecord, TableChange};
use goldcrestramp_platform::records::StoreRecord;
use goldcrestramp_types::{
    DomainName, FastMap, LocalTime, ServiceName, TableVersion,
};
use goldcrestramp_wire::peer::{ServiceDomains, TableUpdate};
use tokio::sync::watch;

use crate::{context::NodeContext, convert, routing::RoutingTable};

/// The number of configuration changes kept for subscribers that lag.
///
/// A subscriber applies them within milliseconds. One that lags further
/// receives the full configuration.
const MAX_CHANGES: usize = 16;

/// Everything that VMs stream to each other.
#[derive(Clone, Debug, Default)]
pub(crate) struct TableSet {
    pub(crate) domains: FastMap<DomainName, Arc<DomainTable>>,
    /// The change from each table's previous version. It is computed once
    /// for all subscribers that have that version.
    pub(crate) changes: FastMap<DomainName, Arc<TableChange>>,
    pub(crate) config: Option<Arc<DeploymentState>>,
    /// The revision of `config`.
    pub(crate) config_revision: StateRevision,
    /// The last changes that led to `config`, oldest first.
    pub(crate) config_changes: Vec<Arc<StateChange>>,
    pub(crate) homes: FastMap<ServiceName, Arc<ServiceRecord>>,
}

impl TableSet {
    /// The changes from this revision of the configuration to the newest.
    /// Returns `None` if they are not kept and the full configuration must
    /// be sent.
    fn changes_since(
        &self,
        revision: StateRevision,
    ) -> Option<&[Arc<StateChange>]> {
        let mut changes = self.config_changes.iter();
        let first = changes.position(|change| change.base == revision)?;
        self.config_changes.get(first..)
    }

    /// Sets the configuration and records its change from the previous one.
    fn record_config(&mut self, state: &Arc<DeploymentState>) {
        let known = self.config.as_deref();
        let change = known.and_then(|old| StateChange::between(old, state));
        self.config = Some(Arc::clone(state));
        let Some(change) = change else {
            self.config_revision = StateRevision::of(state);
            self.config_changes.clear();
            return;
        };
        self.config_revision = change.next;
        self.config_changes.push(Arc::new(change));
        let excess = self.config_changes.len().saturating_sub(MAX_CHANGES);
        self.config_changes.drain(..excess);
    }
}

/// Holds the newest [`TableSet`] and notifies the streams of changes.
#[derive(Debug)]
pub(crate) struct TableHub {
    context: Arc<NodeContext>,
    set: watch::Sender<Arc<TableSet>>,
    /// When the VM that sends a domain's table was last heard.
    heard: Mutex<FastMap<DomainName, LocalTime>>,
}

impl TableHub {
    pub(crate) fn new(context: Arc<NodeContext>) -> Self {
        let heard = Mutex::default();
        Self { context, set: watch::Sender::default(), heard }
    }

    pub(crate) const fn context(&self) -> &Arc<NodeContext> {
        &self.context
    }

    pub(crate) fn subscribe(&self) -> watch::Receiver<Arc<TableSet>> {
        self.set.subscribe()
    }

    /// Records that the stream of a domain's table is connected.
    pub(crate) fn record_heard(&self, domain: &DomainName) {
        let now = self.context.now();
        let heard = self.heard.lock();
        let mut heard = heard.unwrap_or_else(PoisonError::into_inner);
        heard.insert(domain.clone(), now);
    }

    /// When the streams were last known to be connected, by domain.
    pub(crate) fn heard(&self) -> FastMap<DomainName, LocalTime> {
        let heard = self.heard.lock();
        heard.unwrap_or_else(PoisonError::into_inner).clone()
    }

    pub(crate) fn set(&self) -> Arc<TableSet> {
        Arc::clone(&self.set.borrow())
    }

    /// Applies a domain's table if it is newer than the known one.
    ///
    /// Streams race, so that an older table may arrive later on another
    /// stream. Applying it would route requests to a previous owner.
    pub(crate) fn apply_table(&self, table: &Arc<DomainTable>) -> bool {
        let mut set = TableSet::clone(&self.set());
        let known = set.domains.get(&table.domain);
        if known.is_some_and(|known| known.version >= table.version) {
            return false;
        }
        let change = known.and_then(|old| TableChange::between(old, table));
        match change {
            Some(change) => {
                let name = table.domain.clone();
                set.changes.insert(name, Arc::new(change));
            }
            None => drop(set.changes.remove(&table.domain)),
        }
        set.domains.insert(table.domain.clone(), Arc::clone(table));
        self.route(&set);
        self.set.send_replace(Arc::new(set));
        true
    }

    /// Publishes new routes to the gateways.
    fn route(&self, set: &TableSet) {
        let merged = RoutingTable::merge(set.domains.values(), &set.homes);
        self.context.table.store(Arc::new(merged));
        self.context.table_changed.send_modify(|count| *count += 1);
    }

    /// Applies the configuration if it is newer. Versions only increase.
    pub(crate) fn apply_config(&self, state: &Arc<DeploymentState>) -> bool {
        let mut set = TableSet::clone(&self.set());
        let known = set.config.as_ref();
        if known.is_some_and(|known| known.version >= state.version) {
            return false;
        }
        set.record_config(state);
        self.context.metrics.set_config_version(state.version);
        let callers = state.callers.iter();
        let weights = callers.map(|rules| (rules.name.clone(), rules.weight));
        self.context.weights.store(Arc::new(weights.collect()));
        let services = state.services.iter().map(|rules| rules.name.clone());
        self.context.services.store(Some(Arc::new(services.collect())));
        self.set.send_replace(Arc::new(set));
        true
    }

    /// Applies a service's record if its revision is higher than the known
    /// one.
    pub(crate) fn apply_homes(&self, homes: Arc<ServiceRecord>) -> bool {
        let mut set = TableSet::clone(&self.set());
        let known = set.homes.get(&homes.service);
        if known.is_some_and(|known| known.revision >= homes.revision) {
            return false;
        }
        set.homes.insert(homes.service.clone(), homes);
        self.route(&set);
        self.set.send_replace(Arc::new(set));
        true
    }
}

/// The versions that one subscriber has been sent.
#[derive(Debug, Default)]
pub(crate) struct StreamCursor {
    tables: FastMap<DomainName, TableVersion>,
    config: StateRevision,
    homes: FastMap<ServiceName, u64>,
}

impl StreamCursor {
    /// The cursor of a subscriber that has this configuration and no table.
    pub(crate) fn new(config: StateRevision) -> Self {
        Self { config, ..Self::default() }
    }

    /// Returns the updates that bring the subscriber up to `set`.
    ///
    /// `only` is the domain that it requested; other domains are left out.
    pub(crate) fn updates(
        &mut self,
        set: &TableSet,
        only: Option<&DomainName>,
    ) -> Vec<TableUpdate> {
        let mut updates = self.record_updates(set, only);
        for (domain, table) in &set.domains {
            if only.is_some_and(|only| only != domain) {
                continue;
            }
            let last_sent = self.tables.get(domain);
            if last_sent.is_some_and(|last_sent| *last_sent >= table.version) {
                continue;
            }
            let change = set.changes.get(domain);
            let change = change.filter(|c| last_sent == Some(&c.base));
            updates.push(match change {
                Some(change) => convert::change_out(change),
                None => convert::table_out(table),
            });
            self.tables.insert(domain.clone(), table.version);
        }
        updates
    }

    /// The update of the configuration and the services' records, which are
    /// sent only within a failure domain.
    fn record_updates(
        &mut self,
        set: &TableSet,
        only: Option<&DomainName>,
    ) -> Vec<TableUpdate> {
        if only.is_some() {
            return Vec::new();
        }
        let mut update = TableUpdate::default();
        self.config_update(set, &mut update);
        for homes in set.homes.values() {
            let last_sent = self.homes.get(&homes.service).copied();
            if last_sent.is_some_and(|last_sent| last_sent >= homes.revision) {
                continue;
            }
            self.homes.insert(homes.service.clone(), homes.revision);
            update.homes.push(ServiceDomains {
                service: homes.service.to_string(),
                version: homes.revision,
                record: homes.encode().unwrap_or_default(),
            });
        }
        if update == TableUpdate::default() {
            return Vec::new();
        }
        vec![update]
    }

    /// Adds the configuration's changes to the update, or the full
    /// configuration if the changes are not kept.
    fn config_update(&mut self, set: &TableSet, update: &mut TableUpdate) {
        let Some(state) = &set.config else {
            return;
        };
        if state.version <= self.config.version {
            return;
        }
        match set.changes_since(self.config) {
            Some(changes) => {
                let changes = changes.iter().map(|change| json(&**change));
                update.config_changes = changes.collect();
            }
            None => update.config = json(state.as_ref()),
        }
        update.config_version = state.version;
        self.config = set.config_revision;
    }
}

fn json<T: serde::Serialize>(value: &T) -> bytes::Bytes {
    serde_json::to_vec(value).unwrap_or_default().into()
}

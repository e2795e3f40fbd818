//! The delta from one state to a later one, for nodes that have the earlier
//! one.
//!
//! A state near its size limit has 900 kB. Sending it in full to each VM
//! with each of 3,700 tickets a day would exceed a node's bandwidth for
//! control messages; a delta has some hundred bytes.

use std::collections::{BTreeMap, BTreeSet};

use goldcrestramp_types::FastMap;
use serde::{Deserialize, Serialize};

use super::{
    accept::upsert_all,
    entity::{ConfiguredEntity, EntityId},
    history::{AcceptedTicket, EntityRevision, TicketHistory},
};
use crate::deployment::{
    CallerRules, DeploymentState, DomainRules, ServerRules, ServiceRules,
};

/// The maximum number of entries of a change; beyond it, applying the full
/// state costs less.
const MAX_CHANGE_ENTRIES: usize = 1_024;

/// Identifies one state by its version and its content.
///
/// The version alone is ambiguous: a store that was restored from older data
/// may have accepted other tickets up to the same version.
#[derive(
    Clone, Copy, Debug, Default, Eq, PartialEq, Serialize, Deserialize,
)]
pub struct StateRevision {
    /// The state's version; 0 if there is no state.
    pub version: u64,
    /// A digest of the state's content.
    pub digest: u64,
}

impl StateRevision {
    /// Returns the revision of `state`.
    ///
    /// # Panics
    ///
    /// Never, since a state can always be encoded as JSON.
    #[must_use]
    pub fn of(state: &DeploymentState) -> Self {
        let text = serde_json::to_vec(state).expect("state encodes as JSON");
        let digest = xxhash_rust::xxh3::xxh3_64(&text);
        Self { version: state.version, digest }
    }
}

/// The difference between two states.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct StateChange {
    /// The state that the change applies to.
    pub base: StateRevision,
    /// The state that it results in.
    pub next: StateRevision,
    /// Failure domains that are new or changed.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    domains: Vec<DomainRules>,
    /// Services that are new or changed.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    services: Vec<ServiceRules>,
    /// Backend servers that are new or changed.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    servers: Vec<ServerRules>,
    /// Callers' shares that are new or changed.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    callers: Vec<CallerRules>,
    /// The entities to remove.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    remove: Vec<EntityId>,
    /// The change of the ticket history.
    tickets: HistoryChange,
}

/// The difference between two ticket histories.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
struct HistoryChange {
    floor: u64,
    #[serde(default, skip_serializing_if = "BTreeMap::is_empty")]
    last: BTreeMap<EntityId, EntityRevision>,
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    last_forgotten: Vec<EntityId>,
    #[serde(default, skip_serializing_if = "BTreeMap::is_empty")]
    recent: BTreeMap<u64, Vec<AcceptedTicket>>,
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    recent_forgotten: Vec<u64>,
}

impl StateChange {
    /// Returns the change from `old` to `new`, or `None` if `new` is to be
    /// sent in full.
    ///
    /// # Example
    ///
    /// ```
    /// use goldcrestramp_config::{DeploymentState, StateChange};
    ///
    /// let old = DeploymentState { version: 7, ..Default::default() };
    /// let new = DeploymentState { version: 8, ..Default::default() };
    /// let change =
    ///     StateChange::between(&old, &new).expect("change is small");
    /// assert_eq!(change.apply(&old), Some(new.clone()));
    /// assert_eq!(change.apply(&new), None);
    /// ```
    #[must_use]
    pub fn between(
        old: &DeploymentState,
        new: &DeploymentState,
    ) -> Option<Self> {
        let mut remove = Vec::new();
        let change = Self {
            base: StateRevision::of(old),
            next: StateRevision::of(new),
            domains: changed(&old.domains, &new.domains, &mut remove),
            services: changed(&old.services, &new.services, &mut remove),
            servers: changed(&old.servers, &new.servers, &mut remove),
            callers: changed(&old.callers, &new.callers, &mut remove),
            remove,
            tickets: HistoryChange::between(&old.tickets, &new.tickets),
        };
        if change.entries() > MAX_CHANGE_ENTRIES {
            return None;
        }
        // A list that is not sorted by name can't be reconstructed.
        let result = change.apply(old);
        result.is_some().then_some(change)
    }

    /// Returns the next state, or `None` if the change doesn't apply to
    /// `state`.
    ///
    /// A change applied to another state of the same version would give this
    /// VM rules that no operator has accepted, and all later changes would
    /// build on them. The digest of the result detects this.
    #[must_use]
    pub fn apply(&self, state: &DeploymentState) -> Option<DeploymentState> {
        if state.version != self.base.version {
            return None;
        }
        let mut next = state.clone();
        next.version = self.next.version;
        for entity in &self.remove {
            next.remove(entity);
        }
        upsert_changed(&mut next.domains, &self.domains);
        upsert_changed(&mut next.services, &self.services);
        upsert_changed(&mut next.servers, &self.servers);
        upsert_changed(&mut next.callers, &self.callers);
        self.tickets.apply(&mut next.tickets);
        (StateRevision::of(&next) == self.next).then_some(next)
    }

    fn entries(&self) -> usize {
        let entities = self.domains.len()
            + self.services.len()
            + self.servers.len()
            + self.callers.len();
        entities + self.remove.len() + self.tickets.entries()
    }
}

impl HistoryChange {
    fn between(old: &TicketHistory, new: &TicketHistory) -> Self {
        let (last, last_forgotten) = changed_entries(&old.last, &new.last);
        let (recent, recent_forgotten) =
            changed_entries(&old.recent, &new.recent);
        let floor = new.floor;
        Self { floor, last, last_forgotten, recent, recent_forgotten }
    }

    fn apply(&self, history: &mut TicketHistory) {
        history.floor = self.floor;
        for entity in &self.last_forgotten {
            history.last.remove(entity);
        }
        for number in &self.recent_forgotten {
            history.recent.remove(number);
        }
        let last = self.last.iter();
        history.last.extend(
            last.map(|(entity, revision)| (entity.clone(), *revision)),
        );
        let recent = self.recent.iter();
        history
            .recent
            .extend(recent.map(|(n, tickets)| (*n, tickets.clone())));
    }

    fn entries(&self) -> usize {
        let forgotten =
            self.last_forgotten.len() + self.recent_forgotten.len();
        self.last.len() + self.recent.len() + forgotten
    }
}

/// Returns the entities of `new` that are new or differ from those of `old`;
/// adds the removed ones to `remove`.
fn changed<T: ConfiguredEntity + PartialEq>(
    old: &[T],
    new: &[T],
    remove: &mut Vec<EntityId>,
) -> Vec<T> {
    let mut previous: FastMap<EntityId, &T> =
        old.iter().map(|entity| (entity.id(), entity)).collect();
    let differs = |entity: &&T| previous.remove(&entity.id()) != Some(*entity);
    let changed = new.iter().filter(differs).cloned().collect();
    let removed: BTreeSet<EntityId> = previous.into_keys().collect();
    remove.extend(removed);
    changed
}

/// Like [`upsert_all`], but keeps the order of a list without changes.
fn upsert_changed<T: ConfiguredEntity>(list: &mut Vec<T>, changed: &[T]) {
    if !changed.is_empty() {
        upsert_all(list, changed);
    }
}

fn changed_entries<K: Ord + Clone, V: PartialEq + Clone>(
    old: &BTreeMap<K, V>,
    new: &BTreeMap<K, V>,
) -> (BTreeMap<K, V>, Vec<K>) {
    let differs = |(key, value): &(&K, &V)| old.get(*key) != Some(*value);
    let changed = new.iter().filter(differs);
    let removed = old.keys().filter(|key| !new.contains_key(*key));
    (
        changed.map(|(key, value)| (key.clone(), value.clone())).collect(),
        removed.cloned().collect(),
    )
}

//! The change from one state to a later one, for nodes that have the
//! former.
//!
//! A state near its bound takes 900 kB. Sent whole to each VM with each of
//! 3,700 tickets a day it would take more than all that a node may spend
//! on control; what a ticket changes takes some hundred bytes.

use std::collections::{BTreeMap, BTreeSet};

use goldcrestramp_types::FastMap;
use serde::{Deserialize, Serialize};

use super::{
    accept::put_all,
    entity::{ConfiguredEntity, EntityId},
    history::{AcceptedTicket, EntityRevision, TicketHistory},
};
use crate::deployment::{
    CallerRules, DeploymentState, DomainRules, ServerRules, ServiceRules,
};

/// The most entries of a change; beyond it the whole state costs less to
/// apply.
const CHANGE_ENTRIES: usize = 1_024;

/// One state by its version and its content.
///
/// The version alone does not tell: a store that came back with older data
/// may have been given other tickets up to the same version.
#[derive(
    Clone, Copy, Debug, Default, Eq, PartialEq, Serialize, Deserialize,
)]
pub struct StateRevision {
    /// The state's version; 0: no state.
    pub version: u64,
    /// A digest of all that it says.
    pub digest: u64,
}

impl StateRevision {
    /// The mark of `state`.
    ///
    /// # Panics
    ///
    /// Never: a state can always be written as JSON.
    #[must_use]
    pub fn of(state: &DeploymentState) -> Self {
        let text = serde_json::to_vec(state).expect("a state is JSON");
        let digest = xxhash_rust::xxh3::xxh3_64(&text);
        Self { version: state.version, digest }
    }
}

/// What differs between two states.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct StateChange {
    /// The state that it changes.
    pub base: StateRevision,
    /// The state that it makes.
    pub next: StateRevision,
    /// Failure domains, each as it shall be.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    domains: Vec<DomainRules>,
    /// Services, each as it shall be.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    services: Vec<ServiceRules>,
    /// Backend servers, each as it shall be.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    servers: Vec<ServerRules>,
    /// Callers' shares, each as it shall be.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    callers: Vec<CallerRules>,
    /// What shall no longer be there.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    remove: Vec<EntityId>,
    /// The memory of tickets.
    tickets: MarksChange,
}

/// What differs between two memories of tickets.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
struct MarksChange {
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
    /// The change that makes `new` of `old`; `None`: send `new` whole.
    ///
    /// # Example
    ///
    /// ```
    /// use goldcrestramp_config::{DeploymentState, StateChange};
    ///
    /// let old = DeploymentState { version: 7, ..Default::default() };
    /// let new = DeploymentState { version: 8, ..Default::default() };
    /// let change = StateChange::between(&old, &new).expect("a small one");
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
            tickets: MarksChange::between(&old.tickets, &new.tickets),
        };
        if change.entries() > CHANGE_ENTRIES {
            return None;
        }
        // A list that is not sorted by name can't be put together again.
        let made = change.apply(old);
        made.is_some().then_some(change)
    }

    /// The next state; `None`: `state` is not the one that this changes.
    ///
    /// A change that is applied to another state of the same version would
    /// leave this VM with rules that no operator has accepted, and all later
    /// changes would build on them. The digest of the result tells.
    #[must_use]
    pub fn apply(&self, state: &DeploymentState) -> Option<DeploymentState> {
        if state.version != self.base.version {
            return None;
        }
        let mut next = state.clone();
        next.version = self.next.version;
        for thing in &self.remove {
            next.remove(thing);
        }
        put_changed(&mut next.domains, &self.domains);
        put_changed(&mut next.services, &self.services);
        put_changed(&mut next.servers, &self.servers);
        put_changed(&mut next.callers, &self.callers);
        self.tickets.apply(&mut next.tickets);
        (StateRevision::of(&next) == self.next).then_some(next)
    }

    fn entries(&self) -> usize {
        let things = self.domains.len()
            + self.services.len()
            + self.servers.len()
            + self.callers.len();
        things + self.remove.len() + self.tickets.entries()
    }
}

impl MarksChange {
    fn between(old: &TicketHistory, new: &TicketHistory) -> Self {
        let (last, last_forgotten) = changed_marks(&old.last, &new.last);
        let (recent, recent_forgotten) =
            changed_marks(&old.recent, &new.recent);
        let floor = new.floor;
        Self { floor, last, last_forgotten, recent, recent_forgotten }
    }

    fn apply(&self, marks: &mut TicketHistory) {
        marks.floor = self.floor;
        for thing in &self.last_forgotten {
            marks.last.remove(thing);
        }
        for number in &self.recent_forgotten {
            marks.recent.remove(number);
        }
        let last = self.last.iter();
        marks.last.extend(last.map(|(thing, mark)| (thing.clone(), *mark)));
        let recent = self.recent.iter();
        marks.recent.extend(recent.map(|(n, marks)| (*n, marks.clone())));
    }

    fn entries(&self) -> usize {
        let forgotten =
            self.last_forgotten.len() + self.recent_forgotten.len();
        self.last.len() + self.recent.len() + forgotten
    }
}

/// The things of `new` that `old` has not so; names in `remove` those that
/// are gone.
fn changed<T: ConfiguredEntity + PartialEq>(
    old: &[T],
    new: &[T],
    remove: &mut Vec<EntityId>,
) -> Vec<T> {
    let mut former: FastMap<EntityId, &T> =
        old.iter().map(|thing| (thing.id(), thing)).collect();
    let differs = |thing: &&T| former.remove(&thing.id()) != Some(*thing);
    let changed = new.iter().filter(differs).cloned().collect();
    let gone: BTreeSet<EntityId> = former.into_keys().collect();
    remove.extend(gone);
    changed
}

/// Lists that do not change keep their order as it is.
fn put_changed<T: ConfiguredEntity>(list: &mut Vec<T>, changed: &[T]) {
    if !changed.is_empty() {
        put_all(list, changed);
    }
}

fn changed_marks<K: Ord + Clone, V: PartialEq + Clone>(
    old: &BTreeMap<K, V>,
    new: &BTreeMap<K, V>,
) -> (BTreeMap<K, V>, Vec<K>) {
    let differs = |(key, value): &(&K, &V)| old.get(*key) != Some(*value);
    let changed = new.iter().filter(differs);
    let gone = old.keys().filter(|key| !new.contains_key(*key));
    (
        changed.map(|(key, value)| (key.clone(), value.clone())).collect(),
        gone.cloned().collect(),
    )
}

//! The accepted tickets, and the last one that changed each entity.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use super::entity::EntityId;

/// The maximum number of accepted tickets that are kept by number.
///
/// At 3,700 tickets a day this recognizes resends for six hours and takes
/// some 50 kB of the value. An older resend is refused, never applied twice.
const MAX_RECENT_TICKETS: usize = 1_024;

/// The maximum number of removed entities whose last ticket is kept, about
/// 50 kB.
const MAX_REMOVED_ENTITIES: usize = 1_024;

/// An accepted ticket.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct AcceptedTicket {
    /// The digest of the ticket's content.
    pub digest: u64,
    /// The version of the state that it created.
    pub version: u64,
}

/// The ticket that last changed an entity: its number, then the upper half
/// of its digest, which orders two tickets with the same number.
#[derive(
    Clone,
    Copy,
    Debug,
    Default,
    Eq,
    Ord,
    PartialEq,
    PartialOrd,
    Serialize,
    Deserialize,
)]
pub struct EntityRevision(pub u64, pub u32);

impl EntityRevision {
    /// Creates the revision for the ticket with this number and digest.
    #[must_use]
    pub fn new(number: u64, digest: u64) -> Self {
        let upper = u32::try_from(digest >> u32::BITS);
        Self(number, upper.unwrap_or(u32::MAX))
    }
}

/// The history of accepted tickets, stored with the state they created.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TicketHistory {
    /// The last ticket number of entities that `last` doesn't list.
    #[serde(default)]
    pub floor: u64,
    /// The last ticket that changed each entity, including removed ones.
    #[serde(default)]
    pub last: BTreeMap<EntityId, EntityRevision>,
    /// The accepted tickets with the highest numbers; those of one number
    /// are sorted by digest.
    ///
    /// A number has one ticket, unless the store was restored from older
    /// data and its operators used the number again; then all are kept.
    #[serde(default)]
    pub recent: BTreeMap<u64, Vec<AcceptedTicket>>,
}

impl TicketHistory {
    /// Returns the last ticket that changed `entity`.
    #[must_use]
    pub fn last_for(&self, entity: &EntityId) -> EntityRevision {
        let unknown = EntityRevision(self.floor, 0);
        self.last.get(entity).copied().unwrap_or(unknown)
    }

    /// Records an accepted ticket. Recording it again only raises its version
    /// to the higher one.
    pub(super) fn record(&mut self, number: u64, ticket: AcceptedTicket) {
        let tickets = self.recent.entry(number).or_default();
        match tickets.binary_search_by_key(&ticket.digest, |t| t.digest) {
            Ok(index) => {
                let known = &mut tickets[index];
                known.version = known.version.max(ticket.version);
            }
            Err(index) => tickets.insert(index, ticket),
        }
    }

    /// Evicts the oldest entries beyond the limits; `present` returns whether
    /// an entity exists.
    ///
    /// A delayed old ticket must not restore a removed entity. Evicting its
    /// revision raises the floor to its number. That still refuses the old
    /// ticket, and also any ticket with a number that low for a new entity.
    pub(crate) fn trim(&mut self, present: impl Fn(&EntityId) -> bool) {
        while self.recent.len() > MAX_RECENT_TICKETS {
            self.recent.pop_first();
        }
        let removed = self.last.iter().filter(|(entity, _)| !present(entity));
        let mut removed: Vec<_> = removed
            .map(|(entity, revision)| (revision.0, entity.clone()))
            .collect();
        removed.sort_unstable();
        let excess = removed.len().saturating_sub(MAX_REMOVED_ENTITIES);
        for (number, entity) in removed.into_iter().take(excess) {
            self.last.remove(&entity);
            self.floor = self.floor.max(number);
        }
    }
}

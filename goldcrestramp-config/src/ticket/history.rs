//! Which tickets have been accepted, and what each touched last.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use super::entity::EntityId;

/// Accepted tickets that are remembered by number.
///
/// At 3,700 tickets a day this answers resends for six hours and takes
/// some 50 kB of the value; an older resend is refused, never run twice.
const RECENT_TICKETS: usize = 1_024;

/// Removed things whose last number is remembered, about 50 kB.
const REMOVED_THINGS: usize = 1_024;

/// An accepted ticket.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct AcceptedTicket {
    /// The digest of what it said.
    pub digest: u64,
    /// The state's version that it made.
    pub version: u64,
}

/// The ticket that touched a thing last: its number, then the upper half
/// of its digest, which orders two tickets of one number.
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
    /// The mark of the ticket with this number and digest.
    #[must_use]
    pub fn new(number: u64, digest: u64) -> Self {
        let upper = u32::try_from(digest >> u32::BITS);
        Self(number, upper.unwrap_or(u32::MAX))
    }
}

/// The memory of accepted tickets, kept with the state they made.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TicketHistory {
    /// For a thing without a mark the last number counts as this.
    #[serde(default)]
    pub floor: u64,
    /// The last ticket that touched each thing, removed ones among them.
    #[serde(default)]
    pub last: BTreeMap<EntityId, EntityRevision>,
    /// The accepted tickets with the highest numbers, sorted by digest.
    ///
    /// A number has one ticket, unless the store was restored from older
    /// data and its operators used the number again; then each counts.
    #[serde(default)]
    pub recent: BTreeMap<u64, Vec<AcceptedTicket>>,
}

impl TicketHistory {
    /// The last ticket that touched `thing`.
    #[must_use]
    pub fn last_for(&self, thing: &EntityId) -> EntityRevision {
        let unknown = EntityRevision(self.floor, 0);
        self.last.get(thing).copied().unwrap_or(unknown)
    }

    /// Notes an accepted ticket; the same one again changes nothing but
    /// that the higher version counts.
    pub(super) fn note(&mut self, number: u64, mark: AcceptedTicket) {
        let marks = self.recent.entry(number).or_default();
        match marks.binary_search_by_key(&mark.digest, |m| m.digest) {
            Ok(place) => {
                let known = &mut marks[place];
                known.version = known.version.max(mark.version);
            }
            Err(place) => marks.insert(place, mark),
        }
    }

    /// Forgets what is beyond the bounds; `present` tells what exists.
    ///
    /// A removed thing must not come back by an old ticket that was
    /// delayed. Forgetting its mark raises the floor to its number, which
    /// refuses that ticket as before, and with it any other new thing with
    /// so low a number.
    pub(crate) fn trim(&mut self, present: impl Fn(&EntityId) -> bool) {
        while self.recent.len() > RECENT_TICKETS {
            self.recent.pop_first();
        }
        let removed = self.last.iter().filter(|(thing, _)| !present(thing));
        let mut removed: Vec<_> =
            removed.map(|(thing, mark)| (mark.0, thing.clone())).collect();
        removed.sort_unstable();
        let excess = removed.len().saturating_sub(REMOVED_THINGS);
        for (number, thing) in removed.into_iter().take(excess) {
            self.last.remove(&thing);
            self.floor = self.floor.max(number);
        }
    }
}

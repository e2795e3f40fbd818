//! Which tickets have been accepted, and what each touched last.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use super::thing::ThingId;

/// Accepted tickets that are remembered by number.
///
/// At 3,700 tickets a day this answers resends for six hours and takes
/// some 50 kB of the value; an older resend is refused, never run twice.
const RECENT_TICKETS: usize = 1_024;

/// Removed things whose last number is remembered, about 50 kB.
const REMOVED_THINGS: usize = 1_024;

/// An accepted ticket.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct TicketMark {
    /// The digest of what it said.
    pub digest: u64,
    /// The state's version that it made.
    pub version: u64,
}

/// The memory of accepted tickets, kept with the state they made.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TicketMarks {
    /// For a thing without a mark the last number counts as this.
    #[serde(default)]
    pub floor: u64,
    /// The last ticket that touched each thing, removed ones among them.
    #[serde(default)]
    pub last: BTreeMap<ThingId, u64>,
    /// The accepted tickets with the highest numbers.
    #[serde(default)]
    pub recent: BTreeMap<u64, TicketMark>,
}

impl TicketMarks {
    /// The last ticket that touched `thing`.
    #[must_use]
    pub fn last_for(&self, thing: &ThingId) -> u64 {
        self.last.get(thing).copied().unwrap_or(self.floor)
    }

    /// Forgets what is beyond the bounds; `present` tells what exists.
    ///
    /// A removed thing must not come back by an old ticket that was
    /// delayed. Forgetting its mark raises the floor to its number, which
    /// refuses that ticket as before, and with it any other new thing with
    /// so low a number.
    pub(crate) fn trim(&mut self, present: impl Fn(&ThingId) -> bool) {
        while self.recent.len() > RECENT_TICKETS {
            self.recent.pop_first();
        }
        let removed = self.last.iter().filter(|(thing, _)| !present(thing));
        let mut removed: Vec<_> =
            removed.map(|(thing, number)| (*number, thing.clone())).collect();
        removed.sort_unstable();
        let excess = removed.len().saturating_sub(REMOVED_THINGS);
        for (number, thing) in removed.into_iter().take(excess) {
            self.last.remove(&thing);
            self.floor = self.floor.max(number);
        }
    }
}

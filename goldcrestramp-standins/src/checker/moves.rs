//! Counts moves of slices and measures how evenly servers worked.

use std::collections::{BTreeMap, BTreeSet};

use goldcrestramp_types::{FastMap, SliceIndex};
use serde::{Deserialize, Serialize};

use crate::{
    records::{ExecutionEntry, GrantEntry, MachineTime},
    server::ServerLog,
};

/// How many slices moved from one server to another.
#[derive(
    Clone, Copy, Debug, Default, Eq, PartialEq, Serialize, Deserialize,
)]
pub struct MoveCount {
    /// All moves.
    pub moved: u64,
    /// Moves back to a server that had held the slice before, though it
    /// had neither been lost nor drained.
    pub needless: u64,
}

/// Counts the moves after `since`; `leaving` names the servers that had a
/// reason to release slices.
#[must_use]
pub fn count_moves(
    log: &ServerLog,
    since: MachineTime,
    leaving: &BTreeSet<String>,
) -> MoveCount {
    let mut owners: FastMap<(&str, SliceIndex), Vec<&str>> =
        FastMap::default();
    let mut count = MoveCount::default();
    let mut grants: Vec<&GrantEntry> = log.holds.iter().collect();
    grants.sort_by_key(|grant| grant.from);
    for grant in grants {
        for slice in grant.slices.iter() {
            let key = (&*grant.service, slice);
            let previous = owners.entry(key).or_default();
            if previous.last() == Some(&&*grant.server) {
                continue;
            }
            let moved = grant.from > since && !previous.is_empty();
            count.moved += u64::from(moved);
            let returned = previous.contains(&&*grant.server);
            let reason = previous.iter().any(|name| leaving.contains(*name));
            count.needless += u64::from(moved && returned && !reason);
            previous.push(&grant.server);
        }
    }
    count
}

/// The work of a service's busiest server divided by the mean of its servers,
/// maximized over all services; 1 is perfectly even.
///
/// Work is the time from start to end of each execution. `servers` holds the
/// number of servers of each service, idle ones included.
#[must_use]
#[expect(
    clippy::cast_precision_loss,
    reason = "microseconds of one run are far below 2^52"
)]
pub fn imbalance(
    executions: &[ExecutionEntry],
    servers: &BTreeMap<String, usize>,
) -> f64 {
    let mut work: FastMap<&str, FastMap<&str, u64>> = FastMap::default();
    for entry in executions {
        let ended = entry.ended.unwrap_or(entry.started).as_micros();
        let spent = ended.saturating_sub(entry.started.as_micros());
        let service = work.entry(&entry.service).or_default();
        *service.entry(&entry.server).or_default() += spent;
    }
    let mut highest: f64 = 1.0;
    for (service, by_server) in work {
        let count = servers.get(service).copied().unwrap_or(by_server.len());
        let busiest = by_server.values().max().copied().unwrap_or(0) as f64;
        let total = by_server.values().sum::<u64>() as f64;
        if total > 0.0 {
            highest = highest.max(busiest * count as f64 / total);
        }
    }
    highest
}

//! How often slices moved, and how evenly servers worked.

use std::collections::{BTreeMap, BTreeSet};

use goldcrestramp_types::{FastMap, SliceIndex};
use serde::{Deserialize, Serialize};

use crate::{
    records::{ExecutionEntry, HoldEntry, MachineTime},
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
/// reason to give slices up.
#[must_use]
pub fn count_moves(
    log: &ServerLog,
    since: MachineTime,
    leaving: &BTreeSet<String>,
) -> MoveCount {
    let mut owners: FastMap<(&str, SliceIndex), Vec<&str>> =
        FastMap::default();
    let mut count = MoveCount::default();
    let mut holds: Vec<&HoldEntry> = log.holds.iter().collect();
    holds.sort_by_key(|hold| hold.from);
    for hold in holds {
        for slice in hold.slices.iter() {
            let key = (&*hold.service, slice);
            let former = owners.entry(key).or_default();
            if former.last() == Some(&&*hold.server) {
                continue;
            }
            let moved = hold.from > since && !former.is_empty();
            count.moved += u64::from(moved);
            let back = former.contains(&&*hold.server);
            let reason = former.iter().any(|name| leaving.contains(*name));
            count.needless += u64::from(moved && back && !reason);
            former.push(&hold.server);
        }
    }
    count
}

/// The work of the busiest server of a service over the mean of that
/// service's servers, the highest over all services; 1 is even.
///
/// Work is the time from start to end of what a server executed.
/// `servers` tells how many there are of each service, idle ones included.
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

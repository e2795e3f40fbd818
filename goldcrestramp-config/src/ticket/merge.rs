//! Merges two states that have diverged.

use std::collections::BTreeSet;

use super::{
    accept::upsert_all,
    entity::{ConfiguredEntity, EntityId},
    history::TicketHistory,
};
use crate::deployment::DeploymentState;

/// Merges two states of one deployment; for each entity, the ticket with the
/// higher number wins.
///
/// A store that was restored from older data lacks accepted tickets, and may
/// have accepted new ones since. A node that still has the newer state merges
/// both and writes the result back, so no accepted ticket is lost. The result
/// is the same as accepting all tickets in the order of their numbers, so no
/// ticket is applied in part. If the two sides have accepted different
/// tickets with the same number, the digests determine their order.
///
/// The result does not depend on the order of the arguments. Its version is
/// above that of each argument that differs from it.
///
/// # Example
///
/// ```
/// use goldcrestramp_config::{DeploymentState, merge_states};
///
/// let newer = DeploymentState { version: 7, ..Default::default() };
/// let older = DeploymentState { version: 5, ..Default::default() };
/// assert_eq!(merge_states(&newer, &older).version, 7);
/// ```
#[must_use]
pub fn merge_states(
    left: &DeploymentState,
    right: &DeploymentState,
) -> DeploymentState {
    let mut merged = left.clone();
    for entity in newer_on_right(&left.tickets, &right.tickets) {
        merged.remove(&entity);
        let matches = |id: EntityId| id == entity;
        copy_matching(&mut merged.domains, &right.domains, &matches);
        copy_matching(&mut merged.services, &right.services, &matches);
        copy_matching(&mut merged.servers, &right.servers, &matches);
        copy_matching(&mut merged.callers, &right.callers, &matches);
    }
    merged.tickets = merge_histories(&left.tickets, &right.tickets);
    merged.trim_history();
    merged.version = merged_version(left, right, &merged);
    merged
}

fn copy_matching<T: ConfiguredEntity>(
    list: &mut Vec<T>,
    from: &[T],
    matches: &impl Fn(EntityId) -> bool,
) {
    let new: Vec<T> =
        from.iter().filter(|entity| matches(entity.id())).cloned().collect();
    if !new.is_empty() {
        upsert_all(list, &new);
    }
}

/// Returns the entities whose last ticket is newer in the right state.
fn newer_on_right(
    left: &TicketHistory,
    right: &TicketHistory,
) -> Vec<EntityId> {
    let entities: BTreeSet<&EntityId> =
        left.last.keys().chain(right.last.keys()).collect();
    let newer = entities
        .into_iter()
        .filter(|entity| right.last_for(entity) > left.last_for(entity));
    newer.cloned().collect()
}

fn merge_histories(
    left: &TicketHistory,
    right: &TicketHistory,
) -> TicketHistory {
    let mut merged = left.clone();
    merged.floor = left.floor.max(right.floor);
    for (entity, revision) in &right.last {
        let last = merged.last.entry(entity.clone()).or_insert(*revision);
        *last = (*last).max(*revision);
    }
    for (number, tickets) in &right.recent {
        for ticket in tickets {
            merged.record(*number, *ticket);
        }
    }
    merged
}

/// Returns the version of the merged state. Nodes accept only increasing
/// versions, so it must be above the version of a side that differs.
fn merged_version(
    left: &DeploymentState,
    right: &DeploymentState,
    merged: &DeploymentState,
) -> u64 {
    let same = |side: &DeploymentState| {
        let probe =
            DeploymentState { version: side.version, ..merged.clone() };
        probe == *side
    };
    let highest = left.version.max(right.version);
    let outdated = [left, right].into_iter().filter(|side| !same(side));
    let outdated = outdated.map(|side| side.version + 1).max().unwrap_or(0);
    highest.max(outdated)
}

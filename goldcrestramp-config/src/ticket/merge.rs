//! Joins two states that grew apart.

use std::collections::BTreeSet;

use super::{
    accept::put_all,
    entity::{ConfiguredEntity, EntityId},
    history::TicketHistory,
};
use crate::deployment::DeploymentState;

/// Joins two states of one deployment; each thing is as the ticket with
/// the higher number left it.
///
/// A store that was restored from older data lacks accepted tickets, and
/// may have been given new ones since. A node that still holds the newer
/// state joins both and writes the result back, so no accepted ticket is
/// lost. Taking each thing from the higher number gives the same state as
/// accepting all tickets in the order of their numbers, so no ticket is in
/// force by half. Should both sides have accepted one number for different
/// tickets, their digests decide their order.
///
/// The result does not depend on the order of the arguments. Its version
/// is above that of every state that differs from it.
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
    for thing in taken_from_right(&left.tickets, &right.tickets) {
        merged.remove(&thing);
        let found = |id: EntityId| id == thing;
        copy_found(&mut merged.domains, &right.domains, &found);
        copy_found(&mut merged.services, &right.services, &found);
        copy_found(&mut merged.servers, &right.servers, &found);
        copy_found(&mut merged.callers, &right.callers, &found);
    }
    merged.tickets = merge_marks(&left.tickets, &right.tickets);
    merged.trim_marks();
    merged.version = merged_version(left, right, &merged);
    merged
}

fn copy_found<T: ConfiguredEntity>(
    list: &mut Vec<T>,
    from: &[T],
    found: &impl Fn(EntityId) -> bool,
) {
    let new: Vec<T> =
        from.iter().filter(|thing| found(thing.id())).cloned().collect();
    if !new.is_empty() {
        put_all(list, &new);
    }
}

/// The things that the right state knows better.
fn taken_from_right(
    left: &TicketHistory,
    right: &TicketHistory,
) -> Vec<EntityId> {
    let things: BTreeSet<&EntityId> =
        left.last.keys().chain(right.last.keys()).collect();
    let better = things
        .into_iter()
        .filter(|thing| right.last_for(thing) > left.last_for(thing));
    better.cloned().collect()
}

fn merge_marks(left: &TicketHistory, right: &TicketHistory) -> TicketHistory {
    let mut merged = left.clone();
    merged.floor = left.floor.max(right.floor);
    for (thing, mark) in &right.last {
        let last = merged.last.entry(thing.clone()).or_insert(*mark);
        *last = (*last).max(*mark);
    }
    for (number, marks) in &right.recent {
        for mark in marks {
            merged.note(*number, *mark);
        }
    }
    merged
}

/// Nodes take only rising versions, so a state that is new to a side must
/// have a version above that side's.
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
    let behind = [left, right].into_iter().filter(|side| !same(side));
    let behind = behind.map(|side| side.version + 1).max().unwrap_or(0);
    highest.max(behind)
}

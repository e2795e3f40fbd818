//! Starts the release of ranges that are to change their holder.

use goldcrestramp_types::{FastMap, SliceRange};

use crate::{
    planner::{HolderStatus, MoveRequest},
    table::{AssignmentPhase, AssignmentTable, InstanceKey, ServerInstance},
};

/// Begins a requested move, if its keys still have one serving holder.
pub(crate) fn begin_move(
    next: &mut AssignmentTable,
    request: &MoveRequest,
    status: impl Fn(&ServerInstance) -> HolderStatus,
    targets: &mut FastMap<SliceRange, ServerInstance>,
) -> bool {
    let assigned = next.find(request.range.first);
    let holder = next.instance(assigned.instance);
    let movable = assigned.phase == AssignmentPhase::Granted
        && assigned.range.covers(request.range)
        && *holder != request.target
        && status(holder) == HolderStatus::Serving;
    if !movable {
        return false;
    }
    let Some(position) = next.isolate(request.range) else { return false };
    let token = next.next_token();
    let assigned = &mut next.ranges[position];
    assigned.phase = AssignmentPhase::Releasing;
    assigned.token = token;
    targets.insert(request.range, request.target.clone());
    true
}

/// Begins to release what is granted to servers that are not serving.
pub(crate) fn begin_releases(
    next: &mut AssignmentTable,
    status: impl Fn(&ServerInstance) -> HolderStatus,
) -> bool {
    let instances: Vec<InstanceKey> = next
        .instances()
        .filter(|(_, instance)| status(instance) != HolderStatus::Serving)
        .map(|(key, _)| key)
        .collect();
    let mut changed = false;
    for key in instances {
        let held = next.ranges.iter().any(|assigned| {
            assigned.instance == key
                && assigned.phase == AssignmentPhase::Granted
        });
        if !held {
            continue;
        }
        let token = next.next_token();
        let ranges =
            next.ranges.iter_mut().filter(|assigned| assigned.instance == key);
        for assigned in ranges
            .filter(|assigned| assigned.phase == AssignmentPhase::Granted)
        {
            assigned.phase = AssignmentPhase::Releasing;
            assigned.token = token;
        }
        changed = true;
    }
    changed
}

//! A patch turns the older table of a VM into the newer one, and is small.

use std::sync::Arc;

use goldcrestramp_assignment::{
    AssignmentPhase, AssignmentTable, HolderStatus, MoveRequest,
    PlannerTiming, ServerInstance, TablePlanner,
};
use goldcrestramp_types::{LocalTime, SliceIndex, SliceRange, TimeSpan};
use proptest::prelude::*;

fn instance(number: u16) -> ServerInstance {
    ServerInstance {
        id: format!("server-{number}").into(),
        started_ms: 1,
        address: ([127, 0, 0, 1], 9_000 + number).into(),
    }
}

fn table(servers: u16) -> AssignmentTable {
    let instances: Vec<ServerInstance> = (0..servers).map(instance).collect();
    AssignmentTable::striped(&instances, 2).expect("there are servers")
}

fn planner(table: AssignmentTable) -> TablePlanner {
    let span = TimeSpan::from_millis(1_000);
    let timing = PlannerTiming {
        grant_duration: span,
        renew_interval: span,
        retry_delay: span,
    };
    TablePlanner::open(timing, table, LocalTime::default())
}

fn request(first: u16, keys: u16, target: u16) -> MoveRequest {
    let last = first.saturating_add(keys);
    let (first, last) = (SliceIndex::from(first), SliceIndex::from(last));
    MoveRequest { range: SliceRange { first, last }, target: instance(target) }
}

/// The table after a round of moves; `None` if nothing changed.
fn after(
    planner: &mut TablePlanner,
    requests: &[MoveRequest],
    ended: Option<u16>,
) -> Option<AssignmentTable> {
    let status = |holder: &ServerInstance| {
        let has_ended =
            ended.is_some_and(|number| *holder == instance(number));
        if has_ended { HolderStatus::Ended } else { HolderStatus::Serving }
    };
    let now = LocalTime::default() + TimeSpan::from_millis(60_000);
    planner.plan(now, status, requests, |_range| Some(instance(0)))
}

/// A range with its owner, token, phase and handover data.
type OwnedRange =
    (SliceRange, Arc<str>, u64, AssignmentPhase, Option<Arc<str>>);

/// The owner of every range, independent of the order of instances.
fn owners(table: &AssignmentTable) -> Vec<OwnedRange> {
    let ranges = table.ranges().iter();
    ranges
        .map(|assigned| {
            let id = Arc::clone(&table.instance(assigned.instance).id);
            (
                assigned.range,
                id,
                assigned.token,
                assigned.phase,
                assigned.handover.clone(),
            )
        })
        .collect()
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(256))]

    #[test]
    fn a_patch_turns_the_older_table_into_the_newer_one(
        rounds in prop::collection::vec(
            (
                prop::collection::vec(
                    (any::<u16>(), 0_u16..300, 0_u16..9), 0..6,
                ),
                prop::option::of(1_u16..9),
            ),
            1..8,
        ),
    ) {
        let mut planner = planner(table(6));
        let mut replica = planner.table().clone();
        for (requests, ended) in rounds {
            let requests: Vec<MoveRequest> = requests
                .into_iter()
                .map(|(first, keys, target)| request(first, keys, target))
                .collect();
            let Some(newer) = after(&mut planner, &requests, ended) else {
                continue;
            };

            let patch = newer.patch_from(planner.table());
            replica = replica.patched(&patch).expect("patch applies");

            prop_assert_eq!(owners(&replica), owners(&newer));
            prop_assert_eq!(replica.highest_token(), newer.highest_token());
            planner.committed(newer);
        }
    }
}

/// A VM misses a commit and receives the patch of the next one. Applied to
/// its table, the patch may cover keys twice or not at all; then the VM has
/// to fetch the full table.
#[test]
fn a_patch_for_another_table_is_refused_or_covers_every_key() {
    let mut planner = planner(table(6));
    let missed = planner.table().clone();
    let first = after(&mut planner, &[request(100, 50, 3)], None);
    planner.committed(first.expect("a move begins"));
    let second = after(&mut planner, &[request(200, 90, 4)], None);
    let second = second.expect("a move begins");

    let patch = second.patch_from(planner.table());

    if let Ok(patched) = missed.patched(&patch) {
        let encoded = AssignmentTable::decode(&patched.encode());
        assert!(encoded.is_ok(), "every key is covered once");
    }
}

/// One of 388 ranges moves in a table of 194 servers. Every VM receives each
/// such commit, and full tables would saturate their links.
#[test]
fn a_patch_of_one_move_in_a_large_table_is_small() {
    let mut planner = planner(table(194));
    let full = planner.table().encode().len();
    let newer = after(&mut planner, &[request(1_000, 3, 7)], None);

    let patch = newer.expect("a move begins").patch_from(planner.table());

    let bytes = postcard::to_allocvec(&patch).expect("patch serializes").len();
    assert!(bytes * 10 < full, "{bytes} bytes of {full}");
}

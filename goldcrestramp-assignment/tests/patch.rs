//! A change of a table, told to a VM that has the former one, brings it to
//! the same owners, and takes few bytes.

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
    AssignmentTable::striped(&instances, 2).expect("servers")
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

fn wish(first: u16, keys: u16, target: u16) -> MoveRequest {
    let last = first.saturating_add(keys);
    let (first, last) = (SliceIndex::from(first), SliceIndex::from(last));
    MoveRequest { range: SliceRange { first, last }, target: instance(target) }
}

/// The table after a round of moves; nothing if none of them could begin.
fn after(
    planner: &mut TablePlanner,
    wishes: &[MoveRequest],
    ended: Option<u16>,
) -> Option<AssignmentTable> {
    let fate = |holder: &ServerInstance| {
        let gone = ended.is_some_and(|number| *holder == instance(number));
        if gone { HolderStatus::Ended } else { HolderStatus::Serving }
    };
    let now = LocalTime::default() + TimeSpan::from_millis(60_000);
    planner.plan(now, fate, wishes, |_range| Some(instance(0)))
}

/// A run with its owner, token, phase and handover.
type OwnedRun = (SliceRange, Arc<str>, u64, AssignmentPhase, Option<Arc<str>>);

/// The owner of every run, whatever the numbering of lives.
fn owners(table: &AssignmentTable) -> Vec<OwnedRun> {
    let runs = table.ranges().iter();
    runs.map(|run| {
        let id = Arc::clone(&table.instance(run.instance).id);
        (run.range, id, run.token, run.phase, run.handover.clone())
    })
    .collect()
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(256))]

    #[test]
    fn a_patch_brings_the_former_table_to_the_newer_one(
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
        let mut told = planner.table().clone();
        for (wishes, ended) in rounds {
            let wishes: Vec<MoveRequest> = wishes
                .into_iter()
                .map(|(first, keys, target)| wish(first, keys, target))
                .collect();
            let Some(newer) = after(&mut planner, &wishes, ended) else {
                continue;
            };

            let patch = newer.patch_from(planner.table());
            told = told.patched(&patch).expect("made from this table");

            prop_assert_eq!(owners(&told), owners(&newer));
            prop_assert_eq!(told.highest_token(), newer.highest_token());
            planner.committed(newer);
        }
    }
}

/// A VM has missed a commit and is told of the next one. What it would make
/// of that covers some keys twice or never, so it has to ask for the whole.
#[test]
fn a_patch_for_another_table_is_refused_or_covers_every_key() {
    let mut planner = planner(table(6));
    let missed = planner.table().clone();
    let first = after(&mut planner, &[wish(100, 50, 3)], None);
    planner.committed(first.expect("a move"));
    let second = after(&mut planner, &[wish(200, 90, 4)], None);
    let second = second.expect("a move");

    let patch = second.patch_from(planner.table());

    if let Ok(made) = missed.patched(&patch) {
        let encoded = AssignmentTable::decode(&made.encode());
        assert!(encoded.is_ok(), "every key is covered once");
    }
}

/// One of 388 runs moves between 194 servers. Every VM is told of each such
/// commit; told the whole table, their links fill.
#[test]
fn a_move_in_a_large_table_is_told_in_few_bytes() {
    let mut planner = planner(table(194));
    let whole = planner.table().encode().len();
    let newer = after(&mut planner, &[wish(1_000, 3, 7)], None);

    let patch = newer.expect("a move").patch_from(planner.table());

    let bytes = postcard::to_allocvec(&patch).expect("plain values").len();
    assert!(bytes * 10 < whole, "{bytes} bytes of {whole}");
}

//! VMs tell one another of tables by what has changed in them, whatever
//! versions they have and in whatever order they hear of it.

use goldcrestramp_adapter::StoreItem;
use goldcrestramp_assignment::{AssignmentTable, ServerInstance, TableError};
use goldcrestramp_entry::{
    history::{TableHistory, TablePayload, TableRevision, TableUpdate},
    mirror::StoreMirror,
    records::table_key,
};
use goldcrestramp_types::SliceIndex;

/// A table of so many servers: each number makes another table.
fn table(servers: u16) -> AssignmentTable {
    let instances: Vec<ServerInstance> = (0..servers)
        .map(|number| ServerInstance {
            id: format!("server-{number}").into(),
            started_ms: 1,
            address: ([127, 0, 0, 1], 9_000 + number).into(),
        })
        .collect();
    AssignmentTable::striped(&instances, 8).expect("servers")
}

fn commit(mirror: &mut StoreMirror, servers: u16, revision: u64) {
    let value = table(servers).encode().into();
    mirror.write(StoreItem { key: table_key("stock"), value, revision });
}

/// A history that has seen versions of 4, 5 and more servers, at the
/// revisions 10, 20 and so on.
fn history(versions: u16) -> TableHistory {
    let mut mirror = StoreMirror::default();
    let mut history = TableHistory::default();
    for version in 0..versions {
        commit(&mut mirror, 4 + version, u64::from(version + 1) * 10);
        assert!(history.record(&mirror));
    }
    history
}

fn version_at(revision: u64) -> TableRevision {
    TableRevision { key: table_key("stock"), revision }
}

fn only(update: Vec<TableUpdate>) -> TableUpdate {
    let [update] = update.try_into().expect("one table");
    update
}

fn owner(table: &AssignmentTable, key: u16) -> String {
    let run = table.find(SliceIndex::from(key));
    table.instance(run.instance).id.to_string()
}

#[test]
fn a_vm_that_is_behind_is_told_what_has_changed() {
    let ahead = history(4);
    let behind = history(2);

    let update = only(ahead.update_for(&behind.known_revisions()));

    assert!(matches!(update.payload, TablePayload::Patch { base: 20, .. }));
    let resolved = behind.resolve(update).expect("its version");
    let resolved = resolved.expect("a newer one");
    for key in (0..u16::MAX).step_by(97) {
        assert_eq!(owner(&resolved, key), owner(&table(7), key));
    }
}

#[test]
fn a_vm_with_the_newest_version_is_told_nothing() {
    let ahead = history(3);

    assert!(ahead.update_for(&ahead.known_revisions()).is_empty());
}

/// Two commits follow each other within the time of the way, and the later
/// call overtakes the earlier. The change is one of a version that is not
/// there: taken, keys would be sought at owners that they never had. The VM
/// says what it has, and is told from there.
#[test]
fn a_change_of_another_version_is_refused() {
    let planner = history(4);
    let behind = history(2);
    let later = only(planner.update_for(&[version_at(30)]));

    let refused = behind.resolve(later);
    assert_eq!(refused.err(), Some(TableError));

    let retried = only(planner.update_for(&behind.known_revisions()));
    assert!(behind.resolve(retried).expect("its version").is_some());
}

/// The same change comes from the planning VM and from the one that is
/// followed.
#[test]
fn a_change_that_is_known_changes_nothing() {
    let planner = history(4);
    let known = history(4);
    let update = only(planner.update_for(&[version_at(20)]));

    let resolved = known.resolve(update).expect("as new");

    assert!(resolved.is_none());
}

/// A VM that was cut off has a version that nobody remembers, or none.
#[test]
fn a_vm_that_is_far_behind_is_told_everything() {
    let ahead = history(40);

    for known in [vec![], vec![version_at(10)]] {
        let update = only(ahead.update_for(&known));

        assert!(matches!(update.payload, TablePayload::Full(_)));
        assert!(history(1).resolve(update).expect("whole").is_some());
    }
}

//! Tables are sent to other VMs as patches, whatever versions the VMs have and
//! in whatever order the updates arrive.

use goldcrestramp_adapter::StoreItem;
use goldcrestramp_assignment::{AssignmentTable, ServerInstance, TableError};
use goldcrestramp_entry::{
    history::{TableHistory, TablePayload, TableRevision, TableUpdate},
    mirror::StoreMirror,
    records::table_key,
};
use goldcrestramp_types::SliceIndex;

/// A table of `servers` servers; each number makes a different table.
fn table(servers: u16) -> AssignmentTable {
    let instances: Vec<ServerInstance> = (0..servers)
        .map(|number| ServerInstance {
            id: format!("server-{number}").into(),
            started_ms: 1,
            address: ([127, 0, 0, 1], 9_000 + number).into(),
        })
        .collect();
    AssignmentTable::striped(&instances, 8).expect("there are servers")
}

fn commit(mirror: &mut StoreMirror, servers: u16, revision: u64) {
    let value = table(servers).encode().into();
    mirror.write(StoreItem { key: table_key("stock"), value, revision });
}

/// A history of versions with 4, 5 and more servers, at the revisions 10, 20
/// and so on.
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
    let [update] = update.try_into().expect("there is one table");
    update
}

fn owner(table: &AssignmentTable, key: u16) -> String {
    let assigned = table.find(SliceIndex::from(key));
    table.instance(assigned.instance).id.to_string()
}

#[test]
fn a_vm_that_is_behind_is_sent_a_patch() {
    let ahead = history(4);
    let behind = history(2);

    let update = only(ahead.update_for(&behind.known_revisions()));

    assert!(matches!(update.payload, TablePayload::Patch { base: 20, .. }));
    let resolved = behind.resolve(update).expect("the base version matches");
    let resolved = resolved.expect("the update is newer");
    for key in (0..u16::MAX).step_by(97) {
        assert_eq!(owner(&resolved, key), owner(&table(7), key));
    }
}

#[test]
fn a_vm_with_the_newest_version_is_sent_no_update() {
    let ahead = history(3);

    assert!(ahead.update_for(&ahead.known_revisions()).is_empty());
}

/// Guards against lookups at owners that keys never had. Two commits follow
/// each other within one network delay, and the later call overtakes the
/// earlier, so its patch is for a version that the VM does not have. The VM
/// reports its version, and is sent a patch from there.
#[test]
fn a_patch_for_another_version_is_rejected() {
    let planner = history(4);
    let behind = history(2);
    let later = only(planner.update_for(&[version_at(30)]));

    let rejected = behind.resolve(later);
    assert_eq!(rejected.err(), Some(TableError));

    let retried = only(planner.update_for(&behind.known_revisions()));
    assert!(
        behind.resolve(retried).expect("the base version matches").is_some()
    );
}

/// Guards against an update that is applied twice: it arrives from the
/// planning VM and from the followed one.
#[test]
fn a_known_update_changes_nothing() {
    let planner = history(4);
    let known = history(4);
    let update = only(planner.update_for(&[version_at(20)]));

    let resolved = known.resolve(update).expect("the update is known");

    assert!(resolved.is_none());
}

/// Guards against patches that cannot be applied. A VM that was cut off has a
/// version that is no longer kept, or none.
#[test]
fn a_vm_that_is_far_behind_is_sent_the_full_table() {
    let ahead = history(40);

    for known in [vec![], vec![version_at(10)]] {
        let update = only(ahead.update_for(&known));

        assert!(matches!(update.payload, TablePayload::Full(_)));
        assert!(
            history(1)
                .resolve(update)
                .expect("the update is a full table")
                .is_some()
        );
    }
}

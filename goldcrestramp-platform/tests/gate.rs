//! A gate never accepts an older value than before.

use bytes::Bytes;
use goldcrestramp_config::DeploymentState;
use goldcrestramp_platform::{
    GateVerdict, PutCondition, StoreRewrite, StoredValue, VersionGate,
    records::StoreRecord,
};
use proptest::prelude::*;

fn state(version: u64) -> DeploymentState {
    DeploymentState { version, ..DeploymentState::default() }
}

fn bytes(version: u64) -> Bytes {
    state(version).encode().expect("state is within bounds")
}

fn stored(version: u64, number: u64) -> StoredValue {
    StoredValue { version, value: bytes(number) }
}

/// The platform restores its store from a backup, and every node reads the
/// older configuration again, so that an accepted ticket is lost. The gate
/// compares the numbers in the values, keeps the newer state and returns what
/// to write back.
#[test]
fn an_older_value_is_rejected_and_the_newer_is_written_again() {
    let mut gate = VersionGate::<DeploymentState>::new();
    assert_eq!(gate.check(Some(&stored(10, 7))), GateVerdict::Newer(state(7)));

    let verdict = gate.check(Some(&stored(3, 5)));

    let condition = PutCondition::Version(3);
    let rewrite = StoreRewrite { condition, value: bytes(7) };
    assert_eq!(verdict, GateVerdict::Older(rewrite));
    assert_eq!(gate.number(), Some(7));
}

#[test]
fn a_missing_value_is_written_again() {
    let mut gate = VersionGate::<DeploymentState>::new();
    assert_eq!(gate.check(None), GateVerdict::Absent);
    gate.check(Some(&stored(10, 7)));

    let verdict = gate.check(None);

    let condition = PutCondition::Absent;
    let rewrite = StoreRewrite { condition, value: bytes(7) };
    assert_eq!(verdict, GateVerdict::Older(rewrite));
}

/// After a restore the store assigns version 10 a second time, to another
/// ticket 7. The versions are equal, but the values differ.
#[test]
fn a_second_value_with_the_same_number_is_a_fork() {
    let mut gate = VersionGate::<DeploymentState>::new();
    gate.check(Some(&stored(10, 7)));
    let other = Bytes::from_static(
        b"{\"version\":7,\"domains\":[{\"name\":\"a\",\"region\":\"r\"}]}",
    );

    let verdict = gate.check(Some(&StoredValue { version: 10, value: other }));

    assert_eq!(verdict, GateVerdict::Forked);
}

proptest! {
    #[test]
    fn the_number_never_decreases(
        reads in prop::collection::vec(prop::option::of(0_u64..20), 0..60),
    ) {
        let mut gate = VersionGate::<DeploymentState>::new();
        let mut highest = None;
        for read in reads {
            let value = read.map(|number| stored(1, number));
            let verdict = gate.check(value.as_ref());
            let newer = matches!(verdict, GateVerdict::Newer(_));
            prop_assert_eq!(newer, read.is_some() && read > highest);
            highest = highest.max(read);
            prop_assert_eq!(gate.number(), highest);
        }
    }
}

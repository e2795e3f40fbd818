//! Versions of the configuration are sent to other VMs as patches.

use std::{collections::BTreeMap, sync::Arc};

use goldcrestramp_adapter::FleetConfiguration;
use goldcrestramp_entry::{
    configuration::{
        BaseMismatch, ConfigurationHistory, ConfigurationRevision,
        ConfigurationUpdate,
    },
    mirror::MirrorValue,
};
use proptest::prelude::*;
use serde_json::{Value, json};

/// The routes of a version: for each route's number, the number of its
/// service.
type Routes = BTreeMap<u8, u8>;

fn value(version: u64, routes: &Routes) -> MirrorValue {
    let routes = routes.iter().map(|(name, service)| {
        let route = json!({
            "host": format!("host-{name}.example"), "path_prefix": "/",
            "kind": "safe", "timeout": "1s",
            "service": format!("service-{service}")
        });
        (format!("route-{name}"), route)
    });
    let routes: serde_json::Map<String, Value> = routes.collect();
    let services =
        json!({"service-0": {"sharded": version.is_multiple_of(2)}});
    let full =
        json!({"version": version, "routes": routes, "services": services});
    MirrorValue {
        value: full.to_string().into_bytes(),
        revision: version * 10,
        changed: version * 10,
    }
}

fn newest(history: &ConfigurationHistory) -> Arc<FleetConfiguration> {
    Arc::clone(&history.newest().expect("there is a version").configuration)
}

/// The update after it was encoded and decoded.
fn round_trip(update: &ConfigurationUpdate) -> ConfigurationUpdate {
    let bytes = postcard::to_allocvec(update).expect("the update encodes");
    postcard::from_bytes(&bytes).expect("the update decodes")
}

#[test]
fn a_change_of_one_route_is_sent_in_few_bytes() {
    let mut routes: Routes = (0..200).map(|name| (name, 0)).collect();
    let mut source = ConfigurationHistory::default();
    source.apply_value(&value(1, &routes));
    let full = source
        .update_for(ConfigurationRevision::default())
        .expect("there is a full update");

    let known_revision = source.known_revision();
    routes.insert(7, 1);
    source.apply_value(&value(2, &routes));
    let change = source.update_for(known_revision).expect("there is a patch");

    let bytes = |update| {
        postcard::to_allocvec(update).expect("the update encodes").len()
    };
    assert!(bytes(&change) * 20 < bytes(&full));
}

#[test]
fn a_configuration_patch_for_another_version_is_rejected() {
    let mut source = ConfigurationHistory::default();
    let mut follower = ConfigurationHistory::default();
    source.apply_value(&value(1, &Routes::from([(1, 0)])));
    let known_revision = source.known_revision();
    source.apply_value(&value(2, &Routes::from([(1, 1)])));
    let change = source.update_for(known_revision).expect("there is a patch");

    assert_eq!(follower.apply_update(change), Err(BaseMismatch));
    assert!(follower.newest().is_none());
}

#[test]
fn a_lower_version_is_not_applied() {
    let mut history = ConfigurationHistory::default();
    history.apply_value(&value(7, &Routes::new()));
    let mut other = ConfigurationHistory::default();
    let older = MirrorValue { revision: 90, ..value(5, &Routes::new()) };
    other.apply_value(&older);

    assert!(!history.apply_value(&older));
    let update = other
        .update_for(ConfigurationRevision::default())
        .expect("there is a full update");
    assert_eq!(history.apply_update(update), Ok(false));
    assert_eq!(newest(&history).version, 7);
}

/// Guards against a full copy with each call for a version that the follower
/// does not apply.
#[test]
fn a_rejected_version_is_not_sent_again() {
    let mut source = ConfigurationHistory::default();
    let mut follower = ConfigurationHistory::default();
    let routes = Routes::from([(1, 0)]);
    follower.apply_value(&value(7, &routes));
    source.apply_value(&MirrorValue { revision: 90, ..value(7, &routes) });

    let update = source
        .update_for(follower.known_revision())
        .expect("the revision is later");

    assert_eq!(follower.apply_update(update), Ok(false));
    assert!(source.update_for(follower.known_revision()).is_none());
    let next = MirrorValue { revision: 99, ..value(8, &routes) };
    source.apply_value(&next);
    let update = source
        .update_for(follower.known_revision())
        .expect("the version is newer");
    assert_eq!(follower.apply_update(update), Ok(true));
}

#[test]
fn a_vm_that_is_far_behind_is_sent_the_full_configuration() {
    let mut source = ConfigurationHistory::default();
    let mut follower = ConfigurationHistory::default();
    follower.apply_value(&value(1, &Routes::from([(9, 9)])));
    for version in 1..60 {
        source.apply_value(&value(version, &Routes::from([(1, 0)])));
    }

    let update = source
        .update_for(follower.known_revision())
        .expect("there is an update");

    assert_eq!(follower.apply_update(update), Ok(true));
    assert_eq!(newest(&follower), newest(&source));
}

proptest! {
    /// Guards against patches that leave a VM at another configuration than
    /// its source, whatever versions the VM has missed.
    #[test]
    fn updates_bring_a_vm_to_its_source_s_version(
        versions in prop::collection::vec(
            (prop::collection::btree_map(0..8_u8, 0..3_u8, 0..8), any::<bool>()),
            1..40,
        ),
    ) {
        let mut source = ConfigurationHistory::default();
        let mut follower = ConfigurationHistory::default();
        for (version, (routes, delivered)) in (1..).zip(&versions) {
            source.apply_value(&value(version, routes));
            if !delivered {
                continue;
            }
            let update = source
                .update_for(follower.known_revision())
                .expect("there is an update");
            prop_assert_eq!(
                follower.apply_update(round_trip(&update)),
                Ok(true)
            );
            prop_assert_eq!(newest(&follower), newest(&source));
            prop_assert!(
                source.update_for(follower.known_revision()).is_none()
            );
        }
    }
}

/// A configuration whose route is served in these regions, and whose service
/// limits its cold servers.
fn restricted(version: u64, regions: &[&str]) -> MirrorValue {
    let full = json!({
        "version": version,
        "routes": {"r": {
            "host": "h", "path_prefix": "/", "kind": "safe", "service": "s",
            "allowed_regions": regions
        }},
        "services": {"s": {"cold_start": "3s", "cold_per_s": 3.3}}
    });
    MirrorValue {
        value: full.to_string().into_bytes(),
        revision: version * 10,
        changed: version * 10,
    }
}

/// The update as another VM receives it, with the extension beside it.
fn received(mut update: ConfigurationUpdate) -> ConfigurationUpdate {
    let extension = postcard::to_allocvec(&update.take_extension());
    let extension = extension.expect("the extension encodes");
    let extension = postcard::from_bytes(&extension);
    let mut received = round_trip(&update);
    received.set_extension(extension.expect("the extension decodes"));
    received
}

/// Guards against a VM that serves a route in all regions because it has the
/// configuration from another VM, in full or as a patch.
#[test]
fn regions_and_cold_limits_reach_other_vms() {
    let mut source = ConfigurationHistory::default();
    let mut follower = ConfigurationHistory::default();
    for (version, regions) in [(1, ["north"]), (2, ["south"])] {
        source.apply_value(&restricted(version, &regions));
        let update = source.update_for(follower.known_revision());

        let update = update.expect("there is an update");
        follower.apply_update(received(update)).expect("it applies");

        assert_eq!(newest(&follower), newest(&source));
    }
}

/// Guards against VMs of earlier builds that can't read what this one sends:
/// their form of an update has neither regions nor cold limits.
#[test]
fn an_update_is_encoded_as_by_earlier_builds() {
    let encoded = |regions: &[&str]| {
        let mut source = ConfigurationHistory::default();
        source.apply_value(&restricted(1, regions));
        let known = ConfigurationRevision::default();
        let update = source.update_for(known).expect("there is an update");
        postcard::to_allocvec(&update).expect("the update encodes")
    };

    assert_eq!(encoded(&["north"]), encoded(&[]));
}

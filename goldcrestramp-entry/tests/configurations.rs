//! Versions of the configuration are passed on as what has changed.

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

/// The routes of a version: for each a name and the service it leads to.
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
    Arc::clone(&history.newest().expect("a version").configuration)
}

/// News as they come out at the other end of a link.
fn round_trip(update: &ConfigurationUpdate) -> ConfigurationUpdate {
    let bytes = postcard::to_allocvec(update).expect("bytes");
    postcard::from_bytes(&bytes).expect("news")
}

#[test]
fn a_change_of_one_route_is_told_in_few_bytes() {
    let mut routes: Routes = (0..200).map(|name| (name, 0)).collect();
    let mut source = ConfigurationHistory::default();
    source.apply_value(&value(1, &routes));
    let full = source
        .update_for(ConfigurationRevision::default())
        .expect("all of it");

    let known_revision = source.known_revision();
    routes.insert(7, 1);
    source.apply_value(&value(2, &routes));
    let change = source.update_for(known_revision).expect("a change");

    let bytes = |update| postcard::to_allocvec(update).expect("bytes").len();
    assert!(bytes(&change) * 20 < bytes(&full));
}

#[test]
fn a_configuration_s_change_of_another_version_is_refused() {
    let mut source = ConfigurationHistory::default();
    let mut follower = ConfigurationHistory::default();
    source.apply_value(&value(1, &Routes::from([(1, 0)])));
    let known_revision = source.known_revision();
    source.apply_value(&value(2, &Routes::from([(1, 1)])));
    let change = source.update_for(known_revision).expect("a change");

    assert_eq!(follower.apply_update(change), Err(BaseMismatch));
    assert!(follower.newest().is_none());
}

#[test]
fn a_lower_version_is_not_taken_back() {
    let mut history = ConfigurationHistory::default();
    history.apply_value(&value(7, &Routes::new()));
    let mut other = ConfigurationHistory::default();
    let older = MirrorValue { revision: 90, ..value(5, &Routes::new()) };
    other.apply_value(&older);

    assert!(!history.apply_value(&older));
    let update =
        other.update_for(ConfigurationRevision::default()).expect("all of it");
    assert_eq!(history.apply_update(update), Ok(false));
    assert_eq!(newest(&history).version, 7);
}

/// Guards against a copy with each call for a version that is not taken.
#[test]
fn what_was_refused_is_not_told_again() {
    let mut source = ConfigurationHistory::default();
    let mut follower = ConfigurationHistory::default();
    let routes = Routes::from([(1, 0)]);
    follower.apply_value(&value(7, &routes));
    source.apply_value(&MirrorValue { revision: 90, ..value(7, &routes) });

    let update = source
        .update_for(follower.known_revision())
        .expect("a later revision");

    assert_eq!(follower.apply_update(update), Ok(false));
    assert!(source.update_for(follower.known_revision()).is_none());
    let next = MirrorValue { revision: 99, ..value(8, &routes) };
    source.apply_value(&next);
    let update =
        source.update_for(follower.known_revision()).expect("a newer version");
    assert_eq!(follower.apply_update(update), Ok(true));
}

#[test]
fn a_vm_that_is_far_behind_is_told_everything() {
    let mut source = ConfigurationHistory::default();
    let mut follower = ConfigurationHistory::default();
    follower.apply_value(&value(1, &Routes::from([(9, 9)])));
    for version in 1..60 {
        source.apply_value(&value(version, &Routes::from([(1, 0)])));
    }

    let update = source.update_for(follower.known_revision()).expect("news");

    assert_eq!(follower.apply_update(update), Ok(true));
    assert_eq!(newest(&follower), newest(&source));
}

proptest! {
    /// Whatever versions a VM has missed, it ends with what its source has.
    #[test]
    fn news_bring_a_vm_to_its_source_s_version(
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
            let update = source.update_for(follower.known_revision()).expect("news");
            prop_assert_eq!(follower.apply_update(round_trip(&update)), Ok(true));
            prop_assert_eq!(newest(&follower), newest(&source));
            prop_assert!(source.update_for(follower.known_revision()).is_none());
        }
    }
}

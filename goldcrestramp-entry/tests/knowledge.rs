//! A VM's copy of the store never reverts to an older state, and the VM
//! knows when the copy may be out of date.

use std::{net::SocketAddr, sync::Arc};

use goldcrestramp_adapter::{ServerEntry, StoreEvent, StoreItem};
use goldcrestramp_assignment::ServerInstance;
use goldcrestramp_entry::{
    configuration::ConfigurationHistory,
    control::{SyncState, UpdateSource, update_as_of},
    mirror::{MirrorValue, StoreMirror},
    view::ViewBuilder,
};
use goldcrestramp_types::{LocalTime, TimeSpan};
use serde_json::{Value, json};

fn at(millis: u64) -> LocalTime {
    LocalTime::from_micros(1_000_000_000) + TimeSpan::from_millis(millis)
}

fn item(key: &str, value: &str, revision: u64) -> StoreItem {
    let value = value.to_owned().into();
    StoreItem { key: key.into(), value, revision }
}

fn written(key: &str, value: &str, revision: u64) -> StoreEvent {
    StoreEvent::Written(item(key, value, revision))
}

fn removed(key: &str, revision: u64) -> StoreEvent {
    StoreEvent::Removed { key: key.into(), revision }
}

fn value<'a>(mirror: &'a StoreMirror, key: &str) -> Option<&'a [u8]> {
    mirror.get(key).map(|item| item.value.as_slice())
}

#[test]
fn a_mirror_applies_changes_in_any_order_and_more_than_once() {
    let mut mirror = StoreMirror::default();

    mirror.apply(vec![written("k", "new", 5)], 5);
    mirror.apply(vec![written("k", "old", 3), removed("k", 4)], 5);

    assert_eq!(value(&mirror, "k"), Some(&b"new"[..]));
    mirror.apply(vec![removed("k", 6)], 6);
    assert_eq!(value(&mirror, "k"), None);
}

/// Guards against removals that a delta loses. A VM that is behind queries a
/// peer, and the delta brings it to the peer's state.
#[test]
fn a_delta_brings_a_mirror_to_another_s_state() {
    let mut ahead = StoreMirror::default();
    ahead.apply(vec![written("a", "1", 1), written("b", "1", 2)], 2);
    let mut behind = ahead.clone();

    ahead.apply(vec![written("b", "2", 3), removed("a", 4)], 4);
    let delta = ahead.delta_since(2).expect("removals are kept");
    behind.apply_delta(delta, true);

    assert_eq!(value(&behind, "a"), None);
    assert_eq!(value(&behind, "b"), Some(&b"2"[..]));
    assert_eq!(behind.revision(), 4);
}

fn server_entry(state: &str, seq: u64) -> String {
    json!({
        "address": "10.1.64.3:8000",
        "born": 5,
        "info": { "service": "stock", "zone": "a", "version": "v1",
                  "slots": 4 },
        "status": { "state": state, "seq": seq, "cold_left": "0ms" },
    })
    .to_string()
}

/// Guards against heartbeats that fill the link of a followed VM, so that
/// requests wait behind them: hundreds of servers write one each second.
/// Changes of state are passed on, and a VM that gets no heartbeats misses
/// nothing.
#[test]
fn heartbeats_are_applied_but_not_passed_on() {
    let mut mirror = StoreMirror::default();
    mirror.apply(vec![written("servers/s", &server_entry("ready", 1), 4)], 4);

    let heartbeats = vec![written("servers/s", &server_entry("ready", 2), 7)];

    assert!(!mirror.apply(heartbeats, 7));
    assert_eq!(mirror.last_change_revision(), 4);
    let delta = mirror.delta_since(4).expect("removals are kept");
    let mut other = StoreMirror::default();
    assert!(!other.apply_delta(delta, true), "only the revision changes");
    assert_eq!(other.revision(), 7);

    let draining = vec![written("servers/s", &server_entry("draining", 3), 9)];

    assert!(mirror.apply(draining, 9));
    assert_eq!(mirror.last_change_revision(), 9);
    let delta = mirror.delta_since(7).expect("removals are kept");
    assert!(other.apply_delta(delta, true));
    assert!(value(&other, "servers/s").is_some());
}

/// Guards against a server that keeps getting requests after it has left. A VM
/// has committed a table, so it knows revision 20 of that key; the watch
/// delivers a server's leaving at revision 18 after that, which must count as
/// a change.
#[test]
fn a_change_from_before_an_own_commit_counts() {
    let mut mirror = StoreMirror::default();
    mirror.apply(vec![written("servers/s", &server_entry("ready", 1), 4)], 4);
    mirror.write(item("router/table/s", "own", 20));
    assert_eq!(mirror.last_change_revision(), 4, "it is not passed on yet");

    let draining =
        vec![written("servers/s", &server_entry("draining", 2), 18)];

    assert!(mirror.apply(draining, 18));
    assert_eq!(mirror.last_change_revision(), 18);
    let committed = vec![written("router/table/s", "own", 20)];
    assert!(mirror.apply(committed, 20), "followers may not have it");
}

/// Guards against entries that a VM keeps after their removal. Removals before
/// a full read are not kept, so a VM that is behind it must be sent
/// everything.
#[test]
fn there_is_no_delta_from_before_a_full_read() {
    let mut mirror = StoreMirror::default();
    mirror.apply(vec![written("a", "1", 1)], 1);

    assert!(mirror.replace(vec![item("b", "1", 7)], 9));

    assert!(mirror.delta_since(1).is_none());
    assert!(mirror.delta_since(9).is_some());
    assert_eq!(value(&mirror, "a"), None);
}

#[test]
fn an_older_read_or_copy_changes_nothing() {
    let mut mirror = StoreMirror::default();
    mirror.apply(vec![written("a", "2", 8)], 8);
    let old = StoreMirror::default();

    assert!(!mirror.replace(vec![item("a", "1", 3)], 5));
    assert!(!mirror.adopt(old));

    assert_eq!(value(&mirror, "a"), Some(&b"2"[..]));
}

/// Guards against full tables that are sent to every VM after a loss of
/// history.
#[test]
fn a_copy_of_the_store_leaves_tables_as_they_are() {
    let mut source = StoreMirror::default();
    let items = vec![item("router/table/s", "theirs", 3), item("a", "1", 4)];
    source.replace(items, 9);
    let mut follower = StoreMirror::default();
    follower.write(item("router/table/s", "own", 2));

    let copy = source.without_tables();

    assert!(copy.get("router/table/s").is_none());
    assert!(follower.adopt(copy));
    assert_eq!(value(&follower, "a"), Some(&b"1"[..]));
    assert_eq!(value(&follower, "router/table/s"), Some(&b"own"[..]));
}

/// Guards against a read that reverts a commit. This VM's own commit is newer
/// than a read that began before it.
#[test]
fn a_read_keeps_what_was_written_after_its_start() {
    let mut mirror = StoreMirror::default();
    mirror.write(item("table", "new", 12));

    assert!(mirror.replace(vec![item("table", "old", 4)], 10));

    assert_eq!(value(&mirror, "table"), Some(&b"new"[..]));
}

/// Guards against an older configuration in force after a newer one. The store
/// returns with an older one, or a lower version is written later.
#[test]
fn a_configuration_never_reverts() {
    let configuration =
        |version: u64| json!({"version": version, "routes": {}}).to_string();
    let value = |version: u64, revision: u64| MirrorValue {
        value: configuration(version).into_bytes(),
        revision,
        changed: revision,
    };
    let mut builder = ViewBuilder::default();
    let mut history = ConfigurationHistory::default();
    let mirror = StoreMirror::default();
    history.apply_value(&value(7, 20));
    let first = builder.build(at(0), at(0), &mirror, history.newest());

    history.apply_value(&value(5, 30));
    let second = builder.build(at(1), at(1), &mirror, history.newest());
    let first = first.expect("the view has changed");

    assert_eq!(first.routes.expect("routes are known").version, 7);
    assert!(second.is_none());
}

#[test]
fn heartbeats_make_no_new_view() {
    let entry = |seq: u64| {
        json!({
            "address": "10.0.0.9:80", "born": 1,
            "info": {
                "service": "s", "version": "v1", "zone": "a", "slots": 2
            },
            "status": {"state": "ready", "seq": seq, "cold_left": "0ms"}
        })
    };
    let mut builder = ViewBuilder::default();
    let mut mirror = StoreMirror::default();
    mirror.write(item("servers/i", &entry(1).to_string(), 2));
    assert!(builder.build(at(0), at(0), &mirror, None).is_some());

    mirror.write(item("servers/i", &entry(2).to_string(), 3));

    assert!(builder.build(at(870), at(870), &mirror, None).is_none());
    mirror.apply(vec![removed("servers/i", 4)], 4);
    let view = builder.build(at(900), at(700), &mirror, None);
    let view = view.expect("the entry is removed");
    assert_eq!(view.leaving.get("i"), Some(&at(700)));
}

/// The entry of a server that started at this time; all have one address.
fn server_started(service: &str, started_ms: u64) -> String {
    json!({
        "address": "10.0.0.9:80", "born": started_ms,
        "info": {
            "service": service, "version": "v1", "zone": "a", "slots": 2
        },
        "status": {"state": "ready", "seq": 1, "cold_left": "0ms"}
    })
    .to_string()
}

/// A history with one configuration, which has these services and no routes.
fn history_of(version: u64, services: &Value) -> ConfigurationHistory {
    let configuration =
        json!({"version": version, "routes": {}, "services": services});
    let mut history = ConfigurationHistory::default();
    history.apply_value(&MirrorValue {
        value: configuration.to_string().into_bytes(),
        revision: version,
        changed: version,
    });
    history
}

/// Guards against requests to a server whose address now belongs to another
/// server.
#[test]
fn a_server_whose_address_was_reused_is_removed() {
    let mut builder = ViewBuilder::default();
    let mut mirror = StoreMirror::default();
    mirror.write(item("servers/former", &server_started("stock", 5), 2));
    assert!(builder.build(at(0), at(0), &mirror, None).is_some());

    mirror.write(item("servers/later", &server_started("orders", 6), 3));
    let view = builder.build(at(900), at(700), &mirror, None);

    let view = view.expect("the view has changed");
    assert!(!view.servers.contains_key("former"));
    assert!(!view.ready.contains_key("stock"));
    assert_eq!(view.leaving.get("former"), Some(&at(700)));
    assert_eq!(view.ready["orders"].len(), 1);
}

/// Guards against a running server that counts as ended because another writer
/// lists its address under a service of its own.
#[test]
fn an_entry_of_an_unknown_service_ends_no_server() {
    let history = history_of(1, &json!({"stock": {}}));
    let mut builder = ViewBuilder::default();
    let mut mirror = StoreMirror::default();
    mirror.write(item("servers/s", &server_started("stock", 5), 2));
    let view = builder.build(at(0), at(0), &mirror, history.newest());
    let owner = instance(&view.expect("the view is new").servers["s"]);

    mirror.write(item("servers/agent", &server_started("agent", 6), 3));
    let view = builder.build(at(900), at(700), &mirror, history.newest());

    let view = view.expect("the view has changed");
    assert!(!view.has_successor(&owner));
    assert_eq!(view.ready["stock"].len(), 1);
    assert!(view.leaving.is_empty());
    assert!(!view.servers.contains_key("agent"));
}

/// Guards against an ended server that keeps its keys because the service that
/// has its address now was added to the configuration only later.
#[test]
fn an_address_counts_as_reused_once_the_service_is_known() {
    let mut builder = ViewBuilder::default();
    let mut mirror = StoreMirror::default();
    let history = history_of(1, &json!({"stock": {}}));
    mirror.write(item("servers/s", &server_started("stock", 5), 2));
    mirror.write(item("servers/later", &server_started("orders", 6), 3));
    let view = builder.build(at(0), at(0), &mirror, history.newest());
    let owner = instance(&view.expect("the view is new").servers["s"]);

    let history = history_of(2, &json!({"stock": {}, "orders": {}}));
    let view = builder.build(at(900), at(700), &mirror, history.newest());

    let view = view.expect("the view has changed");
    assert!(view.has_successor(&owner));
    assert_eq!(view.leaving.get("s"), Some(&at(700)));
    assert_eq!(view.ready["orders"].len(), 1);
}

fn instance(entry: &ServerEntry) -> ServerInstance {
    ServerInstance {
        id: Arc::clone(&entry.id),
        started_ms: entry.started_ms,
        address: entry.address,
    }
}

/// Guards against requests that reach a leaving server after the allowed time.
/// The followed VM stops responding, so the change becomes known most of a
/// second late; it must count from the last update before it.
#[test]
fn a_late_change_counts_from_the_update_before_it() {
    let mut sync = SyncState::default();
    sync.record_response(at(0));
    sync.record_current_at(at(100));

    assert_eq!(sync.changed_since(at(1_000)), at(100));
    assert_eq!(sync.age(at(1_000)), TimeSpan::from_millis(900));
    let after_outage = sync.changed_since(at(9_000));
    assert_eq!(after_outage, at(7_500), "the store was unavailable");
}

/// Guards against entries that count as removed during an outage. They expired
/// without being removed by anyone, and most of them return, so they count
/// from when they are found missing.
#[test]
fn entries_missing_after_an_outage_count_from_now() {
    let mut sync = SyncState::default();
    sync.record_response(at(0));
    sync.record_current_at(at(0));
    sync.record_failure();
    sync.record_response(at(5_000));

    assert_eq!(sync.changed_since(at(5_100)), at(5_100));
}

fn peer() -> SocketAddr {
    SocketAddr::from(([10, 0, 0, 2], 7_540))
}

/// Guards against a link to the store's region that is full for seconds, and
/// with it the link of callers' requests. After a loss of power all VMs start
/// at once; each reads only the few bytes that list the other VMs of its
/// failure domain, and not the full store.
#[test]
fn a_starting_vm_gets_the_store_s_contents_from_its_peer() {
    let mut sync = SyncState::default();
    let first = sync.next(at(0), 0, std::iter::empty());
    sync.record_vms(at(0));
    let second = sync.next(at(0), 0, [peer()].into_iter());
    sync.record_peer_failure(at(10), peer());
    sync.record_registration();
    let third = sync.next(at(10), 0, [peer()].into_iter());
    sync.record_vms(at(20));
    let alone = sync.next(at(20), 0, [peer()].into_iter());

    assert_eq!(first, UpdateSource::StoreVms);
    assert_eq!(second, UpdateSource::Peer(peer(), 0));
    assert_eq!(third, UpdateSource::StoreVms);
    assert_eq!(alone, UpdateSource::FullStore);
}

/// Guards against a fleet of which each VM reads the full store because all
/// started at the same moment: none finds the entries of the others at first.
#[test]
fn a_starting_vm_without_a_peer_waits_for_its_own_entry() {
    let mut sync = SyncState::default();
    sync.record_vms(at(5));

    let waits = sync.next(at(5), 0, std::iter::empty());
    sync.record_registration();
    let reads = sync.next(at(30), 0, std::iter::empty());
    sync.record_vms(at(35));
    let follows = sync.next(at(35), 0, [peer()].into_iter());

    assert_eq!(waits, UpdateSource::AwaitEntry);
    assert_eq!(reads, UpdateSource::StoreVms);
    assert_eq!(follows, UpdateSource::Peer(peer(), 0));
}

/// Guards against a VM that does not start while the store accepts no writes.
#[test]
fn a_starting_vm_does_not_wait_long_for_its_own_entry() {
    let mut sync = SyncState::default();
    sync.record_vms(at(0));

    let reads = sync.next(at(500), 0, std::iter::empty());
    sync.record_vms(at(510));
    let alone = sync.next(at(510), 0, std::iter::empty());

    assert_eq!(reads, UpdateSource::StoreVms);
    assert_eq!(alone, UpdateSource::FullStore);
}

/// Guards against a source that is given up while it reads the full store over
/// a slow link: each VM that follows it would then read it as well.
#[test]
fn a_starting_vm_is_patient_with_a_source_that_has_nothing_yet() {
    let mut sync = SyncState::default();
    sync.record_vms(at(0));
    sync.next(at(0), 0, [peer()].into_iter());
    sync.record_peer_response(at(0), peer(), false);

    sync.record_peer_response(at(1_900), peer(), false);
    let patient = sync.next(at(1_900), 0, [peer()].into_iter());
    sync.record_peer_response(at(2_000), peer(), false);
    let given_up = sync.next(at(2_000), 0, [peer()].into_iter());

    assert_eq!(patient, UpdateSource::Peer(peer(), 0));
    assert_ne!(given_up, UpdateSource::Peer(peer(), 0));
}

#[test]
fn a_vm_follows_its_peer_if_it_has_one() {
    let mut sync = SyncState::default();
    let followed = sync.next(at(0), 5, [peer()].into_iter());
    let alone = sync.next(at(0), 5, std::iter::empty());

    assert_eq!(followed, UpdateSource::Peer(peer(), 5));
    assert_eq!(alone, UpdateSource::StoreChanges(5));
}

/// Guards against followers that all fall back to the store when their source
/// is restarted on purpose. The heartbeats of all servers would then be sent
/// to each and fill the link between regions. The next VM replaces the source;
/// the store is used only if no VM that may be followed is left.
#[test]
fn a_peer_that_fails_is_replaced_by_the_next() {
    let second = SocketAddr::from(([10, 0, 0, 3], 7_540));
    let third = SocketAddr::from(([10, 0, 0, 4], 7_540));
    let peers = || [peer(), second, third].into_iter();
    let mut sync = SyncState::default();

    sync.record_peer_failure(at(0), peer());
    let after_one = sync.next(at(0), 5, peers());
    sync.record_peer_failure(at(100), second);
    let after_two = sync.next(at(100), 5, peers());
    sync.record_peer_failure(at(200), third);
    let after_all = sync.next(at(200), 5, peers());
    let later = sync.next(at(5_050), 5, peers());

    assert_eq!(after_one, UpdateSource::Peer(second, 5));
    assert_eq!(after_two, UpdateSource::Peer(third, 5));
    assert_eq!(after_all, UpdateSource::StoreChanges(5));
    assert_eq!(later, UpdateSource::Peer(peer(), 5));
}

/// Guards against a new configuration that is in force on none of the
/// followers because the store does not respond to the VM that they follow.
/// Two renewals without a response show it. The next VM may have noticed no
/// sooner, so it gets the time to follow the store itself.
#[test]
fn a_vm_that_the_store_does_not_serve_is_not_followed_for_long() {
    let mut source = SyncState::default();
    source.next(at(0), 5, std::iter::empty());
    source.record_response(at(0));
    source.record_current_at(at(900));

    assert!(source.may_be_followed(at(900), at(0)));
    assert!(!source.may_be_followed(at(1_100), at(0)));

    let mut follower = SyncState::default();
    let peers = || [peer()].into_iter();
    follower.record_peer_response(at(1_100), peer(), false);
    let at_first = follower.next(at(1_100), 5, peers());
    follower.record_peer_response(at(1_500), peer(), false);
    follower.record_peer_response(at(1_900), peer(), false);
    let at_last = follower.next(at(1_900), 5, peers());

    assert_eq!(at_first, UpdateSource::Peer(peer(), 5));
    assert_eq!(at_last, UpdateSource::StoreChanges(5));
}

/// Guards against a source that has no update yet or gets updates late.
#[test]
fn a_vm_with_old_updates_is_not_followed() {
    let mut source = SyncState::default();
    source.next(at(0), 5, std::iter::empty());
    source.record_response(at(2_000));

    assert!(
        !source.may_be_followed(at(2_000), at(2_000)),
        "it has no update yet"
    );
    source.record_current_at(at(1_500));
    assert!(source.may_be_followed(at(2_000), at(2_000)));
    assert!(!source.may_be_followed(at(2_600), at(2_500)));
}

/// Guards against an update that counts as recent after a long time in flight.
#[test]
fn time_in_flight_makes_an_update_no_younger() {
    let ms = TimeSpan::from_millis;

    assert_eq!(update_as_of(at(1_000), ms(400), ms(50)), at(1_350));
    assert_eq!(update_as_of(at(1_000), ms(0), ms(700)), at(300));
}

/// Guards against a follower that waits for a source that has stopped
/// responding.
#[test]
fn a_vm_with_old_updates_queries_another_than_it_follows() {
    let mut follower = SyncState::default();
    follower.next(at(0), 5, [peer()].into_iter());

    assert!(!follower.query_due(at(9_000), at(0)), "it has just started");
    follower.record_current_at(at(10_000));
    assert!(
        !follower.query_due(at(11_400), at(0)),
        "its source responds in time"
    );
    assert!(follower.query_due(at(11_500), at(11_400)));
    assert!(
        !follower.query_due(at(11_600), at(11_400)),
        "it has just queried"
    );
    assert!(follower.query_due(at(11_900), at(11_400)));
}

/// Guards against a source that does not notice that the store does not
/// respond to it.
#[test]
fn a_vm_that_follows_the_store_queries_another_once_it_times_out() {
    let mut source = SyncState::default();
    source.next(at(0), 5, std::iter::empty());
    source.record_current_at(at(10_000));

    assert!(!source.query_due(at(10_500), at(10_000)));
    assert!(source.query_due(at(11_100), at(10_000)));
}

/// Guards against dropping a source that was stale for a moment: only an
/// unbroken series of stale responses counts.
#[test]
fn a_fresh_response_ends_the_stale_time() {
    let mut follower = SyncState::default();
    follower.record_peer_response(at(0), peer(), false);
    follower.record_peer_response(at(400), peer(), true);
    follower.record_peer_response(at(800), peer(), false);

    let next = follower.next(at(800), 5, [peer()].into_iter());

    assert_eq!(next, UpdateSource::Peer(peer(), 5));
}

/// Guards against servers that count as ended because of an outage. Entries
/// expire while the store is unavailable and are written again within two
/// seconds after its recovery, so until then a missing entry is inconclusive.
#[test]
fn a_missing_entry_is_inconclusive_while_the_store_recovers() {
    let mut sync = SyncState::default();
    sync.record_response(at(0));
    assert!(!sync.may_miss_entries(at(10)));

    sync.record_failure();
    assert!(sync.may_miss_entries(at(4_000)));
    sync.record_response(at(4_500));

    assert!(sync.may_miss_entries(at(6_500)));
    assert!(!sync.may_miss_entries(at(7_000)));
}

fn server_in(domain: &str, service: &str, cold_left: &str) -> String {
    json!({
        "address": "10.0.0.9:80", "born": 1,
        "info": {
            "service": service, "version": "v1", "zone": domain, "slots": 2
        },
        "status": {"state": "ready", "seq": 1, "cold_left": cold_left}
    })
    .to_string()
}

/// A history with a configuration in which cold servers of `orders` are
/// limited for 3 s, and those of `other` are not.
fn limited_history() -> ConfigurationHistory {
    let limited = json!({"cold_start": "3s", "cold_per_s": 3.3});
    history_of(1, &json!({"orders": limited, "other": {}}))
}

#[test]
fn servers_of_an_evacuated_domain_are_not_ready() {
    let mut builder = ViewBuilder::default();
    let mut mirror = StoreMirror::default();
    mirror.write(item("servers/i", &server_in("a", "orders", "0ms"), 2));
    let view = builder.build(at(0), at(0), &mirror, None);
    assert_eq!(view.expect("the view is new").ready["orders"].len(), 1);

    mirror.write(item("op/evacuate/a", "{}", 3));
    mirror.write(item("op/evacuate/unknown", "no object", 4));
    let view = builder.build(at(900), at(700), &mirror, None);

    let view = view.expect("the view has changed");
    assert!(!view.ready.contains_key("orders"));
    assert_eq!(view.evacuated.get("a"), Some(&at(700)));
    mirror.apply(vec![removed("op/evacuate/a", 5)], 5);
    let view = builder.build(at(1_900), at(1_700), &mirror, None);
    let view = view.expect("the view has changed");
    assert_eq!(view.ready["orders"].len(), 1);
    assert!(!view.evacuated.contains_key("a"));
}

/// Guards against a burst at the servers of a failure domain that is taken
/// back: they may be cold, and their next heartbeats say so only later.
#[test]
fn servers_are_cold_after_the_evacuation_of_their_domain() {
    let history = limited_history();
    let mut builder = ViewBuilder::default();
    let mut mirror = StoreMirror::default();
    mirror.write(item("servers/i", &server_in("a", "orders", "0ms"), 2));
    mirror.write(item("op/evacuate/a", "{}", 3));
    builder.build(at(0), at(0), &mirror, history.newest());

    mirror.apply(vec![removed("op/evacuate/a", 4)], 4);
    let view = builder.build(at(500), at(500), &mirror, history.newest());

    let view = view.expect("the view has changed");
    let entry = &view.servers["i"];
    assert!(view.cold_limit(at(3_400), entry).is_some());
    assert!(view.cold_limit(at(3_500), entry).is_none());
}

#[test]
fn a_server_is_cold_for_the_time_that_its_entry_states() {
    let history = limited_history();
    let mut builder = ViewBuilder::default();
    let mut mirror = StoreMirror::default();
    mirror.write(item("servers/i", &server_in("a", "orders", "2s"), 2));

    let view = builder.build(at(0), at(0), &mirror, history.newest());

    let view = view.expect("the view is new");
    let entry = &view.servers["i"];
    assert!(view.cold_limit(at(1_900), entry).is_some());
    assert!(view.cold_limit(at(2_000), entry).is_none());
    mirror.write(item("servers/i", &server_in("a", "orders", "0ms"), 3));
    let view = builder.build(at(500), at(500), &mirror, history.newest());
    let view = view.expect("the view has changed");
    assert!(view.cold_limit(at(500), &view.servers["i"]).is_none());
}

/// Guards against cold servers that are held back where the operators state no
/// limit for them.
#[test]
fn a_cold_server_without_a_stated_limit_has_none() {
    let history = limited_history();
    let mut builder = ViewBuilder::default();
    let mut mirror = StoreMirror::default();
    mirror.write(item("servers/i", &server_in("a", "other", "2s"), 2));

    let view = builder.build(at(0), at(0), &mirror, history.newest());

    let view = view.expect("the view is new");
    assert!(view.cold_limit(at(0), &view.servers["i"]).is_none());
}

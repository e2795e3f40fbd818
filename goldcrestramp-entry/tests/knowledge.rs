//! What a VM knows of the store never goes back, and it knows when to
//! doubt it.

use std::net::SocketAddr;

use goldcrestramp_adapter::{StoreEvent, StoreItem};
use goldcrestramp_entry::{
    configuration::ConfigurationHistory,
    control::{SyncState, UpdateSource, update_as_of},
    mirror::{MirrorValue, StoreMirror},
    view::ViewBuilder,
};
use goldcrestramp_types::{LocalTime, TimeSpan};
use serde_json::json;

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
fn a_mirror_takes_changes_in_any_order_and_more_than_once() {
    let mut mirror = StoreMirror::default();

    mirror.apply(vec![written("k", "new", 5)], 5);
    mirror.apply(vec![written("k", "old", 3), removed("k", 4)], 5);

    assert_eq!(value(&mirror, "k"), Some(&b"new"[..]));
    mirror.apply(vec![removed("k", 6)], 6);
    assert_eq!(value(&mirror, "k"), None);
}

/// A VM is behind when it asks a peer; what it is told brings it to the
/// peer's state, removals included.
#[test]
fn a_delta_brings_a_mirror_to_another_s_state() {
    let mut ahead = StoreMirror::default();
    ahead.apply(vec![written("a", "1", 1), written("b", "1", 2)], 2);
    let mut behind = ahead.clone();

    ahead.apply(vec![written("b", "2", 3), removed("a", 4)], 4);
    let delta = ahead.delta_since(2).expect("remembered");
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

/// Hundreds of servers write a heartbeat each second. Passed on, they fill
/// the link of the VM that others follow, and requests wait behind them; a
/// change of state is passed on, and a VM that misses beats misses nothing.
#[test]
fn heartbeats_are_taken_and_are_no_news_to_others() {
    let mut mirror = StoreMirror::default();
    mirror.apply(vec![written("servers/s", &server_entry("ready", 1), 4)], 4);

    let heartbeats = vec![written("servers/s", &server_entry("ready", 2), 7)];

    assert!(!mirror.apply(heartbeats, 7));
    assert_eq!(mirror.last_change_revision(), 4);
    let delta = mirror.delta_since(4).expect("remembered");
    let mut other = StoreMirror::default();
    assert!(!other.apply_delta(delta, true), "nothing but the revision");
    assert_eq!(other.revision(), 7);

    let draining = vec![written("servers/s", &server_entry("draining", 3), 9)];

    assert!(mirror.apply(draining, 9));
    assert_eq!(mirror.last_change_revision(), 9);
    let delta = mirror.delta_since(7).expect("remembered");
    assert!(other.apply_delta(delta, true));
    assert!(value(&other, "servers/s").is_some());
}

/// A VM has committed a table, so it knows revision 20 of that key. A
/// server's leaving at revision 18 is told by the watch after that. It is
/// news all the same: passed over, the server would go on getting requests.
#[test]
fn news_from_before_an_own_commit_is_news() {
    let mut mirror = StoreMirror::default();
    mirror.apply(vec![written("servers/s", &server_entry("ready", 1), 4)], 4);
    mirror.write(item("router/table/s", "own", 20));
    assert_eq!(
        mirror.last_change_revision(),
        4,
        "others can't be told of it yet"
    );

    let draining =
        vec![written("servers/s", &server_entry("draining", 2), 18)];

    assert!(mirror.apply(draining, 18));
    assert_eq!(mirror.last_change_revision(), 18);
    let committed = vec![written("router/table/s", "own", 20)];
    assert!(mirror.apply(committed, 20), "those that follow may miss it");
}

/// Removals before a whole reading are not remembered: a VM that is behind
/// it has to be told everything, or it would keep what is gone.
#[test]
fn a_delta_from_before_a_whole_reading_can_t_be_had() {
    let mut mirror = StoreMirror::default();
    mirror.apply(vec![written("a", "1", 1)], 1);

    assert!(mirror.replace(vec![item("b", "1", 7)], 9));

    assert!(mirror.delta_since(1).is_none());
    assert!(mirror.delta_since(9).is_some());
    assert_eq!(value(&mirror, "a"), None);
}

#[test]
fn an_older_reading_or_copy_changes_nothing() {
    let mut mirror = StoreMirror::default();
    mirror.apply(vec![written("a", "2", 8)], 8);
    let old = StoreMirror::default();

    assert!(!mirror.replace(vec![item("a", "1", 3)], 5));
    assert!(!mirror.adopt(old));

    assert_eq!(value(&mirror, "a"), Some(&b"2"[..]));
}

/// Guards against whole tables to every VM after a loss of history.
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

/// This VM's own commit is newer than a reading that began before it. The
/// reading must not take the commit back.
#[test]
fn a_reading_keeps_what_was_written_after_its_begin() {
    let mut mirror = StoreMirror::default();
    mirror.write(item("table", "new", 12));

    assert!(mirror.replace(vec![item("table", "old", 4)], 10));

    assert_eq!(value(&mirror, "table"), Some(&b"new"[..]));
}

/// The store comes back with an older configuration, or a lower version
/// is written later: the one in force stays.
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
    let first = first.expect("a change");

    assert_eq!(first.routes.expect("in force").version, 7);
    assert!(second.is_none());
}

#[test]
fn heartbeats_make_no_new_view() {
    let entry = |server_entry: u64| {
        json!({
            "address": "10.0.0.9:80", "born": 1,
            "info": {"service": "s", "zone": "a", "slots": 2},
            "status": {"state": "ready", "seq": server_entry}
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
    let view = view.expect("it is gone");
    assert_eq!(view.leaving.get("i"), Some(&at(700)));
}

/// Guards against requests to a server whose address is another's by now.
#[test]
fn a_server_whose_address_another_has_is_gone() {
    let entry = |service: &str, started_ms: u64| {
        let entry = json!({
            "address": "10.0.0.9:80", "born": started_ms,
            "info": {"service": service, "zone": "a", "slots": 2},
            "status": {"state": "ready", "seq": 1}
        });
        entry.to_string()
    };
    let mut builder = ViewBuilder::default();
    let mut mirror = StoreMirror::default();
    mirror.write(item("servers/former", &entry("stock", 5), 2));
    assert!(builder.build(at(0), at(0), &mirror, None).is_some());

    mirror.write(item("servers/later", &entry("orders", 6), 3));
    let view = builder.build(at(900), at(700), &mirror, None);

    let view = view.expect("news");
    assert!(!view.servers.contains_key("former"));
    assert!(!view.ready.contains_key("stock"));
    assert_eq!(view.leaving.get("former"), Some(&at(700)));
    assert_eq!(view.ready["orders"].len(), 1);
}

/// The VM that is followed falls silent, so a server's leaving is learnt
/// most of a second late. Counted from then, requests reach the server
/// after the time that is allowed; counted from the last news, they don't.
#[test]
fn a_late_change_counts_from_the_news_before_it() {
    let mut sync = SyncState::default();
    sync.record_response(at(0));
    sync.record_current_at(at(100));

    assert_eq!(sync.changed_since(at(1_000)), at(100));
    assert_eq!(sync.age(at(1_000)), TimeSpan::from_millis(900));
    let long = sync.changed_since(at(9_000));
    assert_eq!(long, at(7_500), "the store itself was away");
}

/// Entries that ended in an outage were taken back by nobody, and most of
/// them return: they count from when they are missed.
#[test]
fn what_is_missing_after_an_outage_counts_from_now() {
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

/// All VMs start again at once after a loss of power. Each reads the few
/// bytes that say who the others are; if each read everything, the link to
/// the store's region would be full for seconds, and so would be that of
/// callers' requests.
#[test]
fn a_vm_that_starts_has_the_store_s_contents_from_its_peer() {
    let mut sync = SyncState::default();
    let first = sync.next(at(0), 0, std::iter::empty());
    sync.record_read();
    let second = sync.next(at(0), 0, [peer()].into_iter());
    sync.record_peer_failure(at(10), peer());
    let alone = sync.next(at(10), 0, [peer()].into_iter());

    assert_eq!(first, UpdateSource::StoreVms);
    assert_eq!(second, UpdateSource::Peer(peer(), 0));
    assert_eq!(alone, UpdateSource::FullStore);
}

#[test]
fn a_vm_follows_its_peer_if_it_has_one() {
    let mut sync = SyncState::default();
    let followed = sync.next(at(0), 5, [peer()].into_iter());
    let alone = sync.next(at(0), 5, std::iter::empty());

    assert_eq!(followed, UpdateSource::Peer(peer(), 5));
    assert_eq!(alone, UpdateSource::StoreChanges(5));
}

/// The VM that others follow is restarted on a plan. If each of them then
/// follows the store, all servers' heartbeats go to each and fill the link
/// between regions. The next VM takes its place; only without any of those
/// that may be followed do they follow the store.
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

/// The store answers nothing to the VM that others follow, and serves the
/// others: a new configuration would not be in force on any of them. Two
/// renewals without an answer tell. The next VM may have noticed it no
/// sooner than they, so it is given the time to follow the store itself.
#[test]
fn a_vm_that_the_store_is_silent_to_is_not_followed_for_long() {
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

/// Guards against a source that knows nothing yet, or hears slowly.
#[test]
fn a_vm_whose_own_news_are_old_is_not_followed() {
    let mut source = SyncState::default();
    source.next(at(0), 5, std::iter::empty());
    source.record_response(at(2_000));

    assert!(!source.may_be_followed(at(2_000), at(2_000)), "it knows nothing");
    source.record_current_at(at(1_500));
    assert!(source.may_be_followed(at(2_000), at(2_000)));
    assert!(!source.may_be_followed(at(2_600), at(2_500)));
}

/// Guards against news that count as young after a long time on the way.
#[test]
fn the_time_on_the_way_makes_news_no_younger() {
    let ms = TimeSpan::from_millis;

    assert_eq!(update_as_of(at(1_000), ms(400), ms(50)), at(1_350));
    assert_eq!(update_as_of(at(1_000), ms(0), ms(700)), at(300));
}

/// Guards against a follower that waits for a source that has fallen silent.
#[test]
fn a_vm_with_old_news_asks_another_than_it_follows() {
    let mut follower = SyncState::default();
    follower.next(at(0), 5, [peer()].into_iter());

    assert!(!follower.query_due(at(9_000), at(0)), "it has just started");
    follower.record_current_at(at(10_000));
    assert!(!follower.query_due(at(11_400), at(0)), "its source tells it");
    assert!(follower.query_due(at(11_500), at(11_400)));
    assert!(!follower.query_due(at(11_600), at(11_400)), "it has just asked");
    assert!(follower.query_due(at(11_900), at(11_400)));
}

/// Guards against a source that does not know that the store is silent to it.
#[test]
fn a_vm_that_follows_the_store_asks_once_that_is_silent() {
    let mut source = SyncState::default();
    source.next(at(0), 5, std::iter::empty());
    source.record_current_at(at(10_000));

    assert!(!source.query_due(at(10_500), at(10_000)));
    assert!(source.query_due(at(11_100), at(10_000)));
}

/// A VM that was not fresh for a moment is followed on: only answers that
/// are stale without a break count.
#[test]
fn a_fresh_answer_ends_the_doubt() {
    let mut follower = SyncState::default();
    follower.record_peer_response(at(0), peer(), false);
    follower.record_peer_response(at(400), peer(), true);
    follower.record_peer_response(at(800), peer(), false);

    let next = follower.next(at(800), 5, [peer()].into_iter());

    assert_eq!(next, UpdateSource::Peer(peer(), 5));
}

/// Entries end while the store is away, and are back two seconds after its
/// return. Until then a missing entry says nothing.
#[test]
fn a_missing_entry_says_nothing_while_the_store_returns() {
    let mut sync = SyncState::default();
    sync.record_response(at(0));
    assert!(!sync.may_miss_entries(at(10)));

    sync.record_failure();
    assert!(sync.may_miss_entries(at(4_000)));
    sync.record_response(at(4_500));

    assert!(sync.may_miss_entries(at(6_500)));
    assert!(!sync.may_miss_entries(at(7_000)));
}

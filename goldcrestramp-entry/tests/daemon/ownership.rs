//! Each key has one owner, through losses and moves.

use std::{net::SocketAddr, time::Duration};

use reqwest::{Method, Response, header::HeaderMap};
use rustix::process::Signal;
use serde_json::json;

use crate::{
    relay::{Relay, RelayManner},
    server::ServerManner,
    store::StoreStandin,
    world::{
        DIVIDED, POOLED, World, configuration, entry, entry_at, eventually,
    },
};

/// Keys all over the space, far fewer than would make a test slow.
fn some_keys() -> impl Iterator<Item = u64> {
    (0..65_536).step_by(4_099)
}

/// Waits until the second server holds a key; at no time do two.
async fn wait_moved(world: &World, key: u64) {
    eventually(async || {
        assert!(world.holders(key) <= 1);
        world.servers[1].holds(key)
    })
    .await;
}

#[tokio::test]
async fn every_key_is_served_by_its_only_owner() {
    let world = World::open(DIVIDED, 3, 2).await;
    world.wait_served(0, 0).await;
    for key in some_keys() {
        world.wait_served(0, key).await;
        world.wait_served(1, key).await;

        assert_eq!(world.holders(key), 1);
    }
}

/// A server says that it drains. Its keys go to the other one; at no time
/// do both hold one of them.
#[tokio::test]
async fn the_keys_of_a_draining_server_move_to_another() {
    let world = World::open(DIVIDED, 2, 1).await;
    world.wait_served(0, 0).await;
    let draining = entry(&world.servers[0], DIVIDED, "draining");

    world.store.put("servers/server-0", &draining);

    for key in some_keys() {
        wait_moved(&world, key).await;
        world.wait_served(0, key).await;
    }
}

/// A server is gone without a word: nobody answers at its address, and its
/// entry ends. Its keys have no owner until its hold is over; then they
/// are served by the other one.
#[tokio::test]
async fn the_keys_of_a_lost_server_are_served_again() {
    let world = World::open(DIVIDED, 2, 1).await;
    world.wait_served(0, 0).await;

    world.servers[0].stop();
    world.store.remove("servers/server-0");

    for key in some_keys() {
        wait_moved(&world, key).await;
    }
}

/// Guards against taking a holder for ended by its predecessor's entry.
#[tokio::test]
async fn an_older_entry_at_its_address_does_not_end_a_server() {
    let world = World::open(DIVIDED, 2, 1).await;
    world.wait_served(0, 0).await;
    let mut former = entry(&world.servers[0], DIVIDED, "draining");
    former["born"] = json!(1_600_000_000_000_u64);

    world.store.put("servers/former", &former);
    world.store.remove("servers/server-0");

    for key in some_keys() {
        wait_moved(&world, key).await;
    }
}

/// Guards against taking a holder for ended by an earlier run of its own.
#[tokio::test]
async fn an_older_run_elsewhere_does_not_end_a_server() {
    let world = World::open(DIVIDED, 2, 1).await;
    world.wait_served(0, 0).await;
    let elsewhere = SocketAddr::from(([127, 0, 0, 1], 1));
    let mut former = entry_at(elsewhere, DIVIDED, "draining");
    former["born"] = json!(1_600_000_000_000_u64);

    world.store.put("servers/server-0", &former);

    for key in some_keys() {
        wait_moved(&world, key).await;
    }
}

/// Guards against keys that stay with a server whose address is another's.
#[tokio::test]
async fn a_successor_at_its_address_ends_a_server() {
    let world = World::open(DIVIDED, 2, 1).await;
    world.wait_served(0, 0).await;

    let successor = world.servers[0].replace("successor").await;
    let mut later = entry(&successor, POOLED, "ready");
    later["born"] = json!(1_800_000_000_000_u64);
    world.store.put("servers/successor", &later);

    for key in some_keys() {
        wait_moved(&world, key).await;
    }
}

/// Guards against repeats that reach whichever server has the address now.
#[tokio::test]
async fn an_owner_that_denies_its_key_is_asked_once() {
    let world = World::open(DIVIDED, 2, 1).await;
    let key = key_of_first(&world).await;
    world.wait_served(0, key).await;
    // The grant has long arrived.
    tokio::time::sleep(Duration::from_millis(1_500)).await;

    let successor = world.servers[0].replace("successor").await;
    let answer = world.ask_key(0, key).await;

    assert_eq!(answer.status(), 503);
    assert_eq!(successor.misdirected(), 1);
}

/// Guards against a new planner that decides by what it knew before.
#[tokio::test]
async fn a_planner_that_is_behind_only_renews() {
    /// Longer than a renewal and than a round of planning.
    const BEHIND: Duration = Duration::from_secs(2);
    let world = World::open(DIVIDED, 2, 2).await;
    world.wait_served(0, 0).await;
    world.wait_served(1, 0).await;
    let planner = world.store.get("router/planner").expect("a planner");
    let first = String::from_utf8_lossy(&planner).contains("vm-0");
    let (killed, other) = if first { (0, 1) } else { (1, 0) };
    let table = world.store.get("router/table/stock").expect("a table");

    world.store.hide_from_next_planner();
    world.nodes[killed].signal(Signal::KILL);
    let draining = entry(&world.servers[0], DIVIDED, "draining");
    world.store.put("servers/server-0", &draining);
    eventually(async || {
        let known = world.store.get("router/planner");
        known.is_some_and(|known| known != planner)
    })
    .await;
    let orders = world.servers[0].orders();
    tokio::time::sleep(BEHIND).await;

    eventually(async || world.servers[0].orders() > orders).await;
    assert_eq!(world.store.get("router/table/stock"), Some(table));
    world.store.show_all();
    for key in some_keys() {
        wait_moved(&world, key).await;
        world.wait_served(other, key).await;
    }
}

/// The VM that plans is killed. The other one renews what is assigned, so
/// every key is served, and plans for a server that leaves then.
#[tokio::test]
async fn a_killed_planner_is_replaced() {
    let world = World::open(DIVIDED, 2, 2).await;
    world.wait_served(0, 0).await;
    world.wait_served(1, 0).await;
    let planner = world.store.get("router/planner").expect("a planner");
    let first = String::from_utf8_lossy(&planner).contains("vm-0");
    let (killed, other) = if first { (0, 1) } else { (1, 0) };

    world.nodes[killed].signal(Signal::KILL);
    let draining = entry(&world.servers[0], DIVIDED, "draining");
    world.store.put("servers/server-0", &draining);

    for key in some_keys() {
        wait_moved(&world, key).await;
        world.wait_served(other, key).await;
    }
}

/// A VM claims to plan, the store takes the claim and the answer is lost,
/// and so is the reading that would tell. The record names a VM that does
/// not know of it and keeps its lease alive: nobody plans, and no key of a
/// lost server is ever served again. The VM claims its own record anew.
#[tokio::test]
async fn a_claim_whose_answer_was_lost_is_taken_up() {
    let store = StoreStandin::spawn().await;
    store.lose_claim();

    let world = World::open_on(store, DIVIDED, 2, 1).await;

    for key in some_keys() {
        world.wait_served(0, key).await;
    }
}

/// The store is away when the planning VM is stopped on a plan. Nobody can
/// take its place, so if it stopped renewing holds at once, every key would
/// lose its owner a hold later, in the middle of a rolling restart.
#[tokio::test]
async fn a_planner_that_leaves_renews_while_the_store_is_away() {
    /// After this a VM knows that the store is silent.
    const SILENCE: Duration = Duration::from_millis(1_600);
    /// Orders that were under way at the stop have ended by then.
    const UNDER_WAY: Duration = Duration::from_millis(800);
    let mut store = StoreStandin::spawn().await;
    let relay = Relay::spawn(store.address).await;
    store.address = relay.address;
    let world = World::open_on(store, DIVIDED, 1, 1).await;
    world.wait_served(0, 0).await;
    relay.set(RelayManner::Silent);
    tokio::time::sleep(SILENCE).await;

    world.nodes[0].signal(Signal::TERM);

    tokio::time::sleep(UNDER_WAY).await;
    let before = world.servers[0].orders();
    eventually(async || world.servers[0].orders() > before).await;
}

/// A world of two servers with routes that wait for a long time, a safe and
/// an unsafe one.
async fn patient_world() -> World {
    let world = World::open(DIVIDED, 2, 1).await;
    world.wait_served(0, 0).await;
    let mut patient = configuration(2, None);
    let mut route = patient["routes"]["stock"].clone();
    route["timeout"] = json!("25000ms");
    route["path_prefix"] = json!("/look/");
    patient["routes"]["look"] = route.clone();
    route["path_prefix"] = json!("/take/");
    route["kind"] = json!("unsafe");
    patient["routes"]["take"] = route;
    world.store.put("op/config", &patient);
    let known = async || world.get(0, "/take/rice").await.status() != 404;
    eventually(known).await;
    world
}

/// A key that the first server owns.
async fn key_of_first(world: &World) -> u64 {
    let mut key = None;
    eventually(async || {
        key = some_keys().find(|key| world.servers[0].holds(*key));
        key.is_some()
    })
    .await;
    key.expect("it was found")
}

/// Has a request hang at the first server, then moves its key to the second.
async fn ask_while_key_moves(
    world: &World,
    path: &str,
    attempt: &str,
    deadline_ms: u32,
) -> Response {
    let key = key_of_first(world).await;
    world.servers[0].set_manner(ServerManner::Hangs);
    let mut deadline = HeaderMap::new();
    deadline.insert("x-deadline-ms", deadline_ms.into());
    let request = world
        .request(0, Method::GET, path, attempt)
        .headers(deadline)
        .header("X-Shard-Key", key.to_string());
    let asked = tokio::spawn(request.send());
    eventually(async || world.servers[0].hung() > 0).await;

    let draining = entry(&world.servers[0], DIVIDED, "draining");
    world.store.put("servers/server-0", &draining);

    wait_moved(world, key).await;
    let answer = asked.await.expect("it ends");
    answer.expect("an answer")
}

/// Guards against lookups that wait for a former owner until their deadline.
#[tokio::test]
async fn a_lookup_without_an_answer_goes_to_the_next_owner() {
    let world = patient_world().await;
    let attempt = world.attempt();

    let asked = ask_while_key_moves(&world, "/look/rice", &attempt, 25_000);
    let answer = asked.await;

    assert_eq!(answer.status(), 200);
    assert_eq!(answer.text().await.expect("a body"), "server-1");
}

/// Guards against an order that runs at two owners of its key.
#[tokio::test]
async fn an_order_without_an_answer_goes_to_no_other_owner() {
    let world = patient_world().await;
    let attempt = world.attempt();

    let asked = ask_while_key_moves(&world, "/take/rice", &attempt, 5_000);
    let answer = asked.await;

    assert_eq!(answer.status(), 504);
    assert_eq!(world.runs_of(&attempt), 0);
}

/// Guards against callers that return before their key can have an owner.
#[tokio::test]
async fn a_caller_without_an_owner_is_told_to_return_after_a_second() {
    let world = World::open(DIVIDED, 1, 1).await;
    world.wait_served(0, 0).await;
    let draining = entry(&world.servers[0], DIVIDED, "draining");
    world.store.put("servers/server-0", &draining);
    eventually(async || world.holders(0) == 0).await;

    let answer = world.ask_key(0, 0).await;

    assert_eq!(answer.status(), 503);
    let after = answer.headers()["retry-after"].to_str().expect("a text");
    let seconds: f64 = after.parse().expect("seconds");
    assert!((1.0..=2.0).contains(&seconds), "{seconds}");
}

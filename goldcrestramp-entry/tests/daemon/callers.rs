//! Callers get whole answers to their own requests.

use reqwest::Method;

use crate::{
    server::{ServerManner, ServerStandin},
    world::{POOLED, World, configuration, entry, eventually},
};

/// A server breaks off in the middle of its answers. The lookup is asked
/// for again at another server; its caller sees one whole answer.
#[tokio::test]
async fn a_lookup_whose_answer_breaks_off_is_asked_for_again() {
    let world = World::open(POOLED, 2, 1).await;
    world.servers[0].set_manner(ServerManner::BreaksOff);
    for _ in 0..6 {
        let answer = world.get(0, "/list/all").await;

        assert_eq!(answer.status(), 200);
        assert_eq!(answer.text().await.expect("a body"), "server-1");
    }
}

/// A server is full and resets connections. Whether it ran what was sent is
/// not known: the lookup is asked for again at another server, and its
/// caller sees one whole answer.
#[tokio::test]
async fn a_lookup_that_a_full_server_resets_is_served_by_another() {
    let world = World::open(POOLED, 2, 1).await;
    world.servers[0].set_manner(ServerManner::Resets);
    for _ in 0..6 {
        let answer = world.get(0, "/list/all").await;

        assert_eq!(answer.status(), 200);
        assert_eq!(answer.text().await.expect("a body"), "server-1");
    }
    assert!(world.servers[0].resets() > 0);
}

/// A server resets the connection on which it was sent an order. It may
/// have run: the order goes to nobody else, and its caller is not told that
/// it did not run.
#[tokio::test]
async fn an_order_whose_connection_is_reset_is_sent_to_nobody_else() {
    let world = World::open(POOLED, 2, 1).await;
    for server in &world.servers {
        server.set_manner(ServerManner::Resets);
    }
    let attempt = world.attempt();

    let request = world.request(0, Method::POST, "/order/1", &attempt);
    let answer = request.send().await.expect("an answer");

    assert_eq!(answer.status(), 502);
    let resets = world.servers.iter().map(ServerStandin::resets);
    assert_eq!(resets.sum::<u32>(), 1);
}

/// A server sends the answer to another request. Nobody gets it: the only
/// server is not asked twice for the same, and the caller sees a failure.
#[tokio::test]
async fn an_answer_to_another_request_is_not_delivered() {
    let world = World::open(POOLED, 1, 1).await;
    world.servers[0].set_manner(ServerManner::MixesUp);
    let attempt = world.attempt();

    let request = world.request(0, Method::POST, "/order/1", &attempt);
    let answer = request.send().await.expect("an answer");

    assert_eq!(answer.status(), 502);
}

#[tokio::test]
async fn a_server_s_answer_comes_unchanged() {
    let world = World::open(POOLED, 1, 1).await;
    let attempt = world.attempt();

    let request = world.request(0, Method::GET, "/list/all", &attempt);
    let answer = request.send().await.expect("an answer");

    let header = |name: &str| answer.headers()[name].clone();
    assert_eq!(header("x-attempt-id"), attempt.as_str());
    assert_eq!(header("x-response-stamp"), "by-server-0");
    assert_eq!(answer.text().await.expect("a body"), "server-0");
}

#[tokio::test]
async fn a_path_without_a_route_is_not_found() {
    let world = World::open(POOLED, 1, 1).await;

    let answer = world.get(0, "/nothing/here").await;

    assert_eq!(answer.status(), 404);
}

/// A server says that it drains. From then on its requests go elsewhere.
#[tokio::test]
async fn a_draining_server_gets_nothing_new() {
    let world = World::open(POOLED, 2, 1).await;
    let draining = entry(&world.servers[0], POOLED, "draining");

    world.store.put("servers/server-0", &draining);

    eventually(async || {
        let before = world.servers[0].runs();
        for _ in 0..8 {
            assert_eq!(world.get(0, "/list/all").await.status(), 200);
        }
        world.servers[0].runs() == before
    })
    .await;
}

/// The store forgets its history while a watch begins: the watch hears
/// nothing until its wait ends. A new route is to be served within two
/// seconds all the same, so no watch may wait for longer than half of one.
#[tokio::test]
async fn a_configuration_comes_into_force_past_a_deaf_watch() {
    let world = World::open(POOLED, 1, 1).await;
    world.store.fall_deaf();
    eventually(async || world.store.deaf_watches() > 0).await;

    world.store.put("op/config", &configuration(2, Some("/new/")));

    eventually(async || world.get(0, "/new/list").await.status() == 200).await;
    assert!(world.store.longest_wait() <= 500);
}

/// Entries that no server wrote lie beside a server's own. They name no
/// server, and the others are served.
#[tokio::test]
async fn foreign_entries_break_nothing() {
    let world = World::open(POOLED, 1, 1).await;
    let list = serde_json::json!(["not", "an", "entry"]);

    world.store.put("servers/foreign", &list);
    world.store.put("op/other", &list);

    for _ in 0..4 {
        assert_eq!(world.get(0, "/list/all").await.status(), 200);
    }
}

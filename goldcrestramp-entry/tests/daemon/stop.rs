//! A planned stop cuts nothing.

use std::time::Duration;

use reqwest::Method;
use rustix::process::Signal;
use tokio::io::AsyncReadExt;

use crate::{
    relay::{Relay, RelayManner},
    server::ServerManner,
    store::StoreStandin,
    world::{POOLED, World, eventually},
};

/// SIGTERM comes while an order is at its server. Its caller gets the
/// answer, is asked to connect elsewhere, and the process then ends.
#[tokio::test]
async fn a_stopped_daemon_finishes_what_it_has_read() {
    let mut world = World::open(POOLED, 1, 1).await;
    let work = Duration::from_millis(1_500);
    world.servers[0].set_manner(ServerManner::Works(work));
    let attempt = world.attempt();
    let request = world.request(0, Method::POST, "/order/1", &attempt);
    let sent = tokio::spawn(request.send());
    eventually(async || world.runs_of(&attempt) == 1).await;

    world.nodes[0].signal(Signal::TERM);

    let answer = sent.await.expect("no panic").expect("an answer");
    assert_eq!(answer.status(), 200);
    assert_eq!(answer.headers()["connection"], "close");
    assert!(world.nodes[0].ended().await.success());
}

/// SIGHUP reads the settings again; callers notice nothing.
#[tokio::test]
async fn a_reload_cuts_nothing() {
    let world = World::open(POOLED, 1, 1).await;

    world.nodes[0].signal(Signal::HUP);

    for _ in 0..5 {
        assert_eq!(world.get(0, "/list/all").await.status(), 200);
    }
}

/// A process starts, and its settings change at once. A signal that comes
/// before the process handles it ends the process, and callers find nobody
/// until it is started again.
#[tokio::test]
async fn a_reload_during_the_start_ends_nothing() {
    let mut world = World::open(POOLED, 1, 1).await;
    for _turn in 0..30 {
        world.nodes[0].restart();
        let ready = world.nodes[0].ready;
        // At the first moment at which the process shows: it has not
        // bound all of its addresses by then.
        while std::net::TcpStream::connect(ready).is_err() {}

        world.nodes[0].signal(Signal::HUP);
        tokio::time::sleep(Duration::from_millis(30)).await;

        assert!(world.nodes[0].runs());
    }
}

/// A lookup is at a server when SIGTERM comes, and takes longer than
/// answers on its route usually do. Given up for another server, the work
/// is done twice, and ends as a failure when the other one has no time
/// left; the VM that leaves waits for the answer that is on the way.
#[tokio::test]
async fn a_leaving_daemon_gives_up_no_work_that_is_under_way() {
    let world = World::open(POOLED, 2, 1).await;
    let work = Duration::from_millis(1_500);
    for server in &world.servers {
        server.set_manner(ServerManner::Works(work));
    }
    let attempt = world.attempt();
    let request = world.request(0, Method::GET, "/list/all", &attempt);
    let sent = tokio::spawn(request.send());
    eventually(async || world.runs_of(&attempt) == 1).await;

    world.nodes[0].signal(Signal::TERM);

    let answer = sent.await.expect("no panic").expect("an answer");
    assert_eq!(answer.status(), 200);
    assert_eq!(world.runs_of(&attempt), 1);
}

/// The store has just fallen silent when the VM is stopped, so its lease
/// can't be ended. If that is waited for first, callers are taken until the
/// process has to end, and an order that is then at a server is lost. The
/// VM closes in its usual time: before work that is begun late is done.
#[tokio::test]
async fn a_silent_store_does_not_put_off_the_close() {
    let mut store = StoreStandin::spawn().await;
    let relay = Relay::spawn(store.address).await;
    store.address = relay.address;
    let world = World::open_on(store, POOLED, 1, 1).await;
    let work = Duration::from_millis(2_900);
    world.servers[0].set_manner(ServerManner::Works(work));
    let traffic = world.nodes[0].traffic;
    let mut idle =
        tokio::net::TcpStream::connect(traffic).await.expect("a connection");
    relay.set(RelayManner::Silent);
    world.nodes[0].signal(Signal::TERM);
    tokio::time::sleep(Duration::from_millis(800)).await;
    let attempt = world.attempt();
    let request = world.request(0, Method::POST, "/order/1", &attempt);
    let mut sent = tokio::spawn(request.send());

    let mut byte = [0; 1];
    tokio::select! {
        closed = idle.read(&mut byte) => {
            assert_eq!(closed.expect("a proper close"), 0);
        }
        _answer = &mut sent => panic!("the VM still takes callers"),
    }

    let answer = sent.await.expect("no panic").expect("an answer");
    assert_eq!(answer.status(), 200);
}

//! A planned stop cuts nothing.

use std::time::Duration;

use reqwest::Method;
use rustix::process::Signal;

use crate::{
    server::ServerManner,
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

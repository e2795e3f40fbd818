//! Servers get no more requests than they say they take.

use std::time::{Duration, Instant};

use crate::world::{DIVIDED, POOLED, World, eventually};

/// How long requests come, and how many a second at each of the VMs.
const LOAD_SPAN: Duration = Duration::from_secs(9);
const PAUSE: Duration = Duration::from_millis(100);

/// Asks one VM for keys at an even rate.
async fn ask_for_a_while(world: &World, node: usize) {
    let end = Instant::now() + LOAD_SPAN;
    let mut key = 0;
    while Instant::now() < end {
        let _refused_or_not = world.ask_key(node, key % 65_536).await;
        key += 997;
        tokio::time::sleep(PAUSE).await;
    }
}

/// Guards against VMs that each send as much as a server takes from all.
#[tokio::test]
async fn vms_together_keep_to_the_limit_that_a_server_names() {
    const SETTLES: Duration = Duration::from_secs(3);
    const WINDOW: Duration = Duration::from_secs(4);
    let world = World::open(DIVIDED, 1, 3).await;
    for node in 0..3 {
        world.wait_served(node, 0).await;
    }

    world.servers[0].name_limit(Some("2.5"));
    let settled = Instant::now() + SETTLES;
    tokio::join!(
        ask_for_a_while(&world, 0),
        ask_for_a_while(&world, 1),
        ask_for_a_while(&world, 2),
    );

    // One and a half times what 2.5 a second allows, and 5.
    let most = world.servers[0].most_limited(settled, WINDOW);
    assert!(most <= 20, "{most} requests in 4 s");
    assert!(most >= 5, "it is still used: {most} requests in 4 s");
}

/// Guards against callers who are refused while another server has room.
#[tokio::test]
async fn keys_leave_a_server_that_names_a_limit() {
    let world = World::open(DIVIDED, 2, 1).await;
    for key in (0..65_536).step_by(4_099) {
        world.wait_served(0, key).await;
    }

    world.servers[0].name_limit(Some("0.5"));

    eventually(async || {
        let mut served = 0;
        for key in (0..65_536).step_by(1_024) {
            let answer = world.ask_key(0, key).await;
            served += u32::from(answer.status() == 200);
        }
        served >= 60
    })
    .await;
}

/// Guards against requests that wait for a limited server while others of its
/// service are idle.
#[tokio::test]
async fn other_servers_take_what_is_above_a_limit() {
    const WINDOW: Duration = Duration::from_secs(4);
    let world = World::open(POOLED, 2, 1).await;
    world.servers[0].name_limit(Some("0.5"));
    eventually(async || {
        let answer = world.get(0, "/list/all").await;
        answer.headers().contains_key("server-limit")
    })
    .await;
    let told = Instant::now();

    for _ in 0..60 {
        let answer = world.get(0, "/list/all").await;

        assert_eq!(answer.status(), 200);
        tokio::time::sleep(PAUSE / 2).await;
    }

    let most = world.servers[0].most_limited(told, WINDOW);
    assert!(most <= 8, "{most} requests in 4 s");
}

/// Guards against VMs that go by a limit which is no longer named.
#[tokio::test]
async fn a_limit_that_is_no_longer_named_ends() {
    let world = World::open(DIVIDED, 1, 2).await;
    for node in 0..2 {
        world.wait_served(node, 0).await;
    }
    world.servers[0].name_limit(Some("0.0"));
    for node in 0..2 {
        let answer = world.ask_key(node, 0).await;
        assert_eq!(answer.headers()["server-limit"], "0.0");
    }

    world.servers[0].name_limit(None);

    eventually(async || {
        let mut served = 0;
        for request in 0..20 {
            let answer = world.ask_key(request % 2, 0).await;
            served += u32::from(answer.status() == 200);
        }
        served == 20
    })
    .await;
}

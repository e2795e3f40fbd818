//! Orders run once at most, and "not run" is true.

use reqwest::Method;

use crate::{
    server::ServerManner,
    world::{POOLED, World},
};

/// A server runs an order and closes the connection before it answers. The
/// caller is told nothing that promises "not run", and no server is sent
/// the order again, though another one is idle.
#[tokio::test]
async fn an_order_whose_answer_is_lost_is_sent_once() {
    let world = World::open(POOLED, 2, 1).await;
    for server in &world.servers {
        server.set_manner(ServerManner::LosesAnswers);
    }
    let attempt = world.attempt();

    let request = world.request(0, Method::POST, "/order/1", &attempt);
    let answer = request.body("one sack of rice").send().await;

    assert_eq!(answer.expect("an answer").status(), 502);
    assert_eq!(world.runs_of(&attempt), 1);
}

/// One server states that it did not run the order; the other one does.
/// The caller gets its answer, and the order has run once.
#[tokio::test]
async fn a_shed_order_is_sent_to_another_server() {
    let world = World::open(POOLED, 2, 1).await;
    world.servers[0].set_manner(ServerManner::Sheds);
    for _ in 0..6 {
        let attempt = world.attempt();

        let request = world.request(0, Method::POST, "/order/1", &attempt);
        let answer = request.send().await.expect("an answer");

        assert_eq!(answer.status(), 200);
        assert_eq!(world.runs_of(&attempt), 1);
    }
}

/// Every server sheds. The caller is told at once that nothing has run and
/// when to come back; that is true.
#[tokio::test]
async fn an_order_that_nobody_runs_is_refused_with_a_time_to_return() {
    let world = World::open(POOLED, 2, 1).await;
    for server in &world.servers {
        server.set_manner(ServerManner::Sheds);
    }
    let attempt = world.attempt();

    let request = world.request(0, Method::POST, "/order/1", &attempt);
    let answer = request.send().await.expect("an answer");

    assert_eq!(answer.status(), 503);
    assert!(answer.headers().contains_key("retry-after"));
    assert_eq!(world.runs_of(&attempt), 0);
}

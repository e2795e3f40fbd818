//! The process harness itself: what it starts, freezes, cuts and ends.

mod process;

use std::time::Duration;

use process::{ProcessDeployment, TcpRelay, wait_until};
use serde_json::json;

/// Longer than an answer takes, short enough to wait for silence.
const SILENCE: Duration = Duration::from_millis(300);

// A frozen server keeps its listener, so a caller's bytes are taken and
// nothing comes back; once it goes on, it answers as if nothing had been.
// A killed one refuses new connections.
#[tokio::test]
async fn a_server_can_be_frozen_thawed_and_killed() {
    let deployment = ProcessDeployment::spawn();
    let (mut server, address) = deployment.server("server", &json!({}));
    let url = format!("http://{address}/log");

    server.freeze();
    let frozen = deployment.http().get(&url).timeout(SILENCE).send().await;
    server.thaw();
    let thawed = deployment.server_log(address).await;
    server.kill();
    let killed = reqwest::get(&url).await;

    assert!(frozen.is_err_and(|error| error.is_timeout()));
    assert_eq!(thawed, json!({ "executions": [], "holds": [] }));
    assert!(killed.is_err_and(|error| error.is_connect()));
}

// A cut relay takes bytes and passes none on; healed, it passes what was
// held back, so the answer to the old request still comes.
#[tokio::test]
async fn a_cut_relay_holds_bytes_until_it_is_healed() {
    let deployment = ProcessDeployment::spawn();
    let any = "127.0.0.1:0".parse().expect("an address");
    let relay = TcpRelay::bind(any, deployment.platform_address).await;
    let url = format!("http://{}/vms", relay.address());

    relay.cut();
    let request = tokio::spawn(reqwest::get(url));
    tokio::time::sleep(SILENCE).await;
    let silent = !request.is_finished();
    relay.heal();
    let healed = request.await.expect("no panic");

    assert!(silent);
    assert_eq!(healed.expect("an answer").status(), 200);
}

// A process that has ended is told apart from one that still runs.
#[tokio::test]
async fn an_ended_process_is_seen() {
    let mut deployment = ProcessDeployment::spawn();
    let running = deployment.platform.ended();

    deployment.platform.terminate();
    let ended = wait_until("the end of the platform", async || {
        deployment.platform.ended()
    })
    .await;

    assert!(running.is_none());
    assert!(!ended.success());
}

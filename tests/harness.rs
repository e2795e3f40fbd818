//! Tests of the process harness: start, freeze, cut and kill.

mod process;

use std::time::Duration;

use process::{ProcessDeployment, TcpRelay, wait_until};
use serde_json::json;

/// The wait that shows silence: longer than a response takes.
const SILENCE_TIMEOUT: Duration = Duration::from_millis(300);

// A frozen server keeps its listener: it accepts a caller's bytes and does not
// respond. After the thaw it responds as before. A killed server refuses new
// connections.
#[tokio::test]
async fn a_server_can_be_frozen_thawed_and_killed() {
    let deployment = ProcessDeployment::spawn();
    let (mut server, address) = deployment.server("server", &json!({}));
    let url = format!("http://{address}/log");

    server.freeze();
    let frozen =
        deployment.http().get(&url).timeout(SILENCE_TIMEOUT).send().await;
    server.thaw();
    let thawed = deployment.server_log(address).await;
    server.kill();
    let killed = reqwest::get(&url).await;

    assert!(frozen.is_err_and(|error| error.is_timeout()));
    assert_eq!(thawed, json!({ "executions": [], "holds": [] }));
    assert!(killed.is_err_and(|error| error.is_connect()));
}

// A cut relay accepts bytes and forwards none. Once healed, it forwards the
// delayed bytes, so the response to the old request still arrives.
#[tokio::test]
async fn a_cut_relay_delays_bytes_until_it_is_healed() {
    let deployment = ProcessDeployment::spawn();
    let any = "127.0.0.1:0".parse().expect("address parses");
    let relay = TcpRelay::bind(any, deployment.platform_address).await;
    let url = format!("http://{}/vms", relay.address());

    relay.cut();
    let request = tokio::spawn(reqwest::get(url));
    tokio::time::sleep(SILENCE_TIMEOUT).await;
    let silent = !request.is_finished();
    relay.heal();
    let healed = request.await.expect("task does not panic");

    assert!(silent);
    assert_eq!(healed.expect("platform responds").status(), 200);
}

// An ended process is distinguished from a running one.
#[tokio::test]
async fn an_ended_process_is_detected() {
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

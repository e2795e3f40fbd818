//! End-to-end tests with separate processes, each under one fault.
//!
//! In each trial three daemons and three servers serve lookups, orders and
//! long responses; the servers' own logs are checked afterwards. No order may
//! run twice, no denied request may have run, no two servers may own a slice
//! at once, and every response that is delivered as complete is complete.

mod process;

use std::time::Duration;

use goldcrestramp_standins::CallOutcome;
use process::{ProcessTrial, outcomes, wait_until};

/// Longer than a grant, so that it expires while a server is frozen.
const FREEZE_DURATION: Duration = Duration::from_secs(3);

// Without a fault, callers learn every outcome.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn without_a_fault_every_outcome_is_known() {
    let mut trial = ProcessTrial::spawn().await;

    let calls = trial.load_during(async |_| {}).await;

    trial.assert_guarantees(&calls);
    let unknown = calls
        .iter()
        .filter(|call| matches!(call.outcome, CallOutcome::Unknown { .. }));
    assert_eq!(unknown.count(), 0, "{}", outcomes(&calls));
}

// A server is killed with requests in flight. Callers of its orders learn that
// the outcome is unknown. Once its grant has certainly expired, another server
// is granted its slices, and every key is served again.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn the_keys_of_a_killed_server_are_served_again() {
    let mut trial = ProcessTrial::spawn().await;

    let calls = trial.load_during(async |trial| trial.servers[0].lose()).await;
    trial.wait_served().await;

    trial.assert_guarantees(&calls);
}

// A server is frozen for longer than its grant, then continues with the
// requests in its sockets. Other servers own its slices by then: it must start
// nothing, or orders would run twice.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn a_thawed_server_starts_nothing_after_its_grant_expired() {
    let mut trial = ProcessTrial::spawn().await;

    let calls = trial
        .load_during(async |trial| {
            trial.servers[0].process.freeze();
            tokio::time::sleep(FREEZE_DURATION).await;
            trial.servers[0].process.thaw();
        })
        .await;
    trial.wait_served().await;

    trial.assert_guarantees(&calls);
}

// Each VM in turn is killed and replaced, so the steward is among them.
// Another VM takes over its role and its servers; callers use other VMs.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn a_killed_vm_is_replaced_whatever_its_role() {
    let mut trial = ProcessTrial::spawn().await;

    for number in 0..3 {
        let calls = trial
            .load_during(async |trial| {
                trial.daemons[number].process.kill();
                tokio::time::sleep(FREEZE_DURATION).await;
                trial.daemons[number].restart();
            })
            .await;
        trial.wait_served().await;

        trial.assert_guarantees(&calls);
    }
}

// Each VM in turn, the steward among them, is frozen and thawed. Whatever it
// was about to send is invalid by then.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn a_frozen_vm_violates_no_guarantee() {
    let mut trial = ProcessTrial::spawn().await;

    for number in 0..3 {
        let calls = trial
            .load_during(async |trial| {
                trial.daemons[number].process.freeze();
                tokio::time::sleep(FREEZE_DURATION).await;
                trial.daemons[number].process.thaw();
            })
            .await;
        trial.wait_served().await;

        trial.assert_guarantees(&calls);
    }
}

// The platform is frozen and a server is killed meanwhile. Ownership does not
// depend on the store: the killed server's keys are served again.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn a_lost_server_is_replaced_while_the_store_is_frozen() {
    let mut trial = ProcessTrial::spawn().await;

    let calls = trial
        .load_during(async |trial| {
            trial.deployment.platform.freeze();
            trial.servers[0].lose();
        })
        .await;
    trial.wait_served().await;
    trial.deployment.platform.thaw();

    trial.assert_guarantees(&calls);
}

// A VM's peers cannot reach it, though it can reach them. If it kept servers,
// its permits for them expire in time.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn a_vm_that_peers_cannot_reach_violates_no_guarantee() {
    let mut trial = ProcessTrial::spawn().await;

    for number in 0..3 {
        let calls = trial
            .load_during(async |trial| {
                let daemon = &trial.daemons[number];
                daemon.peer_relay.cut();
                daemon.control_relay.cut();
                tokio::time::sleep(FREEZE_DURATION).await;
                daemon.peer_relay.heal();
                daemon.control_relay.heal();
            })
            .await;
        trial.wait_served().await;

        trial.assert_guarantees(&calls);
    }
}

// A VM is stopped gracefully under load: no response is broken off, and every
// outcome is known.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn a_graceful_stop_breaks_off_nothing() {
    let mut trial = ProcessTrial::spawn().await;

    let calls = trial
        .load_during(async |trial| trial.daemons[0].process.terminate())
        .await;
    let status = wait_until("the end of the daemon", async || {
        trial.daemons[0].process.ended()
    })
    .await;

    trial.assert_guarantees(&calls);
    assert!(status.success(), "{status:?}");
    let unknown = calls
        .iter()
        .filter(|call| matches!(call.outcome, CallOutcome::Unknown { .. }));
    assert_eq!(unknown.count(), 0, "{}", outcomes(&calls));
}

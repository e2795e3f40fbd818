//! The whole path as processes, while one thing fails.
//!
//! In each trial three daemons and three servers serve lookups, orders and
//! long answers; the servers' own logs are judged afterwards. No order may
//! run twice, nothing that was denied may have run, no two servers may own
//! a slice at once, and every answer shown as whole is whole.

mod process;

use std::time::Duration;

use goldcrestramp_standins::CallOutcome;
use process::{ProcessTrial, outcomes, wait_until};

/// Longer than a grant, so that it lapses while a server stands still.
const FREEZE: Duration = Duration::from_secs(3);

// Nothing fails: callers get every answer.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn without_a_fault_everything_is_answered() {
    let mut trial = ProcessTrial::spawn().await;

    let calls = trial.load_under(async |_| {}).await;

    trial.assert_kept(&calls);
    let unknown = calls
        .iter()
        .filter(|call| matches!(call.outcome, CallOutcome::Unknown { .. }));
    assert_eq!(unknown.count(), 0, "{}", outcomes(&calls));
}

// A server is killed with work under way. Callers of its orders are told
// that the outcome is unknown; once its grant has surely lapsed another
// server is granted its slices, and every key is served again.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn the_keys_of_a_killed_server_are_served_again() {
    let mut trial = ProcessTrial::spawn().await;

    let calls = trial.load_under(async |trial| trial.servers[0].lose()).await;
    trial.wait_served().await;

    trial.assert_kept(&calls);
}

// A server stands still for longer than its grant, then goes on with what
// waited in its sockets. Its slices belong to others by then: it starts
// nothing, so nothing runs twice.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn a_server_that_wakes_up_starts_nothing_it_may_not() {
    let mut trial = ProcessTrial::spawn().await;

    let calls = trial
        .load_under(async |trial| {
            trial.servers[0].process.freeze();
            tokio::time::sleep(FREEZE).await;
            trial.servers[0].process.thaw();
        })
        .await;
    trial.wait_served().await;

    trial.assert_kept(&calls);
}

// Each VM in turn is killed and replaced, so the steward is among them.
// Another VM takes its part and its servers; callers go elsewhere.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn a_killed_vm_is_replaced_whatever_it_was() {
    let mut trial = ProcessTrial::spawn().await;

    for number in 0..3 {
        let calls = trial
            .load_under(async |trial| {
                trial.daemons[number].process.kill();
                tokio::time::sleep(FREEZE).await;
                trial.daemons[number].restart();
            })
            .await;
        trial.wait_served().await;

        trial.assert_kept(&calls);
    }
}

// A VM stands still, steward or not, and goes on. What it held back is
// void by then.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn a_paused_vm_breaks_no_promise() {
    let mut trial = ProcessTrial::spawn().await;

    for number in 0..3 {
        let calls = trial
            .load_under(async |trial| {
                trial.daemons[number].process.freeze();
                tokio::time::sleep(FREEZE).await;
                trial.daemons[number].process.thaw();
            })
            .await;
        trial.wait_served().await;

        trial.assert_kept(&calls);
    }
}

// The platform stands still and a server is killed meanwhile. Ownership
// needs no store: the killed server's keys are served again all the same.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn a_lost_server_is_replaced_while_the_store_is_away() {
    let mut trial = ProcessTrial::spawn().await;

    let calls = trial
        .load_under(async |trial| {
            trial.deployment.platform.freeze();
            trial.servers[0].lose();
        })
        .await;
    trial.wait_served().await;
    trial.deployment.platform.thaw();

    trial.assert_kept(&calls);
}

// A VM's peers cannot reach it any more, though it can reach them. Whoever
// kept servers there loses its permit in time.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn a_vm_that_peers_cannot_reach_breaks_no_promise() {
    let mut trial = ProcessTrial::spawn().await;

    for number in 0..3 {
        let calls = trial
            .load_under(async |trial| {
                let daemon = &trial.daemons[number];
                daemon.peer_relay.cut();
                daemon.control_relay.cut();
                tokio::time::sleep(FREEZE).await;
                daemon.peer_relay.heal();
                daemon.control_relay.heal();
            })
            .await;
        trial.wait_served().await;

        trial.assert_kept(&calls);
    }
}

// A VM is stopped gracefully under load: no answer is broken off, and no
// outcome is left open.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn a_planned_stop_cuts_nothing() {
    let mut trial = ProcessTrial::spawn().await;

    let calls = trial
        .load_under(async |trial| trial.daemons[0].process.terminate())
        .await;
    let status = wait_until("the end of the daemon", async || {
        trial.daemons[0].process.ended()
    })
    .await;

    trial.assert_kept(&calls);
    assert!(status.success(), "{status:?}");
    let unknown = calls
        .iter()
        .filter(|call| matches!(call.outcome, CallOutcome::Unknown { .. }));
    assert_eq!(unknown.count(), 0, "{}", outcomes(&calls));
}

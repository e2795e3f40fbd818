//! Tests in which VMs and whole failure domains are replaced, lost,
//! disconnected or drained under load.
//!
//! In each trial daemons and servers serve lookups, orders and long responses
//! while a fault is active; the servers' own logs are checked afterwards, as
//! in `faults.rs`.

mod process;

use std::time::Duration;

use goldcrestramp_standins::{CallEntry, CallOutcome};
use process::{ProcessTrial, TrialDomain, outcomes};

const SIERRA_A: TrialDomain = ("sierra-a", "sierra");
const SIERRA_B: TrialDomain = ("sierra-b", "sierra");
const COSTA_A: TrialDomain = ("costa-a", "costa");

/// Longer than a lease, so that a disconnected VM has lost its leases.
const PARTITION_DURATION: Duration = Duration::from_secs(3);
/// The time until another VM has replaced a lost one.
const FAILOVER_TIME: Duration = Duration::from_secs(1);

/// Asserts that every request received a complete response.
fn assert_all_done(calls: &[CallEntry]) {
    let other = calls
        .iter()
        .filter(|call| !matches!(call.outcome, CallOutcome::Done { .. }));
    assert_eq!(other.count(), 0, "{}", outcomes(calls));
}

// A server is drained while it serves lookups, orders and long responses.
// Every request receives its complete response, including requests in flight
// and those that arrive between the server's release and the next owner's
// grant.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn a_drained_server_costs_no_request() {
    let mut trial = ProcessTrial::spawn().await;

    let calls =
        trial.load_during(async |trial| trial.drain(0, true).await).await;
    trial.wait_served().await;

    trial.assert_guarantees(&calls);
    assert_all_done(&calls);
}

// The only server of its service in its domain is drained. Its slices move to
// the other domain by release; nothing is refused or broken off.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn a_drained_domain_costs_no_request() {
    // Two servers remain, so that load alone causes no refusal.
    let (vms, domains) =
        ([SIERRA_A, SIERRA_B], [SIERRA_A, SIERRA_B, SIERRA_B]);
    let mut trial = ProcessTrial::spawn_in(&vms, &domains).await;

    let calls =
        trial.load_during(async |trial| trial.drain(0, true).await).await;
    trial.wait_served().await;

    trial.assert_guarantees(&calls);
    assert_all_done(&calls);
}

// The only server of its service in its domain is lost. Its domain reports
// this, and the other domain's server serves its keys.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn the_last_server_of_a_domain_is_replaced_by_another_domain() {
    let domains = [SIERRA_A, SIERRA_B];
    let mut trial = ProcessTrial::spawn_in(&domains, &domains).await;

    let calls = trial.load_during(async |trial| trial.servers[0].lose()).await;
    trial.wait_served().await;

    trial.assert_guarantees(&calls);
}

// Every VM in turn is replaced by one with another name and address, as the
// platform does. The steward and the keepers of servers are among them.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn every_vm_is_replaced_by_another() {
    let mut trial = ProcessTrial::spawn().await;

    let calls = trial
        .load_during(async |trial| {
            trial.replace_vm(0, "vm-10").await;
            tokio::time::sleep(FAILOVER_TIME).await;
        })
        .await;
    trial.wait_served().await;
    trial.assert_guarantees(&calls);
    for number in 1..3 {
        let calls = trial
            .load_during(async |trial| {
                trial.replace_vm(number, &format!("vm-1{number}")).await;
            })
            .await;
        trial.wait_served().await;
        trial.assert_guarantees(&calls);
    }
}

// A rack is lost: a VM, which may be the steward, and a server at once. The
// other VMs and servers take over.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn a_rack_is_lost() {
    for number in 0..3 {
        let mut trial = ProcessTrial::spawn().await;
        let calls = trial
            .load_during(async |trial| {
                trial.daemons[number].process.kill();
                trial.servers[number].lose();
            })
            .await;
        trial.wait_served().await;

        trial.assert_guarantees(&calls);
    }
}

// A domain is disconnected from the other domain and from the platform. Both
// continue with the slices they hold, and the isolated domain loses none.
// After the partition heals, it serves all callers again.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn an_isolated_domain_serves_the_slices_it_holds() {
    let domains = [SIERRA_A, SIERRA_B];
    let mut trial = ProcessTrial::spawn_in(&domains, &domains).await;

    let calls = trial
        .load_during(async |trial| {
            let isolated = &trial.daemons[1];
            isolated.peer_relay.cut();
            isolated.platform_relay.cut();
            let connected = &trial.daemons[0];
            connected.peer_relay.cut();
            tokio::time::sleep(PARTITION_DURATION).await;
            let (isolated, connected) = (&trial.daemons[1], &trial.daemons[0]);
            connected.peer_relay.heal();
            isolated.platform_relay.heal();
            isolated.peer_relay.heal();
        })
        .await;
    trial.wait_served().await;

    trial.assert_guarantees(&calls);
}

// A region is lost with everything in it. Its keys stay unserved until an
// operator declares it lost, because a lost region can't be distinguished from
// an isolated one that still serves. Then the other region serves them.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn a_lost_regions_keys_are_served_after_its_ticket() {
    let domains = [SIERRA_A, COSTA_A];
    let mut trial = ProcessTrial::spawn_in(&domains, &domains).await;

    let calls = trial
        .load_during(async |trial| {
            trial.daemons[1].process.kill();
            trial.servers[1].lose();
            tokio::time::sleep(FAILOVER_TIME).await;
            trial.declare_lost(COSTA_A, true).await;
        })
        .await;
    trial.wait_served().await;

    trial.assert_guarantees(&calls);
}

// An operator declares a domain lost by mistake: it still runs and is
// reachable. Its server must stop before another owns its keys, and when the
// domain is declared available again, no key has two owners.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn a_domain_declared_lost_by_mistake_has_no_second_owner() {
    let domains = [SIERRA_A, SIERRA_B];
    let mut trial = ProcessTrial::spawn_in(&domains, &domains).await;

    let calls = trial
        .load_during(async |trial| {
            trial.declare_lost(SIERRA_B, true).await;
            tokio::time::sleep(FAILOVER_TIME).await;
            trial.declare_lost(SIERRA_B, false).await;
        })
        .await;
    trial.wait_served().await;

    trial.assert_guarantees(&calls);
}

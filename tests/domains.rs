//! Failure domains and VMs as a whole, under load: replaced, lost, cut off,
//! drained.
//!
//! In each trial daemons and servers serve lookups, orders and long answers
//! while something fails; the servers' own logs are judged afterwards, as in
//! `faults.rs`.

mod process;

use std::time::Duration;

use goldcrestramp_standins::{CallEntry, CallOutcome};
use process::{ProcessTrial, TrialPlace, outcomes};

const SIERRA_A: TrialPlace = ("sierra-a", "sierra");
const SIERRA_B: TrialPlace = ("sierra-b", "sierra");
const COSTA_A: TrialPlace = ("costa-a", "costa");

/// Longer than a lease, so that whoever is cut off has lost what it had.
const CUT: Duration = Duration::from_secs(3);
/// Until another VM has taken a lost one's place.
const SETTLED: Duration = Duration::from_secs(1);

/// Every request that was begun got its whole answer.
fn assert_all_done(calls: &[CallEntry]) {
    let other = calls
        .iter()
        .filter(|call| !matches!(call.outcome, CallOutcome::Done { .. }));
    assert_eq!(other.count(), 0, "{}", outcomes(calls));
}

// A server is drained while it serves lookups, orders and long answers.
// Every request gets its whole answer, also those that were under way and
// those that came between its release and the next owner's grant.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn a_drained_server_costs_no_request() {
    let mut trial = ProcessTrial::spawn().await;

    let calls =
        trial.load_under(async |trial| trial.drain(0, true).await).await;
    trial.wait_served().await;

    trial.assert_kept(&calls);
    assert_all_done(&calls);
}

// The only server of its service in its domain is drained. Its slices go to
// the other domain by release; nothing is refused or broken off.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn a_drained_domain_costs_no_request() {
    let places = [SIERRA_A, SIERRA_B];
    let mut trial = ProcessTrial::spawn_in(&places, &places).await;

    let calls =
        trial.load_under(async |trial| trial.drain(0, true).await).await;
    trial.wait_served().await;

    trial.assert_kept(&calls);
    assert_all_done(&calls);
}

// The only server of its service in its domain is lost. Its domain says so,
// and its keys are served by the other domain's server.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn a_domains_last_server_is_replaced_by_another_domains() {
    let places = [SIERRA_A, SIERRA_B];
    let mut trial = ProcessTrial::spawn_in(&places, &places).await;

    let calls = trial.load_under(async |trial| trial.servers[0].lose()).await;
    trial.wait_served().await;

    trial.assert_kept(&calls);
}

// Every VM is replaced, one after another, by one of another name and
// address, as the platform does. Whoever led or kept servers is among them.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn every_vm_is_replaced_by_another() {
    let mut trial = ProcessTrial::spawn().await;

    let calls = trial
        .load_under(async |trial| {
            trial.replace_vm(0, "vm-10").await;
            tokio::time::sleep(SETTLED).await;
        })
        .await;
    trial.wait_served().await;
    trial.assert_kept(&calls);
    for number in 1..3 {
        let calls = trial
            .load_under(async |trial| {
                trial.replace_vm(number, &format!("vm-1{number}")).await;
            })
            .await;
        trial.wait_served().await;
        trial.assert_kept(&calls);
    }
}

// A rack goes: two VMs of the same place, the steward perhaps among them,
// and a server at once. The other VMs and servers take it all over.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn a_rack_is_lost() {
    for number in 0..3 {
        let mut trial = ProcessTrial::spawn().await;
        let calls = trial
            .load_under(async |trial| {
                trial.daemons[number].process.kill();
                trial.servers[number].lose();
            })
            .await;
        trial.wait_served().await;

        trial.assert_kept(&calls);
    }
}

// A domain is cut off from the other and from the platform. Both go on with
// what they hold, nothing is taken from the one that is cut off, and healed
// it serves everybody again.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn a_domain_that_is_cut_off_serves_what_it_holds() {
    let places = [SIERRA_A, SIERRA_B];
    let mut trial = ProcessTrial::spawn_in(&places, &places).await;

    let calls = trial
        .load_under(async |trial| {
            let daemon = &trial.daemons[1];
            daemon.peer_relay.cut();
            daemon.platform_relay.cut();
            let near = &trial.daemons[0];
            near.peer_relay.cut();
            tokio::time::sleep(CUT).await;
            let (daemon, near) = (&trial.daemons[1], &trial.daemons[0]);
            near.peer_relay.heal();
            daemon.platform_relay.heal();
            daemon.peer_relay.heal();
        })
        .await;
    trial.wait_served().await;

    trial.assert_kept(&calls);
}

// A region is lost with everything in it. Its keys wait until an operator
// says so, because nobody can tell it from one that is cut off and serves;
// then the other region has them.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn a_lost_regions_keys_are_served_after_its_ticket() {
    let places = [SIERRA_A, COSTA_A];
    let mut trial = ProcessTrial::spawn_in(&places, &places).await;

    let calls = trial
        .load_under(async |trial| {
            trial.daemons[1].process.kill();
            trial.servers[1].lose();
            tokio::time::sleep(SETTLED).await;
            trial.declare_lost(COSTA_A, true).await;
        })
        .await;
    trial.wait_served().await;

    trial.assert_kept(&calls);
}

// An operator declares a domain lost by mistake: it still runs and is in
// reach. Its server is told to stop before another owns its keys, and when
// the domain is declared back nothing has two owners.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn a_domain_declared_lost_by_mistake_has_no_second_owner() {
    let places = [SIERRA_A, SIERRA_B];
    let mut trial = ProcessTrial::spawn_in(&places, &places).await;

    let calls = trial
        .load_under(async |trial| {
            trial.declare_lost(SIERRA_B, true).await;
            tokio::time::sleep(SETTLED).await;
            trial.declare_lost(SIERRA_B, false).await;
        })
        .await;
    trial.wait_served().await;

    trial.assert_kept(&calls);
}

//! Distribution of tickets to all VMs of several failure domains, and the
//! status that the VMs report of it.

mod fleet;

use std::sync::Arc;

use fleet::{CALLERS, VmFleet, wait_until, weight_of, weight_ticket};
use goldcrestramp_node::{NodeContext, NodeHandle, NodeReport, StatusReport};
use tokio::task::JoinHandle;

/// Minimum bytes of a caller's entry in a configuration.
const ENTRY_BYTES: u64 = 30;

/// Watches the version in force on a VM; ends with the first decrease.
struct VersionWatch(JoinHandle<(u64, u64)>);

impl VersionWatch {
    fn spawn(node: &NodeHandle) -> Self {
        let context: Arc<NodeContext> = Arc::clone(node.context());
        Self(tokio::spawn(async move {
            let mut last = 0;
            loop {
                let version = context.metrics.config_version();
                if version < last {
                    return (last, version);
                }
                last = version;
                tokio::task::yield_now().await;
            }
        }))
    }

    /// Whether the version has never decreased.
    fn has_risen(&self) -> bool {
        !self.0.is_finished()
    }
}

impl Drop for VersionWatch {
    fn drop(&mut self) {
        self.0.abort();
    }
}

// All VMs of a domain that has more VMs than voters start at once: none finds
// a roster, and the first steward contacts its voters only. The other VMs must
// find it too, or they keep no server and never receive a ticket.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_vm_that_is_no_voter_finds_its_steward() {
    let fleet = VmFleet::spawn_one_domain(7, 8).await;

    for vm in 0..fleet.nodes.len() {
        wait_until(async || {
            let view = fleet.status(vm).await.view;
            view.is_some_and(|view| view.nodes.len() == 8)
        })
        .await;
    }
}

// Tickets are applied at VMs of all failure domains, stewards or not. Each
// domain's steward reads them from the store and streams them to its own VMs:
// every VM must end with all of them.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_ticket_comes_into_force_on_every_vm_of_every_domain() {
    let fleet = VmFleet::spawn(0).await;

    for (number, vm) in [(2, 0), (3, 4), (4, 8), (5, 1)] {
        let caller = usize::try_from(number).expect("number is small");
        fleet.apply(vm, &weight_ticket(number, caller, 7)).await;
    }

    for caller in 2..=5 {
        fleet.wait_for_weight(caller, 7).await;
    }
}

// The store is restored to its state before two accepted tickets, and the
// next ticket is applied to that. All three must be in force on every VM, and
// in the store, and no VM may return to an older version meanwhile: stewards
// write what the store has lost, under a higher version.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn no_vm_returns_to_an_older_version_after_a_restore() {
    let fleet = VmFleet::spawn(1).await;
    let watches: Vec<_> =
        fleet.nodes.iter().map(VersionWatch::spawn).collect();
    fleet.platform.snapshot();
    for (number, caller) in [(2, 2), (3, 3)] {
        fleet.apply(0, &weight_ticket(number, caller, 7)).await;
        fleet.wait_for_weight(caller, 7).await;
    }

    fleet.platform.restore();
    fleet.apply(5, &weight_ticket(4, 4, 7)).await;

    for caller in 2..=4 {
        fleet.wait_for_weight(caller, 7).await;
    }
    assert!(watches.iter().all(VersionWatch::has_risen));
}

// A VM is paused while tickets come into force on the others. They must not
// wait for it, and once it resumes it receives what it has missed.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_paused_vm_receives_what_it_missed() {
    let fleet = VmFleet::spawn(2).await;
    let paused = 1;
    let others = |version: u64| {
        let others = fleet.nodes.iter().enumerate();
        let mut others = others.filter(|(vm, _)| *vm != paused);
        others.all(|(_, node)| has(node, version))
    };
    fleet.nodes[paused].context().faults.pause(true);

    for (number, weight) in [(2, 14), (3, 21), (4, 28)] {
        let ticket = weight_ticket(number, 1, weight);
        let version = fleet.apply(3, &ticket).await;
        wait_until(async || others(version)).await;
    }
    let lagged = !has(&fleet.nodes[paused], 4);
    fleet.nodes[paused].context().faults.pause(false);

    fleet.wait_for_weight(1, 28).await;
    assert!(lagged);
}

fn has(node: &NodeHandle, version: u64) -> bool {
    node.context().metrics.config_version() >= version
}

// The bytes sent to a VM for a ticket grow with the ticket, not with the
// configuration: a configuration near its maximum size would exceed the
// bandwidth budget of all control messages.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_ticket_does_not_send_the_whole_configuration() {
    let fleet = VmFleet::spawn(3).await;
    let bytes =
        |vm: usize| fleet.nodes[vm].context().metrics.control_bytes("table");
    let before: Vec<_> = (0..fleet.nodes.len()).map(bytes).collect();

    for number in 2..=6 {
        fleet.apply(0, &weight_ticket(number, 1, 7)).await;
        let caller = usize::try_from(number).expect("number is small");
        fleet.apply(0, &weight_ticket(number + 100, caller, 7)).await;
        fleet.wait_for_weight(caller, 7).await;
    }

    let full_bytes = CALLERS as u64 * ENTRY_BYTES;
    // A steward sends each change to its two followers.
    for (vm, before) in before.iter().enumerate() {
        assert!(
            bytes(vm) - before < 2 * full_bytes,
            "vm {vm}: {full_bytes} is the full size"
        );
    }
    assert_eq!(weight_of(&fleet.config(8).await, 6), Some(7));
}

/// The index of the first domain's steward.
async fn steward(fleet: &VmFleet) -> usize {
    wait_until(async || fleet.status(0).await.view.is_some()).await;
    let view = fleet.status(0).await.view.expect("view is known");
    let mut nodes = fleet.nodes.iter();
    let found = nodes.position(|node| *node.context().vm() == view.vm);
    found.expect("steward is in the fleet")
}

// Any VM, steward or not, reports the version in force on each VM of its
// domain: all have the last ticket, and the age of each other domain's table
// is known.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn any_vm_reports_the_versions_of_its_domain() {
    let fleet = VmFleet::spawn(4).await;
    let version = fleet.apply(0, &weight_ticket(2, 1, 7)).await;
    fleet.wait_for_weight(1, 7).await;

    for vm in 0..fleet.nodes.len() {
        let all = async || {
            let report = fleet.status(vm).await;
            let view = report.view.as_ref();
            let nodes = view.map(|view| view.nodes.as_slice());
            let nodes = nodes.unwrap_or_default();
            let current =
                |n: &&NodeReport| n.config_version == version && !n.lags;
            let ages = report.domains.iter().all(|d| d.age_ms.is_some());
            nodes.iter().filter(current).count() == 3 && ages
        };
        wait_until(all).await;
    }
}

// A follower is paused while a ticket comes into force: the other VMs of its
// domain report that it lags, and its version.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn the_others_report_a_vm_that_lags() {
    let fleet = VmFleet::spawn(5).await;
    let steward = steward(&fleet).await;
    let (paused, other) = ((steward + 1) % 3, (steward + 2) % 3);
    fleet.nodes[paused].context().faults.pause(true);
    let version = fleet.apply(3, &weight_ticket(2, 1, 7)).await;
    wait_until(async || has(&fleet.nodes[other], version)).await;

    let report = fleet.status(other).await;

    let view = report.view.expect("view is known");
    let name = fleet.nodes[paused].context().vm();
    let node = view.nodes.iter().find(|node| node.vm == *name);
    let node = node.expect("paused VM is in the view");
    assert!(node.lags && node.config_version < version, "{node:?}");
    fleet.nodes[paused].context().faults.pause(false);
    let caught_up = async || {
        let view = fleet.status(other).await.view;
        view.is_some_and(|view| view.nodes.iter().all(|node| !node.lags))
    };
    wait_until(caught_up).await;
}

// A VM is partitioned from all others. It reports the last state received
// from its steward and from the other domains, with an increasing age.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_partitioned_vm_reports_the_age_of_its_view() {
    let fleet = VmFleet::spawn(6).await;
    let partitioned = (steward(&fleet).await + 1) % 3;
    wait_until(async || fleet.status(partitioned).await.view.is_some()).await;
    let others = fleet.nodes.iter().enumerate();
    let others = others.filter(|(vm, _)| *vm != partitioned);
    let addresses = others.flat_map(|(_, node)| {
        let addresses = node.addresses();
        [addresses.control.to_string(), addresses.peers.to_string()]
    });
    let context = fleet.nodes[partitioned].context();
    context.faults.cut(addresses);

    let first = fleet.status(partitioned).await;
    let older = async || {
        let report = fleet.status(partitioned).await;
        let age = |report: &StatusReport| {
            let view = report.view.as_ref().map(|view| view.age_ms);
            let domains = report.domains.iter().map(|d| d.age_ms);
            (view, domains.collect::<Vec<_>>())
        };
        let (before, after) = (age(&first), age(&report));
        let increased = before.1.iter().zip(&after.1).all(|(b, a)| a > b);
        after.0 > before.0 && increased
    };

    wait_until(older).await;
}

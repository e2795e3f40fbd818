//! Tickets on their way to every VM of several failure domains.

mod fleet;

use std::sync::Arc;

use fleet::{CALLERS, VmFleet, wait_until, weight_of, weight_ticket};
use goldcrestramp_node::{NodeContext, NodeHandle};
use tokio::task::JoinHandle;

/// Bytes of a caller's entry in a configuration, at least.
const ENTRY_BYTES: u64 = 30;

/// Follows the version in force on a VM; gives the first step back.
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

    /// Whether it has only risen.
    fn has_risen(&self) -> bool {
        !self.0.is_finished()
    }
}

impl Drop for VersionWatch {
    fn drop(&mut self) {
        self.0.abort();
    }
}

// Tickets go to VMs of all failure domains, stewards or not. Each domain's
// steward sees them in the store and streams them to its own VMs: every VM
// must end with all of them.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_ticket_comes_into_force_on_every_vm_of_every_domain() {
    let fleet = VmFleet::spawn(0).await;

    for (number, vm) in [(2, 0), (3, 4), (4, 8), (5, 1)] {
        let caller = usize::try_from(number).expect("few");
        fleet.apply(vm, &weight_ticket(number, caller, 7)).await;
    }

    for caller in 2..=5 {
        fleet.wait_for_weight(caller, 7).await;
    }
}

// The store comes back as it was before two accepted tickets, and the next
// one is applied to that. Operators must find all of them in force
// everywhere, in the store too, and no VM may go back meanwhile: stewards
// write what the store has lost, under a higher version.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn no_vm_goes_back_when_the_store_does() {
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

// A VM stands still while tickets come into force on the others. They must
// not wait for it, and once it goes on it gets what it has missed.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_vm_that_stood_still_gets_what_it_missed() {
    let fleet = VmFleet::spawn(2).await;
    let slow = 1;
    let others = |version: u64| {
        let others = fleet.nodes.iter().enumerate();
        let mut others = others.filter(|(vm, _)| *vm != slow);
        others.all(|(_, node)| has(node, version))
    };
    fleet.nodes[slow].context().faults.pause(true);

    for (number, weight) in [(2, 14), (3, 21), (4, 28)] {
        let ticket = weight_ticket(number, 1, weight);
        let version = fleet.apply(3, &ticket).await;
        wait_until(async || others(version)).await;
    }
    let lagged = !has(&fleet.nodes[slow], 4);
    fleet.nodes[slow].context().faults.pause(false);

    fleet.wait_for_weight(1, 28).await;
    assert!(lagged);
}

fn has(node: &NodeHandle, version: u64) -> bool {
    node.context().metrics.config_version() >= version
}

// What a VM is sent for a ticket is the ticket's size, not that of the
// configuration: near the bound, that would be more than all that control
// may cost.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_ticket_does_not_send_the_whole_configuration() {
    let fleet = VmFleet::spawn(3).await;
    let bytes =
        |vm: usize| fleet.nodes[vm].context().metrics.control_bytes("table");
    let before: Vec<_> = (0..fleet.nodes.len()).map(bytes).collect();

    for number in 2..=6 {
        fleet.apply(0, &weight_ticket(number, 1, 7)).await;
        let caller = usize::try_from(number).expect("few");
        fleet.apply(0, &weight_ticket(number + 100, caller, 7)).await;
        fleet.wait_for_weight(caller, 7).await;
    }

    let whole = CALLERS as u64 * ENTRY_BYTES;
    // A steward sends each of its two followers every change.
    for (vm, before) in before.iter().enumerate() {
        assert!(bytes(vm) - before < 2 * whole, "vm {vm}: {whole} is whole");
    }
    assert_eq!(weight_of(&fleet.config(8).await, 6), Some(7));
}

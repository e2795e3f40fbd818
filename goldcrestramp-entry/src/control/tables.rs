//! Replicates committed tables to the other VMs.
//!
//! The store's own watch delivers them too, but half a second later. In that
//! time requests for keys that moved would be sent to their previous owner.

use std::sync::Arc;

use goldcrestramp_adapter::StoreItem;
use goldcrestramp_types::{FastMap, LocalTime};

use crate::{
    control::{ControlActor, message::TablesReplicated},
    history::{TableRevision, TableUpdate},
    peers::{PeerCall, PeerReply},
    records::VmInstance,
};

/// The tables that the planning VM has replicated, by VM.
#[derive(Debug, Default)]
pub(crate) struct ReplicaTracker(FastMap<Arc<str>, ReplicaState>);

/// The state of one VM instance's replica.
#[derive(Debug)]
struct ReplicaState {
    start: u64,
    /// The versions that it reported.
    known: Vec<TableRevision>,
    /// Whether a call is in flight. Two calls at once could overtake each
    /// other, and the later patch would have a base version that the VM does
    /// not have.
    in_flight: bool,
}

impl ReplicaTracker {
    /// The versions that a VM is known to have, if no call to it is in flight.
    /// Marks a call as in flight.
    fn begin(
        &mut self,
        vm: &VmInstance,
        assumed: &[TableRevision],
    ) -> Option<Vec<TableRevision>> {
        let fresh = || ReplicaState {
            start: vm.start,
            known: assumed.to_vec(),
            in_flight: false,
        };
        let replica = self.0.entry(Arc::clone(&vm.vm)).or_insert_with(fresh);
        if replica.start != vm.start {
            *replica = fresh();
        }
        (!replica.in_flight).then(|| {
            replica.in_flight = true;
            replica.known.clone()
        })
    }

    fn ended(&mut self, vm: &VmInstance, known: Option<Vec<TableRevision>>) {
        let replica = self.0.get_mut(&vm.vm);
        if let Some(replica) =
            replica.filter(|replica| replica.start == vm.start)
        {
            replica.in_flight = false;
            if let Some(known) = known {
                replica.known = known;
            }
        }
    }

    fn retain(&mut self, vms: &[VmInstance]) {
        self.0.retain(|name, _| vms.iter().any(|vm| vm.vm == *name));
    }
}

impl ControlActor {
    /// Records a table that this VM has committed, and replicates it to all
    /// other VMs.
    pub(crate) fn replicate_table(&mut self, now: LocalTime, item: StoreItem) {
        let before = self.history.known_revisions();
        self.mirror.write(item);
        self.refresh(now);
        let view = Arc::clone(&self.view);
        self.replicas.retain(&view.vms);
        for vm in &view.vms {
            if vm.vm != self.me.vm {
                self.replicate_to(vm, &before);
            }
        }
    }

    /// Sends a VM the tables that it does not have. A VM without a recorded
    /// replica is assumed to have the `assumed` versions.
    fn replicate_to(&mut self, vm: &VmInstance, assumed: &[TableRevision]) {
        let Some(known) = self.replicas.begin(vm, assumed) else { return };
        let update = self.history.update_for(&known);
        if update.is_empty() {
            self.replicas.ended(vm, None);
            return;
        }
        let (peers, control) = (self.peers.clone(), self.address.clone());
        let vm = vm.clone();
        tokio::spawn(async move {
            let call = PeerCall::Tables(update);
            let known = match peers.call(vm.address, &call).await {
                Some(PeerReply::Tables(known)) => Some(known),
                // Its own watch delivers them too, only later.
                _ => None,
            };
            // Sending fails only when the process stops.
            let _gone = control.send(TablesReplicated { vm, known }).await;
        });
    }

    /// Records the versions that a VM has after a call.
    pub(crate) fn tables_replicated(&mut self, ended: TablesReplicated) {
        let TablesReplicated { vm, known } = ended;
        let responded = known.is_some();
        self.replicas.ended(&vm, known);
        if responded && self.term.is_some() {
            self.replicate_to(&vm, &[]);
        }
    }

    /// Applies newer versions of tables; returns whether all of them are known
    /// now.
    pub(crate) fn apply_tables(
        &mut self,
        now: LocalTime,
        update: Vec<TableUpdate>,
    ) -> bool {
        let mut all_known = true;
        let mut any_new = false;
        for table_update in update {
            let TableRevision { key, revision } = table_update.version.clone();
            match self.history.resolve(table_update) {
                Ok(Some(table)) => {
                    let value = table.encode().into();
                    self.mirror.write(StoreItem { key, value, revision });
                    any_new = true;
                }
                Ok(None) => {}
                Err(error) => {
                    log::debug!(
                        "[control] Skipped an update of {key}: {error}."
                    );
                    all_known = false;
                }
            }
        }
        if any_new {
            self.refresh(now);
        }
        all_known
    }
}

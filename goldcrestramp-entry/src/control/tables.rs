//! How a committed table reaches the other VMs.
//!
//! The store's own watch tells of it too, only half a second later, in
//! which keys that moved would be asked for at their former owner.

use std::sync::Arc;

use goldcrestramp_adapter::StoreItem;
use goldcrestramp_types::{FastMap, LocalTime};

use crate::{
    control::{ControlActor, message::TablesReplicated},
    history::{TableRevision, TableUpdate},
    peers::{PeerCall, PeerReply},
    records::VmInstance,
};

/// What the planning VM has told the others.
#[derive(Debug, Default)]
pub(crate) struct ReplicaTracker(FastMap<Arc<str>, ReplicaState>);

/// What one run of a VM was told.
#[derive(Debug)]
struct ReplicaState {
    start: u64,
    /// The versions that it said it has.
    known: Vec<TableRevision>,
    /// Whether a call is on its way. Two at once could overtake each other,
    /// and the later change would be one of a version that is not there.
    in_flight: bool,
}

impl ReplicaTracker {
    /// What a VM is known to have, if it may be told now.
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
    /// Takes a table that this VM has committed, and tells all others.
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

    /// Tells a VM what it does not have; of one that was never told, the
    /// `usual` versions are assumed.
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
                // Its own watch tells it too, only later.
                _ => None,
            };
            // The actor is gone only when the process ends.
            let _gone = control.send(TablesReplicated { vm, known }).await;
        });
    }

    /// Takes what a VM has after it was told of tables.
    pub(crate) fn tables_replicated(&mut self, ended: TablesReplicated) {
        let TablesReplicated { vm, known } = ended;
        let responded = known.is_some();
        self.replicas.ended(&vm, known);
        if responded && self.term.is_some() {
            self.replicate_to(&vm, &[]);
        }
    }

    /// Takes newer versions of tables; whether all of them are known now.
    pub(crate) fn apply_tables(
        &mut self,
        now: LocalTime,
        update: Vec<TableUpdate>,
    ) -> bool {
        let mut all = true;
        let mut any = false;
        for table_update in update {
            let TableRevision { key, revision } = table_update.version.clone();
            match self.history.resolve(table_update) {
                Ok(Some(table)) => {
                    let value = table.encode().into();
                    self.mirror.write(StoreItem { key, value, revision });
                    any = true;
                }
                Ok(None) => {}
                Err(error) => {
                    log::debug!(
                        "[control] Another version of {key}: {error}."
                    );
                    all = false;
                }
            }
        }
        if any {
            self.refresh(now);
        }
        all
    }
}

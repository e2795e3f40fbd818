//! How a committed table reaches the other VMs.
//!
//! The store's own watch tells of it too, only half a second later, in
//! which keys that moved would be asked for at their former owner.

use std::sync::Arc;

use goldcrestramp_adapter::StoreItem;
use goldcrestramp_assignment::{AssignmentTable, TablePatch};
use goldcrestramp_types::LocalTime;

use crate::{
    control::ControlActor,
    mirror::MirrorValue,
    peers::{PeerCall, PeerClient, PeerReply},
    records::VmRun,
};

/// A table that was committed, and what it was before.
struct CommittedTable {
    key: Arc<str>,
    value: Vec<u8>,
    revision: u64,
    /// The former table's revision, with what has changed since.
    change: Option<(u64, TablePatch)>,
}

impl ControlActor {
    /// Takes a table that this VM has committed, and tells all others.
    pub(crate) fn tell_table(
        &mut self,
        key: &Arc<str>,
        table: &AssignmentTable,
        revision: u64,
    ) {
        let former = self.mirror.get(key);
        if former.is_some_and(|former| former.revision >= revision) {
            return;
        }
        let change = former.and_then(|former| patch_of(former, table));
        let value = table.encode();
        self.mirror.write(StoreItem {
            key: Arc::clone(key),
            value: value.clone().into(),
            revision,
        });
        let key = Arc::clone(key);
        let told = CommittedTable { key, value, revision, change };
        let told = Arc::new(told);
        for vm in self.view.vms.iter().filter(|vm| vm.vm != self.me.vm) {
            let told = Arc::clone(&told);
            tokio::spawn(tell(self.peers.clone(), vm.clone(), told));
        }
    }

    /// Takes what a commit of the planning VM has changed in a table.
    pub(crate) fn take_table_change(
        &mut self,
        now: LocalTime,
        (key, base, revision): (Arc<str>, u64, u64),
        patch: &TablePatch,
    ) -> PeerReply {
        let Some(known) = self.mirror.get(&key) else {
            return PeerReply::OtherBase;
        };
        if known.revision >= revision {
            return PeerReply::Taken;
        }
        if known.revision != base {
            return PeerReply::OtherBase;
        }
        let table = AssignmentTable::decode(&known.value);
        let Ok(table) = table.and_then(|table| table.patched(patch)) else {
            log::warn!("[control] A change of {key} can't be taken.");
            return PeerReply::OtherBase;
        };
        let value = table.encode().into();
        self.mirror.write(StoreItem { key, value, revision });
        self.refresh(now);
        PeerReply::Taken
    }
}

fn patch_of(
    former: &MirrorValue,
    table: &AssignmentTable,
) -> Option<(u64, TablePatch)> {
    let known = AssignmentTable::decode(&former.value).ok()?;
    Some((former.revision, table.patch_from(&known)))
}

/// Tells one VM of a table: what has changed, or all of it if that VM has
/// missed an earlier change.
async fn tell(peers: PeerClient, vm: VmRun, told: Arc<CommittedTable>) {
    let CommittedTable { key, value, revision, change } = &*told;
    let (key, revision) = (Arc::clone(key), *revision);
    if let Some((base, patch)) = change {
        let call = PeerCall::TableChange {
            key: Arc::clone(&key),
            base: *base,
            revision,
            patch: patch.clone(),
        };
        // Without an answer the VM learns of it by its own watch.
        let reply = peers.call(vm.address, &call).await;
        if !matches!(reply, Some(PeerReply::OtherBase)) {
            return;
        }
    }
    let value = value.clone();
    let call = PeerCall::Table { key, value, revision };
    // The store's own watch tells it too, only later.
    let _lost = peers.call(vm.address, &call).await;
}

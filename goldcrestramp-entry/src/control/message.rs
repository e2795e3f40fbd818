//! What the control actor is told.

use std::{net::SocketAddr, sync::Arc};

use goldcrestramp_adapter::StoreEvent;
use goldcrestramp_assignment::{AssignmentTable, OrderOutcome, ServerOrder};
use goldcrestramp_types::LocalTime;

use crate::{
    control::{LeaseTerms, UpdateSource},
    history::TableRevision,
    peers::{KnownRevisions, StoreUpdate},
    records::VmInstance,
    store::{StoreFailure, StorePage},
};

/// Changes that a watch told.
#[derive(Debug)]
pub(crate) struct StoreChanges {
    /// When the watch was sent.
    pub(crate) sent_at: LocalTime,
    pub(crate) events: Vec<StoreEvent>,
    pub(crate) revision: u64,
}

/// A reading of the whole store.
#[derive(Debug)]
pub(crate) struct StoreSnapshot {
    /// When the first call was sent.
    pub(crate) sent_at: LocalTime,
    pub(crate) page: StorePage,
}

/// A reading of the VMs' entries alone.
#[derive(Debug)]
pub(crate) struct VmPage(pub(crate) StorePage);

/// Asks from where changes are to be followed next.
#[derive(Debug)]
pub(crate) struct NextSource;

/// From where changes are to be followed next.
#[derive(Debug)]
pub(crate) struct NextStep {
    pub(crate) source: UpdateSource,
    /// What is known.
    pub(crate) known: KnownRevisions,
}

/// A VM was told of tables.
#[derive(Debug)]
pub(crate) struct TablesReplicated {
    pub(crate) vm: VmInstance,
    /// The versions that it has now; nothing if it gave no answer.
    pub(crate) known: Option<Vec<TableRevision>>,
}

/// Another VM's news of the store.
#[derive(Debug)]
pub(crate) struct PeerUpdate {
    pub(crate) update: StoreUpdate,
    /// The moment up to which these tell the store's changes.
    pub(crate) as_of: LocalTime,
    pub(crate) fresh: bool,
    /// The VM that is followed, if the news come from it.
    pub(crate) source: Option<SocketAddr>,
}

/// The call to another VM, made while the store is silent, has ended.
#[derive(Debug)]
pub(crate) struct PeerQueryEnded;

/// The VM that was followed gave no answer.
#[derive(Debug)]
pub(crate) struct PeerTimedOut(pub(crate) SocketAddr);

/// The history after the known revision is no longer there.
#[derive(Debug)]
pub(crate) struct HistoryLost;

/// The store gave no answer to this VM.
#[derive(Debug)]
pub(crate) struct StoreTimedOut;

/// The lease was alive when the store took a call that was sent then; no
/// lease: it has ended. The reply tells whether to keep one.
#[derive(Clone, Copy, Debug)]
pub(crate) struct LeaseProof {
    pub(crate) lease: Option<u64>,
    /// The terms on which it is kept.
    pub(crate) terms: LeaseTerms,
    pub(crate) sent_at: LocalTime,
}

/// Time has passed.
#[derive(Debug)]
pub(crate) struct ControlTick;

/// The claim to be the planning VM has ended so.
#[derive(Debug)]
pub(crate) struct ClaimEnded {
    /// The revision of this VM's record, if it plans now.
    pub(crate) won_revision: Option<u64>,
    /// The tables as they were read after the claim.
    pub(crate) tables: StorePage,
    /// The lease with which the record ends.
    pub(crate) lease: u64,
    /// When the claim was sent.
    pub(crate) sent_at: LocalTime,
}

/// A table's commit has ended so.
#[derive(Debug)]
pub(crate) struct CommitEnded {
    pub(crate) service: Arc<str>,
    pub(crate) table: AssignmentTable,
    pub(crate) committed: Result<Option<u64>, StoreFailure>,
}

/// What lies in the store after a commit of unknown effect.
#[derive(Debug)]
pub(crate) struct ReadBack {
    pub(crate) service: Arc<str>,
    pub(crate) page: StorePage,
}

/// An order to a server has ended so.
#[derive(Debug)]
pub(crate) struct OrderEnded {
    pub(crate) service: Arc<str>,
    pub(crate) order: ServerOrder,
    pub(crate) outcome: OrderOutcome,
}

/// The former planner plans no more.
#[derive(Debug)]
pub(crate) struct PreviousPlannerStopped {
    /// When that became known.
    pub(crate) at: LocalTime,
    /// When it was first known to plan.
    pub(crate) planned_by: LocalTime,
}

/// The process is to stop: nothing new is planned, and the lease ends.
#[derive(Debug)]
pub(crate) struct StopControl;

//! The messages to the control actor.

use std::{net::SocketAddr, sync::Arc};

use goldcrestramp_adapter::StoreEvent;
use goldcrestramp_assignment::{AssignmentTable, OrderOutcome, ServerOrder};
use goldcrestramp_types::{LocalTime, TimeSpan};

use crate::{
    control::{LeaseTerms, UpdateSource},
    history::TableRevision,
    peers::{KnownRevisions, StoreUpdate},
    records::VmInstance,
    store::{StoreFailure, StorePage},
};

/// Changes that a watch returned.
#[derive(Debug)]
pub(crate) struct StoreChanges {
    /// When the watch was sent.
    pub(crate) sent_at: LocalTime,
    pub(crate) events: Vec<StoreEvent>,
    pub(crate) revision: u64,
}

/// A snapshot of the full store.
#[derive(Debug)]
pub(crate) struct StoreSnapshot {
    /// When the first call of the snapshot was sent.
    pub(crate) sent_at: LocalTime,
    pub(crate) page: StorePage,
}

/// The entries of the VMs, read from the store.
#[derive(Debug)]
pub(crate) struct VmPage(pub(crate) StorePage);

/// Requests the source to follow next.
#[derive(Debug)]
pub(crate) struct NextSource;

/// The source to follow next.
#[derive(Debug)]
pub(crate) struct NextStep {
    /// The source; `None` to wait before the next one is chosen.
    pub(crate) source: Option<UpdateSource>,
    /// How long to wait for a response before the next source is queried as
    /// well; `None` for the default time.
    pub(crate) response_time: Option<TimeSpan>,
    /// The address at which the source, if it is a VM, states whether it is
    /// busy.
    pub(crate) busy_address: Option<SocketAddr>,
    /// The revisions that this VM knows.
    pub(crate) known: KnownRevisions,
}

/// A call that sent tables to a VM has ended.
#[derive(Debug)]
pub(crate) struct TablesReplicated {
    pub(crate) vm: VmInstance,
    /// The versions that it has now; `None` if it did not respond.
    pub(crate) known: Option<Vec<TableRevision>>,
}

/// An update of the store from another VM.
#[derive(Debug)]
pub(crate) struct PeerUpdate {
    pub(crate) update: StoreUpdate,
    /// The time up to which the update covers the store's changes.
    pub(crate) as_of: LocalTime,
    pub(crate) fresh: bool,
    /// The followed VM, if the update is from it.
    pub(crate) source: Option<SocketAddr>,
}

/// The query to another VM, made while the store did not respond, has ended.
#[derive(Debug)]
pub(crate) struct PeerQueryEnded;

/// The followed VM did not respond.
#[derive(Debug)]
pub(crate) struct PeerTimedOut(pub(crate) SocketAddr);

/// The store's history after the known revision is no longer available.
#[derive(Debug)]
pub(crate) struct HistoryLost;

/// The store did not respond to this VM.
#[derive(Debug)]
pub(crate) struct StoreTimedOut;

/// The lease was alive when the store received a call that was sent at
/// `sent_at`; without a lease, it has expired. The reply says whether to keep
/// one.
#[derive(Clone, Copy, Debug)]
pub(crate) struct LeaseProof {
    pub(crate) lease: Option<u64>,
    /// The terms of the lease.
    pub(crate) terms: LeaseTerms,
    pub(crate) sent_at: LocalTime,
}

/// Does the work that is due, at a fixed interval.
#[derive(Debug)]
pub(crate) struct ControlTick;

/// The claim to be the planning VM has ended.
#[derive(Debug)]
pub(crate) struct ClaimEnded {
    /// The revision of this VM's record, if it plans now.
    pub(crate) won_revision: Option<u64>,
    /// The tables as read after the claim.
    pub(crate) tables: StorePage,
    /// The lease of the planner's record.
    pub(crate) lease: u64,
    /// When the claim was sent.
    pub(crate) sent_at: LocalTime,
}

/// The commit of a table has ended.
#[derive(Debug)]
pub(crate) struct CommitEnded {
    pub(crate) service: Arc<str>,
    pub(crate) table: AssignmentTable,
    pub(crate) committed: Result<Option<u64>, StoreFailure>,
}

/// The tables in the store, read back after a commit of unknown effect.
#[derive(Debug)]
pub(crate) struct ReadBack {
    pub(crate) service: Arc<str>,
    pub(crate) page: StorePage,
}

/// An order to a server has ended.
#[derive(Debug)]
pub(crate) struct OrderEnded {
    pub(crate) service: Arc<str>,
    pub(crate) order: ServerOrder,
    pub(crate) outcome: OrderOutcome,
    /// Whether the server states that it is leaving.
    pub(crate) leaving: bool,
}

/// The previous planner has stopped planning.
#[derive(Debug)]
pub(crate) struct PreviousPlannerStopped {
    /// When that became known.
    pub(crate) at: LocalTime,
    /// When it was first known to plan.
    pub(crate) planned_by: LocalTime,
}

/// Stops planning and ends the lease, because the process is stopping.
#[derive(Debug)]
pub(crate) struct StopControl;

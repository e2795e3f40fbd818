//! The inputs and outputs of a steward.

use std::sync::Arc;

use goldcrestramp_types::{
    FastMap, FenceToken, LocalTime, ServerName, SliceSet, TermId, VmName,
};

use crate::{
    message::{ConfirmAnswer, ConfirmAsk},
    plan::{DomainPlan, DomainRecord, SliceMove},
    roster::{RosterVoter, VoterRoster},
    table::DomainTable,
};

/// An input of a steward, apart from keepers' reports.
#[derive(Clone, Debug)]
pub enum StewardEvent {
    /// Time has passed; sent at least every 50 ms.
    Tick,
    /// This VM's own voter confirmed `ask` at `at`, which shows who leads.
    StewardSeen {
        /// The confirmed request.
        ask: ConfirmAsk,
        /// When it was confirmed.
        at: LocalTime,
    },
    /// A voter answered the request that was sent to it at `sent`.
    Answered {
        /// The voter.
        voter: VmName,
        /// When the request was sent.
        sent: LocalTime,
        /// The term that the request named.
        term: TermId,
        /// The roster version that the request named.
        roster: u64,
        /// The answer.
        answer: ConfirmAnswer,
    },
    /// The roster in the store; `None` if the store has none.
    RosterRead(Option<VoterRoster>),
    /// The store accepted the roster of a [`StewardEffect::SaveRoster`], or
    /// refused it because it has another one, which has to be read.
    RosterSaved(Result<VoterRoster, ()>),
    /// The configuration and the slices of this domain were read.
    PlanRead(Arc<DomainPlan>),
    /// The domain's record in the store; `None` if the store has none.
    RecordRead(Option<DomainRecord>),
    /// The store accepted the record with this token.
    RecordSaved(FenceToken),
    /// The VMs of this domain in the platform's VM list.
    VmsRead(Vec<RosterVoter>),
    /// Placement requests moves.
    MovesRequested(Vec<SliceMove>),
}

/// An action that the caller of a
/// [`StewardMachine`](crate::StewardMachine) has to carry out.
#[derive(Clone, Debug)]
pub enum StewardEffect {
    /// Send a request to a voter, and pass its answer back as
    /// [`StewardEvent::Answered`].
    AskVoter {
        /// The voter.
        voter: RosterVoter,
        /// The request.
        ask: ConfirmAsk,
    },
    /// Write the roster, provided the store has the version before it.
    SaveRoster(VoterRoster),
    /// Pass the roster version of the store to this VM's
    /// [`VoterState`](crate::VoterState).
    LearnRoster(u64),
    /// Pass the plan version of the store to this VM's
    /// [`VoterState`](crate::VoterState).
    LearnPlan(u64),
    /// Read the roster from the store again.
    ReadRoster,
    /// Write the record if it is newer than the one in the store.
    SaveRecord(DomainRecord),
    /// Read the domain's record from the store.
    ReadRecord,
    /// Send this table to the domain and to the stewards of other domains.
    Publish(Arc<DomainTable>),
}

/// The state of a steward, as operators see it.
#[derive(Clone, Debug, Default)]
pub struct StewardStatus {
    /// Whether a majority confirms this VM now.
    pub leading: bool,
    /// The term that it leads or follows.
    pub term: TermId,
    /// The end of its time, unless it is confirmed again.
    pub until: LocalTime,
    /// Whether it may already move slices.
    pub may_move: bool,
    /// Servers whose moves are in progress.
    pub moving: usize,
    /// The number of slices moved since the process started.
    pub moved: u64,
    /// The slices that each server may hold.
    pub holders: FastMap<ServerName, SliceSet>,
    /// Each server's keeper.
    pub keepers: FastMap<ServerName, VmName>,
    /// The fencing token of each server's order.
    pub tokens: FastMap<ServerName, FenceToken>,
    /// The servers that do not hold their target slices yet.
    pub due: FastMap<ServerName, DueSlices>,
}

/// The number of slices by which a server differs from its target.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct DueSlices {
    /// Slices that it still has to be granted.
    pub gains: usize,
    /// Slices that it still has to release.
    pub releases: usize,
}

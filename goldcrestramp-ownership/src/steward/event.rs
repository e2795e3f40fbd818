//! What a steward is told, and what it tells its caller to do.

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

/// What happens to a steward, besides a keeper's question.
#[derive(Clone, Debug)]
pub enum StewardEvent {
    /// Time has passed; sent at least every 50 ms.
    Tick,
    /// This VM's own voter last confirmed `ask` at `at`: who leads.
    StewardSeen {
        /// The confirmed question.
        ask: ConfirmAsk,
        /// When it was confirmed.
        at: LocalTime,
    },
    /// A voter answered what was asked of it at `sent`.
    Answered {
        /// The voter.
        voter: VmName,
        /// When the question was sent.
        sent: LocalTime,
        /// The term that it named.
        term: TermId,
        /// The roster version that it named.
        roster: u64,
        /// The answer.
        answer: ConfirmAnswer,
    },
    /// The roster as the store has it; `None`: the store has none.
    RosterRead(Option<VoterRoster>),
    /// The store took the roster that [`StewardEffect::SaveRoster`] asked
    /// for, or refused it because another was there (read it again).
    RosterSaved(Result<VoterRoster, ()>),
    /// The configuration, and the slices of this domain.
    PlanRead(Arc<DomainPlan>),
    /// The domain's record, or that the store has none.
    RecordRead(Option<DomainRecord>),
    /// The store took the record with this token.
    RecordSaved(FenceToken),
    /// The VMs of this domain on the platform's list.
    VmsRead(Vec<RosterVoter>),
    /// Placement asks for moves.
    MovesRequested(Vec<SliceMove>),
}

/// What the caller of a [`StewardMachine`](crate::StewardMachine) is to do.
#[derive(Clone, Debug)]
pub enum StewardEffect {
    /// Ask a voter, and give its answer back as an event.
    AskVoter {
        /// The voter.
        voter: RosterVoter,
        /// The question.
        ask: ConfirmAsk,
    },
    /// Write the roster if the store still has the version before it.
    SaveRoster(VoterRoster),
    /// Tell this VM's [`VoterState`](crate::VoterState) which roster
    /// version the store has.
    LearnRoster(u64),
    /// Tell it which version of the plan the store has.
    LearnPlan(u64),
    /// Read the roster from the store again.
    ReadRoster,
    /// Write the record if it is newer than what the store has.
    SaveRecord(DomainRecord),
    /// Read the domain's record from the store.
    ReadRecord,
    /// Stream this table to the domain and to other stewards.
    Publish(Arc<DomainTable>),
}

/// What a steward shows to operators.
#[derive(Clone, Debug, Default)]
pub struct StewardStatus {
    /// Whether a majority confirms this VM now.
    pub leading: bool,
    /// Its term, or the term that it follows.
    pub term: TermId,
    /// Until when it may act.
    pub until: LocalTime,
    /// Whether it may move slices already.
    pub may_move: bool,
    /// Moves begun and not ended.
    pub moving: usize,
    /// Slices moved since the process started.
    pub moved: u64,
    /// Each server's slices.
    pub holders: FastMap<ServerName, SliceSet>,
    /// Each server's keeper.
    pub keepers: FastMap<ServerName, VmName>,
    /// The fencing token of each server's order.
    pub tokens: FastMap<ServerName, FenceToken>,
    /// The servers that do not hold yet what they are to hold.
    pub due: FastMap<ServerName, DueSlices>,
}

/// How far a server is from what it is to hold.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct DueSlices {
    /// Slices that it is to get.
    pub gains: usize,
    /// Slices that it is to give up.
    pub releases: usize,
}

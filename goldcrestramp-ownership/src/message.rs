//! What the machines say to each other across VMs.

use std::sync::Arc;

use goldcrestramp_types::{
    DomainName, FenceToken, ServerName, ServiceName, SliceIndex, SliceSet,
    TermId, TimeSpan, VmName,
};

/// A steward asks a voter to confirm its term.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ConfirmAsk {
    /// The failure domain.
    pub domain: DomainName,
    /// The steward's VM.
    pub vm: VmName,
    /// The steward's control listener.
    pub address: Arc<str>,
    /// The steward's term.
    pub term: TermId,
    /// The version of the roster by which the steward counts.
    pub roster: u64,
    /// Whether a majority confirms the term already.
    pub established: bool,
    /// The version of the plan that the steward knows.
    pub plan: u64,
    /// The oldest plan with which anybody may lead from now on.
    pub floor: u64,
    /// The roster whose majority has confirmed the term; zero before one
    /// has.
    pub counted: u64,
}

/// A voter's answer.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ConfirmAnswer {
    /// The term is confirmed from when the question was sent.
    Confirmed,
    /// The voter has confirmed, or still follows, a higher or other term.
    Refused {
        /// The highest term that the voter knows of.
        highest: TermId,
    },
    /// The voter started too recently to know what it may confirm.
    Silent,
}

/// The load of one slice over the last interval.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct SliceLoad {
    /// The slice.
    pub slice: SliceIndex,
    /// Slot time that its requests took.
    pub busy: TimeSpan,
}

/// What a keeper knows of one of its servers.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct ServerState {
    /// A random number of the server's run; zero before its first answer.
    pub run: u64,
    /// The token of its grant.
    pub token: FenceToken,
    /// The lowest token that it accepts.
    pub fence: FenceToken,
    /// All that it may hold: what it said, what an unanswered order may
    /// still make it hold, and what non-idempotent work still runs on.
    ///
    /// A slice that is absent here has been released.
    pub held: SliceSet,
    /// What it held last, also after its grant lapsed.
    pub last: SliceSet,
    /// Whether its grant, and every order under way, has surely ended.
    pub lapsed: bool,
}

/// A keeper's knowledge of one server, as it travels.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ServerReport {
    /// The server.
    pub server: ServerName,
    /// The token of the steward's order that the keeper works on.
    pub order: FenceToken,
    /// Whether the keeper may send to it, not only ask it.
    pub keeps: bool,
    /// Whether it has answered the keeper's last message.
    pub reachable: bool,
    /// Rises with each change of `state`; unique for a keeper's start.
    pub version: u64,
    /// Absent when the steward has seen this version already.
    pub state: Option<Box<ServerState>>,
    /// Slot time used in the last interval.
    pub busy: TimeSpan,
    /// The heaviest slices, bounded.
    pub loads: Vec<SliceLoad>,
}

/// A keeper's report, and its question for a permit.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct KeeperReport {
    /// The keeper's VM.
    pub vm: VmName,
    /// Where peers send it requests for keys.
    pub address: Arc<str>,
    /// A random number of its process start.
    pub start: u64,
    /// Rises with each report; an answer to an earlier one is void.
    pub sequence: u64,
    /// The highest term that it has had a permit from.
    ///
    /// It takes none from a lower one, so a steward whose voters were all
    /// replaced, and who therefore counts from the start, has to go above.
    pub term: TermId,
    /// Whether the VM is leaving: it gets no new servers.
    pub leaving: bool,
    /// The servers that it keeps.
    pub servers: Vec<ServerReport>,
}

/// What a keeper is to make one server hold.
#[expect(
    clippy::struct_excessive_bools,
    reason = "two facts of the server and two of the keeper, each apart"
)]
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ServerOrder {
    /// The server.
    pub server: ServerName,
    /// Its service.
    pub service: ServiceName,
    /// Where it listens.
    pub address: Arc<str>,
    /// Whether it refuses old tokens.
    pub checks_fence: bool,
    /// How many requests it runs at once.
    pub slots: u32,
    /// How many connections it takes.
    pub connections: u32,
    /// The token of the order.
    pub token: FenceToken,
    /// The slices are absent.
    ///
    /// With the token that the keeper works on: carry on with that order.
    /// With another token: extend whatever the server holds.
    pub extend_only: bool,
    /// What it is to hold.
    pub slices: SliceSet,
    /// What it is to give up.
    pub release: SliceSet,
    /// Only ask the server how it is: a former keeper may still act.
    pub ask_only: bool,
    /// Send it nothing more; report it until nothing is under way.
    pub retire: bool,
    /// The version of the keeper's knowledge that the steward has.
    pub seen: u64,
}

/// A steward's answer to a keeper.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum PermitAnswer {
    /// The keeper may act for so long from when it sent the question.
    Permitted {
        /// The steward's term.
        term: TermId,
        /// The report that this answers.
        sequence: u64,
        /// How long the permit lasts.
        valid: TimeSpan,
        /// When to report again, from when this answer arrived.
        delay: TimeSpan,
        /// Every server that this VM keeps; it keeps no other.
        orders: Vec<ServerOrder>,
    },
    /// This VM is no steward.
    NotSteward {
        /// Who may be, and where.
        steward: Option<(VmName, Arc<str>)>,
    },
}

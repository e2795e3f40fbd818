//! The messages that the machines of different VMs exchange.

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
    /// The version of the newest roster that the steward knows.
    pub roster: u64,
    /// Whether a majority already confirms the term.
    pub established: bool,
    /// The version of the plan that the steward knows.
    pub plan: u64,
    /// The minimum plan version: voters that confirm this refuse stewards with
    /// an older plan.
    pub floor: u64,
    /// The version of the roster whose majority has confirmed the term; zero
    /// before a majority has.
    pub counted: u64,
}

/// A voter's answer to a [`ConfirmAsk`].
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ConfirmAnswer {
    /// The term is confirmed for a lease time from when the request was sent.
    Confirmed,
    /// The voter has confirmed a higher term, still follows another
    /// steward, knows a newer roster, or requires a newer plan.
    Refused {
        /// The highest term that the voter knows of.
        highest: TermId,
    },
    /// The voter abstains: it started too recently to know what an earlier
    /// process on its VM has confirmed, or it knows no roster version yet.
    Silent,
}

/// The load of one slice over the last interval.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct SliceLoad {
    /// The slice.
    pub slice: SliceIndex,
    /// The slot time that its requests used.
    pub busy: TimeSpan,
}

/// A keeper's knowledge of the grant of one of its servers.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct ServerState {
    /// The random number of the server's instance (one run of its process);
    /// zero before its first response.
    pub run: u64,
    /// The token of its grant.
    pub token: FenceToken,
    /// The lowest token that it accepts.
    pub fence: FenceToken,
    /// Every slice that it may hold: those it reported, those that an
    /// order without a response may still grant, and those on which
    /// non-idempotent requests still run.
    ///
    /// A slice that is absent here has been released.
    pub held: SliceSet,
    /// The slices of its last grant, kept after that grant has lapsed.
    pub last: SliceSet,
    /// Whether its grant and every order in flight have certainly expired.
    pub lapsed: bool,
}

/// The part of a [`KeeperReport`] about one server.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ServerReport {
    /// The server.
    pub server: ServerName,
    /// The token of the steward's order that the keeper carries out.
    pub order: FenceToken,
    /// Whether the keeper may send it grants, and not only query it.
    pub keeps: bool,
    /// Whether it has responded to the keeper's last message.
    pub reachable: bool,
    /// Increases with each change of `state`; unique within a keeper's
    /// process.
    pub version: u64,
    /// `None` if the steward has received this version already.
    pub state: Option<Box<ServerState>>,
    /// The slot time used in the last interval.
    pub busy: TimeSpan,
    /// The slices of highest load, limited in number.
    pub loads: Vec<SliceLoad>,
}

/// A keeper's report, which also requests a permit.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct KeeperReport {
    /// The keeper's VM.
    pub vm: VmName,
    /// The address at which peers send it requests.
    pub address: Arc<str>,
    /// The random number of its process start.
    pub start: u64,
    /// Increases with each report; an answer to an earlier report is
    /// ignored.
    pub sequence: u64,
    /// The highest term that has given it a permit.
    ///
    /// It accepts no permit of a lower term. A steward whose voters were
    /// all replaced numbers its terms from the start again, so it has to
    /// be elected under a term above this one.
    pub term: TermId,
    /// Whether the VM is leaving; it is then assigned no more servers.
    pub leaving: bool,
    /// The servers that it keeps.
    pub servers: Vec<ServerReport>,
}

/// The slices that a keeper is to grant to one server.
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
    /// The address at which it listens.
    pub address: Arc<str>,
    /// Whether it refuses orders with tokens below its fence.
    pub checks_fence: bool,
    /// How many requests it runs concurrently.
    pub slots: u32,
    /// How many connections it accepts.
    pub connections: u32,
    /// The token of the order.
    pub token: FenceToken,
    /// Whether `slices` and `release` are left out.
    ///
    /// If `token` is that of the keeper's current order, the keeper
    /// continues with that order. Otherwise it extends whatever the server
    /// holds.
    pub extend_only: bool,
    /// The slices that it is to hold.
    pub slices: SliceSet,
    /// The slices that it is to release.
    pub release: SliceSet,
    /// The keeper may only query the server's state, because a previous
    /// keeper may still act on it.
    pub ask_only: bool,
    /// The keeper sends it no more orders, and reports it until none is in
    /// flight.
    pub retire: bool,
    /// The version of the keeper's report that the steward has received.
    pub seen: u64,
}

/// A steward's answer to a keeper.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum PermitAnswer {
    /// The keeper may act for `valid` from when it sent the report.
    Permitted {
        /// The steward's term.
        term: TermId,
        /// The sequence number of the report that this answers.
        sequence: u64,
        /// How long the permit lasts.
        valid: TimeSpan,
        /// The delay until the next report, from when this answer arrives.
        delay: TimeSpan,
        /// Every server that this VM keeps; it keeps no others.
        orders: Vec<ServerOrder>,
    },
    /// This VM is not the steward.
    NotSteward {
        /// The VM that is probably the steward, and its control listener.
        steward: Option<(VmName, Arc<str>)>,
    },
}

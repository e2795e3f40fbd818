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
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ServerReport {
    /// The server.
    pub server: ServerName,
    /// Whether it has answered the keeper's last message.
    pub reachable: bool,
    /// A random number of the server's run; zero before its first answer.
    pub run: u64,
    /// The token of its grant.
    pub token: FenceToken,
    /// The lowest token that it accepts.
    pub fence: FenceToken,
    /// What it holds.
    pub held: SliceSet,
    /// What it held last, also after its grant lapsed.
    pub last: SliceSet,
    /// Whether its grant has surely ended.
    pub lapsed: bool,
    /// What it gave up, with nothing non-idempotent running on it.
    pub released: SliceSet,
    /// How old this knowledge is at most, by the keeper's clock.
    pub age: TimeSpan,
    /// The time after which its grant has surely ended, drift included.
    pub ends: TimeSpan,
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
    /// Whether the VM is leaving: it gets no new servers.
    pub leaving: bool,
    /// The servers that it keeps.
    pub servers: Vec<ServerReport>,
}

/// What a keeper is to make one server hold.
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
    /// Extend whatever it holds, and change nothing.
    pub extend_only: bool,
    /// What it is to hold.
    pub slices: SliceSet,
    /// What it is to give up.
    pub release: SliceSet,
}

/// A steward's answer to a keeper.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum PermitAnswer {
    /// The keeper may act for so long from when it sent the question.
    Permitted {
        /// The steward's term.
        term: TermId,
        /// How long the permit lasts.
        valid: TimeSpan,
        /// Every server that this VM keeps; it keeps no other.
        orders: Vec<ServerOrder>,
    },
    /// This VM is no steward.
    NotSteward {
        /// Who may be, and where.
        steward: Option<(VmName, Arc<str>)>,
    },
}

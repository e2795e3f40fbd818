//! The messages between the nodes of a simulated cluster.

use goldcrestramp_ownership::{
    ConfirmAnswer, ConfirmAsk, DomainRecord, KeeperReport, PermitAnswer,
    StewardEvent, VoterRoster,
};
use goldcrestramp_types::{LocalTime, TermId, VmName};
use goldcrestramp_wire::server::{GrantOrder, GrantReply};

/// A node of a simulated cluster.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub enum Node {
    Vm(usize),
    Server(usize),
    Store,
}

/// The VM process that sent a message.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Origin {
    pub vm: usize,
    pub start: u64,
}

#[derive(Clone, Debug)]
pub enum Message {
    Confirm { from: Origin, ask: ConfirmAsk, sent: LocalTime },
    Confirmed(Box<VoterReply>),
    Report { from: Origin, report: KeeperReport, sent: LocalTime },
    Permit { start: u64, sent: LocalTime, answer: PermitAnswer },
    Order { from: Origin, call: u64, order: GrantOrder },
    Reply { start: u64, call: u64, reply: GrantReply },
    StoreCall { from: Origin, call: StoreCall },
    StoreReply { start: u64, event: Box<StewardEvent> },
}

#[derive(Clone, Debug)]
pub struct VoterReply {
    pub start: u64,
    pub voter: VmName,
    pub sent: LocalTime,
    pub term: TermId,
    pub roster: u64,
    pub answer: ConfirmAnswer,
}

#[derive(Clone, Debug)]
pub enum StoreCall {
    ReadRoster,
    SaveRoster(VoterRoster),
    ReadRecord,
    SaveRecord(DomainRecord),
    ReadPlan,
    ReadVms,
}

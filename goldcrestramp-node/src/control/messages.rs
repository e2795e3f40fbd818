//! What is sent to the control actor.

use std::sync::Arc;

use goldcrestramp_config::DeploymentState;
use goldcrestramp_ownership::{
    ConfirmAsk, DomainTable, KeeperReport, PermitAnswer, ServiceRecord,
    StewardEvent, VoterRoster,
};
use goldcrestramp_types::{LocalTime, ServerName, VmName};
use goldcrestramp_wire::server::GrantReply;

/// Time has passed.
#[derive(Debug)]
pub(crate) struct TickNotice;

/// A steward asks this VM's voter.
#[derive(Debug)]
pub(crate) struct VoteAsk(pub(crate) ConfirmAsk);

/// A keeper asks this VM's steward.
#[derive(Debug)]
pub(crate) struct PermitAsk(pub(crate) KeeperReport);

/// Something for the steward.
#[derive(Debug)]
pub(crate) struct StewardNotice(pub(crate) StewardEvent);

/// The steward answered this VM's keeper, or nobody did.
#[derive(Debug)]
pub(crate) struct PermitNotice {
    pub(crate) sent: LocalTime,
    pub(crate) answer: Option<PermitAnswer>,
}

/// The steward has new orders for this VM's keeper.
#[derive(Debug)]
pub(crate) struct AskNotice;

/// A server replied to an order, or did not.
#[derive(Debug)]
pub(crate) struct GrantNotice {
    pub(crate) server: ServerName,
    pub(crate) sent: LocalTime,
    pub(crate) reply: Option<GrantReply>,
}

/// The store's configuration was read, or a steward passed it on.
#[derive(Debug)]
pub(crate) struct ConfigNotice(pub(crate) Arc<DeploymentState>);

/// A service's division among failure domains was read or passed on.
#[derive(Debug)]
pub(crate) struct HomesNotice(pub(crate) Arc<ServiceRecord>);

/// The roster was read from the store.
#[derive(Debug)]
pub(crate) struct RosterNotice(pub(crate) Option<VoterRoster>);

/// A failure domain's table came from a peer.
#[derive(Debug)]
pub(crate) struct TableNotice(pub(crate) Arc<DomainTable>);

/// VMs of the deployment: name, domain and control listener.
#[derive(Debug)]
pub(crate) struct VmsNotice(pub(crate) Vec<goldcrestramp_platform::VmEntry>);

/// Asks for what operators are shown.
#[derive(Debug)]
pub(crate) struct StatusAsk;

/// Asks whether this VM keeps no server any more.
#[derive(Debug)]
pub(crate) struct DrainedAsk;

/// Asks whether the others have a majority once this VM is gone.
#[derive(Debug)]
pub(crate) struct DispensableAsk;

/// Asks where to find the steward.
#[derive(Debug)]
pub(crate) struct StewardAsk;

/// Who is steward, as far as this VM knows.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) enum StewardPlace {
    /// This VM.
    Here,
    /// Another VM, at this control listener.
    There(VmName, Arc<str>),
    /// Nobody known.
    Unknown,
}

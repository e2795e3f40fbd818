//! The messages that the control actor handles.

use std::sync::Arc;

use goldcrestramp_config::DeploymentState;
use goldcrestramp_ownership::{
    ConfirmAsk, DomainTable, KeeperReport, PermitAnswer, ServiceRecord,
    StewardEvent, VoterRoster,
};
use goldcrestramp_types::{LocalTime, ServerName, VmName};
use goldcrestramp_wire::server::GrantReply;

use crate::control::seen::VmVersions;

/// Makes the actor run everything that is due.
#[derive(Debug)]
pub(crate) struct TickNotice;

/// A steward asks this VM's voter to confirm its term.
#[derive(Debug)]
pub(crate) struct VoteAsk(pub(crate) ConfirmAsk);

/// A keeper asks this VM's steward for a permit and reports the versions
/// that it has in force.
#[derive(Debug)]
pub(crate) struct PermitAsk {
    pub(crate) report: KeeperReport,
    pub(crate) versions: VmVersions,
}

/// An event for this VM's steward.
#[derive(Debug)]
pub(crate) struct StewardNotice(pub(crate) StewardEvent);

/// A steward answered this VM's keeper, or the call failed.
#[derive(Debug)]
pub(crate) struct PermitNotice {
    pub(crate) sent: LocalTime,
    pub(crate) answer: Option<PermitAnswer>,
}

/// A server replied to an order, or the order timed out or failed.
#[derive(Debug)]
pub(crate) struct GrantNotice {
    pub(crate) server: ServerName,
    pub(crate) sent: LocalTime,
    pub(crate) reply: Option<GrantReply>,
}

/// The configuration was read from the store or received from a steward.
#[derive(Debug)]
pub(crate) struct ConfigNotice(pub(crate) Arc<DeploymentState>);

/// The record that assigns a service's slices to failure domains was read
/// or received.
#[derive(Debug)]
pub(crate) struct HomesNotice(pub(crate) Arc<ServiceRecord>);

/// The roster was read from the store, which may have none.
#[derive(Debug)]
pub(crate) struct RosterNotice(pub(crate) Option<VoterRoster>);

/// A failure domain's table was received from a peer.
#[derive(Debug)]
pub(crate) struct TableNotice(pub(crate) Arc<DomainTable>);

/// The VMs of the deployment, with name, domain and control listener.
#[derive(Debug)]
pub(crate) struct VmsNotice(pub(crate) Vec<goldcrestramp_platform::VmEntry>);

/// Asks for the control state that operators are shown.
#[derive(Debug)]
pub(crate) struct StatusAsk;

/// Asks whether this VM's keeper has no servers.
#[derive(Debug)]
pub(crate) struct DrainedAsk;

/// Asks whether the other voters still have a majority after this VM has
/// stopped.
#[derive(Debug)]
pub(crate) struct DispensableAsk;

/// Asks which VM is the steward.
#[derive(Debug)]
pub(crate) struct StewardAsk;

/// The VM that is the steward, as far as this VM knows.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) enum StewardLocation {
    /// This VM.
    Local,
    /// Another VM, at this control listener.
    Remote(VmName, Arc<str>),
    /// No steward is known.
    Unknown,
}

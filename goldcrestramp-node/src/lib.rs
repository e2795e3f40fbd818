/*!
The daemon: actors and sockets around the state machines of other crates.

A [`NodeHandle`] is one running daemon. Its control thread runs the steward,
the keeper's grants and the voter. The traffic threads run the gateway, which
accepts callers' requests, and the keeper, which sends them to servers. Traffic
reads the decisions of the control thread from immutable snapshots in
[`NodeContext`].
*/

mod context;
mod control;
mod convert;
mod faults;
mod gateway;
mod handle;
mod keeper;
mod load;
mod metrics;
mod operators;
mod peer_accept;
mod peer_tls;
mod peers;
mod planner;
mod routing;
mod running;
mod store;

pub use crate::{
    context::NodeContext,
    control::{ControlStatus, MoveMeter, MoveTally, SeenVm, VmVersions},
    faults::{NodeFaults, PlantedFault},
    handle::{NodeAddresses, NodeHandle},
    metrics::NodeMetrics,
    operators::{
        ApplyOutcome, DomainReport, ExplainReport, HeardReport, KeepReport,
        LeavingReport, MoveReport, NodeReport, OperatorControl,
        OperatorPolicy, OperatorRefusal, PolicyError, RefusalLine,
        ServerReport, StatusReport, StewardReport, StewardView, TicketAnswer,
        TicketOutcome, apply_ticket, operator_routes, restore_config,
    },
    peer_accept::LimitedStream,
    peer_tls::{
        PeerIdentity, PeerIncoming, PeerTls, PeerTlsError, ProvenPeer,
    },
};

/*!
Actors and sockets that bind the pure parts into a daemon.

A [`NodeHandle`] is one running daemon. Its control thread runs the steward,
the keeper's grants and the voter; the traffic threads run the gateway, which
takes callers' requests, and the keeper, which sends them to servers. Traffic
reads what control decided from immutable snapshots in [`NodeContext`].
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
mod peer_tls;
mod peers;
mod planner;
mod routing;
mod running;
mod store;

pub use crate::{
    context::NodeContext,
    control::ControlStatus,
    faults::{NodeFaults, PlantedFault},
    handle::{NodeAddresses, NodeHandle},
    metrics::NodeMetrics,
    operators::{
        ApplyOutcome, DomainReport, ExplainReport, KeepReport, MoveReport,
        OperatorControl, OperatorPolicy, OperatorRefusal, PolicyError,
        RefusalLine, ServerReport, StatusReport, StewardReport, TicketAnswer,
        TicketOutcome, apply_ticket, operator_routes, restore_config,
    },
    peer_tls::{
        PeerIdentity, PeerIncoming, PeerTls, PeerTlsError, ProvenPeer,
    },
};

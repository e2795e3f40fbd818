/*!
Reads and validates node settings and change tickets.

Both are JSON with comments. Unknown fields, invalid references and values
out of range are reported together, each with file, line, column and path.
*/

mod deployment;
mod document;
mod example;
mod settings;
mod ticket;

pub use crate::{
    deployment::{
        CallerRules, DeploymentState, DomainRules, ServerRules, ServiceRules,
    },
    document::{DocumentFault, FaultList, SourcePosition},
    example::{
        EntryVm, ExampleDeployment, LinkFigures, TrafficMix, parse_example,
        read_example,
    },
    settings::{
        LogFormat, LogSettings, NodeSettings, OperatorSettings,
        PeerTlsSettings, parse_settings, read_settings,
    },
    ticket::{
        AcceptOutcome, AcceptedTicket, CapacityPreview, ChangeTicket,
        EntityId, EntityKind, EntityRevision, MAX_STATE_BYTES, RefusalReason,
        RemovalList, ServicePreview, StateChange, StateRevision,
        TicketDocument, TicketHistory, TicketPreview, TicketRefusal,
        accept_ticket, merge_states, parse_ticket, preview_ticket,
        read_ticket,
    },
};

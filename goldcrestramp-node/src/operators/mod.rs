//! What operators reach: tickets, status, metrics.
//!
//! | route | answer |
//! | --- | --- |
//! | `GET /healthz` | 200 while the daemon runs; needs no token |
//! | `GET /readyz` | 200 when it may be sent callers; needs no token |
//! | `GET /metrics` | all counters as Prometheus text |
//! | `GET /status` | [`StatusReport`] as JSON |
//! | `GET /config` | the configuration in force here, as JSON |
//! | `GET /explain?service=S&key=K` | [`ExplainReport`] as JSON |
//! | `POST /tickets` | a ticket, JSON with comments; [`TicketAnswer`] |
//!
//! Every refusal is counted by its [`OperatorRefusal`].

mod answer;
mod apply;
mod control;
mod node;
mod policy;
mod report;
mod routes;
mod show;

pub use self::{
    answer::{RefusalLine, TicketAnswer, TicketOutcome},
    apply::{ApplyOutcome, apply_ticket, restore_config},
    control::{OperatorControl, OperatorRefusal},
    policy::{OperatorPolicy, PolicyError},
    report::{
        DomainReport, ExplainReport, HeardReport, KeepReport, LeavingReport,
        MoveReport, NodeReport, ServerReport, StatusReport, StewardReport,
        StewardView,
    },
    routes::operator_routes,
};
pub(crate) use self::{node::NodeOperators, show::steward_view};

//! The HTTP interface for operators: tickets, status, metrics.
//!
//! | route | response |
//! | --- | --- |
//! | `GET /healthz` | 200 while the daemon runs; needs no token |
//! | `GET /readyz` | 200 if the VM is ready for callers; needs no token |
//! | `GET /metrics` | all metrics as Prometheus text |
//! | `GET /status` | [`StatusReport`] as JSON |
//! | `GET /config` | the configuration in force on this VM, as JSON |
//! | `GET /explain?service=S&key=K` | [`ExplainReport`] as JSON |
//! | `POST /tickets` | [`TicketAnswer`] as JSON |
//!
//! The body of `POST /tickets` is a ticket in JSON with comments.
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

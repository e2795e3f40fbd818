//! What the operators' listener asks of the daemon.

use goldcrestramp_config::{ChangeTicket, DeploymentState};
use goldcrestramp_types::ServiceName;

use super::{
    apply::ApplyOutcome,
    report::{ExplainReport, StatusReport},
};

/// The daemon as its operators' listener sees it; cheap to clone.
pub trait OperatorControl: Clone + Send + Sync + 'static {
    /// What this VM knows now; `None`: its control thread has ended.
    fn status(&self) -> impl Future<Output = Option<StatusReport>> + Send;

    /// The configuration in force here; `None`: the control thread has
    /// ended.
    fn config(&self) -> impl Future<Output = Option<DeploymentState>> + Send;

    /// Who owns `key` and why; `None`: no such service is known here.
    fn explain(
        &self,
        service: &ServiceName,
        key: &str,
    ) -> impl Future<Output = Option<ExplainReport>> + Send;

    /// Applies a ticket; an accepted one is taken as this VM's own
    /// configuration before this returns.
    fn apply(
        &self,
        ticket: ChangeTicket,
    ) -> impl Future<Output = ApplyOutcome> + Send;

    /// All counters as Prometheus text.
    fn metrics(&self) -> String;

    /// Whether callers may be sent here; else why not.
    ///
    /// # Errors
    ///
    /// A short sentence.
    fn readiness(&self) -> Result<(), &'static str>;

    /// Counts a request of an operator that was refused.
    fn count_refusal(&self, refusal: OperatorRefusal);
}

/// Why a request of an operator is refused.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum OperatorRefusal {
    /// It carries no bearer token.
    NoToken,
    /// It carries another token.
    WrongToken,
    /// The file with the token can't be read, or holds none.
    TokenUnreadable,
    /// A ticket came without `content-type: application/json`.
    ContentType,
    /// The ticket has faults or is refused by the configuration.
    Ticket,
    /// The store took nothing.
    Store,
    /// The query names no service or a malformed one.
    BadQuery,
    /// No such service is known here.
    UnknownService,
    /// Other tickets are being applied.
    Busy,
    /// The control thread has ended.
    Ended,
}

impl OperatorRefusal {
    /// Every reason, in a fixed order.
    pub const ALL: [Self; 10] = [
        Self::NoToken,
        Self::WrongToken,
        Self::TokenUnreadable,
        Self::ContentType,
        Self::Ticket,
        Self::Store,
        Self::BadQuery,
        Self::UnknownService,
        Self::Busy,
        Self::Ended,
    ];

    /// The stable code in counters and answers.
    #[must_use]
    pub const fn code(self) -> &'static str {
        match self {
            Self::NoToken => "no-token",
            Self::WrongToken => "wrong-token",
            Self::TokenUnreadable => "token-unreadable",
            Self::ContentType => "content-type",
            Self::Ticket => "ticket",
            Self::Store => "store",
            Self::BadQuery => "bad-query",
            Self::UnknownService => "unknown-service",
            Self::Busy => "busy",
            Self::Ended => "ended",
        }
    }
}

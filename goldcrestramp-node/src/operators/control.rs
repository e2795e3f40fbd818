//! The interface between the operators' listener and the daemon.

use goldcrestramp_config::{ChangeTicket, DeploymentState};
use goldcrestramp_types::ServiceName;

use super::{
    apply::ApplyOutcome,
    report::{ExplainReport, StatusReport},
};

/// The operations that the operators' listener needs from the daemon; cheap
/// to clone.
pub trait OperatorControl: Clone + Send + Sync + 'static {
    /// The current state of this VM, or `None` if its control thread has
    /// ended.
    fn status(&self) -> impl Future<Output = Option<StatusReport>> + Send;

    /// The configuration in force on this VM, or `None` if its control thread
    /// has ended.
    fn config(&self) -> impl Future<Output = Option<DeploymentState>> + Send;

    /// The owner of `key` and the reasons; `None` if this VM knows no such
    /// service.
    fn explain(
        &self,
        service: &ServiceName,
        key: &str,
    ) -> impl Future<Output = Option<ExplainReport>> + Send;

    /// Applies a ticket. The state of an accepted ticket becomes this VM's
    /// configuration before this returns.
    fn apply(
        &self,
        ticket: ChangeTicket,
    ) -> impl Future<Output = ApplyOutcome> + Send;

    /// All metrics as Prometheus text.
    fn metrics(&self) -> String;

    /// Returns whether this VM is ready for callers.
    ///
    /// # Errors
    ///
    /// Returns the reason as a short sentence if it is not.
    fn readiness(&self) -> Result<(), &'static str>;

    /// Counts a refused request of an operator.
    fn count_refusal(&self, refusal: OperatorRefusal);
}

/// Why a request of an operator is refused.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum OperatorRefusal {
    /// The request has no bearer token.
    NoToken,
    /// The request has a wrong token.
    WrongToken,
    /// The token file can't be read or holds no token.
    TokenUnreadable,
    /// A ticket was sent without `content-type: application/json`.
    ContentType,
    /// The ticket has faults or is refused by the configuration.
    Ticket,
    /// A ticket was not applied: nothing was written to the store.
    Store,
    /// The query has no key, or no valid name of a service.
    BadQuery,
    /// The service is unknown to this VM.
    UnknownService,
    /// Too many other tickets are being applied.
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

    /// The stable code in metrics and responses.
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

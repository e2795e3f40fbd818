//! The response to an operator's ticket.

use std::fmt;

use goldcrestramp_config::{FaultList, TicketRefusal};
use serde::{Deserialize, Serialize};

use super::apply::ApplyOutcome;

/// The outcome of a ticket.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum TicketOutcome {
    /// The ticket is accepted and stored.
    Accepted,
    /// The ticket was accepted before; nothing changed.
    AcceptedAlready,
    /// The ticket is refused; nothing changed.
    Refused,
    /// Nothing was written to the store; nothing changed.
    NotApplied,
    /// The ticket may be stored; applying it again shows whether it is.
    Unknown,
}

/// One reason for a refusal.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct RefusalLine {
    /// The path of the value in the ticket, such as `servers[3].service`.
    pub path: String,
    /// The stable code of the reason; `malformed` for a syntax fault.
    pub code: String,
    /// The reason as a short sentence.
    pub message: String,
}

/// The body of the response to `POST /tickets`.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct TicketAnswer {
    /// The outcome of the ticket.
    pub outcome: TicketOutcome,
    /// The version of the configuration that includes the ticket, if it is
    /// accepted.
    pub version: Option<u64>,
    /// Every reason, if the ticket is refused.
    #[serde(default)]
    pub refusals: Vec<RefusalLine>,
    /// Other tickets that were stored while this one was being applied.
    #[serde(default)]
    pub raced: Vec<u64>,
    /// The store's error, if the ticket is not applied or its outcome is
    /// unknown.
    pub why: Option<String>,
}

impl TicketAnswer {
    fn new(outcome: TicketOutcome) -> Self {
        let (refusals, raced) = (Vec::new(), Vec::new());
        Self { outcome, version: None, refusals, raced, why: None }
    }

    /// The response to a ticket whose text has faults.
    #[must_use]
    pub fn malformed(faults: &FaultList) -> Self {
        let lines = faults.faults().iter().map(|fault| RefusalLine {
            path: fault.path.clone(),
            code: "malformed".to_owned(),
            message: fault.to_string(),
        });
        let refusals = lines.collect();
        Self { refusals, ..Self::new(TicketOutcome::Refused) }
    }
}

impl From<&ApplyOutcome> for TicketAnswer {
    fn from(outcome: &ApplyOutcome) -> Self {
        match outcome {
            ApplyOutcome::Accepted(state) => Self {
                version: Some(state.version),
                ..Self::new(TicketOutcome::Accepted)
            },
            ApplyOutcome::AcceptedAlready(state) => Self {
                version: Some(state.version),
                ..Self::new(TicketOutcome::AcceptedAlready)
            },
            ApplyOutcome::Refused { refusals, raced } => Self {
                refusals: refusals.iter().map(RefusalLine::from).collect(),
                raced: raced.clone(),
                ..Self::new(TicketOutcome::Refused)
            },
            ApplyOutcome::NotApplied(why) => Self {
                why: Some(why.clone()),
                ..Self::new(TicketOutcome::NotApplied)
            },
            ApplyOutcome::Unknown(why) => Self {
                why: Some(why.clone()),
                ..Self::new(TicketOutcome::Unknown)
            },
        }
    }
}

impl From<&TicketRefusal> for RefusalLine {
    fn from(refusal: &TicketRefusal) -> Self {
        Self {
            path: refusal.path.clone(),
            code: refusal.reason.code().to_owned(),
            message: refusal.reason.to_string(),
        }
    }
}

impl fmt::Display for TicketAnswer {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let why = self.why.as_deref().unwrap_or("");
        let version = self.version.unwrap_or(0);
        match self.outcome {
            TicketOutcome::Accepted => {
                write!(f, "accepted as version {version}")
            }
            TicketOutcome::AcceptedAlready => {
                write!(f, "accepted already; version {version} holds it")
            }
            TicketOutcome::Refused => write!(f, "refused"),
            TicketOutcome::NotApplied => {
                write!(f, "not applied, nothing changed: {why}")
            }
            TicketOutcome::Unknown => write!(
                f,
                "unknown, it may be stored: {why}; apply the same ticket \
                 again to learn it"
            ),
        }
    }
}

//! Checks after a run, based only on the logs of servers and callers.
//!
//! Nothing here shares code with the router: its guarantees are checked
//! against what servers executed and callers received.

mod availability;
mod history;
mod moves;
mod ownership;
mod promises;

use serde::{Deserialize, Serialize};

pub use self::{
    availability::{UnavailableTime, unavailable_time},
    history::unlinearizable_keys,
    moves::{MoveCount, count_moves, imbalance},
};
use crate::{records::CallEntry, server::ServerLog};

/// Counts of violated guarantees; each must be zero.
#[derive(
    Clone, Copy, Debug, Default, Eq, PartialEq, Serialize, Deserialize,
)]
pub struct GuaranteeViolations {
    /// Non-idempotent requests that were executed more than once.
    pub doubled: u64,
    /// Requests whose caller received "not run" though they ran.
    pub not_run_but_ran: u64,
    /// Times when two servers owned, or worked on, a slice at once.
    pub owner_overlaps: u64,
    /// Responses that belong to another request or key, or are corrupt.
    pub wrong_answers: u64,
    /// Responses that were delivered as complete but are truncated.
    pub cut_answers: u64,
}

impl GuaranteeViolations {
    /// Counts the violations of a run from the records of its servers and
    /// callers.
    #[must_use]
    pub fn count(servers: &ServerLog, calls: &[CallEntry]) -> Self {
        let executions = &servers.executions;
        let answers = promises::count_answers(calls);
        Self {
            doubled: promises::count_doubled(executions),
            not_run_but_ran: promises::to_count(
                promises::false_not_run(executions, calls).len(),
            ),
            owner_overlaps: promises::to_count(
                ownership::overlaps(servers).len(),
            ),
            wrong_answers: answers.wrong,
            cut_answers: answers.cut,
        }
    }

    /// Whether no guarantee was violated.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        *self == Self::default()
    }
}

/// Lists the records of requests that ran though they were denied: one line
/// for each call and execution, for debugging.
#[must_use]
pub fn trace_denied(servers: &ServerLog, calls: &[CallEntry]) -> String {
    let denied = promises::false_not_run(&servers.executions, calls);
    let mut lines = Vec::new();
    for id in denied {
        let attempts = calls.iter().filter(|call| &*call.request == id);
        lines.extend(attempts.map(|call| format!("{call:?}")));
        let runs = servers.executions.iter().filter(|e| &*e.request == id);
        lines.extend(runs.map(|execution| format!("{execution:?}")));
    }
    lines.join("\n")
}

/// Lists the times at which a slice had two owners, one a line, for debugging.
#[must_use]
pub fn trace_overlaps(servers: &ServerLog) -> String {
    let found = ownership::overlaps(servers);
    let lines: Vec<_> = found.iter().map(|one| format!("{one:?}")).collect();
    lines.join("\n")
}

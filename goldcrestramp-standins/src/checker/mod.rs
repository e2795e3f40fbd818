//! Checks after a run, from the logs of servers and callers alone.
//!
//! Nothing here shares code with the router: what it promised is judged by
//! what servers executed and callers received.

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

/// The figures of the promises; each must be zero.
#[derive(
    Clone, Copy, Debug, Default, Eq, PartialEq, Serialize, Deserialize,
)]
pub struct PromiseFigures {
    /// Non-idempotent requests that were executed more than once.
    pub doubled: u64,
    /// Requests whose caller was told "not run" though they ran.
    pub not_run_but_ran: u64,
    /// Times that two servers owned, or worked on, a slice at once.
    pub owner_overlaps: u64,
    /// Answers that belong to another request or key, or are corrupt.
    pub wrong_answers: u64,
    /// Answers that were presented as whole and are not.
    pub cut_answers: u64,
}

impl PromiseFigures {
    /// Judges a run by all that its servers and callers wrote down.
    #[must_use]
    pub fn judge(servers: &ServerLog, calls: &[CallEntry]) -> Self {
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

    /// Whether every promise was kept.
    #[must_use]
    pub fn kept(&self) -> bool {
        *self == Self::default()
    }
}

/// What was written down of the requests that ran though they were denied:
/// each call and each execution on a line, for whoever looks for the cause.
#[must_use]
pub fn trace_denied(servers: &ServerLog, calls: &[CallEntry]) -> String {
    let denied = promises::false_not_run(&servers.executions, calls);
    let mut lines = Vec::new();
    for id in denied {
        let told = calls.iter().filter(|call| &*call.request == id);
        lines.extend(told.map(|call| format!("{call:?}")));
        let ran = servers.executions.iter().filter(|e| &*e.request == id);
        lines.extend(ran.map(|execution| format!("{execution:?}")));
    }
    lines.join("\n")
}

/// Tells of every moment at which a slice had two owners, which; for
/// finding the cause.
#[must_use]
pub fn trace_overlaps(servers: &ServerLog) -> String {
    let found = ownership::overlaps(servers);
    let lines: Vec<_> = found.iter().map(|one| format!("{one:?}")).collect();
    lines.join("\n")
}

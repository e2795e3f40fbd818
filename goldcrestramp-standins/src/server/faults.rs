//! What is wrong with a stand-in server, on purpose.

use serde::{Deserialize, Serialize};

/// What is wrong with a server; `POST /faults` replaces it all.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct ServerFaults {
    /// How long work takes, in percent of the usual time.
    pub slow_percent: u64,
    /// How many of a hundred requests are refused before they start.
    pub shed_percent: u32,
    /// Leaving: every new request is refused before it starts.
    pub draining: bool,
    /// Runs whatever arrives, whatever its token, grant and deadline.
    pub ignores_fence: bool,
    /// What the health endpoint says in place of the truth.
    pub health_lie: Option<bool>,
    /// The busy slots that the load endpoint tells in place of the truth.
    pub load_lie: Option<usize>,
    /// So many next answers are those of the request before.
    pub crossed: u32,
    /// So many next answers break off half way.
    pub truncated: u32,
    /// So many next answers end half way as if they were whole.
    pub shortened: u32,
    /// So many next answers are sent twice in one body.
    pub doubled: u32,
}

impl Default for ServerFaults {
    fn default() -> Self {
        Self {
            slow_percent: 100,
            shed_percent: 0,
            draining: false,
            ignores_fence: false,
            health_lie: None,
            load_lie: None,
            crossed: 0,
            truncated: 0,
            shortened: 0,
            doubled: 0,
        }
    }
}

/// What is wrong with one answer.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum AnswerFault {
    /// It is the answer before.
    Crossed,
    /// It breaks off.
    Truncated,
    /// It ends early, as if whole.
    Shortened,
    /// It comes twice.
    Doubled,
}

impl ServerFaults {
    /// Takes the fault of the next answer, if it is to have one.
    pub(super) const fn next_answer(&mut self) -> Option<AnswerFault> {
        if take_one(&mut self.crossed) {
            return Some(AnswerFault::Crossed);
        }
        if take_one(&mut self.truncated) {
            return Some(AnswerFault::Truncated);
        }
        if take_one(&mut self.shortened) {
            return Some(AnswerFault::Shortened);
        }
        if take_one(&mut self.doubled) {
            return Some(AnswerFault::Doubled);
        }
        None
    }
}

/// Counts one down; tells whether one was left.
const fn take_one(count: &mut u32) -> bool {
    let left = *count > 0;
    *count = count.saturating_sub(1);
    left
}

//! Injected faults of a stand-in server.

use serde::{Deserialize, Serialize};

/// The active faults of a server; `POST /faults` replaces them all.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct ServerFaults {
    /// The processing time, in percent of the typical time.
    pub slow_percent: u64,
    /// The percentage of requests that are refused before they start.
    pub shed_percent: u32,
    /// Whether the server drains: every new request is refused before it
    /// starts.
    pub draining: bool,
    /// Whether it runs every request, regardless of token, grant and deadline.
    pub ignores_fence: bool,
    /// The health that is reported in place of the true one.
    pub health_lie: Option<bool>,
    /// The busy slots that are reported in place of the true number.
    pub load_lie: Option<usize>,
    /// The number of upcoming responses that are replaced by the previous
    /// request's.
    pub crossed: u32,
    /// The number of upcoming responses that break off half way.
    pub truncated: u32,
    /// The number of upcoming responses that end half way as if they were
    /// complete.
    pub shortened: u32,
    /// The number of upcoming responses that are sent twice in one body.
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

/// The fault of one response.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum AnswerFault {
    /// It is the previous response.
    Crossed,
    /// It breaks off.
    Truncated,
    /// It ends early, as if complete.
    Shortened,
    /// It is sent twice.
    Doubled,
}

impl ServerFaults {
    /// Takes the fault of the next response, if there is one.
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

/// Decrements a count; returns whether it was above zero.
const fn take_one(count: &mut u32) -> bool {
    let had_any = *count > 0;
    *count = count.saturating_sub(1);
    had_any
}

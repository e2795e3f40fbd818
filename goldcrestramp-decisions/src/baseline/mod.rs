/*!
Two simple policies, as a baseline for measurements.

- [`FifoBaseline`]: gateways by round robin, first in first out.
- [`StaticBaseline`]: a fixed limit of requests in flight at each gateway.

Both have the check that servers provide anyway: a request past its deadline is
not started. The daemon uses nothing of this module.
*/

mod fifo;
mod limit;

pub use crate::baseline::{fifo::FifoBaseline, limit::StaticBaseline};
use goldcrestramp_types::LocalTime;

/// A request of a baseline.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct BaselineRequest {
    /// The number that identifies it in events.
    pub ticket: usize,
    /// The server that owns its key.
    pub server: usize,
    /// It is not started after this time.
    pub deadline: LocalTime,
}

/// What happens to a waiting request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum BaselineEvent {
    /// It starts at its server.
    Start(usize),
    /// Its turn came after its deadline.
    GiveUp(usize),
}

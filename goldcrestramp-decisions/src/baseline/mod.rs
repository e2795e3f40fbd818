/*!
Two simple ways to run the same traffic, kept to be measured against.

- [`FifoBaseline`]: gateways by round robin, first in first out.
- [`StaticBaseline`]: a fixed limit of requests under way at each gateway.

Both are given what servers offer anyway: a request that is past its
deadline is not started. Nothing else here is used by the daemon.
*/

mod fifo;
mod limit;

pub use crate::baseline::{fifo::FifoBaseline, limit::StaticBaseline};
use goldcrestramp_types::LocalTime;

/// A request as a baseline knows it.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct BaselineRequest {
    /// The number by which the events name it.
    pub ticket: usize,
    /// The server that owns its key.
    pub server: usize,
    /// After this it is not started.
    pub deadline: LocalTime,
}

/// What happens to a request that waited.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum BaselineEvent {
    /// It runs at its server now.
    Start(usize),
    /// Its turn came after its deadline.
    GiveUp(usize),
}

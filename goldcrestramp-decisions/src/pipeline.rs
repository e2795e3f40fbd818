//! Which pipelined requests are served before the ones ahead are answered.
//!
//! The load: callers that send several lookups on one connection without
//! waiting for answers. Served one after the other, each of them waits for
//! the sum of all before it: a lookup of 120 ms behind two others takes
//! 360 ms, though its server was idle, and its caller counts from the
//! moment at which it was sent.
//!
//! Answers go out in the order of the requests whatever happens here. A
//! request with an effect is served alone on its connection: an answer
//! ahead of it may still close the connection, its caller then takes it for
//! unread and sends it again, and it would run twice. Nothing behind it
//! begins either, or a lookup could miss what the same caller just ordered.

/// Requests of one connection that are served at once. Slots of servers are
/// shared by all callers, and one connection is not to hold many of them.
const MAX_CONCURRENT: u64 = 8;

/// When a request of a connection is served.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum PipelineStart {
    /// At once, beside those ahead of it.
    Now,
    /// When all ahead of it were answered.
    InTurn,
}

/// What a request may do beside others of its connection.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum PipelineEffect {
    /// It may run more than once, and has no body that has to be read.
    Independent,
    /// It has to be served alone.
    Ordered,
}

/// The requests of one connection, by their numbers from 0.
///
/// # Example
///
/// ```
/// use goldcrestramp_decisions::{
///     PipelineEffect, PipelineGate, PipelineStart,
/// };
///
/// let mut gate = PipelineGate::default();
/// let lookup = PipelineEffect::Independent;
/// assert_eq!(gate.arrived(lookup), PipelineStart::InTurn);
/// assert_eq!(gate.arrived(lookup), PipelineStart::Now);
/// assert_eq!(gate.arrived(PipelineEffect::Ordered), PipelineStart::InTurn);
/// assert_eq!(gate.arrived(lookup), PipelineStart::InTurn);
/// ```
#[derive(Clone, Debug, Default)]
pub struct PipelineGate {
    arrived: u64,
    answered: u64,
    /// Requests from this number on have no ordered one ahead.
    barrier: u64,
}

impl PipelineGate {
    /// Notes the next request of the connection.
    ///
    /// The first that is not answered yet is always served in turn, which
    /// is at once.
    pub const fn arrived(&mut self, effect: PipelineEffect) -> PipelineStart {
        let number = self.arrived;
        self.arrived += 1;
        if matches!(effect, PipelineEffect::Ordered) {
            self.barrier = self.arrived;
            return PipelineStart::InTurn;
        }
        let ahead = number.saturating_sub(self.answered);
        let alone = ahead == 0 || self.answered < self.barrier;
        if alone || ahead >= MAX_CONCURRENT {
            PipelineStart::InTurn
        } else {
            PipelineStart::Now
        }
    }

    /// Notes that the first request without an answer has one.
    pub const fn answered(&mut self) {
        self.answered += 1;
    }
}

//! Which pipelined requests run before earlier ones have their responses.
//!
//! Callers may send several lookups on one connection without waiting for the
//! responses. If they run one after the other, each waits for the sum of all
//! before it: a lookup of 120 ms behind two others takes 360 ms although its
//! server was idle, and its caller measures from the moment of sending.
//!
//! Responses are always sent in the order of the requests. A request with an
//! effect runs alone on its connection. A response before it may still close
//! the connection; the caller would then assume that the request was not read
//! and retry it, and it would run twice. No request behind it starts either,
//! or a lookup could miss the effect of an earlier request of the same caller.

/// The maximum number of concurrent requests of one connection. All callers
/// share the slots of the servers, so one connection must not use many of
/// them.
const MAX_CONCURRENT: u64 = 8;

/// When a request of a connection starts.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum PipelineStart {
    /// At once, concurrently with those before it.
    Now,
    /// After all requests before it have their responses.
    InTurn,
}

/// Whether a request may run concurrently with others of its connection.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum PipelineEffect {
    /// It may run more than once, and has no body that has to be read.
    Independent,
    /// It has to run alone.
    Ordered,
}

/// The requests of one connection, numbered from 0.
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
    responded: u64,
    /// The number after the last ordered request. Later requests run
    /// concurrently once all before this number have their responses.
    barrier: u64,
}

impl PipelineGate {
    /// Records the next request of the connection.
    ///
    /// The first request without a response always returns `InTurn`, which
    /// then means at once.
    pub const fn arrived(&mut self, effect: PipelineEffect) -> PipelineStart {
        let number = self.arrived;
        self.arrived += 1;
        if matches!(effect, PipelineEffect::Ordered) {
            self.barrier = self.arrived;
            return PipelineStart::InTurn;
        }
        let ahead = number.saturating_sub(self.responded);
        let alone = ahead == 0 || self.responded < self.barrier;
        if alone || ahead >= MAX_CONCURRENT {
            PipelineStart::InTurn
        } else {
            PipelineStart::Now
        }
    }

    /// Records a response to the first request that had none.
    pub const fn record_response(&mut self) {
        self.responded += 1;
    }
}

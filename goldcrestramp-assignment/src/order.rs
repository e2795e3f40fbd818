//! Orders that make servers follow the committed table.

use std::sync::Arc;

use goldcrestramp_types::{SliceRange, TimeSpan};

use crate::table::ServerInstance;

/// What a server has to do with the keys of an order.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum OrderKind {
    /// Hold the keys for `duration` from the order's arrival.
    Grant {
        /// How long the grant is valid from its arrival.
        duration: TimeSpan,
        /// The data that the previous holder left.
        handover: Option<Arc<str>>,
    },
    /// Accept no more work on the keys, and respond when the running work
    /// has completed.
    Release,
}

/// An order to one server.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ServerOrder {
    /// The server instance that the order is for.
    pub instance: ServerInstance,
    /// The keys to hold or to release.
    pub range: SliceRange,
    /// The fencing token of the grant or release.
    pub token: u64,
    /// What the server has to do.
    pub kind: OrderKind,
}

/// The outcome of an order.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum OrderOutcome {
    /// The server carried it out.
    Done {
        /// The data that a release may leave for the next holder.
        handover: Option<Arc<str>>,
    },
    /// The server has seen a higher token for one of the keys.
    Outdated,
    /// Another server responded at the address: this instance has ended.
    Ended,
    /// No byte of the order was sent.
    NotSent,
    /// The connection closed; the order may have been carried out.
    Unknown,
    /// No response came in time; the order may be carried out later.
    TimedOut,
}

impl OrderOutcome {
    /// The stable code for logs.
    #[must_use]
    pub const fn code(&self) -> &'static str {
        match self {
            Self::Done { .. } => "done",
            Self::Outdated => "outdated",
            Self::Ended => "ended",
            Self::NotSent => "not-sent",
            Self::Unknown => "unknown",
            Self::TimedOut => "silent",
        }
    }
}

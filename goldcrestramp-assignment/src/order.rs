//! Orders that make servers follow the committed table.

use std::sync::Arc;

use goldcrestramp_types::{SliceRange, TimeSpan};

use crate::table::ServerInstance;

/// What a server is told to do.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum OrderKind {
    /// Hold the keys for this long from the order's arrival.
    Grant {
        /// How long.
        duration: TimeSpan,
        /// What the former holder left.
        handover: Option<Arc<str>>,
    },
    /// Stop work on the keys, and answer when what runs has ended.
    Release,
}

/// An order to one server.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ServerOrder {
    /// The server.
    pub instance: ServerInstance,
    /// The keys.
    pub range: SliceRange,
    /// The fencing token.
    pub token: u64,
    /// What it is told.
    pub kind: OrderKind,
}

/// What became of an order.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum OrderOutcome {
    /// The server did it; a release may leave something for the next
    /// holder.
    Done {
        /// What the next holder is to be given.
        handover: Option<Arc<str>>,
    },
    /// The server has seen a higher token on one of the keys.
    Outdated,
    /// Another server answers at the address: this life has ended.
    Ended,
    /// No byte of it was sent.
    NotSent,
    /// The connection ended; it may have been carried out.
    Unknown,
    /// No answer came in time; it may be carried out later.
    TimedOut,
}

impl OrderOutcome {
    /// The stable code in logs.
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

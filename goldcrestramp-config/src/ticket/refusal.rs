//! Why a ticket is refused.

use std::fmt;

use goldcrestramp_types::{RegionName, ServiceName};
use serde::Serialize;

use super::entity::EntityId;

/// One reason to refuse a ticket, and which of its values it is about.
#[derive(Clone, Debug, Eq, PartialEq, Serialize)]
pub struct TicketRefusal {
    /// The value's path in the ticket, such as `servers[3].service`.
    pub path: String,
    /// The reason.
    pub reason: RefusalReason,
}

impl fmt::Display for TicketRefusal {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.path, self.reason)
    }
}

/// What is wrong with a ticket, given the state that it would change.
#[derive(Clone, Debug, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case", tag = "reason")]
pub enum RefusalReason {
    /// It touches nothing.
    Empty,
    /// The number belongs to an accepted ticket that says something else.
    NumberReused,
    /// A ticket with this number or a higher one touched the thing.
    NumberTooLow {
        /// The thing.
        thing: EntityId,
        /// The last ticket that touched it.
        last: u64,
    },
    /// The ticket says two things of one.
    TouchedTwice {
        /// The thing.
        thing: EntityId,
    },
    /// A thing that it refers to, or removes, does not exist.
    Missing {
        /// The thing.
        thing: EntityId,
    },
    /// No failure domain stands in the region.
    EmptyRegion {
        /// The region.
        region: RegionName,
    },
    /// A thing that it removes is still referred to.
    StillUsed {
        /// The thing that refers to it.
        by: EntityId,
    },
    /// A service's number of slices is fixed when it is created.
    SlicesFixed,
    /// A server keeps its service and failure domain for life.
    PlaceFixed,
    /// A failure domain keeps its region for life.
    RegionFixed,
    /// Another server listens there.
    AddressTaken {
        /// The other server.
        by: EntityId,
    },
    /// A server with fewer connections than slots can't fill its slots.
    TooFewConnections,
    /// The service would be left with servers, but none that may own keys.
    NoCapacity {
        /// The service.
        service: ServiceName,
    },
    /// The state would no longer fit into one value of the store.
    TooLarge {
        /// Its size in bytes.
        bytes: usize,
        /// The most that fits.
        limit: usize,
    },
}

impl RefusalReason {
    /// The stable code in counters and answers.
    #[must_use]
    pub const fn code(&self) -> &'static str {
        match self {
            Self::Empty => "empty",
            Self::NumberReused => "number-reused",
            Self::NumberTooLow { .. } => "number-too-low",
            Self::TouchedTwice { .. } => "touched-twice",
            Self::Missing { .. } => "missing",
            Self::EmptyRegion { .. } => "empty-region",
            Self::StillUsed { .. } => "still-used",
            Self::SlicesFixed => "slices-fixed",
            Self::PlaceFixed => "place-fixed",
            Self::RegionFixed => "region-fixed",
            Self::AddressTaken { .. } => "address-taken",
            Self::TooFewConnections => "too-few-connections",
            Self::NoCapacity { .. } => "no-capacity",
            Self::TooLarge { .. } => "too-large",
        }
    }
}

impl fmt::Display for RefusalReason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Empty => write!(f, "the ticket touches nothing"),
            Self::NumberReused => {
                write!(f, "this number was accepted with another text")
            }
            Self::NumberTooLow { thing, last } => {
                write!(f, "{thing} was last touched by ticket {last}")
            }
            Self::TouchedTwice { thing } => {
                write!(f, "{thing} stands twice in the ticket")
            }
            Self::Missing { thing } => write!(f, "{thing} does not exist"),
            Self::EmptyRegion { region } => {
                write!(f, "no failure domain stands in region {region}")
            }
            Self::StillUsed { by } => write!(f, "{by} still refers to it"),
            Self::SlicesFixed => {
                write!(f, "a service keeps its number of slices")
            }
            Self::PlaceFixed => write!(
                f,
                "a server keeps its service and failure domain; remove it \
                 and add another name"
            ),
            Self::RegionFixed => {
                write!(f, "a failure domain keeps its region")
            }
            Self::AddressTaken { by } => write!(f, "{by} listens there"),
            Self::TooFewConnections => {
                write!(f, "fewer connections than slots")
            }
            Self::NoCapacity { service } => {
                write!(f, "no server of {service} could own keys any more")
            }
            Self::TooLarge { bytes, limit } => write!(
                f,
                "the configuration would take {bytes} bytes, and the store \
                 holds {limit}"
            ),
        }
    }
}

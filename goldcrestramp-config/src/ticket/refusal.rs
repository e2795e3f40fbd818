//! The reasons to refuse a ticket.

use std::fmt;

use goldcrestramp_types::{RegionName, ServiceName};
use serde::Serialize;

use super::entity::EntityId;

/// One reason to refuse a ticket, with the path of the value concerned.
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

/// A reason to refuse a ticket, given the state that it would change.
#[derive(Clone, Debug, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case", tag = "reason")]
pub enum RefusalReason {
    /// The ticket changes nothing.
    Empty,
    /// An accepted ticket with other content has the same number.
    NumberReused,
    /// A ticket with this number or a higher one has changed the entity.
    NumberTooLow {
        /// The entity.
        thing: EntityId,
        /// The number of the last ticket that changed it.
        last: u64,
    },
    /// The ticket lists an entity twice.
    TouchedTwice {
        /// The entity.
        thing: EntityId,
    },
    /// An entity that the ticket refers to or removes does not exist.
    Missing {
        /// The entity.
        thing: EntityId,
    },
    /// The region has no failure domain.
    EmptyRegion {
        /// The region.
        region: RegionName,
    },
    /// Another entity still refers to one that the ticket removes.
    StillUsed {
        /// The entity that refers to it.
        by: EntityId,
    },
    /// A service's number of slices is fixed when it is created.
    SlicesFixed,
    /// A server's service and failure domain are fixed when it is created.
    PlaceFixed,
    /// A failure domain's region is fixed when it is created.
    RegionFixed,
    /// Another server has the same address.
    AddressTaken {
        /// The other server.
        by: EntityId,
    },
    /// A server with fewer connections than slots can't fill its slots.
    TooFewConnections,
    /// The service would have servers, but none that may own keys.
    NoCapacity {
        /// The service.
        service: ServiceName,
    },
    /// The state would no longer fit into one value of the store.
    TooLarge {
        /// The size of the state, in bytes.
        bytes: usize,
        /// The maximum size, in bytes.
        limit: usize,
    },
}

impl RefusalReason {
    /// Returns the stable code used in counters and responses.
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

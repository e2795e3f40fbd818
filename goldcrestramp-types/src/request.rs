//! The properties of a request that decide how it may be handled.

use serde::{Deserialize, Serialize};

/// Whether a request may be executed more than once.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum RequestEffect {
    /// Executing it twice has the same effect as executing it once.
    Idempotent,
    /// Executing it twice does harm; it is executed at most once.
    NonIdempotent,
}

/// How long a request is expected to occupy a slot of a server.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum RequestClass {
    /// A lookup: short, idempotent and frequent.
    Lookup,
    /// An order or a renewal: short and not idempotent.
    Order,
    /// An export or a download: occupies a slot for seconds or minutes.
    Long,
}

impl RequestClass {
    /// Every class, in a fixed order.
    pub const ALL: [Self; 3] = [Self::Lookup, Self::Order, Self::Long];

    /// The effect of requests of this class.
    #[must_use]
    pub const fn effect(self) -> RequestEffect {
        match self {
            Self::Lookup | Self::Long => RequestEffect::Idempotent,
            Self::Order => RequestEffect::NonIdempotent,
        }
    }

    /// The stable code for headers, messages and counters.
    #[must_use]
    pub const fn code(self) -> &'static str {
        match self {
            Self::Lookup => "lookup",
            Self::Order => "order",
            Self::Long => "long",
        }
    }

    /// Finds the class with this code.
    #[must_use]
    pub fn from_code(code: &str) -> Option<Self> {
        Self::ALL.into_iter().find(|class| class.code() == code)
    }
}

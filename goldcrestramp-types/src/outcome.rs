//! The reasons that a caller receives if the server sent no response.

use std::fmt;

macro_rules! reason_type {
    ($(#[$doc:meta])* $name:ident {
        $($(#[$item:meta])* $variant:ident => $code:literal,)*
    }) => {
        $(#[$doc])*
        #[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
        pub enum $name {
            $($(#[$item])* $variant,)*
        }

        impl $name {
            /// Every reason, in a fixed order.
            pub const ALL: &'static [Self] = &[$(Self::$variant,)*];

            /// The stable code for callers and counters.
            #[must_use]
            pub const fn code(self) -> &'static str {
                match self {
                    $(Self::$variant => $code,)*
                }
            }

            /// Finds the reason with this code.
            #[must_use]
            pub fn from_code(code: &str) -> Option<Self> {
                Self::ALL.iter().copied().find(|r| r.code() == code)
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.write_str(self.code())
            }
        }
    };
}

reason_type!(
    /// Why a request certainly did not run.
    NotRunReason {
        /// The request itself is malformed.
        BadRequest => "bad-request",
        /// No service of that name is configured.
        UnknownService => "unknown-service",
        /// No server holds the key's slice.
        NoOwner => "no-owner",
        /// The keeper's queue is full.
        QueueFull => "queue-full",
        /// The request could not start before its deadline.
        DeadlineTooShort => "deadline-too-short",
        /// The deadline passed while the request waited.
        DeadlinePassed => "deadline-passed",
        /// The caller already has more than its share of queued requests.
        CallerOverShare => "caller-over-share",
        /// The key already has more than its share of queued requests.
        KeyOverShare => "key-over-share",
        /// The server refused to start the request.
        ServerRefused => "server-refused",
        /// The server was known to be unreachable before any byte was sent.
        ServerUnreachable => "server-unreachable",
        /// The owner changed and no more redirects were allowed.
        OwnerMoved => "owner-moved",
        /// The keeper could not be reached before any byte was sent.
        KeeperUnreachable => "keeper-unreachable",
        /// The caller disconnected or cancelled before the start.
        Cancelled => "cancelled",
        /// The gateway has reached its limit of requests in flight.
        GatewayFull => "gateway-full",
        /// The VM is draining and accepts no new requests.
        Draining => "draining",
        /// The link between regions has no capacity for this response.
        LinkFull => "link-full",
        /// The retry budget of the caller or the service is used up.
        RetryBudget => "retry-budget",
    }
);

reason_type!(
    /// Why it is not known whether a request ran.
    UnknownReason {
        /// The server stopped responding after the request was sent to it.
        ServerLost => "server-lost",
        /// The keeper stopped responding after the request was sent to it.
        KeeperLost => "keeper-lost",
        /// The deadline passed after the request was sent to the server.
        DeadlinePassed => "deadline-passed",
        /// The response belonged to another request, or was malformed.
        CrossedAnswer => "crossed-answer",
        /// A retry reached a keeper that started too recently to know of
        /// the first attempt.
        KeeperTooYoung => "keeper-too-young",
        /// A retry was refused by a process that can't know of the
        /// first attempt.
        ResendRefused => "resend-refused",
        /// The same request is still in flight.
        StillRunning => "still-running",
    }
);

reason_type!(
    /// Why a request was retried, or sent to another keeper.
    RetryReason {
        /// The keeper redirected the request to another keeper.
        Redirected => "redirected",
        /// The keeper could not be reached, so the request did not start.
        KeeperUnreachable => "keeper-unreachable",
        /// The table had no owner when the request arrived.
        NoOwner => "no-owner",
        /// The server refused to start it and may accept it later.
        ServerRefused => "server-refused",
        /// An idempotent request was cut off before the first response byte.
        BrokenOff => "broken-off",
    }
);

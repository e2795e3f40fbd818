//! What a caller is told when the answer is not the server's own.

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

            /// The stable code that callers and counters see.
            #[must_use]
            pub const fn code(self) -> &'static str {
                match self {
                    $(Self::$variant => $code,)*
                }
            }

            /// Finds the reason that has this code.
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
        /// No server holds the key's slice at the moment.
        NoOwner => "no-owner",
        /// The keeper's queue is full.
        QueueFull => "queue-full",
        /// The request could not start before its deadline.
        DeadlineTooShort => "deadline-too-short",
        /// The deadline passed while the request waited.
        DeadlinePassed => "deadline-passed",
        /// The caller already has more than its share waiting.
        CallerOverShare => "caller-over-share",
        /// The key already has more than its share waiting.
        KeyOverShare => "key-over-share",
        /// The server refused to start the request.
        ServerRefused => "server-refused",
        /// The server was known to be unreachable before any byte left.
        ServerUnreachable => "server-unreachable",
        /// The owner changed and no redirect was left.
        OwnerMoved => "owner-moved",
        /// The keeper could not be reached before any byte left.
        KeeperUnreachable => "keeper-unreachable",
        /// The caller went away or cancelled before the start.
        Cancelled => "cancelled",
        /// The gateway has as many requests under way as it may have.
        GatewayFull => "gateway-full",
        /// The VM is leaving and takes no new request.
        Draining => "draining",
        /// The link between regions has no room for this answer.
        LinkFull => "link-full",
        /// The retry budget of the caller or the service is used up.
        RetryBudget => "retry-budget",
    }
);

reason_type!(
    /// Why it is not known whether a request ran.
    UnknownReason {
        /// The server went silent after it had been sent the request.
        ServerLost => "server-lost",
        /// The keeper went silent after it had been sent the request.
        KeeperLost => "keeper-lost",
        /// The deadline passed after the server had been sent the request.
        DeadlinePassed => "deadline-passed",
        /// The answer was another request's, or malformed.
        CrossedAnswer => "crossed-answer",
        /// A resend met a keeper too young to remember the first try.
        KeeperTooYoung => "keeper-too-young",
        /// A resend was refused by one who cannot know of the first try.
        ResendRefused => "resend-refused",
        /// The same request is still under way.
        StillRunning => "still-running",
    }
);

reason_type!(
    /// Why a request was sent again, or elsewhere.
    RetryReason {
        /// The keeper named another keeper.
        Redirected => "redirected",
        /// The keeper was not reached, so the request did not start.
        KeeperUnreachable => "keeper-unreachable",
        /// The table held no owner when the request came.
        NoOwner => "no-owner",
        /// The server refused to start it and may take it later.
        ServerRefused => "server-refused",
        /// An idempotent request broke off before its first byte.
        BrokenOff => "broken-off",
    }
);

//! Times, each by the clock of one process, and time spans.
//!
//! State stores deadlines, never durations: a stored duration loses the time
//! that it counts from, and a process that was paused would start it again.

use std::ops::{Add, Sub};

use rustix::time::{ClockId, clock_gettime};
use serde::{Deserialize, Serialize};

/// A duration in microseconds, for arithmetic; state stores deadlines.
#[derive(
    Clone,
    Copy,
    Debug,
    Default,
    Eq,
    Hash,
    Ord,
    PartialEq,
    PartialOrd,
    Serialize,
    Deserialize,
)]
#[serde(transparent)]
pub struct TimeSpan(u64);

impl TimeSpan {
    /// A span of 0 microseconds.
    pub const ZERO: Self = Self(0);

    /// Creates a span from microseconds.
    #[must_use]
    pub const fn from_micros(micros: u64) -> Self {
        Self(micros)
    }

    /// Creates a span from milliseconds.
    #[must_use]
    pub const fn from_millis(millis: u64) -> Self {
        Self(millis.saturating_mul(1_000))
    }

    /// The span in microseconds.
    #[must_use]
    pub const fn as_micros(self) -> u64 {
        self.0
    }

    /// The span in whole milliseconds, rounded down.
    #[must_use]
    pub const fn as_millis(self) -> u64 {
        self.0 / 1_000
    }

    /// The span without `other`; zero if that is longer.
    #[must_use]
    pub const fn minus(self, other: Self) -> Self {
        Self(self.0.saturating_sub(other.0))
    }

    /// The span times `percent` / 100, rounded down.
    #[must_use]
    pub const fn percent(self, percent: u64) -> Self {
        Self(self.0.saturating_mul(percent) / 100)
    }

    /// The sum of both spans.
    #[must_use]
    pub const fn plus(self, other: Self) -> Self {
        Self(self.0.saturating_add(other.0))
    }

    /// The span as a [`Duration`](std::time::Duration).
    #[must_use]
    pub const fn to_std(self) -> std::time::Duration {
        std::time::Duration::from_micros(self.0)
    }
}

macro_rules! time_type {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(
            Clone, Copy, Debug, Default, Eq, Hash, Ord, PartialEq,
            PartialOrd, Serialize, Deserialize,
        )]
        #[serde(transparent)]
        pub struct $name(u64);

        impl $name {
            /// Creates a time from microseconds since the clock's start.
            #[must_use]
            pub const fn from_micros(micros: u64) -> Self {
                Self(micros)
            }

            /// Microseconds since the clock's start.
            #[must_use]
            pub const fn as_micros(self) -> u64 {
                self.0
            }

            /// The span since `earlier`; zero if that is later.
            #[must_use]
            pub const fn since(self, earlier: Self) -> TimeSpan {
                TimeSpan(self.0.saturating_sub(earlier.0))
            }
        }

        impl Add<TimeSpan> for $name {
            type Output = Self;

            fn add(self, span: TimeSpan) -> Self {
                Self(self.0.saturating_add(span.0))
            }
        }

        impl Sub<TimeSpan> for $name {
            type Output = Self;

            fn sub(self, span: TimeSpan) -> Self {
                Self(self.0.saturating_sub(span.0))
            }
        }
    };
}

time_type!(
    /// A time by the clock of the process that stores it.
    ///
    /// It is never sent to another process. Messages carry the remaining
    /// span, and the receiver counts it from when it sent its request.
    LocalTime
);
time_type!(
    /// A time by the clock of one instance of a backend server.
    ServerTime
);

/// The clock from which a process reads its local time.
pub trait ClockSource {
    /// The current time.
    fn now(&self) -> LocalTime;
}

/// The machine's monotonic clock that also counts while suspended.
///
/// With a clock that stops while a VM is suspended, an expired lease would
/// look valid after the VM resumes. `CLOCK_BOOTTIME` does not stop.
#[derive(Clone, Copy, Debug, Default)]
pub struct MonotonicClock;

impl ClockSource for MonotonicClock {
    fn now(&self) -> LocalTime {
        let time = clock_gettime(ClockId::Boottime);
        let seconds = u64::try_from(time.tv_sec).unwrap_or(0);
        let nanos = u64::try_from(time.tv_nsec).unwrap_or(0);
        LocalTime::from_micros(seconds * 1_000_000 + nanos / 1_000)
    }
}

//! Points in time, each in the clock of one process.
//!
//! Deadlines are stored, never durations: a stored duration loses the
//! moment it counts from, and a holder that was paused would start it
//! afresh.

use std::ops::{Add, Sub};

use rustix::time::{ClockId, clock_gettime};
use serde::{Deserialize, Serialize};

/// A length of time in microseconds; used in sums, not kept as state.
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
    /// No time at all.
    pub const ZERO: Self = Self(0);

    /// A span of so many microseconds.
    #[must_use]
    pub const fn from_micros(micros: u64) -> Self {
        Self(micros)
    }

    /// A span of so many milliseconds.
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

    /// What is left of the span after `other`; zero if that is longer.
    #[must_use]
    pub const fn minus(self, other: Self) -> Self {
        Self(self.0.saturating_sub(other.0))
    }

    /// The span times `percent` / 100, rounded down.
    #[must_use]
    pub const fn percent(self, percent: u64) -> Self {
        Self(self.0.saturating_mul(percent) / 100)
    }

    /// Both spans together.
    #[must_use]
    pub const fn plus(self, other: Self) -> Self {
        Self(self.0.saturating_add(other.0))
    }

    /// The span as the standard library's duration.
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
            /// The point so many microseconds after the clock's start.
            #[must_use]
            pub const fn from_micros(micros: u64) -> Self {
                Self(micros)
            }

            /// Microseconds since the clock's start.
            #[must_use]
            pub const fn as_micros(self) -> u64 {
                self.0
            }

            /// The time from `earlier` to here; zero if it is later.
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
    /// A point in the clock of the process that stores it.
    ///
    /// It is never sent to another process; messages carry the span that
    /// is left, and the receiver counts it from when it sent its request.
    LocalTime
);
time_type!(
    /// A point in the clock of one run of one backend server.
    ServerTime
);

/// Where a process reads its own time.
pub trait ClockSource {
    /// The present moment.
    fn now(&self) -> LocalTime;
}

/// The machine's clock that never steps and counts while suspended.
///
/// A clock that stops while a VM is suspended would let a lapsed lease
/// look alive on waking; `CLOCK_BOOTTIME` goes on.
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

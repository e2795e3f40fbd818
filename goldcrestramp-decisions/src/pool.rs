//! Which server of a service that any of its servers may serve.
//!
//! The load: servers of one service that differ in speed by two to three
//! times, some of them slow, silent or failing for seconds; a slow link
//! between regions whose volume is paid for. Dealt in turn, the slowest
//! server decides; sent to the nearest alone, a failure domain with few
//! servers is full while its neighbour is idle.
//!
//! Each VM weighs what it saw itself: the usual time of an answer, times
//! what it already has under way there, plus the cost of the way. What
//! others have under way shows in the time of an answer.

use goldcrestramp_types::TimeSpan;

/// How far away a server is.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum ServerProximity {
    /// In the same failure domain.
    SameDomain,
    /// In another failure domain of the region.
    SameRegion,
    /// In another region.
    Remote,
}

impl ServerProximity {
    /// What a request loses by the way alone: the round trip, and for the
    /// neighbour a little, so that a tie is served near.
    const fn base(self) -> TimeSpan {
        match self {
            Self::SameDomain => TimeSpan::ZERO,
            Self::SameRegion => TimeSpan::from_millis(4),
            Self::Remote => TimeSpan::from_millis(30),
        }
    }

    /// What an answer of so many bytes costs, as time. Volume between
    /// failure domains is paid for, and a far answer of 90 kB fills a link
    /// of 30 Mbit/s for 24 ms: it waits near for twice the usual time of a
    /// download before it goes next door, and goes far when nothing else
    /// can answer.
    const fn volume(self, bytes: u64) -> TimeSpan {
        let micros_per_kilobyte = match self {
            Self::SameDomain => 0,
            Self::SameRegion => 2_500,
            Self::Remote => 8_000,
        };
        TimeSpan::from_micros(bytes * micros_per_kilobyte / 1_000)
    }

    /// The cost of the way of an answer, as time.
    #[must_use]
    pub const fn cost(self, bytes: u64) -> TimeSpan {
        self.base().plus(self.volume(bytes))
    }
}

/// One server as this VM sees it.
#[derive(Clone, Copy, Debug)]
pub struct PoolCandidate {
    /// How far away it is.
    pub proximity: ServerProximity,
    /// What may be under way there at once, by this VM.
    pub limit: usize,
    /// What is under way there, by this VM; more than the limit if
    /// requests wait for it.
    pub in_flight: usize,
    /// The usual time of an answer.
    pub latency: TimeSpan,
}

/// What to do with a request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum PoolChoice {
    /// Send it to the candidate at this position.
    Send(usize),
    /// Wait: the server that would answer first is full.
    Full,
    /// No server could answer in the time that is left.
    TooLate,
}

/// Chooses a server for a request with `left` time and an answer of about
/// `bytes`.
///
/// # Example
///
/// ```
/// use goldcrestramp_decisions::{
///     PoolCandidate, PoolChoice, ServerProximity, choose_server,
/// };
/// use goldcrestramp_types::TimeSpan;
///
/// let near = PoolCandidate {
///     proximity: ServerProximity::SameDomain,
///     limit: 4,
///     in_flight: 3,
///     latency: TimeSpan::from_millis(100),
/// };
/// let next = PoolCandidate {
///     proximity: ServerProximity::SameRegion,
///     in_flight: 0,
///     ..near
/// };
/// let left = TimeSpan::from_millis(1_000);
/// let choice = choose_server(&[near, next], left, 1_500);
/// assert_eq!(choice, PoolChoice::Send(1));
/// ```
#[must_use]
pub fn choose_server(
    candidates: &[PoolCandidate],
    left: TimeSpan,
    bytes: u64,
) -> PoolChoice {
    let mut best: Option<(TimeSpan, usize)> = None;
    for (position, candidate) in candidates.iter().enumerate() {
        let expected = candidate.latency.plus(candidate.proximity.base());
        // Nothing is sent to one that is held back, nor waited for.
        if expected > left || candidate.limit == 0 {
            continue;
        }
        let cost = cost_of(candidate, bytes);
        if best.is_none_or(|(least, _)| cost < least) {
            best = Some((cost, position));
        }
    }
    let Some((_cost, position)) = best else {
        let held = candidates.iter().any(|c| c.latency <= left);
        return if held { PoolChoice::Full } else { PoolChoice::TooLate };
    };
    let chosen = &candidates[position];
    if chosen.in_flight < chosen.limit {
        PoolChoice::Send(position)
    } else {
        PoolChoice::Full
    }
}

/// The time until the answer, as far as it depends on the choice.
fn cost_of(candidate: &PoolCandidate, bytes: u64) -> TimeSpan {
    let busy = candidate.in_flight as u64;
    let limit = candidate.limit.max(1) as u64;
    // Half of the way to the limit is free slots; beyond it requests begin
    // to wait for one another, and beyond the limit for a turn each.
    let percent = if busy < limit {
        100 + 100 * busy / limit
    } else {
        200 + 100 * (busy - limit + 1) / limit
    };
    candidate.latency.percent(percent).plus(candidate.proximity.cost(bytes))
}

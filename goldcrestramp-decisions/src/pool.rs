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
pub enum ServerWay {
    /// In the same failure domain.
    Domain,
    /// In another failure domain of the region.
    Region,
    /// In another region.
    Far,
}

impl ServerWay {
    /// What a request loses by the way alone: the round trip, and for the
    /// neighbour a little, so that a tie is served near.
    const fn base(self) -> TimeSpan {
        match self {
            Self::Domain => TimeSpan::ZERO,
            Self::Region => TimeSpan::from_millis(4),
            Self::Far => TimeSpan::from_millis(30),
        }
    }

    /// What an answer of so many bytes costs, as time: a far answer of
    /// 90 kB fills a link of 30 Mbit/s for 24 ms and is paid for at some
    /// eight times the volume of a near one.
    const fn volume(self, bytes: u64) -> TimeSpan {
        let micros_per_kilobyte = match self {
            Self::Domain => 0,
            Self::Region => 1_000,
            Self::Far => 8_000,
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
    pub way: ServerWay,
    /// What may be under way there at once, by this VM.
    pub limit: usize,
    /// What is under way there, by this VM.
    pub in_flight: usize,
    /// The usual time of an answer.
    pub latency: TimeSpan,
}

/// What to do with a request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum PoolChoice {
    /// Send it to the candidate at this position.
    Send(usize),
    /// Wait: every server that could answer in time is full.
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
///     PoolCandidate, PoolChoice, ServerWay, choose_server,
/// };
/// use goldcrestramp_types::TimeSpan;
///
/// let near = PoolCandidate {
///     way: ServerWay::Domain,
///     limit: 4,
///     in_flight: 3,
///     latency: TimeSpan::from_millis(100),
/// };
/// let next = PoolCandidate { way: ServerWay::Region, in_flight: 0, ..near };
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
    let mut best = None;
    let mut in_time = false;
    for (position, candidate) in candidates.iter().enumerate() {
        let expected = candidate.latency.plus(candidate.way.base());
        if expected > left {
            continue;
        }
        in_time = true;
        if candidate.in_flight >= candidate.limit {
            continue;
        }
        let cost = cost_of(candidate, bytes);
        if best.is_none_or(|(least, _)| cost < least) {
            best = Some((cost, position));
        }
    }
    match best {
        Some((_cost, position)) => PoolChoice::Send(position),
        None if in_time => PoolChoice::Full,
        None => PoolChoice::TooLate,
    }
}

/// The time until the answer, as far as it depends on the choice.
fn cost_of(candidate: &PoolCandidate, bytes: u64) -> TimeSpan {
    let busy = candidate.in_flight as u64;
    let limit = candidate.limit.max(1) as u64;
    // Half of the way to the limit is free slots; beyond it requests begin
    // to wait for one another.
    let percent = 100 + 100 * busy / limit;
    candidate.latency.percent(percent).plus(candidate.way.cost(bytes))
}

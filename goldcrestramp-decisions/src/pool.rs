//! Chooses a server for a request that any server of a service may serve.
//!
//! Servers of one service differ in speed by two to three times, some of them
//! are slow, silent or failing for seconds, and the link between regions is
//! slow and paid by volume. Plain round robin is as slow as the slowest
//! server. Sending only to the nearest servers overloads a failure domain with
//! few servers while its neighbour is idle.
//!
//! Each VM uses what it measured itself: the typical response time, scaled by
//! its own requests in flight there, plus the cost of the distance. The
//! requests in flight from other VMs show in the response time.

use goldcrestramp_types::TimeSpan;

/// Up to this share of the target latency, a delay counts as
/// `EASY_COST_PERCENT` of its length.
const EASY_PERCENT: u64 = 50;
const EASY_COST_PERCENT: u64 = 25;

/// How close a server is.
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
    /// The latency cost: the round trip, and for another failure domain a
    /// little, so that a tie is served in the same one.
    const fn latency_cost(self) -> TimeSpan {
        match self {
            Self::SameDomain => TimeSpan::ZERO,
            Self::SameRegion => TimeSpan::from_millis(4),
            Self::Remote => TimeSpan::from_millis(30),
        }
    }

    /// The volume cost of a response of `bytes`, as time. Volume between
    /// failure domains is paid for, and a response of 90 kB from another
    /// region fills a link of 30 Mbit/s for 24 ms. So a download waits in its
    /// own failure domain for up to twice its typical time before it is sent
    /// to another one, and it is sent to another region only when nothing else
    /// can respond.
    const fn volume_cost(self, bytes: u64) -> TimeSpan {
        let micros_per_kilobyte = match self {
            Self::SameDomain => 0,
            Self::SameRegion => 2_500,
            Self::Remote => 8_000,
        };
        TimeSpan::from_micros(bytes * micros_per_kilobyte / 1_000)
    }

    /// The cost of the distance for a response of `bytes`, as time.
    #[must_use]
    pub const fn cost(self, bytes: u64) -> TimeSpan {
        self.latency_cost().plus(self.volume_cost(bytes))
    }
}

/// A server with this VM's measurements.
#[derive(Clone, Copy, Debug)]
pub struct PoolCandidate {
    /// How close the server is.
    pub proximity: ServerProximity,
    /// How many requests this VM may have in flight to it.
    pub limit: usize,
    /// How many requests this VM has in flight to it. More than the limit if
    /// requests wait for it.
    pub in_flight: usize,
    /// The typical response time.
    pub latency: TimeSpan,
}

/// What to do with a request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum PoolChoice {
    /// Send it to the candidate at this position.
    Send(usize),
    /// Wait: the server that would respond first is at its limit.
    Full,
    /// No server could respond within the remaining time.
    TooLate,
}

/// Chooses a server for a request with `remaining` time, whose response has
/// about `bytes` and should arrive within `target`.
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
/// let remaining = TimeSpan::from_millis(1_000);
/// let target = TimeSpan::from_millis(400);
/// let choice = choose_server(&[near, next], remaining, target, 1_500);
/// assert_eq!(choice, PoolChoice::Send(1));
/// ```
#[must_use]
pub fn choose_server(
    candidates: &[PoolCandidate],
    remaining: TimeSpan,
    target: TimeSpan,
    bytes: u64,
) -> PoolChoice {
    let mut best: Option<(TimeSpan, usize)> = None;
    for (position, candidate) in candidates.iter().enumerate() {
        let expected =
            candidate.latency.plus(candidate.proximity.latency_cost());
        // A limit of 0 means that the server is suspended: no request is sent
        // to it or waits for it.
        if expected > remaining || candidate.limit == 0 {
            continue;
        }
        let cost = cost_of(candidate, target, bytes);
        if best.is_none_or(|(lowest, _)| cost < lowest) {
            best = Some((cost, position));
        }
    }
    let Some((_cost, position)) = best else {
        let in_time = candidates.iter().any(|c| c.latency <= remaining);
        return if in_time { PoolChoice::Full } else { PoolChoice::TooLate };
    };
    let chosen = &candidates[position];
    if chosen.in_flight < chosen.limit {
        PoolChoice::Send(position)
    } else {
        PoolChoice::Full
    }
}

/// The expected time until the response, as far as it depends on the choice,
/// plus the cost of the distance.
fn cost_of(
    candidate: &PoolCandidate,
    target: TimeSpan,
    bytes: u64,
) -> TimeSpan {
    let in_flight = candidate.in_flight as u64;
    let limit = candidate.limit.max(1) as u64;
    // Up to the limit requests use free slots for the first half, and then
    // begin to wait for one another. Beyond the limit each one adds a full
    // turn of waiting.
    let percent = if in_flight < limit {
        100 + 100 * in_flight / limit
    } else {
        200 + 100 * (in_flight - limit + 1) / limit
    };
    let expected = candidate.latency.percent(percent);
    delay_cost(expected, target).plus(candidate.proximity.cost(bytes))
}

/// The cost of a response after `expected`: a response well before the target
/// latency is worth nearly as much to its caller as an earlier one.
fn delay_cost(expected: TimeSpan, target: TimeSpan) -> TimeSpan {
    let easy = expected.min(target.percent(EASY_PERCENT));
    easy.percent(EASY_COST_PERCENT).plus(expected.minus(easy))
}

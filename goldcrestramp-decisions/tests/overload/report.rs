//! What the callers of a run received.

use std::{collections::BTreeMap, fmt};

use goldcrestramp_types::TimeSpan;

use crate::world::{SimEnd, SimRequest};

/// A refusal is late if it comes later than this after the arrival.
const REFUSAL_LIMIT: TimeSpan = TimeSpan::from_millis(5);

/// The part of a run that one selection of requests makes up.
#[derive(Default)]
pub(crate) struct RunReport {
    pub(crate) offered: usize,
    /// Answered within the deadline.
    pub(crate) good: usize,
    /// Answered too late.
    pub(crate) late: usize,
    pub(crate) refused: BTreeMap<&'static str, usize>,
    /// Refusals that took more than 5 ms.
    pub(crate) slow_refusals: usize,
    latencies: Vec<TimeSpan>,
}

impl RunReport {
    /// The requests for which `select` holds.
    pub(crate) fn of(
        requests: &[SimRequest],
        ends: &[SimEnd],
        select: impl Fn(&SimRequest) -> bool,
    ) -> Self {
        let mut report = Self::default();
        let pairs = requests.iter().zip(ends);
        for (request, end) in pairs.filter(|(request, _)| select(request)) {
            report.add(request, *end);
        }
        report.latencies.sort();
        report
    }

    fn add(&mut self, request: &SimRequest, end: SimEnd) {
        self.offered += 1;
        match end {
            SimEnd::Done(time) => {
                self.latencies.push(time.since(request.arrives));
                if time <= request.deadline {
                    self.good += 1;
                } else {
                    self.late += 1;
                }
            }
            SimEnd::Refused(time, reason) => {
                *self.refused.entry(reason.code()).or_default() += 1;
                let is_slow = time.since(request.arrives) > REFUSAL_LIMIT;
                self.slow_refusals += usize::from(is_slow);
            }
        }
    }

    /// The latency in milliseconds that `percent` of the answers kept to.
    pub(crate) fn percentile(&self, percent: usize) -> f64 {
        let last = self.latencies.len().saturating_sub(1);
        let position = last * percent / 100;
        let latency = self.latencies.get(position).copied();
        let micros = latency.unwrap_or(TimeSpan::ZERO).as_micros();
        f64::from(u32::try_from(micros).unwrap_or(u32::MAX)) / 1e3
    }

    pub(crate) fn refusals(&self) -> usize {
        self.refused.values().sum()
    }
}

impl fmt::Display for RunReport {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "offered {} good {} late {} p50 {:.1} p99 {:.1} ms, \
             refused {:?} slowly {}",
            self.offered,
            self.good,
            self.late,
            self.percentile(50),
            self.percentile(99),
            self.refused,
            self.slow_refusals,
        )
    }
}
